#include <gtest/gtest.h>

extern "C" {
#include "core/limit.h"
}

namespace {

void
finish(struct limit *l, uint64_t us, bool ok, int windows)
{
	for (int i = 0; i < windows * LIMIT_WINDOW; i++)
		limit_finished(l, us, limit_now(l), ok);
}

} // namespace

TEST(Limit, SlotsStayWhateverACallTakes)
{
	struct limit l;

	limit_init(&l, &limiter_slots, 50, 50);
	finish(&l, 1000, true, 10);
	finish(&l, 9000, true, 10);
	EXPECT_EQ(limit_now(&l), 50u);
}

TEST(Limit, SlotsShrinkOnFailureAndComeBack)
{
	struct limit l;

	limit_init(&l, &limiter_slots, 50, 50);
	finish(&l, 1000, false, 10);
	EXPECT_LT(limit_now(&l), 20u);
	finish(&l, 1000, true, 30);
	EXPECT_EQ(limit_now(&l), 50u);
}

TEST(Limit, GradientAndAimdFollowTime)
{
	for (auto *limiter : {&limiter_gradient, &limiter_aimd}) {
		struct limit l;

		limit_init(&l, limiter, 50, 100);
		finish(&l, 1000, true, 20);
		unsigned int before = limit_now(&l);
		finish(&l, 9000, true, 20);
		EXPECT_LT(limit_now(&l), before) << limiter->name;
		EXPECT_GE(limit_now(&l), (unsigned int)LIMIT_MIN);
	}
}
