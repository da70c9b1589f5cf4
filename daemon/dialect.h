/*
 * dialect - how callers and targets are spoken to
 *
 * The engine reads whole HTTP messages and the core decides; a dialect says
 * which headers mean what.  The setting "dialect" chooses one of the table.
 *
 *	if (!d->read_request(daemon, http_exchange_request(ex), &call)) ...
 *	d->write_failure(&reply, &answer_headers, &status)
 *	d->write_run(daemon, &forward, headers)
 *	d->read_answer(result, &reply)
 *
 * Header blocks are "Name: value\r\n" lines in an evbuffer that the caller
 * owns.
 */
#ifndef DAEMON_DIALECT_H
#define DAEMON_DIALECT_H

#include <event2/buffer.h>

#include "core/msg.h"
#include "daemon/http_client.h"
#include "daemon/http_message.h"

struct daemon;

struct dialect {
	const char *name;
	/* A caller's request; false if it is malformed. */
	bool (*read_request)(
	    struct daemon *, const struct http_message *, struct call *);
	/* The status and headers of a failure, and the text of its body. */
	int (*write_failure)(const struct call_tag *, const struct reply *,
	    struct evbuffer *headers, struct evbuffer *body);
	/* Headers added to a target's whole answer. */
	void (*write_answer)(const struct call_tag *, struct evbuffer *headers);
	/* The headers of a request to the target, Host included. */
	void (*write_run)(
	    struct daemon *, const struct forward *, struct evbuffer *headers);
	/* Whether a message from the target answers the request of that id. */
	bool (*answers)(const char *id, const struct http_message *);
	/* What a message from the target means. */
	void (*read_answer)(const struct http_message *, struct reply *);
};

/* Our own interface (wire/httpmap.h has its names). */
extern const struct dialect dialect_native;

/* Copy the headers of a message that pass, as lines. */
void dialect_copy_headers(const struct http_message *,
    bool (*passes)(const char *name, const char *value), struct buffer *);
/* Append one header line. */
void dialect_add_header(struct evbuffer *, const char *name, const char *value);
/* Parse a whole decimal number; false if it is none. */
bool dialect_parse_number(const char *, uint64_t *);
/* Whether a connection's own headers, such as Keep-Alive, have that name. */
bool dialect_is_hop_by_hop(const char *name);
/* The bytes of a scheme's credentials, such as those of "Bearer KEY". */
const char *dialect_credentials(const char *value, const char *scheme);

#endif
