#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "core/decision_log.h"
}

TEST(DecisionLog, FindsByIdAndTreeUntilOverwritten)
{
	struct decision_log *log = decision_log_create();
	struct decision *d = decision_log_add(log);
	char buf[4096];
	int i;

	d->step = "entry";
	d->tree_id = 0xabc;
	name_copy(d->id, "1-a-b", ID_LEN);
	d->failure = failure_make(VERDICT_NOT_RUN, REASON_SHED);
	EXPECT_GT(decision_log_print(log, "1-a-b", buf, sizeof(buf)), 0u);
	EXPECT_NE(std::string(buf).find("reason=shed"), std::string::npos);
	EXPECT_GT(
	    decision_log_print(log, "0000000000000abc", buf, sizeof(buf)), 0u);
	EXPECT_EQ(decision_log_print(log, "unknown", buf, sizeof(buf)), 0u);
	for (i = 0; i < DECISION_LOG_MAX_RECORDS; i++)
		decision_log_add(log)->step = "entry";
	EXPECT_EQ(decision_log_print(log, "1-a-b", buf, sizeof(buf)), 0u);
	decision_log_destroy(log);
}
