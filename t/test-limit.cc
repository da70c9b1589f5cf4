/* Tests of the algorithms for the concurrency limit of a target. */
#include <gtest/gtest.h>

extern "C" {
#include "core/limit.h"
}

namespace {

/* Record as many equal calls as fill this number of windows. */
void
record_windows(struct limit *l, uint64_t took_us, bool ok, int windows)
{
	for (int i = 0; i < windows * LIMIT_WINDOW_CALLS; i++)
		limit_record_call(l, took_us, limit_current(l), ok);
}

} // namespace

TEST(Limit, SlotsIgnoresHowLongCallsTake)
{
	struct limit l;

	limit_init(&l, &limiter_slots, 50, 50);
	record_windows(&l, 1000, true, 10);
	record_windows(&l, 9000, true, 10);
	EXPECT_EQ(limit_current(&l), 50u);
}

TEST(Limit, SlotsFallsOnFailuresAndRecovers)
{
	struct limit l;

	limit_init(&l, &limiter_slots, 50, 50);
	record_windows(&l, 1000, false, 10);
	EXPECT_LT(limit_current(&l), 20u);
	record_windows(&l, 1000, true, 30);
	EXPECT_EQ(limit_current(&l), 50u);
}

TEST(Limit, GradientAndAimdFallWhenCallsAreSlow)
{
	for (auto *limiter : {&limiter_gradient, &limiter_aimd}) {
		struct limit l;

		limit_init(&l, limiter, 50, 100);
		record_windows(&l, 1000, true, 20);
		unsigned int before = limit_current(&l);
		record_windows(&l, 9000, true, 20);
		EXPECT_LT(limit_current(&l), before) << limiter->name;
		EXPECT_GE(limit_current(&l), (unsigned int)LIMIT_MIN_CALLS);
	}
}
