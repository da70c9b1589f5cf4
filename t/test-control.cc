/*
 * Tests of the distribution of the configuration through the tree of daemons,
 * with whole nodes.  They guard against a version that decreases or comes too
 * late, two concurrent submissions that both succeed, a write that counts as
 * failed because the platform's answer was lost, a revoked key that is still
 * accepted, and more reads of the platform in a larger fleet.
 */
#include <gtest/gtest.h>
#include <string>
#include <vector>

#include "t/config-text.h"

extern "C" {
#include "config/catalog_ini.h"
#include "core/node_impl.h"
}

namespace {

struct Fleet {
	struct replay *r;
	int nhosts;

	explicit Fleet(int hosts, uint64_t seed = 1,
	    const struct catalog_parser *parser = nullptr,
	    const std::string &text = chain_config())
	    : nhosts(hosts)
	{
		struct replay_host_spec spec = {};
		int i;

		r = replay_create(seed);
		replay_set_config(r, text.c_str());
		spec.parser = parser;
		spec.slots = 8;
		spec.mean_run_us = 5000;
		for (i = 0; i < hosts; i++) {
			spec.dc = i % 2 ? "b" : "a";
			spec.service = i < 4 ? "records" : nullptr;
			replay_add_host(r, &spec);
		}
		replay_run_until(r, 5 * SEC_US);
	}
	~Fleet()
	{
		replay_destroy(r);
	}
	/* The lowest version in force at any daemon that is up. */
	uint64_t
	lowest_config_version()
	{
		uint64_t v = UINT64_MAX;
		int i;

		for (i = 0; i < nhosts; i++) {
			if (replay_host_is_up(r, i))
				v = std::min(
				    v, node_config_version(replay_node(r, i)));
		}
		return v;
	}
	/* A daemon that takes itself for the root of a data centre. */
	int
	root(const char *dc)
	{
		for (int i = 0; i < nhosts; i++) {
			struct node *node = replay_node(r, i);

			if (node != nullptr && node->tree.is_root &&
			    strcmp(node->setup.dc, dc) == 0)
				return i;
		}
		ADD_FAILURE() << "no root";
		return 0;
	}
	/* How many daemons of a data centre take themselves for its root. */
	int
	count_roots(const char *dc)
	{
		int i, count = 0;

		for (i = 0; i < nhosts; i++) {
			struct node *node = replay_node(r, i);

			if (node != nullptr && node->tree.is_root &&
			    strcmp(node->setup.dc, dc) == 0)
				count++;
		}
		return count;
	}
	void
	run(uint64_t us)
	{
		replay_run_until(r, replay_now_us(r) + us);
	}
};

struct SubmitResult {
	int status = 0;
	uint64_t version = 0;
};

void
on_submitted(struct replay *, void *arg, int status, uint64_t version)
{
	SubmitResult *s = static_cast<SubmitResult *>(arg);

	s->status = status;
	s->version = version;
}

struct CallResult {
	int count = 0;
	struct failure failure = {VERDICT_RAN, REASON_NONE};
};

void
on_reply(struct replay *, void *arg, const struct reply *reply)
{
	CallResult *a = static_cast<CallResult *>(arg);

	a->count++;
	a->failure = reply->failure;
}

/* Send one call with the key; REASON_NONE if it succeeds. */
struct failure
get_record(Fleet &f, int host, const char *key)
{
	struct replay_call c = {};
	CallResult a;

	c.host = host;
	c.method = "GET";
	c.path = "/records/1";
	c.key = key;
	c.done = on_reply;
	c.arg = &a;
	replay_send_call(f.r, &c);
	f.run(3 * SEC_US);
	EXPECT_EQ(a.count, 1);
	return a.failure;
}

/* The text without the line of one key. */
std::string
text_without_key(const std::string &text, const char *key)
{
	std::string line = "key = " + key_hash_hex(key) + "\n", copy = text;

	copy.erase(copy.find(line), line.size());
	return copy;
}

} // namespace

TEST(Control, AcceptedVersionIsInForceEverywhereWithin4s)
{
	Fleet f(40);
	SubmitResult s;

	replay_submit(f.r, 7, 1, chain_config(500).c_str(), on_submitted, &s);
	f.run(4 * SEC_US);
	EXPECT_EQ(s.status, 200);
	EXPECT_EQ(s.version, 2u);
	EXPECT_EQ(f.lowest_config_version(), 2u);
}

/*
 * Guards against a revoked key that is accepted for too long: the root lost
 * the platform and kept its children, which began to read the platform
 * themselves too late.
 */
TEST(Control, ChangeIsInForceWithin2sIfOnlyTheRootLosesThePlatform)
{
	for (int phase = 0; phase < 10; phase++) {
		Fleet f(13);

		for (int i = 0; i < f.nhosts; i++) {
			if (replay_node(f.r, i)->tree.is_root)
				replay_set_platform_partition(f.r, i, true);
		}
		f.run(phase * 300 * MSEC_US);
		replay_set_config(f.r, chain_config(700).c_str());
		f.run(2 * SEC_US);
		EXPECT_EQ(f.lowest_config_version(), 2u) << phase;
	}
}

TEST(Control, OneOfTwoConcurrentSubmissionsIsAccepted)
{
	uint64_t seed;

	for (seed = 1; seed <= 50; seed++) {
		Fleet f(6, seed);
		SubmitResult a, b;

		if (seed % 3 == 0)
			replay_set_platform_mode(
			    f.r, REPLAY_PLATFORM_LOSES_ANSWERS);
		replay_submit(
		    f.r, 0, 1, chain_config(100).c_str(), on_submitted, &a);
		replay_submit(
		    f.r, 3, 1, chain_config(200).c_str(), on_submitted, &b);
		f.run(2 * SEC_US);
		replay_set_platform_mode(f.r, REPLAY_PLATFORM_OK);
		f.run(8 * SEC_US);
		EXPECT_TRUE((a.status == 200 && b.status == 409) ||
			    (a.status == 409 && b.status == 200))
		    << "seed " << seed << ": " << a.status << " " << b.status;
		EXPECT_EQ(f.lowest_config_version(), 2u);
	}
}

TEST(Control, WriteWhoseAnswerIsLostIsConfirmedByReadingBack)
{
	Fleet f(4);
	SubmitResult s;

	replay_set_platform_mode(f.r, REPLAY_PLATFORM_LOSES_ANSWERS);
	replay_submit(f.r, 2, 1, chain_config(321).c_str(), on_submitted, &s);
	f.run(5 * SEC_US);
	EXPECT_EQ(s.status, 200);
	EXPECT_EQ(s.version, 2u);
}

TEST(Control, RejectedTextChangesNothing)
{
	Fleet f(3);
	SubmitResult s;

	replay_submit(
	    f.r, 1, 1, "[route /x]\nservice = none\n", on_submitted, &s);
	f.run(3 * SEC_US);
	EXPECT_EQ(s.status, 422);
	EXPECT_EQ(f.lowest_config_version(), 1u);
}

TEST(Control, VersionNeverDecreasesAfterRestartOrByAStalePeer)
{
	Fleet f(6);
	SubmitResult s;
	uint64_t at;
	int i;

	/* The others receive version 2 and cannot pass it to daemon 5. */
	for (i = 0; i < 5; i++)
		replay_set_partition(f.r, 5, i, true);
	replay_submit(f.r, 0, 1, chain_config(100).c_str(), on_submitted, &s);
	f.run(1 * SEC_US);
	replay_kill(f.r, 1);
	replay_start(f.r, 1);
	for (i = 0; i < 5; i++)
		replay_set_partition(f.r, 5, i, false);
	for (at = 0; at < 60; at++) {
		uint64_t before[6];

		for (i = 0; i < 6; i++)
			before[i] = node_config_version(replay_node(f.r, i));
		f.run(100 * MSEC_US);
		for (i = 0; i < 6; i++)
			EXPECT_GE(node_config_version(replay_node(f.r, i)),
			    before[i]);
	}
	EXPECT_EQ(f.lowest_config_version(), 2u);
}

TEST(Control, RevokedKeyIsRefusedWithin4s)
{
	Fleet f(12);
	SubmitResult s;
	int i;

	EXPECT_EQ(get_record(f, 9, "key-brno").reason, REASON_NONE);
	replay_submit(f.r, 0, 1,
	    text_without_key(chain_config(), "key-brno").c_str(), on_submitted,
	    &s);
	f.run(4 * SEC_US);
	ASSERT_EQ(s.status, 200);
	for (i = 0; i < f.nhosts; i++)
		EXPECT_EQ(
		    get_record(f, i, "key-brno").reason, REASON_KEY_REFUSED);
	EXPECT_EQ(get_record(f, 9, "key-olomouc").reason, REASON_NONE);
}

TEST(Control, RevokedKeyCancelsQueuedCalls)
{
	Fleet f(6);
	struct replay_call c = {};
	CallResult a[400];
	SubmitResult s;
	int i, cancelled = 0;

	/* The targets are slow, so that most of the calls are queued. */
	for (i = 0; i < 4; i++)
		replay_set_run_time_factor(f.r, i, 400);
	c.method = "GET";
	c.path = "/records/1";
	c.key = "key-brno";
	c.deadline_ms = 20000;
	c.done = on_reply;
	for (i = 0; i < 400; i++) {
		c.host = i % 6;
		c.arg = &a[i];
		replay_send_call(f.r, &c);
	}
	f.run(50 * MSEC_US);
	replay_submit(f.r, 0, 1,
	    text_without_key(chain_config(), "key-brno").c_str(), on_submitted,
	    &s);
	f.run(4 * SEC_US);
	for (i = 0; i < 400; i++) {
		cancelled += a[i].count == 1 &&
			     (a[i].failure.reason == REASON_CANCELLED ||
				 a[i].failure.reason == REASON_KEY_REFUSED);
	}
	EXPECT_GT(cancelled, 0);
	for (i = 0; i < 4; i++)
		EXPECT_EQ(shed_count(replay_node(f.r, i)->target.queue), 0u);
}

TEST(Control, PlatformReadsPerSecondAreBoundedInAnyFleet)
{
	uint64_t reads_per_s[2];
	int fleet_sizes[2] = {30, 60}, k, i;

	for (k = 0; k < 2; k++) {
		Fleet f(fleet_sizes[k]);
		uint64_t before = 0, after = 0;

		f.run(20 * SEC_US);
		for (i = 0; i < f.nhosts; i++)
			before += node_counters(replay_node(f.r, i))
				      ->values[COUNT_PLATFORM_READS];
		f.run(10 * SEC_US);
		for (i = 0; i < f.nhosts; i++)
			after += node_counters(replay_node(f.r, i))
				     ->values[COUNT_PLATFORM_READS];
		reads_per_s[k] = (after - before) / 10;
		/* At most the root and its children read, in each dc. */
		EXPECT_LE(reads_per_s[k], 2u * 2 * (TREE_MAX_CHILDREN + 1) + 4);
	}
	printf("platform reads per second: %llu with 30 daemons, "
	       "%llu with 60\n",
	    (unsigned long long)reads_per_s[0],
	    (unsigned long long)reads_per_s[1]);
}

TEST(Control, LostRootIsReplacedByExactlyOneRoot)
{
	Fleet f(10);
	int i, root = -1;

	EXPECT_EQ(f.count_roots("a"), 1);
	EXPECT_EQ(f.count_roots("b"), 1);
	for (i = 0; i < f.nhosts; i++) {
		if (replay_node(f.r, i)->tree.is_root)
			root = i;
	}
	replay_kill(f.r, root);
	f.run(3 * SEC_US);
	EXPECT_EQ(f.count_roots(root % 2 ? "b" : "a"), 1);
	replay_start(f.r, root);
	f.run(5 * SEC_US);
	EXPECT_EQ(f.count_roots("a"), 1);
	EXPECT_EQ(f.count_roots("b"), 1);
}

TEST(Control, FrozenRootStepsDownWhenItResumes)
{
	Fleet f(8);
	int i, root = -1;

	for (i = 0; i < f.nhosts; i += 2) {
		if (replay_node(f.r, i)->tree.is_root)
			root = i;
	}
	replay_freeze(f.r, root, 10 * SEC_US);
	f.run(9 * SEC_US);
	EXPECT_EQ(f.count_roots("a"), 2)
	    << "the frozen daemon still takes itself for the root";
	f.run(2 * SEC_US);
	EXPECT_EQ(f.count_roots("a"), 1);
	EXPECT_FALSE(replay_node(f.r, root)->tree.is_root);
}

TEST(Control, PartitionedDataCentreServesUnlessTheRouteRefusesStaleConfig)
{
	std::string text = chain_config();
	SubmitResult s;
	Fleet f(8);
	int i, j;

	text += "[route /strict]\nservice = records\nidempotent = yes\n"
		"refuse-when-stale = 5\n";
	replay_submit(f.r, 0, 1, text.c_str(), on_submitted, &s);
	f.run(4 * SEC_US);
	ASSERT_EQ(s.status, 200);
	replay_set_platform_mode(f.r, REPLAY_PLATFORM_DOWN);
	for (i = 0; i < 8; i++) {
		for (j = 0; j < 8; j++) {
			if (i % 2 != j % 2)
				replay_set_partition(f.r, i, j, true);
		}
	}
	f.run(20 * SEC_US);
	EXPECT_EQ(get_record(f, 1, "key-brno").reason, REASON_NONE);
	EXPECT_EQ(get_record(f, 0, "key-brno").reason, REASON_NONE);

	struct replay_call c = {};
	CallResult a;

	c.host = 1;
	c.method = "GET";
	c.path = "/strict/1";
	c.key = "key-brno";
	c.done = on_reply;
	c.arg = &a;
	replay_send_call(f.r, &c);
	f.run(1 * SEC_US);
	EXPECT_EQ(a.failure.reason, REASON_STALE_CONFIG);
}

TEST(Control, AuditLineNamesSubmitterAndBaseVersion)
{
	Fleet f(3);
	SubmitResult s;
	std::string text;

	replay_submit(f.r, 0, 1, chain_config(77).c_str(), on_submitted, &s);
	f.run(3 * SEC_US);
	text = replay_node(f.r, 1)->conf.text.data;
	EXPECT_NE(text.find("#audit version=2 from=1"), std::string::npos);
	EXPECT_NE(text.find("who=tester"), std::string::npos);
}

namespace {

/* One daemon, whose platform is the test. */
struct LoneDaemon {
	struct node *node;
	struct instant now = {1000 * SEC_US, 1700000000000};

	LoneDaemon()
	{
		struct node_setup s = {};

		s.self = {0x0a000001, 7000};
		name_copy(s.dc, "a", sizeof(s.dc));
		s.incarnation = now.wall_ms;
		s.balancer = &balancer_two_choices;
		s.limiter = &limiter_slots;
		s.retrier = &retrier_tree;
		s.guard = &guard_full;
		s.parser = &catalog_parser_native;
		s.max_calls = s.max_queue = s.max_ids = 100;
		node = node_create(&s);
	}
	~LoneDaemon()
	{
		node_destroy(node);
	}
	/* Tick once, and take the request about the root's row, if any. */
	struct msg *
	tick(enum msg_kind kind)
	{
		struct msg_list out = TAILQ_HEAD_INITIALIZER(out);
		struct msg *m, *next, *found = nullptr;

		now.mono_us += 100 * MSEC_US;
		now.wall_ms += 100;
		node_tick(node, now, &out);
		TAILQ_FOREACH_SAFE (m, &out, entry, next) {
			if (m->kind != kind || found != nullptr ||
			    strcmp(m->u.row.key, "control/a") != 0)
				continue;
			TAILQ_REMOVE(&out, m, entry);
			found = m;
		}
		msg_list_clear(&out);
		return found;
	}
	/* Answer a request; returns how many reads of the row follow. */
	int
	answer(struct msg *m, enum row_status status, uint64_t version)
	{
		struct msg_list out = TAILQ_HEAD_INITIALIZER(out);
		struct msg *o;
		int reads = 0;

		m->kind = MSG_ROW;
		m->u.row.status = status;
		m->u.row.version = version;
		node_handle(node, m, now, &out);
		TAILQ_FOREACH (o, &out, entry)
			reads += o->kind == MSG_ROW_READ &&
				 strcmp(o->u.row.key, "control/a") == 0;
		msg_list_clear(&out);
		return reads;
	}
};

} // namespace

/*
 * A claim's answer that was held up, or came while the daemon was suspended,
 * may be older than another daemon's claim.
 */
TEST(Control, LateAnswerToAClaimMakesNoRoot)
{
	for (bool late : {false, true}) {
		LoneDaemon d;
		struct msg *m = d.tick(MSG_ROW_READ);

		ASSERT_NE(m, nullptr);
		d.answer(m, ROW_ABSENT, 0);
		m = d.tick(MSG_ROW_WRITE);
		ASSERT_NE(m, nullptr);
		if (late)
			d.now.mono_us += 3 * SEC_US;
		EXPECT_EQ(d.answer(m, ROW_WRITTEN, 1), late ? 1 : 0);
		EXPECT_EQ(d.node->tree.is_root, !late);
	}
}

namespace {

const struct addr PARENT = {0x0a000002, 7000}, CHILD = {0x0a000003, 7000};

/* A daemon with a configuration and, by the root's row, a parent. */
struct ChildDaemon : public LoneDaemon {
	ChildDaemon()
	{
		struct msg *m = tick(MSG_ROW_READ);
		char root[TREE_ROOT_LEN];

		tree_format_root(root, PARENT, 1);
		buffer_set(&m->u.row.value, root, strlen(root));
		answer(m, ROW_FOUND, 1);
		read_config(ROW_FOUND, 1, chain_config());
	}
	/* The answer to a read of the configuration that is sent now. */
	void
	read_config(
	    enum row_status status, uint64_t version, const std::string &text)
	{
		struct msg *m = msg_create(MSG_ROW);

		name_copy(m->u.row.key, "config", ROW_KEY_LEN);
		buffer_set(&m->u.row.value, text.data(), text.size());
		m->u.row.asked_us = now.mono_us;
		answer(m, status, version);
	}
	/* Tick until the parent is asked; the number of the question. */
	uint64_t
	ask_parent()
	{
		uint64_t seq = 0;
		int i;

		for (i = 0; i < 20 && seq == 0; i++) {
			struct msg_list out = TAILQ_HEAD_INITIALIZER(out);
			struct msg *m;

			now.mono_us += 100 * MSEC_US;
			node_tick(node, now, &out);
			TAILQ_FOREACH (m, &out, entry) {
				if (m->kind == MSG_CONFIG_ASK)
					seq = m->seq;
			}
			msg_list_clear(&out);
		}
		return seq;
	}
	/* A message that says "the version in force was confirmed just now". */
	void
	hear(enum msg_kind kind, struct addr from, uint64_t seq)
	{
		struct msg_list out = TAILQ_HEAD_INITIALIZER(out);
		struct msg *m = msg_create(kind);

		m->peer = from;
		m->seq = seq;
		m->u.config.version = 1;
		m->u.config.digest = node->conf.digest;
		m->u.config.confirmed_age_ms = 100;
		node_handle(node, m, now, &out);
		msg_list_clear(&out);
	}
	uint64_t
	proof_age_us() const
	{
		return now.mono_us - node->conf.confirmed_us;
	}
};

} // namespace

/*
 * Guards against a withdrawn key that a daemon accepts after a pause: the
 * parent's answer lay in the socket's buffer, and must not prove more than it
 * did when its question was sent.
 */
TEST(Control, AnswerReadAfterAPauseIsAsOldAsItsQuestion)
{
	ChildDaemon d;
	uint64_t seq = d.ask_parent();

	ASSERT_NE(seq, 0u);
	d.now.mono_us += 20 * MSEC_US;
	d.hear(MSG_CONFIG, PARENT, seq);
	EXPECT_LE(d.proof_age_us(), 150 * MSEC_US);
	seq = d.ask_parent();
	ASSERT_NE(seq, 0u);
	d.now.mono_us += 8 * SEC_US;
	d.hear(MSG_CONFIG, PARENT, seq);
	EXPECT_GE(d.proof_age_us(), 8 * SEC_US);
}

/* Nor may a child's question that waited there. */
TEST(Control, QuestionReadAfterAPauseProvesNothing)
{
	for (bool ticks_first : {false, true}) {
		struct msg_list out = TAILQ_HEAD_INITIALIZER(out);
		ChildDaemon d;

		d.ask_parent();
		d.hear(MSG_CONFIG_ASK, CHILD, 1);
		EXPECT_LE(d.proof_age_us(), 150 * MSEC_US);
		d.now.mono_us += 8 * SEC_US;
		if (ticks_first)
			node_tick(d.node, d.now, &out);
		d.hear(MSG_CONFIG_ASK, CHILD, 2);
		EXPECT_GE(d.proof_age_us(), 8 * SEC_US);
		msg_list_clear(&out);
	}
}

/* An operator sees from one daemon that the store came back from a copy. */
TEST(Control, ReturnOfTheStoreIsCountedAndItsEraShown)
{
	Fleet f(3);
	struct node *n = replay_node(f.r, 0);
	char *status;

	replay_copy_platform(f.r);
	EXPECT_EQ(n->counters.values[COUNT_STORE_RETURNS], 0u);
	replay_return_platform(f.r);
	f.run(4 * SEC_US);
	for (int i = 0; i < f.nhosts; i++) {
		n = replay_node(f.r, i);
		if (n->tree.is_root)
			break;
	}
	EXPECT_EQ(n->counters.values[COUNT_STORE_RETURNS], 1u);
	EXPECT_EQ(node_store_return(n)->era, 1u);
	EXPECT_EQ(node_store_return(n)->previous_era, 0u);
	status = node_status(n, instant{replay_now_us(f.r), 0});
	EXPECT_NE(strstr(status, "store_era 1\n"), nullptr);
	free(status);
}

namespace {

std::string
text_in_force(Fleet &f, int host)
{
	const struct buffer *text = &replay_node(f.r, host)->conf.text;

	return std::string(text->data, text->len);
}

} // namespace

TEST(Control, ChangeAfterTheStoreReturnedIsInForceWithin2s)
{
	Fleet f(12);
	std::string changed = chain_config(900);

	replay_copy_platform(f.r);
	for (double rate : {500, 600, 700}) {
		replay_set_config(f.r, chain_config(rate).c_str());
		f.run(2 * SEC_US);
	}
	replay_return_platform(f.r);
	f.run(1 * SEC_US);
	replay_set_config(f.r, changed.c_str());
	f.run(2 * SEC_US);
	for (int i = 0; i < f.nhosts; i++)
		EXPECT_EQ(text_in_force(f, i), changed) << i;
}

/* The copy names a root that was stopped; it starts again and claims the row.
 */
TEST(Control, RootThatAReturnedStoreDoesNotNameStepsDown)
{
	Fleet f(8);
	int first = f.root("a"), second;

	replay_copy_platform(f.r);
	replay_drain(f.r, first);
	f.run(3 * SEC_US);
	replay_kill(f.r, first);
	second = f.root("a");
	ASSERT_NE(second, first);
	replay_drain(f.r, second);
	f.run(3 * SEC_US);
	replay_kill(f.r, second);
	f.run(2 * SEC_US);
	replay_return_platform(f.r);
	replay_start(f.r, first);
	f.run(6 * SEC_US);
	EXPECT_EQ(f.count_roots("a"), 1);
}

/* A waiting read that ends without a change says that the newest row stays. */
TEST(Control, RefusedVersionDoesNotConfirmTheOneBefore)
{
	ChildDaemon d;

	d.read_config(ROW_FOUND, 2, "[route /x]\nservice = none\n");
	EXPECT_EQ(d.node->conf.version, 1u);
	d.now.mono_us += 5 * SEC_US;
	d.read_config(ROW_UNCHANGED, 0, "");
	EXPECT_GE(d.proof_age_us(), 5 * SEC_US);
	d.read_config(ROW_FOUND, 3, chain_config(500));
	EXPECT_EQ(d.node->conf.version, 3u);
	d.now.mono_us += 5 * SEC_US;
	d.read_config(ROW_UNCHANGED, 0, "");
	EXPECT_EQ(d.proof_age_us(), 0u);
}

/* The platform may end its waits early, as when it goes away. */
TEST(Control, WaitThatEndsEarlyProvesNoMoreThanItsQuestion)
{
	ChildDaemon d;
	struct msg *m = msg_create(MSG_ROW);

	name_copy(m->u.row.key, "config", ROW_KEY_LEN);
	m->u.row.asked_us = d.now.mono_us + 5 * SEC_US;
	m->u.row.wait_ms = 1000;
	d.now.mono_us += 5 * SEC_US + 600 * MSEC_US;
	d.answer(m, ROW_UNCHANGED, 0);
	EXPECT_EQ(d.proof_age_us(), 600 * MSEC_US);
}

/* A read may be behind, and then shows an older row. */
TEST(Control, RowOlderThanTheOneInForceProvesNothing)
{
	ChildDaemon d;

	d.read_config(ROW_FOUND, 2, chain_config(500));
	d.now.mono_us += 5 * SEC_US;
	d.read_config(ROW_FOUND, 1, chain_config());
	EXPECT_EQ(d.node->conf.version, 2u);
	EXPECT_GE(d.proof_age_us(), 5 * SEC_US);
}

namespace {

/* The native format, with lines that state the revision and lift limits. */
const char REVISION_PREFIX[] = "#revision=", UNLIMITED[] = "#unlimited\n";

struct catalog *
parse_with_revision(const char *text, size_t len, char *err, size_t errlen)
{
	struct catalog *c = catalog_parser_native.parse(text, len, err, errlen);
	std::string copy(text, len);
	size_t at = copy.find(REVISION_PREFIX);
	struct organisation *o;

	if (c == nullptr)
		return nullptr;
	if (at != std::string::npos)
		c->revision =
		    std::stoull(copy.substr(at + sizeof(REVISION_PREFIX) - 1));
	RB_FOREACH (o, organisation_tree, &c->orgs) {
		if (copy.find(UNLIMITED) != std::string::npos)
			o->rate = 0;
	}
	return c;
}

const struct catalog_parser parser_with_revision = {parse_with_revision};

std::string
with_revision(int revision, const std::string &text = chain_config())
{
	return REVISION_PREFIX + std::to_string(revision) + "\n" + text;
}

uint64_t
config_age_us(struct replay *r, int host)
{
	return replay_instant(r).mono_us -
	       replay_node(r, host)->conf.confirmed_us;
}

/* Revision 5 withdraws a key that revision 3, which the copy holds, has. */
struct FleetWithCopy : public Fleet {
	std::string copied, newer;

	explicit FleetWithCopy(
	    int hosts, const std::string &text = chain_config())
	    : Fleet(hosts, 1, &parser_with_revision, with_revision(3, text)),
	      copied(with_revision(3, text)),
	      newer(with_revision(5, text_without_key(text, "key-brno")))
	{
		replay_copy_platform(r);
		replay_set_config(r, newer.c_str());
		run(4 * SEC_US);
		expect_in_force(newer);
	}
	void
	expect_in_force(const std::string &text)
	{
		int i, others = 0;

		for (i = 0; i < nhosts; i++)
			others += replay_host_is_up(r, i) &&
				  text_in_force(*this, i) != text;
		EXPECT_EQ(others, 0)
		    << "of " << nhosts << " at " << replay_now_us(r);
	}
	/* Check at each step of 50 ms. */
	void
	run_and_expect(uint64_t us, const std::string &text)
	{
		for (uint64_t at = 0; at < us; at += 50 * MSEC_US) {
			run(50 * MSEC_US);
			expect_in_force(text);
		}
	}
	uint64_t
	highest_config_age_us()
	{
		uint64_t age = 0;

		for (int i = 0; i < nhosts; i++) {
			if (replay_host_is_up(r, i))
				age = std::max(age, config_age_us(r, i));
		}
		return age;
	}
};

} // namespace

TEST(Control, OlderConfigurationOfACopyIsNeverInForce)
{
	for (int hosts : {12, 40}) {
		FleetWithCopy f(hosts);
		std::string next = with_revision(9, chain_config(900));

		replay_return_platform(f.r);
		f.run_and_expect(5 * SEC_US, f.newer);
		EXPECT_EQ(
		    get_record(f, 9, "key-brno").reason, REASON_KEY_REFUSED);
		EXPECT_GE(f.highest_config_age_us(), 5 * SEC_US)
		    << "a row with a lower revision proves nothing";
		replay_set_config(f.r, f.newer.c_str());
		f.run_and_expect(3 * SEC_US, f.newer);
		EXPECT_LE(f.highest_config_age_us(), 3 * SEC_US);
		replay_set_config(f.r, next.c_str());
		f.run(2 * SEC_US);
		f.expect_in_force(next);
	}
}

TEST(Control, TwoReturnsInARowBringNothingOlderBack)
{
	for (int hosts : {12, 40}) {
		FleetWithCopy f(hosts);
		std::string next = with_revision(9, chain_config(900));

		replay_return_platform(f.r);
		f.run_and_expect(1 * SEC_US, f.newer);
		replay_set_config(f.r, next.c_str());
		f.run(2 * SEC_US);
		f.expect_in_force(next);
		replay_return_platform(f.r);
		f.run_and_expect(700 * MSEC_US, next);
		replay_return_platform(f.r);
		f.run_and_expect(2 * SEC_US, next);
		/* The rewritten text may differ in other words. */
		replay_set_config(f.r, (next + "# again\n").c_str());
		f.run(2 * SEC_US);
		f.expect_in_force(next + "# again\n");
		EXPECT_LE(f.highest_config_age_us(), 3 * SEC_US);
	}
}

/* Those daemons hear of the change, and of its confirmation, from peers. */
TEST(Control, DaemonCutOffFromTheReturnedStoreLearnsFromPeers)
{
	for (int hosts : {12, 40}) {
		FleetWithCopy f(hosts);
		std::string next = with_revision(9, chain_config(900));

		for (int i = 0; i < hosts; i++) {
			if (!replay_node(f.r, i)->tree.is_root)
				replay_set_platform_partition(f.r, i, true);
		}
		replay_return_platform(f.r);
		f.run_and_expect(2 * SEC_US, f.newer);
		replay_set_config(f.r, next.c_str());
		f.run(2 * SEC_US);
		f.expect_in_force(next);
		f.run(2 * SEC_US);
		EXPECT_LE(f.highest_config_age_us(), 3 * SEC_US);
	}
}

/* Some go on with the rows of before, and then miss a change in between. */
TEST(Control, DaemonsThatLearnOfTheReturnAtDifferentTimesAgree)
{
	for (int hosts : {12, 40}) {
		FleetWithCopy f(hosts);
		std::string next = with_revision(9, chain_config(900));

		for (int i = 0; i < hosts; i += 3)
			replay_set_platform_partition(f.r, i, true);
		replay_return_platform(f.r);
		f.run_and_expect(1 * SEC_US, f.newer);
		replay_set_config(f.r, f.newer.c_str());
		f.run_and_expect(1 * SEC_US, f.newer);
		for (int i = 0; i < hosts; i += 3) {
			replay_set_platform_partition(f.r, i, false);
			replay_set_platform_partition(
			    f.r, (i + 1) % hosts, true);
			f.run_and_expect(100 * MSEC_US, f.newer);
		}
		replay_set_config(f.r, next.c_str());
		f.run(2 * SEC_US);
		f.expect_in_force(next);
		f.run(4 * SEC_US);
		EXPECT_LE(f.highest_config_age_us(), 3 * SEC_US);
	}
}

/* The root of a data centre is killed, so its children ask it as before. */
TEST(Control, DaemonStartedInTheGapGetsTheNewerOneFromPeers)
{
	for (int hosts : {12, 40}) {
		for (bool kill_root : {false, true}) {
			FleetWithCopy f(hosts);
			int killed = f.root("a");

			if (!kill_root)
				killed = killed == 6 ? 8 : 6;
			replay_return_platform(f.r);
			f.run(300 * MSEC_US);
			replay_kill(f.r, killed);
			f.run(200 * MSEC_US);
			replay_start(f.r, killed);
			f.run(1500 * MSEC_US);
			f.run_and_expect(4 * SEC_US, f.newer);
			replay_set_config(f.r, f.newer.c_str());
			f.run_and_expect(4 * SEC_US, f.newer);
			EXPECT_LE(f.highest_config_age_us(), 3 * SEC_US);
		}
	}
}

/* Its peers know that the key was withdrawn. */
TEST(Control, DaemonStartedInTheGapServesNoWithdrawnKey)
{
	for (int hosts : {12, 40}) {
		for (int after_ms = 0; after_ms < 2000; after_ms += 50) {
			/* Without a limit no call waits for a token. */
			FleetWithCopy f(hosts, UNLIMITED + chain_config());
			struct replay_call c = {};
			CallResult a;

			replay_return_platform(f.r);
			f.run(1 * SEC_US);
			replay_kill(f.r, 6);
			f.run(200 * MSEC_US);
			replay_start(f.r, 6);
			f.run(after_ms * MSEC_US);
			c.host = 6;
			c.method = "GET";
			c.path = "/records/1";
			c.key = "key-brno";
			c.done = on_reply;
			c.arg = &a;
			replay_send_call(f.r, &c);
			f.run(3 * SEC_US);
			EXPECT_EQ(a.count, 1);
			EXPECT_NE(a.failure.reason, REASON_NONE) << after_ms;
			EXPECT_EQ(a.failure.verdict, VERDICT_NOT_RUN);
		}
	}
}

/*
 * The copy names another root, and the living one cannot read it: the daemon
 * that starts becomes the root by the copy's row.
 */
TEST(Control, DaemonThatBecomesRootInTheGapServesNoWithdrawnKey)
{
	for (int hosts : {12, 40}) {
		for (bool was_root : {true, false}) {
			for (int after_ms = 0; after_ms < 2000;
			     after_ms += 50) {
				FleetWithCopy f(
				    hosts, UNLIMITED + chain_config());
				char text[TREE_ROOT_LEN];
				int root = f.root("a"), host, dead;

				host = root == 6 ? 8 : 6;
				dead = root == 10 ? 4 : 10;
				tree_format_root(text,
				    replay_node(f.r, was_root ? host : dead)
					->setup.self,
				    1);
				replay_kill(f.r, host);
				replay_kill(f.r, dead);
				f.run(1 * SEC_US);
				replay_set_platform_partition(f.r, root, true);
				replay_return_platform(f.r);
				replay_set_row(f.r, "control/a", text);
				f.run(100 * MSEC_US);
				replay_start(f.r, host);
				f.run(after_ms * MSEC_US);
				EXPECT_NE(
				    get_record(f, host, "key-brno").reason,
				    REASON_NONE)
				    << hosts << " " << was_root << " "
				    << after_ms;
			}
		}
	}
}

namespace {

/* Up to when all of these daemons are ready, at most 5 s. */
uint64_t
ready_after_us(Fleet &f, int first, int end)
{
	uint64_t start_us = replay_now_us(f.r);
	bool all = false;
	int i;

	while (!all && replay_now_us(f.r) - start_us < 5 * SEC_US) {
		f.run(10 * MSEC_US);
		all = true;
		for (i = first; i < end; i++)
			all = all && node_is_ready(replay_node(f.r, i));
	}
	return replay_now_us(f.r) - start_us;
}

void
restart(Fleet &f, int first, int end)
{
	for (int i = first; i < end; i++)
		replay_kill(f.r, i);
	f.run(200 * MSEC_US);
	for (int i = first; i < end; i++)
		replay_start(f.r, i);
}

} // namespace

/* Nor does a daemon wait for peers that are not there. */
TEST(Control, DaemonsAreReadySoonAfterTheStoreOnceReturned)
{
	for (bool returned : {false, true}) {
		for (int hosts : {1, 12, 40, 120}) {
			Fleet f(hosts);
			uint64_t one, all, alone;

			replay_copy_platform(f.r);
			if (returned)
				replay_return_platform(f.r);
			f.run(5 * SEC_US);
			restart(f, hosts - 1, hosts);
			one = ready_after_us(f, hosts - 1, hosts);
			f.run(5 * SEC_US);
			restart(f, 0, hosts);
			all = ready_after_us(f, 0, hosts);
			f.run(5 * SEC_US);
			for (int i = 1; i < hosts; i++)
				replay_kill(f.r, i);
			restart(f, 0, 1);
			alone = ready_after_us(f, 0, 1);
			printf("%d daemons, era %d: ready after %d ms (one), "
			       "%d ms (all), %d ms (alone)\n",
			    hosts, returned, int(one / MSEC_US),
			    int(all / MSEC_US), int(alone / MSEC_US));
			EXPECT_LE(std::max(one, alone),
			    (returned ? 1200 : 200) * MSEC_US);
			EXPECT_LE(all, (returned ? 1200 : 200) * MSEC_US);
		}
	}
}

namespace {

/* A question from a child counts no time on its way. */
const uint64_t ASK_DELAY_US = 5 * MSEC_US;
const uint64_t NOT_ENDED = UINT64_MAX / 2;

/*
 * Faults at random: the store returns from a copy, the operator writes the next
 * revision or the lost one again, daemons are cut off from the store and from
 * each other, are killed and started.
 */
struct FaultPlay : public Fleet {
	int newest = 1; /* revision that the operator wrote last */
	bool store_has_newest = true;
	/* When each revision was written; it may not be confirmed later. */
	std::vector<uint64_t> ended_us = {0, NOT_ENDED};
	std::vector<uint64_t> highest; /* of each daemon in its life */
	/*
	 * Did not know what the store lost when it came back, or were started
	 * since: the copy misleads them, or a daemon that it misled.
	 */
	std::vector<bool> unaware;

	FaultPlay(int hosts, uint64_t seed)
	    : Fleet(hosts, seed, &parser_with_revision, with_revision(1)),
	      highest(hosts), unaware(hosts)
	{
		replay_copy_platform(r);
	}
	int
	pick()
	{
		return static_cast<int>(replay_random(r) % nhosts);
	}
	bool
	has_newest(int host)
	{
		const struct node *n = replay_node(r, host);

		return n != nullptr &&
		       n->conf.revision == static_cast<uint64_t>(newest);
	}
	void
	write_newest()
	{
		replay_set_config(r,
		    with_revision(newest, chain_config(100 + newest)).c_str());
		store_has_newest = true;
	}
	void
	step()
	{
		int host = pick(), other = pick();
		bool cut = replay_random(r) % 3 == 0;

		switch (replay_random(r) % 9) {
		case 0:
			ended_us.back() = replay_instant(r).mono_us;
			ended_us.push_back(NOT_ENDED);
			newest++;
			write_newest();
			break;
		case 1:
			if (!store_has_newest)
				write_newest();
			break;
		case 2:
			if (store_has_newest)
				replay_copy_platform(r);
			break;
		case 3:
			replay_return_platform(r);
			store_has_newest = false;
			for (int i = 0; i < nhosts; i++)
				unaware[i] = !has_newest(i);
			break;
		case 4:
			replay_set_platform_partition(r, host, cut);
			break;
		case 5:
			if (host != other)
				replay_set_partition(r, host, other, cut);
			break;
		case 6:
			replay_kill(r, host);
			break;
		default:
			start(host);
			break;
		}
		run(replay_random(r) % 800 * MSEC_US);
	}
	void
	start(int host)
	{
		if (replay_host_is_up(r, host))
			return;
		replay_start(r, host);
		highest[host] = 0;
		unaware[host] = true;
	}
	void
	check()
	{
		for (int i = 0; i < nhosts; i++) {
			const struct node *n = replay_node(r, i);

			if (n == nullptr || n->conf.version == 0)
				continue;
			EXPECT_GE(n->conf.revision, highest[i]) << i;
			highest[i] = n->conf.revision;
			if (has_newest(i))
				unaware[i] = false;
			if (unaware[i])
				continue;
			EXPECT_LE(n->conf.confirmed_us,
			    ended_us[n->conf.revision] + ASK_DELAY_US)
			    << i;
		}
	}
	void
	heal()
	{
		for (int i = 0; i < nhosts; i++) {
			replay_set_platform_partition(r, i, false);
			for (int j = 0; j < i; j++)
				replay_set_partition(r, i, j, false);
			start(i);
		}
		write_newest();
		run(8 * SEC_US);
	}
};

} // namespace

/* Each took the other's proof for a little newer than it was. */
TEST(Control, DaemonsWithoutTheStoreDoNotRenewEachOthersProof)
{
	Fleet f(4);
	uint64_t before = 0, after = 0;
	int i;

	replay_set_platform_mode(f.r, REPLAY_PLATFORM_DOWN);
	f.run(3 * SEC_US);
	for (i = 0; i < f.nhosts; i++)
		before =
		    std::max(before, replay_node(f.r, i)->conf.confirmed_us);
	f.run(120 * SEC_US);
	for (i = 0; i < f.nhosts; i++)
		after = std::max(after, replay_node(f.r, i)->conf.confirmed_us);
	EXPECT_LE(after - before, ASK_DELAY_US);
}

/* By seed; what an older revision is confirmed with ends when the next begins.
 */
TEST(Control, NoFaultBringsAnOlderRevisionBackOrConfirmsIt)
{
	const char *seeds = getenv("CRANBERRYWAY_CONTROL_SEEDS");
	uint64_t seed, end = seeds != nullptr ? std::stoull(seeds) : 40;

	for (seed = 1; seed <= end && !HasFailure(); seed++) {
		FaultPlay f(3 + seed % 20, seed);
		int i;

		for (i = 0; i < 60; i++) {
			f.step();
			f.check();
		}
		f.heal();
		f.check();
		for (i = 0; i < f.nhosts; i++) {
			EXPECT_EQ(replay_node(f.r, i)->conf.revision,
			    static_cast<uint64_t>(f.newest))
			    << i;
			EXPECT_LE(config_age_us(f.r, i), 3 * SEC_US) << i;
		}
		EXPECT_FALSE(HasFailure()) << "seed " << seed;
	}
}

namespace {

/* A parser that cannot read what the others can. */
struct catalog *
parse_up_to_revision_5(const char *text, size_t len, char *err, size_t errlen)
{
	struct catalog *c = parse_with_revision(text, len, err, errlen);

	if (c == nullptr || c->revision <= 5)
		return c;
	catalog_destroy(c);
	snprintf(err, errlen, "line 1: \"odd\"\nnext line");
	return nullptr;
}

const struct catalog_parser parser_up_to_5 = {parse_up_to_revision_5};

} // namespace

/* One refuses what the other has; each text crosses a few times only. */
TEST(Control, DaemonsThatCannotAgreeExchangeNoTextsWithoutEnd)
{
	for (bool root_refuses : {false, true}) {
		struct replay_host_spec spec = {};
		std::string first = with_revision(5),
			    next = with_revision(9, chain_config(900));
		struct replay *r = replay_create(1);
		uint64_t rejected, before, calm;
		int refusing = 0;

		replay_set_config(r, first.c_str());
		spec.dc = "a";
		spec.slots = 8;
		spec.parser =
		    root_refuses ? &parser_up_to_5 : &parser_with_revision;
		replay_add_host(r, &spec);
		replay_run_until(r, 2 * SEC_US);
		spec.parser =
		    root_refuses ? &parser_with_revision : &parser_up_to_5;
		replay_add_host(r, &spec);
		if (!root_refuses)
			refusing = 1;
		replay_run_until(r, 10 * SEC_US);
		before = replay_count_messages(r);
		replay_run_until(r, 30 * SEC_US);
		calm = replay_count_messages(r) - before;
		replay_set_config(r, next.c_str());
		replay_run_until(r, 33 * SEC_US);
		before = replay_count_messages(r);
		replay_run_until(r, 53 * SEC_US);
		EXPECT_EQ(replay_node(r, refusing)->conf.digest,
		    confstate_digest(first.data(), first.size()));
		EXPECT_EQ(replay_node(r, 1 - refusing)->conf.digest,
		    confstate_digest(next.data(), next.size()));
		/* One message more than in calm in 2 s. */
		EXPECT_LE(replay_count_messages(r) - before, calm + 10);
		rejected = node_counters(replay_node(r, refusing))
			       ->values[COUNT_CONFIG_REJECTED];
		EXPECT_EQ(rejected, 1u);
		EXPECT_GE(config_age_us(r, refusing), 20 * SEC_US);
		replay_destroy(r);
	}
}

/* Nobody has a proof then, and the reads could not give one. */
TEST(Control, PlatformReadsAreBoundedWhileAConfigurationIsRefused)
{
	Fleet f(120, 1, &parser_up_to_5, with_revision(5));
	uint64_t before = 0, after = 0;
	int i;

	replay_set_config(f.r, with_revision(9).c_str());
	f.run(40 * SEC_US);
	for (i = 0; i < f.nhosts; i++)
		before += node_counters(replay_node(f.r, i))
			      ->values[COUNT_PLATFORM_READS];
	f.run(40 * SEC_US);
	for (i = 0; i < f.nhosts; i++)
		after += node_counters(replay_node(f.r, i))
			     ->values[COUNT_PLATFORM_READS];
	printf(
	    "platform reads per second: %.1f\n", double(after - before) / 40);
	/* As without a refusal, and one of each other daemon in 20 s. */
	EXPECT_LE((after - before) / 40,
	    2u * 2 * (TREE_MAX_CHILDREN + 1) + 4 + 120 / 20);
	replay_set_config(f.r, with_revision(5, chain_config(7)).c_str());
	f.run(2 * SEC_US);
	for (i = 0; i < f.nhosts; i++)
		EXPECT_EQ(
		    text_in_force(f, i), with_revision(5, chain_config(7)));
}

/* What a parser says may hold anything. */
TEST(Control, RefusedConfigurationIsOneLineOfTheLogAndAMetric)
{
	Fleet f(3, 1, &parser_up_to_5, with_revision(5));
	struct node *n = replay_node(f.r, f.root("a"));
	std::string fault;
	char *status;

	status = node_status(n, replay_instant(f.r));
	EXPECT_NE(strstr(status, "config_revision 5\n"), nullptr);
	EXPECT_NE(strstr(status, "config_refused_ms 0\n"), nullptr);
	free(status);
	replay_set_config(f.r, with_revision(9).c_str());
	f.run(5 * SEC_US);
	fault = node_config_fault(n);
	EXPECT_EQ(fault.find('\n'), std::string::npos);
	EXPECT_NE(
	    fault.find("fault=refused reason=\"line 1: ?odd??next line\""),
	    std::string::npos)
	    << fault;
	status = node_status(n, replay_instant(f.r));
	EXPECT_GE(std::stoul(strstr(status, "config_refused_ms ") +
			     strlen("config_refused_ms ")),
	    3000u);
	free(status);
	replay_set_config(f.r, with_revision(5, chain_config(7)).c_str());
	f.run(2 * SEC_US);
	status = node_status(n, replay_instant(f.r));
	EXPECT_NE(strstr(status, "config_refused_ms 0\n"), nullptr);
	free(status);
}

/* Three reasons, which the log tells apart. */
TEST(Control, OlderRowAndLowerRevisionAreDifferentFaults)
{
	FleetWithCopy f(3);
	struct node *n = replay_node(f.r, f.root("a"));
	struct msg_list out = TAILQ_HEAD_INITIALIZER(out);
	struct msg *m = msg_create(MSG_ROW);

	replay_return_platform(f.r);
	f.run(3 * SEC_US);
	EXPECT_EQ(n->counters.values[COUNT_CONFIG_ROWS_LOWER], 1u);
	EXPECT_NE(
	    strstr(node_config_fault(n), "revision=3 fault=lower-revision"),
	    nullptr)
	    << node_config_fault(n);
	replay_set_config(f.r, f.newer.c_str());
	f.run(3 * SEC_US);
	name_copy(m->u.row.key, "config", ROW_KEY_LEN);
	m->u.row.status = ROW_FOUND;
	m->u.row.version = 1;
	m->u.row.era = 1;
	buffer_set(&m->u.row.value, f.copied.data(), f.copied.size());
	node_handle(n, m, replay_instant(f.r), &out);
	msg_list_clear(&out);
	EXPECT_NE(strstr(node_config_fault(n), "fault=older-row"), nullptr)
	    << node_config_fault(n);
}

/* It has heard nobody meanwhile, and that is no sign that the root is
 * lost. */
TEST(Control, HostThatStoodStillDoesNotReplaceALivingRoot)
{
	for (uint64_t ms : {1700, 5000}) {
		Fleet f(8);
		int root = f.root("a");
		uint64_t epoch = replay_node(f.r, root)->tree.epoch;

		for (int i = 0; i < f.nhosts; i++) {
			if (i % 2 == root % 2 && i != root)
				replay_freeze(f.r, i, ms * MSEC_US);
		}
		f.run(10 * SEC_US);
		EXPECT_EQ(f.root("a"), root) << ms;
		EXPECT_EQ(replay_node(f.r, root)->tree.epoch, epoch) << ms;
	}
}

/* The copy is older than the first root's row. */
TEST(Control, RootThatNoReturnedRowNamesStepsDown)
{
	ChildDaemon d;
	struct msg *m;

	d.node->tree.is_root = true;
	m = msg_create(MSG_ROW);
	name_copy(m->u.row.key, "control/a", ROW_KEY_LEN);
	m->u.row.era = 1;
	d.answer(m, ROW_ABSENT, 0);
	EXPECT_FALSE(d.node->tree.is_root);
	m = d.tick(MSG_ROW_WRITE);
	EXPECT_NE(m, nullptr) << "it claims the row again";
	msg_destroy(m);
}

/*
 * The copy names a root that was restarted since, and is the root again.  The
 * one that replaced it can't read the row.
 */
TEST(Control, RootThatIsCutOffFromTheStoreYieldsToItsSuccessor)
{
	Fleet f(8);
	int first = f.root("a"), second;

	replay_copy_platform(f.r);
	replay_kill(f.r, first);
	f.run(4 * SEC_US);
	second = f.root("a");
	ASSERT_NE(second, first);
	replay_start(f.r, first);
	f.run(4 * SEC_US);
	replay_set_platform_partition(f.r, second, true);
	f.run(1 * SEC_US);
	replay_return_platform(f.r);
	f.run(4 * SEC_US);
	EXPECT_EQ(f.count_roots("a"), 1);
	EXPECT_FALSE(replay_node(f.r, second)->tree.is_root);
}
