#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "core/verdict.h"
}

TEST(Verdict, NamesRoundTrip)
{
	enum verdict v;

	for (int i = VERDICT_NOT_RUN; i <= VERDICT_RAN; i++) {
		ASSERT_TRUE(verdict_parse(
		    verdict_name(static_cast<enum verdict>(i)), &v));
		EXPECT_EQ(v, i);
	}
	EXPECT_FALSE(verdict_parse("maybe", &v));
}

TEST(Verdict, NonIdempotentCallIsRetriedOnlyIfNotRun)
{
	EXPECT_TRUE(verdict_may_retry(VERDICT_NOT_RUN, false));
	EXPECT_FALSE(verdict_may_retry(VERDICT_MAY_HAVE_RUN, false));
	EXPECT_TRUE(verdict_may_retry(VERDICT_MAY_HAVE_RUN, true));
	EXPECT_FALSE(verdict_may_retry(VERDICT_RAN, true));
}

TEST(Verdict, EveryReasonHasNameAndText)
{
	for (int i = 0; i < REASON_COUNT; i++) {
		enum reason r = static_cast<enum reason>(i);

		ASSERT_NE(reason_name(r), nullptr);
		EXPECT_GT(std::string(reason_text(r)).size(), 0u);
	}
	EXPECT_STREQ(reason_name(REASON_COUNT), "unknown-reason");
}
