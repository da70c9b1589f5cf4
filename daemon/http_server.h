/*
 * http_server - a port that takes HTTP/1.1 requests
 *
 * Requests of one connection may come before earlier ones are answered;
 * the answers leave in the order of the requests.  A request is handed over
 * when it has been read whole.
 *
 *	s = http_server_create(base, addr, &settings, &ops, owner);
 *	ops->request(owner, ex)		keep ex until it is answered
 *	http_exchange_answer(ex, &answer)	ex is not valid any more
 *	ops->gone(owner, ex)		the caller left: ex is not valid any
 *more
 *
 * Malformed requests, and those over a limit, are answered here.
 */
#ifndef DAEMON_HTTP_SERVER_H
#define DAEMON_HTTP_SERVER_H

#include <event2/event.h>

#include "daemon/http_message.h"

struct http_server;
struct http_exchange;

struct http_server_settings {
	struct http_limits limits;
	uint64_t header_timeout_us; /* from the first byte to the whole */
	uint64_t idle_timeout_us; /* without a request */
	size_t max_connections;
};

struct http_answer {
	int status;
	const char *headers; /* "Name: value\r\n" lines; NULL: none */
	size_t headers_len;
	const char *body;
	size_t body_len;
	bool close; /* the connection ends after this answer */
};

struct http_server_ops {
	void (*request)(void *owner, struct http_exchange *);
	/* May be NULL where all requests are answered at once. */
	void (*gone)(void *owner, struct http_exchange *);
};

/* NULL if the address can not be bound. */
struct http_server *http_server_create(struct event_base *, struct addr,
    const struct http_server_settings *, const struct http_server_ops *,
    void *owner);
/* Closes all connections; gone is not called. */
void http_server_destroy(struct http_server *);
/* New limits hold for requests that begin from now on. */
void http_server_configure(
    struct http_server *, const struct http_server_settings *);
/* Every further answer closes its connection. */
void http_server_drain(struct http_server *);
/* Take no more connections, and close those that have no request. */
void http_server_close(struct http_server *);
size_t http_server_connections(const struct http_server *);

const struct http_message *http_exchange_request(const struct http_exchange *);
void http_exchange_set_owner(struct http_exchange *, void *);
void *http_exchange_owner(const struct http_exchange *);
void http_exchange_answer(struct http_exchange *, const struct http_answer *);

#endif
