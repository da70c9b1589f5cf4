/*
 * Tests of the choice of a target.  They guard against calls that fail or wait
 * at a failed or busy target while another one could run them.
 */
#include <gtest/gtest.h>

extern "C" {
#include "core/balance.h"
}

namespace {

const struct instant NOW = {100 * SEC_US, 100000};

struct Group {
	struct group *g = group_create("s", "a");

	struct member *
	add(uint32_t ip, const char *dc)
	{
		struct member_record r = {};

		r.addr = {ip, 1};
		r.incarnation = 1;
		r.slots = 10;
		name_copy(r.dc, dc, sizeof(r.dc));
		group_merge(g, &r, {1, 1});
		return group_find(g, r.addr);
	}
	~Group()
	{
		group_destroy(g);
	}
};

/* How many of 1000 choices for the call are the member at this address. */
int
count_choices(struct group *g, const struct balancer *b, struct balance_call *c,
    uint32_t ip)
{
	uint64_t rng = 1;
	int i, n = 0;

	for (i = 0; i < 1000; i++) {
		struct member *m = b->choose(g, c, &rng, NOW);

		n += m != nullptr && m->record.addr.ip == ip;
	}
	return n;
}

} // namespace

TEST(Balance, AvoidedMembersComeAfterLocalAndRemoteOnes)
{
	struct balance_call c = {};
	Group g;
	struct member *local = g.add(1, "a");

	g.add(2, "b");
	EXPECT_EQ(count_choices(g.g, &balancer_two_choices, &c, 1), 1000);
	local->avoid_until_us = NOW.mono_us + 1;
	EXPECT_EQ(count_choices(g.g, &balancer_two_choices, &c, 2), 1000);
	c.tried[c.ntried++] = {2, 1};
	EXPECT_EQ(count_choices(g.g, &balancer_two_choices, &c, 1), 1000)
	    << "a member to be avoided is chosen if no other is left";
	c.tried[c.ntried++] = {1, 1};
	EXPECT_EQ(count_choices(g.g, &balancer_two_choices, &c, 1), 0);
}

TEST(Balance, LessLoadedMemberGetsMoreCalls)
{
	struct balance_call c = {};
	Group g;

	g.add(1, "a")->load_permille = 2000;
	g.add(2, "a");
	EXPECT_GT(count_choices(g.g, &balancer_two_choices, &c, 2), 700);
	EXPECT_LT(count_choices(g.g, &balancer_random, &c, 2), 600);
}

TEST(Balance, CallsBelowAThresholdGoToOtherMembers)
{
	struct balance_call c = {};
	Group g;

	g.add(1, "a")->threshold = {IMPORTANCE_NORMAL, 10};
	g.add(2, "b");
	c.importance = IMPORTANCE_LOW;
	EXPECT_EQ(count_choices(g.g, &balancer_two_choices, &c, 2), 1000);
	c.importance = IMPORTANCE_HIGH;
	EXPECT_EQ(count_choices(g.g, &balancer_two_choices, &c, 1), 1000);
}

/* Local targets are preferred unless they are much busier than others. */
TEST(Balance, BusyDataCentreSendsCallsToOthers)
{
	struct balance_call c = {};
	struct member *local;
	Group g;

	local = g.add(1, "a");
	g.add(2, "b");
	g.add(3, "c");
	local->load_permille = 150;
	EXPECT_EQ(count_choices(g.g, &balancer_two_choices, &c, 1), 1000);
	local->load_permille = 900;
	EXPECT_LT(count_choices(g.g, &balancer_two_choices, &c, 1), 400);
	EXPECT_GT(count_choices(g.g, &balancer_two_choices, &c, 2), 250);
	EXPECT_GT(count_choices(g.g, &balancer_two_choices, &c, 3), 250);
}
