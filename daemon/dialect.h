/*
 * dialect - the HTTP headers that callers and targets use
 *
 * The HTTP engine reads complete messages and the core decides; a dialect
 * maps headers to the core's types and back.  The setting "dialect" selects
 * one of the tables below.
 *
 * From a caller's request to the response to it:
 *
 *	if (!d->read_request(daemon, http_exchange_request(ex), &call)) ...
 *	d->write_target_headers(daemon, &forward, headers);
 *	if (d->is_response_to(id, message, new_connection))
 *		d->read_response(message, &reply);
 *	d->write_response_headers(&tag, headers);	or, on failure,
 *	status = d->write_failure(&tag, &reply, headers, body);
 *
 * Blocks of headers are "Name: value\r\n" lines appended to an evbuffer that
 * the caller of the function owns.
 */
#ifndef DAEMON_DIALECT_H
#define DAEMON_DIALECT_H

#include <event2/buffer.h>

#include "core/msg.h"
#include "daemon/http_client.h"
#include "daemon/http_message.h"

struct daemon;

struct dialect {
	const char *name; /* value of the setting "dialect" */
	/*
	 * Parse a caller's request into a zeroed call, which takes its body;
	 * false: malformed.  The call's owner frees its buffers in either case.
	 */
	bool (*read_request)(
	    struct daemon *, struct http_message *, struct call *);
	/*
	 * Write the headers and the body of the response to a failed call;
	 * returns the response's HTTP status.
	 */
	int (*write_failure)(const struct call_tag *, const struct reply *,
	    struct evbuffer *headers, struct evbuffer *body);
	/* Write the headers that are added to a target's response. */
	void (*write_response_headers)(
	    const struct call_tag *, struct evbuffer *headers);
	/* Write all headers of a request to the target, Host included. */
	void (*write_target_headers)(
	    struct daemon *, const struct forward *, struct evbuffer *headers);
	/*
	 * Whether a message from the target is the response to the request
	 * with this id, rather than a late one to an earlier request.
	 */
	bool (*is_response_to)(
	    const char *id, const struct http_message *, bool new_connection);
	/*
	 * Whether the connection may carry another request after this response
	 * from the target.
	 */
	bool (*may_keep_connection)(const struct http_message *);
	/*
	 * Parse a target's response into a zeroed reply, which takes its body.
	 * It is a failure if the target refused the request or the message
	 * cannot be trusted.
	 */
	void (*read_response)(struct http_message *, struct reply *);
};

/* The product's own interface; wire/httpmap.h names its headers. */
extern const struct dialect dialect_native;

/*
 * Replace the content of the buffer by the message's headers for which
 * is_forwarded() returns true and that are not for one connection only, as
 * "Name: value\r\n" lines.
 */
void dialect_copy_headers(const struct http_message *,
    bool (*is_forwarded)(const char *name, const char *value), struct buffer *);
/* Append one header line. */
void dialect_add_header(struct evbuffer *, const char *name, const char *value);
/*
 * Parse a decimal number without sign or surrounding space; false if the text
 * is anything else.  A number that is too large is read as UINT64_MAX.
 */
bool dialect_parse_number(const char *, uint64_t *);
/*
 * Whether a header with this name belongs to one connection, such as
 * Keep-Alive, and must not be forwarded.
 */
bool dialect_is_hop_by_hop(const char *name);
/*
 * The credentials within an Authorization value, such as KEY in "Bearer KEY".
 * NULL if value is NULL, has another scheme or holds no credentials.
 */
const char *dialect_find_credentials(const char *value, const char *scheme);

#endif
