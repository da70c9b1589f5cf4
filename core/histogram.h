/*
 * histogram - a distribution of durations, in exponentially growing buckets
 *
 * The first bucket holds durations up to 64 us.  Each power of two from
 * there is split into four buckets, so a quantile is at most 25% above the
 * true value; test-histogram checks that.  The last bucket also holds all
 * longer durations.  A histogram of all zeroes is empty, and nothing here
 * allocates memory.
 *
 *	histogram_add(&h, took_us);
 *	p99 = histogram_quantile_us(&h, 0.99);
 */
#ifndef CORE_HISTOGRAM_H
#define CORE_HISTOGRAM_H

#include <stddef.h>
#include <stdint.h>

#define HISTOGRAM_BUCKETS 88 /* the bound of the last one is 235 s */

struct histogram {
	uint64_t count[HISTOGRAM_BUCKETS]; /* of durations in each bucket */
	uint64_t total; /* of durations */
	uint64_t sum_us;
};

void histogram_add(struct histogram *, uint64_t us);
/*
 * The upper bound, in microseconds, of the bucket that holds the quantile,
 * which is from 0 to 1; 0 if the histogram is empty.
 */
uint64_t histogram_quantile_us(const struct histogram *, double quantile);
/* The upper bound of a bucket, in microseconds. */
uint64_t histogram_bucket_max_us(size_t bucket);

#endif
