/* The announce port: requests from the local target become MSG_ANNOUNCE. */
#include <stdlib.h>
#include <string.h>

#include "daemon/announce.h"
#include "daemon/daemon.h"
#include "daemon/log.h"

#define MAX_HEADER_BYTES 8192 /* request line and headers */
#define MAX_BODY_BYTES 16384 /* body of an announcement */
#define MAX_CONNECTIONS 64 /* above it the idlest one is closed */
/* To receive a request line and headers, and for an idle connection. */
#define CONNECTION_TIMEOUT_US (30 * SEC_US)

struct announce_task {
	struct daemon *daemon;
	struct http_server *http;
};

static void
reply(
    struct http_exchange *ex, int status, const char *headers, const char *body)
{
	struct http_response resp = {.status = status};

	resp.headers = headers;
	resp.headers_len = headers != NULL ? strlen(headers) : 0;
	resp.body = body;
	resp.body_len = body != NULL ? strlen(body) : 0;
	http_exchange_respond(ex, &resp);
}

/*
 * Pass an announcement to the core and, unless the target leaves, to the target
 * task, which then sends requests to its address.
 */
static void
forward_announce(struct announce_task *s, const struct announce *a)
{
	struct msg *m = msg_create(MSG_ANNOUNCE), *copy;

	m->u.announce = *a;
	if (!a->leaving) {
		copy = msg_create(MSG_ANNOUNCE);
		copy->u.announce = *a;
		task_send(s->daemon->target, copy);
	}
	task_send(s->daemon->decide, m);
}

static void
on_request(void *owner, struct http_exchange *ex)
{
	struct announce_task *s = owner;
	const struct announce_protocol *protocol = s->daemon->announce_protocol;
	struct announce a;

	memset(&a, 0, sizeof(a));
	switch (protocol->read(
	    http_exchange_request(ex), s->daemon->settings, &a)) {
	case ANNOUNCE_ACCEPTED:
		forward_announce(s, &a);
		reply(ex, 200, protocol->ack_headers, protocol->ack_body);
		break;
	case ANNOUNCE_UNKNOWN_PATH:
		reply(ex, 404, NULL, NULL);
		break;
	default:
		log_line(LOG_WARNING, "announcement-refused", "path=%.64s",
		    http_message_url(http_exchange_request(ex)));
		reply(ex, 400, NULL, NULL);
		break;
	}
}

static const struct http_server_ops server_ops = {.request = on_request};

static void
receive(void *state, struct msg *m)
{
	(void)state;
	msg_destroy(m);
}

static void
destroy(void *state)
{
	struct announce_task *s = state;

	http_server_destroy(s->http);
	free(s);
}

static const struct task_ops ops = {receive, destroy};

struct task *
announce_task_create(struct daemon *d)
{
	struct http_server_settings set = {
	    .limits = {MAX_HEADER_BYTES, MAX_BODY_BYTES},
	    .header_timeout_us = CONNECTION_TIMEOUT_US,
	    .idle_timeout_us = CONNECTION_TIMEOUT_US,
	    .max_connections = MAX_CONNECTIONS,
	    .memory = d->memory,
	    .descriptors = d->descriptors,
	    .role = HTTP_SERVER_ESSENTIAL,
	};
	struct announce_task *s = xcalloc(1, sizeof(*s));

	s->daemon = d;
	s->http = http_server_create(
	    d->base, d->settings->announce, &set, &server_ops, s);
	if (s->http == NULL) {
		free(s);
		return NULL;
	}
	return task_create(d->base, "announce", &ops, s);
}
