#include <gtest/gtest.h>

extern "C" {
#include "core/group.h"
}

namespace {

struct instant
at(uint64_t us)
{
	return {us, us / MSEC_US};
}

struct member_record
record(uint32_t ip, uint64_t incarnation = 1, uint64_t from_ms = 0)
{
	struct member_record r = {};

	r.addr = {ip, 1};
	r.incarnation = incarnation;
	r.owner_from_ms = from_ms;
	r.slots = 1;
	name_copy(r.dc, "a", sizeof(r.dc));
	return r;
}

/* Member 1 is this daemon. */
struct Three {
	struct group *g = group_create("s", "a");

	Three()
	{
		struct member_record r = record(1);

		group_join(g, &r, at(SEC_US));
		for (uint32_t ip = 2; ip <= 3; ip++) {
			r = record(ip);
			group_merge(g, &r, at(SEC_US));
		}
	}
	~Three()
	{
		group_destroy(g);
	}
	/* An id that a member owns. */
	std::string
	id_of(uint32_t ip, uint64_t stamp_ms = 5000)
	{
		for (int i = 0;; i++) {
			std::string id = "id" + std::to_string(i);
			struct owner o = group_owner(
			    g, "a", id.c_str(), stamp_ms, at(SEC_US));

			if (o.member != nullptr &&
			    o.member->record.addr.ip == ip)
				return id;
		}
	}
};

} // namespace

TEST(Group, OwnerNeedsALeaseFromTheMajority)
{
	Three t;
	std::string id = t.id_of(1);

	EXPECT_EQ(group_owner(t.g, "a", id.c_str(), 5000, at(SEC_US)).kind,
	    OWNER_NO_LEASE);
	group_granted(t.g, {2, 1}, SEC_US, 0, at(SEC_US));
	EXPECT_EQ(group_owner(t.g, "a", id.c_str(), 5000, at(SEC_US)).kind,
	    OWNER_SELF);
	EXPECT_EQ(
	    group_owner(t.g, "a", id.c_str(), 5000, at(SEC_US + GROUP_LEASE_US))
		.kind,
	    OWNER_NO_LEASE);
}

TEST(Group, LateJoinChangesNoOldId)
{
	Three t;
	std::string id = t.id_of(2);
	struct member_record r;
	uint32_t ip;

	for (ip = 10; ip < 60; ip++) {
		r = record(ip, 1, 6000);
		group_merge(t.g, &r, at(SEC_US));
	}
	EXPECT_EQ(group_owner(t.g, "a", id.c_str(), 5999, at(SEC_US))
		      .member->record.addr.ip,
	    2u);
}

TEST(Group, GoneOwnerLeavesDoubtForItsTime)
{
	Three t;
	std::string id = t.id_of(2);
	struct instant late = at(SEC_US + GROUP_GONE_US + 1);

	group_granted(t.g, {3, 1}, late.mono_us, 0, late);
	EXPECT_TRUE(group_tick(t.g, late));
	EXPECT_EQ(
	    group_owner(t.g, "a", id.c_str(), 5000, late).kind, OWNER_DOUBT);
	EXPECT_NE(group_owner(t.g, "a", id.c_str(),
		      late.wall_ms + 2 * GROUP_SKEW_MS + 1, late)
		      .kind,
	    OWNER_DOUBT);
}

TEST(Group, NotGoneWhileAGrantMayRun)
{
	Three t;
	struct instant heard = at(3 * SEC_US);

	EXPECT_TRUE(group_grant(t.g, {2, 1}, 1, heard));
	group_tick(t.g, at(heard.mono_us + GROUP_GONE_US));
	EXPECT_EQ(group_find(t.g, {2, 1})->record.state, MEMBER_ALIVE);
	EXPECT_FALSE(group_grant(t.g, {2, 1}, 2, heard)) << "another life";
}

TEST(Group, GossipDoesNotEndAPeerOfATarget)
{
	Three t;
	struct member_record r = record(2);

	r.state = MEMBER_GONE;
	EXPECT_FALSE(group_merge(t.g, &r, at(SEC_US)));
	r.state = MEMBER_LEAVING;
	r.ended_ms = 9000;
	EXPECT_TRUE(group_merge(t.g, &r, at(SEC_US)));
	r.state = MEMBER_ALIVE;
	EXPECT_FALSE(group_merge(t.g, &r, at(SEC_US)));
}

TEST(Group, LeftOwnerPassesItsIdsOnWhenHandedOver)
{
	Three t;
	std::string id = t.id_of(2);
	struct member_record r = record(2);

	r.state = MEMBER_LEFT;
	r.ended_ms = 6000;
	group_merge(t.g, &r, at(SEC_US));
	EXPECT_EQ(group_owner(t.g, "a", id.c_str(), 5000, at(SEC_US)).kind,
	    OWNER_DOUBT);
	group_find(t.g, {2, 1})->handed = true;
	EXPECT_NE(group_owner(t.g, "a", id.c_str(), 5000, at(SEC_US)).kind,
	    OWNER_DOUBT);
}

TEST(Group, DigestTellsChanges)
{
	Three a, b;
	struct member_record r = record(3);

	EXPECT_EQ(group_digest(a.g), group_digest(b.g));
	r.state = MEMBER_LEAVING;
	group_merge(a.g, &r, at(SEC_US));
	EXPECT_NE(group_digest(a.g), group_digest(b.g));
	EXPECT_EQ(group_gone_digest(a.g), group_gone_digest(b.g));
}
