/*
 * Tests of the HTTP server and client against misbehaving peers, over loopback
 * sockets.  They guard against a response that goes to another request, a
 * truncated response that counts as complete, a request reported as not sent
 * although the peer may have it, and connections that stay open for ever.
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
loopback_addr(uint16_t port)
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
	/* Run until done() holds; false if it does not within about 2 s. */
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
	/* Have a socket closed at the end of the test; returns it. */
	int
	close_at_end(int fd)
	{
		fds.push_back(fd);
		return fd;
	}
	/* Close a socket now, by a reset if asked for. */
	void
	close_socket(int fd, bool reset)
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
	send_text(int fd, const std::string &text)
	{
		ASSERT_EQ(
		    write(fd, text.data(), text.size()), (ssize_t)text.size());
	}
	/*
	 * Read until the data ends with the given text, which may be empty, or
	 * the peer closes.
	 */
	std::string
	receive(int fd, const std::string &end)
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

/* The server, with the tests as callers. */

struct Server : public Loop {
	void
	SetUp() override
	{
		struct http_server_settings set = {
		    {4096, 65536}, 300 * MSEC_US, 600 * MSEC_US, 100};
		static const struct http_server_ops ops = {
		    on_request, on_disconnect};

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
		static_cast<Server *>(owner)->exchanges.push_back(ex);
	}
	static void
	on_disconnect(void *owner, struct http_exchange *ex)
	{
		Server *s = static_cast<Server *>(owner);

		s->disconnects++;
		for (auto &e : s->exchanges)
			e = e == ex ? nullptr : e;
	}
	int
	connect_to_server()
	{
		struct sockaddr_in sin = loopback_addr(PORT);
		int fd = close_at_end(socket(AF_INET, SOCK_STREAM, 0));

		EXPECT_EQ(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
		return fd;
	}
	/* Wait until the server has handed out n requests. */
	bool
	await_requests(size_t n)
	{
		return run_until([&] { return exchanges.size() >= n; });
	}
	void
	respond(size_t i, const std::string &body, bool close = false,
	    int status = 200)
	{
		struct http_response response = {};

		response.status = status;
		response.body = body.data();
		response.body_len = body.size();
		response.close = close;
		http_exchange_respond(exchanges[i], &response);
	}

	struct http_server *server;
	std::vector<struct http_exchange *> exchanges;
	int disconnects = 0;
};

const std::string GET = "GET /x HTTP/1.1\r\nHost: x\r\n\r\n";

} // namespace

TEST_F(Server, PipelinedResponsesKeepTheOrderOfRequests)
{
	int fd = connect_to_server();
	std::string got;

	send_text(fd, GET + GET + GET);
	ASSERT_TRUE(await_requests(3));
	respond(2, "three");
	respond(0, "one");
	respond(1, "two");
	got = receive(fd, "three");
	EXPECT_LT(got.find("one"), got.find("two"));
	EXPECT_LT(got.find("two"), got.find("three"));
	EXPECT_EQ(disconnects, 0);
}

/*
 * RFC 9110, 8.6: a length of 0 would be wrong, as it is the length of what GET
 * brings, or is not allowed at all.
 */
TEST_F(Server, AResponseThatHasNoBodyStatesNoLength)
{
	const struct {
		const char *method;
		int status;
		const char *body, *length;
	} cases[] = {
	    {"HEAD", 200, "one", nullptr},
	    {"HEAD", 404, "", nullptr},
	    {"GET", 204, "", nullptr},
	    {"GET", 304, "", nullptr},
	    {"GET", 200, "", "0"},
	    {"GET", 404, "one", "3"},
	};
	int fd = connect_to_server();

	for (const auto &c : cases) {
		const std::string length =
		    c.length != nullptr
			? std::string("Content-Length: ") + c.length + "\r\n"
			: "";
		std::string got;

		send_text(fd,
		    std::string(c.method) + " /x HTTP/1.1\r\nHost: x\r\n\r\n");
		ASSERT_TRUE(await_requests(exchanges.size() + 1));
		respond(exchanges.size() - 1, c.body, false, c.status);
		got = receive(
		    fd, length + "\r\n" + (c.length != nullptr ? c.body : ""));
		EXPECT_EQ(
		    got.find("Content-Length") != got.npos, c.length != nullptr)
		    << got;
		EXPECT_NE(got.find(length), got.npos) << got;
	}
}

TEST_F(Server, NoRequestIsReadAfterConnectionClose)
{
	int fd = connect_to_server();

	send_text(fd,
	    "GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + GET);
	ASSERT_TRUE(await_requests(1));
	run_ms(20);
	EXPECT_EQ(exchanges.size(), 1u);
	respond(0, "one");
	EXPECT_NE(receive(fd, "").find("Connection: close"), std::string::npos);
}

TEST_F(Server, ReportsADisconnectBeforeTheResponse)
{
	int fd = connect_to_server(), reset = connect_to_server();

	send_text(fd, GET + GET);
	send_text(reset, GET);
	ASSERT_TRUE(await_requests(3));
	close_socket(fd, false);
	EXPECT_TRUE(run_until([&] { return disconnects == 2; }));
	close_socket(reset, true);
	EXPECT_TRUE(run_until([&] { return disconnects == 3; }));
}

TEST_F(Server, AnswersMalformedAndOversizedRequestsWithAnError)
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
		int fd = connect_to_server();

		send_text(fd, b.text);
		EXPECT_NE(receive(fd, "").find(b.status), std::string::npos);
	}
	EXPECT_TRUE(exchanges.empty());
}

TEST_F(Server, SlowAndIdleConnectionsTimeOut)
{
	int slow = connect_to_server(), idle = connect_to_server();

	send_text(slow, "GET / HT");
	EXPECT_TRUE(run_until(
	    [&] { return http_server_connection_count(server) == 0; }));
	EXPECT_EQ(receive(slow, ""), "");
	EXPECT_EQ(receive(idle, ""), "");
}

TEST_F(Server, DrainingClosesConnectionsAfterTheirResponses)
{
	int fd = connect_to_server(), idle = connect_to_server();

	send_text(fd, GET);
	ASSERT_TRUE(await_requests(1));
	http_server_drain(server);
	http_server_stop_accepting(server);
	EXPECT_EQ(receive(idle, ""), "");
	respond(0, "one");
	EXPECT_NE(receive(fd, "").find("Connection: close"), std::string::npos);
}

/*
 * Guards against an answer that is cut because its caller did not read for a
 * while (review/4).  Only the idle time-out ends such a connection.
 */
TEST_F(Server, ACallerThatPausesGetsItsWholeAnswer)
{
	struct http_server_settings set = {
	    {4096, 65536}, 10 * SEC_US, 10 * SEC_US, 100};
	const std::string answer(4 << 20, 'x');
	int fd = connect_to_server(), small = 65536;
	size_t received = 0;
	char buf[65536];

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	http_server_configure(server, &set);
	send_text(fd, GET);
	ASSERT_TRUE(await_requests(1));
	respond(0, answer);
	run_ms(3500);
	EXPECT_EQ(http_server_connection_count(server), 1u);
	run_until([&] {
		ssize_t n;

		while ((n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
			received += (size_t)n;
		return received > answer.size();
	});
	EXPECT_GT(received, answer.size());
}

/* A caller that reads on is not idle, however long its answer takes. */
TEST_F(Server, ACallerThatReadsSlowlyIsNotIdle)
{
	const std::string answer(4 << 20, 'x');
	int fd = connect_to_server(), small = 4096;
	size_t received = 0;
	char buf[16384];
	int i;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	send_text(fd, GET);
	ASSERT_TRUE(await_requests(1));
	respond(0, answer);
	/* The idle time-out is 600 ms. */
	for (i = 0; i < 100; i++) {
		ssize_t n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);

		received += n > 0 ? (size_t)n : 0;
		run_ms(20);
	}
	EXPECT_EQ(http_server_connection_count(server), 1u);
	EXPECT_LT(received, answer.size());
}

/* Guards against an end of the process while callers still read (review/5). */
TEST_F(Server, IsFlushedOnceCallersHaveTheirAnswers)
{
	int fd = connect_to_server(), small = 65536;
	char buf[65536];

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	send_text(fd, GET);
	ASSERT_TRUE(await_requests(1));
	EXPECT_FALSE(http_server_is_flushed(server));
	respond(0, std::string(4 << 20, 'x'));
	run_ms(50);
	EXPECT_FALSE(http_server_is_flushed(server));
	EXPECT_TRUE(run_until([&] {
		while (recv(fd, buf, sizeof(buf), MSG_DONTWAIT) > 0)
			;
		return http_server_is_flushed(server);
	}));
}

/* The server, with an account of memory that is soon full. */

namespace {

struct FullServer : public Server {
	static constexpr size_t LIMIT = 300000;

	void
	SetUp() override
	{
		static const struct http_server_ops ops = {
		    on_request, on_disconnect, on_refuse};
		static const struct account_ops account_ops = {
		    on_over, nullptr};
		struct http_server_settings set = {
		    {4096, 200000}, 5 * SEC_US, 5 * SEC_US, 100};

		Loop::SetUp();
		memory = account_create(LIMIT, 0, &account_ops, this);
		set.memory = memory;
		server = http_server_create(
		    base, {LOOPBACK_IP, PORT}, &set, &ops, this);
		ASSERT_NE(server, nullptr);
	}
	void
	TearDown() override
	{
		http_server_destroy(server);
		EXPECT_EQ(account_state(memory)->held, 0u);
		account_destroy(memory);
		Loop::TearDown();
	}
	static void
	on_over(void *arg)
	{
		FullServer *s = static_cast<FullServer *>(arg);

		event_base_once(s->base, -1, EV_TIMEOUT, make_room, s, nullptr);
	}
	static void
	make_room(evutil_socket_t, short, void *arg)
	{
		account_make_room(static_cast<FullServer *>(arg)->memory,
		    nullptr, daemon_now().mono_us);
	}
	static void
	on_refuse(void *owner, struct http_exchange *ex)
	{
		FullServer *s = static_cast<FullServer *>(owner);
		struct http_response response = {};

		s->refused_heads +=
		    http_exchange_request(ex)->method == nullptr;
		response.status = 503;
		http_exchange_respond(ex, &response);
	}
	/* Start a request whose body stops short of its end. */
	int
	stall(size_t body_len, size_t sent)
	{
		int fd = connect_to_server();
		size_t before = account_state(memory)->held;

		send_text(
		    fd, "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: " +
			    std::to_string(body_len) + "\r\n\r\n" +
			    std::string(sent, 'x'));
		EXPECT_TRUE(run_until([&] {
			return account_state(memory)->held >= before + sent ||
			       account_state(memory)->gave_way[HOLDER_CALLER];
		}));
		return fd;
	}

	/* Read what there is; returns how many bytes that was. */
	size_t
	drain(int fd)
	{
		static char buf[65536];
		size_t got = 0;
		ssize_t n;

		while ((n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
			got += (size_t)n;
		return got;
	}

	/* Respond with a body that the server takes over. */
	void
	respond_owned(size_t i, size_t len)
	{
		struct http_response response = {};
		const std::string text(len, 'x');
		struct buffer body = {};

		buffer_set(&body, text.data(), len);
		response.status = 200;
		response.owned_body = &body;
		http_exchange_respond(exchanges[i], &response);
	}

	struct account *memory;
	int refused_heads = 0;
};

} // namespace

TEST_F(FullServer, AStalledBodyIsRefusedWhereOthersNeedTheRoom)
{
	int stalled = stall(150000, 140000), moving;

	run_ms(300);
	moving = stall(190000, 180000);
	EXPECT_NE(receive(stalled, "\r\n\r\n").find("503"), std::string::npos);
	EXPECT_EQ(account_state(memory)->gave_way[HOLDER_CALLER], 1u);
	send_text(moving, std::string(10000, 'x'));
	ASSERT_TRUE(await_requests(1));
	EXPECT_EQ(http_exchange_request(exchanges[0])->body_len, 190000u);
	respond(0, "whole");
	EXPECT_NE(receive(moving, "whole").find("200"), std::string::npos);
	EXPECT_EQ(disconnects, 0);
}

TEST_F(FullServer, ABodyInDripsCountsAsStalled)
{
	int drips = stall(150000, 140000), moving;
	int i;

	for (i = 0; i < 10; i++) {
		send_text(drips, "x");
		run_ms(30);
	}
	moving = stall(190000, 180000);
	EXPECT_NE(receive(drips, "\r\n\r\n").find("503"), std::string::npos);
	send_text(moving, std::string(10000, 'x'));
	ASSERT_TRUE(await_requests(1));
	respond(0, "whole");
}

/* The owner has the body by then; the caller still answers for it. */
TEST_F(FullServer, ARequestIsChargedUntilItsResponse)
{
	struct buffer body = {};
	int fd = stall(100000, 100000);

	ASSERT_TRUE(await_requests(1));
	http_message_take_body(http_exchange_request(exchanges[0]), &body);
	EXPECT_EQ(body.len, 100000u);
	buffer_release(&body);
	EXPECT_GT(account_state(memory)->held, 100000u);
	respond(0, "short");
	receive(fd, "short");
	EXPECT_LT(account_state(memory)->held, 20000u);
}

TEST_F(FullServer, ACallerThatWaitsStaysWhileOthersStall)
{
	int waits = stall(150000, 150000), stalled;

	ASSERT_TRUE(await_requests(1));
	stalled = stall(130000, 100000);
	run_ms(300);
	stall(130000, 100000);
	EXPECT_NE(receive(stalled, "\r\n\r\n").find("503"), std::string::npos);
	respond(0, "whole");
	EXPECT_NE(receive(waits, "whole").find("200"), std::string::npos);
	EXPECT_EQ(disconnects, 0);
}

TEST_F(FullServer, ACallerThatSentTooManyRequestsIsDisconnected)
{
	int fd = connect_to_server(), i;
	std::string one = "POST /x HTTP/1.1\r\nHost: x\r\n"
			  "Content-Length: 50000\r\n\r\n" +
			  std::string(50000, 'x');

	for (i = 0; i < 6; i++)
		send_text(fd, one);
	EXPECT_EQ(receive(fd, ""), "");
	EXPECT_GT(disconnects, 0);
	EXPECT_EQ(http_server_connection_count(server), 0u);
}

/* Requests whose responses would wait behind unread ones are not read. */
TEST_F(FullServer, RequestsOfACallerThatDoesNotReadWait)
{
	int fd = connect_to_server(), small = 262144;

	account_set_limit(memory, 100 << 20, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	send_text(fd, GET);
	ASSERT_TRUE(await_requests(1));
	respond(0, std::string(12 << 20, 'x'));
	run_ms(50);
	send_text(fd, GET);
	run_ms(50);
	EXPECT_EQ(exchanges.size(), 1u);
	EXPECT_TRUE(run_until([&] {
		drain(fd);
		return exchanges.size() == 2;
	}));
}

TEST_F(FullServer, ACallerThatLeavesIsNoticedWhileItIsPaused)
{
	int fd = connect_to_server(), small = 4096;

	account_set_limit(memory, 100 << 20, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	send_text(fd, GET);
	ASSERT_TRUE(await_requests(1));
	send_text(fd, GET);
	ASSERT_TRUE(await_requests(2));
	respond(0, std::string(8 << 20, 'x'));
	run_ms(20);
	send_text(fd, GET);
	run_ms(20);
	EXPECT_EQ(exchanges.size(), 2u);
	close_socket(fd, true);
	EXPECT_TRUE(run_until([&] { return disconnects == 1; }));
	EXPECT_EQ(http_server_connection_count(server), 0u);
}

TEST_F(FullServer, ACallerThatDoesNotReadIsDisconnected)
{
	int unread = connect_to_server(), small = 4096, other;
	size_t got = 0;

	setsockopt(unread, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	account_set_limit(memory, 13 << 20, 0);
	send_text(unread, GET);
	ASSERT_TRUE(await_requests(1));
	respond(0, std::string(12 << 20, 'x'));
	run_ms(500);
	other = connect_to_server();
	send_text(other, GET);
	ASSERT_TRUE(await_requests(2));
	respond(1, std::string(12 << 20, 'x') + "end");
	run_ms(20);
	EXPECT_EQ(account_state(memory)->gave_way[HOLDER_CALLER], 1u);
	EXPECT_EQ(http_server_connection_count(server), 1u);
	EXPECT_TRUE(run_until([&] {
		got += drain(other);
		return got > 12u << 20;
	}));
}

TEST_F(FullServer, StartsOfHeadsAreChargedAndRefused)
{
	std::vector<int> all;
	int i;

	for (i = 0; i < 60; i++) {
		all.push_back(connect_to_server());
		send_text(all[i],
		    "GET /x HTTP/1.1\r\nHost: " + std::string(4000, 'x'));
		run_ms(2);
	}
	EXPECT_GT(refused_heads, 0);
	EXPECT_LE(account_state(memory)->held, LIMIT);
	EXPECT_EQ(exchanges.size(), 0u);
}

/* A response takes all of its memory until the last of it was sent. */
TEST_F(FullServer, AResponseIsChargedUntilItWasSent)
{
	const size_t len = 12 << 20, short_len = 100000;
	int unread = connect_to_server(), other = connect_to_server();
	int small = 4096;
	size_t held, got = 0;

	setsockopt(unread, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	account_set_limit(memory, 64 << 20, 0);
	send_text(unread, GET);
	ASSERT_TRUE(await_requests(1));
	respond_owned(0, len);
	run_ms(20);
	drain(unread);
	run_ms(20);
	held = account_state(memory)->held;
	EXPECT_GE(held, len);
	send_text(other, GET);
	ASSERT_TRUE(await_requests(2));
	respond_owned(1, short_len);
	EXPECT_GE(account_state(memory)->held, held + short_len);
	EXPECT_TRUE(run_until([&] {
		got += drain(other);
		return got >= short_len;
	}));
	EXPECT_LE(account_state(memory)->held, held);
}

/* Short responses that are not read take little more than their bytes. */
TEST_F(FullServer, ShortResponsesAreChargedUntilTheyWereSent)
{
	const size_t count = 20000, body_len = 40;
	const size_t max_output = 256 << 10, slack = 128 << 10;
	int fd = connect_to_server(), quiet_turns = 0;
	size_t sent = 0, answered = 0, got = 0, idle_held;
	std::string requests;

	account_set_limit(memory, 64 << 20, 0);
	run_ms(20);
	idle_held = account_state(memory)->held;
	for (size_t i = 0; i < count; i++)
		requests += GET;
	auto send_and_respond = [&] {
		size_t before = answered;
		ssize_t n = send(
		    fd, &requests[sent], requests.size() - sent, MSG_DONTWAIT);

		if (n > 0)
			sent += (size_t)n;
		run_ms(2);
		while (answered < exchanges.size())
			respond(answered++, std::string(body_len, 'x'));
		return answered != before;
	};
	while (quiet_turns < 50)
		quiet_turns = send_and_respond() ? 0 : quiet_turns + 1;
	EXPECT_LT(answered, count);
	EXPECT_GE(account_state(memory)->held, max_output);
	EXPECT_LE(account_state(memory)->held, max_output + slack);
	EXPECT_TRUE(run_until([&] {
		send_and_respond();
		got += drain(fd);
		return answered == count && got >= count * body_len;
	}));
	EXPECT_TRUE(run_until([&] {
		drain(fd);
		return account_state(memory)->held <= idle_held + 1024;
	}));
}

/* Guards against callers that wait while the tiny chunks of others are read. */
TEST_F(FullServer, ACallerIsNotHeldUpByTinyChunks)
{
	const size_t crowd = 20, nchunks = 10000;
	std::string chunks;
	size_t i;

	account_set_limit(memory, 64 << 20, 0);
	for (i = 0; i < nchunks; i++)
		chunks += "1\r\nx\r\n";
	for (i = 0; i <= crowd; i++)
		connect_to_server();
	run_ms(20);
	for (i = 0; i < crowd; i++)
		send_text(fds[i], "POST /x HTTP/1.1\r\nHost: x\r\n"
				  "Transfer-Encoding: chunked\r\n\r\n" +
				      chunks + "0\r\n\r\n");
	send_text(fds[crowd], GET);
	ASSERT_TRUE(await_requests(crowd + 1));
	EXPECT_STREQ(http_exchange_request(exchanges[0])->method, "GET");
	for (i = 1; i <= crowd; i++)
		EXPECT_EQ(
		    http_exchange_request(exchanges[i])->body_len, nchunks);
}

/* The server, with few descriptors. */

namespace {

struct CrowdedServer : public Server {
	void
	SetUp() override
	{
		static const struct http_server_ops ops = {
		    on_request, on_disconnect};
		struct http_server_settings set = {
		    {4096, 65536}, 30 * SEC_US, 30 * SEC_US, 1000};

		Loop::SetUp();
		descriptors = account_create(5, 0, nullptr, nullptr);
		set.descriptors = descriptors;
		server = http_server_create(
		    base, {LOOPBACK_IP, PORT}, &set, &ops, this);
		ASSERT_NE(server, nullptr);
	}
	void
	TearDown() override
	{
		http_server_destroy(server);
		EXPECT_EQ(account_state(descriptors)->held, 0u);
		account_destroy(descriptors);
		Loop::TearDown();
	}

	struct account *descriptors;
};

} // namespace

TEST_F(CrowdedServer, ANewCallerTakesThePlaceOfTheOneThatIsIdleLongest)
{
	int waits = connect_to_server(), idle, fd, i;

	send_text(waits, GET);
	ASSERT_TRUE(await_requests(1));
	idle = connect_to_server();
	run_ms(300);
	for (i = 0; i < 3; i++)
		connect_to_server();
	run_ms(200);
	EXPECT_EQ(http_server_connection_count(server), 5u);
	fd = connect_to_server();
	send_text(fd, GET);
	ASSERT_TRUE(await_requests(2));
	respond(1, "in");
	EXPECT_NE(receive(fd, "in").find("200"), std::string::npos);
	EXPECT_EQ(receive(idle, ""), "");
	EXPECT_EQ(http_server_connection_count(server), 5u);
	respond(0, "whole");
	EXPECT_NE(receive(waits, "whole").find("200"), std::string::npos);
	EXPECT_EQ(disconnects, 0);
}

TEST_F(CrowdedServer, ANewCallerIsTurnedAwayWhereAllWait)
{
	int fd, i;

	for (i = 0; i < 5; i++) {
		fd = connect_to_server();
		send_text(fd, GET);
		ASSERT_TRUE(await_requests((size_t)i + 1));
	}
	run_ms(300);
	fd = connect_to_server();
	EXPECT_EQ(receive(fd, ""), "");
	EXPECT_EQ(http_server_connection_count(server), 5u);
	EXPECT_EQ(disconnects, 0);
}

TEST_F(Server, AFullPortClosesTheConnectionThatIsIdleLongest)
{
	struct http_server_settings set = {
	    {4096, 65536}, 30 * SEC_US, 30 * SEC_US, 2};
	int idle, other, fd;

	http_server_configure(server, &set);
	idle = connect_to_server();
	run_ms(300);
	other = connect_to_server();
	run_ms(200);
	fd = connect_to_server();
	send_text(fd, GET);
	ASSERT_TRUE(await_requests(1));
	EXPECT_EQ(receive(idle, ""), "");
	EXPECT_EQ(http_server_connection_count(server), 2u);
	send_text(other, GET);
	EXPECT_TRUE(await_requests(2));
}

/* The client, with the tests as the target. */

namespace {

struct Client : public Loop {
	static constexpr size_t MAX_PARTIAL_BYTES = 1 << 20;

	void
	SetUp() override
	{
		struct http_client_settings set = {
		    {4096, 65536}, 4, 10 * SEC_US, MAX_PARTIAL_BYTES};
		struct sockaddr_in sin = loopback_addr(PORT);
		int on = 1;

		Loop::SetUp();
		listener = close_at_end(
		    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
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
	on_result(void *arg, const struct http_result *r)
	{
		Client *c = static_cast<Client *>(arg);

		c->result_count++;
		c->outcome = r->outcome;
		c->may_have_sent = r->may_have_sent;
		c->body =
		    r->response != nullptr && r->response->body != nullptr
			? std::string(r->response->body, r->response->body_len)
			: "";
	}
	static bool
	is_response(
	    void *arg, const struct http_message *m, bool new_connection)
	{
		const char *id = http_message_field(m, "Request-Id");

		return id != nullptr ? static_cast<Client *>(arg)->id == id
				     : new_connection;
	}
	static bool
	keeps_connection(void *arg, const struct http_message *m)
	{
		(void)m;
		return static_cast<Client *>(arg)->keeps_next;
	}
	struct http_call *
	send(const std::string &request_id,
	    const std::string &request_body = "",
	    uint64_t timeout_us = 2 * SEC_US)
	{
		struct http_request r = {};

		id = request_id;
		result_count = 0;
		r.method = "POST";
		r.path = "/x";
		r.headers = "Host: x\r\n";
		r.headers_len = 9;
		r.body = request_body.data();
		r.body_len = request_body.size();
		r.timeout_us = timeout_us;
		r.is_response = is_response;
		r.keeps_connection = keeps_connection;
		return http_client_send(client, &r, on_result, this);
	}
	/* Wait for the next connection from the client, and accept it. */
	int
	accept_connection()
	{
		int fd = -1;

		run_until([&] {
			fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
			return fd >= 0;
		});
		return close_at_end(fd);
	}
	bool
	await_result()
	{
		return run_until([&] { return result_count > 0; });
	}
	/* Whether the client opens another connection. */
	bool
	opens_connection()
	{
		int fd;

		run_ms(30);
		fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
		if (fd >= 0)
			close_at_end(fd);
		return fd >= 0;
	}

	int listener;
	struct http_client *client;
	std::string id, body;
	int result_count = 0;
	bool keeps_next = true;
	enum http_outcome outcome;
	bool may_have_sent = false;
};

std::string
response_with_id(const std::string &id, const std::string &body)
{
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
	       "\r\nContent-Length: " + std::to_string(body.size()) +
	       "\r\n\r\n" + body;
}

} // namespace

TEST_F(Client, ReusesAConnectionForTheNextRequest)
{
	int fd;

	send("1");
	fd = accept_connection();
	receive(fd, "\r\n\r\n");
	send_text(fd, response_with_id("1", "one"));
	ASSERT_TRUE(await_result());
	EXPECT_EQ(body, "one");
	send("2");
	receive(fd, "\r\n\r\n");
	send_text(fd, response_with_id("2", "two"));
	ASSERT_TRUE(await_result());
	EXPECT_EQ(body, "two");
	EXPECT_FALSE(opens_connection());
}

/* Unless the connection closes, the next request would get these bytes. */
TEST_F(Client, BytesAfterAResponseCloseTheConnection)
{
	int fd;

	send("1");
	fd = accept_connection();
	receive(fd, "\r\n\r\n");
	send_text(
	    fd, response_with_id("1", "one") + response_with_id("1", "again"));
	ASSERT_TRUE(await_result());
	EXPECT_EQ(body, "one");
	send("2");
	EXPECT_TRUE(opens_connection());
}

/*
 * Responses are matched by id.  A connection on which a late one came is not
 * used again.
 */
TEST_F(Client, ALateResponseIsNotTakenForTheNextOne)
{
	int fd;

	send("1");
	fd = accept_connection();
	receive(fd, "\r\n\r\n");
	send_text(fd, response_with_id("1", "one"));
	ASSERT_TRUE(await_result());
	send("2");
	receive(fd, "\r\n\r\n");
	send_text(fd, response_with_id("1", "one again"));
	run_ms(20);
	EXPECT_EQ(result_count, 0);
	send_text(fd, response_with_id("2", "two"));
	ASSERT_TRUE(await_result());
	EXPECT_EQ(outcome, HTTP_RESPONSE_RECEIVED);
	EXPECT_EQ(body, "two");
	send("3");
	EXPECT_TRUE(opens_connection());
}

TEST_F(Client, ALateResponseTakesNoMemoryOnceItIsDropped)
{
	const std::string late = response_with_id("0", std::string(50000, 'x'));
	int fd;

	send("1");
	fd = accept_connection();
	receive(fd, "\r\n\r\n");
	send_text(fd, late.substr(0, 40000));
	ASSERT_TRUE(run_until(
	    [&] { return http_client_partial_bytes(client) >= 39000; }));
	send_text(fd, late.substr(40000));
	EXPECT_TRUE(
	    run_until([&] { return http_client_partial_bytes(client) == 0; }));
	EXPECT_EQ(result_count, 0);
	send_text(fd, response_with_id("1", "one"));
	ASSERT_TRUE(await_result());
	EXPECT_EQ(body, "one");
}

TEST_F(Client, BytesOnAnIdleConnectionCloseIt)
{
	int fd;

	send("1");
	fd = accept_connection();
	receive(fd, "\r\n\r\n");
	send_text(fd, response_with_id("1", "one"));
	ASSERT_TRUE(await_result());
	send_text(fd, response_with_id("1", "again"));
	run_ms(20);
	send("2");
	EXPECT_TRUE(opens_connection());
}

/*
 * If the response comes while the request is still being sent, the rest of the
 * request must not precede the next one on the connection.
 */
TEST_F(Client, AResponseBeforeTheRequestWasSentClosesTheConnection)
{
	int fd, small = 4096;

	setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	send("1", std::string(8 << 20, 'x'));
	fd = accept_connection();
	run_ms(20);
	send_text(fd, response_with_id("1", "too long"));
	ASSERT_TRUE(await_result());
	EXPECT_EQ(body, "too long");
	send("2");
	EXPECT_TRUE(opens_connection());
}

TEST_F(Client, OnlyAnOrderlyCloseCompletesAResponseWithoutLength)
{
	const std::string text = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nsome";
	int fd;

	send("1");
	fd = accept_connection();
	receive(fd, "\r\n\r\n");
	send_text(fd, text);
	run_ms(10);
	EXPECT_EQ(result_count, 0);
	close_socket(fd, false);
	ASSERT_TRUE(await_result());
	EXPECT_EQ(outcome, HTTP_RESPONSE_RECEIVED);
	EXPECT_EQ(body, "some");
	send("1");
	fd = accept_connection();
	receive(fd, "\r\n\r\n");
	send_text(fd, text);
	run_ms(10);
	close_socket(fd, true);
	ASSERT_TRUE(await_result());
	EXPECT_EQ(outcome, HTTP_BROKEN);
	EXPECT_TRUE(may_have_sent);
}

/*
 * Guards against a response without a length that is reset midway and counts
 * as complete (review/2): the rest of the request waits to be sent, so that it
 * is a write, not a read, that finds the reset.
 */
TEST_F(Client, AResetWhileTheRequestIsSentCompletesNoResponse)
{
	int fd, small = 4096;

	setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	send("1");
	fd = accept_connection();
	receive(fd, "\r\n\r\n");
	send_text(fd, response_with_id("1", "one"));
	ASSERT_TRUE(await_result());
	send("1", std::string(8 << 20, 'x'));
	run_ms(20);
	send_text(fd, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nhalf of");
	run_ms(20);
	EXPECT_EQ(result_count, 0);
	close_socket(fd, true);
	ASSERT_TRUE(await_result());
	EXPECT_EQ(outcome, HTTP_BROKEN);
	EXPECT_TRUE(may_have_sent);
}

TEST_F(Client, MalformedAndIncompleteResponsesAreBroken)
{
	const std::string bad[] = {"garbage\r\n\r\n",
	    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsome",
	    "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"};

	for (const std::string &b : bad) {
		int fd;

		send("1");
		fd = accept_connection();
		receive(fd, "\r\n\r\n");
		send_text(fd, b);
		run_ms(10);
		close_socket(fd, false);
		ASSERT_TRUE(await_result()) << b;
		EXPECT_EQ(outcome, HTTP_BROKEN) << b;
		EXPECT_TRUE(may_have_sent);
	}
}

namespace {

/* Responses whose status code is not one of 100 to 599 (RFC 9110, 15). */
std::vector<std::string>
responses_with_invalid_status()
{
	std::vector<std::string> v;

	for (const char *status : {"000", "001", "099", "600", "999", "0", "20",
		 "2", "0200", "00200", "2000", "-200", "+20", "0x2", "2OO", ""})
		v.push_back(std::string("HTTP/1.1 ") + status +
			    " OK\r\nRequest-Id: 1\r\nResponse-Signature: s\r\n"
			    "Content-Length: 3\r\n\r\none");
	return v;
}

} // namespace

/*
 * Guards against an answer of a faulty target whose status is none, such as
 * 000, and that reaches the caller.
 */
TEST_F(Client, AResponseWithAnInvalidStatusIsBroken)
{
	for (const std::string &response : responses_with_invalid_status()) {
		int fd;

		send("1");
		fd = accept_connection();
		receive(fd, "\r\n\r\n");
		send_text(fd, response);
		ASSERT_TRUE(await_result()) << response;
		EXPECT_EQ(outcome, HTTP_BROKEN) << response;
		EXPECT_TRUE(may_have_sent);
		EXPECT_EQ(receive(fd, ""), "");
	}
}

/*
 * The same on a connection that has brought a sound response, and byte by byte:
 * a status, a field name and a chunk that are none.
 */
TEST_F(Client, ABrokenResponseOnAKeptConnectionIsBroken)
{
	const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: 2\r\n";
	const std::string bad[] = {
	    "HTTP/1.1 000 OK\r\nRequest-Id: 2\r\nContent-Length: 3\r\n\r\ntwo",
	    head + "A b: c\r\nContent-Length: 3\r\n\r\ntwo",
	    head + "A\001: c\r\nContent-Length: 3\r\n\r\ntwo",
	    head + "\rA: c\r\n\r\ntwo",
	    head + "Transfer-Encoding: chunked\r\n\r\n3\r\ntwoXY0\r\n\r\n",
	};

	for (const std::string &response : bad) {
		int fd;

		send("1");
		fd = accept_connection();
		receive(fd, "\r\n\r\n");
		send_text(fd, response_with_id("1", "one"));
		ASSERT_TRUE(await_result());
		send("2");
		receive(fd, "\r\n\r\n");
		for (char c : response) {
			if (::send(fd, &c, 1, MSG_NOSIGNAL) != 1)
				break; /* it has been refused already */
			run_ms(1);
		}
		ASSERT_TRUE(await_result()) << response;
		EXPECT_EQ(outcome, HTTP_BROKEN) << response;
		EXPECT_TRUE(may_have_sent);
	}
}

TEST_F(Client, ARefusedConnectionHasSentNothing)
{
	close_socket(listener, false);
	send("1");
	ASSERT_TRUE(await_result());
	EXPECT_EQ(outcome, HTTP_NOT_CONNECTED);
	EXPECT_FALSE(may_have_sent);
}

TEST_F(Client, ARequestWithoutResponseTimesOut)
{
	int fd;

	send("1", "", 100 * MSEC_US);
	fd = accept_connection();
	receive(fd, "\r\n\r\n");
	ASSERT_TRUE(await_result());
	EXPECT_EQ(outcome, HTTP_TIMED_OUT);
	EXPECT_TRUE(may_have_sent);
	EXPECT_EQ(receive(fd, ""), "");
}

TEST_F(Client, ACancelledRequestClosesItsConnection)
{
	struct http_call *call = send("1");
	int fd = accept_connection();

	receive(fd, "\r\n\r\n");
	http_call_cancel(call);
	EXPECT_EQ(receive(fd, ""), "");
	EXPECT_EQ(result_count, 0);
}

/* A late response that bears no id could be anybody's. */
TEST_F(Client, ALateResponseWithoutAnIdIsNotTakenForTheNextOne)
{
	int fd;

	send("1");
	fd = accept_connection();
	receive(fd, "\r\n\r\n");
	send_text(fd, response_with_id("1", "one"));
	ASSERT_TRUE(await_result());
	send("2");
	receive(fd, "\r\n\r\n");
	send_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");
	run_ms(20);
	EXPECT_EQ(result_count, 0);
	send_text(fd, response_with_id("2", "two"));
	ASSERT_TRUE(await_result());
	EXPECT_EQ(body, "two");
	send("3");
	EXPECT_TRUE(opens_connection());
}

/*
 * Guards against an earlier refusal that a faulty target writes once more on a
 * kept connection: the next caller would be told "not run" while its request
 * runs.  The refusal bears the id of its own request, or none.
 */
TEST_F(Client, AnEarlierRefusalDoesNotAnswerTheNextRequest)
{
	const std::string status = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n",
			  rest = "Content-Length: 4\r\n\r\nfull";

	for (const std::string &copy :
	    {status + "Request-Id: 1\r\n" + rest, status + rest}) {
		int fd;

		send("1");
		fd = accept_connection();
		receive(fd, "\r\n\r\n");
		send_text(fd, status + "Request-Id: 1\r\n" + rest);
		ASSERT_TRUE(await_result());
		send("2");
		receive(fd, "\r\n\r\n");
		send_text(fd, copy);
		run_ms(20);
		EXPECT_EQ(result_count, 0);
		send_text(fd, response_with_id("2", "two"));
		ASSERT_TRUE(await_result());
		EXPECT_EQ(body, "two");
	}
}

/* Where answers bear no id, the owner says which end their connection. */
TEST_F(Client, TheOwnerMayEndTheConnectionOfAResponse)
{
	int fd;

	keeps_next = false;
	send("1");
	fd = accept_connection();
	receive(fd, "\r\n\r\n");
	send_text(fd, response_with_id("1", "one"));
	ASSERT_TRUE(await_result());
	EXPECT_EQ(receive(fd, ""), "");
	send("2");
	EXPECT_TRUE(opens_connection());
}

/*
 * Guards against an answer that breaks off anywhere, also in its head, and is
 * taken for complete, as if the rest had been an empty body.
 */
TEST_F(Client, AResponseCutAtAnyByteIsBroken)
{
	const std::string head =
	    "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nResponse-Signature: s\r\n";
	const std::string responses[] = {
	    head + "Content-Length: 3\r\n\r\none",
	    head + "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n"
		   "Trailer: x\r\n\r\n",
	    /* Without a length only the head can be told to be cut. */
	    head + "\r\n",
	};
	size_t cut;
	int fd;

	for (const std::string &response : responses) {
		for (cut = 0; cut < response.size(); cut++) {
			send("1");
			fd = accept_connection();
			receive(fd, "\r\n\r\n");
			send_text(fd, response.substr(0, cut));
			shutdown(fd, SHUT_WR);
			ASSERT_TRUE(await_result());
			EXPECT_EQ(outcome, HTTP_BROKEN)
			    << response.substr(0, cut);
			EXPECT_TRUE(may_have_sent);
		}
	}
}

namespace {

/* A peer that sends a text once and then another one without end. */
struct EndlessPeer {
	int fd;
	std::string pending, repeated;
	size_t written = 0;
	bool closed = false;

	/* Write what the socket takes. */
	void
	write_some()
	{
		ssize_t n;

		while (!closed) {
			while (pending.size() < 4096)
				pending += repeated;
			n = ::send(fd, pending.data(), pending.size(),
			    MSG_DONTWAIT | MSG_NOSIGNAL);
			if (n < 0) {
				closed = errno != EAGAIN;
				return;
			}
			written += (size_t)n;
			pending.erase(0, (size_t)n);
			if (written > (64u << 20))
				return;
		}
	}
};

} // namespace

/*
 * Bytes that are no response may come until we close.  The call ends long
 * before its time is over, and little is read and kept.
 */
TEST_F(Client, EndlessBytesEndTheCall)
{
	const std::string ok = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n",
			  chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
	const struct {
		const char *what;
		std::string first, repeated;
	} cases[] = {
	    {"no response", "", "x"},
	    {"empty lines", "", "\r\n"},
	    {"zero bytes", "", std::string(1, '\0')},
	    {"status line", "HTTP/1.1 200 O", "K"},
	    {"header name", ok, "x"},
	    {"header value", ok + "A: ", "x"},
	    {"headers", ok, "A: b\r\n"},
	    {"body", ok + "\r\n", "x"},
	    {"long body", ok + "Content-Length: 999999999999\r\n\r\n", "x"},
	    {"chunk size", chunked, "0"},
	    {"chunk extension", chunked + "1;", "x"},
	    {"chunks", chunked, "1\r\nx\r\n"},
	    {"trailer", chunked + "0\r\nA: ", "x"},
	    {"trailers", chunked + "0\r\n", "A: b\r\n"},
	    {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	    {"responses to others", "", response_with_id("0", "zero")},
	};

	for (const auto &c : cases) {
		EndlessPeer peer;

		send("1", "", 60 * SEC_US);
		peer.fd = accept_connection();
		receive(peer.fd, "\r\n\r\n");
		peer.pending = c.first;
		peer.repeated = c.repeated;
		run_until([&] {
			peer.write_some();
			return result_count > 0;
		});
		ASSERT_EQ(result_count, 1) << c.what;
		EXPECT_EQ(outcome, HTTP_BROKEN) << c.what;
		EXPECT_TRUE(may_have_sent) << c.what;
		EXPECT_TRUE(run_until([&] {
			peer.write_some();
			return peer.closed;
		})) << c.what;
		EXPECT_LT(peer.written, 16u << 20) << c.what;
	}
}

/* Bytes after a whole response, or where there is no body, end it as well. */
TEST_F(Client, EndlessBytesAfterAResponseCloseTheConnection)
{
	for (const char *status : {"200 OK\r\nContent-Length: 0",
		 "204 No Content", "304 Not Modified"}) {
		EndlessPeer peer;

		send("1");
		peer.fd = accept_connection();
		receive(peer.fd, "\r\n\r\n");
		peer.pending = std::string("HTTP/1.1 ") + status +
			       "\r\nRequest-Id: 1\r\n\r\n";
		peer.repeated = "x";
		EXPECT_TRUE(run_until([&] {
			peer.write_some();
			return peer.closed;
		})) << status;
		EXPECT_EQ(result_count, 1) << status;
		EXPECT_EQ(outcome, HTTP_RESPONSE_RECEIVED) << status;
	}
}

namespace {

/* One of several calls at a time. */
struct Pending {
	EndlessPeer peer;
	int result_count = 0;
	enum http_outcome outcome;
	std::string body;

	static void
	on_result(void *arg, const struct http_result *r)
	{
		Pending *p = static_cast<Pending *>(arg);

		p->result_count++;
		p->outcome = r->outcome;
		if (r->response != nullptr && r->response->body != nullptr)
			p->body = std::string(
			    r->response->body, r->response->body_len);
	}
};

} // namespace

/*
 * Guards against a target that answers many requests at once with bytes that
 * never end: their responses stay below the limit of one, but not of the
 * memory that there is for all.  The others are read to their ends.
 */
TEST_F(Client, EndlessBytesOfManyCallsAreHeldWithinALimit)
{
	const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n",
			  part(20000, 'x');
	std::vector<Pending> calls(64);
	Pending sound;
	struct http_client_settings set = {
	    {4096, 4 << 20}, 4, 10 * SEC_US, MAX_PARTIAL_BYTES};
	struct http_request r = {};
	size_t most = 0, broken = 0;

	http_client_destroy(client);
	client = http_client_create(base, {LOOPBACK_IP, PORT}, &set);
	r.method = "GET";
	r.path = "/x";
	r.headers = "Host: x\r\n";
	r.headers_len = 9;
	r.timeout_us = 60 * SEC_US;
	ASSERT_NE(
	    http_client_send(client, &r, Pending::on_result, &sound), nullptr);
	sound.peer.fd = accept_connection();
	receive(sound.peer.fd, "\r\n\r\n");
	send_text(sound.peer.fd, head + "Content-Length: 40000\r\n\r\n" + part);
	for (Pending &p : calls) {
		ASSERT_NE(http_client_send(client, &r, Pending::on_result, &p),
		    nullptr);
		p.peer.fd = accept_connection();
		receive(p.peer.fd, "\r\n\r\n");
		p.peer.pending = head + "\r\n";
		p.peer.repeated = "x";
	}
	run_until([&] {
		broken = 0;
		for (Pending &p : calls) {
			p.peer.write_some();
			most =
			    std::max(most, http_client_partial_bytes(client));
			broken += p.result_count > 0;
		}
		return broken == calls.size();
	});
	for (Pending &p : calls) {
		EXPECT_EQ(p.result_count, 1);
		EXPECT_EQ(p.outcome, HTTP_BROKEN);
	}
	EXPECT_GT(most, (size_t)100000);
	EXPECT_LE(most, MAX_PARTIAL_BYTES);
	EXPECT_EQ(sound.result_count, 0);
	send_text(sound.peer.fd, part);
	ASSERT_TRUE(run_until([&] { return sound.result_count > 0; }));
	EXPECT_EQ(sound.outcome, HTTP_RESPONSE_RECEIVED);
	EXPECT_EQ(sound.body, part + part);
	EXPECT_EQ(http_client_partial_bytes(client), 0u);
}
