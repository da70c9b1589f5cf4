/*
 * What a target says of itself may come late, twice and from a start that has
 * ended; a daemon that was restarted knows nothing of before.
 */
#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "config/catalog_ini.h"
#include "core/node.h"
}

namespace {

struct Daemon {
	struct node *node;
	struct instant now = {1000 * SEC_US, 1700000000000};

	Daemon()
	{
		struct node_setup s = {};

		s.self = {0x0a000001, 7000};
		name_copy(s.dc, "plzen", sizeof(s.dc));
		s.incarnation = now.wall_ms;
		s.seed = 1;
		s.balancer = &balancer_two_choices;
		s.limiter = &limiter_slots;
		s.retrier = &retrier_tree;
		s.guard = &guard_full;
		s.parser = &catalog_parser_native;
		s.max_calls = s.max_queue = s.max_ids = 100;
		s.default_deadline_us = s.max_deadline_us = SEC_US;
		s.announce_timeout_us = 6 * SEC_US;
		node = node_create(&s);
	}
	~Daemon()
	{
		node_destroy(node);
	}
	void
	handle(struct msg *m)
	{
		struct msg_list out = TAILQ_HEAD_INITIALIZER(out);

		node_handle(node, m, now, &out);
		msg_list_clear(&out);
	}
	void
	announce(const char *id, uint64_t born, uint64_t seq, bool leaving)
	{
		struct msg *m = msg_create(MSG_ANNOUNCE);
		struct announce *a = &m->u.announce;

		name_copy(a->service, "records", sizeof(a->service));
		name_copy(a->id, id, sizeof(a->id));
		a->started_ms = born;
		a->seq = seq;
		a->slots = 4;
		a->leaving = leaving;
		a->daemon_outlives_target = true;
		handle(m);
	}
	/* Ask the daemon to run a call, as another daemon would. */
	bool
	runs_calls()
	{
		struct msg_list out = TAILQ_HEAD_INITIALIZER(out);
		struct msg *m = msg_create(MSG_FORWARD), *o;
		bool ran = false;

		m->peer = {0x0a000002, 7000};
		m->seq = ++seq;
		name_copy(m->u.forward.service, "records", NAME_LEN);
		m->u.forward.idempotent = true;
		m->u.forward.context.deadline_ms = 500;
		node_handle(node, m, now, &out);
		TAILQ_FOREACH (o, &out, entry)
			ran |= o->kind == MSG_RUN;
		msg_list_clear(&out);
		return ran;
	}
	void
	pass(uint64_t us)
	{
		struct msg_list out = TAILQ_HEAD_INITIALIZER(out);

		for (uint64_t i = 0; i < us; i += 100 * MSEC_US) {
			now.mono_us += 100 * MSEC_US;
			now.wall_ms += 100;
			node_tick(node, now, &out);
			msg_list_clear(&out);
		}
	}
	uint64_t seq = 0;
};

} // namespace

TEST(Announce, ReadyTargetRunsCallsAndALeavingOneDoesNot)
{
	Daemon d;

	EXPECT_FALSE(d.runs_calls());
	d.announce("a", 100, 1, false);
	EXPECT_TRUE(d.runs_calls());
	d.announce("a", 100, 2, true);
	EXPECT_FALSE(d.runs_calls());
}

/*
 * The first that a new daemon hears is that its target has gone, without
 * when that one started; then comes an earlier word of the same start.
 */
TEST(Announce, LateWordDoesNotUndoTheEndOfAnUnknownStart)
{
	Daemon d;
	uint64_t born = d.now.wall_ms - 20000;

	d.announce("a", 0, 0, true);
	d.pass(2 * SEC_US);
	d.announce("a", born, 14, false);
	EXPECT_FALSE(d.runs_calls());
	/* A start after that end is another one, under the same id. */
	d.announce("a", d.now.wall_ms, 1, false);
	EXPECT_TRUE(d.runs_calls());
}

TEST(Announce, LateWordDoesNotUndoLeaving)
{
	Daemon d;

	d.announce("a", 100, 1, false);
	d.announce("a", 100, 5, true);
	d.announce("a", 100, 4, false);
	EXPECT_FALSE(d.runs_calls());
	d.announce("a", 100, 0, true);
	d.announce("a", 100, 4, false);
	EXPECT_FALSE(d.runs_calls());
}

/* Found by a day of trouble-3 of srf-mesh: the daemon had been restarted. */
TEST(Announce, LeavingBindsADaemonThatKnewNoTarget)
{
	Daemon d;

	d.announce("a", 100, 25, true);
	d.announce("a", 100, 24, false);
	EXPECT_FALSE(d.runs_calls());
	d.announce("b", 200, 1, false);
	EXPECT_TRUE(d.runs_calls());
}

TEST(Announce, LaterStartReplacesAndEarlierOneSaysNothing)
{
	Daemon d;

	d.announce("a", 100, 9, false);
	d.announce("a", 300, 1, false);
	EXPECT_TRUE(d.runs_calls());
	d.announce("a", 100, 10, true);
	EXPECT_TRUE(d.runs_calls());
	d.announce("old", 50, 3, true);
	EXPECT_TRUE(d.runs_calls());
	d.announce("b", 400, 1, false);
	d.announce("a", 300, 7, false);
	d.announce("b", 400, 2, true);
	EXPECT_FALSE(d.runs_calls());
}

TEST(Announce, SilentTargetIsOutUntilItSpeaks)
{
	Daemon d;

	d.announce("a", 100, 1, false);
	d.pass(5 * SEC_US);
	EXPECT_TRUE(d.runs_calls());
	d.pass(2 * SEC_US);
	EXPECT_FALSE(d.runs_calls());
	d.announce("a", 100, 2, false);
	EXPECT_TRUE(d.runs_calls());
}
