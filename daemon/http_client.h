/*
 * http_client - HTTP/1.1 requests to one address over kept connections
 *
 * A connection carries one request at a time and is used again only after
 * an answer that was whole, stood alone and came after all of the request
 * had left.  Nothing is sent twice.
 *
 *	cl = http_client_create(base, addr, &settings);
 *	call = http_client_send(cl, &request, done, arg);
 *	done(arg, &result)	once; the call is not valid any more
 *	http_call_cancel(call)	closes its connection; done is not called
 */
#ifndef DAEMON_HTTP_CLIENT_H
#define DAEMON_HTTP_CLIENT_H

#include <event2/event.h>

#include "daemon/http_message.h"

struct http_client;
struct http_call;

struct http_client_settings {
	struct http_limits limits;
	size_t max_idle; /* connections kept without a request */
	uint64_t idle_us; /* kept so long, unless the peer names less */
};

struct http_request {
	const char *method;
	const char *path;
	const char *headers; /* lines, the Host header included */
	size_t headers_len;
	const char *body;
	size_t body_len;
	uint64_t timeout_us;
	/*
	 * Whether a message answers this request; NULL: any does.  What does
	 * not is an answer to an earlier request and is dropped.
	 */
	bool (*answers)(void *arg, const struct http_message *);
};

enum http_outcome {
	HTTP_ANSWERED, /* the message is whole */
	HTTP_BROKEN, /* the connection ended, or the bytes are no answer */
	HTTP_TIMED_OUT,
	HTTP_NOT_CONNECTED,
};

struct http_result {
	enum http_outcome outcome;
	bool sent; /* bytes of the request may have left */
	bool fresh; /* the connection was made for this request */
	struct http_message *msg; /* NULL unless it was answered */
};

struct http_client *http_client_create(
    struct event_base *, struct addr, const struct http_client_settings *);
/* Cancels all calls. */
void http_client_destroy(struct http_client *);
/* NULL if there is no socket to be had; done is not called then. */
struct http_call *http_client_send(struct http_client *,
    const struct http_request *,
    void (*done)(void *arg, const struct http_result *), void *arg);
void http_call_cancel(struct http_call *);
/* Close the connections that are kept, as when the peer was replaced. */
void http_client_close_idle(struct http_client *);

#endif
