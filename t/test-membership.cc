/*
 * Joining, leaving, crashing, rejoining, and a platform that is out, through
 * whole nodes under a steady load.
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

/* Calls at a steady rate through some hosts. */
struct Load {
	struct replay *r;
	std::vector<int> entries;
	uint64_t gap_us = 2000, until_us = 0;
	unsigned long sent = 0, whole = 0, failed = 0;
	enum reason last = REASON_NONE;
	bool bookings = false;
	bool open = false; /* by a route that needs no key */
};

void
on_loaded(struct replay *, void *arg, const struct reply *reply)
{
	Load *l = static_cast<Load *>(arg);

	if (reply->failure.reason == REASON_NONE) {
		l->whole++;
		return;
	}
	l->failed++;
	l->last = reply->failure.reason;
}

void
load_step(struct replay *r, void *arg)
{
	Load *l = static_cast<Load *>(arg);
	struct replay_call c = {};

	c.host = l->entries[l->sent % l->entries.size()];
	c.method = l->bookings ? "POST" : "GET";
	c.path = l->open       ? "/walk-in"
		 : l->bookings ? "/bookings"
			       : "/records/1";
	c.key = l->open ? nullptr : "key-brno";
	c.deadline_ms = 4000;
	c.done = on_loaded;
	c.arg = l;
	l->sent++;
	replay_send(r, &c);
	if (replay_now(r) < l->until_us)
		replay_at(r, replay_now(r) + l->gap_us, load_step, l);
}

struct Fleet {
	struct replay *r;
	Load load;

	/* The last two hosts have no target; callers go to them. */
	Fleet(int targets, const char *service, uint64_t seed = 1)
	{
		struct replay_spec spec = {};
		int i;

		r = replay_create(seed);
		replay_config(r, chain_text().c_str());
		spec.dc = "a";
		spec.slots = 16;
		spec.work_us = 5000;
		for (i = 0; i < targets + 2; i++) {
			spec.service = i < targets ? service : nullptr;
			replay_host(r, &spec);
		}
		load.r = r;
		load.entries = {targets, targets + 1};
		load.bookings = strcmp(service, "bookings") == 0;
		replay_run(r, 6 * SEC_US);
	}
	~Fleet()
	{
		replay_destroy(r);
	}
	void
	begin(uint64_t us)
	{
		load.until_us = replay_now(r) + us;
		replay_at(r, replay_now(r), load_step, &load);
	}
	void
	run(uint64_t us)
	{
		replay_run(r, replay_now(r) + us);
	}
};

} // namespace

TEST(Membership, JoinedTargetIsFoundAndUsed)
{
	Fleet f(2, "records");
	struct replay_spec spec = {};
	int late;

	f.begin(10 * SEC_US);
	f.run(1 * SEC_US);
	spec.dc = "a";
	spec.service = "records";
	spec.slots = 16;
	spec.work_us = 5000;
	late = replay_host(f.r, &spec);
	f.run(15 * SEC_US);
	EXPECT_EQ(f.load.failed, 0u) << reason_name(f.load.last);
	EXPECT_GT(
	    node_counters(replay_node(f.r, late))->values[COUNT_JOBS_STARTED],
	    0u);
}

TEST(Membership, LeavingTargetGetsNoNewWorkAfter3s)
{
	Fleet f(3, "records");
	uint64_t before;

	f.begin(20 * SEC_US);
	f.run(2 * SEC_US);
	replay_drain(f.r, 0);
	f.run(3 * SEC_US);
	before = node_counters(replay_node(f.r, 0))->values[COUNT_JOBS_STARTED];
	f.run(20 * SEC_US);
	EXPECT_EQ(
	    node_counters(replay_node(f.r, 0))->values[COUNT_JOBS_STARTED],
	    before);
	EXPECT_TRUE(node_is_drained(replay_node(f.r, 0)));
	EXPECT_EQ(f.load.failed, 0u) << reason_name(f.load.last);
}

TEST(Membership, PlannedStopCutsNoRequest)
{
	Fleet f(4, "records");
	int i;

	f.load.gap_us = 1000;
	f.begin(24 * SEC_US);
	for (i = 0; i < 3; i++) {
		f.run(2 * SEC_US);
		replay_drain(f.r, i);
		f.run(4 * SEC_US);
		EXPECT_TRUE(node_is_drained(replay_node(f.r, i)));
		replay_kill(f.r, i);
		replay_start(f.r, i);
	}
	f.run(20 * SEC_US);
	printf(
	    "planned stops: %lu of %lu failed\n", f.load.failed, f.load.sent);
	EXPECT_GE(f.load.sent, 10000u);
	EXPECT_EQ(f.load.failed, 0u) << reason_name(f.load.last);
}

TEST(Membership, PlannedStopCutsNoBooking)
{
	Fleet f(4, "bookings");

	f.load.gap_us = 1000;
	f.begin(12 * SEC_US);
	f.run(2 * SEC_US);
	replay_drain(f.r, 1);
	f.run(5 * SEC_US);
	EXPECT_TRUE(node_is_drained(replay_node(f.r, 1)));
	replay_kill(f.r, 1);
	f.run(15 * SEC_US);
	printf(
	    "planned stops: %lu of %lu failed\n", f.load.failed, f.load.sent);
	EXPECT_GE(f.load.sent, 10000u);
	EXPECT_EQ(f.load.failed, 0u) << reason_name(f.load.last);
	EXPECT_LE(replay_most_runs(f.r), 1u);
}

/* Callers send their ids again after their owner has left. */
TEST(Membership, LeaverHandsItsLedgerOver)
{
	Fleet f(3, "bookings");
	std::vector<std::string> ids;
	struct replay_call c = {};
	int round, i;

	c.method = "POST";
	c.path = "/bookings";
	c.key = "key-brno";
	c.deadline_ms = 4000;
	c.done = on_loaded;
	c.arg = &f.load;
	for (i = 0; i < 100; i++)
		ids.push_back(std::to_string(replay_instant(f.r).wall_ms) +
			      "-a-" + std::to_string(i));
	for (round = 0; round < 2; round++) {
		for (auto &id : ids) {
			c.host = 1 + static_cast<int>(f.load.sent++ % 4);
			c.id = id.c_str();
			replay_send(f.r, &c);
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
	EXPECT_EQ(f.load.whole, 200u) << reason_name(f.load.last);
	EXPECT_EQ(replay_runs(f.r), 100u);
	EXPECT_EQ(replay_most_runs(f.r), 1u);
}

/*
 * The target broke off while it ran, so that its daemon can not know what
 * became of the booking; nor may the one that takes its ids over.
 */
TEST(Membership, LeaverHandsItsDoubtsOver)
{
	Fleet f(2, "bookings");
	struct replay_call c = {};
	std::vector<std::string> ids;
	int i;

	c.method = "POST";
	c.path = "/bookings";
	c.key = "key-brno";
	c.deadline_ms = 4000;
	c.done = on_loaded;
	c.arg = &f.load;
	replay_truncate(f.r, 0, 1000);
	for (i = 0; i < 20; i++)
		ids.push_back(std::to_string(replay_instant(f.r).wall_ms) +
			      "-a-" + std::to_string(i));
	for (auto &id : ids) {
		c.host = 2;
		c.id = id.c_str();
		replay_send(f.r, &c);
		f.run(50 * MSEC_US);
	}
	EXPECT_EQ(replay_runs(f.r), 20u);
	EXPECT_LT(f.load.whole, 20u);
	replay_drain(f.r, 0);
	f.run(8 * SEC_US);
	EXPECT_TRUE(node_is_drained(replay_node(f.r, 0)));
	replay_kill(f.r, 0);
	for (auto &id : ids) {
		c.host = 3;
		c.id = id.c_str();
		replay_send(f.r, &c);
		f.run(50 * MSEC_US);
	}
	f.run(5 * SEC_US);
	EXPECT_EQ(replay_most_runs(f.r), 1u);
	EXPECT_EQ(replay_runs(f.r), 20u);
}

TEST(Membership, CrashedTargetIsAvoidedAndComesBack)
{
	Fleet f(3, "records");
	unsigned long failed;

	f.begin(20 * SEC_US);
	f.run(2 * SEC_US);
	replay_kill(f.r, 2);
	f.run(5 * SEC_US);
	failed = f.load.failed;
	replay_start(f.r, 2);
	f.run(20 * SEC_US);
	EXPECT_EQ(f.load.failed, failed);
	EXPECT_GT(
	    node_counters(replay_node(f.r, 2))->values[COUNT_JOBS_STARTED], 0u);
	printf("a crash under load: %lu of %lu failed\n", f.load.failed,
	    f.load.sent);
}

TEST(Membership, EarlierLifeChangesNothing)
{
	Fleet f(3, "records");
	struct member_record old = {};
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
	old = m->record;
	old.incarnation--;
	old.state = MEMBER_GONE;
	group_merge(g, &old, replay_instant(f.r));
	EXPECT_EQ(
	    group_find(g, {0x0a000002, 7000})->record.state, MEMBER_ALIVE);
}

TEST(Membership, PlatformOutChangesNothingForWhatRuns)
{
	Fleet f(3, "records");

	f.begin(30 * SEC_US);
	f.run(2 * SEC_US);
	replay_platform(f.r, PLATFORM_DOWN);
	f.run(35 * SEC_US);
	EXPECT_EQ(f.load.failed, 0u) << reason_name(f.load.last);
}

TEST(Membership, BookingsGoOnAfterACrashWithPlatformOut)
{
	Fleet f(3, "bookings");
	unsigned long whole;

	f.load.open = true;
	f.begin(30 * SEC_US);
	f.run(1 * SEC_US);
	replay_platform(f.r, PLATFORM_DOWN);
	f.run(1 * SEC_US);
	replay_kill(f.r, 0);
	f.run(2 * SEC_US);
	whole = f.load.whole;
	f.run(10 * SEC_US);
	EXPECT_GE(f.load.whole - whole, 4990u) << reason_name(f.load.last);
	f.run(10 * SEC_US);
	EXPECT_LE(replay_most_runs(f.r), 1u);
}

/*
 * The daemons go on within the shares that they hold; the part of the rate
 * that only a root hands out is out of reach until the platform is back.
 */
TEST(Membership, RatesSurviveLossOfTheRootWithPlatformOut)
{
	Fleet f(3, "records");
	unsigned long whole, sent;
	int i;

	f.begin(30 * SEC_US);
	f.run(2 * SEC_US);
	replay_platform(f.r, PLATFORM_DOWN);
	f.run(1 * SEC_US);
	for (i = 0; i < 5; i++) {
		if (replay_node(f.r, i)->tree.is_root)
			break;
	}
	ASSERT_LT(i, 3);
	replay_kill(f.r, i);
	f.run(5 * SEC_US);
	whole = f.load.whole;
	sent = f.load.sent;
	f.run(10 * SEC_US);
	EXPECT_GE(f.load.whole - whole, 0.99 * (f.load.sent - sent));
}

/* Bookings without an id of the caller's need no owner. */
TEST(Membership, OneOfTwoGoesOnAlone)
{
	Fleet f(2, "bookings");
	unsigned long whole;

	f.begin(30 * SEC_US);
	f.run(2 * SEC_US);
	replay_kill(f.r, 0);
	f.run(10 * SEC_US);
	whole = f.load.whole;
	f.run(10 * SEC_US);
	EXPECT_GE(f.load.whole - whole, 4990u) << reason_name(f.load.last);
	f.run(20 * SEC_US);
	EXPECT_LE(f.load.failed, 20u) << reason_name(f.load.last);
	EXPECT_LE(replay_most_runs(f.r), 1u);
}

TEST(Membership, DataCentresCutOffAndJoinedAgain)
{
	Fleet f(3, "records");
	struct replay_spec spec = {};
	int far, i;

	spec.dc = "b";
	spec.service = "records";
	spec.slots = 16;
	spec.work_us = 5000;
	far = replay_host(f.r, &spec);
	f.load.entries.push_back(far);
	f.run(5 * SEC_US);
	f.begin(40 * SEC_US);
	f.run(1 * SEC_US);
	for (i = 0; i < far; i++)
		replay_cut(f.r, i, far, true);
	f.run(20 * SEC_US);
	for (i = 0; i < far; i++)
		replay_cut(f.r, i, far, false);
	f.run(10 * SEC_US);
	EXPECT_LE(f.load.failed, f.load.sent / 100) << reason_name(f.load.last);
	EXPECT_NE(group_find(membership_find(replay_node(f.r, 0), "records"),
		      {0x0a000001u + static_cast<uint32_t>(far), 7000}),
	    nullptr);
}
