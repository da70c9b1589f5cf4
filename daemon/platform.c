/*
 * The client of the platform's table service: MSG_ROW_READ and MSG_ROW_WRITE
 * start a request, and the result is returned in MSG_ROW.  Without a response
 * the result is ROW_UNKNOWN, since a write may have taken effect.
 */
#include <bsd/sys/queue.h>
#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/daemon.h"
#include "daemon/http_client.h"
#include "daemon/log.h"
#include "daemon/rows.h"

#define MAX_RESPONSE_BYTES (4 << 20) /* body of a response */
/* Memory for responses that are not complete, of all requests together. */
#define MAX_PARTIAL_BYTES (16 << 20)
#define MAX_PAGES 200 /* of one read; a row in further ones is not seen */
#define MAX_HEADER_BYTES 16384 /* status line and headers of a response */
#define MAX_IDLE_CONNECTIONS 4 /* kept open without a request */
#define IDLE_TIMEOUT_US (8 * SEC_US) /* of connections to the service */

struct row_query {
	LIST_ENTRY(row_query) entry;
	struct platform_task *platform;
	struct msg *msg; /* the request, to become MSG_ROW */
	struct evbuffer *rows; /* lines of the pages before; NULL: none */
	unsigned int pages; /* read so far */
};

LIST_HEAD(row_query_list, row_query);

struct platform_task {
	struct daemon *daemon;
	struct http_client *http;
	struct addr address; /* of the table service */
	struct row_query_list queries;
	bool down; /* the last query got no usable response */
};

/* Log when the platform stops or starts to respond. */
static void
log_state_change(struct platform_task *p, bool down, int status)
{
	if (down != p->down)
		log_line(down ? LOG_WARNING : LOG_NOTICE,
		    down ? "platform-lost" : "platform-back", "status=%d",
		    status);
	p->down = down;
}

static void send_query(struct row_query *);

/* Put the rows of earlier pages before those of the last one. */
static void
join_pages(struct row_query *q)
{
	struct row *row = &q->msg->u.row;

	if (q->rows == NULL)
		return;
	if (row->status == ROW_FOUND) {
		evbuffer_add(q->rows, row->value.data, row->value.len);
		buffer_set(&row->value, evbuffer_pullup(q->rows, -1),
		    evbuffer_get_length(q->rows));
	}
	evbuffer_free(q->rows);
}

/* Whether the answer is a page that others follow; then the next is read. */
static bool
read_next_page(struct row_query *q)
{
	struct row *row = &q->msg->u.row;

	if (row->status != ROW_FOUND || !row->key_is_prefix ||
	    row->last_key[0] == '\0')
		return false;
	if (++q->pages == MAX_PAGES) {
		log_line(
		    LOG_ERR, "rows-cut", "key=%s pages=%u", row->key, q->pages);
		return false;
	}
	if (q->rows == NULL)
		q->rows = evbuffer_new();
	evbuffer_add(q->rows, row->value.data, row->value.len);
	send_query(q);
	return true;
}

/* Return a query's result to the core; response is NULL if there was none. */
static void
finish_query(struct row_query *q, const struct http_message *response)
{
	struct platform_task *p = q->platform;
	struct msg *m = q->msg;

	if (response != NULL)
		p->daemon->row_protocol->read_response(m, response, &m->u.row);
	else
		m->u.row.status = ROW_UNKNOWN;
	if (response != NULL && read_next_page(q))
		return;
	join_pages(q);
	log_state_change(p, m->u.row.status == ROW_UNKNOWN,
	    response != NULL ? response->status : 0);
	m->kind = MSG_ROW;
	LIST_REMOVE(q, entry);
	free(q);
	task_send(p->daemon->decide, m);
}

static void
on_done(void *arg, const struct http_result *result)
{
	finish_query(arg, result->outcome == HTTP_RESPONSE_RECEIVED
			      ? result->response
			      : NULL);
}

/* Connect to another address; queries in progress end as ROW_UNKNOWN. */
static void
set_address(struct platform_task *p, struct addr to)
{
	struct http_client_settings set = {
	    .limits = {MAX_HEADER_BYTES, MAX_RESPONSE_BYTES},
	    .max_idle_connections = MAX_IDLE_CONNECTIONS,
	    .idle_timeout_us = IDLE_TIMEOUT_US,
	    .max_partial_bytes = MAX_PARTIAL_BYTES,
	    .memory = p->daemon->memory,
	    .descriptors = p->daemon->descriptors,
	    .is_essential = true,
	};
	struct row_query *q;

	http_client_destroy(p->http);
	while ((q = LIST_FIRST(&p->queries)) != NULL)
		finish_query(q, NULL);
	p->address = to;
	p->http = http_client_create(p->daemon->base, to, &set);
}

/* Send the request of a query, or end the query if no connection is made. */
static void
send_query(struct row_query *q)
{
	struct platform_task *p = q->platform;
	const struct settings *s = p->daemon->settings;
	struct http_request req = {0};
	struct row_request r;
	char host[ADDR_TEXT_LEN];

	row_request_init(&r);
	p->daemon->row_protocol->write_request(q->msg, &r);
	evbuffer_add(r.path, "", 1);
	evbuffer_add_printf(
	    r.headers, "Host: %s\r\n", addr_text(s->platform, host));
	req.method = r.method;
	req.path = (const char *)evbuffer_pullup(r.path, -1);
	req.headers = (const char *)evbuffer_pullup(r.headers, -1);
	req.headers_len = evbuffer_get_length(r.headers);
	req.body = (const char *)evbuffer_pullup(r.body, -1);
	req.body_len = evbuffer_get_length(r.body);
	req.timeout_us =
	    (s->platform_timeout_ms + q->msg->u.row.wait_ms) * MSEC_US;
	if (http_client_send(p->http, &req, on_done, q) == NULL)
		finish_query(q, NULL);
	row_request_release(&r);
}

static void
receive(void *state, struct msg *m)
{
	struct platform_task *p = state;
	const struct settings *s = p->daemon->settings;
	struct row_query *q;

	if (m->kind == MSG_RELOAD) {
		if (!addr_equal(p->address, s->platform))
			set_address(p, s->platform);
		msg_destroy(m);
		return;
	}
	q = xcalloc(1, sizeof(*q));
	q->platform = p;
	q->msg = m;
	LIST_INSERT_HEAD(&p->queries, q, entry);
	send_query(q);
}

static void
destroy(void *state)
{
	struct platform_task *p = state;
	struct row_query *q;

	http_client_destroy(p->http);
	while ((q = LIST_FIRST(&p->queries)) != NULL) {
		LIST_REMOVE(q, entry);
		msg_destroy(q->msg);
		if (q->rows != NULL)
			evbuffer_free(q->rows);
		free(q);
	}
	free(p);
}

static const struct task_ops ops = {receive, destroy};

struct task *
platform_task_create(struct daemon *d)
{
	struct platform_task *p = xcalloc(1, sizeof(*p));

	p->daemon = d;
	LIST_INIT(&p->queries);
	set_address(p, d->settings->platform);
	return task_create(d->base, "platform", &ops, p);
}
