/*
 * histogram - times by size, in buckets that grow by a fixed part
 *
 * Each power of two from 64 us is split into four buckets, so that a value
 * read back is at most 25% above the ones that went in; test-histogram
 * checks that.  The largest bucket takes all that is longer.
 *
 *	histogram_add(&h, took_us);
 *	p99 = histogram_quantile(&h, 0.99);
 */
#ifndef CORE_HISTOGRAM_H
#define CORE_HISTOGRAM_H

#include <stddef.h>
#include <stdint.h>

#define HISTOGRAM_BUCKETS 88 /* 64 us to more than 4 minutes */

struct histogram {
	uint64_t count[HISTOGRAM_BUCKETS];
	uint64_t total;
	uint64_t sum_us;
};

void histogram_add(struct histogram *, uint64_t us);
/* The upper bound of the bucket that holds the quantile; 0 if empty. */
uint64_t histogram_quantile(const struct histogram *, double quantile);
/* The upper bound of a bucket, in microseconds. */
uint64_t histogram_bound(size_t bucket);

#endif
