/*
 * Tests of buffers that share their bytes: that the bytes stay as long as one
 * of them does, and are freed with the last one (the sanitizers tell).
 */
#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>

extern "C" {
#include "core/msg.h"
}

TEST(Buffer, SharedBytesOutliveTheBufferThatHadThem)
{
	struct buffer first = {}, second = {}, third = {};

	buffer_set(&first, "pumps", 5);
	buffer_share(&second, &first);
	buffer_share(&third, &second);
	EXPECT_EQ(second.data, first.data);
	buffer_release(&first);
	EXPECT_EQ(first.data, nullptr);
	EXPECT_STREQ(second.data, "pumps");
	buffer_set(&second, "wells", 5);
	EXPECT_STREQ(third.data, "pumps");
	EXPECT_EQ(third.len, 5u);
	buffer_release(&second);
	buffer_release(&third);
}

TEST(Buffer, MoveKeepsTheOthersThatShare)
{
	struct buffer first = {}, second = {}, third = {};

	buffer_set(&first, "pumps", 5);
	buffer_share(&second, &first);
	buffer_move(&third, &first);
	EXPECT_EQ(first.data, nullptr);
	buffer_release(&third);
	EXPECT_STREQ(second.data, "pumps");
	buffer_release(&second);
}

TEST(Buffer, EmptyBuffersAreSharedAndAdopted)
{
	struct buffer first = {}, second = {};

	buffer_share(&second, &first);
	EXPECT_EQ(second.data, nullptr);
	buffer_adopt(&second, nullptr, 0);
	buffer_adopt(&second, strdup("wells"), 5);
	EXPECT_STREQ(second.data, "wells");
	buffer_release(&second);
	buffer_release(&first);
}

TEST(Reply, SharesItsBodyAndHasItsOwnFields)
{
	struct reply first = {}, second = {};

	first.status = 200;
	buffer_set(&first.body, "pumps", 5);
	reply_share(&second, &first);
	second.status = 503;
	EXPECT_EQ(first.status, 200);
	EXPECT_EQ(second.body.data, first.body.data);
	reply_release(&first);
	EXPECT_STREQ(second.body.data, "pumps");
	reply_release(&second);
}
