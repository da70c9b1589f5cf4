/*
 * Requests to the platform's table service: one row, or those with a
 * prefix, read or written if the version is the expected one.  An answer
 * that does not come means that a write may have taken effect.
 */
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/daemon.h"
#include "daemon/log.h"

#define MAX_ROW_BYTES (4 << 20)
#define HEADER_VERSION "Version"

struct query {
	LIST_ENTRY(query) entry;
	struct platform *platform;
	struct msg *msg; /* what was asked */
};

LIST_HEAD(query_list, query);

struct platform {
	struct daemon *daemon;
	struct query_list queries;
	bool down; /* the last answer did not come */
};

static uint64_t
answered_version(struct evhttp_request *req)
{
	const char *v = evhttp_find_header(
	    evhttp_request_get_input_headers(req), HEADER_VERSION);

	return v != NULL ? strtoull(v, NULL, 10) : 0;
}

static enum row_status
status_of(struct evhttp_request *req, bool write)
{
	switch (req != NULL ? evhttp_request_get_response_code(req) : 0) {
	case 200:
		return write ? ROW_WRITTEN : ROW_FOUND;
	case 404:
		return ROW_ABSENT;
	case 409:
		return ROW_CONFLICT;
	default:
		return ROW_UNKNOWN;
	}
}

static void
note_state(struct platform *p, bool down)
{
	if (down != p->down)
		log_line(down ? LOG_WARNING : LOG_NOTICE,
		    down ? "platform-lost" : "platform-back", "state=%s",
		    down ? "down" : "up");
	p->down = down;
}

static void
on_done(struct evhttp_request *req, void *arg)
{
	struct query *q = arg;
	struct platform *p = q->platform;
	struct msg *m = q->msg;
	struct row *row = &m->u.row;
	struct evbuffer *body;

	row->status = status_of(req, m->kind == MSG_ROW_WRITE);
	note_state(p, row->status == ROW_UNKNOWN);
	if (row->status != ROW_UNKNOWN) {
		body = evhttp_request_get_input_buffer(req);
		row->version = answered_version(req);
		buffer_set(&row->value, evbuffer_pullup(body, -1),
		    evbuffer_get_length(body));
	}
	m->kind = MSG_ROW;
	LIST_REMOVE(q, entry);
	free(q);
	task_send(p->daemon->decide, m);
}

static void
make_uri(const struct msg *m, char *uri, size_t len)
{
	const struct row *row = &m->u.row;
	char *key = evhttp_uriencode(row->key, -1, 0);

	if (m->kind == MSG_ROW_READ)
		snprintf(
		    uri, len, "/%s?key=%s", row->prefix ? "rows" : "row", key);
	else if (row->version == UINT64_MAX)
		snprintf(uri, len, "/row?key=%s&if=any", key);
	else
		snprintf(
		    uri, len, "/row?key=%s&if=%" PRIu64, key, row->version);
	free(key);
}

static void
receive(void *state, struct msg *m)
{
	struct platform *p = state;
	const struct settings *s = p->daemon->settings;
	uint64_t us = s->platform_timeout_ms * MSEC_US;
	struct timeval tv = {us / SEC_US, us % SEC_US};
	struct query *q = xcalloc(1, sizeof(*q));
	struct evhttp_connection *conn;
	struct evhttp_request *req;
	char uri[1024], ip[ADDR_TEXT_LEN];

	q->platform = p;
	q->msg = m;
	LIST_INSERT_HEAD(&p->queries, q, entry);
	addr_text(s->platform, ip);
	*strchr(ip, ':') = '\0';
	conn = evhttp_connection_base_new(
	    p->daemon->base, NULL, ip, s->platform.port);
	evhttp_connection_set_timeout_tv(conn, &tv);
	evhttp_connection_set_max_body_size(conn, MAX_ROW_BYTES);
	evhttp_connection_free_on_completion(conn);
	req = evhttp_request_new(on_done, q);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", ip);
	evhttp_add_header(
	    evhttp_request_get_output_headers(req), "Connection", "close");
	if (m->kind == MSG_ROW_WRITE)
		evbuffer_add(evhttp_request_get_output_buffer(req),
		    m->u.row.value.data, m->u.row.value.len);
	make_uri(m, uri, sizeof(uri));
	if (evhttp_make_request(conn, req,
		m->kind == MSG_ROW_WRITE ? EVHTTP_REQ_PUT : EVHTTP_REQ_GET,
		uri) != 0)
		on_done(NULL, q);
}

static void
destroy(void *state)
{
	struct platform *p = state;
	struct query *q;

	/* Their connections end with the event loop. */
	while ((q = LIST_FIRST(&p->queries)) != NULL) {
		LIST_REMOVE(q, entry);
		msg_destroy(q->msg);
		free(q);
	}
	free(p);
}

static const struct task_ops ops = {receive, destroy};

struct task *
platform_task_create(struct daemon *d)
{
	struct platform *p = xcalloc(1, sizeof(*p));

	p->daemon = d;
	LIST_INIT(&p->queries);
	return task_create(d->base, "platform", &ops, p);
}
