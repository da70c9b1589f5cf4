#include <cstdio>
#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "cli/line_diff.h"
}

static std::string
diff(const char *a, const char *b, bool *any)
{
	char *buf = nullptr;
	size_t len = 0;
	FILE *f = open_memstream(&buf, &len);
	std::string s;

	*any = line_diff_print(a, b, f);
	fclose(f);
	s = buf;
	free(buf);
	return s;
}

TEST(Lines, OnlyWhatDiffers)
{
	bool any;

	EXPECT_EQ(diff("a\nb\nc\n", "a\nx\nc\n", &any), "-b\n+x\n");
	EXPECT_TRUE(any);
	EXPECT_EQ(diff("a\n", "a\n", &any), "");
	EXPECT_FALSE(any);
	EXPECT_EQ(diff("", "a\n", &any), "+a\n");
}
