/*
 * announce - how the local target announces itself to its daemon
 *
 * An announcement protocol parses one HTTP request from the announce port
 * into a struct announce.  The core decides what follows from it.
 */
#ifndef DAEMON_ANNOUNCE_H
#define DAEMON_ANNOUNCE_H

#include "core/msg.h"
#include "daemon/http_message.h"
#include "daemon/http_server.h"

struct settings;

enum announce_result {
	ANNOUNCE_ACCEPTED, /* parsed; answered with 200 */
	ANNOUNCE_UNKNOWN_PATH, /* answered with 404 */
	/* Malformed, or about another target than this host's; 400. */
	ANNOUNCE_MALFORMED,
};

struct announce_protocol {
	const char *name; /* of the dialect that it belongs to */
	/*
	 * Parse a request to the announce port into a zeroed struct announce,
	 * which holds a valid announcement only if ANNOUNCE_ACCEPTED is
	 * returned.
	 */
	enum announce_result (*read)(const struct http_message *,
	    const struct settings *, struct announce *);
	/*
	 * The response to a valid announcement, as constant strings: its
	 * headers as "Name: value\r\n" lines, and its body.
	 */
	const char *ack_headers;
	const char *ack_body;
};

#endif
