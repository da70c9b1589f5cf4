#include <gtest/gtest.h>

extern "C" {
#include "core/limit.h"
}

namespace {

void
finish(struct limit *l, uint64_t us, bool ok, int windows)
{
	for (int i = 0; i < windows * LIMIT_WINDOW_CALLS; i++)
		limit_record_call(l, us, limit_current(l), ok);
}

} // namespace

TEST(Limit, SlotsStayWhateverACallTakes)
{
	struct limit l;

	limit_init(&l, &limiter_slots, 50, 50);
	finish(&l, 1000, true, 10);
	finish(&l, 9000, true, 10);
	EXPECT_EQ(limit_current(&l), 50u);
}

TEST(Limit, SlotsShrinkOnFailureAndComeBack)
{
	struct limit l;

	limit_init(&l, &limiter_slots, 50, 50);
	finish(&l, 1000, false, 10);
	EXPECT_LT(limit_current(&l), 20u);
	finish(&l, 1000, true, 30);
	EXPECT_EQ(limit_current(&l), 50u);
}

TEST(Limit, GradientAndAimdFollowTime)
{
	for (auto *limiter : {&limiter_gradient, &limiter_aimd}) {
		struct limit l;

		limit_init(&l, limiter, 50, 100);
		finish(&l, 1000, true, 20);
		unsigned int before = limit_current(&l);
		finish(&l, 9000, true, 20);
		EXPECT_LT(limit_current(&l), before) << limiter->name;
		EXPECT_GE(limit_current(&l), (unsigned int)LIMIT_MIN_CALLS);
	}
}
