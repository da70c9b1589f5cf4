/*
 * http_message - one HTTP/1.1 request or response, read from its bytes
 *
 * The parser is a library's; this collects what it finds and says when a
 * message is whole.  A message is never whole if its length is ambiguous or
 * its connection broke.
 *
 *	http_reader_init(&r, HTTP_READ_REQUEST, &limits);
 *	used = http_reader_feed(&r, data, len);
 *	if (r.state == HTTP_READER_WHOLE)
 *		...r.msg, then http_reader_next(&r) and feed the rest
 *	http_reader_release(&r);
 *
 * Names and values are NUL-terminated strings owned by the message.
 */
#ifndef DAEMON_HTTP_MESSAGE_H
#define DAEMON_HTTP_MESSAGE_H

#include <http_parser.h>

#include "core/types.h"

#define HTTP_MAX_FIELDS 100 /* header lines of one message */

struct http_limits {
	size_t header_bytes; /* request or status line included */
	size_t body_bytes;
};

struct http_field {
	uint32_t name; /* offsets into text */
	uint32_t value;
};

struct http_message {
	const char *method; /* a request's */
	int status; /* a response's */
	char *text;
	size_t text_len, text_cap;
	uint32_t url;
	int nfields;
	struct http_field fields[HTTP_MAX_FIELDS];
	char *body;
	size_t body_len, body_cap;
	bool keep_alive; /* the connection may be used again */
	bool expects_continue;
	bool until_close; /* a response that states no length */
};

enum http_reader_state {
	HTTP_READER_HEAD, /* nothing, or a part of the head is there */
	HTTP_READER_BODY,
	HTTP_READER_WHOLE,
	HTTP_READER_BAD, /* these bytes are no message */
	HTTP_READER_HEAD_TOO_LONG,
	HTTP_READER_BODY_TOO_LONG,
};

struct http_reader {
	struct http_parser parser;
	struct http_message msg;
	struct http_limits limits;
	enum http_reader_state state;
	size_t head_bytes;
	bool begun; /* a byte of the message has come */
	bool in_value; /* the parser is within a header's value */
	bool no_body; /* a response to HEAD */
};

enum http_reader_kind {
	HTTP_READ_REQUEST,
	HTTP_READ_RESPONSE,
};

void http_reader_init(
    struct http_reader *, enum http_reader_kind, const struct http_limits *);
void http_reader_release(struct http_reader *);
/* Read on until the message is whole; returns how many bytes were used. */
size_t http_reader_feed(struct http_reader *, const char *, size_t);
/* The peer has closed in order: a message that ends so is whole now. */
void http_reader_eof(struct http_reader *);
/* Begin the next message of the connection. */
void http_reader_next(struct http_reader *);

/* The value of the first header of that name, or NULL. */
const char *http_message_field(const struct http_message *, const char *name);
const char *http_message_name(const struct http_message *, int i);
const char *http_message_value(const struct http_message *, int i);
const char *http_message_url(const struct http_message *);
/* Move the content of src to dst, which must be empty. */
void http_message_move(struct http_message *dst, struct http_message *src);
void http_message_release(struct http_message *);

/* The words that follow a status code. */
const char *http_status_text(int status);

#endif
