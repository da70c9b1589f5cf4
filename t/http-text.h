/*
 * http-text - HTTP messages for tests, as text and parsed
 */
#ifndef T_HTTP_TEXT_H
#define T_HTTP_TEXT_H

#include <gtest/gtest.h>
#include <string>

extern "C" {
#include "daemon/http_message.h"
}

/* A message parsed from a text, which has to be one complete message. */
struct ParsedMessage {
	struct http_reader r;

	ParsedMessage(enum http_reader_kind kind, const std::string &text)
	{
		const struct http_limits limits = {65536, 1 << 20};

		http_reader_init(&r, kind, &limits);
		http_reader_feed(&r, text.data(), text.size());
		EXPECT_EQ(r.state, HTTP_READER_COMPLETE) << text;
	}
	~ParsedMessage()
	{
		http_reader_release(&r);
	}
	/* The message, valid as long as this object. */
	struct http_message *
	get()
	{
		return &r.msg;
	}
};

/*
 * A request.  line is "METHOD TARGET"; each of the headers ends with CRLF.
 * Content-Length is added if there is a body.
 */
inline std::string
request_text(const std::string &line, const std::string &headers,
    const std::string &body = "")
{
	std::string length =
	    body.empty()
		? ""
		: "Content-Length: " + std::to_string(body.size()) + "\r\n";

	return line + " HTTP/1.1\r\n" + headers + length + "\r\n" + body;
}

/* A response; Content-Length is added to the headers. */
inline std::string
response_text(int status, const std::string &headers, const std::string &body)
{
	return "HTTP/1.1 " + std::to_string(status) + " Word\r\n" + headers +
	       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
	       body;
}

#endif
