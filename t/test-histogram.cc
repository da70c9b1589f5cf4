#include <gtest/gtest.h>

extern "C" {
#include "core/histogram.h"
}

TEST(Histogram, QuantileIsAtMost25PercentAboveTheValue)
{
	for (uint64_t us = 64; us < 200000000; us += us / 7 + 1) {
		struct histogram h = {};
		uint64_t quantile_us;

		histogram_add(&h, us);
		quantile_us = histogram_quantile_us(&h, 0.5);
		EXPECT_GE(quantile_us, us);
		EXPECT_LE((double)quantile_us, 1.25 * (double)us + 1);
	}
}

TEST(Histogram, QuantilesAndBucketBoundsIncrease)
{
	struct histogram h = {};

	EXPECT_EQ(histogram_quantile_us(&h, 0.99), 0u);
	for (int i = 0; i < 99; i++)
		histogram_add(&h, 1000);
	histogram_add(&h, 1000000);
	EXPECT_LE(histogram_quantile_us(&h, 0.5), 1250u);
	EXPECT_LE(histogram_quantile_us(&h, 0.99), 1250u);
	EXPECT_GE(histogram_quantile_us(&h, 1), 1000000u);
	histogram_add(&h, UINT64_MAX);
	EXPECT_EQ(histogram_quantile_us(&h, 1),
	    histogram_bucket_max_us(HISTOGRAM_BUCKETS - 1));
	for (size_t i = 1; i < HISTOGRAM_BUCKETS; i++)
		EXPECT_GT(
		    histogram_bucket_max_us(i), histogram_bucket_max_us(i - 1));
}
