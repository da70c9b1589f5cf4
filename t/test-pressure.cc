/* Tests of the pressure that a target reports, and of what it refuses. */
#include <gtest/gtest.h>

extern "C" {
#include "core/pressure.h"
}

TEST(Pressure, RisesWhileCallsWaitTooLongAndFallsAfter)
{
	struct pressure p = {};

	pressure_record_wait(&p, 10, 100);
	pressure_tick(&p);
	EXPECT_EQ(p.fraction, 0);
	for (int i = 0; i < 30; i++) {
		pressure_record_wait(&p, 60, 100);
		pressure_tick(&p);
	}
	EXPECT_GT(p.fraction, 0.9);
	EXPECT_LT(p.fraction, 1);
	for (int i = 0; i < 300; i++)
		pressure_tick(&p);
	EXPECT_EQ(p.fraction, 0);
}

TEST(Pressure, OneRefusalRaisesIt)
{
	struct pressure p = {};

	pressure_record_refusal(&p);
	pressure_tick(&p);
	EXPECT_GT(p.fraction, 0);
}

TEST(ImportanceMix, LeastImportantAreRefusedFirst)
{
	struct importance_mix m = {};

	for (int i = 0; i < 60; i++)
		importance_mix_record(&m, IMPORTANCE_LOW);
	for (int i = 0; i < 40; i++)
		importance_mix_record(&m, IMPORTANCE_HIGH);
	EXPECT_FALSE(importance_mix_refuses(&m, 0, IMPORTANCE_LOW, 0));
	/* Half of the calls of low importance, by level. */
	EXPECT_TRUE(importance_mix_refuses(&m, 0.3, IMPORTANCE_LOW, 10));
	EXPECT_FALSE(importance_mix_refuses(&m, 0.3, IMPORTANCE_LOW, 100));
	EXPECT_FALSE(importance_mix_refuses(&m, 0.3, IMPORTANCE_HIGH, 0));
	/* All calls of low importance, and half of those of high. */
	EXPECT_TRUE(importance_mix_refuses(&m, 0.8, IMPORTANCE_LOW, 127));
	EXPECT_TRUE(importance_mix_refuses(&m, 0.8, IMPORTANCE_HIGH, 10));
	EXPECT_FALSE(importance_mix_refuses(&m, 0.8, IMPORTANCE_HIGH, 100));
}

/* Callers that retry after a refusal have the highest level. */
TEST(ImportanceMix, HighestLevelOfClassIsRefusedLast)
{
	struct importance_mix m = {};

	for (int i = 0; i < 100; i++)
		importance_mix_record(&m, IMPORTANCE_LOW);
	EXPECT_TRUE(importance_mix_refuses(&m, 0.9, IMPORTANCE_LOW, 100));
	EXPECT_FALSE(importance_mix_refuses(
	    &m, 0.9, IMPORTANCE_LOW, IMPORTANCE_LEVELS - 1));
}

TEST(ImportanceMix, OldCallsDecay)
{
	struct importance_mix m = {};

	for (int i = 0; i < 100; i++)
		importance_mix_record(&m, IMPORTANCE_LOW);
	for (int i = 0; i < 100; i++)
		importance_mix_tick(&m);
	for (int i = 0; i < 100; i++)
		importance_mix_record(&m, IMPORTANCE_HIGH);
	EXPECT_TRUE(importance_mix_refuses(&m, 0.5, IMPORTANCE_HIGH, 0));
}
