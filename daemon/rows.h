/*
 * rows - how the platform's table service is spoken to
 *
 * The core asks for rows by key and says which version a write expects; a
 * protocol turns that into HTTP requests and reads the answers.
 *
 *	p->write_request(msg, &request)
 *	p->read_answer(msg, message, &row)	sets status, version, value
 *	row_request_release(&request)
 */
#ifndef DAEMON_ROWS_H
#define DAEMON_ROWS_H

#include <event2/buffer.h>

#include "core/msg.h"
#include "daemon/http_message.h"

struct row_request {
	const char *method;
	struct evbuffer *path; /* with its query, NUL-terminated by the user */
	struct evbuffer *headers; /* lines, without Host */
	struct evbuffer *body;
};

struct row_protocol {
	const char *name;
	void (*write_request)(const struct msg *, struct row_request *);
	/* The row keeps key and kind; everything else is set here. */
	void (*read_answer)(
	    const struct msg *, const struct http_message *, struct row *);
};

/* Our own: one row or those with a prefix, compare-and-set by version. */
extern const struct row_protocol row_protocol_native;

void row_request_init(struct row_request *);
void row_request_release(struct row_request *);
/* Append a query parameter's value, percent-encoded. */
void row_request_add_encoded(struct evbuffer *, const char *);

#endif
