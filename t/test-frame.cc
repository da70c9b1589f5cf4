/*
 * Tests that every kind of message that daemons exchange is the same after
 * encoding and decoding, that malformed frames are rejected, and that corrupted
 * ones yield no value that the core would use as an index or a rate.
 */
#include <gtest/gtest.h>
#include <string>
#include <vector>

extern "C" {
#include "core/hash.h"
#include "wire/frame.h"
#include "wire/link.pb-c.h"
}

namespace {

std::vector<uint8_t>
encode(struct msg *m)
{
	struct buffer b = {};
	std::vector<uint8_t> v;

	frame_encode(m, &b);
	v.assign(b.data, b.data + b.len);
	buffer_release(&b);
	return v;
}

struct msg *
decode(const std::vector<uint8_t> &v, enum frame_status *status = nullptr)
{
	struct msg *m = nullptr;
	size_t used = 0;
	enum frame_status s = frame_decode(v.data(), v.size(), &m, &used);

	if (status != nullptr)
		*status = s;
	if (s == FRAME_OK) {
		EXPECT_EQ(used, v.size());
	}
	return m;
}

const enum msg_kind KINDS[] = {MSG_FORWARD, MSG_REPLY, MSG_CANCEL, MSG_ASK_FATE,
    MSG_FATE, MSG_MEMBERS_ASK, MSG_MEMBERS, MSG_HANDOVER, MSG_CONFIG_ASK,
    MSG_CONFIG, MSG_SHARE_ASK, MSG_SHARE};

struct msg *
sample_message(enum msg_kind kind)
{
	struct msg *m = msg_create(kind);

	m->seq = 7;
	switch (kind) {
	case MSG_FORWARD:
		name_copy(m->u.forward.service, "orders", NAME_LEN);
		name_copy(m->u.forward.id, "1-a-b", ID_LEN);
		name_copy(m->u.forward.request.path, "/x", PATH_LEN);
		buffer_set(&m->u.forward.request.body, "a\0b", 3);
		m->u.forward.context.tree_id = 99;
		m->u.forward.context.importance = IMPORTANCE_HIGH;
		break;
	case MSG_REPLY:
		m->u.reply.status = 200;
		m->u.reply.failure =
		    failure_make(VERDICT_RAN, REASON_ANSWER_GONE);
		buffer_set(&m->u.reply.body, "whole", 5);
		break;
	case MSG_MEMBERS:
		m->u.members.count = 2;
		m->u.members.records = static_cast<struct member_record *>(
		    xcalloc(2, sizeof(struct member_record)));
		m->u.members.records[1].addr = {5, 6};
		m->u.members.records[1].start = 7;
		m->u.members.records[1].start_ended = true;
		break;
	case MSG_CONFIG:
		m->u.config.redirect = {1, 2};
		m->u.config.incarnation = 3;
		buffer_set(&m->u.config.text, "text", 4);
		break;
	case MSG_SHARE:
	case MSG_SHARE_ASK:
		m->u.share.count = 1;
		m->u.share.items[0].rate = 1.5;
		name_copy(m->u.share.items[0].org, "o", NAME_LEN);
		break;
	default:
		break;
	}
	return m;
}

} // namespace

TEST(Frame, EveryKindRoundTrips)
{
	for (enum msg_kind kind : KINDS) {
		struct msg *m = sample_message(kind), *decoded;
		std::vector<uint8_t> v = encode(m);

		decoded = decode(v);
		ASSERT_NE(decoded, nullptr) << msg_kind_name(kind);
		EXPECT_EQ(decoded->kind, kind);
		EXPECT_EQ(decoded->seq, 7u);
		EXPECT_EQ(encode(decoded), v);
		msg_destroy(m);
		msg_destroy(decoded);
	}
}

/* Without its revision, a configuration counts as older than any other. */
TEST(Frame, ConfigurationKeepsItsOrder)
{
	for (enum msg_kind kind : {MSG_CONFIG_ASK, MSG_CONFIG}) {
		struct msg *m = sample_message(kind), *decoded;
		const struct config *c;

		m->u.config.revision = UINT64_C(1) << 53;
		m->u.config.version = UINT64_C(3) << 40 | 9;
		m->u.config.digest = UINT64_MAX - 1;
		decoded = decode(encode(m));
		ASSERT_NE(decoded, nullptr);
		c = &decoded->u.config;
		EXPECT_EQ(c->revision, UINT64_C(1) << 53);
		EXPECT_EQ(c->version, UINT64_C(3) << 40 | 9);
		EXPECT_EQ(c->digest, UINT64_MAX - 1);
		msg_destroy(m);
		msg_destroy(decoded);
	}
}

/* An earlier version would take an era in the version for a later version. */
TEST(Frame, APositionIsSentAsItsVersionAndItsEra)
{
	for (enum msg_kind kind : {MSG_CONFIG_ASK, MSG_CONFIG, MSG_SHARE_ASK}) {
		struct msg *m = sample_message(kind);
		std::vector<uint8_t> bytes;
		Link__Frame *f;

		if (kind == MSG_SHARE_ASK) {
			m->u.share.epoch = UINT64_C(2) << 40 | 5;
		} else {
			m->u.config.version = UINT64_C(3) << 40 | 9;
			m->u.config.epoch = UINT64_C(2) << 40 | 5;
		}
		bytes = encode(m);
		f = link__frame__unpack(
		    nullptr, bytes.size() - 4, bytes.data() + 4);
		ASSERT_NE(f, nullptr);
		if (kind == MSG_SHARE_ASK) {
			EXPECT_EQ(f->share_ask->epoch, 5u);
			EXPECT_EQ(f->share_ask->epoch_era, 2u);
		} else {
			Link__Config *c =
			    kind == MSG_CONFIG ? f->config : f->config_ask;

			EXPECT_EQ(c->version, 9u);
			EXPECT_EQ(c->version_era, 3u);
			EXPECT_EQ(c->epoch, 5u);
			EXPECT_EQ(c->epoch_era, 2u);
		}
		link__frame__free_unpacked(f, nullptr);
		msg_destroy(m);
	}
}

TEST(Frame, IncompleteTooLongAndMalformedFramesAreRejected)
{
	struct msg *m = sample_message(MSG_FORWARD);
	std::vector<uint8_t> v = encode(m);
	std::vector<uint8_t> truncated(v.begin(), v.end() - 1);
	enum frame_status status;

	EXPECT_EQ(decode(truncated, &status), nullptr);
	EXPECT_EQ(status, FRAME_INCOMPLETE);
	EXPECT_EQ(decode({255, 255, 255, 255}, &status), nullptr);
	EXPECT_EQ(status, FRAME_TOO_LONG);
	EXPECT_EQ(decode({0, 0, 0, 1, 255}, &status), nullptr);
	EXPECT_EQ(status, FRAME_MALFORMED);
	EXPECT_EQ(decode({0, 0, 0, 0}, &status), nullptr);
	EXPECT_EQ(status, FRAME_MALFORMED);
	msg_destroy(m);
}

TEST(Frame, CorruptedFramesYieldNoValueOutOfRange)
{
	uint64_t rng = 42;
	int round, i;

	for (round = 0; round < 20000; round++) {
		struct msg *m = sample_message(KINDS[rng_below(&rng, 12)]),
			   *decoded;
		std::vector<uint8_t> v = encode(m);
		enum frame_status status;
		int ncorrupted = 1 + static_cast<int>(rng_below(&rng, 6));

		msg_destroy(m);
		for (i = 0; i < ncorrupted; i++)
			v[FRAME_LENGTH_BYTES +
			    rng_below(&rng, v.size() - FRAME_LENGTH_BYTES)] =
			    static_cast<uint8_t>(rng_next(&rng));
		decoded = decode(v, &status);
		if (decoded == nullptr)
			continue;
		if (decoded->kind == MSG_REPLY) {
			EXPECT_LT(
			    decoded->u.reply.failure.reason, REASON_COUNT);
		} else if (decoded->kind == MSG_SHARE) {
			EXPECT_GE(decoded->u.share.items[0].rate, 0);
		}
		msg_destroy(decoded);
	}
}

namespace {

/* A reply with a target's response, encoded and decoded. */
struct msg *
decoded_response(int status, const std::string &headers)
{
	struct msg *m = msg_create(MSG_REPLY), *decoded;

	m->u.reply.status = status;
	m->u.reply.may_have_reached_target = true;
	m->u.reply.load_permille = 5;
	buffer_set(&m->u.reply.headers, headers.data(), headers.size());
	buffer_set(&m->u.reply.body, "whole", 5);
	decoded = decode(encode(m));
	msg_destroy(m);
	return decoded;
}

} // namespace

/*
 * Guards against a peer, such as one of an earlier version, that passes on what
 * is no response.  Other calls use the same link, so it stays open.
 */
TEST(Frame, AReplyThatIsNoResponseIsAFailure)
{
	const struct {
		int status;
		std::string headers;
	} bad[] = {{0, ""}, {100, ""}, {199, ""}, {600, ""}, {999, ""},
	    {200, "A b: c\r\n"}, {200, "A\001: c\r\n"}, {200, ": c\r\n"},
	    {200, "A: \001\r\n"}, {200, "A: b\r\n c\r\n"}, {200, "A: b\n"},
	    {200, "A: b"}, {200, "A: b\r\n\r\n"}, {200, "\r\n"}, {200, "A\r\n"},
	    {200, "A: b\r\n\r\nHTTP/1.1 200 OK\r\n"},
	    {200, std::string("A: \0\r\n", 6)}};

	for (const auto &b : bad) {
		struct msg *m = decoded_response(b.status, b.headers);
		const struct reply *r;

		ASSERT_NE(m, nullptr);
		r = &m->u.reply;
		EXPECT_EQ(r->status, 0) << b.status << b.headers;
		EXPECT_EQ(r->failure.verdict, VERDICT_MAY_HAVE_RUN);
		EXPECT_EQ(r->failure.reason, REASON_TARGET_FAILED);
		EXPECT_EQ(r->headers.len, 0u);
		EXPECT_EQ(r->body.len, 0u);
		EXPECT_TRUE(r->may_have_reached_target);
		EXPECT_EQ(r->load_permille, 5u);
		msg_destroy(m);
	}
	for (const char *headers :
	    {"", "A: b\r\n", "A:\r\nB: \xc3\xa4 c\r\n"}) {
		for (int status : {200, 204, 404, 500, 599}) {
			struct msg *m = decoded_response(status, headers);

			ASSERT_NE(m, nullptr);
			EXPECT_EQ(m->u.reply.status, status);
			EXPECT_EQ(m->u.reply.failure.reason, REASON_NONE);
			EXPECT_EQ(m->u.reply.body.len, 5u);
			msg_destroy(m);
		}
	}
}

/* An answer that a leaving daemon hands over is not kept if it is none. */
TEST(Frame, OnlyAResponseIsHandedOver)
{
	for (int status : {0, 200}) {
		struct msg *m = msg_create(MSG_HANDOVER), *decoded;

		m->u.handover.has_reply = true;
		m->u.handover.reply.status = status;
		decoded = decode(encode(m));
		ASSERT_NE(decoded, nullptr);
		EXPECT_EQ(decoded->u.handover.has_reply, status == 200);
		msg_destroy(decoded);
		msg_destroy(m);
	}
}

TEST(Frame, HandshakeHelloRoundTrips)
{
	struct handshake h = {}, decoded;
	struct buffer b = {};
	size_t used;

	h.is_hello = true;
	h.addr = {1, 2};
	h.nonce[3] = 9;
	h.idle_silence_ms = 1700;
	frame_encode_handshake(&h, &b);
	ASSERT_EQ(frame_decode_handshake(reinterpret_cast<uint8_t *>(b.data),
		      b.len, &decoded, &used),
	    FRAME_OK);
	EXPECT_TRUE(decoded.is_hello);
	EXPECT_EQ(decoded.nonce[3], 9);
	EXPECT_EQ(decoded.idle_silence_ms, 1700u);
	EXPECT_TRUE(addr_equal(decoded.addr, h.addr));
	buffer_release(&b);
}

/* Counts of calls that no daemon can have are refused, not worked through. */
TEST(Frame, SharesKeepTheirCountsWithinBounds)
{
	for (uint32_t count : {7u, 4000000000u}) {
		for (int field = 0; field < 3; field++) {
			struct msg *m = msg_create(MSG_SHARE), *decoded;
			struct share_item *item = &m->u.share.items[0];
			enum frame_status status;

			m->u.share.count = 1;
			name_copy(item->org, "brno", sizeof(item->org));
			item->waiting_calls = field == 0 ? count : 1;
			item->fetched_tokens = field == 1 ? count : 2;
			item->recalled_tokens = field == 2 ? count : 3;
			decoded = decode(encode(m), &status);
			EXPECT_EQ(decoded != nullptr, count == 7u) << field;
			EXPECT_TRUE(decoded == nullptr ||
				    memcmp(&decoded->u.share.items[0], item,
					sizeof(*item)) == 0);
			msg_destroy(decoded);
			msg_destroy(m);
		}
	}
}
