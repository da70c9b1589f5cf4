/*
 * Tests of the memory of bodies that arrive in parts: their content survives
 * each growth, and what is said of their memory is what they can have used.
 */
#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>

extern "C" {
#include "daemon/body.h"
}

namespace {

/* Fill a body in parts, and check it; returns the size of its allocation. */
size_t
fill(size_t total, size_t part, size_t most)
{
	char *data = nullptr;
	size_t cap = 0, len, i;

	for (len = 0; len < total; len += part) {
		cap = body_reserve(&data, cap, len + part, most);
		EXPECT_GE(cap, len + part);
		memset(data + len, (int)(len / part % 251), part);
		EXPECT_GE(body_memory(len + part, cap), len + part);
		EXPECT_LE(body_memory(len + part, cap), cap);
	}
	for (i = 0; i < total; i++)
		EXPECT_EQ((unsigned char)data[i], i / part % 251);
	free(data);
	return cap;
}

} // namespace

TEST(Body, KeepsItsContentAsItGrows)
{
	fill(1000, 1, 0);
	fill(200000, 1000, 0);
	EXPECT_LE(fill(8 << 20, 65536, 0), (8u << 20) * 5 / 4);
}

TEST(Body, TakesNoMoreThanItsKnownLength)
{
	EXPECT_EQ(fill(1 << 20, 65536, 1 << 20), 1u << 20);
	EXPECT_EQ(fill(300, 100, 300), 300u);
}

TEST(Body, RoomThatWasNotWrittenToTakesNoMemory)
{
	char *data = nullptr;
	size_t cap = body_reserve(&data, 0, 8 << 20, 0);

	EXPECT_GT(cap, 9u << 20);
	EXPECT_LE(body_memory(8 << 20, cap), (8u << 20) + 4096);
	/* The room of a small one may have been used before. */
	EXPECT_EQ(body_memory(100, 200), 200u);
	free(data);
}
