/* Guards against a context that is accepted though it was forged or altered. */
#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "core/hash.h"
#include "wire/context.h"
}

TEST(Context, RoundTripsAndRejectsAnyOtherText)
{
	uint8_t key[CONTEXT_KEY_LEN] = {1}, other[CONTEXT_KEY_LEN] = {2};
	struct call_context c = {}, got;
	char text[CONTEXT_TEXT_LEN];
	uint64_t rng = 1;
	size_t i;

	c.tree_id = 0x1234567890abcdef;
	c.job = 42;
	context_write(key, &c, text, sizeof(text));
	ASSERT_TRUE(context_read(key, text, &got));
	EXPECT_EQ(got.tree_id, c.tree_id);
	EXPECT_EQ(got.job, 42u);
	EXPECT_FALSE(context_read(other, text, &got));
	for (i = 0; i < strlen(text); i++) {
		std::string changed = text;

		changed[i] = changed[i] == '0' ? '1' : '0';
		EXPECT_FALSE(context_read(key, changed.c_str(), &got)) << i;
	}
	for (i = 0; i < 2000; i++) {
		std::string noise(rng_below(&rng, 100), ' ');

		for (auto &ch : noise)
			ch = static_cast<char>(1 + rng_below(&rng, 255));
		EXPECT_FALSE(context_read(key, noise.c_str(), &got));
	}
}
