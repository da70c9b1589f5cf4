/*
 * Tests of the end of a daemon that drains: the decide task with stand-ins for
 * all others.
 */
#include <algorithm>
#include <gtest/gtest.h>
#include <sodium.h>
#include <vector>

extern "C" {
#include "config/catalog_ini.h"
#include "daemon/daemon.h"
}

namespace {

/* The messages that the decide task sent to a task. */
struct Recorder {
	std::vector<enum msg_kind> kinds;
	std::vector<uint64_t> seqs;

	static void
	receive(void *state, struct msg *m)
	{
		Recorder *r = static_cast<Recorder *>(state);

		r->kinds.push_back(m->kind);
		r->seqs.push_back(m->seq);
		msg_destroy(m);
	}
	static void
	destroy(void *state)
	{
		(void)state;
	}
	/* The seq of the MSG_FLUSH; 0: none came. */
	uint64_t
	flush_seq() const
	{
		auto it = std::find(kinds.begin(), kinds.end(), MSG_FLUSH);

		return it != kinds.end() ? seqs[it - kinds.begin()] : 0;
	}
};

const struct task_ops recorder_ops = {Recorder::receive, Recorder::destroy};

class Decide : public testing::Test {
      protected:
	void
	SetUp() override
	{
		struct node_setup s = {};

		ASSERT_GE(sodium_init(), 0);
		settings = settings_create();
		d.base = event_base_new();
		d.settings = settings;
		s.self = {LOOPBACK_IP, 1};
		name_copy(s.dc, "z", sizeof(s.dc));
		s.seed = 1;
		s.balancer = &balancer_two_choices;
		s.limiter = &limiter_fixed;
		s.retrier = &retrier_tree;
		s.guard = &guard_full;
		s.parser = &catalog_parser_native;
		s.max_calls = s.max_queue = s.max_ids = 100;
		s.grace_us = GRACE_MS * MSEC_US;
		d.front = task_create(d.base, "front", &recorder_ops, &front);
		d.link = task_create(d.base, "link", &recorder_ops, &link);
		d.platform = d.target = d.operators = d.probe =
		    task_create(d.base, "other", &recorder_ops, &other);
		d.decide = decide_task_create(&d, &s);
	}
	void
	TearDown() override
	{
		task_destroy(d.decide);
		task_destroy(d.platform);
		task_destroy(d.link);
		task_destroy(d.front);
		event_base_free(d.base);
		settings_destroy(settings);
	}
	/* Run the loop; true if the daemon ended it. */
	bool
	ends_within_ms(int ms)
	{
		struct timeval tv = {ms / 1000, (ms % 1000) * 1000};
		struct event *stop = evtimer_new(d.base, on_stop, this);
		bool ended;

		evtimer_add(stop, &tv);
		stopped = false;
		event_base_dispatch(d.base);
		ended = !stopped;
		event_free(stop);
		return ended;
	}
	static void
	on_stop(evutil_socket_t fd, short what, void *arg)
	{
		Decide *t = static_cast<Decide *>(arg);

		(void)fd;
		(void)what;
		t->stopped = true;
		event_base_loopbreak(t->d.base);
	}
	void
	report_flushed(uint64_t seq)
	{
		struct msg *m = msg_create(MSG_FLUSHED);

		m->seq = seq;
		task_send(d.decide, m);
	}

	static constexpr int GRACE_MS = 3000;
	struct daemon d = {};
	struct settings *settings;
	Recorder front, link, other;
	bool stopped;
};

} // namespace

/*
 * Guards against a daemon that drains and ends while it still holds answers
 * that their callers are reading (review/5), or replies for other daemons.
 */
TEST_F(Decide, ADrainedDaemonEndsOnceItsAnswersHaveArrived)
{
	daemon_drain(&d);
	EXPECT_FALSE(ends_within_ms(1000));
	ASSERT_NE(front.flush_seq(), 0u);
	ASSERT_NE(link.flush_seq(), 0u);
	report_flushed(link.flush_seq());
	EXPECT_FALSE(ends_within_ms(300));
	report_flushed(front.flush_seq());
	EXPECT_TRUE(ends_within_ms(1000));
}

/* It does not wait to be killed. */
TEST_F(Decide, ADrainedDaemonEndsBeforeItsGracePeriod)
{
	daemon_drain(&d);
	EXPECT_FALSE(ends_within_ms(GRACE_MS - 500));
	EXPECT_TRUE(ends_within_ms(500));
}
