#include <gtest/gtest.h>

extern "C" {
#include "core/pressure.h"
}

TEST(Pressure, RisesUnderStrainAndFallsInCalm)
{
	struct pressure p = {};

	pressure_note(&p, 10, 100);
	pressure_tick(&p);
	EXPECT_EQ(p.share, 0);
	for (int i = 0; i < 30; i++) {
		pressure_note(&p, 60, 100);
		pressure_tick(&p);
	}
	EXPECT_GT(p.share, 0.9);
	EXPECT_LT(p.share, 1);
	for (int i = 0; i < 300; i++)
		pressure_tick(&p);
	EXPECT_EQ(p.share, 0);
}

TEST(Pressure, OneRefusalIsAStrain)
{
	struct pressure p = {};

	pressure_refused(&p);
	pressure_tick(&p);
	EXPECT_GT(p.share, 0);
}

TEST(ClassMix, LeastImportantGoFirst)
{
	struct class_mix m = {};

	for (int i = 0; i < 60; i++)
		class_mix_note(&m, IMPORTANCE_LOW);
	for (int i = 0; i < 40; i++)
		class_mix_note(&m, IMPORTANCE_HIGH);
	EXPECT_FALSE(class_mix_refuses(&m, 0, IMPORTANCE_LOW, 0));
	/* Half of the low ones, by level. */
	EXPECT_TRUE(class_mix_refuses(&m, 0.3, IMPORTANCE_LOW, 10));
	EXPECT_FALSE(class_mix_refuses(&m, 0.3, IMPORTANCE_LOW, 100));
	EXPECT_FALSE(class_mix_refuses(&m, 0.3, IMPORTANCE_HIGH, 0));
	/* All low ones, and half of the high. */
	EXPECT_TRUE(class_mix_refuses(&m, 0.8, IMPORTANCE_LOW, 127));
	EXPECT_TRUE(class_mix_refuses(&m, 0.8, IMPORTANCE_HIGH, 10));
	EXPECT_FALSE(class_mix_refuses(&m, 0.8, IMPORTANCE_HIGH, 100));
}

TEST(ClassMix, WhoComesBackGoesLastWithinItsClass)
{
	struct class_mix m = {};

	for (int i = 0; i < 100; i++)
		class_mix_note(&m, IMPORTANCE_LOW);
	EXPECT_TRUE(class_mix_refuses(&m, 0.9, IMPORTANCE_LOW, 100));
	EXPECT_FALSE(
	    class_mix_refuses(&m, 0.9, IMPORTANCE_LOW, PRESSURE_LEVELS - 1));
}

TEST(ClassMix, TheMixFades)
{
	struct class_mix m = {};

	for (int i = 0; i < 100; i++)
		class_mix_note(&m, IMPORTANCE_LOW);
	for (int i = 0; i < 100; i++)
		class_mix_tick(&m);
	for (int i = 0; i < 100; i++)
		class_mix_note(&m, IMPORTANCE_HIGH);
	EXPECT_TRUE(class_mix_refuses(&m, 0.5, IMPORTANCE_HIGH, 0));
}
