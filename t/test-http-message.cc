#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "core/hash.h"
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

namespace {

/* Where a field line can stand in a response: what is before and after it. */
const struct {
	const char *before, *after;
} PLACES[] = {
    {"HTTP/1.1 200 OK\r\n", "Content-Length: 0\r\n\r\n"},
    {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nA: b\r\n", "\r\n"},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n",
	"\r\n"},
};

/* Expect a state after a response with a field line, at each place. */
void
expect_state_with_line(const std::string &line, enum http_reader_state want)
{
	for (const auto &place : PLACES) {
		Reader reader(HTTP_READ_RESPONSE);
		const std::string text =
		    place.before + line + "\r\n" + place.after;

		reader.feed(text, 1000);
		EXPECT_EQ(reader.r.state, want) << testing::PrintToString(text);
	}
}

} // namespace

/*
 * RFC 9110, 5.1: a field name is a token.  Guards against a name that holds a
 * blank or a control byte and is passed on, or that makes the library read
 * another field than other parsers do.
 */
TEST(HttpMessage, AFieldNameIsAToken)
{
	const std::string token =
	    "!#$%&'*+-.^_`|~0123456789"
	    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
	int c;

	for (c = 0; c < 256; c++) {
		if (c == ':' || token.find((char)c) != token.npos)
			continue;
		for (const std::string name : {"X-A", "Content-Length",
			 "Connection", "Transfer-Encoding", "Upgrade"}) {
			for (size_t at = 0; at <= name.size(); at++) {
				std::string line = name;

				line.insert(at, 1, (char)c);
				expect_state_with_line(
				    line + ": 3", HTTP_READER_MALFORMED);
			}
		}
	}
	for (char t : token)
		expect_state_with_line(
		    std::string(1, t) + ": v", HTTP_READER_COMPLETE);
}

/* RFC 9112, 5, and 5.2: a folded line is refused. */
TEST(HttpMessage, AFieldLineHasANameAndAColon)
{
	for (const char *line : {": v", "X", "X v", " X: v", "\tX: v",
		 "X\r\n: v", "X: v\r\n folded", "X: v\r\n\tfolded", "X:\r\n v"})
		expect_state_with_line(line, HTTP_READER_MALFORMED);
}

/* RFC 9110, 5.5 and RFC 9112, 2.2: also no bare CR or LF. */
TEST(HttpMessage, AFieldValueHoldsNoControlBytes)
{
	int c;

	for (c = 0; c < 256; c++) {
		const std::string value = (char)c + std::string("b");
		const enum http_reader_state want =
		    c == '\t' || (c >= ' ' && c != 0x7f)
			? HTTP_READER_COMPLETE
			: HTTP_READER_MALFORMED;

		expect_state_with_line("X: " + value, want);
		expect_state_with_line("X: a" + value, want);
	}
}

/* RFC 9112, 2.1: each line of the head ends with CRLF, the last is empty. */
TEST(HttpMessage, LinesEndWithCrlf)
{
	for (const char *text : {"HTTP/1.1 200 OK\nContent-Length: 0\r\n\r\n",
		 "HTTP/1.1 200 OK\r\nContent-Length: 0\n\r\n",
		 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\n",
		 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\rX",
		 "HTTP/1.1 200 OK\r\nContent-Length: 0\rX: a\r\n\r\n",
		 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\r\n\r\n"}) {
		Reader reader(HTTP_READ_RESPONSE);

		reader.feed(text, 1000);
		EXPECT_EQ(reader.r.state, HTTP_READER_MALFORMED)
		    << testing::PrintToString(text);
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

/* The limit of the head is the only one on its lines. */
TEST(HttpMessage, AHeadWithinItsLimitMayHaveManyLines)
{
	std::string head = "GET / HTTP/1.1\r\nHost: x\r\n";
	Reader reader(HTTP_READ_REQUEST);
	int n = 0;

	while (head.size() + sizeof("a9999:9\r\n\r\n") < LIMITS.header_bytes) {
		head += "a" + std::to_string(n) + ":" + std::to_string(n % 10) +
			"\r\n";
		n++;
	}
	reader.feed(head + "\r\n", 1000);
	ASSERT_EQ(reader.r.state, HTTP_READER_COMPLETE);
	ASSERT_EQ(reader.r.msg.nfields, n + 1);
	for (int i = 0; i < n; i++)
		EXPECT_STREQ(http_message_field(&reader.r.msg,
				 ("a" + std::to_string(i)).c_str()),
		    std::to_string(i % 10).c_str());
	EXPECT_GE(http_reader_memory(&reader.r),
	    reader.r.msg.text_len + (size_t)n * sizeof(struct http_field));
}

/* Guards against bodies that are kept up to the limit before their refusal. */
TEST(HttpMessage, RefusesABodyOnceItsLengthIsKnownToBeTooLong)
{
	Reader length(HTTP_READ_REQUEST), chunk(HTTP_READ_REQUEST),
	    fits(HTTP_READ_REQUEST), response(HTTP_READ_RESPONSE),
	    head(HTTP_READ_RESPONSE);
	const std::string chunked =
	    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

	length.feed("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 7);
	EXPECT_EQ(length.r.state, HTTP_READER_BODY_TOO_LONG);
	/* 32768 and 32769 bytes. */
	chunk.feed(
	    chunked + "8000\r\n" + std::string(32768, 'x') + "\r\n8001\r\n",
	    1000);
	EXPECT_EQ(chunk.r.state, HTTP_READER_BODY_TOO_LONG);
	fits.feed("POST / HTTP/1.1\r\nContent-Length: 65536\r\n\r\n", 7);
	EXPECT_EQ(fits.r.state, HTTP_READER_BODY);
	response.feed(
	    "HTTP/1.1 200 OK\r\nContent-Length: 10000000000\r\n\r\n", 7);
	EXPECT_EQ(response.r.state, HTTP_READER_BODY_TOO_LONG);
	/* The response to HEAD says how long the body would be. */
	head.r.no_body = true;
	head.feed("HTTP/1.1 200 OK\r\nContent-Length: 10000000000\r\n\r\n", 7);
	EXPECT_EQ(head.r.state, HTTP_READER_COMPLETE);
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

namespace {

const std::string CHUNKED_HEAD =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

/*
 * RFC 9112, 7.1.  Guards against a body that was garbled on its way and is
 * taken for whole, since what stands where a chunk should end is skipped.
 */
TEST(HttpMessage, WrongChunksAreRefused)
{
	for (const char *body : {"3\r\nabcXY0\r\n\r\n",
		 "3\r\nabcd\r\n0\r\n\r\n", "3\r\nabc\n0\r\n\r\n",
		 "3\r\nabc\rX0\r\n\r\n", "3\nabc\r\n0\r\n\r\n",
		 "3\rXabc\r\n0\r\n\r\n", "3\r\nabc\r\n0\n\r\n",
		 "3\r\nabc\r\n0\rX\r\n", "3\r\nabc\r\n0\r\n\n",
		 "3\r\nabc\r\n0\r\n\rX", "\r\n3\r\nabc\r\n0\r\n\r\n",
		 " 3\r\nabc\r\n0\r\n\r\n", "3 x\r\nabc\r\n0\r\n\r\n",
		 "0x3\r\nabc\r\n0\r\n\r\n", "-3\r\nabc\r\n0\r\n\r\n",
		 "+3\r\nabc\r\n0\r\n\r\n", "3,\r\nabc\r\n0\r\n\r\n",
		 "3;a\nb\r\nabc\r\n0\r\n\r\n", "3;\001\r\nabc\r\n0\r\n\r\n",
		 ";a\r\nabc\r\n0\r\n\r\n", "g\r\nabc\r\n0\r\n\r\n",
		 "10000000000000003\r\nabc\r\n0\r\n\r\n",
		 "fffffffffffffffff\r\nabc\r\n0\r\n\r\n"}) {
		const std::string text = CHUNKED_HEAD + body;

		for (size_t step : {size_t(1), text.size()}) {
			Reader reader(HTTP_READ_RESPONSE);

			reader.feed(text, step);
			EXPECT_EQ(reader.r.state, HTTP_READER_MALFORMED)
			    << testing::PrintToString(body) << " by " << step;
		}
	}
}

TEST(HttpMessage, ChunksMayHaveExtensions)
{
	for (const char *body : {"3\r\nabc\r\n0\r\n\r\n",
		 "003\r\nabc\r\n000\r\n\r\n", "3;a\r\nabc\r\n0;b=c\r\n\r\n",
		 "3 \t; a=\"b;c\"\r\nabc\r\n0\r\n\r\n",
		 "1\r\na\r\n2\r\nbc\r\n0\r\nA: b\r\nC:\r\n\r\n"}) {
		const std::string text = CHUNKED_HEAD + body;

		for (size_t step = 1; step <= text.size(); step++) {
			Reader reader(HTTP_READ_RESPONSE);

			EXPECT_EQ(reader.feed(text + "X", step), text.size());
			EXPECT_EQ(reader.r.state, HTTP_READER_COMPLETE)
			    << testing::PrintToString(body) << " by " << step;
			EXPECT_EQ(body_of(reader.r.msg), "abc");
		}
	}
}

/*
 * RFC 9112, 6.3, rule 1.  Guards against a 304 whose length is that of another
 * response and that swallows the response after it, and against interim
 * responses that do.
 */
TEST(HttpMessage, SomeStatusesHaveNoBody)
{
	for (const char *status : {"100", "103", "204", "304"}) {
		for (const char *line : {"", "Content-Length: 3\r\n",
			 "Transfer-Encoding: chunked\r\n"}) {
			const std::string text = std::string("HTTP/1.1 ") +
						 status + " OK\r\n" + line +
						 "\r\n";
			Reader reader(HTTP_READ_RESPONSE);

			EXPECT_EQ(
			    reader.feed(text + "HTTP/1.1 200 OK\r\n", 1000),
			    text.size())
			    << text;
			EXPECT_EQ(reader.r.state, HTTP_READER_COMPLETE) << text;
			EXPECT_EQ(reader.r.msg.body_len, 0u);
			EXPECT_TRUE(reader.r.msg.keep_alive) << text;
			EXPECT_FALSE(reader.r.msg.until_close) << text;
		}
	}
}

/*
 * RFC 9112, 6.1 to 6.3.  A body whose coding is not undone is not the one that
 * the target sent, as the field that names the coding is not passed on.
 */
TEST(HttpMessage, OnlyAChunkedBodyIsDecoded)
{
	const std::string chunks = "3\r\nabc\r\n0\r\n\r\n";

	for (const char *lines : {"Transfer-Encoding: gzip, chunked\r\n",
		 "Transfer-Encoding: gzip\r\n",
		 "Transfer-Encoding: identity\r\n",
		 "Transfer-Encoding: chunked, chunked\r\n",
		 "Transfer-Encoding: chunked, gzip\r\n",
		 "Transfer-Encoding: chunked;a=b\r\n",
		 "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		 "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
		 "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
		 "Transfer-Encoding:\r\n", "Transfer-Encoding: \"chunked\"\r\n",
		 "Transfer-Encoding: xchunked\r\n",
		 "Transfer-Encoding: chunkedx\r\n",
		 "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
		 "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
		 "Content-Length: 3\r\nTransfer-Encoding: gzip\r\n",
		 "Transfer-Encoding: identity\r\nContent-Length: 3\r\n"}) {
		Reader request(HTTP_READ_REQUEST), response(HTTP_READ_RESPONSE);

		request.feed("POST / HTTP/1.1\r\nHost: x\r\n" +
				 std::string(lines) + "\r\n" + chunks,
		    1000);
		EXPECT_EQ(request.r.state, HTTP_READER_MALFORMED) << lines;
		response.feed("HTTP/1.1 200 OK\r\n" + std::string(lines) +
				  "\r\n" + chunks,
		    1000);
		http_reader_eof(&response.r);
		EXPECT_EQ(response.r.state, HTTP_READER_MALFORMED) << lines;
	}
	for (const char *value : {"chunked", "Chunked", "\tCHUNKED "}) {
		Reader reader(HTTP_READ_RESPONSE);

		reader.feed(
		    std::string("HTTP/1.1 200 OK\r\ntransfer-encoding:") +
			value + "\r\n\r\n" + chunks,
		    1000);
		EXPECT_EQ(reader.r.state, HTTP_READER_COMPLETE) << value;
		EXPECT_EQ(body_of(reader.r.msg), "abc");
	}
}

/* RFC 9112, 6.1: its sender may not know chunks, so its framing is faulty. */
TEST(HttpMessage, ChunksOfHttp10AreRefused)
{
	Reader request(HTTP_READ_REQUEST), response(HTTP_READ_RESPONSE);

	request.feed("POST / HTTP/1.0\r\nHost: x\r\n"
		     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	    1000);
	EXPECT_EQ(request.r.state, HTTP_READER_MALFORMED);
	response.feed("HTTP/1.0 200 OK\r\n"
		      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	    1000);
	EXPECT_EQ(response.r.state, HTTP_READER_MALFORMED);
}

/* RFC 9112, 6.3, rule 5, and RFC 9110, 8.6 */
TEST(HttpMessage, AnInvalidLengthIsRefused)
{
	for (const char *value :
	    {"", " ", "3,3", "3, 3", "3 3", "+3", "-3", "0x3", "3.0", "3;",
		"three", "18446744073709551616", "99999999999999999999999",
		"3\r\nContent-Length: 3", "3\r\nContent-Length: 4",
		"3\r\nContent-Length:", "\r\nContent-Length: 3"}) {
		const std::string line =
		    std::string("Content-Length: ") + value + "\r\n\r\nabc";
		Reader request(HTTP_READ_REQUEST), response(HTTP_READ_RESPONSE);

		request.feed("POST / HTTP/1.1\r\nHost: x\r\n" + line, 1000);
		EXPECT_EQ(request.r.state, HTTP_READER_MALFORMED) << value;
		response.feed("HTTP/1.1 200 OK\r\n" + line, 1000);
		http_reader_eof(&response.r);
		EXPECT_EQ(response.r.state, HTTP_READER_MALFORMED) << value;
	}
	for (const char *value : {"3", "3 ", "003", "\t3"}) {
		Reader reader(HTTP_READ_RESPONSE);

		reader.feed(std::string("HTTP/1.1 200 OK\r\nContent-Length: ") +
				value + "\r\n\r\nabc",
		    1000);
		EXPECT_EQ(reader.r.state, HTTP_READER_COMPLETE) << value;
		EXPECT_EQ(body_of(reader.r.msg), "abc");
	}
}

/*
 * RFC 9110, 15.2.2: what follows it on the connection is another protocol,
 * which no request has asked for.
 */
TEST(HttpMessage, ASwitchOfProtocolsIsRefused)
{
	for (const char *lines :
	    {"", "Connection: upgrade\r\nUpgrade: x\r\n"}) {
		Reader reader(HTTP_READ_RESPONSE);

		reader.feed("HTTP/1.1 101 Switching Protocols\r\n" +
				std::string(lines) + "\r\n",
		    1000);
		EXPECT_EQ(reader.r.state, HTTP_READER_MALFORMED) << lines;
	}
}

/* RFC 9112, 5.1 */
TEST(HttpMessage, AValueHasNoWhiteSpaceAroundIt)
{
	const std::string text = "HTTP/1.1 200 OK\r\nA: \t b \tc \t \r\n"
				 "B: \t \r\nC:c\r\nD:\r\n"
				 "Content-Length: 0\r\n\r\n";

	for (size_t step = 1; step <= text.size(); step++) {
		Reader reader(HTTP_READ_RESPONSE);

		reader.feed(text, step);
		ASSERT_EQ(reader.r.state, HTTP_READER_COMPLETE);
		EXPECT_STREQ(http_message_field(&reader.r.msg, "A"), "b \tc");
		EXPECT_STREQ(http_message_field(&reader.r.msg, "B"), "");
		EXPECT_STREQ(http_message_field(&reader.r.msg, "C"), "c");
		EXPECT_STREQ(http_message_field(&reader.r.msg, "D"), "");
	}
}

/* RFC 9112, 9.3 and 9.6 */
TEST(HttpMessage, CloseIsFoundInAnyList)
{
	const struct {
		const char *lines;
		bool keep_alive;
	} cases[] = {
	    {"", true},
	    {"Connection: keep-alive\r\n", true},
	    {"Connection: closed, x-close\r\n", true},
	    {"Close: close\r\n", true},
	    {"Connection: close\r\n", false},
	    {"connection: CLOSE\r\n", false},
	    {"Connection: a,close ,b\r\n", false},
	    {"Connection: a,\tclose\t\r\n", false},
	    {"Connection: keep-alive, close\r\n", false},
	    {"Connection: keep-alive\r\nConnection: a, close\r\n", false},
	};

	for (const auto &c : cases) {
		Reader reader(HTTP_READ_RESPONSE);

		reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" +
				std::string(c.lines) + "\r\n",
		    1000);
		EXPECT_EQ(reader.r.state, HTTP_READER_COMPLETE);
		EXPECT_EQ(reader.r.msg.keep_alive, c.keep_alive) << c.lines;
	}
}

/* RFC 9112, 3.2: parsers may disagree on which of two hosts counts. */
TEST(HttpMessage, ARequestHasOneHost)
{
	for (const char *lines :
	    {"Host: x\r\nHost: x\r\n", "Host: x\r\nA: b\r\nhost: y\r\n"}) {
		Reader reader(HTTP_READ_REQUEST);

		reader.feed(
		    "GET / HTTP/1.1\r\n" + std::string(lines) + "\r\n", 1000);
		EXPECT_EQ(reader.r.state, HTTP_READER_MALFORMED) << lines;
	}
}

namespace {

/* What a response was read as, in words. */
std::string
reading_of(const std::string &text, uint64_t *rng)
{
	Reader reader(HTTP_READ_RESPONSE);
	const struct http_message &m = reader.r.msg;
	std::string s;
	size_t at = 0, len;

	while (at < text.size() && reader.r.state < HTTP_READER_COMPLETE) {
		len = rng != nullptr ? 1 + rng_below(rng, 40) : text.size();
		at += http_reader_feed(&reader.r, text.data() + at,
		    std::min(len, text.size() - at));
	}
	if (reader.r.state >= HTTP_READER_MALFORMED)
		return "refused";
	http_reader_eof(&reader.r);
	if (reader.r.state != HTTP_READER_COMPLETE)
		return "incomplete";
	EXPECT_TRUE(http_is_status((uint64_t)m.status)) << text;
	s = std::to_string(m.status) + " " + std::to_string(at) + " " +
	    std::to_string(m.keep_alive) + " " + body_of(m);
	for (int i = 0; i < m.nfields; i++) {
		const std::string line =
		    std::string(http_message_field_name(&m, i)) + ": " +
		    http_message_field_value(&m, i) + "\r\n";

		EXPECT_TRUE(http_are_field_lines(line.data(), line.size()))
		    << testing::PrintToString(text);
		s += "\n" + line;
	}
	return s;
}

} // namespace

/*
 * Responses that are damaged at random are read the same in whatever pieces
 * they come, and what is read is valid.
 */
TEST(HttpMessage, DamagedResponsesAreReadTheSameInAnyPieces)
{
	const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\n"
				 "Response-Signature: s\r\n",
			  sound[] = {head + "Content-Length: 3\r\n\r\none",
			      head + "Transfer-Encoding: chunked\r\n\r\n"
				     "3\r\none\r\n2;a=b\r\nto\r\n0\r\n"
				     "A: b\r\n\r\n",
			      head + "\r\nup to the end",
			      "HTTP/1.1 100 Continue\r\n\r\n" + head +
				  "Content-Length: 0\r\n\r\n"};
	static const char likely[] = "\r\n\t :;,0123456789abcfHTP/.\0\x01\x7f";
	uint64_t rng = 34;
	int round, refused = 0;

	for (round = 0; round < 50000; round++) {
		std::string text = sound[rng_below(&rng, 4)], whole;
		uint64_t n = 1 + rng_below(&rng, 3);

		while (n-- > 0) {
			size_t at = rng_below(&rng, text.size());
			char c = likely[rng_below(&rng, sizeof(likely) - 1)];

			switch (rng_below(&rng, 3)) {
			case 0:
				text[at] = c;
				break;
			case 1:
				text.insert(at, 1, c);
				break;
			default:
				text.erase(at, 1);
				break;
			}
		}
		whole = reading_of(text, nullptr);
		refused += whole == "refused";
		ASSERT_EQ(reading_of(text, &rng), whole)
		    << testing::PrintToString(text);
	}
	EXPECT_GT(refused, 1000);
	EXPECT_LT(refused, 49000);
}
