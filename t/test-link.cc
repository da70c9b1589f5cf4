/*
 * Links between daemons, over loopback sockets.  The peer accepts connections
 * and never completes the handshake on them, but opens a link of its own.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <arpa/inet.h>
#include <sodium.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

extern "C" {
#include "daemon/daemon.h"
#include "wire/frame.h"
}

namespace {

const uint16_t PORT = 19870;

/* The messages from the link task to the core, in order. */
struct ReceivedMessages {
	std::vector<enum msg_kind> kinds;
	std::vector<bool> may_have_sent, unsent_reported;
	std::vector<uint64_t> seqs;
	std::vector<enum verdict> verdicts; /* of failures */
};

void
record_message(void *state, struct msg *m)
{
	ReceivedMessages *received = static_cast<ReceivedMessages *>(state);

	received->kinds.push_back(m->kind);
	received->may_have_sent.push_back(m->may_have_sent);
	received->unsent_reported.push_back(m->unsent_reported);
	received->seqs.push_back(m->seq);
	if (m->kind == MSG_REPLY)
		received->verdicts.push_back(m->u.reply.failure.verdict);
	msg_destroy(m);
}

void
ignore_destroy(void *state)
{
	(void)state;
}

const struct task_ops recorder_ops = {record_message, ignore_destroy};

struct sockaddr_in
loopback_addr(uint16_t port)
{
	struct sockaddr_in sin = {};

	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(LOOPBACK_IP);
	sin.sin_port = htons(port);
	return sin;
}

/* Count the MSG_FORWARD frames, up to the first one that does not decode. */
int
count_forwards(const char *data, ssize_t len)
{
	const uint8_t *p = reinterpret_cast<const uint8_t *>(data);
	size_t left = len > 0 ? (size_t)len : 0, used;
	struct msg *m;
	int n = 0;

	while (left >= FRAME_LENGTH_BYTES) {
		if ((p[0] | p[1] | p[2] | p[3]) == 0) {
			used = FRAME_LENGTH_BYTES;
		} else {
			if (frame_decode(p, left, &m, &used) != FRAME_OK)
				break;
			n += m->kind == MSG_FORWARD;
			msg_destroy(m);
		}
		p += used;
		left -= used;
	}
	return n;
}

class Link : public testing::Test {
      protected:
	void
	SetUp() override
	{
		struct sockaddr_in sin = loopback_addr(PORT + 1);
		int on = 1;

		ASSERT_GE(sodium_init(), 0);
		settings = settings_create();
		settings->link = {LOOPBACK_IP, PORT};
		settings->max_links = 10;
		d.base = event_base_new();
		d.settings = settings;
		d.decide =
		    task_create(d.base, "seen", &recorder_ops, &received);
		d.link = link_task_create(&d);
		ASSERT_NE(d.link, nullptr);
		/* The peer's port accepts connections and sends nothing. */
		silent_listener = socket(AF_INET, SOCK_STREAM, 0);
		setsockopt(
		    silent_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		ASSERT_EQ(
		    bind(silent_listener, (struct sockaddr *)&sin, sizeof(sin)),
		    0);
		ASSERT_EQ(listen(silent_listener, 8), 0);
	}
	void
	TearDown() override
	{
		task_destroy(d.link);
		task_destroy(d.decide);
		event_base_free(d.base);
		settings_destroy(settings);
		close(silent_listener);
	}
	void
	run_ms(int ms)
	{
		struct timeval tv = {ms / 1000, (ms % 1000) * 1000};

		event_base_loopexit(d.base, &tv);
		event_base_dispatch(d.base);
	}
	void
	send_forward(size_t body_len = 0)
	{
		struct msg *m = msg_create(MSG_FORWARD);
		const std::string body(body_len, 'x');

		m->peer = {LOOPBACK_IP, PORT + 1};
		m->seq = 1;
		m->u.forward.context.deadline_ms = 5000;
		if (body_len > 0)
			buffer_set(&m->u.forward.request.body, body.data(),
			    body.size());
		task_send(d.link, m);
	}
	/* Read one handshake frame; the loop runs while it waits. */
	struct handshake
	read_handshake(int fd)
	{
		std::vector<uint8_t> got;
		struct handshake h = {};
		size_t used;
		uint8_t byte;

		while (got.size() < 1000) {
			if (recv(fd, &byte, 1, MSG_DONTWAIT) != 1) {
				run_ms(5);
				continue;
			}
			got.push_back(byte);
			if (frame_decode_handshake(
				got.data(), got.size(), &h, &used) == FRAME_OK)
				break;
		}
		return h;
	}
	void
	write_handshake(int fd, const struct handshake &h)
	{
		struct buffer buf = {};

		frame_encode_handshake(&h, &buf);
		ASSERT_EQ(write(fd, buf.data, buf.len), (ssize_t)buf.len);
		buffer_release(&buf);
	}
	/*
	 * Open a link to the daemon as the peer does.  The proof is made with
	 * the daemon's key, which is all zeroes here.
	 */
	int
	link_as_peer(uint32_t idle_silence_ms = 0, uint32_t piece_bytes = 0)
	{
		struct handshake hello = {}, theirs, proof = {};
		struct sockaddr_in sin = loopback_addr(PORT);
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		uint8_t addr_bytes[7] = {
		    1, 127, 0, 0, 1, (PORT + 1) >> 8, (PORT + 1) & 255};
		crypto_generichash_state st;

		connect(fd, (struct sockaddr *)&sin, sizeof(sin));
		hello.is_hello = true;
		hello.addr = {LOOPBACK_IP, PORT + 1};
		hello.nonce[0] = 7;
		hello.idle_silence_ms = idle_silence_ms;
		hello.piece_bytes = piece_bytes;
		write_handshake(fd, hello);
		theirs = read_handshake(fd);
		crypto_generichash_init(
		    &st, d.link_key, sizeof(d.link_key), FRAME_MAC_LEN);
		crypto_generichash_update(&st, addr_bytes, sizeof(addr_bytes));
		crypto_generichash_update(&st, hello.nonce, FRAME_NONCE_LEN);
		crypto_generichash_update(&st, theirs.nonce, FRAME_NONCE_LEN);
		crypto_generichash_final(&st, proof.mac, FRAME_MAC_LEN);
		write_handshake(fd, proof);
		read_handshake(fd);
		return fd;
	}

	/*
	 * Read the frames that come within some time, keepalives left out.  The
	 * caller destroys the messages.
	 */
	std::vector<struct msg *>
	read_frames(int fd, int ms)
	{
		std::vector<struct msg *> list;
		std::string got;
		char buf[65536];
		struct msg *m;
		size_t used;
		ssize_t n;

		for (; ms > 0; ms -= 5) {
			run_ms(5);
			while (
			    (n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
				got.append(buf, (size_t)n);
		}
		while (got.size() >= FRAME_LENGTH_BYTES) {
			if (got.compare(0, 4, std::string(4, '\0')) == 0) {
				got.erase(0, 4);
				continue;
			}
			if (frame_decode(
				reinterpret_cast<const uint8_t *>(got.data()),
				got.size(), &m, &used) != FRAME_OK)
				break;
			list.push_back(m);
			got.erase(0, used);
		}
		return list;
	}

	struct daemon d = {};
	struct settings *settings;
	ReceivedMessages received;
	int silent_listener;
};

} // namespace

TEST_F(Link, ReportsTriesThatWereNeverSent)
{
	send_forward();
	run_ms(1500);
	ASSERT_EQ(received.kinds,
	    (std::vector<enum msg_kind>{MSG_LINK_DOWN, MSG_LINK_DOWN}));
	/* The unsent try by its seq, then the link, without a seq. */
	EXPECT_EQ(received.seqs, (std::vector<uint64_t>{1, 0}));
	EXPECT_FALSE(received.may_have_sent[0]);
	EXPECT_FALSE(received.may_have_sent[1]);
	EXPECT_TRUE(received.unsent_reported[1]);
}

/*
 * The link that we open fails while the link from the peer carries calls.
 * These may have arrived, so no try may be reported as unsent.
 */
TEST_F(Link, AFailedLinkReportsNothingWhileAnotherIsOpen)
{
	char buf[4096];
	int fd;

	send_forward();
	fd = link_as_peer();
	/* Empty frames keep the peer's link open. */
	for (int i = 0; i < 8; i++) {
		const uint8_t empty[FRAME_LENGTH_BYTES] = {};

		run_ms(200);
		ASSERT_EQ(write(fd, empty, sizeof(empty)), FRAME_LENGTH_BYTES);
	}
	EXPECT_TRUE(received.kinds.empty());
	/* The call was sent over the peer's link. */
	EXPECT_EQ(
	    count_forwards(buf, recv(fd, buf, sizeof(buf), MSG_DONTWAIT)), 1);
	close(fd);
	run_ms(50);
	ASSERT_EQ(received.kinds, std::vector<enum msg_kind>{MSG_LINK_DOWN});
	EXPECT_TRUE(received.may_have_sent[0]);
}

/* Without calls a silent link is down within two seconds. */
TEST_F(Link, ASilentLinkIsReportedAsDown)
{
	int fd = link_as_peer();

	run_ms(2000);
	ASSERT_EQ(received.kinds, std::vector<enum msg_kind>{MSG_LINK_DOWN});
	EXPECT_TRUE(received.may_have_sent[0]);
	close(fd);
}

/* The silence counts from the call if the link had none before. */
TEST_F(Link, ASilentLinkWithACallIsReportedAsDownSooner)
{
	int fd = link_as_peer();

	run_ms(500);
	send_forward();
	run_ms(700);
	EXPECT_TRUE(received.kinds.empty());
	run_ms(600);
	ASSERT_EQ(received.kinds, std::vector<enum msg_kind>{MSG_LINK_DOWN});
	EXPECT_TRUE(received.may_have_sent[0]);
	close(fd);
}

/*
 * A message is not sent over a link that missed its keepalive.  The peer does
 * not answer on the new link either, so the try is known to be unsent.
 */
TEST_F(Link, ACallIsNotSentOverADoubtfulLink)
{
	char buf[4096];
	int fd = link_as_peer();

	run_ms(1300);
	send_forward();
	run_ms(1300);
	ASSERT_GE(received.kinds.size(), 2u);
	EXPECT_EQ(
	    count_forwards(buf, recv(fd, buf, sizeof(buf), MSG_DONTWAIT)), 0);
	EXPECT_EQ(
	    std::count(received.seqs.begin(), received.seqs.end(), 1u), 1);
	close(fd);
}

/* A daemon with nothing to send keeps its links open without many frames. */
TEST_F(Link, AnIdleLinkCarriesFewKeepalives)
{
	uint8_t buf[4096];
	size_t bytes = 0;
	int fd = link_as_peer(2000);

	for (int i = 0; i < 10; i++) {
		const uint8_t empty[FRAME_LENGTH_BYTES] = {};
		ssize_t n;

		ASSERT_EQ(write(fd, empty, sizeof(empty)), FRAME_LENGTH_BYTES);
		run_ms(300);
		n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
		bytes += n > 0 ? (size_t)n : 0;
	}
	EXPECT_TRUE(received.kinds.empty());
	EXPECT_GE(bytes, 2 * FRAME_LENGTH_BYTES);
	EXPECT_LE(bytes, 5 * FRAME_LENGTH_BYTES);
	close(fd);
}

/* An earlier version of the daemon takes a silent link for lost sooner. */
TEST_F(Link, APeerThatBearsNoSilenceGetsKeepalivesOften)
{
	uint8_t buf[4096];
	size_t bytes = 0;
	int fd = link_as_peer();

	for (int i = 0; i < 10; i++) {
		const uint8_t empty[FRAME_LENGTH_BYTES] = {};
		ssize_t n;

		ASSERT_EQ(write(fd, empty, sizeof(empty)), FRAME_LENGTH_BYTES);
		run_ms(200);
		n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
		bytes += n > 0 ? (size_t)n : 0;
	}
	EXPECT_GE(bytes, 5 * FRAME_LENGTH_BYTES);
	close(fd);
}

/* The end of a link while another one to the peer is open changes nothing. */
TEST_F(Link, OneOfTwoLinksMayClose)
{
	int first = link_as_peer(), second = link_as_peer();

	close(first);
	run_ms(100);
	EXPECT_TRUE(received.kinds.empty());
	close(second);
	run_ms(100);
	ASSERT_EQ(received.kinds, std::vector<enum msg_kind>{MSG_LINK_DOWN});
	EXPECT_TRUE(received.may_have_sent[0]);
}

/* The length of a frame may arrive in pieces, and the frame never end. */
TEST_F(Link, AFrameWithoutEndClosesTheLink)
{
	const uint8_t length[] = {0x7f, 0xff, 0xff, 0xff};
	const std::vector<uint8_t> rest(65536);
	int fd = link_as_peer();
	size_t sent = 0;
	bool closed = false;

	for (uint8_t byte : length) {
		ASSERT_EQ(write(fd, &byte, 1), 1);
		run_ms(10);
	}
	while (!closed && sent < (64u << 20)) {
		ssize_t n = send(
		    fd, rest.data(), rest.size(), MSG_DONTWAIT | MSG_NOSIGNAL);

		closed = n < 0 && errno != EAGAIN;
		sent += n > 0 ? (size_t)n : 0;
		run_ms(2);
	}
	EXPECT_TRUE(closed);
	EXPECT_LT(sent, 16u << 20);
	EXPECT_EQ(received.kinds, std::vector<enum msg_kind>{MSG_LINK_DOWN});
	close(fd);
}

TEST_F(Link, ALongBodyFollowsInPieces)
{
	int fd = link_as_peer(0, 65536);
	size_t got = 0;

	run_ms(20);
	send_forward(300000);
	auto frames = read_frames(fd, 200);
	ASSERT_EQ(frames.size(), 6u);
	EXPECT_EQ(frames[0]->kind, MSG_FORWARD);
	EXPECT_EQ(frames[0]->body_follows, 300000u);
	EXPECT_EQ(frames[0]->u.forward.request.body.len, 0u);
	for (struct msg *m : frames) {
		got += m->kind == MSG_PIECE ? m->u.piece.data.len : 0;
		msg_destroy(m);
	}
	EXPECT_EQ(got, 300000u);
	close(fd);
}

/*
 * A peer's request that is refused while it arrives no longer counts as one in
 * progress, during which a peer may not be silent for long.
 */
TEST_F(Link, ARequestThatGivesWayIsNoLongerInProgress)
{
	struct account *memory = account_create(1 << 20, 0, nullptr, nullptr);
	struct buffer buf = {};
	struct msg *m = msg_create(MSG_FORWARD);
	int fd, replies = 0;

	task_destroy(d.link);
	d.memory = memory;
	d.link = link_task_create(&d);
	fd = link_as_peer(1700, 65536);
	m->seq = 5;
	m->body_follows = 100000;
	m->u.forward.context.deadline_ms = 60000;
	frame_encode(m, &buf);
	msg_destroy(m);
	ASSERT_EQ(write(fd, buf.data, buf.len), (ssize_t)buf.len);
	run_ms(50);
	frame_encode_piece(
	    5, false, std::string(50000, 'x').data(), 50000, &buf);
	ASSERT_EQ(write(fd, buf.data, buf.len), (ssize_t)buf.len);
	run_ms(50);
	account_set_limit(memory, account_state(memory)->held - 1, 0);
	account_make_room(memory, nullptr, daemon_now().mono_us);
	EXPECT_EQ(account_state(memory)->gave_way[HOLDER_ARRIVING], 1u);
	account_set_limit(memory, 1 << 20, 0);
	for (struct msg *r : read_frames(fd, 100)) {
		replies += r->kind == MSG_REPLY && r->seq == 5;
		msg_destroy(r);
	}
	EXPECT_EQ(replies, 1);
	/* With a call in progress the silent peer would count as lost. */
	run_ms(1100);
	EXPECT_TRUE(received.kinds.empty());
	buffer_release(&buf);
	close(fd);
	task_destroy(d.link);
	d.memory = nullptr;
	d.link = link_task_create(&d);
	account_destroy(memory);
}

/* A daemon of an earlier version would run the request without its body. */
TEST_F(Link, APeerThatTakesNoPiecesGetsTheWholeBody)
{
	int fd = link_as_peer();

	run_ms(20);
	send_forward(300000);
	auto frames = read_frames(fd, 200);
	ASSERT_EQ(frames.size(), 1u);
	EXPECT_EQ(frames[0]->u.forward.request.body.len, 300000u);
	EXPECT_EQ(frames[0]->body_follows, 0u);
	msg_destroy(frames[0]);
	close(fd);
}

TEST_F(Link, ABodyTooLongForSuchAPeerIsRefusedAtOnce)
{
	int fd = link_as_peer();

	run_ms(20);
	send_forward(5 << 20);
	EXPECT_TRUE(read_frames(fd, 50).empty());
	ASSERT_EQ(received.kinds, std::vector<enum msg_kind>{MSG_REPLY});
	EXPECT_EQ(received.seqs[0], 1u);
	EXPECT_EQ(received.verdicts[0], VERDICT_NOT_RUN);
	close(fd);
}

/* A planned stop must not cut a response that is sent in pieces. */
TEST_F(Link, IsNotFlushedWhileABodyIsSent)
{
	int fd = link_as_peer(0, 65536);
	struct msg *m = msg_create(MSG_FLUSH);

	run_ms(20);
	send_forward(32 << 20);
	run_ms(20);
	m->seq = 9;
	task_send(d.link, m);
	run_ms(100);
	EXPECT_TRUE(received.kinds.empty());
	for (struct msg *f : read_frames(fd, 1500))
		msg_destroy(f);
	/* The peer, which sends nothing, may count as silent by then. */
	ASSERT_GE(received.kinds.size(), 1u);
	EXPECT_EQ(received.kinds[0], MSG_FLUSHED);
	EXPECT_EQ(received.seqs[0], 9u);
	close(fd);
}
