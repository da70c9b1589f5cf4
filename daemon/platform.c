/*
 * The one client of the platform's table service.  An answer that does not
 * come means that a write may have taken effect.
 */
#include <bsd/sys/queue.h>
#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/daemon.h"
#include "daemon/http_client.h"
#include "daemon/log.h"
#include "daemon/rows.h"

#define MAX_ROW_BYTES (4 << 20)
#define MAX_HEADER_BYTES 16384
#define MAX_IDLE 4 /* connections kept without a request */
#define KEEP_IDLE_US (8 * SEC_US)

struct query {
	LIST_ENTRY(query) entry;
	struct platform *platform;
	struct msg *msg; /* what was asked */
};

LIST_HEAD(query_list, query);

struct platform {
	struct daemon *daemon;
	struct http_client *http;
	struct addr address; /* that it goes to */
	struct query_list queries;
	bool down; /* the last answer did not come */
};

static void
note_state(struct platform *p, bool down, int status)
{
	if (down != p->down)
		log_line(down ? LOG_WARNING : LOG_NOTICE,
		    down ? "platform-lost" : "platform-back", "status=%d",
		    status);
	p->down = down;
}

static void
finish(struct query *q, const struct http_message *answer)
{
	struct platform *p = q->platform;
	struct msg *m = q->msg;

	if (answer != NULL)
		p->daemon->rows->read_answer(m, answer, &m->u.row);
	else
		m->u.row.status = ROW_UNKNOWN;
	note_state(p, m->u.row.status == ROW_UNKNOWN,
	    answer != NULL ? answer->status : 0);
	m->kind = MSG_ROW;
	LIST_REMOVE(q, entry);
	free(q);
	task_send(p->daemon->decide, m);
}

static void
on_done(void *arg, const struct http_result *result)
{
	finish(arg, result->outcome == HTTP_ANSWERED ? result->msg : NULL);
}

static void
connect_to(struct platform *p, struct addr to)
{
	struct http_client_settings set = {
	    .limits = {MAX_HEADER_BYTES, MAX_ROW_BYTES},
	    .max_idle = MAX_IDLE,
	    .idle_us = KEEP_IDLE_US,
	};
	struct query *q;

	http_client_destroy(p->http);
	while ((q = LIST_FIRST(&p->queries)) != NULL)
		finish(q, NULL);
	p->address = to;
	p->http = http_client_create(p->daemon->base, to, &set);
}

static void
receive(void *state, struct msg *m)
{
	struct platform *p = state;
	const struct settings *s = p->daemon->settings;
	struct query *q;
	struct http_request req = {0};
	struct row_request r;
	char host[ADDR_TEXT_LEN];

	if (m->kind == MSG_RELOAD) {
		if (!addr_equal(p->address, s->platform))
			connect_to(p, s->platform);
		msg_destroy(m);
		return;
	}
	q = xcalloc(1, sizeof(*q));
	q->platform = p;
	q->msg = m;
	LIST_INSERT_HEAD(&p->queries, q, entry);
	row_request_init(&r);
	p->daemon->rows->write_request(m, &r);
	evbuffer_add(r.path, "", 1);
	evbuffer_add_printf(
	    r.headers, "Host: %s\r\n", addr_text(s->platform, host));
	req.method = r.method;
	req.path = (const char *)evbuffer_pullup(r.path, -1);
	req.headers = (const char *)evbuffer_pullup(r.headers, -1);
	req.headers_len = evbuffer_get_length(r.headers);
	req.body = (const char *)evbuffer_pullup(r.body, -1);
	req.body_len = evbuffer_get_length(r.body);
	req.timeout_us = (s->platform_timeout_ms + m->u.row.wait_ms) * MSEC_US;
	if (http_client_send(p->http, &req, on_done, q) == NULL)
		finish(q, NULL);
	row_request_release(&r);
}

static void
destroy(void *state)
{
	struct platform *p = state;
	struct query *q;

	http_client_destroy(p->http);
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
	connect_to(p, d->settings->platform);
	return task_create(d->base, "platform", &ops, p);
}
