#include <cstdio>
#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "cli/line_diff.h"
}

static std::string
diff_of(const char *before, const char *after, bool *differ)
{
	char *buf = nullptr;
	size_t len = 0;
	FILE *f = open_memstream(&buf, &len);
	std::string text;

	*differ = line_diff_print(before, after, f);
	fclose(f);
	text = buf;
	free(buf);
	return text;
}

TEST(LineDiff, PrintsOnlyLinesThatDiffer)
{
	bool differ;

	EXPECT_EQ(diff_of("a\nb\nc\n", "a\nx\nc\n", &differ), "-b\n+x\n");
	EXPECT_TRUE(differ);
	EXPECT_EQ(diff_of("a\n", "a\n", &differ), "");
	EXPECT_FALSE(differ);
	EXPECT_EQ(diff_of("", "a\n", &differ), "+a\n");
}
