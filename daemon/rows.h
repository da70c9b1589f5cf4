/*
 * rows - the HTTP protocol of the platform's table service
 *
 * The core reads rows by key and states the version that a write expects.  A
 * row protocol encodes that as an HTTP request and decodes the response.
 *
 *	row_request_init(&request);
 *	p->write_request(msg, &request);
 *	p->read_response(msg, message, &row);
 *	row_request_release(&request);
 */
#ifndef DAEMON_ROWS_H
#define DAEMON_ROWS_H

#include <event2/buffer.h>

#include "core/msg.h"
#include "daemon/http_message.h"

/* An HTTP request; it owns its buffers. */
struct row_request {
	const char *method; /* a string constant, such as "GET" */
	/* Path and query; whoever sends it appends the terminating NUL. */
	struct evbuffer *path;
	struct evbuffer *headers; /* "Name: value\r\n" lines without Host */
	struct evbuffer *body;
};

struct row_protocol {
	const char *name; /* of the dialect that it belongs to */
	/* Encode a MSG_ROW_READ or MSG_ROW_WRITE into an empty request. */
	void (*write_request)(const struct msg *, struct row_request *);
	/*
	 * Decode the response to a message: sets the row's status and, as far
	 * as the response gives them, its version, value and feed_position.
	 * Its key and prefix stay.  The row may be the one within the message.
	 */
	void (*read_response)(
	    const struct msg *, const struct http_message *, struct row *);
};

/*
 * The product's own protocol: reads one row or those whose key has a prefix,
 * and writes one row by compare-and-set on its version.
 */
extern const struct row_protocol row_protocol_native;

/* Allocate empty buffers. */
void row_request_init(struct row_request *);
void row_request_release(struct row_request *);
/* Append a query parameter's value, percent-encoded. */
void row_request_add_encoded(struct evbuffer *, const char *);

#endif
