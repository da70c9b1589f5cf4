/*
 * Tests of the limits on what a process holds, and that holders give way
 * before anything else happens.
 */
#include <gtest/gtest.h>
#include <vector>

extern "C" {
#include "core/account.h"
#include "daemon/holdings.h"
}

namespace {

struct Holdings : public testing::Test {
	void
	SetUp() override
	{
		settings = settings_create();
		settings->memory_mb = 100;
		d.settings = settings;
		d.max_descriptors = 1600;
		d.base = event_base_new();
		event_base_priority_init(d.base, LOOP_PRIORITIES);
		d.holdings = holdings_create(&d);
	}
	void
	TearDown() override
	{
		holdings_destroy(d.holdings);
		event_base_free(d.base);
		settings_destroy(settings);
	}
	static void
	give_way(void *owner)
	{
		Holdings *t = static_cast<Holdings *>(owner);

		t->steps.push_back("gives way");
		holder_set(&t->holder, 0);
	}
	static void
	grow(evutil_socket_t, short, void *arg)
	{
		Holdings *t = static_cast<Holdings *>(arg);

		t->steps.push_back("grows");
		holder_set(&t->holder, 50000000);
	}

	struct daemon d = {};
	struct settings *settings;
	struct holder holder = {};
	std::vector<std::string> steps;
};

} // namespace

TEST_F(Holdings, LimitsFollowTheSettingsAndTheOpenFiles)
{
	EXPECT_EQ(account_state(d.memory)->limit, 45000000u);
	EXPECT_EQ(account_state(d.descriptors)->limit, 1500u);
	settings->memory_mb = 200;
	holdings_reload(d.holdings);
	EXPECT_EQ(account_state(d.memory)->limit, 90000000u);
	d.max_descriptors = 20;
	holdings_reload(d.holdings);
	EXPECT_EQ(account_state(d.descriptors)->limit, 4u);
	settings->memory_mb = 0;
	holdings_reload(d.holdings);
	EXPECT_GT(account_state(d.memory)->limit, 1000000u);
}

/* The longest body of the users' pages fits the smallest of their hosts. */
TEST_F(Holdings, TheLongestBodyFitsTheSmallestHost)
{
	settings->memory_mb = 160;
	holdings_reload(d.holdings);
	static const struct holder_ops ops = {HOLDER_CALLER, false, give_way};

	holder_init(&holder, d.memory, &ops, this, 0);
	holder_set(&holder, (64 << 20) + 100000);
	EXPECT_FALSE(account_is_over(d.memory));
	holder_release(&holder);
}

TEST_F(Holdings, HoldersGiveWayBeforeTheNextEvent)
{
	static const struct holder_ops ops = {HOLDER_CALLER, false, give_way};
	struct event *first = event_new(d.base, -1, 0, grow, this);
	struct event *second = event_new(d.base, -1, 0, grow, this);

	holder_init(&holder, d.memory, &ops, this, 0);
	event_active(first, EV_TIMEOUT, 0);
	event_active(second, EV_TIMEOUT, 0);
	event_base_loop(d.base, EVLOOP_NONBLOCK);
	event_base_loop(d.base, EVLOOP_NONBLOCK);
	EXPECT_EQ(steps, (std::vector<std::string>{
			     "grows", "gives way", "grows", "gives way"}));
	holder_release(&holder);
	event_free(first);
	event_free(second);
}
