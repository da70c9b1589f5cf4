/*
 * http_server - a port that accepts HTTP/1.1 requests
 *
 * A connection may pipeline requests: the owner may answer them in any order,
 * and the responses are sent in the order of the requests.  The owner gets a
 * request once it is complete.
 *
 *	s = http_server_create(base, addr, &settings, &ops, owner);
 *	ops->request(owner, ex);	hands out ex, and then either
 *	http_exchange_respond(ex, &response);	or
 *	ops->disconnected(owner, ex);	ends it: ex is invalid afterwards
 *	http_server_destroy(s);
 *
 * The server itself answers malformed requests and those over a limit.
 *
 * A connection charges the account of memory with all that is kept for it: the
 * request that arrives, those that wait for their responses, also where the
 * owner has their bodies by then, and the responses that the caller has yet to
 * read.  When it has to give way, a request that is arriving is refused with
 * ops->refuse(), and otherwise the connection is closed.  It also charges the
 * account of descriptors, in which a new connection takes the place of the one
 * that stands still longest.
 */
#ifndef DAEMON_HTTP_SERVER_H
#define DAEMON_HTTP_SERVER_H

#include <event2/event.h>

#include "core/account.h"
#include "daemon/http_message.h"

struct http_server;
struct http_exchange; /* a request and the response to it */

struct http_server_settings {
	struct http_limits limits; /* of requests */
	/* From the first byte of a request to the end of its headers. */
	uint64_t header_timeout_us;
	/* Without a request, or without progress within a body. */
	uint64_t idle_timeout_us;
	/* Above it the connection that stands still longest is closed. */
	size_t max_connections;
	/* The accounts of memory and of descriptors; NULL: none. */
	struct account *memory;
	struct account *descriptors;
	/* What a connection is to the accounts, and whether it gives way. */
	enum http_server_role {
		HTTP_SERVER_FOR_CALLERS,
		HTTP_SERVER_ESSENTIAL, /* never gives way */
	} role;
};

/* A response to send; http_exchange_respond() copies what it needs. */
struct http_response {
	int status;
	/* "Name: value\r\n" lines without Content-Length; NULL: none. */
	const char *headers;
	size_t headers_len;
	const char *body;
	size_t body_len;
	/* In place of body, and released by the server; NULL: none. */
	struct buffer *owned_body;
	bool close; /* close the connection after this response */
};

struct http_server_ops {
	/* A request is complete; answer it with http_exchange_respond(). */
	void (*request)(void *owner, struct http_exchange *);
	/*
	 * The connection ended before the request was answered.  May be NULL
	 * if ops->request always answers before it returns.
	 */
	void (*disconnected)(void *owner, struct http_exchange *);
	/*
	 * Respond to a request, of which only a part was received, as not run,
	 * for the process has to free its memory; the request has no body, and
	 * its method is NULL if its headers are not complete either.  NULL: its
	 * connection is closed.
	 */
	void (*refuse)(void *owner, struct http_exchange *);
};

/* Returns NULL, after an error in the log, if the address cannot be bound. */
struct http_server *http_server_create(struct event_base *, struct addr,
    const struct http_server_settings *, const struct http_server_ops *,
    void *owner);
/*
 * Close all connections and the port; no exchange is valid afterwards, and
 * ops->disconnected is not called.  NULL is allowed.
 */
void http_server_destroy(struct http_server *);
/*
 * Replace the settings.  New size limits apply to requests that start later,
 * new timeouts and max_connections at once.
 */
void http_server_configure(
    struct http_server *, const struct http_server_settings *);
/* Close each connection after its next response. */
void http_server_drain(struct http_server *);
/*
 * Stop accepting connections and close those without a request; the others
 * continue.
 */
void http_server_stop_accepting(struct http_server *);
/*
 * Whether the peers have received all output and no request waits for its
 * response.
 */
bool http_server_is_flushed(const struct http_server *);
/* The number of open connections. */
size_t http_server_connection_count(const struct http_server *);

/*
 * The request of an exchange, owned by and valid as long as the exchange.  The
 * server's owner may take its body; it is charged until the response.
 */
struct http_message *http_exchange_request(struct http_exchange *);
/* Attach a pointer to an exchange for the server's owner, or return it. */
void http_exchange_set_user_data(struct http_exchange *, void *);
void *http_exchange_user_data(const struct http_exchange *);
/* Answer a request; the exchange is invalid afterwards. */
void http_exchange_respond(
    struct http_exchange *, const struct http_response *);

#endif
