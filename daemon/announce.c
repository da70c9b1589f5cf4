/* The announce port: requests from the local target become MSG_ANNOUNCE. */
#include <bsd/sys/queue.h>
#include <event2/event.h>
#include <inttypes.h>
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

/*
 * An announcement that the target leaves is acknowledged once that is written,
 * so that a later process of this daemon knows of it, or after this time: a
 * target waits for one second.
 */
#define WRITE_WAIT_US (500 * MSEC_US)

/* Such an announcement, until it is acknowledged. */
struct pending_ack {
	TAILQ_ENTRY(pending_ack) entry;
	struct announce_task *task;
	struct http_exchange *exchange;
	struct event *timer;
	uint64_t seq; /* of the MSG_ANNOUNCE */
};

TAILQ_HEAD(pending_ack_list, pending_ack);

struct announce_task {
	struct daemon *daemon;
	struct http_server *http;
	struct pending_ack_list pending; /* in the order of seq */
	uint64_t last_seq;
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
forward_announce(
    struct announce_task *s, const struct announce *a, uint64_t seq)
{
	struct msg *m = msg_create(MSG_ANNOUNCE), *copy;

	m->seq = seq;
	m->u.announce = *a;
	if (!a->leaving) {
		copy = msg_create(MSG_ANNOUNCE);
		copy->u.announce = *a;
		task_send(s->daemon->target, copy);
	}
	task_send(s->daemon->decide, m);
}

static void
acknowledge(struct announce_task *s, struct http_exchange *ex)
{
	const struct announce_protocol *protocol = s->daemon->announce_protocol;

	reply(ex, 200, protocol->ack_headers, protocol->ack_body);
}

static void
pending_ack_destroy(struct pending_ack *p)
{
	TAILQ_REMOVE(&p->task->pending, p, entry);
	event_free(p->timer);
	free(p);
}

static void
on_write_late(evutil_socket_t fd, short what, void *arg)
{
	struct pending_ack *p = arg;
	struct announce_task *s = p->task;
	struct http_exchange *ex = p->exchange;

	(void)fd;
	(void)what;
	log_line(LOG_WARNING, "target-end-unwritten", "waited_ms=%" PRIu64,
	    (uint64_t)(WRITE_WAIT_US / MSEC_US));
	pending_ack_destroy(p);
	acknowledge(s, ex);
}

/* Acknowledge an announcement once MSG_ANNOUNCED comes. */
static void
acknowledge_later(struct announce_task *s, struct http_exchange *ex)
{
	const struct timeval wait = {0, WRITE_WAIT_US};
	struct pending_ack *p = xcalloc(1, sizeof(*p));

	p->task = s;
	p->exchange = ex;
	p->seq = ++s->last_seq;
	p->timer = evtimer_new(s->daemon->base, on_write_late, p);
	evtimer_add(p->timer, &wait);
	TAILQ_INSERT_TAIL(&s->pending, p, entry);
	http_exchange_set_user_data(ex, p);
}

static void
on_request(void *owner, struct http_exchange *ex)
{
	struct announce_task *s = owner;
	struct announce a;

	memset(&a, 0, sizeof(a));
	switch (s->daemon->announce_protocol->read(
	    http_exchange_request(ex), s->daemon->settings, &a)) {
	case ANNOUNCE_ACCEPTED:
		if (a.leaving) {
			acknowledge_later(s, ex);
			forward_announce(s, &a, s->last_seq);
		} else {
			forward_announce(s, &a, 0);
			acknowledge(s, ex);
		}
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

static void
on_disconnected(void *owner, struct http_exchange *ex)
{
	(void)owner;
	pending_ack_destroy(http_exchange_user_data(ex));
}

static const struct http_server_ops server_ops = {
    .request = on_request,
    .disconnected = on_disconnected,
};

static void
receive(void *state, struct msg *m)
{
	struct announce_task *s = state;
	struct http_exchange *ex;
	struct pending_ack *p;

	while (m->kind == MSG_ANNOUNCED &&
	       (p = TAILQ_FIRST(&s->pending)) != NULL && p->seq <= m->seq) {
		ex = p->exchange;
		pending_ack_destroy(p);
		acknowledge(s, ex);
	}
	msg_destroy(m);
}

static void
destroy(void *state)
{
	struct announce_task *s = state;
	struct pending_ack *p;

	while ((p = TAILQ_FIRST(&s->pending)) != NULL)
		pending_ack_destroy(p);
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
	TAILQ_INIT(&s->pending);
	s->http = http_server_create(
	    d->base, d->settings->announce, &set, &server_ops, s);
	if (s->http == NULL) {
		free(s);
		return NULL;
	}
	return task_create(d->base, "announce", &ops, s);
}
