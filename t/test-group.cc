/* Tests of how the members of a group and their states are learned. */
#include <gtest/gtest.h>

extern "C" {
#include "core/group.h"
}

namespace {

struct instant
instant_at(uint64_t us)
{
	return {us, us / MSEC_US};
}

struct member_record
record(uint32_t ip, uint64_t incarnation = 1)
{
	struct member_record r = {};

	r.addr = {ip, 1};
	r.incarnation = incarnation;
	r.slots = 1;
	name_copy(r.dc, "a", sizeof(r.dc));
	return r;
}

/* Members 1 to 3; member 1 is the local target. */
struct ThreeMembers {
	struct group *g = group_create("s", "a");

	ThreeMembers()
	{
		struct member_record r = record(1);

		group_join(g, &r, instant_at(SEC_US));
		for (uint32_t ip = 2; ip <= 3; ip++) {
			r = record(ip);
			group_merge(g, &r, instant_at(SEC_US));
		}
	}
	~ThreeMembers()
	{
		group_destroy(g);
	}
};

} // namespace

TEST(Group, SilentMemberIsGoneAndALaterIncarnationIsAlive)
{
	ThreeMembers t;
	struct instant last_heard = instant_at(3 * SEC_US);
	struct member_record restarted = record(2, 2);

	EXPECT_TRUE(group_record_heartbeat(t.g, {2, 1}, 1, last_heard));
	EXPECT_FALSE(group_record_heartbeat(t.g, {2, 1}, 2, last_heard))
	    << "another incarnation";
	group_tick(
	    t.g, instant_at(last_heard.mono_us + GROUP_FAILURE_TIMEOUT_US));
	EXPECT_EQ(group_find(t.g, {2, 1})->record.state, MEMBER_ALIVE);
	EXPECT_TRUE(group_tick(t.g,
	    instant_at(last_heard.mono_us + GROUP_FAILURE_TIMEOUT_US + 1)));
	EXPECT_EQ(group_find(t.g, {2, 1})->record.state, MEMBER_GONE);
	EXPECT_FALSE(group_record_heartbeat(t.g, {2, 1}, 1, last_heard));
	EXPECT_TRUE(group_merge(t.g, &restarted, last_heard));
	EXPECT_EQ(group_find(t.g, {2, 1})->record.state, MEMBER_ALIVE);
}

/*
 * Targets of a data centre detect failures of each other by heartbeats.  If
 * they believed reports, one false report would remove a target everywhere.
 */
TEST(Group, TargetLearnsFromOthersThatAPeerLeavesButNotThatItIsGone)
{
	ThreeMembers t;
	struct member_record r = record(2);

	r.state = MEMBER_GONE;
	EXPECT_FALSE(group_merge(t.g, &r, instant_at(SEC_US)));
	r.state = MEMBER_LEAVING;
	EXPECT_TRUE(group_merge(t.g, &r, instant_at(SEC_US)));
	r.state = MEMBER_ALIVE;
	EXPECT_FALSE(group_merge(t.g, &r, instant_at(SEC_US)));
}

/*
 * Guards against calls to a target that has said that it ends, and whose daemon
 * was restarted and does not know of it.
 */
TEST(Group, ALaterIncarnationOfAStartThatEndedIsLeaving)
{
	const struct {
		uint64_t start;
		enum member_state state;
	} cases[] = {
	    {7, MEMBER_LEAVING}, /* the same start */
	    {8, MEMBER_ALIVE}, /* the target was started again */
	    {0, MEMBER_ALIVE}, /* a daemon of an earlier version */
	};

	for (const auto &c : cases) {
		ThreeMembers t;
		struct member_record r = record(2), later = record(2, 2);

		r.start = 7;
		r.state = MEMBER_LEAVING;
		group_merge(t.g, &r, instant_at(SEC_US));
		r.start_ended = true;
		group_merge(t.g, &r, instant_at(SEC_US));
		later.start = c.start;
		EXPECT_TRUE(group_merge(t.g, &later, instant_at(2 * SEC_US)));
		EXPECT_EQ(group_find(t.g, {2, 1})->record.state, c.state)
		    << c.start;
		EXPECT_EQ(group_find(t.g, {2, 1})->record.start_ended,
		    c.state == MEMBER_LEAVING);
	}
}

/* A daemon that stops leaves too, but its target may go on with the next. */
TEST(Group, ALaterIncarnationOfAStartWhoseDaemonStoppedIsAlive)
{
	ThreeMembers t;
	struct member_record r = record(2), later = record(2, 2);

	r.start = later.start = 7;
	r.state = MEMBER_LEFT;
	group_merge(t.g, &r, instant_at(SEC_US));
	EXPECT_TRUE(group_merge(t.g, &later, instant_at(2 * SEC_US)));
	EXPECT_EQ(group_find(t.g, {2, 1})->record.state, MEMBER_ALIVE);
}

TEST(Group, DigestChangesWithTheStateOfAMember)
{
	ThreeMembers a, b;
	struct member_record r = record(3);

	EXPECT_EQ(group_digest(a.g), group_digest(b.g));
	r.state = MEMBER_LEAVING;
	group_merge(a.g, &r, instant_at(SEC_US));
	EXPECT_NE(group_digest(a.g), group_digest(b.g));
}
