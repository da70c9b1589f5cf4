/*
 * Tests of the HTTP syntax against the clauses of RFC 9110 and RFC 9112 that
 * the texts name.
 */
#include <cstring>
#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "wire/http_syntax.h"
}

namespace {

/* The state after a text was scanned in pieces of step bytes. */
enum http_scan_state
scan(enum http_scan_state first, const std::string &text, size_t step)
{
	struct http_scan s;
	size_t at;

	http_scan_init(&s, first);
	for (at = 0; at < text.size() && s.state < HTTP_SCAN_DONE; at += step)
		http_scan_feed(
		    &s, text.data() + at, std::min(step, text.size() - at));
	return s.state;
}

/* Expect a state after a text, however it is cut to pieces. */
void
expect_state(enum http_scan_state first, const std::string &text,
    enum http_scan_state want)
{
	size_t step;

	for (step = 1; step <= text.size(); step++)
		EXPECT_EQ(scan(first, text, step), want)
		    << testing::PrintToString(text) << " by " << step;
}

} // namespace

TEST(HttpSyntax, AcceptsStartLines)
{
	for (const char *line :
	    {"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 404 Not Found",
		"HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.1 200 \tgut \xc3\xa4"})
		expect_state(HTTP_SCAN_RESPONSE, std::string(line) + "\r\n\r\n",
		    HTTP_SCAN_DONE);
	for (const char *line : {"GET / HTTP/1.1", "\r\nPOST /a?b=c HTTP/1.0",
		 "M-SEARCH * HTTP/1.1", "GET http://a/b HTTP/1.1"})
		expect_state(HTTP_SCAN_REQUEST, std::string(line) + "\r\n\r\n",
		    HTTP_SCAN_DONE);
}

/* RFC 9112, 2.2, 2.3 and 4 */
TEST(HttpSyntax, RefusesWhatIsNoStatusLine)
{
	for (const char *line : {"\r\nHTTP/1.1 200 OK", " HTTP/1.1 200 OK",
		 "http/1.1 200 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK",
		 "HTTP/1.10 200 OK", "HTTP/11 200 OK", "HTTP/1. 200 OK",
		 "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 20 OK",
		 "HTTP/1.1 2 OK", "HTTP/1.1 OK", "HTTP/1.1 0200 OK",
		 "HTTP/1.1 2000", "HTTP/1.1 2O0 OK", "HTTP/1.1 -20 OK",
		 "HTTP/1.1 200\tOK", "HTTP/1.1 200OK", "HTTP/1.1 200 O\rK",
		 "HTTP/1.1 200 O\001K", "HTTP/1.1 200 O\177K", "ICY 200 OK",
		 "HTTP/1.1200 OK", "SIP/1.1 200 OK", "HTTP/1.1 200 OK\n"})
		expect_state(HTTP_SCAN_RESPONSE, std::string(line) + "\r\n",
		    HTTP_SCAN_INVALID);
	expect_state(
	    HTTP_SCAN_RESPONSE, "HTTP/1.1 200 OK\n", HTTP_SCAN_INVALID);
	expect_state(HTTP_SCAN_RESPONSE,
	    std::string("HTTP/1.1 200 O\0K\r\n", 18), HTTP_SCAN_INVALID);
}

/* RFC 9112, 2.2, 2.3 and 3 */
TEST(HttpSyntax, RefusesWhatIsNoRequestLine)
{
	for (const char *line :
	    {" GET / HTTP/1.1", "GET  / HTTP/1.1", "GET /", "GET / HTTP/2.0",
		"GET / HTTP/0.9", "GET / http/1.1", "GET /a b HTTP/1.1",
		"GET /a\tb HTTP/1.1", "GET /a\001 HTTP/1.1", "G(T / HTTP/1.1",
		"GET / HTTP/1.1 ", "GET / HTTP/1.11", "GET\t/ HTTP/1.1",
		"\nGET / HTTP/1.1", "GET / HTTP/1.1\n"})
		expect_state(HTTP_SCAN_REQUEST, std::string(line) + "\r\n",
		    HTTP_SCAN_INVALID);
	expect_state(HTTP_SCAN_REQUEST, "GET / HTTP/1.1\n", HTTP_SCAN_INVALID);
}

TEST(HttpSyntax, AHeadEndsWithAnEmptyLine)
{
	const std::string head = "HTTP/1.1 200 OK\r\nA: b\r\nC:\r\n\r\n";
	struct http_scan s;

	http_scan_init(&s, HTTP_SCAN_RESPONSE);
	EXPECT_EQ(http_scan_feed(&s, (head + "\001").data(), head.size() + 1),
	    head.size());
	EXPECT_EQ(s.state, HTTP_SCAN_DONE);
	expect_state(HTTP_SCAN_RESPONSE, "HTTP/1.1 200 OK\r\nA: b\r\n",
	    HTTP_SCAN_LINE_START);
}

TEST(HttpSyntax, KnowsABlockOfFieldLines)
{
	const char *const good[] = {"", "A: b\r\n", "A:b\r\nC:\r\n"};
	const char *const bad[] = {"A: b", "A: b\r", "A: b\n", "A", "\r\n",
	    "A: b\r\n\r\n", " A: b\r\n", "A: b\r\n c\r\n", "A : b\r\n"};

	for (const char *text : good)
		EXPECT_TRUE(http_are_field_lines(text, strlen(text))) << text;
	for (const char *text : bad)
		EXPECT_FALSE(http_are_field_lines(text, strlen(text))) << text;
	EXPECT_TRUE(http_are_field_lines(nullptr, 0));
}

/* RFC 9110, 15 */
TEST(HttpSyntax, StatusCodesHaveARange)
{
	EXPECT_TRUE(http_is_status(100));
	EXPECT_TRUE(http_is_status(599));
	EXPECT_FALSE(http_is_status(0));
	EXPECT_FALSE(http_is_status(99));
	EXPECT_FALSE(http_is_status(600));
	EXPECT_FALSE(http_is_status(UINT64_MAX));
	EXPECT_FALSE(http_is_final_status(199));
	EXPECT_TRUE(http_is_final_status(200));
	EXPECT_FALSE(http_is_final_status(600));
}
