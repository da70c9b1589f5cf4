/*
 * Links between daemons, over loopback sockets: a peer that never completes
 * the link that we open, and links to us on its own.
 */
#include <gtest/gtest.h>

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

struct Seen {
	std::vector<enum msg_kind> kinds;
	std::vector<bool> sent, told;
	std::vector<uint64_t> seqs;
};

void
seen_receive(void *state, struct msg *m)
{
	Seen *seen = static_cast<Seen *>(state);

	seen->kinds.push_back(m->kind);
	seen->sent.push_back(m->may_have_sent);
	seen->told.push_back(m->unsent_reported);
	seen->seqs.push_back(m->seq);
	msg_destroy(m);
}

void
seen_destroy(void *state)
{
	(void)state;
}

const struct task_ops seen_ops = {seen_receive, seen_destroy};

struct sockaddr_in
at(uint16_t port)
{
	struct sockaddr_in sin = {};

	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(LOOPBACK_IP);
	sin.sin_port = htons(port);
	return sin;
}

/* Calls among the frames of some bytes. */
int
forwards_in(const char *data, ssize_t len)
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
		struct sockaddr_in sin = at(PORT + 1);
		int on = 1;

		ASSERT_GE(sodium_init(), 0);
		settings = settings_create();
		settings->link = {LOOPBACK_IP, PORT};
		settings->max_links = 10;
		d.base = event_base_new();
		d.settings = settings;
		d.decide = task_create(d.base, "seen", &seen_ops, &seen);
		d.link = link_task_create(&d);
		ASSERT_NE(d.link, nullptr);
		/* The peer's port takes connections and says nothing. */
		mute = socket(AF_INET, SOCK_STREAM, 0);
		setsockopt(mute, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		ASSERT_EQ(bind(mute, (struct sockaddr *)&sin, sizeof(sin)), 0);
		ASSERT_EQ(listen(mute, 8), 0);
	}
	void
	TearDown() override
	{
		task_destroy(d.link);
		task_destroy(d.decide);
		event_base_free(d.base);
		settings_destroy(settings);
		close(mute);
	}
	void
	run_ms(int ms)
	{
		struct timeval tv = {ms / 1000, (ms % 1000) * 1000};

		event_base_loopexit(d.base, &tv);
		event_base_dispatch(d.base);
	}
	void
	send_call()
	{
		struct msg *m = msg_create(MSG_FORWARD);

		m->peer = {LOOPBACK_IP, PORT + 1};
		m->seq = 1;
		task_send(d.link, m);
	}
	/* Read one handshake frame, while the loop runs beside. */
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
		struct buffer buf = {nullptr, 0};

		frame_encode_handshake(&h, &buf);
		ASSERT_EQ(write(fd, buf.data, buf.len), (ssize_t)buf.len);
		buffer_release(&buf);
	}
	/* Link to the daemon as the peer; the secret is all zeroes. */
	int
	link_as_peer()
	{
		struct handshake own = {}, theirs, proof = {};
		struct sockaddr_in sin = at(PORT);
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		uint8_t name[7] = {
		    1, 127, 0, 0, 1, (PORT + 1) >> 8, (PORT + 1) & 255};
		crypto_generichash_state st;

		connect(fd, (struct sockaddr *)&sin, sizeof(sin));
		own.is_hello = true;
		own.addr = {LOOPBACK_IP, PORT + 1};
		own.nonce[0] = 7;
		write_handshake(fd, own);
		theirs = read_handshake(fd);
		crypto_generichash_init(
		    &st, d.link_key, sizeof(d.link_key), FRAME_MAC_LEN);
		crypto_generichash_update(&st, name, sizeof(name));
		crypto_generichash_update(&st, own.nonce, FRAME_NONCE_LEN);
		crypto_generichash_update(&st, theirs.nonce, FRAME_NONCE_LEN);
		crypto_generichash_final(&st, proof.mac, FRAME_MAC_LEN);
		write_handshake(fd, proof);
		read_handshake(fd);
		return fd;
	}

	struct daemon d = {};
	struct settings *settings;
	Seen seen;
	int mute;
};

} // namespace

TEST_F(Link, WhatNeverLeftIsSaidToBeUnsent)
{
	send_call();
	run_ms(1500);
	ASSERT_EQ(seen.kinds,
	    (std::vector<enum msg_kind>{MSG_LINK_DOWN, MSG_LINK_DOWN}));
	/* The try by its number, then the link, which says nothing of others.
	 */
	EXPECT_EQ(seen.seqs, (std::vector<uint64_t>{1, 0}));
	EXPECT_FALSE(seen.sent[0]);
	EXPECT_FALSE(seen.sent[1]);
	EXPECT_TRUE(seen.told[1]);
}

/*
 * The link that we open fails while the peer's own carries calls: those may
 * have arrived, so nothing may be called unsent.
 */
TEST_F(Link, AFailedLinkSaysNothingOfAnOpenOne)
{
	char buf[4096];
	int fd;

	send_call();
	fd = link_as_peer();
	/* Empty frames keep the peer's link open. */
	for (int i = 0; i < 8; i++) {
		const uint8_t empty[FRAME_LENGTH_BYTES] = {};

		run_ms(200);
		ASSERT_EQ(write(fd, empty, sizeof(empty)), FRAME_LENGTH_BYTES);
	}
	EXPECT_TRUE(seen.kinds.empty());
	/* The call went over the link that is open. */
	EXPECT_EQ(
	    forwards_in(buf, recv(fd, buf, sizeof(buf), MSG_DONTWAIT)), 1);
	close(fd);
	run_ms(50);
	ASSERT_EQ(seen.kinds, std::vector<enum msg_kind>{MSG_LINK_DOWN});
	EXPECT_TRUE(seen.sent[0]);
}

TEST_F(Link, ASilentLinkIsLost)
{
	int fd = link_as_peer();

	run_ms(1300);
	ASSERT_EQ(seen.kinds, std::vector<enum msg_kind>{MSG_LINK_DOWN});
	EXPECT_TRUE(seen.sent[0]);
	close(fd);
}
