/*
 * Tests of a store that comes back from a copy, with one daemon whose store
 * and peers are the test.  They guard against an answer of an earlier era that
 * is taken for news, a wait that misses changes, a write whose condition is
 * met by another row, and a root that two eras know.
 */
#include <algorithm>
#include <gtest/gtest.h>
#include <string>
#include <vector>

#include "t/config-text.h"

extern "C" {
#include "config/catalog_ini.h"
#include "core/member_row.h"
#include "core/node_impl.h"
#include "core/position.h"
#include "core/quota_impl.h"
}

namespace {

const struct addr SELF = {0x0a000001, 7000}, PEER = {0x0a000002, 7000};
const char ROOT_KEY[] = "control/a";
const char ENDED_KEY[] = "ended/a/167772161:7000";

uint64_t
position(uint64_t era, uint64_t version)
{
	uint64_t p = 0;

	EXPECT_TRUE(position_make(era, version, &p));
	return p;
}

struct Daemon {
	struct node *node;
	struct instant now = {1000 * SEC_US, 1700000000000};
	/* What the daemon sent since the last take(). */
	struct msg_list sent = TAILQ_HEAD_INITIALIZER(sent);

	Daemon()
	{
		struct node_setup s = {};

		s.self = SELF;
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
	~Daemon()
	{
		msg_list_clear(&sent);
		node_destroy(node);
	}
	uint64_t
	counter(enum counter c) const
	{
		return node_counters(node)->values[c];
	}
	void
	tick(uint64_t us = 100 * MSEC_US)
	{
		now.mono_us += us;
		now.wall_ms += us / MSEC_US;
		node_tick(node, now, &sent);
	}
	/* Tick until the daemon sends such a request; NULL if it doesn't. */
	struct msg *
	take(enum msg_kind kind, const char *key, int ticks = 40)
	{
		struct msg *m;

		for (;;) {
			m = find(kind, key);
			if (m != nullptr)
				return m;
			msg_list_clear(&sent);
			if (ticks-- == 0)
				return nullptr;
			tick();
		}
	}
	/* Answer a request, which is freed. */
	void
	answer(struct msg *m, enum row_status status, uint64_t era,
	    uint64_t version, const std::string &value = "")
	{
		ASSERT_NE(m, nullptr);
		m->kind = MSG_ROW;
		m->u.row.status = status;
		m->u.row.era = era;
		m->u.row.version = version;
		m->u.row.feed_position = version != 0 ? version : 1;
		buffer_set(&m->u.row.value, value.data(), value.size());
		node_handle(node, m, now, &sent);
	}
	void
	answer_root(struct msg *m, uint64_t era, uint64_t version,
	    struct addr root, uint64_t incarnation)
	{
		char text[TREE_ROOT_LEN];

		tree_format_root(text, root, incarnation);
		answer(m, ROW_FOUND, era, version, text);
	}
	/* Make the daemon the root of its tree, by the row's first version. */
	void
	become_root(uint64_t era, uint64_t version)
	{
		answer(take(MSG_ROW_READ, ROOT_KEY), ROW_ABSENT, era, 0);
		answer(
		    take(MSG_ROW_WRITE, ROOT_KEY), ROW_WRITTEN, era, version);
		ASSERT_TRUE(node->tree.is_root);
	}
	/* A peer's message that tells its positions. */
	void
	hear_peer(uint64_t epoch, uint64_t version)
	{
		struct msg *m = msg_create(MSG_CONFIG_ASK);

		m->peer = PEER;
		m->seq = 1;
		m->u.config.epoch = epoch;
		m->u.config.version = version;
		node_handle(node, m, now, &sent);
	}
	/* The target's announcement; leaving, it says that it ends. */
	void
	announce(const char *service, bool leaving = false)
	{
		struct msg *m = msg_create(MSG_ANNOUNCE);
		struct announce *a = &m->u.announce;

		name_copy(a->service, service, sizeof(a->service));
		name_copy(a->id, service, sizeof(a->id));
		a->started_ms = now.wall_ms;
		a->slots = 4;
		a->leaving = leaving;
		a->daemon_outlives_target = true;
		if (leaving)
			a->started_ms = node->target.started_ms;
		node_handle(node, m, now, &sent);
		/* No start of the target has ended before this process. */
		m = find(MSG_ROW_READ, ENDED_KEY);
		if (m != nullptr)
			answer(m, ROW_ABSENT, node_store_return(node)->era, 0);
	}
	/* Take a request that was sent; NULL if it was not. */
	struct msg *
	find(enum msg_kind kind, const char *key)
	{
		struct msg *m;

		TAILQ_FOREACH (m, &sent, entry) {
			if (m->kind == kind && strcmp(m->u.row.key, key) == 0) {
				TAILQ_REMOVE(&sent, m, entry);
				return m;
			}
		}
		return nullptr;
	}
	/* Announce a target, and confirm the write of its row. */
	void
	join(const char *service, uint64_t era)
	{
		announce(service);
		answer(take(MSG_ROW_WRITE, row_key(service).c_str()),
		    ROW_WRITTEN, era, 1);
	}
	std::string
	row_key(const std::string &service)
	{
		return "member/" + service + "/a/167772161:7000";
	}
	/* What a read of a group's rows shows. */
	void
	read_rows(
	    const std::string &service, uint64_t era, const std::string &lines)
	{
		struct msg *m = msg_create(MSG_ROW);

		name_copy(m->u.row.key, ("member/" + service + "/").c_str(),
		    ROW_KEY_LEN);
		m->u.row.key_is_prefix = true;
		answer(m, ROW_FOUND, era, 0, lines);
	}
	std::string
	row_line(const std::string &service)
	{
		struct group *g = membership_find(node, service.c_str());
		char value[MEMBER_ROW_VALUE_LEN];

		member_row_format(value, sizeof(value), &g->self->record);
		return row_key(service) + " 1 " + value + "\n";
	}
	void
	run(uint64_t us)
	{
		for (uint64_t t = 0; t < us; t += 100 * MSEC_US)
			tick();
	}
	/* How many writes of the row were sent since the last take(). */
	int
	count_writes(const std::string &service)
	{
		std::string key = row_key(service);
		struct msg *m;
		int count = 0;

		TAILQ_FOREACH (m, &sent, entry)
			count +=
			    m->kind == MSG_ROW_WRITE && key == m->u.row.key;
		return count;
	}
	/* The next read of the root's row that waits for a change. */
	struct msg *
	take_wait()
	{
		struct msg *m;

		for (int i = 0; i < 5; i++) {
			m = take(MSG_ROW_READ, ROOT_KEY);
			if (m == nullptr || m->u.row.wait_ms != 0)
				return m;
			answer_root(m, node->store_return.era,
			    position_version(node->tree.epoch), SELF,
			    node->setup.incarnation);
		}
		return nullptr;
	}
};

} // namespace

/* Each kind of answer that was under way while the store came back. */
TEST(StoreEra, LateAnswerOfAnEarlierEraIsIgnored)
{
	for (enum row_status status :
	    {ROW_FOUND, ROW_ABSENT, ROW_UNCHANGED, ROW_HISTORY_GONE}) {
		Daemon d;
		struct msg *late;

		d.become_root(4, 7);
		late = d.take_wait();
		ASSERT_NE(late, nullptr);
		d.hear_peer(position(5, 1), 0);
		d.answer_root(d.take(MSG_ROW_READ, ROOT_KEY), 5, 3, PEER, 1);
		ASSERT_FALSE(d.node->tree.is_root);
		if (status == ROW_FOUND)
			d.answer_root(
			    late, 4, 9, SELF, d.node->setup.incarnation);
		else
			d.answer(late, status, 4, 0);
		EXPECT_FALSE(d.node->tree.is_root) << status;
		EXPECT_FALSE(d.node->tree.root_lost) << status;
		EXPECT_EQ(d.node->tree.epoch, position(5, 3)) << status;
		EXPECT_EQ(d.counter(COUNT_STORE_ANSWERS_OLD), 1u) << status;
	}
}

TEST(StoreEra, LateAnswerOfAnEarlierEraMakesNoRoot)
{
	Daemon d;
	struct msg *claim;

	d.answer(d.take(MSG_ROW_READ, ROOT_KEY), ROW_ABSENT, 4, 0);
	claim = d.take(MSG_ROW_WRITE, ROOT_KEY);
	d.hear_peer(position(5, 1), 0);
	d.answer(claim, ROW_WRITTEN, 4, 9);
	EXPECT_FALSE(d.node->tree.is_root);
	EXPECT_EQ(d.counter(COUNT_STORE_ANSWERS_OLD), 1u);
}

/* A store that has an era tells it in all its answers. */
TEST(StoreEra, AnswerWithoutAnEraIsIgnoredOnceTheStoreHasOne)
{
	Daemon d;

	d.become_root(1, 7);
	d.answer_root(d.take(MSG_ROW_READ, ROOT_KEY), 0, 9, PEER, 1);
	EXPECT_TRUE(d.node->tree.is_root);
	EXPECT_EQ(d.node->store_return.era, 1u);
	EXPECT_EQ(d.counter(COUNT_STORE_ANSWERS_OLD), 1u);
}

/* A wait goes on in the numbers of the new era, and may miss its changes. */
TEST(StoreEra, WaitThatBeganInAnEarlierEraReadsTheRowAgain)
{
	Daemon d;
	struct msg *wait, *again;

	d.become_root(4, 7);
	wait = d.take_wait();
	ASSERT_NE(wait, nullptr);
	d.answer(wait, ROW_UNCHANGED, 5, 0);
	EXPECT_EQ(d.counter(COUNT_STORE_RETURNS), 1u);
	again = d.take(MSG_ROW_READ, ROOT_KEY, 3);
	ASSERT_NE(again, nullptr);
	EXPECT_EQ(again->u.row.wait_ms, 0u);
	EXPECT_EQ(again->u.row.feed_position, 0u);
	d.answer_root(again, 5, 3, PEER, 1);
	EXPECT_FALSE(d.node->tree.is_root);
}

/* The same version may be another row by now. */
TEST(StoreEra, WriteUnderAConditionOfAnEarlierEraIsNotSent)
{
	Daemon d;
	struct msg *write;

	d.become_root(4, 7);
	d.hear_peer(0, position(5, 1));
	node_write_row(d.node, ROOT_KEY, d.node->tree.epoch, "x", 1, &d.sent);
	EXPECT_EQ(d.take(MSG_ROW_WRITE, ROOT_KEY, 0), nullptr);
	node_write_row(d.node, ROOT_KEY, position(5, 0), "x", 1, &d.sent);
	write = d.take(MSG_ROW_WRITE, ROOT_KEY, 0);
	EXPECT_NE(write, nullptr);
	msg_destroy(write);
	d.tick(); /* it handles the refusal */
}

/* Its condition was meant for a row of the era before. */
TEST(StoreEra, ClaimThatALaterEraAnsweredIsReadBackAndMakesNoRoot)
{
	Daemon d;
	struct msg *claim, *read;

	d.answer_root(d.take(MSG_ROW_READ, ROOT_KEY), 4, 7, SELF, 1);
	claim = d.take(MSG_ROW_WRITE, ROOT_KEY);
	ASSERT_NE(claim, nullptr);
	EXPECT_EQ(claim->u.row.version, 7u);
	d.answer(claim, ROW_WRITTEN, 5, 9);
	EXPECT_FALSE(d.node->tree.is_root);
	read = d.take(MSG_ROW_READ, ROOT_KEY, 0);
	ASSERT_NE(read, nullptr);
	d.answer_root(read, 5, 9, SELF, d.node->setup.incarnation);
	EXPECT_TRUE(d.node->tree.is_root);
	EXPECT_EQ(d.node->tree.epoch, position(5, 9));
}

/* By its epoch as by the configuration that it has. */
TEST(StoreEra, PeersPositionsTellOfAReturn)
{
	for (bool by_epoch : {false, true}) {
		Daemon d;
		struct msg *wait, *read;

		d.become_root(4, 7);
		wait = d.take_wait();
		ASSERT_NE(wait, nullptr);
		d.hear_peer(by_epoch ? position(5, 2) : 0,
		    by_epoch ? 0 : position(5, 2));
		EXPECT_EQ(d.counter(COUNT_STORE_RETURNS), 1u);
		EXPECT_EQ(d.node->store_return.era, 5u);
		EXPECT_EQ(d.node->store_return.previous_era, 4u);
		EXPECT_TRUE(addr_equal(d.node->store_return.heard_from, PEER));
		read = d.take(MSG_ROW_READ, ROOT_KEY, 1);
		ASSERT_NE(read, nullptr) << "a wait is still pending";
		EXPECT_EQ(read->u.row.wait_ms, 0u);
		msg_destroy(wait);
		msg_destroy(read);
		d.hear_peer(position(4, 90), position(3, 90));
		EXPECT_EQ(d.node->store_return.era, 5u);
		EXPECT_EQ(d.counter(COUNT_STORE_RETURNS), 1u);
	}
}

TEST(StoreEra, VersionsAndErasOutOfRangeAreIgnored)
{
	Daemon d;

	d.become_root(4, 7);
	for (int i = 0; i < 2; i++) {
		d.answer_root(d.take(MSG_ROW_READ, ROOT_KEY),
		    i == 0 ? 4 : POSITION_MAX_ERA + 1,
		    i == 0 ? POSITION_MAX_VERSION + 1 : 9, PEER, 1);
		EXPECT_TRUE(d.node->tree.is_root);
		EXPECT_EQ(d.node->store_return.era, 4u);
		EXPECT_EQ(d.counter(COUNT_ODD_ROWS), i + 1u);
		EXPECT_EQ(d.counter(COUNT_STORE_RETURNS), 0u);
	}
	d.answer_root(d.take(MSG_ROW_READ, ROOT_KEY), POSITION_MAX_ERA,
	    POSITION_MAX_VERSION, PEER, 1);
	EXPECT_FALSE(d.node->tree.is_root);
	EXPECT_EQ(d.node->tree.epoch,
	    position(POSITION_MAX_ERA, POSITION_MAX_VERSION));
}

/* Each one reads again, and the versions go back each time. */
TEST(StoreEra, EachOfARunOfReturnsCounts)
{
	Daemon d;
	struct msg *read;
	uint64_t era, before;
	bool own;

	d.become_root(0, 90);
	for (era = 1; era <= 6; era++) {
		before = d.node->tree.epoch;
		own = era % 2 == 0;
		if (own)
			d.hear_peer(position(era, 1), 0);
		read = d.take(MSG_ROW_READ, ROOT_KEY);
		ASSERT_NE(read, nullptr);
		if (read->u.row.wait_ms != 0) {
			d.answer(read, ROW_UNCHANGED, era, 0);
			read = d.take(MSG_ROW_READ, ROOT_KEY);
		}
		d.answer_root(read, era, 90 - era, own ? SELF : PEER,
		    own ? d.node->setup.incarnation : 1);
		EXPECT_EQ(d.counter(COUNT_STORE_RETURNS), era);
		EXPECT_GT(d.node->tree.epoch, before);
		EXPECT_EQ(d.node->tree.is_root, own);
	}
}

/* A daemon that starts after the return hears of it from a peer first. */
TEST(StoreEra, EraToldByAPeerBeforeTheStoreAnswersIsNoReturn)
{
	Daemon d;

	d.hear_peer(position(3, 5), 0);
	EXPECT_EQ(d.node->store_return.era, 3u);
	EXPECT_EQ(d.counter(COUNT_STORE_RETURNS), 0u);
	d.answer_root(d.take(MSG_ROW_READ, ROOT_KEY), 2, 9, SELF,
	    d.node->setup.incarnation);
	EXPECT_FALSE(d.node->tree.is_root);
	EXPECT_EQ(d.counter(COUNT_STORE_ANSWERS_OLD), 1u);
	d.answer_root(d.take(MSG_ROW_READ, ROOT_KEY), 3, 5, PEER, 1);
	EXPECT_EQ(d.node->tree.epoch, position(3, 5));
	EXPECT_EQ(d.counter(COUNT_STORE_RETURNS), 0u);
}

/* The copy is some seconds old, and lacks what was written last. */
TEST(StoreEra, OwnRowIsWrittenAgainOnceAfterTwiceItsAge)
{
	Daemon d;
	struct msg *write;

	d.join("records", 4);
	d.run(10 * SEC_US);
	d.hear_peer(position(5, 1), 0);
	d.run(19 * SEC_US);
	EXPECT_EQ(d.count_writes("records"), 0);
	EXPECT_EQ(d.node->store_return.rows_there_us, 0u);
	write = d.take(MSG_ROW_WRITE, d.row_key("records").c_str(), 20);
	ASSERT_NE(write, nullptr);
	EXPECT_GT(write->u.row.value.len, 0u);
	d.answer(write, ROW_WRITTEN, 5, 1);
	EXPECT_EQ(d.counter(COUNT_ROWS_WRITTEN_AGAIN), 1u);
	EXPECT_EQ(d.node->store_return.rows_written_again, 1u);
	EXPECT_EQ(d.node->store_return.rows_there_us, d.now.mono_us);
	d.run(2 * OWN_ROW_SPREAD_US);
	EXPECT_EQ(d.count_writes("records"), 0);
}

/* 34,000 rows that all are older than the copy, and the store's 400 writes. */
TEST(StoreEra, OldRowsAreWrittenAgainSpreadOverTime)
{
	constexpr int ROWS = 34000, WRITES_PER_S = 400;
	std::vector<int> per_s(OWN_ROW_SPREAD_US / SEC_US + 1);
	struct instant now = {3600 * SEC_US, 0};
	uint64_t rng = 1;

	for (int i = 0; i < ROWS; i++) {
		struct own_row w = {};

		own_row_sent(&w, 1, now);
		own_row_confirm(&w, now);
		now.mono_us += 1800 * SEC_US;
		own_row_lost(&w, &rng, now);
		ASSERT_LE(w.due_us, now.mono_us + OWN_ROW_SPREAD_US);
		per_s[(w.due_us - now.mono_us) / SEC_US]++;
		now.mono_us -= 1800 * SEC_US;
	}
	EXPECT_LE(
	    *std::max_element(per_s.begin(), per_s.end()), WRITES_PER_S / 2);
}

/* A fleet that joined at the store's limit just before the return. */
TEST(StoreEra, FreshRowsAreWrittenAgainAtHalfTheRateOfTheirWrites)
{
	constexpr int WRITES_PER_S = 400;
	std::vector<int> per_s(OWN_ROW_SPREAD_US / SEC_US + 1);
	const struct instant back = {3600 * SEC_US, 0};
	uint64_t rng = 1;

	for (uint64_t i = 0; i < 85 * WRITES_PER_S; i++) {
		struct own_row w = {};
		struct instant then = {
		    back.mono_us - i * SEC_US / WRITES_PER_S, 0};

		own_row_sent(&w, 1, then);
		own_row_confirm(&w, then);
		own_row_lost(&w, &rng, back);
		per_s[(w.due_us - back.mono_us) / SEC_US]++;
	}
	EXPECT_LE(
	    *std::max_element(per_s.begin(), per_s.end()), WRITES_PER_S / 2);
}

TEST(StoreEra, OwnRowThatAReadShowsIsNotWrittenAgain)
{
	for (bool is_there : {false, true}) {
		Daemon d;

		d.join("records", 4);
		d.run(10 * SEC_US);
		d.hear_peer(position(5, 1), 0);
		/* An answer of the era before shows nothing. */
		d.read_rows("records", 4, d.row_line("records"));
		d.read_rows(
		    "records", 5, is_there ? d.row_line("records") : "");
		d.run(30 * SEC_US);
		EXPECT_EQ(d.count_writes("records") > 0, !is_there);
		EXPECT_EQ(d.node->store_return.rows_there_us != 0, is_there);
		EXPECT_EQ(d.counter(COUNT_ROWS_WRITTEN_AGAIN), 0u);
	}
}

TEST(StoreEra, WriteOfARowConfirmedInAnEarlierEraIsRepeated)
{
	Daemon d;
	std::string key = d.row_key("records");
	struct msg *write;

	d.announce("records");
	write = d.take(MSG_ROW_WRITE, key.c_str());
	d.hear_peer(position(5, 1), 0);
	d.answer(write, ROW_WRITTEN, 4, 1);
	EXPECT_FALSE(membership_find(d.node, "records")->own_row.written);
	write = d.take(MSG_ROW_WRITE, key.c_str());
	ASSERT_NE(write, nullptr);
	d.answer(write, ROW_WRITTEN, 5, 1);
	d.run(10 * SEC_US);
	EXPECT_EQ(d.count_writes("records"), 0);
}

/* The copy may bring back the row of a target that has left. */
TEST(StoreEra, RowOfATargetThatLeftIsRemovedAgain)
{
	Daemon d;
	std::string key = d.row_key("records");
	struct msg *write;

	d.join("records", 4);
	d.announce("records", true);
	write = d.take(MSG_ROW_WRITE, key.c_str());
	ASSERT_NE(write, nullptr);
	EXPECT_EQ(write->u.row.value.len, 0u);
	d.answer(write, ROW_WRITTEN, 4, 2);
	d.run(3 * SEC_US);
	EXPECT_EQ(d.count_writes("records"), 0);
	d.hear_peer(position(5, 1), 0);
	write = d.take(MSG_ROW_WRITE, key.c_str(), 100);
	ASSERT_NE(write, nullptr);
	EXPECT_EQ(write->u.row.value.len, 0u);
	d.answer(write, ROW_WRITTEN, 5, 2);
	d.run(10 * SEC_US);
	EXPECT_EQ(d.count_writes("records"), 0);
}

TEST(StoreEra, RemovalThatWasNotConfirmedIsRepeated)
{
	Daemon d;
	std::string key = d.row_key("records");
	struct msg *write;

	d.join("records", 4);
	d.announce("records", true);
	d.answer(d.take(MSG_ROW_WRITE, key.c_str()), ROW_UNKNOWN, 0, 0);
	write = d.take(MSG_ROW_WRITE, key.c_str());
	ASSERT_NE(write, nullptr);
	EXPECT_EQ(write->u.row.value.len, 0u);
	msg_destroy(write);
}

/* Its late answer says nothing about the row that was written since. */
TEST(StoreEra, AnswerToAnEarlierWriteConfirmsNothing)
{
	Daemon d;
	std::string key = d.row_key("records");
	struct msg *join, *removal;

	d.announce("records");
	join = d.take(MSG_ROW_WRITE, key.c_str());
	d.announce("records", true);
	removal = d.take(MSG_ROW_WRITE, key.c_str());
	ASSERT_NE(removal, nullptr);
	d.answer(join, ROW_WRITTEN, 4, 1);
	d.answer(removal, ROW_UNKNOWN, 0, 0);
	removal = d.take(MSG_ROW_WRITE, key.c_str());
	ASSERT_NE(removal, nullptr);
	msg_destroy(removal);
}

/* Callers of the service that the host had would call another target. */
TEST(StoreEra, RowsOfAllEarlierServicesAreRemoved)
{
	for (bool leaves : {false, true}) {
		Daemon d;
		struct msg *write;

		d.join("records", 4);
		if (leaves)
			d.announce("records", true);
		d.tick();
		d.announce("bookings");
		for (int era = 4; era < 6; era++) {
			write = d.take(
			    MSG_ROW_WRITE, d.row_key("records").c_str(), 60);
			ASSERT_NE(write, nullptr) << leaves << era;
			EXPECT_EQ(write->u.row.value.len, 0u);
			d.answer(write, ROW_WRITTEN, era, 2);
			d.hear_peer(position(era + 1, 1), 0);
		}
		EXPECT_GE(
		    membership_find(d.node, "records")->self->record.state,
		    MEMBER_LEFT);
		EXPECT_EQ(
		    membership_find(d.node, "bookings")->self->record.state,
		    MEMBER_ALIVE);
	}
}

/* A peer that found the earlier target silent tells that it is gone. */
TEST(StoreEra, EarlierServiceIsNotJoinedAgain)
{
	Daemon d;
	struct group *g;
	struct msg *m;

	d.join("records", 4);
	d.announce("records", true);
	d.run(2 * SEC_US);
	d.join("bookings", 4);
	g = membership_find(d.node, "records");
	m = msg_create(MSG_MEMBERS);
	m->peer = PEER;
	name_copy(m->u.members.service, "records", NAME_LEN);
	m->u.members.records = static_cast<struct member_record *>(
	    xcalloc(1, sizeof(struct member_record)));
	m->u.members.records[0] = g->self->record;
	m->u.members.records[0].state = MEMBER_GONE;
	m->u.members.count = 1;
	node_handle(d.node, m, d.now, &d.sent);
	EXPECT_GE(g->self->record.state, MEMBER_LEFT);
}

/* A daemon that starts after the return finds no row of the root before it. */
TEST(StoreEra, FirstRootOfALaterEraSettlesIfAPeerKnowsAnEarlierOne)
{
	for (int peer_era : {-1, 1, 2}) {
		Daemon d;
		struct msg *read = d.take(MSG_ROW_READ, ROOT_KEY);

		if (peer_era == 1)
			d.hear_peer(position(1, 7), 0);
		d.answer(read, ROW_ABSENT, 2, 0);
		if (peer_era >= 0)
			d.hear_peer(position(peer_era, 7), 0);
		d.answer(d.take(MSG_ROW_WRITE, ROOT_KEY), ROW_WRITTEN, 2, 2);
		ASSERT_TRUE(d.node->tree.is_root);
		EXPECT_EQ(d.node->quota->settle_until_us != 0, peer_era == 1)
		    << peer_era;
	}
}

/* The same if the store's own answer came before the peer's. */
TEST(StoreEra, EarlierEraHeardAfterTheStoresMakesTheFirstRootSettle)
{
	Daemon d;

	d.answer(d.take(MSG_ROW_READ, ROOT_KEY), ROW_ABSENT, 2, 0);
	d.hear_peer(position(1, 7), 0);
	d.answer(d.take(MSG_ROW_WRITE, ROOT_KEY), ROW_WRITTEN, 2, 2);
	ASSERT_TRUE(d.node->tree.is_root);
	EXPECT_NE(d.node->quota->settle_until_us, 0u);
	EXPECT_EQ(d.counter(COUNT_STORE_RETURNS), 0u);
}

/* In calm a daemon writes nothing and reads only what it followed before. */
TEST(StoreEra, MembersRowsCostNothingInCalm)
{
	Daemon d;
	uint64_t writes, reads = 0;
	struct msg *m;

	d.become_root(4, 7);
	d.join("records", 4);
	d.run(5 * SEC_US);
	writes = d.counter(COUNT_PLATFORM_WRITES);
	msg_list_clear(&d.sent);
	d.run(300 * SEC_US);
	EXPECT_EQ(d.counter(COUNT_PLATFORM_WRITES), writes);
	TAILQ_FOREACH (m, &d.sent, entry)
		reads += m->kind == MSG_ROW_READ &&
			 strncmp(m->u.row.key, "member/", 7) == 0;
	EXPECT_EQ(reads, 0u);
}

/* It can't hand over under a condition of an earlier era until it has read. */
TEST(StoreEra, DrainingRootReadsItsRowOnceAfterAReturn)
{
	Daemon d;
	struct msg *m;
	int reads = 0;

	d.become_root(4, 7);
	d.hear_peer(position(4, 7), 0);
	d.node->draining = true;
	d.hear_peer(position(5, 1), 0);
	msg_list_clear(&d.sent);
	d.run(3 * SEC_US);
	TAILQ_FOREACH (m, &d.sent, entry)
		reads += m->kind == MSG_ROW_READ &&
			 strcmp(m->u.row.key, ROOT_KEY) == 0;
	EXPECT_EQ(reads, 1);
	EXPECT_EQ(d.take(MSG_ROW_WRITE, ROOT_KEY, 0), nullptr);
	d.answer_root(d.take(MSG_ROW_READ, ROOT_KEY), 5, 3, SELF,
	    d.node->setup.incarnation);
	m = d.take(MSG_ROW_WRITE, ROOT_KEY);
	ASSERT_NE(m, nullptr) << "it hands over";
	EXPECT_EQ(m->u.row.version, 3u);
	msg_destroy(m);
}

/* It orders by versions alone, and its words have no era. */
TEST(StoreEra, PeerOfAnEarlierVersionTellsOfNoReturn)
{
	Daemon d;

	d.hear_peer(9, 9);
	d.become_root(3, 7);
	EXPECT_EQ(d.counter(COUNT_STORE_RETURNS), 0u);
	EXPECT_EQ(store_peer_epoch(d.node, 9), position(3, 9));
	EXPECT_EQ(store_peer_epoch(d.node, position(2, 9)), position(2, 9));
	EXPECT_EQ(store_peer_epoch(d.node, 0), 0u);
}
