#include "core/histogram.h"

#define FIRST_BUCKET_LOG2_US 6 /* the first bucket ends at 2^6 us */
#define BUCKETS_PER_OCTAVE 4 /* buckets for each power of two */

uint64_t
histogram_bucket_max_us(size_t bucket)
{
	uint64_t base = UINT64_C(1)
			<< (FIRST_BUCKET_LOG2_US + bucket / BUCKETS_PER_OCTAVE);

	return base + base / BUCKETS_PER_OCTAVE * (bucket % BUCKETS_PER_OCTAVE);
}

static size_t
find_bucket(uint64_t us)
{
	size_t low = 0, high = HISTOGRAM_BUCKETS - 1, mid;

	while (low < high) {
		mid = (low + high) / 2;
		if (us <= histogram_bucket_max_us(mid))
			high = mid;
		else
			low = mid + 1;
	}
	return low;
}

void
histogram_add(struct histogram *h, uint64_t us)
{
	h->count[find_bucket(us)]++;
	h->total++;
	h->sum_us += us;
}

uint64_t
histogram_quantile_us(const struct histogram *h, double quantile)
{
	double want = quantile * (double)h->total;
	uint64_t seen = 0;
	size_t i;

	if (h->total == 0)
		return 0;
	for (i = 0; i < HISTOGRAM_BUCKETS - 1; i++) {
		seen += h->count[i];
		if ((double)seen >= want)
			break;
	}
	return histogram_bucket_max_us(i);
}
