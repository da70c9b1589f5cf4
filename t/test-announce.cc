/*
 * Guards against a daemon that runs calls on a target that is leaving, has
 * been replaced or is silent.  Announcements may arrive late, twice, or after
 * the target process that sent them has ended, and a restarted daemon
 * remembers none.  Each start of a target process has an id and a start time.
 */
#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "config/catalog_ini.h"
#include "core/node_impl.h"
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
	announce(
	    const char *id, uint64_t started_ms, uint64_t seq, bool leaving)
	{
		struct msg *m = msg_create(MSG_ANNOUNCE);
		struct announce *a = &m->u.announce;

		name_copy(a->service, "records", sizeof(a->service));
		name_copy(a->id, id, sizeof(a->id));
		a->started_ms = started_ms;
		a->seq = seq;
		a->slots = 4;
		a->leaving = leaving;
		a->daemon_outlives_target = true;
		handle(m);
	}
	/* Forward a call as another daemon would; true if it is run. */
	bool
	runs_calls()
	{
		struct msg_list out = TAILQ_HEAD_INITIALIZER(out);
		struct msg *m = msg_create(MSG_FORWARD), *o;
		bool is_run = false;

		m->peer = {0x0a000002, 7000};
		m->seq = ++forward_seq;
		name_copy(m->u.forward.service, "records", NAME_LEN);
		m->u.forward.idempotent = true;
		m->u.forward.context.deadline_ms = 500;
		node_handle(node, m, now, &out);
		TAILQ_FOREACH (o, &out, entry)
			is_run |= o->kind == MSG_RUN;
		msg_list_clear(&out);
		return is_run;
	}
	void
	advance(uint64_t us)
	{
		struct msg_list out = TAILQ_HEAD_INITIALIZER(out);

		for (uint64_t i = 0; i < us; i += 100 * MSEC_US) {
			now.mono_us += 100 * MSEC_US;
			now.wall_ms += 100;
			node_tick(node, now, &out);
			msg_list_clear(&out);
		}
	}
	uint64_t forward_seq = 0; /* of the last call forwarded */
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
 * A restarted daemon first receives an announcement that its target is
 * leaving, without the time of its start, and then a delayed earlier one of
 * the same start.  The delayed one must not make the target accept calls.
 */
TEST(Announce, DelayedAnnouncementDoesNotUndoLeavingWithoutStartTime)
{
	Daemon d;
	uint64_t started_ms = d.now.wall_ms - 20000;

	d.announce("a", 0, 0, true);
	d.advance(2 * SEC_US);
	d.announce("a", started_ms, 14, false);
	EXPECT_FALSE(d.runs_calls());
	/* A later start is a new one, though its id is the same. */
	d.announce("a", d.now.wall_ms, 1, false);
	EXPECT_TRUE(d.runs_calls());
}

TEST(Announce, DelayedAnnouncementDoesNotUndoLeaving)
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

/*
 * Guards against calls to a target that is leaving: a restarted daemon knows
 * no target yet when it receives the leaving announcement, and then a delayed
 * earlier one arrives.
 */
TEST(Announce, LeavingIsRecordedByADaemonThatKnowsNoTarget)
{
	Daemon d;

	d.announce("a", 100, 25, true);
	d.announce("a", 100, 24, false);
	EXPECT_FALSE(d.runs_calls());
	d.announce("b", 200, 1, false);
	EXPECT_TRUE(d.runs_calls());
}

TEST(Announce, LaterStartReplacesAnEarlierOneWhichIsThenIgnored)
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

TEST(Announce, SilentTargetRunsNoCallsUntilItAnnouncesItselfAgain)
{
	Daemon d;

	d.announce("a", 100, 1, false);
	d.advance(5 * SEC_US);
	EXPECT_TRUE(d.runs_calls());
	d.advance(2 * SEC_US);
	EXPECT_FALSE(d.runs_calls());
	d.announce("a", 100, 2, false);
	EXPECT_TRUE(d.runs_calls());
}

/* Another writer's announcement must not make the real ones outdated. */
TEST(Announce, AStartInTheFutureIsIgnored)
{
	const uint64_t future_ms = 4000000000000;
	Daemon d;

	d.announce("a", future_ms, 1, false);
	EXPECT_FALSE(d.runs_calls());
	d.announce("a", 1699999999000, 1, false);
	EXPECT_TRUE(d.runs_calls());
	d.announce("a", future_ms, 2, true);
	d.announce("a", 1699999999000, 2, false);
	EXPECT_TRUE(d.runs_calls());
}

/* The clock of its host was set back before the target started again. */
TEST(Announce, StartThatSeemsEarlierIsUsedOnceOnlyItGoesOn)
{
	for (bool left : {false, true}) {
		Daemon d;
		uint64_t seq;

		d.announce("a", 60000, 9, false);
		if (left)
			d.announce("a", 60000, 10, true);
		for (seq = 1; seq <= 30; seq++) {
			d.advance(1 * SEC_US);
			d.announce("a", 50000, seq, false);
		}
		EXPECT_TRUE(d.runs_calls()) << left;
		/* Its own end counts, and no late word after it. */
		d.announce("a", 50000, 32, true);
		d.announce("a", 50000, 31, false);
		EXPECT_FALSE(d.runs_calls()) << left;
	}
}

/* Late announcements of an earlier start come at once, or while it is known. */
TEST(Announce, LateAnnouncementsOfAnEarlierStartBringNothingBack)
{
	Daemon d;
	uint64_t seq;

	d.announce("a", 60000, 1, false);
	d.announce("a", 60000, 2, true);
	for (seq = 1; seq <= 20; seq++)
		d.announce("a", 50000, seq, false);
	EXPECT_FALSE(d.runs_calls());
	d.advance(20 * SEC_US);
	d.announce("a", 50000, 7, false);
	EXPECT_FALSE(d.runs_calls());
	d.announce("b", 70000, 1, false);
	for (seq = 2; seq <= 30; seq++) {
		d.advance(1 * SEC_US);
		d.announce("a", 50000, 20 + seq, false);
		d.announce("b", 70000, seq, false);
		EXPECT_STREQ(d.node->target.id, "b");
	}
}

/* What a log line says about an announcement is what was decided. */
TEST(Announce, TheOutcomeSaysWhatWasDecided)
{
	const struct announce_outcome *o;
	Daemon d;

	o = node_announce_outcome(d.node);
	d.announce("a", 100, 5, false);
	EXPECT_FALSE(o->ignored);
	EXPECT_STREQ(o->known_id, "");
	d.announce("a", 100, 6, true);
	EXPECT_FALSE(o->ignored);
	d.announce("a", 100, 4, false);
	EXPECT_TRUE(o->ignored);
	EXPECT_STREQ(o->known_id, "a");
	EXPECT_EQ(o->known_seq, 6u);
	EXPECT_EQ(o->count, 3u);
}

/*
 * The first announcement of a later start is late: its end comes first, and it
 * ends the earlier one as well, which it replaced.
 */
TEST(Announce, TheEndOfALaterStartCounts)
{
	Daemon d;

	d.announce("a", 100, 1, false);
	EXPECT_TRUE(d.runs_calls());
	d.announce("b", 200, 0, true);
	EXPECT_FALSE(d.runs_calls());
	d.announce("b", 200, 1, false);
	d.announce("a", 100, 2, false);
	EXPECT_FALSE(d.runs_calls());
	d.announce("c", 300, 1, false);
	EXPECT_TRUE(d.runs_calls());
}
