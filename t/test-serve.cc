/*
 * Tests that an idempotency id runs at most once, and that a call reported
 * as not run never ran.  Daemons, owners and targets die, freeze and are
 * partitioned at seeded times while callers retry the same ids at other
 * daemons.
 */
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "t/config-text.h"

extern "C" {
#include "core/node_impl.h"
}

namespace {

constexpr int TARGET_HOSTS = 3; /* numbered before the entry hosts */
constexpr int ENTRY_HOSTS = 2;
constexpr int BOOKINGS = 60;
/* By then all daemons know the configuration and each other. */
constexpr uint64_t STARTUP_US = 5 * SEC_US;
constexpr uint64_t END_US = 30 * SEC_US;

struct Fleet;

struct Booking {
	Fleet *fleet;
	std::string id;
	int tries = 0;
	int max_tries = 6;
	bool may_have_run = false; /* some try did not end as "not run" */
	bool succeeded = false; /* a complete answer arrived */
	enum reason reason = REASON_NONE; /* of the last try */
};

struct Fleet {
	struct replay *r;
	std::vector<std::unique_ptr<Booking>> bookings;
	int hosts;
	uint64_t succeeded = 0;
	uint64_t wrong_bodies = 0; /* answers to another id */

	explicit Fleet(uint64_t seed, int targets = TARGET_HOSTS,
	    const struct id_guard *guard = nullptr)
	{
		struct replay_host_spec spec = {};
		int i;

		r = replay_create(seed);
		replay_set_config(r, chain_config().c_str());
		spec.dc = "a";
		spec.guard = guard;
		spec.slots = 8;
		spec.mean_run_us = 20000;
		spec.service = "bookings";
		for (i = 0; i < targets; i++)
			replay_add_host(r, &spec);
		spec.service = nullptr;
		for (i = 0; i < ENTRY_HOSTS; i++)
			replay_add_host(r, &spec);
		hosts = targets + ENTRY_HOSTS;
	}
	~Fleet()
	{
		replay_destroy(r);
	}
	uint64_t
	random_below(uint64_t n)
	{
		return replay_random(r) % n;
	}
};

void on_booked(struct replay *r, void *arg, const struct reply *reply);

void
send_booking(struct replay *r, void *arg)
{
	Booking *b = static_cast<Booking *>(arg);
	struct replay_call c = {};

	if (b->id.empty()) {
		b->id = std::to_string(replay_instant(r).wall_ms) + "-a-" +
			std::to_string(replay_random(r));
	}
	b->tries++;
	c.host = static_cast<int>(b->fleet->random_below(b->fleet->hosts));
	c.method = "POST";
	c.path = "/bookings";
	c.key = "key-brno";
	c.id = b->id.c_str();
	c.deadline_ms = 3000;
	c.done = on_booked;
	c.arg = b;
	replay_send_call(r, &c);
}

void
on_booked(struct replay *r, void *arg, const struct reply *reply)
{
	Booking *b = static_cast<Booking *>(arg);

	b->reason = reply->failure.reason;
	if (reply->failure.reason == REASON_NONE) {
		b->succeeded = true;
		b->fleet->succeeded++;
		if (std::string(reply->body.data) != "did " + b->id)
			b->fleet->wrong_bodies++;
		return;
	}
	if (reply->failure.verdict != VERDICT_NOT_RUN)
		b->may_have_run = true;
	if (b->tries < b->max_tries)
		replay_at(r,
		    replay_now_us(r) + 1000 +
			b->fleet->random_below(3 * SEC_US),
		    send_booking, b);
}

enum FaultKind {
	FAULT_KILL_HOST,
	FAULT_FREEZE_HOST,
	FAULT_PARTITION_TWO_HOSTS,
	FAULT_TRUNCATE_ANSWERS,
	FAULT_KILL_TARGET,
	FAULT_PLATFORM_DOWN,
	FAULT_KILL_HOST_AGAIN, /* makes kills twice as likely */
	FAULT_BREAK_LINK,
	FAULT_ISOLATE_HOST,
	FAULT_KINDS,
};

struct Fault {
	Fleet *fleet;
	int kind;
	int host;
	int other; /* the other end of a partition or link */
	uint64_t duration_us;
};

/* Partition a host from all others and the platform, or heal that. */
void
isolate(struct replay *r, const Fault *f, bool partitioned)
{
	int i;

	for (i = 0; i < f->fleet->hosts; i++) {
		if (i != f->host)
			replay_set_partition(r, f->host, i, partitioned);
	}
	replay_set_platform_partition(r, f->host, partitioned);
}

void
repair_fault(struct replay *r, void *arg)
{
	Fault *f = static_cast<Fault *>(arg);

	if (f->kind == FAULT_ISOLATE_HOST) {
		isolate(r, f, false);
		return;
	}
	if (f->kind == FAULT_PARTITION_TWO_HOSTS)
		replay_set_partition(r, f->host, f->other, false);
	else if (f->kind == FAULT_BREAK_LINK)
		replay_break_link(r, f->host, f->other);
	else if (f->kind == FAULT_PLATFORM_DOWN)
		replay_set_platform_mode(r, REPLAY_PLATFORM_OK);
	else
		replay_start(r, f->host);
}

void
inject_fault(struct replay *r, void *arg)
{
	Fault *f = static_cast<Fault *>(arg);

	switch (f->kind) {
	case FAULT_KILL_HOST:
	case FAULT_KILL_HOST_AGAIN:
		replay_kill(r, f->host);
		break;
	case FAULT_FREEZE_HOST:
		replay_freeze(r, f->host, f->duration_us);
		return;
	case FAULT_PARTITION_TWO_HOSTS:
		replay_set_partition(r, f->host, f->other, true);
		break;
	case FAULT_TRUNCATE_ANSWERS:
		replay_truncate_answers(r, f->host, 2);
		return;
	case FAULT_KILL_TARGET:
		replay_kill_target(r, f->host);
		return;
	case FAULT_PLATFORM_DOWN:
		replay_set_platform_mode(r, REPLAY_PLATFORM_DOWN);
		break;
	case FAULT_ISOLATE_HOST:
		isolate(r, f, true);
		break;
	}
	if (f->kind == FAULT_BREAK_LINK) {
		/* Frames are still in a buffer when the link breaks. */
		replay_set_extra_delay(r, f->host, f->other, 2 * SEC_US);
		f->duration_us = 100000;
	}
	replay_at(r, replay_now_us(r) + f->duration_us, repair_fault, f);
}

/* Send bookings at random times, and inject faults at others. */
void
run_bookings(
    Fleet &fleet, int faults, std::vector<std::unique_ptr<Fault>> &list)
{
	int i;

	for (i = 0; i < BOOKINGS; i++) {
		auto b = std::make_unique<Booking>();

		b->fleet = &fleet;
		replay_at(fleet.r, STARTUP_US + fleet.random_below(10 * SEC_US),
		    send_booking, b.get());
		fleet.bookings.push_back(std::move(b));
	}
	for (i = 0; i < faults; i++) {
		auto f = std::make_unique<Fault>();

		f->fleet = &fleet;
		f->kind = static_cast<int>(fleet.random_below(FAULT_KINDS));
		f->host = static_cast<int>(fleet.random_below(fleet.hosts));
		f->other = static_cast<int>(fleet.random_below(fleet.hosts));
		if (f->other == f->host)
			f->other = (f->host + 1) % fleet.hosts;
		f->duration_us = 20000 + fleet.random_below(8 * SEC_US);
		replay_at(fleet.r, STARTUP_US + fleet.random_below(10 * SEC_US),
		    inject_fault, f.get());
		list.push_back(std::move(f));
	}
	replay_run_until(fleet.r, END_US);
}

/* Check what holds for every booking under any faults. */
void
check_at_most_once(Fleet &fleet, uint64_t seed)
{
	for (auto &b : fleet.bookings) {
		uint64_t runs = replay_count_runs_of_id(fleet.r, b->id.c_str());

		EXPECT_LE(runs, 1u) << "seed " << seed << " id " << b->id;
		if (b->succeeded) {
			EXPECT_EQ(runs, 1u)
			    << "seed " << seed << " id " << b->id;
		} else if (!b->may_have_run) {
			EXPECT_EQ(runs, 0u)
			    << "seed " << seed << " not-run " << b->id;
		}
	}
	EXPECT_EQ(fleet.wrong_bodies, 0u) << "seed " << seed;
}

} // namespace

TEST(AtMostOnce, AllBookingsSucceedWithoutFaults)
{
	std::vector<std::unique_ptr<Fault>> faults;
	Fleet fleet(1);

	run_bookings(fleet, 0, faults);
	check_at_most_once(fleet, 1);
	EXPECT_EQ(fleet.succeeded, static_cast<uint64_t>(BOOKINGS));
}

TEST(AtMostOnce, BookingsRunAtMostOnceUnderSeededFaults)
{
	uint64_t seed, succeeded = 0, may_have_run = 0, not_run = 0;

	for (seed = 1; seed <= 1200; seed++) {
		std::vector<std::unique_ptr<Fault>> faults;
		Fleet fleet(seed, 1 + static_cast<int>(seed % 4));

		run_bookings(fleet, 1 + static_cast<int>(seed % 3), faults);
		check_at_most_once(fleet, seed);
		for (auto &b : fleet.bookings) {
			if (b->succeeded)
				succeeded++;
			else if (b->may_have_run)
				may_have_run++;
			else
				not_run++;
		}
		if (HasFailure())
			break;
	}
	printf("bookings: succeeded %llu, outcome unknown %llu, not run %llu\n",
	    (unsigned long long)succeeded, (unsigned long long)may_have_run,
	    (unsigned long long)not_run);
}

namespace {

/*
 * Count the bookings that ran twice, or ran though reported as not run, with
 * a guard that leaves out a mechanism.  Stops after the first seed with any.
 */
uint64_t
count_violations(const struct id_guard *guard)
{
	uint64_t seed, violations = 0;

	for (seed = 1; seed <= 1200 && violations == 0; seed++) {
		std::vector<std::unique_ptr<Fault>> faults;
		Fleet fleet(seed, 1 + static_cast<int>(seed % 4), guard);

		run_bookings(fleet, 1 + static_cast<int>(seed % 3), faults);
		for (auto &b : fleet.bookings) {
			uint64_t runs =
			    replay_count_runs_of_id(fleet.r, b->id.c_str());

			violations +=
			    runs > 1 ||
			    (!b->succeeded && !b->may_have_run && runs > 0);
		}
	}
	printf("%s: %llu violations by seed %llu\n", guard->name,
	    (unsigned long long)violations, (unsigned long long)seed - 1);
	return violations;
}

} // namespace

namespace {

/*
 * One of two targets is partitioned from all other hosts and the platform,
 * and the other one becomes the owner of its ids.  A booking is sent to
 * the first, and its answer is lost if it runs there.  The caller retries on
 * the other side of the partition.
 */
uint64_t
count_runs_across_partition(const struct id_guard *guard)
{
	Fleet fleet(5, 2, guard);
	struct node *partitioned, *other;
	struct group *a, *b;
	Booking booking;
	uint64_t stamp_ms;
	int i;

	replay_run_until(fleet.r, 10 * SEC_US);
	for (i = 1; i < fleet.hosts; i++)
		replay_set_partition(fleet.r, 0, i, true);
	replay_set_platform_partition(fleet.r, 0, true);
	replay_run_until(fleet.r, 25 * SEC_US);
	partitioned = replay_node(fleet.r, 0);
	other = replay_node(fleet.r, 1);
	a = membership_find(partitioned, "bookings");
	b = membership_find(other, "bookings");
	stamp_ms = replay_instant(fleet.r).wall_ms;
	/* Look for an id that each side believes it owns. */
	for (i = 0; booking.id.empty(); i++) {
		std::string id =
		    std::to_string(stamp_ms) + "-a-" + std::to_string(i);
		struct owner here = ownership_find(partitioned, a, "a",
		    id.c_str(), stamp_ms, replay_instant(fleet.r));
		struct owner there = ownership_find(other, b, "a", id.c_str(),
		    stamp_ms, replay_instant(fleet.r));

		EXPECT_NE(there.kind, OWNER_IS_OTHER);
		if (here.kind == OWNER_IS_SELF ||
		    here.kind == OWNER_IS_UNPROVED)
			booking.id = id;
	}
	booking.fleet = &fleet;
	booking.max_tries = 0;
	for (i = 0; i < 2; i++) {
		struct replay_call c = {};

		c.host = i;
		c.method = "POST";
		c.path = "/walk-in";
		c.id = booking.id.c_str();
		c.deadline_ms = 3000;
		c.done = on_booked;
		c.arg = &booking;
		replay_truncate_answers(fleet.r, 0, 1);
		replay_send_call(fleet.r, &c);
		replay_run_until(fleet.r, replay_now_us(fleet.r) + 5 * SEC_US);
	}
	EXPECT_TRUE(booking.succeeded) << reason_name(booking.reason);
	return replay_count_runs_of_id(fleet.r, booking.id.c_str());
}

} // namespace

TEST(AtMostOnce, PartitionedOwnerRunsNoNewId)
{
	EXPECT_EQ(count_runs_across_partition(&guard_full), 1u);
}

TEST(AtMostOnce, PartitionedOwnerRunsNewIdWithoutOwnershipProof)
{
	EXPECT_EQ(count_runs_across_partition(&guard_without_proof), 2u);
}

TEST(AtMostOnce, IsViolatedWithoutLedger)
{
	EXPECT_GT(count_violations(&guard_without_ledger), 0u);
}

namespace {

void
break_links_of_entry_host(struct replay *r, void *arg)
{
	int i;

	(void)arg;
	for (i = 0; i < TARGET_HOSTS; i++)
		replay_break_link(r, TARGET_HOSTS, i);
}

/*
 * The entry daemon's frame is still in a buffer when the link breaks.  The
 * daemon asks for the outcome over a new link and is told "not run".  Then
 * the frame arrives.
 */
uint64_t
count_runs_with_late_frame(const struct id_guard *guard, bool *reported_not_run)
{
	Fleet fleet(3, TARGET_HOSTS, guard);
	struct replay_call c = {};
	Booking b, first;
	int i;

	first.fleet = &fleet;
	replay_set_config(fleet.r, chain_config(10000, 1000, 0).c_str());
	replay_run_until(fleet.r, STARTUP_US - SEC_US);
	/* With an earlier call, the entry daemon learns the owners. */
	c.host = TARGET_HOSTS;
	c.method = "POST";
	c.path = "/walk-in";
	c.deadline_ms = 5000;
	c.done = on_booked;
	c.arg = &first;
	first.id = std::to_string(replay_instant(fleet.r).wall_ms) + "-a-first";
	c.id = first.id.c_str();
	replay_send_call(fleet.r, &c);
	replay_run_until(fleet.r, STARTUP_US);
	EXPECT_TRUE(first.succeeded);
	for (i = 0; i < TARGET_HOSTS; i++)
		replay_set_extra_delay(fleet.r, TARGET_HOSTS, i, 1 * SEC_US);
	b.fleet = &fleet;
	b.max_tries = 1;
	b.tries = 1;
	b.id = std::to_string(replay_instant(fleet.r).wall_ms) + "-a-late";
	c.path = "/walk-in"; /* an open route, which takes no token of a rate */
	c.id = b.id.c_str();
	c.arg = &b;
	replay_send_call(fleet.r, &c);
	replay_at(
	    fleet.r, STARTUP_US + 50000, break_links_of_entry_host, nullptr);
	replay_run_until(fleet.r, STARTUP_US + 8 * SEC_US);
	EXPECT_EQ(b.reason, REASON_LINK_LOST);
	*reported_not_run = !b.succeeded && !b.may_have_run;
	return replay_count_runs_of_id(fleet.r, b.id.c_str());
}

} // namespace

TEST(AtMostOnce, TombstoneStopsLateFrame)
{
	bool reported_not_run;

	EXPECT_EQ(
	    count_runs_with_late_frame(&guard_full, &reported_not_run), 0u);
	EXPECT_TRUE(reported_not_run);
}

TEST(AtMostOnce, LateFrameRunsWithoutTombstone)
{
	bool reported_not_run;

	EXPECT_EQ(count_runs_with_late_frame(
		      &guard_without_tombstone, &reported_not_run),
	    1u);
	EXPECT_TRUE(reported_not_run);
}

TEST(AtMostOnce, TruncatedAnswerIsNeverComplete)
{
	std::vector<std::unique_ptr<Fault>> faults;
	Fleet fleet(7);
	int i;

	for (i = 0; i < TARGET_HOSTS; i++)
		replay_truncate_answers(fleet.r, i, 1000);
	run_bookings(fleet, 0, faults);
	check_at_most_once(fleet, 7);
	EXPECT_EQ(fleet.succeeded, 0u);
}

namespace {

struct Lookup {
	struct failure failure = {VERDICT_RAN, REASON_NONE};
	int count = 0;
};

void
on_lookup(struct replay *, void *arg, const struct reply *reply)
{
	Lookup *l = static_cast<Lookup *>(arg);

	l->count++;
	l->failure = reply->failure;
}

void
kill_target_host(struct replay *r, void *)
{
	replay_kill(r, 0);
}

} // namespace

/*
 * The only target dies while it runs a lookup, and the retry finds no
 * target.  The last try did not run, but the first may have, so the call
 * must not be reported as not run.
 */
TEST(AtMostOnce, RefusedRetryAfterUnknownOutcomeIsNotReportedNotRun)
{
	struct replay *r = replay_create(1);
	struct replay_host_spec spec = {};
	struct replay_call c = {};
	Lookup l;

	replay_set_config(r, chain_config().c_str());
	spec.dc = "a";
	spec.service = "records";
	spec.slots = 8;
	spec.mean_run_us = 1000;
	replay_add_host(r, &spec);
	spec.service = nullptr;
	replay_add_host(r, &spec);
	replay_run_until(r, 5 * SEC_US);
	replay_set_run_time_factor(r, 0, 100000);
	c.host = 1;
	c.method = "GET";
	c.path = "/open/1";
	c.deadline_ms = 3000;
	c.done = on_lookup;
	c.arg = &l;
	replay_send_call(r, &c);
	replay_at(r, 5 * SEC_US + 200 * MSEC_US, kill_target_host, nullptr);
	replay_run_until(r, 12 * SEC_US);
	EXPECT_EQ(l.count, 1);
	EXPECT_EQ(replay_count_runs(r), 1u);
	EXPECT_EQ(l.failure.verdict, VERDICT_MAY_HAVE_RUN);
	replay_destroy(r);
}

namespace {

struct SteadyLoad {
	unsigned long sent = 0, succeeded = 0;
};

void
on_steady_answer(struct replay *, void *arg, const struct reply *reply)
{
	static_cast<SteadyLoad *>(arg)->succeeded +=
	    reply->failure.reason == REASON_NONE;
}

/* Send 50 lookups a second. */
void
send_steady_load(struct replay *r, SteadyLoad *s, unsigned int seconds)
{
	struct replay_call c = {};
	unsigned int i;

	c.host = 1;
	c.method = "GET";
	c.path = "/open/1";
	c.deadline_ms = 1000;
	c.done = on_steady_answer;
	c.arg = s;
	for (i = 0; i < seconds * 50; i++) {
		replay_send_call(r, &c);
		s->sent++;
		replay_run_until(r, replay_now_us(r) + 20 * MSEC_US);
	}
}

} // namespace

/*
 * A target that almost stops makes every call miss its deadline, and its
 * daemon expects the next calls to be as slow.  Unless that
 * expectation decays, all calls are refused, no new time is measured, and
 * the target is never used again.
 */
TEST(Serve, TargetIsUsedAgainAfterSlowPeriod)
{
	struct replay *r = replay_create(1);
	struct replay_host_spec spec = {};
	SteadyLoad slow, after;
	int i;

	replay_set_config(r, chain_config().c_str());
	spec.dc = "a";
	spec.service = "records";
	spec.slots = 8;
	spec.mean_run_us = 5000;
	replay_add_host(r, &spec);
	spec.service = nullptr;
	replay_add_host(r, &spec);
	replay_run_until(r, 5 * SEC_US);
	replay_set_run_time_factor(r, 0, 1000);
	send_steady_load(r, &slow, 5);
	replay_set_run_time_factor(r, 0, 1);
	/* Slow runs have to end first; after that recovery takes 5 s. */
	for (i = 0; i < 600 && replay_node(r, 0)->target.running > 0; i++)
		replay_run_until(r, replay_now_us(r) + 100 * MSEC_US);
	replay_run_until(r, replay_now_us(r) + 4 * SEC_US);
	send_steady_load(r, &slow, 1);
	send_steady_load(r, &after, 4);
	replay_run_until(r, replay_now_us(r) + 2 * SEC_US);
	EXPECT_LT(slow.succeeded, slow.sent / 3);
	EXPECT_GE(after.succeeded, after.sent * 95 / 100);
	replay_destroy(r);
}
