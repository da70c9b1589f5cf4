/*
 * Tests of bodies that cross a link in pieces: two ends with frames between
 * them that are delivered when the test says so.
 */
#include <gtest/gtest.h>

#include <cstring>
#include <deque>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "daemon/pieces.h"
#include "wire/frame.h"
}

namespace {

const uint64_t NOW_US = 1000 * SEC_US;

std::string
body_text(size_t len, unsigned int seed)
{
	std::string s(len, 0);
	size_t i;

	for (i = 0; i < len; i++)
		s[i] = (char)((i * 7 + seed) % 251);
	return s;
}

struct End {
	struct pieces *p;
	struct account *memory = account_create(100 << 20, 0, nullptr, nullptr);
	End *other = nullptr;
	std::deque<std::string> wire; /* frames on their way to the other */
	std::vector<struct msg *> arrived;
	int room = 1 << 20; /* pieces that may be sent */

	End()
	{
		static const struct pieces_ops ops = {
		    on_send, on_send_piece, has_room, on_arrived};

		p = pieces_create(memory, &ops, this);
	}
	~End()
	{
		clear();
		pieces_destroy(p);
		EXPECT_EQ(account_state(memory)->held, 0u);
		account_destroy(memory);
	}
	void
	clear()
	{
		for (struct msg *m : arrived)
			msg_destroy(m);
		arrived.clear();
	}
	void
	put(struct buffer *buf)
	{
		wire.emplace_back(buf->data, buf->len);
		buffer_release(buf);
	}
	static void
	on_send(void *owner, struct msg *m)
	{
		struct buffer buf = {};

		frame_encode(m, &buf);
		static_cast<End *>(owner)->put(&buf);
		msg_destroy(m);
	}
	static void
	on_send_piece(void *owner, uint64_t seq, bool of_reply,
	    const void *data, size_t len)
	{
		End *e = static_cast<End *>(owner);
		struct buffer buf = {};

		e->room--;
		frame_encode_piece(seq, of_reply, data, len, &buf);
		e->put(&buf);
	}
	static bool
	has_room(void *owner)
	{
		return static_cast<End *>(owner)->room > 0;
	}
	static void
	on_arrived(void *owner, struct msg *m)
	{
		static_cast<End *>(owner)->arrived.push_back(m);
	}
	/* Deliver the next frame to the other end, as the link task does. */
	bool
	deliver(uint64_t now_us = NOW_US)
	{
		std::string bytes = wire.front();
		struct msg *m = nullptr;
		size_t used;

		wire.pop_front();
		EXPECT_EQ(frame_decode(
			      reinterpret_cast<const uint8_t *>(bytes.data()),
			      bytes.size(), &m, &used),
		    FRAME_OK);
		if (m->kind == MSG_REPLY)
			pieces_stop_request(other->p, m->seq);
		if (m->kind == MSG_PIECE || m->body_follows != 0)
			return pieces_receive(other->p, m, now_us);
		if (m->kind == MSG_CANCEL)
			other->cancelled +=
			    pieces_cancelled_by_peer(other->p, m->seq);
		other->arrived.push_back(m);
		return true;
	}
	void
	deliver_all()
	{
		while (!wire.empty())
			EXPECT_TRUE(deliver());
	}
	void
	send_request(uint64_t seq, const std::string &body)
	{
		struct msg *m = msg_create(MSG_FORWARD);

		m->seq = seq;
		m->u.forward.context.deadline_ms = 5000;
		m->u.forward.context.goal_ms = 500;
		m->u.forward.context.allowance = 3;
		buffer_set(
		    &m->u.forward.request.body, body.data(), body.size());
		pieces_send(p, m, NOW_US);
	}
	void
	send_response(uint64_t seq, const std::string &body)
	{
		struct msg *m = msg_create(MSG_REPLY);

		m->seq = seq;
		m->u.reply.status = 200;
		buffer_set(&m->u.reply.body, body.data(), body.size());
		pieces_send(p, m, NOW_US);
	}
	void
	send_cancel(uint64_t seq)
	{
		struct msg *m = msg_create(MSG_CANCEL);

		m->seq = seq;
		pieces_stop_request(p, seq);
		pieces_drop_response(p, seq);
		on_send(this, m);
	}
	int cancelled = 0;
};

struct Pieces : public testing::Test {
	End entry, host;

	Pieces()
	{
		entry.other = &host;
		host.other = &entry;
	}
};

std::string
arrived_body(const struct msg *m)
{
	const struct buffer *b = m->kind == MSG_FORWARD
				     ? &m->u.forward.request.body
				     : &m->u.reply.body;

	return std::string(b->data != nullptr ? b->data : "", b->len);
}

} // namespace

TEST_F(Pieces, ARequestAndItsResponseArriveWhole)
{
	std::string up = body_text(1000001, 1), down = body_text(300000, 2);

	entry.send_request(7, up);
	entry.deliver_all();
	ASSERT_EQ(host.arrived.size(), 1u);
	EXPECT_EQ(arrived_body(host.arrived[0]), up);
	EXPECT_EQ(host.arrived[0]->body_follows, 0u);
	host.send_response(7, down);
	host.deliver_all();
	ASSERT_EQ(entry.arrived.size(), 1u);
	EXPECT_EQ(arrived_body(entry.arrived[0]), down);
	EXPECT_EQ(entry.arrived[0]->u.reply.status, 200);
}

TEST_F(Pieces, BodiesTakeTurnsAndWaitForRoom)
{
	entry.room = 0;
	entry.send_request(1, body_text(4 * PIECE_BYTES, 1));
	entry.send_request(2, body_text(2 * PIECE_BYTES, 2));
	entry.deliver_all();
	EXPECT_EQ(host.arrived.size(), 0u);
	entry.room = 4;
	pieces_push(entry.p, NOW_US);
	entry.deliver_all();
	ASSERT_EQ(host.arrived.size(), 1u);
	EXPECT_EQ(host.arrived[0]->seq, 2u);
	entry.room = 2;
	pieces_push(entry.p, NOW_US);
	entry.deliver_all();
	EXPECT_EQ(host.arrived.size(), 2u);
}

TEST_F(Pieces, TheTimeOfArrivalIsTakenOffTheDeadline)
{
	entry.send_request(1, body_text(2 * PIECE_BYTES, 1));
	ASSERT_TRUE(entry.deliver());
	ASSERT_TRUE(entry.deliver(NOW_US + 100 * MSEC_US));
	ASSERT_TRUE(entry.deliver(NOW_US + 700 * MSEC_US));
	ASSERT_EQ(host.arrived.size(), 1u);
	EXPECT_EQ(host.arrived[0]->u.forward.context.deadline_ms, 4300u);
	EXPECT_EQ(host.arrived[0]->u.forward.context.goal_ms, 0u);
}

TEST_F(Pieces, ACancelledRequestNeverArrives)
{
	entry.room = 2;
	entry.send_request(1, body_text(4 * PIECE_BYTES, 1));
	entry.send_cancel(1);
	entry.room = 10;
	pieces_push(entry.p, NOW_US);
	entry.deliver_all();
	EXPECT_EQ(host.cancelled, 1);
	ASSERT_EQ(host.arrived.size(), 1u);
	EXPECT_EQ(host.arrived[0]->kind, MSG_CANCEL);
	EXPECT_EQ(account_state(host.memory)->held, 0u);
}

TEST_F(Pieces, ACancelStopsTheResponse)
{
	host.room = 2;
	host.send_response(1, body_text(4 * PIECE_BYTES, 1));
	host.deliver_all();
	entry.send_cancel(1);
	entry.deliver_all();
	host.room = 10;
	pieces_push(host.p, NOW_US);
	EXPECT_TRUE(host.wire.empty());
	EXPECT_EQ(entry.arrived.size(), 0u);
	EXPECT_EQ(account_state(entry.memory)->held, 0u);
	EXPECT_EQ(account_state(host.memory)->held, 0u);
}

TEST_F(Pieces, ARequestThatGivesWayIsRefusedAsNotRun)
{
	struct msg *m;

	entry.room = 2;
	entry.send_request(1, body_text(4 * PIECE_BYTES, 1));
	entry.deliver_all();
	account_set_limit(host.memory, 1000, 0);
	account_make_room(host.memory, nullptr, NOW_US);
	EXPECT_EQ(account_state(host.memory)->gave_way[HOLDER_ARRIVING], 1u);
	host.deliver_all();
	ASSERT_EQ(entry.arrived.size(), 1u);
	m = entry.arrived[0];
	EXPECT_EQ(m->kind, MSG_REPLY);
	EXPECT_EQ(m->u.reply.failure.verdict, VERDICT_NOT_RUN);
	EXPECT_EQ(m->u.reply.allowance, 3u);
	EXPECT_FALSE(m->u.reply.may_have_reached_target);
	/* The rest is not sent any more, and what was is ignored. */
	entry.room = 10;
	pieces_push(entry.p, NOW_US);
	EXPECT_TRUE(entry.wire.empty());
	EXPECT_EQ(host.arrived.size(), 0u);
}

TEST_F(Pieces, AResponseThatGivesWayWhereItArrivesIsLost)
{
	host.room = 2;
	host.send_response(1, body_text(4 * PIECE_BYTES, 1));
	host.deliver_all();
	account_set_limit(entry.memory, 1000, 0);
	account_make_room(entry.memory, nullptr, NOW_US);
	ASSERT_EQ(entry.arrived.size(), 1u);
	EXPECT_EQ(entry.arrived[0]->u.reply.failure.verdict, VERDICT_RAN);
	EXPECT_EQ(entry.arrived[0]->u.reply.body.len, 0u);
	/* The other end hears of it and stops. */
	entry.deliver_all();
	host.room = 10;
	pieces_push(host.p, NOW_US);
	EXPECT_TRUE(host.wire.empty());
}

TEST_F(Pieces, AResponseThatGivesWayWhereItIsSentIsLost)
{
	host.room = 2;
	host.send_response(1, body_text(4 * PIECE_BYTES, 1));
	host.deliver_all();
	account_set_limit(host.memory, 1000, 0);
	account_make_room(host.memory, nullptr, NOW_US);
	host.deliver_all();
	ASSERT_EQ(entry.arrived.size(), 1u);
	EXPECT_EQ(entry.arrived[0]->u.reply.failure.reason, REASON_ANSWER_GONE);
	EXPECT_EQ(entry.arrived[0]->u.reply.failure.verdict, VERDICT_RAN);
}

TEST_F(Pieces, MoreThanWasAnnouncedIsAnError)
{
	struct buffer buf = {};

	entry.room = 1;
	entry.send_request(1, body_text(PIECE_BYTES + 10, 1));
	entry.deliver_all();
	frame_encode_piece(1, false, body_text(11, 1).data(), 11, &buf);
	entry.put(&buf);
	EXPECT_FALSE(entry.deliver());
}

TEST_F(Pieces, ASecondMessageWithItsNumberIsAnError)
{
	entry.room = 1;
	entry.send_request(1, body_text(PIECE_BYTES + 10, 1));
	entry.deliver_all();
	entry.send_request(1, body_text(PIECE_BYTES + 10, 1));
	EXPECT_FALSE(entry.deliver());
}

TEST_F(Pieces, PiecesThatNobodyWaitsForAreIgnored)
{
	struct buffer buf = {};

	frame_encode_piece(9, true, "x", 1, &buf);
	host.put(&buf);
	frame_encode_piece(9, false, nullptr, 0, &buf);
	host.put(&buf);
	host.deliver_all();
	EXPECT_EQ(entry.arrived.size(), 0u);
}

/* Whatever the order of events, a body arrives whole or not at all. */
TEST_F(Pieces, NothingArrivesInPartUnderSeededSteps)
{
	std::mt19937 rng(38);
	std::vector<size_t> sizes(1);
	uint64_t seq = 0, one;
	int step, whole = 0;

	for (step = 0; step < 20000; step++) {
		switch (rng() % 8) {
		case 0:
			sizes.push_back(PIECE_BYTES + 1 + rng() % 200000);
			seq++;
			entry.send_request(
			    seq, body_text(sizes[seq], (unsigned int)seq));
			break;
		case 1:
			sizes.push_back(PIECE_BYTES + 1 + rng() % 200000);
			seq++;
			host.send_response(
			    seq, body_text(sizes[seq], (unsigned int)seq));
			break;
		case 2:
			one = seq - rng() % 5;
			if (seq > 5)
				entry.send_cancel(one);
			break;
		case 3:
			if (rng() % 10 != 0)
				break;
			account_set_limit(host.memory, 1 << 18, 0);
			account_make_room(host.memory, nullptr, NOW_US);
			account_set_limit(host.memory, 100 << 20, 0);
			break;
		case 4:
			if (rng() % 10 != 0)
				break;
			account_set_limit(entry.memory, 1 << 18, 0);
			account_make_room(entry.memory, nullptr, NOW_US);
			account_set_limit(entry.memory, 100 << 20, 0);
			break;
		}
		entry.room = (int)(rng() % 4);
		host.room = (int)(rng() % 4);
		pieces_push(entry.p, NOW_US);
		pieces_push(host.p, NOW_US);
		for (End *e : {&entry, &host}) {
			if (rng() % 2 == 0 || e->wire.empty())
				continue;
			ASSERT_TRUE(e->deliver());
		}
		for (End *e : {&entry, &host}) {
			for (struct msg *m : e->arrived) {
				if (m->kind == MSG_CANCEL ||
				    (m->kind == MSG_REPLY &&
					m->u.reply.failure.reason !=
					    REASON_NONE))
					continue;
				ASSERT_EQ(
				    arrived_body(m), body_text(sizes[m->seq],
							 (unsigned int)m->seq));
				whole++;
			}
			e->clear();
		}
	}
	EXPECT_GT(whole, 100);
}
