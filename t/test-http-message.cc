#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "daemon/http_message.h"
}

namespace {

const struct http_limits LIMITS = {4096, 65536};

struct Reader {
	struct http_reader r;

	explicit Reader(enum http_reader_kind kind)
	{
		http_reader_init(&r, kind, &LIMITS);
	}
	~Reader()
	{
		http_reader_release(&r);
	}
	/*
	 * Feed a text in pieces of step bytes, until the message is complete
	 * or refused.  Returns how many bytes were consumed.
	 */
	size_t
	feed(const std::string &text, size_t step)
	{
		size_t consumed = 0, piece_len, taken;

		while (consumed < text.size()) {
			piece_len = std::min(step, text.size() - consumed);
			taken = http_reader_feed(
			    &r, text.data() + consumed, piece_len);
			consumed += taken;
			if (taken < piece_len ||
			    r.state >= HTTP_READER_COMPLETE)
				break;
		}
		return consumed;
	}
};

std::string
body_of(const struct http_message &m)
{
	return std::string(m.body != nullptr ? m.body : "", m.body_len);
}

} // namespace

TEST(HttpMessage, ReadsARequestFedInPiecesOfAnySize)
{
	const std::string text = "POST /a/b?c=1 HTTP/1.1\r\nHost: x\r\n"
				 "Empty:\r\nContent-Length: 3\r\n\r\nabc";

	for (size_t step = 1; step <= text.size(); step++) {
		Reader reader(HTTP_READ_REQUEST);

		EXPECT_EQ(reader.feed(text, step), text.size());
		ASSERT_EQ(reader.r.state, HTTP_READER_COMPLETE) << step;
		EXPECT_STREQ(reader.r.msg.method, "POST");
		EXPECT_STREQ(http_message_url(&reader.r.msg), "/a/b?c=1");
		EXPECT_STREQ(http_message_field(&reader.r.msg, "host"), "x");
		EXPECT_STREQ(http_message_field(&reader.r.msg, "empty"), "");
		EXPECT_EQ(http_message_field(&reader.r.msg, "other"), nullptr);
		EXPECT_EQ(body_of(reader.r.msg), "abc");
		EXPECT_TRUE(reader.r.msg.keep_alive);
	}
}

TEST(HttpMessage, StopsAfterTheFirstMessage)
{
	const std::string first =
	    "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
	Reader reader(HTTP_READ_REQUEST);

	EXPECT_EQ(
	    reader.feed(first + "GET /2 HTTP/1.1\r\n", 1000), first.size());
	EXPECT_EQ(reader.r.state, HTTP_READER_COMPLETE);
	EXPECT_FALSE(reader.r.msg.keep_alive);
}

TEST(HttpMessage, AResponseWithAnEmptyBodyIsComplete)
{
	const std::string text = "HTTP/1.1 500 Error\r\nRequest-Id: 7\r\n"
				 "Keep-Alive: timeout=10\r\n"
				 "Content-Length: 0\r\n\r\n";
	Reader reader(HTTP_READ_RESPONSE);

	EXPECT_EQ(reader.feed(text, 1000), text.size());
	EXPECT_EQ(reader.r.state, HTTP_READER_COMPLETE);
	EXPECT_EQ(reader.r.msg.status, 500);
	EXPECT_FALSE(reader.r.msg.until_close);
}

TEST(HttpMessage, AResponseWithoutLengthEndsWithItsConnection)
{
	Reader reader(HTTP_READ_RESPONSE);

	reader.feed("HTTP/1.1 200 OK\r\nA: b\r\n\r\nsome", 1000);
	EXPECT_EQ(reader.r.state, HTTP_READER_BODY);
	EXPECT_TRUE(reader.r.msg.until_close);
	http_reader_eof(&reader.r);
	EXPECT_EQ(reader.r.state, HTTP_READER_COMPLETE);
	EXPECT_EQ(body_of(reader.r.msg), "some");
}

TEST(HttpMessage, ATruncatedResponseIsNotComplete)
{
	Reader reader(HTTP_READ_RESPONSE);

	reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsome", 1000);
	http_reader_eof(&reader.r);
	EXPECT_NE(reader.r.state, HTTP_READER_COMPLETE);
}

TEST(HttpMessage, AmbiguousFramingIsRefused)
{
	const std::string head = "POST / HTTP/1.1\r\nHost: x\r\n";
	const std::string bad[] = {
	    "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	    "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
	    "Content-Length : 3\r\n\r\nabc",
	    "Content-Length: 3x\r\n\r\nabc",
	    "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
	    "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
	    "No colon here\r\n\r\n",
	};

	for (const std::string &rest : bad) {
		Reader reader(HTTP_READ_REQUEST);

		reader.feed(head + rest, 1000);
		EXPECT_EQ(reader.r.state, HTTP_READER_MALFORMED) << rest;
	}
}

TEST(HttpMessage, EnforcesTheLimitsOfHeadAndBody)
{
	Reader head(HTTP_READ_REQUEST), body(HTTP_READ_REQUEST);

	head.feed("GET / HTTP/1.1\r\nA: " + std::string(5000, 'x'), 100);
	EXPECT_EQ(head.r.state, HTTP_READER_HEAD_TOO_LONG);
	body.feed("POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" +
		      std::string(70000, 'x'),
	    1000);
	EXPECT_EQ(body.r.state, HTTP_READER_BODY_TOO_LONG);
}

TEST(HttpMessage, JoinsChunksAndDropsTrailers)
{
	const std::string text = "POST / HTTP/1.1\r\nHost: x\r\n"
				 "Transfer-Encoding: chunked\r\n\r\n"
				 "3\r\nabc\r\n2\r\nde\r\n0\r\nT: v\r\n\r\n";

	for (size_t step = 1; step <= text.size(); step++) {
		Reader reader(HTTP_READ_REQUEST);

		EXPECT_EQ(reader.feed(text, step), text.size());
		ASSERT_EQ(reader.r.state, HTTP_READER_COMPLETE);
		EXPECT_EQ(body_of(reader.r.msg), "abcde");
		EXPECT_EQ(http_message_field(&reader.r.msg, "T"), nullptr);
	}
}
