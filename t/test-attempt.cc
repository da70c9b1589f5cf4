/*
 * Tests of the tries of a call at its entry daemon when links fail, and of
 * the calls at a daemon that drains.
 */
#include <gtest/gtest.h>
#include <string>
#include <vector>

extern "C" {
#include "config/catalog_ini.h"
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

namespace {

const struct addr PEER_2 = {0x0a000003, 7000};

/* The platform's configuration; type is a JSON member, or empty for none. */
std::string
manifest(int version, const std::string &type, bool has_route = true)
{
	std::string text = R"({"version":)" + std::to_string(version) +
			   R"(,"resources":[{"entry_type":"upstreams",)"
			   R"("metadata":{"name":"a"},"spec":{}})";

	if (has_route)
		text += R"(,{"entry_type":"routes","metadata":{"name":"r"},)"
			R"("spec":{"authority":"x","path_prefix":"/p/",)" +
			type +
			R"("upstream":"a","max_attempts":2,"public":true}})";
	return text + "]}";
}

const char SAFE[] = R"("route_type":"safe",)";
const char UNSAFE[] = R"("route_type":"unsafe",)";

std::string
native_config(const std::string &settings)
{
	return "[policy]\nweighing = recovery\nretries = 3\n"
	       "[datacentre z]\n[service a]\n"
	       "[route /p]\nservice = a\nopen = yes\n" +
	       settings;
}

/* An entry daemon with two targets that it can send a call to. */
struct Entry {
	struct node *node;
	struct node_setup s = {};
	struct instant now = {1000 * SEC_US, 1700000000000};
	struct msg_list out = TAILQ_HEAD_INITIALIZER(out);
	uint64_t config_version = 0;

	explicit Entry(const std::string &config, bool native = false)
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
		s.parser =
		    native ? &catalog_parser_native : &catalog_parser_platform;
		s.ids_outlive_attempts = native;
		s.max_calls = s.max_queue = s.max_ids = 100;
		s.default_deadline_us = s.max_deadline_us = 60 * SEC_US;
		node = node_create(&s);
		configure(config);
	}
	~Entry()
	{
		msg_list_clear(&out);
		node_destroy(node);
	}
	void
	handle(struct msg *m)
	{
		node_handle(node, m, now, &out);
	}
	void
	configure(const std::string &text)
	{
		struct msg *m = msg_create(MSG_ROW);

		name_copy(m->u.row.key, "config", sizeof(m->u.row.key));
		m->u.row.status = ROW_FOUND;
		m->u.row.version = ++config_version;
		buffer_set(&m->u.row.value, text.data(), text.size());
		handle(m);
		ASSERT_EQ(node_config_version(node), config_version) << text;
	}
	void
	learn_members()
	{
		struct msg *m = msg_create(MSG_MEMBERS);
		struct members *r = &m->u.members;

		m->peer = PEER;
		name_copy(r->service, "a", sizeof(r->service));
		r->records = static_cast<struct member_record *>(
		    xcalloc(2, sizeof(*r->records)));
		r->count = 2;
		r->records[0].addr = PEER;
		r->records[1].addr = PEER_2;
		for (int i = 0; i < 2; i++) {
			r->records[i].incarnation = now.wall_ms;
			r->records[i].slots = 8;
		}
		handle(m);
	}
	void
	call(const char *method)
	{
		struct msg *m = msg_create(MSG_CALL);
		struct request *r = &m->u.call.request;

		m->seq = 1;
		name_copy(r->method, method, sizeof(r->method));
		name_copy(r->host, "x", sizeof(r->host));
		name_copy(r->path, "/p/1", sizeof(r->path));
		handle(m);
	}
	void
	advance(uint64_t us)
	{
		for (; us >= 10 * MSEC_US; us -= 10 * MSEC_US) {
			now.mono_us += 10 * MSEC_US;
			now.wall_ms += 10;
			node_tick(node, now, &out);
		}
	}
	/* The tries that were sent; the last one, or NULL. */
	unsigned int
	tries(const struct msg **last = nullptr)
	{
		const struct msg *m;
		unsigned int n = 0;

		TAILQ_FOREACH (m, &out, entry) {
			if (m->kind != MSG_FORWARD)
				continue;
			n++;
			if (last != nullptr)
				*last = m;
		}
		return n;
	}
	/* The outcome of the last try is unknown: its answer was lost. */
	void
	lose_answer()
	{
		const struct msg *last = nullptr;
		struct msg *m = msg_create(MSG_REPLY);

		ASSERT_GT(tries(&last), 0u);
		m->peer = last->peer;
		m->seq = last->seq;
		m->u.reply.failure =
		    failure_make(VERDICT_MAY_HAVE_RUN, REASON_TARGET_FAILED);
		m->u.reply.may_have_reached_target = true;
		m->u.reply.allowance = last->u.forward.context.allowance;
		handle(m);
	}
	/* The link breaks, and the target's daemon does not know either. */
	void
	lose_link()
	{
		const struct msg *last = nullptr;
		struct msg *m = msg_create(MSG_LINK_DOWN);

		ASSERT_GT(tries(&last), 0u);
		m->peer = last->peer;
		m->may_have_sent = true;
		handle(m);
		m = msg_create(MSG_FATE);
		m->peer = last->peer;
		m->u.fate.seq = last->seq;
		m->u.fate.state = FATE_UNKNOWN;
		handle(m);
	}
	/* The failure that the caller was told; REASON_NONE: none so far. */
	struct failure
	answer()
	{
		struct failure f = {VERDICT_RAN, REASON_NONE};
		struct msg *m;

		TAILQ_FOREACH (m, &out, entry) {
			if (m->kind == MSG_ANSWER)
				f = m->u.reply.failure;
		}
		return f;
	}
};

const char *const methods[] = {
    "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH", "BREW", ""};
void (Entry::*const losses[])() = {&Entry::lose_answer, &Entry::lose_link};

} // namespace

/*
 * Guards against a call that runs twice: a GET on a route of which the
 * configuration says that its calls may run only once was sent to a second
 * target after its answer was lost.  The route's type alone decides, whatever
 * the method is and however the outcome became unknown.
 */
TEST(Repeat, OnlyTheTypeOfTheRouteSaysWhetherACallMayRunAgain)
{
	const struct {
		std::string config;
		bool native, may_repeat;
	} routes[] = {
	    {manifest(1, SAFE), false, true},
	    {manifest(1, UNSAFE), false, false},
	    {manifest(1, ""), false, false},
	    {manifest(1, R"("route_type":"idempotent",)"), false, false},
	    {manifest(1, R"("route_type":"SAFE",)"), false, false},
	    {native_config("idempotent = yes\n"), true, true},
	    {native_config("idempotent = no\n"), true, false},
	    {native_config(""), true, false},
	};

	for (const auto &route : routes) {
		for (const char *method : methods) {
			for (auto lose : losses) {
				Entry e(route.config, route.native);
				const struct msg *first = nullptr;

				e.call(method);
				e.learn_members();
				ASSERT_EQ(e.tries(&first), 1u);
				EXPECT_EQ(first->u.forward.idempotent,
				    route.may_repeat)
				    << method;
				(e.*lose)();
				e.advance(3 * SEC_US);
				EXPECT_EQ(e.tries(), route.may_repeat ? 2u : 1u)
				    << method << " " << route.config;
				if (!route.may_repeat) {
					EXPECT_EQ(e.answer().verdict,
					    VERDICT_MAY_HAVE_RUN)
					    << method;
				}
			}
		}
	}
}

/* The route changes while the call waits to be sent again. */
TEST(Repeat, ACallIsNotRepeatedOnceItsRouteNoLongerAllowsIt)
{
	const struct {
		std::string config;
		bool may_repeat;
	} changes[] = {
	    {manifest(2, SAFE), true}, {manifest(2, UNSAFE), false},
	    {manifest(2, ""), false},
	    {manifest(2, SAFE, false), false}, /* the route is gone */
	};

	for (const auto &change : changes) {
		for (bool before_loss : {true, false}) {
			Entry e(manifest(1, SAFE));

			e.call("POST");
			e.learn_members();
			ASSERT_EQ(e.tries(), 1u);
			if (before_loss)
				e.configure(change.config);
			e.lose_answer();
			if (!before_loss)
				e.configure(change.config);
			e.advance(3 * SEC_US);
			EXPECT_EQ(e.tries(), change.may_repeat ? 2u : 1u)
			    << change.config;
			if (!change.may_repeat) {
				EXPECT_EQ(
				    e.answer().verdict, VERDICT_MAY_HAVE_RUN);
			}
		}
	}
}

/* A route that becomes safe does not make an earlier call of it safe. */
TEST(Repeat, ACallThatMayRunOnceStaysSo)
{
	Entry e(manifest(1, UNSAFE));

	e.call("GET");
	e.learn_members();
	e.configure(manifest(2, SAFE));
	e.lose_answer();
	e.advance(3 * SEC_US);
	EXPECT_EQ(e.tries(), 1u);
	EXPECT_EQ(e.answer().verdict, VERDICT_MAY_HAVE_RUN);
}

/* The route changes before the first try, which then may run only once. */
TEST(Repeat, ACallThatWaitsIsSentByTheTypeInForce)
{
	for (bool native : {false, true}) {
		Entry e(native ? native_config("idempotent = yes\n")
			       : manifest(1, SAFE),
		    native);
		const struct msg *first = nullptr;

		e.call("GET");
		ASSERT_EQ(e.tries(), 0u);
		e.configure(native ? native_config("") : manifest(2, UNSAFE));
		e.learn_members();
		ASSERT_EQ(e.tries(&first), 1u);
		EXPECT_FALSE(first->u.forward.idempotent);
		EXPECT_STRNE(first->u.forward.id, "");
		e.lose_answer();
		e.advance(3 * SEC_US);
		EXPECT_EQ(e.tries(), 1u);
	}
}

/*
 * The earlier of two tries may have run, the later one has not: the call may
 * have run.
 */
TEST(Repeat, ARefusalAfterALostAnswerDoesNotMakeTheCallNotRun)
{
	Entry e(manifest(1, SAFE));
	const struct msg *last = nullptr;
	struct msg *m;

	e.call("GET");
	e.learn_members();
	e.lose_answer();
	e.advance(3 * SEC_US);
	ASSERT_EQ(e.tries(&last), 2u);
	e.configure(manifest(2, UNSAFE));
	m = msg_create(MSG_REPLY);
	m->peer = last->peer;
	m->seq = last->seq;
	m->u.reply.failure = failure_make(VERDICT_NOT_RUN, REASON_SHED);
	e.handle(m);
	e.advance(3 * SEC_US);
	EXPECT_EQ(e.tries(), 2u);
	EXPECT_EQ(e.answer().verdict, VERDICT_MAY_HAVE_RUN);
}

/*
 * The target's daemon has a later configuration than the entry daemon, which
 * would repeat the call if its answer were lost.
 */
TEST(Repeat, ATargetsDaemonRunsNoCallThatAnEarlierConfigurationWouldRepeat)
{
	const struct {
		std::string config;
		bool idempotent;
		uint64_t version; /* of the entry daemon */
		bool runs;
	} cases[] = {
	    {manifest(2, UNSAFE), true, 1, false},
	    {manifest(2, UNSAFE), true, 2, true}, /* of an earlier program */
	    {manifest(2, UNSAFE), true, 3, true},
	    {manifest(2, UNSAFE), false, 1, true},
	    {manifest(2, SAFE), true, 1, true},
	    {manifest(2, SAFE), false, 1, true},
	    {manifest(2, SAFE, false), true, 1, true},
	};

	for (const auto &c : cases) {
		Entry e(manifest(1, SAFE));
		struct msg *m = msg_create(MSG_ANNOUNCE);
		bool runs = false;

		name_copy(m->u.announce.service, "a", NAME_LEN);
		m->u.announce.slots = 4;
		e.handle(m);
		e.configure(c.config);
		m = msg_create(MSG_FORWARD);
		m->peer = PEER;
		m->seq = 9;
		name_copy(m->u.forward.service, "a", NAME_LEN);
		name_copy(m->u.forward.id, "id", ID_LEN);
		m->u.forward.idempotent = c.idempotent;
		m->u.forward.config_version = c.version;
		m->u.forward.context.deadline_ms = 500;
		name_copy(m->u.forward.request.method, "GET", METHOD_LEN);
		name_copy(m->u.forward.request.host, "x", HOST_LEN);
		name_copy(m->u.forward.request.path, "/p/1", PATH_LEN);
		e.handle(m);
		TAILQ_FOREACH (m, &e.out, entry) {
			runs |= m->kind == MSG_RUN;
			if (m->kind != MSG_REPLY)
				continue;
			EXPECT_EQ(m->u.reply.failure.verdict, VERDICT_NOT_RUN);
			EXPECT_EQ(
			    m->u.reply.failure.reason, REASON_STALE_CONFIG);
		}
		EXPECT_EQ(runs, c.runs) << c.config << c.version;
	}
}
