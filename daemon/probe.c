/*
 * The ports for monitoring: readiness, which says whether callers may be sent
 * to this daemon, and metrics.  Each port serves both paths.
 */
#include <bsd/sys/tree.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/daemon.h"
#include "daemon/http_server.h"
#include "daemon/log.h"

#define MAX_HEADER_BYTES 8192 /* request line and headers */
#define MAX_CONNECTIONS 64 /* to each port; above it the idlest is closed */
/* To receive a request line and headers, and for an idle connection. */
#define CONNECTION_TIMEOUT_US (30 * SEC_US)
#define METRICS_PATH "/metrics"

/* A request for metrics that waits for the decide task's reply. */
struct scrape {
	RB_ENTRY(scrape) entry;
	struct http_exchange *ex;
	uint64_t seq; /* of the MSG_OPS, with PROBE_SEQ_FLAG */
};

RB_HEAD(scrape_tree, scrape);

struct probe_task {
	struct daemon *daemon;
	struct http_server *ready_server; /* NULL: its port is not set */
	struct http_server *metrics_server; /* NULL: its port is not set */
	struct scrape_tree scrapes;
	uint64_t next_seq;
};

static int
scrape_cmp(struct scrape *a, struct scrape *b)
{
	return a->seq < b->seq ? -1 : a->seq > b->seq;
}

RB_PROTOTYPE(scrape_tree, scrape, entry, scrape_cmp);
RB_GENERATE(scrape_tree, scrape, entry, scrape_cmp);

static void
reply(struct http_exchange *ex, int status, const struct buffer *body)
{
	static const char plain[] = "Content-Type: text/plain\r\n";
	struct http_response resp = {.status = status};

	if (body != NULL) {
		resp.headers = plain;
		resp.headers_len = sizeof(plain) - 1;
		resp.body = body->data;
		resp.body_len = body->len;
	}
	http_exchange_respond(ex, &resp);
}

static void
start_scrape(struct probe_task *p, struct http_exchange *ex)
{
	struct scrape *s = xcalloc(1, sizeof(*s));
	struct msg *m = msg_create(MSG_OPS);

	s->ex = ex;
	s->seq = PROBE_SEQ_FLAG | ++p->next_seq;
	http_exchange_set_user_data(ex, s);
	RB_INSERT(scrape_tree, &p->scrapes, s);
	m->seq = s->seq;
	m->u.ops.verb = OPS_STATUS;
	task_send(p->daemon->decide, m);
}

static void
on_request(void *owner, struct http_exchange *ex)
{
	const char *url = http_message_url(http_exchange_request(ex));
	struct probe_task *p = owner;

	if (strcmp(url, p->daemon->settings->ready_path) == 0)
		reply(ex, p->daemon->ready ? 200 : 503, NULL);
	else if (strcmp(url, METRICS_PATH) == 0)
		start_scrape(p, ex);
	else
		reply(ex, 404, NULL);
}

static void
scrape_free(struct probe_task *p, struct scrape *s)
{
	RB_REMOVE(scrape_tree, &p->scrapes, s);
	free(s);
}

static void
on_disconnected(void *owner, struct http_exchange *ex)
{
	scrape_free(owner, http_exchange_user_data(ex));
}

static const struct http_server_ops server_ops = {
    .request = on_request, .disconnected = on_disconnected};

static void
receive(void *state, struct msg *m)
{
	struct probe_task *p = state;
	struct scrape want, *s;

	want.seq = m->seq;
	s = RB_FIND(scrape_tree, &p->scrapes, &want);
	if (s != NULL) {
		reply(s->ex, m->u.ops.status, &m->u.ops.text);
		scrape_free(p, s);
	}
	msg_destroy(m);
}

static void
destroy(void *state)
{
	struct probe_task *p = state;
	struct scrape *s;

	http_server_destroy(p->ready_server);
	http_server_destroy(p->metrics_server);
	while ((s = RB_ROOT(&p->scrapes)) != NULL)
		scrape_free(p, s);
	free(p);
}

static const struct task_ops ops = {receive, destroy};

/* Start a server if its address is set; false if it cannot be bound. */
static bool
start_server(struct probe_task *p, struct addr at, struct http_server **server)
{
	struct http_server_settings set = {
	    .limits = {MAX_HEADER_BYTES, 0},
	    .header_timeout_us = CONNECTION_TIMEOUT_US,
	    .idle_timeout_us = CONNECTION_TIMEOUT_US,
	    .max_connections = MAX_CONNECTIONS,
	    .memory = p->daemon->memory,
	    .descriptors = p->daemon->descriptors,
	    .role = HTTP_SERVER_ESSENTIAL,
	};

	if (at.port == 0)
		return true;
	*server = http_server_create(p->daemon->base, at, &set, &server_ops, p);
	return *server != NULL;
}

struct task *
probe_task_create(struct daemon *d)
{
	struct probe_task *p = xcalloc(1, sizeof(*p));

	p->daemon = d;
	RB_INIT(&p->scrapes);
	if (!start_server(p, d->settings->ready, &p->ready_server) ||
	    !start_server(p, d->settings->metrics, &p->metrics_server)) {
		destroy(p);
		return NULL;
	}
	return task_create(d->base, "probe", &ops, p);
}
