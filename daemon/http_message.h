/*
 * http_message - parses one HTTP/1.1 request or response from its bytes
 *
 * A wrapper of the http_parser library that collects the parts of a message,
 * bounds their size and reports when the message is complete.  A message with
 * a wrong syntax or ambiguous framing, or whose connection ends early, never
 * becomes complete.
 *
 *	http_reader_init(&r, HTTP_READ_REQUEST, &limits);
 *	used = http_reader_feed(&r, data, len);
 *	if (r.state == HTTP_READER_COMPLETE)
 *		...use r.msg, then http_reader_next(&r) and feed the rest
 *	http_reader_release(&r);
 *
 * Header names and values are NUL-terminated strings that the message owns.
 */
#ifndef DAEMON_HTTP_MESSAGE_H
#define DAEMON_HTTP_MESSAGE_H

#include <http_parser.h>

#include "core/types.h"
#include "daemon/body.h"
#include "wire/http_syntax.h"

/* Limits on the size of one message. */
struct http_limits {
	size_t header_bytes; /* start line and headers */
	size_t body_bytes;
};

/* A header line, as offsets in bytes into the message's text. */
struct http_field {
	uint32_t name_offset;
	uint32_t value_offset; /* 0: the value is empty */
};

/* A request or a response; http_message_release() frees what it owns. */
struct http_message {
	const char *method; /* of a request; static */
	int status; /* of a response; 0 for a request */
	char *text; /* URL, header names and values, each with a NUL */
	size_t text_len, text_cap; /* bytes used and allocated */
	uint32_t url_offset; /* of a request's URL in text */
	int nfields, fields_cap; /* header lines, and room for them */
	struct http_field *fields;
	char *body; /* NULL if empty; a NUL follows the last byte */
	size_t body_len;
	bool keep_alive; /* the connection may be reused afterwards */
	bool expects_continue; /* has "Expect: 100-continue" */
	bool until_close; /* a response whose body ends with the connection */
};

enum http_reader_state {
	HTTP_READER_HEAD, /* start line and headers are not complete yet */
	HTTP_READER_BODY, /* the body is not complete yet */
	HTTP_READER_COMPLETE, /* the message is complete */
	/* The states from here on are errors. */
	HTTP_READER_MALFORMED, /* malformed, or its framing is ambiguous */
	HTTP_READER_HEAD_TOO_LONG,
	HTTP_READER_BODY_TOO_LONG,
};

struct http_reader {
	struct http_parser parser;
	struct http_scan scan; /* ahead of the parser */
	struct http_message msg;
	struct body body; /* as far as it has come; msg has it at the end */
	struct http_limits limits;
	enum http_reader_state state;
	size_t head_bytes; /* bytes received of start line and headers */
	unsigned int nchunks; /* begun; the owner may reset it */
	bool started; /* a byte of the message was received */
	bool in_value; /* the parser is within a header's value */
	bool no_body; /* the response to a HEAD request; set by the owner */
};

enum http_reader_kind {
	HTTP_READ_REQUEST,
	HTTP_READ_RESPONSE,
};

/*
 * Start to read messages of a kind.  The limits are copied; the owner may
 * change r->limits before each message.
 */
void http_reader_init(
    struct http_reader *, enum http_reader_kind, const struct http_limits *);
void http_reader_release(struct http_reader *);
/*
 * Parse bytes up to the end of the message.  Returns how many were used;
 * those after them belong to the next message.  Errors show in the state.
 */
size_t http_reader_feed(struct http_reader *, const char *, size_t);
/* Whether the message being read has a body in chunks, as far as is known. */
bool http_reader_is_chunked(const struct http_reader *);
/*
 * The peer closed in order: completes a message whose body extends to the end
 * of the connection.
 */
void http_reader_eof(struct http_reader *);
/* Release the message and start with the next one of the connection. */
void http_reader_next(struct http_reader *);

/*
 * Move the body to a buffer, whose previous content is released.  The message
 * has no body afterwards.
 */
void http_message_take_body(struct http_message *, struct buffer *);
/* Memory in bytes that a reader and the message being read take. */
size_t http_reader_memory(const struct http_reader *);
/* Memory in bytes that a message takes. */
size_t http_message_memory(const struct http_message *);
/* The value of the first header with that name in any case, or NULL. */
const char *http_message_field(const struct http_message *, const char *name);
/*
 * Whether one of the headers with that name lists an element, such as "close"
 * in "Connection: close, te", in any case.
 */
bool http_message_lists(
    const struct http_message *, const char *name, const char *element);
/* Name and value of header i, from 0 to nfields - 1. */
const char *http_message_field_name(const struct http_message *, int i);
const char *http_message_field_value(const struct http_message *, int i);
/* A request's path and query. */
const char *http_message_url(const struct http_message *);
/* Move the content of src to dst, which must own nothing; src is emptied. */
void http_message_move(struct http_message *dst, struct http_message *src);
void http_message_release(struct http_message *);

/* The reason phrase of a status code, or "Unknown". */
const char *http_status_text(int status);

#endif
