/*
 * Tests of group membership with whole nodes under a steady load.  Calls fail
 * if daemons send to a target that leaves or has crashed, or need the platform
 * in order to serve.  Bookings run twice if a leaving owner of ids does not
 * hand its ledger over.
 */
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <vector>

#include "t/config-text.h"

extern "C" {
#include "core/node_impl.h"
}

namespace {

/* Sends calls at a steady rate, to the entry hosts in turn. */
struct Load {
	struct replay *r;
	std::vector<int> entry_hosts;
	uint64_t interval_us = 2000, until_us = 0;
	unsigned long sent = 0, completed = 0, failed = 0;
	enum reason last_failure = REASON_NONE;
	bool is_booking = false; /* POST /bookings; otherwise GET /records */
	bool is_open = false; /* POST /walk-in, which needs no key */
};

void
on_reply(struct replay *, void *arg, const struct reply *reply)
{
	Load *l = static_cast<Load *>(arg);

	if (reply->failure.reason == REASON_NONE) {
		l->completed++;
		return;
	}
	l->failed++;
	l->last_failure = reply->failure.reason;
}

void
load_send_next(struct replay *r, void *arg)
{
	Load *l = static_cast<Load *>(arg);
	struct replay_call c = {};

	c.host = l->entry_hosts[l->sent % l->entry_hosts.size()];
	c.method = l->is_booking ? "POST" : "GET";
	c.path = l->is_open	 ? "/walk-in"
		 : l->is_booking ? "/bookings"
				 : "/records/1";
	c.key = l->is_open ? nullptr : "key-brno";
	c.deadline_ms = 4000;
	c.done = on_reply;
	c.arg = l;
	l->sent++;
	replay_send_call(r, &c);
	if (replay_now_us(r) < l->until_us)
		replay_at(
		    r, replay_now_us(r) + l->interval_us, load_send_next, l);
}

struct Fleet {
	struct replay *r;
	Load load;

	/* The last two hosts have no target; callers send to them. */
	Fleet(int targets, const char *service, uint64_t seed = 1)
	{
		struct replay_host_spec spec = {};
		int i;

		r = replay_create(seed);
		replay_set_config(r, chain_config().c_str());
		spec.dc = "a";
		spec.slots = 16;
		spec.mean_run_us = 5000;
		for (i = 0; i < targets + 2; i++) {
			spec.service = i < targets ? service : nullptr;
			replay_add_host(r, &spec);
		}
		load.r = r;
		load.entry_hosts = {targets, targets + 1};
		load.is_booking = strcmp(service, "bookings") == 0;
		replay_run_until(r, 6 * SEC_US);
	}
	~Fleet()
	{
		replay_destroy(r);
	}
	void
	start_load(uint64_t us)
	{
		load.until_us = replay_now_us(r) + us;
		replay_at(r, replay_now_us(r), load_send_next, &load);
	}
	void
	run(uint64_t us)
	{
		replay_run_until(r, replay_now_us(r) + us);
	}
};

} // namespace

TEST(Membership, JoiningTargetIsFoundAndReceivesCalls)
{
	Fleet f(2, "records");
	struct replay_host_spec spec = {};
	int joined;

	f.start_load(10 * SEC_US);
	f.run(1 * SEC_US);
	spec.dc = "a";
	spec.service = "records";
	spec.slots = 16;
	spec.mean_run_us = 5000;
	joined = replay_add_host(f.r, &spec);
	f.run(15 * SEC_US);
	EXPECT_EQ(f.load.failed, 0u) << reason_name(f.load.last_failure);
	EXPECT_GT(
	    node_counters(replay_node(f.r, joined))->values[COUNT_JOBS_STARTED],
	    0u);
}

TEST(Membership, LeavingTargetReceivesNoNewCallsAfter3s)
{
	Fleet f(3, "records");
	uint64_t before;

	f.start_load(20 * SEC_US);
	f.run(2 * SEC_US);
	replay_drain(f.r, 0);
	f.run(3 * SEC_US);
	before = node_counters(replay_node(f.r, 0))->values[COUNT_JOBS_STARTED];
	f.run(20 * SEC_US);
	EXPECT_EQ(
	    node_counters(replay_node(f.r, 0))->values[COUNT_JOBS_STARTED],
	    before);
	EXPECT_TRUE(node_is_drained(replay_node(f.r, 0)));
	EXPECT_EQ(f.load.failed, 0u) << reason_name(f.load.last_failure);
}

TEST(Membership, PlannedStopFailsNoLookup)
{
	Fleet f(4, "records");
	int i;

	f.load.interval_us = 1000;
	f.start_load(24 * SEC_US);
	for (i = 0; i < 3; i++) {
		f.run(2 * SEC_US);
		replay_drain(f.r, i);
		f.run(4 * SEC_US);
		EXPECT_TRUE(node_is_drained(replay_node(f.r, i)));
		replay_kill(f.r, i);
		replay_start(f.r, i);
	}
	f.run(20 * SEC_US);
	printf("planned stops: %lu of %lu calls failed\n", f.load.failed,
	    f.load.sent);
	EXPECT_GE(f.load.sent, 10000u);
	EXPECT_EQ(f.load.failed, 0u) << reason_name(f.load.last_failure);
}

TEST(Membership, PlannedStopFailsNoBooking)
{
	Fleet f(4, "bookings");

	f.load.interval_us = 1000;
	f.start_load(12 * SEC_US);
	f.run(2 * SEC_US);
	replay_drain(f.r, 1);
	f.run(5 * SEC_US);
	EXPECT_TRUE(node_is_drained(replay_node(f.r, 1)));
	replay_kill(f.r, 1);
	f.run(15 * SEC_US);
	printf("planned stops: %lu of %lu calls failed\n", f.load.failed,
	    f.load.sent);
	EXPECT_GE(f.load.sent, 10000u);
	EXPECT_EQ(f.load.failed, 0u) << reason_name(f.load.last_failure);
	EXPECT_LE(replay_max_runs_of_id(f.r), 1u);
}

/*
 * Calls are sent again with the same ids after an owner of ids has left.  The
 * next owner has to answer from the records that it received: without them it
 * would run the calls a second time.
 */
TEST(Membership, LeavingOwnerHandsItsLedgerOver)
{
	Fleet f(3, "bookings");
	std::vector<std::string> ids;
	struct replay_call c = {};
	int round, i;

	c.method = "POST";
	c.path = "/bookings";
	c.key = "key-brno";
	c.deadline_ms = 4000;
	c.done = on_reply;
	c.arg = &f.load;
	for (i = 0; i < 100; i++)
		ids.push_back(std::to_string(replay_instant(f.r).wall_ms) +
			      "-a-" + std::to_string(i));
	for (round = 0; round < 2; round++) {
		for (auto &id : ids) {
			c.host = 1 + static_cast<int>(f.load.sent++ % 4);
			c.id = id.c_str();
			replay_send_call(f.r, &c);
			f.run(20 * MSEC_US);
		}
		if (round > 0)
			break;
		EXPECT_GT(node_counters(replay_node(f.r, 0))
			      ->values[COUNT_JOBS_STARTED],
		    0u);
		replay_drain(f.r, 0);
		f.run(6 * SEC_US);
		EXPECT_TRUE(node_is_drained(replay_node(f.r, 0)));
		replay_kill(f.r, 0);
	}
	f.run(2 * SEC_US);
	EXPECT_EQ(f.load.completed, 200u) << reason_name(f.load.last_failure);
	EXPECT_EQ(replay_count_runs(f.r), 100u);
	EXPECT_EQ(replay_max_runs_of_id(f.r), 1u);
}

/*
 * The target's answer breaks off, so its daemon cannot know the outcome of
 * the booking.  The daemon that takes its ids over must not run them as new.
 */
TEST(Membership, LeavingOwnerHandsUnknownOutcomesOver)
{
	Fleet f(2, "bookings");
	struct replay_call c = {};
	std::vector<std::string> ids;
	int i;

	c.method = "POST";
	c.path = "/bookings";
	c.key = "key-brno";
	c.deadline_ms = 4000;
	c.done = on_reply;
	c.arg = &f.load;
	replay_truncate_answers(f.r, 0, 1000);
	for (i = 0; i < 20; i++)
		ids.push_back(std::to_string(replay_instant(f.r).wall_ms) +
			      "-a-" + std::to_string(i));
	for (auto &id : ids) {
		c.host = 2;
		c.id = id.c_str();
		replay_send_call(f.r, &c);
		f.run(50 * MSEC_US);
	}
	EXPECT_EQ(replay_count_runs(f.r), 20u);
	EXPECT_LT(f.load.completed, 20u);
	replay_drain(f.r, 0);
	f.run(8 * SEC_US);
	EXPECT_TRUE(node_is_drained(replay_node(f.r, 0)));
	replay_kill(f.r, 0);
	for (auto &id : ids) {
		c.host = 3;
		c.id = id.c_str();
		replay_send_call(f.r, &c);
		f.run(50 * MSEC_US);
	}
	f.run(5 * SEC_US);
	EXPECT_EQ(replay_max_runs_of_id(f.r), 1u);
	EXPECT_EQ(replay_count_runs(f.r), 20u);
}

TEST(Membership, CrashedTargetIsAvoidedAndUsedAfterItsRestart)
{
	Fleet f(3, "records");
	unsigned long failed;

	f.start_load(20 * SEC_US);
	f.run(2 * SEC_US);
	replay_kill(f.r, 2);
	f.run(5 * SEC_US);
	failed = f.load.failed;
	replay_start(f.r, 2);
	f.run(20 * SEC_US);
	EXPECT_EQ(f.load.failed, failed);
	EXPECT_GT(
	    node_counters(replay_node(f.r, 2))->values[COUNT_JOBS_STARTED], 0u);
	printf("crash under load: %lu of %lu calls failed\n", f.load.failed,
	    f.load.sent);
}

TEST(Membership, RecordOfAnEarlierIncarnationChangesNothing)
{
	Fleet f(3, "records");
	struct member_record earlier = {};
	struct group *g;
	struct member *m;

	replay_kill(f.r, 1);
	f.run(1 * SEC_US);
	replay_start(f.r, 1);
	f.run(4 * SEC_US);
	g = membership_find(replay_node(f.r, 0), "records");
	ASSERT_NE(g, nullptr);
	m = group_find(g, {0x0a000002, 7000});
	ASSERT_NE(m, nullptr);
	earlier = m->record;
	earlier.incarnation--;
	earlier.state = MEMBER_GONE;
	group_merge(g, &earlier, replay_instant(f.r));
	EXPECT_EQ(
	    group_find(g, {0x0a000002, 7000})->record.state, MEMBER_ALIVE);
}

TEST(Membership, PlatformOutageFailsNoCall)
{
	Fleet f(3, "records");

	f.start_load(30 * SEC_US);
	f.run(2 * SEC_US);
	replay_set_platform_mode(f.r, REPLAY_PLATFORM_DOWN);
	f.run(35 * SEC_US);
	EXPECT_EQ(f.load.failed, 0u) << reason_name(f.load.last_failure);
}

TEST(Membership, BookingsSucceedAfterACrashDuringAPlatformOutage)
{
	Fleet f(3, "bookings");
	unsigned long completed;

	f.load.is_open = true;
	f.start_load(30 * SEC_US);
	f.run(1 * SEC_US);
	replay_set_platform_mode(f.r, REPLAY_PLATFORM_DOWN);
	f.run(1 * SEC_US);
	replay_kill(f.r, 0);
	f.run(2 * SEC_US);
	completed = f.load.completed;
	f.run(10 * SEC_US);
	EXPECT_GE(f.load.completed - completed, 4990u)
	    << reason_name(f.load.last_failure);
	f.run(10 * SEC_US);
	EXPECT_LE(replay_max_runs_of_id(f.r), 1u);
}

/*
 * The daemons continue to admit calls within the shares of the rates that
 * they hold.  The part of a rate that only a root grants is not available
 * until the platform can be reached again.
 */
TEST(Membership, CallsAreAdmittedAfterLossOfTheRootDuringAPlatformOutage)
{
	Fleet f(3, "records");
	unsigned long completed, sent;
	int i;

	f.start_load(30 * SEC_US);
	f.run(2 * SEC_US);
	replay_set_platform_mode(f.r, REPLAY_PLATFORM_DOWN);
	f.run(1 * SEC_US);
	for (i = 0; i < 5; i++) {
		if (replay_node(f.r, i)->tree.is_root)
			break;
	}
	ASSERT_LT(i, 3);
	replay_kill(f.r, i);
	f.run(5 * SEC_US);
	completed = f.load.completed;
	sent = f.load.sent;
	f.run(10 * SEC_US);
	EXPECT_GE(f.load.completed - completed, 0.99 * (f.load.sent - sent));
}

/* Bookings without an idempotency id of the caller need no owner. */
TEST(Membership, OneOfTwoTargetsServesAloneAfterACrash)
{
	Fleet f(2, "bookings");
	unsigned long completed;

	f.start_load(30 * SEC_US);
	f.run(2 * SEC_US);
	replay_kill(f.r, 0);
	f.run(10 * SEC_US);
	completed = f.load.completed;
	f.run(10 * SEC_US);
	EXPECT_GE(f.load.completed - completed, 4990u)
	    << reason_name(f.load.last_failure);
	f.run(20 * SEC_US);
	EXPECT_LE(f.load.failed, 20u) << reason_name(f.load.last_failure);
	EXPECT_LE(replay_max_runs_of_id(f.r), 1u);
}

TEST(Membership, PartitionOfDataCentresFailsFewCallsAndHeals)
{
	Fleet f(3, "records");
	struct replay_host_spec spec = {};
	int remote, i;

	spec.dc = "b";
	spec.service = "records";
	spec.slots = 16;
	spec.mean_run_us = 5000;
	remote = replay_add_host(f.r, &spec);
	f.load.entry_hosts.push_back(remote);
	f.run(5 * SEC_US);
	f.start_load(40 * SEC_US);
	f.run(1 * SEC_US);
	for (i = 0; i < remote; i++)
		replay_set_partition(f.r, i, remote, true);
	f.run(20 * SEC_US);
	for (i = 0; i < remote; i++)
		replay_set_partition(f.r, i, remote, false);
	f.run(10 * SEC_US);
	EXPECT_LE(f.load.failed, f.load.sent / 100)
	    << reason_name(f.load.last_failure);
	EXPECT_NE(group_find(membership_find(replay_node(f.r, 0), "records"),
		      {0x0a000001u + static_cast<uint32_t>(remote), 7000}),
	    nullptr);
}

/*
 * Rows of another writer among those of the members: numbers that are too
 * large, a port out of range that would wrap to a member's, an incarnation
 * later than any real one, garbage.  Daemons that read them keep all members,
 * and none joins again and again.
 */
TEST(Membership, OddRowsOfAnotherWriterChangeNothing)
{
	const struct {
		const char *key, *value;
	} rows[] = {
	    {"member/records/a/167772161:7000",
		"167772161 7000 18446744073709551615 16 a"},
	    {"member/records/a/167772162:72536",
		"167772162 72536 1700000999999 16 a"},
	    {"member/records/a/167772163:7000",
		"4462739459 7000 1700000999999 16 a"},
	    {"member/records/a/1", "167772163 7000 1700000999999 16 a"},
	    {"member/records/a/167772163:0", "167772163 0 1700000999999 16 a"},
	    {"member/records/a/0:7000", "0 7000 1700000999999 16 a"},
	    {"member/records/a/167772163:7001",
		"167772163 7001 1700000999999 0 a"},
	    {"member/records/a/167772163:7002",
		"167772163 7002 1700000999999 99999999999999999999 a"},
	    {"member/records/a/167772163:7003", "-1 -1 -1 -1 a"},
	    {"member/records/a/167772163:7004", "[[[[[[[["},
	    {"member/records/a/167772163:7005", "7"},
	    {"member/records//167772163:7006",
		"167772163 7006 1700000999999 16 "},
	};
	Fleet f(3, "records");
	struct node *n;
	int host;

	for (const auto &row : rows)
		replay_set_row(f.r, row.key, row.value);
	f.start_load(20 * SEC_US);
	for (host = 0; host < 3; host++) {
		f.run(3 * SEC_US);
		replay_kill(f.r, host);
		f.run(1 * SEC_US);
		replay_start(f.r, host);
	}
	f.run(10 * SEC_US);
	for (host = 0; host < 5; host++) {
		struct group *g;
		struct member *m;
		int alive = 0;

		n = replay_node(f.r, host);
		g = membership_find(n, "records");
		ASSERT_NE(g, nullptr);
		RB_FOREACH (m, member_tree, &g->members)
			alive += member_accepts_work(m);
		EXPECT_EQ(alive, 3) << host;
		EXPECT_LE(n->counters.values[COUNT_REINCARNATIONS], 1u) << host;
		EXPECT_LE(n->counters.values[COUNT_PLATFORM_WRITES], 6u)
		    << host;
	}
	EXPECT_GT(replay_node(f.r, 0)->counters.values[COUNT_ODD_ROWS], 0u);
	EXPECT_LE(f.load.failed, f.load.sent / 100);
}

namespace {

const struct replay_work *
record_work(const char *path)
{
	static const struct replay_work work = {5000, nullptr, 0, false, 0};

	(void)path;
	return &work;
}

} // namespace

/*
 * The row of a target whose host serves another service now.  The daemon there
 * answers polls, since it calls the service too, but has no target of it.
 */
TEST(Membership, RowOfATargetThatLeftIsNotUsedForLong)
{
	struct replay *r = replay_create(1);
	struct replay_host_spec spec = {};
	struct member *m;
	Load load;

	replay_set_config(r, chain_config().c_str());
	spec.dc = "a";
	spec.slots = 16;
	spec.work = record_work;
	spec.shedder = &shedder_goal;
	for (int i = 0; i < 4; i++) {
		spec.service = i < 2 ? "records" : nullptr;
		replay_add_host(r, &spec);
	}
	replay_set_row(r, "member/records/a/167772163:7000",
	    "167772163 7000 1700000000500 16 a");
	load.r = r;
	load.entry_hosts = {2, 3};
	replay_run_until(r, 6 * SEC_US);
	load.until_us = 16 * SEC_US;
	replay_at(r, 6 * SEC_US, load_send_next, &load);
	replay_run_until(r, 17 * SEC_US);
	m = group_find(
	    membership_find(replay_node(r, 3), "records"), {0x0a000003, 7000});
	ASSERT_NE(m, nullptr);
	EXPECT_FALSE(member_accepts_work(m));
	EXPECT_EQ(load.failed, 0u) << reason_name(load.last_failure);
	replay_destroy(r);
}

/*
 * A daemon that asks its peers first is told of a machine that is gone, whose
 * row was never removed, and of no other member.
 */
TEST(Membership, OutdatedKnowledgeOfPeersDoesNotHideTheMembers)
{
	struct replay *r = replay_create(1);
	struct replay_host_spec spec = {};
	struct member_record gone = {};
	struct group *g;
	Load load;

	replay_set_config(r, chain_config().c_str());
	spec.dc = "a";
	spec.slots = 16;
	spec.work = record_work;
	spec.shedder = &shedder_goal;
	for (int i = 0; i < 5; i++) {
		spec.service = i < 2 ? "records" : nullptr;
		replay_add_host(r, &spec);
	}
	replay_run_until(r, 6 * SEC_US);
	replay_kill(r, 4);
	gone.addr = {0x0a000005, 7000};
	gone.incarnation = 1700000000500;
	gone.slots = 16;
	name_copy(gone.dc, "a", sizeof(gone.dc));
	for (int i = 2; i < 4; i++) {
		g = membership_find_or_create(replay_node(r, i), "records");
		group_merge(g, &gone, replay_instant(r));
		g->peers_asked_us = replay_instant(r).mono_us;
		g->last_used_us = replay_instant(r).mono_us;
	}
	load.r = r;
	load.entry_hosts = {2, 3};
	load.until_us = 16 * SEC_US;
	replay_at(r, 8 * SEC_US, load_send_next, &load);
	replay_run_until(r, 21 * SEC_US);
	printf("%lu of %lu failed\n", load.failed, load.sent);
	EXPECT_LE(load.failed, load.sent / 50);
	replay_destroy(r);
}

namespace {

/* From now on no call fails, and each of the three targets gets some. */
void
expect_all_are_used(Fleet &f)
{
	uint64_t failed = f.load.failed, before[3];
	int i;

	for (i = 0; i < 3; i++)
		before[i] = node_counters(replay_node(f.r, i))
				->values[COUNT_JOBS_STARTED];
	f.run(10 * SEC_US);
	EXPECT_EQ(f.load.failed, failed) << reason_name(f.load.last_failure);
	for (i = 0; i < 3; i++)
		EXPECT_GT(node_counters(replay_node(f.r, i))
			      ->values[COUNT_JOBS_STARTED],
		    before[i])
		    << i;
}

} // namespace

/*
 * Guards against hosts that stood still and take each other for gone, and so
 * nobody who hears of it calls any of them again (review/3).
 */
TEST(Membership, HostsThatStoodStillTogetherAreUsedAgain)
{
	Fleet f(3, "records");
	int i;

	f.start_load(40 * SEC_US);
	f.run(2 * SEC_US);
	for (i = 0; i < 3; i++)
		replay_freeze(f.r, i, 5 * SEC_US);
	f.run(7 * SEC_US);
	expect_all_are_used(f);
}

/* The same for single hosts, one after the other and overlapping. */
TEST(Membership, HostsThatStoodStillInTurnAreUsedAgain)
{
	Fleet f(3, "bookings");
	int i;

	f.load.is_open = true; /* rates settle for longer than this */
	f.start_load(60 * SEC_US);
	f.run(2 * SEC_US);
	for (i = 0; i < 9; i++) {
		replay_freeze(f.r, i % 3, 4900 * MSEC_US);
		f.run(2500 * MSEC_US);
	}
	f.run(7 * SEC_US);
	expect_all_are_used(f);
}

/* The same for hosts that a partition kept from each other. */
TEST(Membership, HostsThatWerePartitionedAreUsedAgain)
{
	Fleet f(3, "records");
	int i, j;

	f.start_load(60 * SEC_US);
	f.run(2 * SEC_US);
	for (i = 0; i < 3; i++) {
		for (j = i + 1; j < 3; j++)
			replay_set_partition(f.r, i, j, true);
	}
	f.run(8 * SEC_US);
	for (i = 0; i < 3; i++) {
		for (j = i + 1; j < 3; j++)
			replay_set_partition(f.r, i, j, false);
	}
	f.run(6 * SEC_US);
	expect_all_are_used(f);
}

namespace {

/* The copy is made after so many of three targets have joined. */
struct ReturnFleet {
	struct replay *r = replay_create(1);
	struct replay_host_spec spec = {};
	Load load;

	ReturnFleet()
	{
		replay_set_config(r, chain_config().c_str());
		spec.dc = "a";
		spec.slots = 16;
		spec.mean_run_us = 5000;
		spec.work = record_work;
		spec.shedder = &shedder_goal;
		load.r = r;
	}
	~ReturnFleet()
	{
		replay_destroy(r);
	}
	int
	add(const char *service)
	{
		spec.service = service;
		return replay_add_host(r, &spec);
	}
	void
	run(uint64_t us)
	{
		replay_run_until(r, replay_now_us(r) + us);
	}
	void
	start_load(std::vector<int> entry_hosts, uint64_t us)
	{
		load.entry_hosts = entry_hosts;
		load.until_us = replay_now_us(r) + us;
		replay_at(r, replay_now_us(r), load_send_next, &load);
	}
	uint64_t
	counter(int host, enum counter c)
	{
		return node_counters(replay_node(r, host))->values[c];
	}
};

} // namespace

/* Its row is written again after a while; it is heard all the time. */
TEST(Membership, MemberWhoseRowTheCopyLacksIsNotTakenForGone)
{
	ReturnFleet f;
	uint64_t before = 0, writes = 0;
	int i;

	for (i = 0; i < 2; i++)
		f.add("records");
	f.add(nullptr);
	f.run(3 * SEC_US);
	replay_copy_platform(f.r);
	f.add("records");
	f.run(5 * SEC_US);
	replay_return_platform(f.r);
	before = f.counter(3, COUNT_JOBS_STARTED);
	f.start_load({2}, 20 * SEC_US);
	i = f.add(nullptr); /* it finds the copy */
	f.run(400 * MSEC_US);
	f.load.entry_hosts.push_back(i);
	f.run(20 * SEC_US);
	EXPECT_GT(f.counter(3, COUNT_JOBS_STARTED), before + 1000);
	EXPECT_EQ(f.load.failed, 0u) << reason_name(f.load.last_failure);
	for (i = 0; i < 4; i++) {
		EXPECT_EQ(f.counter(i, COUNT_MEMBERS_GONE), 0u) << i;
		writes += f.counter(i, COUNT_ROWS_WRITTEN_AGAIN);
	}
	EXPECT_EQ(writes, 3u);
}

/* Nor does a daemon call it that starts just then, and its row goes again. */
TEST(Membership, MemberWhoseRowTheCopyBroughtBackGetsNoCall)
{
	for (bool serves_another : {false, true}) {
		ReturnFleet f;
		struct msg_list out = TAILQ_HEAD_INITIALIZER(out);
		struct msg *m;
		uint64_t before;
		int i;

		for (i = 0; i < 3; i++)
			f.add("records");
		f.add(nullptr);
		f.run(5 * SEC_US);
		replay_copy_platform(f.r);
		m = msg_create(MSG_ANNOUNCE);
		name_copy(m->u.announce.service,
		    serves_another ? "bookings" : "records", NAME_LEN);
		if (serves_another)
			name_copy(m->u.announce.id, "other", ID_LEN);
		m->u.announce.slots = 16;
		m->u.announce.leaving = !serves_another;
		m->u.announce.daemon_outlives_target = true;
		node_handle(replay_node(f.r, 0), m, replay_instant(f.r), &out);
		msg_list_clear(&out);
		f.run(4 * SEC_US);
		before = f.counter(0, COUNT_JOBS_STARTED);
		replay_return_platform(f.r);
		for (i = 0; i < 2; i++)
			f.add(nullptr);
		f.run(400 * MSEC_US);
		f.start_load({3, 4, 5}, 20 * SEC_US);
		f.run(25 * SEC_US);
		EXPECT_EQ(f.counter(0, COUNT_JOBS_STARTED), before);
		EXPECT_EQ(f.load.failed, 0u)
		    << reason_name(f.load.last_failure);
		EXPECT_GE(f.counter(0, COUNT_ROWS_WRITTEN_AGAIN), 1u);
		EXPECT_TRUE(membership_find(replay_node(f.r, 0), "records")
				->own_row.written);
	}
}

/*
 * Guards against calls to a target that left: the daemon that acknowledged it
 * is killed, the store comes back from a copy without its word, and a late
 * announcement arrives at the next process, once or again after another
 * restart.  The other members know that this start of the target has ended.
 */
TEST(Membership, MembersKnowWhichStartEndedIfTheStoreLostIt)
{
	for (int restarts = 1; restarts <= 2; restarts++) {
		ReturnFleet f;
		struct announce a = {};

		for (int i = 0; i < 2; i++)
			f.add("records");
		f.spec.silent = true;
		f.add("records");
		f.spec.silent = false;
		f.add(nullptr);
		name_copy(a.service, "records", sizeof(a.service));
		name_copy(a.id, "a", sizeof(a.id));
		a.started_ms = 100;
		a.slots = 16;
		a.daemon_outlives_target = true;
		a.seq = 1;
		replay_announce(f.r, 2, &a);
		f.run(3 * SEC_US);
		f.start_load({3}, 1 * SEC_US);
		f.run(2 * SEC_US);
		EXPECT_GT(f.counter(2, COUNT_JOBS_STARTED), 0u);
		replay_copy_platform(f.r);
		a.seq = 9;
		a.leaving = true;
		replay_announce(f.r, 2, &a);
		f.run(300 * MSEC_US);
		a.leaving = false;
		for (int i = 0; i < restarts; i++) {
			replay_kill(f.r, 2);
			replay_return_platform(f.r);
			f.run(300 * MSEC_US);
			replay_start(f.r, 2);
			f.run(2 * SEC_US);
			a.seq++;
			replay_announce(f.r, 2, &a);
			f.run(100 * MSEC_US);
		}
		f.start_load({3, 0}, 8 * SEC_US);
		f.run(10 * SEC_US);
		EXPECT_EQ(f.counter(2, COUNT_JOBS_STARTED), 0u) << restarts;
		/* A later start is used. */
		name_copy(a.id, "b", sizeof(a.id));
		a.started_ms = 200;
		replay_announce(f.r, 2, &a);
		f.run(1 * SEC_US);
		f.start_load({3, 0}, 2 * SEC_US);
		f.run(3 * SEC_US);
		EXPECT_GT(f.counter(2, COUNT_JOBS_STARTED), 0u) << restarts;
	}
}

/*
 * The wall clock was set back while the daemon was down.  As a caller of the
 * service it has heard of its earlier incarnation before its target joins.
 */
TEST(Membership, TargetJoinsAfterTheWallClockWasSetBack)
{
	struct replay *r = replay_create(1);
	struct replay_host_spec spec = {};
	struct member_record earlier = {};
	struct group *g;
	int host;

	replay_set_config(r, chain_config().c_str());
	spec.dc = "a";
	spec.slots = 16;
	spec.service = "records";
	spec.mean_run_us = 5000;
	host = replay_add_host(r, &spec);
	earlier.addr = {0x0a000001, 7000};
	earlier.incarnation = replay_instant(r).wall_ms + 3600 * 1000;
	earlier.slots = 16;
	name_copy(earlier.dc, "a", sizeof(earlier.dc));
	g = membership_find_or_create(replay_node(r, host), "records");
	group_merge(g, &earlier, replay_instant(r));
	replay_run_until(r, 5 * SEC_US);
	ASSERT_NE(g->self, nullptr);
	EXPECT_GT(g->self->record.incarnation, earlier.incarnation);
	EXPECT_EQ(g->self->record.state, MEMBER_ALIVE);
	replay_destroy(r);
}
