/*
 * Guards against a daemon that runs calls on a target that is leaving, has
 * been replaced or is silent.  Announcements may arrive late, twice, or after
 * the target process that sent them has ended, and a restarted daemon
 * remembers none.  Each start of a target process has an id and a start time.
 */
#include <gtest/gtest.h>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "config/catalog_ini.h"
#include "core/member_row.h"
#include "core/node_impl.h"
}

namespace {

const struct addr SELF = {0x0a000001, 7000};
const char ENDED_KEY[] = "ended/plzen/167772161:7000";

/* The platform's store, which outlives the daemons. */
struct Store {
	std::map<std::string, std::string> rows;
	std::map<std::string, uint64_t> versions;
	uint64_t version = 1, era = 0;
	bool away = false; /* answers nothing */
	bool loses_writes = false; /* answers nothing to writes */
	int reads = 0, writes = 0;

	/* Answer a request, which is freed; NULL if it is no request. */
	struct msg *
	answer(struct msg *m)
	{
		struct row *row = &m->u.row;
		bool write = m->kind == MSG_ROW_WRITE;

		if (m->kind != MSG_ROW_READ && !write)
			return nullptr;
		write ? writes++ : reads++;
		m = copy(m);
		row = &m->u.row;
		row->era = era;
		row->feed_position = version;
		if (away || (write && loses_writes)) {
			row->status = ROW_UNKNOWN;
		} else if (write) {
			put(row);
		} else if (row->key_is_prefix) {
			row->status = ROW_FOUND;
		} else if (rows.count(row->key)) {
			row->status = ROW_FOUND;
			row->version = versions[row->key];
			buffer_set(&row->value, rows[row->key].data(),
			    rows[row->key].size());
		} else {
			row->status = ROW_ABSENT;
		}
		return m;
	}
	void
	put(struct row *row)
	{
		if (row->version != ROW_ANY_VERSION &&
		    row->version != versions[row->key]) {
			row->status = ROW_CONFLICT;
			return;
		}
		row->status = ROW_WRITTEN;
		row->version = versions[row->key] = ++version;
		if (row->value.len == 0)
			rows.erase(row->key);
		else
			rows[row->key].assign(row->value.data, row->value.len);
	}
	static struct msg *
	copy(const struct msg *m)
	{
		struct msg *c = msg_create(MSG_ROW);

		c->seq = m->seq;
		name_copy(c->u.row.key, m->u.row.key, ROW_KEY_LEN);
		c->u.row.key_is_prefix = m->u.row.key_is_prefix;
		c->u.row.version = m->u.row.version;
		c->u.row.based_on = m->u.row.based_on;
		buffer_set(
		    &c->u.row.value, m->u.row.value.data, m->u.row.value.len);
		return c;
	}
};

struct Daemon {
	struct node *node;
	struct instant now = {1000 * SEC_US, 1700000000000};
	Store own_store;
	Store &store;
	uint64_t acknowledged = 0; /* highest seq of a MSG_ANNOUNCED */

	Daemon() : Daemon(own_store)
	{
	}
	explicit Daemon(Store &store_) : store(store_)
	{
		struct node_setup s = {};

		s.self = SELF;
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
	/* Answer what the daemon asks the store, and free all messages. */
	void
	settle(struct msg_list *out)
	{
		struct msg *m, *answer;

		while ((m = TAILQ_FIRST(out)) != NULL) {
			TAILQ_REMOVE(out, m, entry);
			if (m->kind == MSG_ANNOUNCED)
				acknowledged = m->seq;
			answer = store.answer(m);
			msg_destroy(m);
			if (answer != nullptr)
				node_handle(node, answer, now, out);
		}
	}
	void
	handle(struct msg *m)
	{
		struct msg_list out = TAILQ_HEAD_INITIALIZER(out);

		node_handle(node, m, now, &out);
		settle(&out);
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
		if (leaving)
			m->seq = ++leaving_seq;
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
			settle(&out);
		}
	}
	uint64_t forward_seq = 0; /* of the last call forwarded */
	uint64_t leaving_seq = 0; /* of the last announcement that it leaves */
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
 * Guards against calls to a target that has left: the daemon that acknowledged
 * its leaving is killed, and a late announcement of that target makes the next
 * process join it again.  It does not matter how often the daemon starts.
 */
TEST(Announce, ATargetThatLeftStaysGoneOverRestartsOfItsDaemon)
{
	for (bool was_ready : {true, false}) {
		Store store;

		{
			Daemon d(store);

			if (was_ready)
				d.announce("a", 100, 1, false);
			d.announce("a", 100, was_ready ? 2 : 0, true);
			EXPECT_EQ(d.acknowledged, d.leaving_seq);
		}
		for (int restarts = 1; restarts <= 3; restarts++) {
			Daemon d(store);

			d.announce("a", 100, 3, false);
			EXPECT_FALSE(d.runs_calls()) << restarts;
			EXPECT_TRUE(node_announce_outcome(d.node)->held);
			d.advance(3 * SEC_US);
			d.announce("a", 100, 4, false);
			EXPECT_FALSE(d.runs_calls()) << restarts;
			/* An even earlier start is not used either. */
			d.announce("old", 50, 1, false);
			EXPECT_FALSE(d.runs_calls()) << restarts;
			EXPECT_STREQ(node_ended_start(d.node)->id, "a");
		}
	}
}

/* A target that starts again is used at its first announcement. */
TEST(Announce, ANewStartAfterOneThatLeftIsUsedAtOnce)
{
	const struct {
		const char *id;
		uint64_t started_ms;
	} starts[] = {{"a", 200}, {"b", 200}, {"b", 0}};

	for (const auto &start : starts) {
		Store store;

		{
			Daemon d(store);

			d.announce("a", 100, 1, false);
			d.announce("a", 100, 2, true);
		}
		Daemon d(store);

		d.announce(start.id, start.started_ms, 1, false);
		EXPECT_TRUE(d.runs_calls()) << start.id;
	}
}

/* Of several starts that ended the last one counts, whoever wrote its end. */
TEST(Announce, EachProcessAddsTheEndsThatItAcknowledged)
{
	const char *const ids[] = {"a", "b", "c"};
	Store store;

	for (int i = 0; i < 3; i++) {
		Daemon d(store);

		for (int j = 0; j < i; j++) {
			d.announce(ids[j], 100 * (j + 1), 7, false);
			EXPECT_FALSE(d.runs_calls()) << ids[j];
		}
		d.announce(ids[i], 100 * (i + 1), 1, false);
		EXPECT_TRUE(d.runs_calls()) << ids[i];
		d.announce(ids[i], 100 * (i + 1), 2, true);
	}
}

/* What is acknowledged is written: else a kill right after it loses the end. */
TEST(Announce, LeavingIsAcknowledgedOnceItIsWritten)
{
	Daemon d;

	d.announce("a", 100, 1, false);
	d.store.loses_writes = true;
	d.announce("a", 100, 2, true);
	EXPECT_FALSE(d.runs_calls());
	d.advance(2500 * MSEC_US);
	EXPECT_EQ(d.acknowledged, 0u);
	EXPECT_EQ(d.store.rows.count(ENDED_KEY), 0u);
	d.store.loses_writes = false;
	d.advance(2500 * MSEC_US);
	EXPECT_EQ(d.acknowledged, d.leaving_seq);
	EXPECT_EQ(d.store.rows.count(ENDED_KEY), 1u);
	/* Said again, it is acknowledged at once and not written again. */
	int writes = d.store.writes;
	d.announce("a", 100, 3, true);
	EXPECT_EQ(d.acknowledged, d.leaving_seq);
	EXPECT_EQ(d.store.writes, writes);
}

/*
 * While the store does not answer, one late announcement brings nothing back,
 * and neither do several that come at once; a target that lives goes on.
 */
TEST(Announce, WithoutTheStoreOnlyATargetThatGoesOnJoins)
{
	Store store;

	{
		Daemon d(store);

		d.announce("a", 100, 1, false);
		d.announce("a", 100, 2, true);
	}
	store.away = true;
	Daemon d(store);

	for (uint64_t seq = 3; seq < 8; seq++)
		d.announce("a", 100, seq, false);
	d.advance(5 * SEC_US);
	EXPECT_FALSE(d.runs_calls());
	d.announce("b", 200, 1, false);
	EXPECT_FALSE(d.runs_calls());
	d.announce("a", 100, 9, false);
	d.advance(1500 * MSEC_US);
	d.announce("b", 200, 2, false);
	EXPECT_TRUE(d.runs_calls());
}

/* It is asked again before a target is taken to live. */
TEST(Announce, TwoLateAnnouncementsBringNothingBackOnceTheStoreIsBack)
{
	Store store;

	{
		Daemon d(store);

		d.announce("a", 100, 1, false);
		d.announce("a", 100, 2, true);
	}
	store.away = true;
	Daemon d(store);

	d.announce("a", 100, 3, false);
	d.advance(3 * SEC_US);
	store.away = false;
	d.announce("a", 100, 4, false);
	EXPECT_FALSE(d.runs_calls());
	EXPECT_EQ(
	    d.store.rows.count("member/records/plzen/167772161:7000"), 0u);
}

/* The store's word arrives after the target was taken to live. */
TEST(Announce, ATargetLeavesOnceTheStoreSaysThatItHasEnded)
{
	Store store;

	{
		Daemon d(store);

		d.announce("a", 100, 1, false);
		d.announce("a", 100, 2, true);
	}
	store.away = true;
	Daemon d(store);

	for (uint64_t seq = 3; seq < 6; seq++) {
		d.announce("a", 100, seq, false);
		d.advance(1 * SEC_US);
	}
	EXPECT_TRUE(d.runs_calls());
	store.away = false;
	d.advance(2 * SEC_US);
	EXPECT_FALSE(d.runs_calls());
	d.announce("a", 100, 7, false);
	EXPECT_FALSE(d.runs_calls());
}

/* A held announcement is used as soon as the store answers. */
TEST(Announce, ATargetJoinsOnceTheStoreAnswers)
{
	Daemon d;

	d.store.away = true;
	d.announce("a", 100, 1, false);
	EXPECT_FALSE(d.runs_calls());
	d.store.away = false;
	d.advance(1200 * MSEC_US);
	EXPECT_TRUE(d.runs_calls());
	EXPECT_EQ(
	    d.store.rows.count("member/records/plzen/167772161:7000"), 1u);
}

/*
 * The process was killed after it had acknowledged the end, and before it had
 * removed the row by which others find the target.
 */
TEST(Announce, TheRowOfATargetThatEndedIsRemovedByTheNextProcess)
{
	const char key[] = "member/records/plzen/167772161:7000";
	Store store;

	{
		Daemon d(store);

		d.announce("a", 100, 1, false);
		d.announce("a", 100, 2, true);
	}
	EXPECT_EQ(store.rows.count(key), 1u);
	{
		Daemon d(store);

		d.announce("a", 100, 3, false);
		EXPECT_EQ(store.rows.count(key), 0u);
	}
	/* The row of a target that joined since stays. */
	{
		Daemon d(store);

		d.announce("b", 200, 1, false);
		EXPECT_EQ(store.rows.count(key), 1u);
	}
}

/* The copy from which the store comes back lacks the end. */
TEST(Announce, TheEndIsWrittenAgainAfterTheStoreReturned)
{
	Store store;
	Daemon d(store);

	d.announce("a", 100, 1, false);
	auto copy = store.rows;
	d.announce("a", 100, 2, true);
	d.advance(1 * SEC_US);
	EXPECT_EQ(store.rows.count(ENDED_KEY), 1u);
	store.rows = copy;
	store.era++;
	d.advance(10 * SEC_US);
	EXPECT_EQ(store.rows[ENDED_KEY], "100 a records");
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

/* Another writer's row keeps no target out, and is named in the log. */
TEST(Announce, OddRowsOfAnotherWriterKeepNoTargetOut)
{
	const std::string huge(400, '9');
	const std::string rows[] = {"", "x", "0 a records", "100", "100 ",
	    "100 a", "100 a ", "-1 a records", huge + " a records",
	    "100 " + huge + " records", "100 a " + huge,
	    "4000000000000 a records", "[[[[[[[[", "100 a rec\nords"};

	for (const auto &row : rows) {
		Store store;
		Daemon d(store);

		store.rows[ENDED_KEY] = row;
		store.versions[ENDED_KEY] = 7;
		d.announce("a", 100, 1, false);
		EXPECT_TRUE(d.runs_calls()) << row;
		EXPECT_EQ(node_counters(d.node)->values[COUNT_ODD_ROWS], 1u)
		    << row;
	}
}

TEST(Announce, AnEndedRowIsReadAsItWasWritten)
{
	struct target_start s = {}, r;
	char value[ENDED_ROW_VALUE_LEN];

	name_copy(s.service, "field reports", sizeof(s.service));
	name_copy(s.id, std::string(ID_LEN - 1, 'i').c_str(), sizeof(s.id));
	s.started_ms = 1700000000000;
	ended_row_format(value, sizeof(value), &s);
	EXPECT_EQ(ended_row_parse(value, s.started_ms, &r), nullptr);
	EXPECT_STREQ(r.service, s.service);
	EXPECT_STREQ(r.id, s.id);
	EXPECT_EQ(r.started_ms, s.started_ms);
	EXPECT_EQ(target_start_tag(&r), target_start_tag(&s));
	s.started_ms++;
	EXPECT_NE(target_start_tag(&r), target_start_tag(&s));
	s.id[0] = '\0';
	EXPECT_EQ(target_start_tag(&s), 0u);
}
