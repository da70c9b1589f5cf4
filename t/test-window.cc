/* How windows of call trees follow the time of nested calls. */
#include <gtest/gtest.h>

extern "C" {
#include "core/window.h"
}

namespace {

const uint64_t GOAL_US = 1 * SEC_US;
const enum importance LOW = IMPORTANCE_LOW;

/* One target, on which some trees always wait to begin. */
struct Target {
	struct windows w;

	Target()
	{
		windows_init(&w, 40);
	}
	/* Begin as many trees as may, and let nested calls take a time. */
	void
	tick(double ratio)
	{
		while (windows_may_start(&w, LOW))
			windows_start(&w, LOW);
		for (int i = 0; i < 10; i++)
			windows_record_nested(
			    &w, (uint64_t)(ratio * (double)GOAL_US), GOAL_US);
		windows_tick(&w);
		while (w.of[LOW].running > (unsigned int)w.of[LOW].limit)
			windows_end(&w, LOW);
	}
	double
	limit() const
	{
		return w.of[LOW].limit;
	}
};

} // namespace

TEST(Window, ShrinksWhileNestedCallsAreSlow)
{
	Target t;

	for (int i = 0; i < 10; i++)
		t.tick(1.0);
	EXPECT_LT(t.limit(), 20);
	for (int i = 0; i < 200; i++)
		t.tick(1.0);
	EXPECT_GE(t.limit(), 1);
	EXPECT_TRUE(windows_may_start(&t.w, LOW) || t.w.of[LOW].running > 0);
}

TEST(Window, GrowsWhileNestedCallsAreFastAndTreesWait)
{
	Target t;
	double before;

	for (int i = 0; i < 50; i++)
		t.tick(1.0);
	before = t.limit();
	for (int i = 0; i < 30; i++)
		t.tick(0.2);
	EXPECT_GT(t.limit(), 2 * before);
	EXPECT_LE(t.limit(), 40);
}

/* Otherwise a surge would find a window that nothing has tested. */
TEST(Window, IsNotMuchLargerThanWhatRan)
{
	struct windows w;

	windows_init(&w, 40);
	windows_start(&w, LOW);
	windows_start(&w, LOW);
	for (int i = 0; i < 100; i++) {
		windows_record_nested(&w, GOAL_US / 10, GOAL_US);
		windows_tick(&w);
	}
	EXPECT_LE(w.of[LOW].limit, 10);
	EXPECT_GE(w.of[LOW].limit, 4);
}

/* A target whose work makes no nested calls is limited by its slots alone. */
TEST(Window, WithoutNestedCallsIsTheWholeTarget)
{
	struct windows w;

	windows_init(&w, 40);
	for (int i = 0; i < 300; i++)
		windows_tick(&w);
	EXPECT_EQ(w.of[LOW].limit, 40);
	windows_record_nested(&w, 2 * GOAL_US, GOAL_US);
	windows_tick(&w);
	EXPECT_LT(w.of[LOW].limit, 40);
	for (int i = 0; i < 300; i++)
		windows_tick(&w);
	EXPECT_EQ(w.of[LOW].limit, 40);
}

TEST(Window, ImportantTreesBearSlowerNestedCalls)
{
	const enum importance high = IMPORTANCE_HIGH;
	struct windows w;

	windows_init(&w, 40);
	for (int i = 0; i < 30; i++) {
		while (windows_may_start(&w, LOW))
			windows_start(&w, LOW);
		while (windows_may_start(&w, high))
			windows_start(&w, high);
		windows_record_nested(&w, GOAL_US / 10 * 7, GOAL_US);
		windows_tick(&w);
	}
	EXPECT_LT(w.of[LOW].limit, 20);
	EXPECT_GT(w.of[high].limit, 35);
}
