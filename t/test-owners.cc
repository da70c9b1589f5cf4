/*
 * Tests of the table of owners of idempotency ids.  They guard against an id
 * that runs twice, because its new owner lacks the records of the old one or
 * because a daemon that is no longer the owner takes itself for it.
 */
#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "core/owners.h"
}

namespace {

const struct addr SELF = {1, 1};

struct instant
instant_at(uint64_t us)
{
	return {us, us / MSEC_US};
}

/*
 * Members 1 to 3 own ids of any stamp; member 1 is this daemon.  A line of the
 * row is: IP, port, incarnation, from_ms, until_ms, owner_state.
 */
struct ThreeOwners {
	struct owner_tables tables = LIST_HEAD_INITIALIZER(tables);
	struct owner_table *t = owner_table_get(&tables, "a");

	ThreeOwners()
	{
		load(1, "1 1 9 0 0 0\n2 1 9 0 0 0\n3 1 9 0 0 0\n");
	}
	~ThreeOwners()
	{
		owner_tables_release(&tables);
	}
	bool
	load(uint64_t epoch, const std::string &text)
	{
		return owner_table_load(t, epoch, text.data(), text.size());
	}
	struct owner
	find(const std::string &id, uint64_t stamp_ms = 5000,
	    uint64_t now_us = SEC_US)
	{
		return owner_table_find(
		    t, SELF, 9, id.c_str(), stamp_ms, instant_at(now_us));
	}
	/* An id that the member at this address owns. */
	std::string
	id_owned_by(uint32_t ip)
	{
		for (int i = 0;; i++) {
			std::string id = "id" + std::to_string(i);

			if (find(id).entry->addr.ip == ip)
				return id;
		}
	}
};

} // namespace

TEST(Owners, OwnerNeedsFreshProof)
{
	ThreeOwners t;
	std::string id = t.id_owned_by(1);

	EXPECT_EQ(t.find(id).kind, OWNER_IS_UNPROVED);
	owner_table_prove(t.t, SEC_US);
	EXPECT_EQ(t.find(id).kind, OWNER_IS_SELF);
	EXPECT_EQ(t.find(id, 5000, SEC_US + OWNERS_PROOF_TTL_US).kind,
	    OWNER_IS_UNPROVED);
	EXPECT_EQ(t.find(t.id_owned_by(2)).kind, OWNER_IS_OTHER);
}

TEST(Owners, LoadingALaterRowDropsTheProof)
{
	ThreeOwners t;
	std::string id = t.id_owned_by(1);

	owner_table_prove(t.t, SEC_US);
	EXPECT_FALSE(t.load(1, "2 1 9 0 0 0\n")) << "the same epoch";
	EXPECT_TRUE(t.load(2, "1 1 9 0 0 0\n"));
	EXPECT_EQ(t.find(id).kind, OWNER_IS_UNPROVED);
}

TEST(Owners, JoinDoesNotMoveIdsStampedBeforeIt)
{
	ThreeOwners t;
	std::string id = t.id_owned_by(2), text = "1 1 9 0 0 0\n2 1 9 0 0 0\n"
						  "3 1 9 0 0 0\n";

	for (int ip = 10; ip < 60; ip++)
		text += std::to_string(ip) + " 1 9 6000 0 0\n";
	t.load(2, text);
	EXPECT_EQ(t.find(id, 5999).entry->addr.ip, 2u);
}

/* Ids stamped in its period may have run there; later ids are not its own. */
TEST(Owners, IdsOfTheGoneOwnersPeriodAreLost)
{
	ThreeOwners t;
	std::string id = t.id_owned_by(2);

	t.load(2, "1 1 9 0 0 0\n2 1 9 0 6000 2\n3 1 9 0 0 0\n");
	EXPECT_EQ(t.find(id, 5999).kind, OWNER_IS_LOST);
	EXPECT_NE(t.find(id, 6000).kind, OWNER_IS_LOST);
	EXPECT_NE(t.find(id, 6000).entry->addr.ip, 2u);
}

TEST(Owners, IdsOfALeftOwnerMoveOnceItsRecordsArrived)
{
	ThreeOwners t;
	std::string id = t.id_owned_by(2);

	t.load(2, "1 1 9 0 0 0\n2 1 9 0 6000 1\n3 1 9 0 0 0\n");
	EXPECT_EQ(t.find(id).kind, OWNER_IS_LOST);
	owner_table_entry(t.t, {2, 1}, 9)->records_received = true;
	EXPECT_NE(t.find(id).kind, OWNER_IS_LOST);
	t.load(3, "1 1 9 0 0 0\n2 1 9 0 6000 1\n3 1 9 0 0 0\n4 1 1 9000 0 0\n");
	EXPECT_NE(t.find(id).kind, OWNER_IS_LOST) << "records_received is kept";
}

/* A daemon that is not a member only needs the member to ask. */
TEST(Owners, NonMemberFindsTheSuccessorOfALeftOwner)
{
	ThreeOwners t;
	std::string id = t.id_owned_by(2);
	struct owner o;

	t.load(2, "1 1 9 0 0 0\n2 1 9 0 6000 1\n3 1 9 0 0 0\n");
	o = owner_table_find(
	    t.t, {7, 1}, 0, id.c_str(), 5000, instant_at(SEC_US));
	EXPECT_EQ(o.kind, OWNER_IS_OTHER);
	EXPECT_EQ(
	    o.entry, owner_table_successor(t.t, {2, 1}, 9, id.c_str(), 5000));
}

TEST(Owners, EarlierEndOfAnEntryStays)
{
	struct owner_entry e = {};

	owner_entry_end(&e, OWNER_ACTIVE, 5000);
	owner_entry_end(&e, OWNER_GONE, 9000);
	EXPECT_EQ(e.until_ms, 5000u);
	EXPECT_EQ(e.state, OWNER_GONE);
}

TEST(Owners, TextRoundTripsAndOldEntriesArePruned)
{
	ThreeOwners t;
	struct owner_table *copy;
	struct buffer b = {};

	t.load(2, "1 1 9 0 0 0\nrubbish\n2 1 9 0 6000 2\n3 99999 9 0 0 0\n");
	copy = owner_table_copy(t.t);
	owner_table_add(copy, {4, 4}, 8, 7000);
	owner_table_format(copy, &b);
	EXPECT_STREQ(b.data, "1 1 9 0 0 0\n2 1 9 0 6000 2\n4 4 8 7000 0 0\n");
	EXPECT_FALSE(
	    owner_table_prune(copy, 6000 + OWNERS_ID_RETENTION_MS - 1));
	EXPECT_TRUE(owner_table_prune(copy, 6000 + OWNERS_ID_RETENTION_MS));
	owner_table_format(copy, &b);
	EXPECT_STREQ(b.data, "1 1 9 0 0 0\n4 4 8 7000 0 0\n");
	buffer_release(&b);
	owner_table_destroy(copy);
}

TEST(Owners, AbsentRowMeansNoOwner)
{
	struct owner_tables tables = LIST_HEAD_INITIALIZER(tables);
	struct owner_table *t = owner_table_get(&tables, "a");

	EXPECT_TRUE(owner_table_load(t, 0, nullptr, 0));
	EXPECT_TRUE(t->known);
	EXPECT_EQ(owner_table_find(t, SELF, 9, "id", 1, instant_at(1)).kind,
	    OWNER_IS_NOBODY);
	owner_tables_release(&tables);
}
