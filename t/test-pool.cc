/*
 * Rates that the data centres of a region share, through whole nodes: many
 * hosts that each see little, a root that dies, a data centre that is cut
 * off, and all of it started again.
 */
#include <cmath>
#include <gtest/gtest.h>
#include <string>
#include <vector>

#include "t/excess.h"
#include "t/config-text.h"

extern "C" {
#include "core/node_impl.h"
}

namespace {

constexpr int DCS = 3;
constexpr int TARGETS = 3; /* the first hosts, one a data centre */
constexpr double RATE = 60, BURST = 60;

struct Fleet;

/* What callers at the hosts of one data centre got. */
struct Callers {
	Fleet *f = nullptr;
	int dc = 0;
	double a_second = 0; /* in all of the data centre */
	unsigned long sent = 0, whole = 0, over_rate = 0, other = 0;
	enum reason last_other = REASON_NONE;
};

void on_answered(struct replay *, void *arg, const struct reply *reply);
void send_next(struct replay *r, void *arg);

struct Fleet {
	struct replay *r;
	int hosts;
	Callers callers[DCS];
	std::vector<uint64_t> admitted;

	Fleet(int per_dc, uint64_t seed) : hosts(per_dc * DCS)
	{
		static const char *const names[] = {"a", "b", "c"};
		struct replay_spec spec = {};
		int i;

		r = replay_create(seed);
		replay_config(r, chain_text(RATE, BURST).c_str());
		spec.region = "r";
		spec.region_dcs = DCS;
		spec.slots = 64;
		spec.work_us = 5000;
		for (i = 0; i < hosts; i++) {
			spec.dc = names[i % DCS];
			spec.service = i < TARGETS ? "records" : nullptr;
			replay_host(r, &spec);
		}
		for (i = 0; i < DCS; i++) {
			callers[i].f = this;
			callers[i].dc = i;
		}
		run(8 * SEC_US);
	}
	~Fleet()
	{
		replay_destroy(r);
	}
	void
	run(uint64_t us)
	{
		replay_run(r, replay_now(r) + us);
	}
	/* Calls at each data centre, a second. */
	void
	begin(double a, double b, double c)
	{
		const double rates[] = {a, b, c};

		for (int i = 0; i < DCS; i++) {
			callers[i].a_second = rates[i];
			replay_at(r, replay_now(r), send_next, &callers[i]);
		}
	}
	void
	forget()
	{
		for (auto &c : callers)
			c.sent = c.whole = c.over_rate = c.other = 0;
	}
	unsigned long
	over_rate() const
	{
		return callers[0].over_rate + callers[1].over_rate +
		       callers[2].over_rate;
	}
	/* Calls that failed for any other reason; in calm there is none. */
	unsigned long
	failed_otherwise() const
	{
		for (auto &c : callers)
			EXPECT_EQ(c.last_other, REASON_NONE)
			    << reason_name(c.last_other);
		return callers[0].other + callers[1].other + callers[2].other;
	}
	unsigned long
	sent() const
	{
		return callers[0].sent + callers[1].sent + callers[2].sent;
	}
	int
	pool_root()
	{
		for (int i = 0; i < hosts; i++) {
			if (replay_is_up(r, i) &&
			    replay_node(r, i)->pool.is_root)
				return i;
		}
		return -1;
	}
	int
	tree_root(const char *dc)
	{
		for (int i = 0; i < hosts; i++) {
			if (replay_is_up(r, i) &&
			    replay_node(r, i)->tree.is_root &&
			    strcmp(replay_node(r, i)->setup.dc, dc) == 0)
				return i;
		}
		return -1;
	}
	/* Cut a data centre off from the others, not from the platform. */
	void
	cut(int dc, bool on)
	{
		for (int i = dc; i < hosts; i += DCS)
			for (int j = 0; j < hosts; j++)
				if (j % DCS != dc)
					replay_cut(r, i, j, on);
	}
	/* Calls that ran in any window beyond burst and rate. */
	double
	excess() const
	{
		return excess_over(admitted, RATE, BURST);
	}
};

void
on_answered(struct replay *r, void *arg, const struct reply *reply)
{
	Callers *c = static_cast<Callers *>(arg);

	if (reply->failure.reason == REASON_NONE) {
		c->whole++;
		c->f->admitted.push_back(replay_now(r));
	} else if (reply->failure.reason == REASON_OVER_RATE) {
		c->over_rate++;
	} else {
		c->other++;
		c->last_other = reply->failure.reason;
	}
}

void
send_next(struct replay *r, void *arg)
{
	Callers *c = static_cast<Callers *>(arg);
	struct replay_call call = {};
	double u = static_cast<double>(replay_random(r) % 1000000 + 1) / 1e6;

	call.host =
	    c->dc + DCS * static_cast<int>(replay_random(r) % (c->f->hosts / DCS));
	call.method = "GET";
	call.path = "/records/1";
	call.key = "key-brno";
	call.deadline_ms = 4000;
	call.done = on_answered;
	call.arg = c;
	c->sent++;
	replay_send(r, &call);
	replay_at(r,
	    replay_now(r) +
		static_cast<uint64_t>(-std::log(u) / c->a_second * SEC_US),
	    send_next, c);
}

} // namespace

/* Each host sees one call a second, and less than that of the burst. */
TEST(Pool, ManyHostsThatSeeLittleAreServed)
{
	Fleet f(16, 1);

	f.begin(16, 16, 16);
	f.run(4 * SEC_US);
	f.forget();
	f.run(60 * SEC_US);
	printf("48 hosts: %lu of %lu refused\n", f.over_rate(), f.sent());
	EXPECT_LE(f.over_rate(), f.sent() / 1000);
	EXPECT_LE(f.excess(), 0);
	EXPECT_EQ(f.failed_otherwise(), 0u);
}

/* Calls move from two data centres to the third, within the rate. */
TEST(Pool, RatesFollowTheCalls)
{
	Fleet f(8, 2);

	f.begin(16, 16, 16);
	f.run(10 * SEC_US);
	f.callers[0].a_second = f.callers[1].a_second = 1;
	f.callers[2].a_second = 46;
	f.run(5 * SEC_US);
	f.forget();
	f.run(30 * SEC_US);
	printf(
	    "calls that moved: %lu of %lu refused\n", f.over_rate(), f.sent());
	EXPECT_LE(f.over_rate(), f.sent() / 100);
	EXPECT_LE(f.excess(), 0);
	EXPECT_EQ(f.failed_otherwise(), 0u);
}

TEST(Pool, OneOrganisationGetsNoMoreThanItsRate)
{
	Fleet f(8, 3);
	unsigned long whole;

	f.begin(150, 100, 50);
	f.run(20 * SEC_US);
	whole = f.callers[0].whole + f.callers[1].whole + f.callers[2].whole;
	EXPECT_LE(f.excess(), 0);
	EXPECT_EQ(f.failed_otherwise(), 0u);
	EXPECT_GE(whole, 0.9 * RATE * 20);
}

TEST(Pool, LossOfAnyRootIsBorne)
{
	Fleet f(8, 4);
	int host;

	f.begin(12, 12, 12);
	f.run(10 * SEC_US);
	f.forget();
	host = f.pool_root();
	ASSERT_GE(host, 0);
	replay_kill(f.r, host);
	f.run(10 * SEC_US);
	replay_start(f.r, host);
	f.run(10 * SEC_US);
	host = f.tree_root("b");
	ASSERT_GE(host, 0);
	replay_kill(f.r, host);
	f.run(20 * SEC_US);
	printf("loss of roots: %lu of %lu refused\n", f.over_rate(), f.sent());
	EXPECT_LE(f.over_rate(), f.sent() / 100);
	EXPECT_LE(f.excess(), 0);
	EXPECT_GE(f.pool_root(), 0);
	EXPECT_GE(f.tree_root("b"), 0);
}

/* Each data centre in turn, the one with the pool's root among them. */
TEST(Pool, DataCentreThatIsCutOffGoesOn)
{
	Fleet f(8, 5);

	f.begin(12, 12, 12);
	f.run(10 * SEC_US);
	f.forget();
	for (int dc = 0; dc < DCS; dc++) {
		f.cut(dc, true);
		f.run(6 * SEC_US);
		f.cut(dc, false);
		f.run(10 * SEC_US);
	}
	printf("cuts: %lu of %lu refused\n", f.over_rate(), f.sent());
	EXPECT_LE(f.over_rate(), f.sent() / 50);
	EXPECT_LE(f.excess(), 0);
}

/* After all hosts lost power nobody holds anything, and all can know it. */
TEST(Pool, StartsAgainAtOnceAfterALossOfPower)
{
	Fleet f(8, 6);
	int i;

	f.begin(12, 12, 12);
	f.run(10 * SEC_US);
	for (i = 0; i < f.hosts; i++)
		replay_kill(f.r, i);
	f.run(1 * SEC_US);
	for (i = 0; i < f.hosts; i++)
		replay_start(f.r, i);
	f.run(4 * SEC_US);
	f.forget();
	f.run(10 * SEC_US);
	printf("after a loss of power: %lu of %lu refused\n", f.over_rate(),
	    f.sent());
	EXPECT_LE(f.over_rate(), f.sent() / 100);
	EXPECT_LE(f.excess(), 0);
}

/* Asks of a root that was replaced are not granted. */
TEST(Pool, LaterRootOfADataCentreTakesItsShareOver)
{
	struct pool p;

	pool_init(&p);
	EXPECT_NE(pool_update_member(&p, "a", 5, {1, 1}), nullptr);
	EXPECT_NE(pool_update_member(&p, "a", 7, {2, 1}), nullptr);
	EXPECT_EQ(pool_update_member(&p, "a", 5, {1, 1}), nullptr);
	pool_update_member(&p, "a", 7, {2, 1})->has_reported = true;
	EXPECT_FALSE(pool_all_reported(&p, 2));
	pool_update_member(&p, "b", 1, {3, 1})->has_reported = true;
	EXPECT_TRUE(pool_all_reported(&p, 2));
	EXPECT_FALSE(pool_all_reported(&p, 0));
	pool_update_member(&p, "a", 8, {4, 1});
	EXPECT_FALSE(pool_all_reported(&p, 2));
	pool_release(&p);
}
