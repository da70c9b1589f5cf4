/*
 * Tests of the ledger of idempotency ids and of the format of ids.  They guard
 * against an id that runs again after it ran or may have run, and against the
 * answer "not run" about an attempt that may still run.
 */
#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "core/ledger.h"
}

namespace {

const struct addr ENTRY = {1, 1};

struct instant
instant_at(uint64_t us)
{
	return {us, us / MSEC_US};
}

struct LedgerFixture {
	struct ledger *l;
	struct ledger_record *rec = nullptr;

	explicit LedgerFixture(
	    size_t max_records = 10, size_t answer_bytes = 100)
	    : l(ledger_create(max_records, answer_bytes))
	{
	}
	~LedgerFixture()
	{
		ledger_destroy(l);
	}
	enum ledger_result
	begin(const char *id, uint64_t seq, uint64_t us = 1)
	{
		return ledger_begin(
		    l, "o", id, ENTRY, seq, instant_at(us), &rec);
	}
	void
	finish(const std::string &body)
	{
		struct reply r = {};

		r.status = 200;
		buffer_set(&r.body, body.data(), body.size());
		ledger_finish(l, rec, &r);
		reply_release(&r);
	}
};

} // namespace

TEST(Ledger, SecondAttemptFindsTheRecordOfTheFirst)
{
	LedgerFixture ledger;

	EXPECT_EQ(ledger.begin("x", 1), LEDGER_NEW);
	EXPECT_EQ(ledger.begin("x", 2), LEDGER_RUNNING);
	ledger.finish("answer");
	EXPECT_EQ(ledger.begin("x", 3), LEDGER_RAN);
	EXPECT_STREQ(ledger.rec->reply.body.data, "answer");
	EXPECT_EQ(ledger_find(ledger.l, "other", "x"), nullptr);
}

TEST(Ledger, TombstoneRefusesOnlyTheAttemptAskedFor)
{
	LedgerFixture ledger;

	EXPECT_EQ(ledger_query(
		      ledger.l, "o", "x", ENTRY, 5, instant_at(1), &ledger.rec),
	    FATE_TOMBSTONE);
	EXPECT_EQ(ledger.begin("x", 5), LEDGER_TOMBSTONED);
	EXPECT_EQ(ledger.begin("x", 6), LEDGER_NEW);
	EXPECT_EQ(ledger_query(
		      ledger.l, "o", "x", ENTRY, 5, instant_at(1), &ledger.rec),
	    FATE_RUNNING);
	ledger.finish("y");
	EXPECT_EQ(ledger_query(
		      ledger.l, "o", "x", ENTRY, 5, instant_at(1), &ledger.rec),
	    FATE_RAN);
}

TEST(Ledger, FullLedgerRefusesAndKeepsRecords)
{
	LedgerFixture ledger(2);

	EXPECT_EQ(ledger.begin("a", 1, 1), LEDGER_NEW);
	ledger.finish("1");
	EXPECT_EQ(ledger.begin("b", 2, 2), LEDGER_NEW);
	ledger.finish("2");
	EXPECT_EQ(ledger.begin("c", 3, 3), LEDGER_FULL);
	ledger_tick(ledger.l, instant_at(LEDGER_RETENTION_US));
	EXPECT_EQ(ledger_count(ledger.l), 2u);
	ledger_tick(ledger.l, instant_at(LEDGER_RETENTION_US + 2));
	EXPECT_EQ(ledger_count(ledger.l), 1u);
	EXPECT_EQ(ledger.begin("c", 3, LEDGER_RETENTION_US), LEDGER_NEW);
}

TEST(Ledger, OldestAnswersAreDroppedButNotTheirRecords)
{
	LedgerFixture ledger(10, 25);

	ledger.begin("a", 1);
	ledger.finish("0123456789");
	ledger.begin("b", 2);
	ledger.finish("0123456789");
	ledger.begin("c", 3);
	ledger.finish("0123456789");
	EXPECT_EQ(ledger.begin("a", 4), LEDGER_REPLY_GONE);
	EXPECT_EQ(ledger.begin("c", 5), LEDGER_RAN);
}

/* The frame that hands a record over holds 4 MiB. */
TEST(Ledger, AnAnswerTooLongToBeHandedOverIsNotKept)
{
	LedgerFixture ledger(10, 100 << 20);

	ledger.begin("a", 1);
	ledger.finish(std::string(4 << 20, 'x').c_str());
	EXPECT_EQ(ledger.begin("a", 2), LEDGER_REPLY_GONE);
	ledger.begin("b", 3);
	ledger.finish(std::string(2 << 20, 'x').c_str());
	EXPECT_EQ(ledger.begin("b", 4), LEDGER_RAN);
}

TEST(Ledger, UnknownOutcomeStaysUnknown)
{
	LedgerFixture ledger;

	ledger.begin("a", 1);
	ledger_set_unknown(ledger.rec);
	EXPECT_EQ(ledger.begin("a", 2), LEDGER_OUTCOME_UNKNOWN);
	EXPECT_EQ(ledger_query(
		      ledger.l, "o", "a", ENTRY, 1, instant_at(1), &ledger.rec),
	    FATE_UNKNOWN);
}

TEST(Ledger, ParsesOnlyWellFormedIds)
{
	char id[ID_LEN], dc[NAME_LEN];
	uint64_t stamp_ms;

	id_format(id, sizeof(id), 1234567, "plzen", 1, 2);
	ASSERT_TRUE(id_parse(id, &stamp_ms, dc, sizeof(dc)));
	EXPECT_EQ(stamp_ms, 1234567u);
	EXPECT_STREQ(dc, "plzen");
	for (const char *bad : {"", "x", "12", "12-", "12-a", "12-a-", "a-b-c",
		 "12--x", "9999999999999999-a-b", "12-a-b c", "-1-a-b"})
		EXPECT_FALSE(id_parse(bad, &stamp_ms, dc, sizeof(dc))) << bad;
}
