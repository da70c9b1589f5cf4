/*
 * The HTTP engine against peers that misbehave, over loopback sockets.
 */
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

extern "C" {
#include "daemon/daemon.h"
#include "daemon/http_client.h"
#include "daemon/http_server.h"
}

namespace {

const uint16_t PORT = 19890;

struct sockaddr_in
at(uint16_t port)
{
	struct sockaddr_in sin = {};

	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(LOOPBACK_IP);
	sin.sin_port = htons(port);
	return sin;
}

class Loop : public testing::Test {
      protected:
	void
	SetUp() override
	{
		base = event_base_new();
	}
	void
	TearDown() override
	{
		for (int fd : fds)
			close(fd);
		event_base_free(base);
	}
	void
	run_ms(int ms)
	{
		struct timeval tv = {ms / 1000, (ms % 1000) * 1000};

		event_base_loopexit(base, &tv);
		event_base_dispatch(base);
	}
	/* Run until a condition holds; false if it never does. */
	template <typename F>
	bool
	run_until(F done)
	{
		for (int i = 0; i < 1000; i++) {
			if (done())
				return true;
			run_ms(2);
		}
		return false;
	}
	int
	keep(int fd)
	{
		fds.push_back(fd);
		return fd;
	}
	void
	drop(int fd, bool reset)
	{
		struct linger l = {1, 0};

		if (reset)
			setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
		for (int &f : fds) {
			if (f == fd)
				f = dup(0);
		}
		close(fd);
	}
	void
	put(int fd, const std::string &text)
	{
		ASSERT_EQ(
		    write(fd, text.data(), text.size()), (ssize_t)text.size());
	}
	/* Read until the text ends so, or the peer closes. */
	std::string
	get(int fd, const std::string &end)
	{
		std::string got;
		char buf[4096];

		run_until([&] {
			ssize_t n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);

			if (n > 0)
				got.append(buf, (size_t)n);
			return n == 0 ||
			       (got.size() >= end.size() && !end.empty() &&
				   got.compare(got.size() - end.size(),
				       end.size(), end) == 0);
		});
		return got;
	}

	struct event_base *base;
	std::vector<int> fds;
};

/* Server. */

struct Server : public Loop {
	void
	SetUp() override
	{
		struct http_server_settings set = {
		    {4096, 65536}, 300 * MSEC_US, 600 * MSEC_US, 100};
		static const struct http_server_ops ops = {on_request, on_gone};

		Loop::SetUp();
		server = http_server_create(
		    base, {LOOPBACK_IP, PORT}, &set, &ops, this);
		ASSERT_NE(server, nullptr);
	}
	void
	TearDown() override
	{
		http_server_destroy(server);
		Loop::TearDown();
	}
	static void
	on_request(void *owner, struct http_exchange *ex)
	{
		static_cast<Server *>(owner)->waiting.push_back(ex);
	}
	static void
	on_gone(void *owner, struct http_exchange *ex)
	{
		Server *s = static_cast<Server *>(owner);

		s->gone++;
		for (auto &w : s->waiting)
			w = w == ex ? nullptr : w;
	}
	int
	caller()
	{
		struct sockaddr_in sin = at(PORT);
		int fd = keep(socket(AF_INET, SOCK_STREAM, 0));

		EXPECT_EQ(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
		return fd;
	}
	bool
	wait_for(size_t n)
	{
		return run_until([&] { return waiting.size() >= n; });
	}
	void
	answer(size_t i, const std::string &body, bool close = false)
	{
		struct http_response a = {};

		a.status = 200;
		a.body = body.data();
		a.body_len = body.size();
		a.close = close;
		http_exchange_respond(waiting[i], &a);
	}

	struct http_server *server;
	std::vector<struct http_exchange *> waiting;
	int gone = 0;
};

const std::string GET = "GET /x HTTP/1.1\r\nHost: x\r\n\r\n";

} // namespace

TEST_F(Server, PipelinedRequestsAreAnsweredInTheirOrder)
{
	int fd = caller();
	std::string got;

	put(fd, GET + GET + GET);
	ASSERT_TRUE(wait_for(3));
	answer(2, "three");
	answer(0, "one");
	answer(1, "two");
	got = get(fd, "three");
	EXPECT_LT(got.find("one"), got.find("two"));
	EXPECT_LT(got.find("two"), got.find("three"));
	EXPECT_EQ(gone, 0);
}

TEST_F(Server, NothingIsTakenBehindAnAnswerThatCloses)
{
	int fd = caller();

	put(fd,
	    "GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + GET);
	ASSERT_TRUE(wait_for(1));
	run_ms(20);
	EXPECT_EQ(waiting.size(), 1u);
	answer(0, "one");
	EXPECT_NE(get(fd, "").find("Connection: close"), std::string::npos);
}

TEST_F(Server, ACallerThatLeavesIsNoticedWhileItsRequestWaits)
{
	int fd = caller(), reset = caller();

	put(fd, GET + GET);
	put(reset, GET);
	ASSERT_TRUE(wait_for(3));
	drop(fd, false);
	EXPECT_TRUE(run_until([&] { return gone == 2; }));
	drop(reset, true);
	EXPECT_TRUE(run_until([&] { return gone == 3; }));
}

TEST_F(Server, RefusesWhatItCanNotRead)
{
	const struct {
		std::string text, status;
	} bad[] = {
	    {"nonsense\r\n\r\n", " 400 "},
	    {"POST / HTTP/1.1\r\nContent-Length: 3\r\n"
	     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		" 400 "},
	    {"GET / HTTP/1.1\r\nA: " + std::string(5000, 'x') + "\r\n\r\n",
		" 431 "},
	    {"POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" +
		    std::string(70000, 'x'),
		" 413 "},
	};

	for (const auto &b : bad) {
		int fd = caller();

		put(fd, b.text);
		EXPECT_NE(get(fd, "").find(b.status), std::string::npos);
	}
	EXPECT_TRUE(waiting.empty());
}

TEST_F(Server, SlowAndIdleCallersAreCutOff)
{
	int slow = caller(), idle = caller();

	put(slow, "GET / HT");
	EXPECT_TRUE(run_until(
	    [&] { return http_server_connection_count(server) == 0; }));
	EXPECT_EQ(get(slow, ""), "");
	EXPECT_EQ(get(idle, ""), "");
}

TEST_F(Server, DrainingAnswersCloseTheirConnections)
{
	int fd = caller(), idle = caller();

	put(fd, GET);
	ASSERT_TRUE(wait_for(1));
	http_server_drain(server);
	http_server_stop_accepting(server);
	EXPECT_EQ(get(idle, ""), "");
	answer(0, "one");
	EXPECT_NE(get(fd, "").find("Connection: close"), std::string::npos);
}

/* Client. */

namespace {

struct Client : public Loop {
	void
	SetUp() override
	{
		struct http_client_settings set = {
		    {4096, 65536}, 4, 10 * SEC_US};
		struct sockaddr_in sin = at(PORT);
		int on = 1;

		Loop::SetUp();
		listener =
		    keep(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
		setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		ASSERT_EQ(
		    bind(listener, (struct sockaddr *)&sin, sizeof(sin)), 0);
		ASSERT_EQ(listen(listener, 8), 0);
		client = http_client_create(base, {LOOPBACK_IP, PORT}, &set);
	}
	void
	TearDown() override
	{
		http_client_destroy(client);
		Loop::TearDown();
	}
	static void
	on_done(void *arg, const struct http_result *r)
	{
		Client *c = static_cast<Client *>(arg);

		c->done++;
		c->outcome = r->outcome;
		c->sent = r->may_have_sent;
		c->body =
		    r->response != nullptr && r->response->body != nullptr
			? std::string(r->response->body, r->response->body_len)
			: "";
	}
	static bool
	is_mine(void *arg, const struct http_message *m)
	{
		const char *id = http_message_field(m, "Request-Id");

		return id == nullptr || static_cast<Client *>(arg)->id == id;
	}
	struct http_call *
	send(const std::string &request_id,
	    const std::string &request_body = "",
	    uint64_t timeout_us = 2 * SEC_US)
	{
		struct http_request r = {};

		id = request_id;
		done = 0;
		r.method = "POST";
		r.path = "/x";
		r.headers = "Host: x\r\n";
		r.headers_len = 9;
		r.body = request_body.data();
		r.body_len = request_body.size();
		r.timeout_us = timeout_us;
		r.is_response = is_mine;
		return http_client_send(client, &r, on_done, this);
	}
	/* The next connection, as the target sees it. */
	int
	accepted()
	{
		int fd = -1;

		run_until([&] {
			fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
			return fd >= 0;
		});
		return keep(fd);
	}
	bool
	finished()
	{
		return run_until([&] { return done > 0; });
	}
	bool
	another_connection()
	{
		int fd;

		run_ms(30);
		fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
		if (fd >= 0)
			keep(fd);
		return fd >= 0;
	}

	int listener;
	struct http_client *client;
	std::string id, body;
	int done = 0;
	enum http_outcome outcome;
	bool sent = false;
};

std::string
answer_to(const std::string &id, const std::string &body)
{
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
	       "\r\nContent-Length: " + std::to_string(body.size()) +
	       "\r\n\r\n" + body;
}

} // namespace

TEST_F(Client, KeepsAConnectionForTheNextRequest)
{
	int fd;

	send("1");
	fd = accepted();
	get(fd, "\r\n\r\n");
	put(fd, answer_to("1", "one"));
	ASSERT_TRUE(finished());
	EXPECT_EQ(body, "one");
	send("2");
	get(fd, "\r\n\r\n");
	put(fd, answer_to("2", "two"));
	ASSERT_TRUE(finished());
	EXPECT_EQ(body, "two");
	EXPECT_FALSE(another_connection());
}

/* A second answer belongs to no request. */
TEST_F(Client, ExtraBytesEndTheConnection)
{
	int fd;

	send("1");
	fd = accepted();
	get(fd, "\r\n\r\n");
	put(fd, answer_to("1", "one") + answer_to("1", "again"));
	ASSERT_TRUE(finished());
	EXPECT_EQ(body, "one");
	send("2");
	EXPECT_TRUE(another_connection());
}

TEST_F(Client, ALateAnswerIsNotTakenForTheNextOne)
{
	int fd;

	send("1");
	fd = accepted();
	get(fd, "\r\n\r\n");
	put(fd, answer_to("1", "one"));
	ASSERT_TRUE(finished());
	send("2");
	get(fd, "\r\n\r\n");
	put(fd, answer_to("1", "one again"));
	run_ms(20);
	EXPECT_EQ(done, 0);
	put(fd, answer_to("2", "two"));
	ASSERT_TRUE(finished());
	EXPECT_EQ(outcome, HTTP_RESPONSE_RECEIVED);
	EXPECT_EQ(body, "two");
	send("3");
	EXPECT_TRUE(another_connection());
}

TEST_F(Client, BytesOnAnIdleConnectionEndIt)
{
	int fd;

	send("1");
	fd = accepted();
	get(fd, "\r\n\r\n");
	put(fd, answer_to("1", "one"));
	ASSERT_TRUE(finished());
	put(fd, answer_to("1", "again"));
	run_ms(20);
	send("2");
	EXPECT_TRUE(another_connection());
}

/* The rest of a long request is not sent into another one's place. */
TEST_F(Client, AnEarlyAnswerEndsTheConnection)
{
	int fd, small = 4096;

	setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	send("1", std::string(8 << 20, 'x'));
	fd = accepted();
	run_ms(20);
	put(fd, answer_to("1", "too long"));
	ASSERT_TRUE(finished());
	EXPECT_EQ(body, "too long");
	send("2");
	EXPECT_TRUE(another_connection());
}

TEST_F(Client, OnlyAnOrderlyEndCompletesAnAnswerWithoutLength)
{
	const std::string text = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nsome";
	int fd;

	send("1");
	fd = accepted();
	get(fd, "\r\n\r\n");
	put(fd, text);
	run_ms(10);
	EXPECT_EQ(done, 0);
	drop(fd, false);
	ASSERT_TRUE(finished());
	EXPECT_EQ(outcome, HTTP_RESPONSE_RECEIVED);
	EXPECT_EQ(body, "some");
	send("1");
	fd = accepted();
	get(fd, "\r\n\r\n");
	put(fd, text);
	run_ms(10);
	drop(fd, true);
	ASSERT_TRUE(finished());
	EXPECT_EQ(outcome, HTTP_BROKEN);
	EXPECT_TRUE(sent);
}

TEST_F(Client, WhatIsNoAnswerIsBroken)
{
	const std::string bad[] = {"garbage\r\n\r\n",
	    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsome",
	    "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"};

	for (const std::string &b : bad) {
		int fd;

		send("1");
		fd = accepted();
		get(fd, "\r\n\r\n");
		put(fd, b);
		run_ms(10);
		drop(fd, false);
		ASSERT_TRUE(finished()) << b;
		EXPECT_EQ(outcome, HTTP_BROKEN) << b;
		EXPECT_TRUE(sent);
	}
}

TEST_F(Client, ARefusedConnectionHasSentNothing)
{
	drop(listener, false);
	send("1");
	ASSERT_TRUE(finished());
	EXPECT_EQ(outcome, HTTP_NOT_CONNECTED);
	EXPECT_FALSE(sent);
}

TEST_F(Client, SilenceEndsWithItsTime)
{
	int fd;

	send("1", "", 100 * MSEC_US);
	fd = accepted();
	get(fd, "\r\n\r\n");
	ASSERT_TRUE(finished());
	EXPECT_EQ(outcome, HTTP_TIMED_OUT);
	EXPECT_TRUE(sent);
	EXPECT_EQ(get(fd, ""), "");
}

TEST_F(Client, ACancelledRequestClosesItsConnection)
{
	struct http_call *call = send("1");
	int fd = accepted();

	get(fd, "\r\n\r\n");
	http_call_cancel(call);
	EXPECT_EQ(get(fd, ""), "");
	EXPECT_EQ(done, 0);
}
