/*
 * announce - how a target tells its daemon that it is there
 *
 * An announcement's reader takes one request of the announce port; what it
 * says is for the core to weigh.
 */
#ifndef DAEMON_ANNOUNCE_H
#define DAEMON_ANNOUNCE_H

#include "core/msg.h"
#include "daemon/http_message.h"
#include "daemon/http_server.h"

struct settings;

enum announce_verdict {
	ANNOUNCE_TAKEN,
	ANNOUNCE_UNKNOWN_PATH,
	ANNOUNCE_MALFORMED, /* or not about this host's target */
};

struct announcement {
	const char *name;
	enum announce_verdict (*read)(const struct http_message *,
	    const struct settings *, struct announce *);
	/* What a taken announcement is answered with. */
	const char *ack_headers;
	const char *ack_body;
};

#endif
