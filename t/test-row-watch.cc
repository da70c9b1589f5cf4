/* When a row that is followed is read again, with and without a feed. */
#include <gtest/gtest.h>

extern "C" {
#include "core/row_watch.h"
}

namespace {

const uint64_t INTERVAL_US = 2 * SEC_US;
const uint64_t WAIT_MS = 10000;

struct Watch {
	struct row_watch w = {};
	struct instant now = {1000 * SEC_US, 0};

	bool
	is_due()
	{
		return row_watch_due(&w, now, INTERVAL_US);
	}
	struct row
	ask()
	{
		struct row request = {};

		row_watch_ask(&w, &request, WAIT_MS, now);
		return request;
	}
	void
	answer(enum row_status status, uint64_t feed_position)
	{
		struct row row = {};

		row.status = status;
		row.feed_position = feed_position;
		row_watch_answered(&w, &row);
	}
};

} // namespace

TEST(RowWatch, WithoutAFeedReadsAtTheInterval)
{
	Watch f;

	EXPECT_TRUE(f.is_due());
	EXPECT_EQ(f.ask().wait_ms, 0u);
	f.answer(ROW_FOUND, 0);
	f.now.mono_us += INTERVAL_US - 1;
	EXPECT_FALSE(f.is_due());
	f.now.mono_us += 1;
	EXPECT_TRUE(f.is_due());
}

TEST(RowWatch, WithAFeedWaitsForChanges)
{
	struct row request;
	Watch f;

	f.ask();
	f.answer(ROW_FOUND, 7);
	EXPECT_TRUE(f.is_due());
	request = f.ask();
	EXPECT_EQ(request.wait_ms, WAIT_MS);
	EXPECT_EQ(request.feed_position, 7u);
	f.now.mono_us += WAIT_MS * MSEC_US;
	EXPECT_FALSE(f.is_due());
	f.answer(ROW_UNCHANGED, 9);
	EXPECT_TRUE(f.is_due());
	EXPECT_EQ(f.ask().feed_position, 9u);
}

/* The platform is not asked more often while it does not answer. */
TEST(RowWatch, AfterAFailureKeepsTheInterval)
{
	Watch f;

	f.ask();
	f.answer(ROW_FOUND, 7);
	f.ask();
	f.answer(ROW_UNKNOWN, 0);
	EXPECT_FALSE(f.is_due());
	f.now.mono_us += INTERVAL_US;
	EXPECT_TRUE(f.is_due());
	EXPECT_EQ(f.ask().feed_position, 7u);
	/* An answer that never comes does not stop the reads. */
	f.now.mono_us += WAIT_MS * MSEC_US + 4 * SEC_US;
	EXPECT_TRUE(f.is_due());
}

TEST(RowWatch, ReadsTheRowItselfIfTheHistoryIsGone)
{
	Watch f;

	f.ask();
	f.answer(ROW_FOUND, 7);
	f.ask();
	f.answer(ROW_HISTORY_GONE, 0);
	EXPECT_TRUE(f.is_due());
	EXPECT_EQ(f.ask().wait_ms, 0u);
}
