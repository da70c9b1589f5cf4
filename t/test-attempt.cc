/*
 * Tests of the tries of a call at its entry daemon when links fail, and of
 * the calls at a daemon that drains.
 */
#include <gtest/gtest.h>
#include <vector>

extern "C" {
#include "core/node.h"
#include "platform/platform.h"
}

namespace {

const char CONFIG[] =
    R"({"version":1,"resources":[)"
    R"({"entry_type":"upstreams","metadata":{"name":"a"},"spec":{}},)"
    R"({"entry_type":"routes","metadata":{"name":"r"},"spec":{)"
    R"("authority":"x","path_prefix":"/p/","route_type":"unsafe",)"
    R"("upstream":"a","max_attempts":2,"public":true}}]})";

const struct addr SELF = {0x0a000001, 7000}, PEER = {0x0a000002, 7000};

class Attempt : public testing::Test {
      protected:
	void
	SetUp() override
	{
		s.self = SELF;
		name_copy(s.dc, "z", sizeof(s.dc));
		s.incarnation = now.wall_ms;
		s.seed = 1;
		s.balancer = &balancer_two_choices;
		s.limiter = &limiter_fixed;
		s.shedder = &shedder_goal;
		s.retrier = &retrier_tree;
		s.guard = &guard_full;
		s.parser = &catalog_parser_platform;
		s.max_calls = s.max_queue = s.max_ids = 100;
		s.default_deadline_us = s.max_deadline_us = 60 * SEC_US;
		s.grace_us = 6 * SEC_US;
		node = node_create(&s);
		configure();
		call(1);
		/* The first call makes the daemon ask for the members. */
		learn_member();
	}
	void
	TearDown() override
	{
		msg_list_clear(&out);
		node_destroy(node);
	}
	void
	configure()
	{
		struct msg *m = msg_create(MSG_ROW);

		name_copy(m->u.row.key, "config", sizeof(m->u.row.key));
		m->u.row.status = ROW_FOUND;
		m->u.row.version = 1;
		buffer_set(&m->u.row.value, CONFIG, sizeof(CONFIG) - 1);
		node_handle(node, m, now, &out);
	}
	void
	learn_member()
	{
		struct msg *m = msg_create(MSG_MEMBERS);
		struct members *r = &m->u.members;

		m->peer = PEER;
		name_copy(r->service, "a", sizeof(r->service));
		r->records = static_cast<struct member_record *>(
		    xcalloc(1, sizeof(*r->records)));
		r->count = 1;
		r->records[0].addr = PEER;
		r->records[0].incarnation = now.wall_ms;
		r->records[0].slots = 8;
		node_handle(node, m, now, &out);
	}
	void
	call(uint64_t token)
	{
		struct msg *m = msg_create(MSG_CALL);
		struct request *r = &m->u.call.request;

		m->seq = token;
		name_copy(r->method, "POST", sizeof(r->method));
		name_copy(r->host, "x", sizeof(r->host));
		name_copy(r->path, "/p/1", sizeof(r->path));
		node_handle(node, m, now, &out);
	}
	void
	link_down(uint64_t seq, bool may_have_sent, bool unsent_reported)
	{
		struct msg *m = msg_create(MSG_LINK_DOWN);

		m->peer = PEER;
		m->seq = seq;
		m->may_have_sent = may_have_sent;
		m->unsent_reported = unsent_reported;
		node_handle(node, m, now, &out);
	}
	void
	drain()
	{
		struct msg *m = msg_create(MSG_OPS);

		m->u.ops.verb = OPS_DRAIN;
		node_handle(node, m, now, &out);
	}
	void
	advance(uint64_t us)
	{
		now.mono_us += us;
		now.wall_ms += us / MSEC_US;
		node_tick(node, now, &out);
	}
	struct failure
	last_failure()
	{
		struct failure f = {VERDICT_RAN, REASON_NONE};
		struct msg *m;

		TAILQ_FOREACH (m, &out, entry) {
			if (m->kind == MSG_ANSWER)
				f = m->u.reply.failure;
		}
		return f;
	}
	/* The sequence numbers of all messages of a kind that the node sent. */
	std::vector<uint64_t>
	seqs_sent(enum msg_kind kind)
	{
		std::vector<uint64_t> seqs;
		struct msg *m;

		TAILQ_FOREACH (m, &out, entry) {
			if (m->kind == kind)
				seqs.push_back(m->seq);
		}
		return seqs;
	}

	struct node *node;
	struct node_setup s = {};
	struct instant now = {1000 * SEC_US, 1700000000000};
	struct msg_list out = TAILQ_HEAD_INITIALIZER(out);
};

} // namespace

/*
 * Guards against a call that is answered with 503 and runs a second later: the
 * link to its peer fails while the call is still on its way to the link task,
 * which then sends it over the next link.
 */
TEST_F(Attempt, CallStillOnItsWayToFailedLinkIsNotReportedNotRun)
{
	ASSERT_EQ(seqs_sent(MSG_FORWARD).size(), 1u);
	link_down(0, false, true);
	EXPECT_TRUE(seqs_sent(MSG_ANSWER).empty());
}

TEST_F(Attempt, UnsentTryIsNotRun)
{
	struct msg *m;

	ASSERT_EQ(seqs_sent(MSG_FORWARD).size(), 1u);
	link_down(seqs_sent(MSG_FORWARD)[0], false, false);
	ASSERT_EQ(seqs_sent(MSG_ANSWER).size(), 1u);
	m = TAILQ_LAST(&out, msg_list);
	ASSERT_EQ(m->kind, MSG_ANSWER);
	EXPECT_EQ(m->u.reply.failure.verdict, VERDICT_NOT_RUN);
}

TEST_F(Attempt, OutcomeOfTryThatMayHaveBeenSentIsAskedFor)
{
	ASSERT_EQ(seqs_sent(MSG_FORWARD).size(), 1u);
	link_down(0, true, false);
	EXPECT_TRUE(seqs_sent(MSG_ANSWER).empty());
	EXPECT_EQ(seqs_sent(MSG_ASK_FATE), seqs_sent(MSG_FORWARD));
}

/*
 * Guards against calls that a daemon still takes five seconds after the order
 * to drain, and that are lost when its process is killed.
 */
TEST_F(Attempt, DrainingDaemonTakesCallsForHalfOfItsGracePeriod)
{
	drain();
	advance(2900 * MSEC_US);
	call(2);
	EXPECT_EQ(seqs_sent(MSG_FORWARD).size(), 2u);
	advance(200 * MSEC_US);
	call(3);
	EXPECT_EQ(seqs_sent(MSG_FORWARD).size(), 2u);
	EXPECT_EQ(last_failure().reason, REASON_LEAVING);
	EXPECT_EQ(last_failure().verdict, VERDICT_NOT_RUN);
}

/*
 * Guards against calls that are taken late in a long grace period, passed on,
 * and cut at its end while their target still works on them: the callers of a
 * planned stop accept that only for calls of its first three seconds.
 */
TEST_F(Attempt, DrainingDaemonTakesNoCallsAfterThreeSecondsOfALongGracePeriod)
{
	s.grace_us = 10 * SEC_US;
	node_update_settings(node, &s);
	drain();
	advance(2900 * MSEC_US);
	call(2);
	EXPECT_EQ(seqs_sent(MSG_FORWARD).size(), 2u);
	EXPECT_FALSE(node_refuses_calls(node, now));
	advance(200 * MSEC_US);
	call(3);
	EXPECT_EQ(seqs_sent(MSG_FORWARD).size(), 2u);
	EXPECT_EQ(last_failure().reason, REASON_LEAVING);
	EXPECT_EQ(last_failure().verdict, VERDICT_NOT_RUN);
	/* What it took has the whole of the period to end. */
	advance(5 * SEC_US);
	EXPECT_EQ(seqs_sent(MSG_ANSWER).size(), 1u);
	EXPECT_FALSE(node_is_drained(node));
}

TEST_F(Attempt, DrainingDaemonAnswersAllCallsBeforeItsGracePeriodEnds)
{
	drain();
	advance(5 * SEC_US);
	EXPECT_FALSE(node_is_drained(node));
	EXPECT_TRUE(seqs_sent(MSG_ANSWER).empty());
	advance(500 * MSEC_US);
	EXPECT_EQ(last_failure().verdict, VERDICT_MAY_HAVE_RUN);
	EXPECT_TRUE(node_is_drained(node));
}
