/*
 * http_client - HTTP/1.1 requests to one address over persistent connections
 *
 * A connection carries one request at a time.  It is reused only if the
 * response was complete, no other bytes came with it and the whole request
 * had been sent by then.  The client never retries: no request is sent twice.
 *
 *	cl = http_client_create(base, addr, &settings);
 *	call = http_client_send(cl, &request, done, arg);
 *	done(arg, &result);	called once; the call is invalid afterwards
 *	http_call_cancel(call);	closes its connection; done is not called
 *	http_client_destroy(cl);
 */
#ifndef DAEMON_HTTP_CLIENT_H
#define DAEMON_HTTP_CLIENT_H

#include <event2/event.h>

#include "core/account.h"
#include "daemon/http_message.h"

struct http_client;
struct http_call; /* one request in progress */

struct http_client_settings {
	struct http_limits limits; /* of responses */
	size_t max_idle_connections; /* kept open without a request */
	/*
	 * How long an idle connection is kept; shorter if the peer's
	 * Keep-Alive header says so.
	 */
	uint64_t idle_timeout_us;
	/*
	 * Memory in bytes for responses that are not complete yet, on all
	 * connections together.  Above it the call whose response takes most
	 * ends as HTTP_BROKEN, for the peer may send without end.  0: only the
	 * account of memory bounds them.
	 */
	size_t max_partial_bytes;
	/*
	 * The account of memory that responses charge while they arrive; NULL:
	 * none.  A call that has to give way ends as HTTP_BROKEN, unless the
	 * client is essential.
	 */
	struct account *memory;
	/* The account of descriptors, in which connections are essential. */
	struct account *descriptors;
	bool is_essential;
};

/* A request to send; http_client_send() copies what it needs. */
struct http_request {
	const char *method;
	const char *path; /* with its query */
	/*
	 * "Name: value\r\n" lines with Host; the client adds Content-Length.
	 */
	const char *headers;
	size_t headers_len;
	const char *body;
	size_t body_len;
	/* In place of body: a buffer to share until it was sent; NULL: none. */
	struct buffer *shared_body;
	/* The body is charged elsewhere as long as the call takes. */
	bool body_is_charged;
	uint64_t timeout_us; /* until the response must be complete */
	/*
	 * Whether a message is the response to this request; NULL: any message
	 * is.  Other messages are late responses to an earlier request and are
	 * dropped; there can be none on a connection that was opened for this
	 * request.  arg is the one given to http_client_send().
	 */
	bool (*is_response)(
	    void *arg, const struct http_message *, bool new_connection);
	/*
	 * Whether the connection may be reused after this response; NULL: it
	 * may.  False where a late copy of it could not be told from the
	 * response to the next request.
	 */
	bool (*keeps_connection)(void *arg, const struct http_message *);
};

enum http_outcome {
	HTTP_RESPONSE_RECEIVED, /* a complete response was received */
	/* The connection ended early, or the response is malformed or long. */
	HTTP_BROKEN,
	HTTP_TIMED_OUT, /* timeout_us passed */
	HTTP_NOT_CONNECTED, /* the connection could not be established */
};

/* The outcome of a request, valid only during the call of done(). */
struct http_result {
	enum http_outcome outcome;
	bool may_have_sent; /* bytes of the request may have left this host */
	bool new_connection; /* the connection was opened for this request */
	/* NULL unless the outcome is HTTP_RESPONSE_RECEIVED. */
	struct http_message *response;
};

/* Create a client of one address; it connects when there is a request. */
struct http_client *http_client_create(
    struct event_base *, struct addr, const struct http_client_settings *);
/* Cancel all calls and close all connections; NULL is allowed. */
void http_client_destroy(struct http_client *);
/*
 * Send a request.  Returns NULL if no connection can be opened; nothing was
 * sent then and done is not called.  done is never called from within this
 * function.
 */
struct http_call *http_client_send(struct http_client *,
    const struct http_request *,
    void (*done)(void *arg, const struct http_result *), void *arg);
/* Close the call's connection; done is not called. */
void http_call_cancel(struct http_call *);
/* Memory in bytes that responses which are not complete yet take. */
size_t http_client_partial_bytes(const struct http_client *);
/* Close the idle connections, for example when the peer was replaced. */
void http_client_close_idle(struct http_client *);

#endif
