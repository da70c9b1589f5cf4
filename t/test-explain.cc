#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "core/explain.h"
}

TEST(Explain, FindsByIdAndTreeUntilOverwritten)
{
	struct explain *e = explain_create();
	struct decision *d = explain_add(e);
	char buf[4096];
	int i;

	d->step = "entry";
	d->tree = 0xabc;
	name_copy(d->id, "1-a-b", ID_LEN);
	d->failure = failure_make(VERDICT_NOT_RUN, REASON_SHED);
	EXPECT_GT(explain_print(e, "1-a-b", buf, sizeof(buf)), 0u);
	EXPECT_NE(std::string(buf).find("reason=shed"), std::string::npos);
	EXPECT_GT(explain_print(e, "0000000000000abc", buf, sizeof(buf)), 0u);
	EXPECT_EQ(explain_print(e, "unknown", buf, sizeof(buf)), 0u);
	for (i = 0; i < EXPLAIN_RECORDS; i++)
		explain_add(e)->step = "entry";
	EXPECT_EQ(explain_print(e, "1-a-b", buf, sizeof(buf)), 0u);
	explain_destroy(e);
}
