/* The order of positions in a store that comes back from a copy. */
#include <gtest/gtest.h>

extern "C" {
#include "core/position.h"
}

namespace {

uint64_t
position(uint64_t era, uint64_t version)
{
	uint64_t p = 0;

	EXPECT_TRUE(position_make(era, version, &p));
	return p;
}

} // namespace

TEST(Position, ALaterEraComesAfterAnyVersionOfAnEarlierOne)
{
	EXPECT_LT(position(1, 5), position(1, 6));
	EXPECT_LT(position(1, POSITION_MAX_VERSION), position(2, 0));
	EXPECT_LT(position(2, 7), position(POSITION_MAX_ERA, 1));
}

TEST(Position, AStoreWithoutErasIsOrderedByItsVersions)
{
	EXPECT_EQ(position(0, 0), 0u);
	EXPECT_EQ(position(0, 530), 530u);
}

TEST(Position, HasItsEraAndItsVersion)
{
	uint64_t p = position(3, 530);

	EXPECT_EQ(position_era(p), 3u);
	EXPECT_EQ(position_version(p), 530u);
	/* A version that stands for any is no position. */
	EXPECT_LT(position(POSITION_MAX_ERA, POSITION_MAX_VERSION), UINT64_MAX);
}

TEST(Position, RefusesWhatItCannotOrder)
{
	uint64_t p = 9;

	EXPECT_FALSE(position_make(POSITION_MAX_ERA + 1, 1, &p));
	EXPECT_FALSE(position_make(1, POSITION_MAX_VERSION + 1, &p));
	EXPECT_EQ(p, 9u);
}
