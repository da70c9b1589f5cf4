/*
 * Tests of bodies that arrive in parts: they come out as they went in, and
 * what is said of their memory is what they can have used.
 */
#include <gtest/gtest.h>

#include <cstdlib>
#include <string>

extern "C" {
#include "daemon/body.h"
}

namespace {

std::string
text_of(size_t len)
{
	std::string s(len, 0);
	size_t i;

	for (i = 0; i < len; i++)
		s[i] = (char)((i * 31 + i / 251) % 253);
	return s;
}

/* Append a text in parts, and join it. */
void
expect_whole(size_t len, size_t part)
{
	std::string text = text_of(len);
	struct body b = {};
	size_t at, n, got;
	char *whole;

	for (at = 0; at < len; at += n) {
		n = std::min(part, len - at);
		body_append(&b, text.data() + at, n);
		ASSERT_EQ(b.len, at + n);
		ASSERT_GE(body_memory(&b), at + n);
		ASSERT_LE(body_memory(&b), 2 * (at + n) + 65536);
	}
	/* A long one takes little more than its size. */
	if (len > 1 << 20) {
		EXPECT_LE(body_memory(&b), len + len / 32);
	}
	whole = body_join(&b, &got);
	ASSERT_EQ(got, len);
	EXPECT_EQ(std::string(whole, got), text);
	EXPECT_EQ(whole[got], '\0');
	EXPECT_EQ(body_memory(&b), 0u);
	free(whole);
}

} // namespace

TEST(Body, ComesOutAsItWentIn)
{
	for (size_t len : {1, 2, 1000, 65535, 65536, 65537, 200000, 327680,
		 327681, 1000000}) {
		expect_whole(len, 1 + len / 7);
		expect_whole(len, 65536);
		expect_whole(len, len);
	}
	expect_whole(70000, 1);
	expect_whole(5 << 20, 65536);
}

TEST(Body, AnEmptyOneIsNothing)
{
	struct body b = {};
	size_t len = 1;

	EXPECT_EQ(body_join(&b, &len), nullptr);
	EXPECT_EQ(len, 0u);
	body_append(&b, "", 0);
	EXPECT_EQ(body_memory(&b), 0u);
	body_release(&b);
}

TEST(Body, MayBeReleasedAndUsedAgain)
{
	std::string text = text_of(1 << 20);
	struct body b = {};
	size_t len;
	char *whole;

	body_append(&b, text.data(), text.size());
	body_release(&b);
	EXPECT_EQ(body_memory(&b), 0u);
	body_append(&b, "wells", 5);
	whole = body_join(&b, &len);
	EXPECT_STREQ(whole, "wells");
	free(whole);
}
