/*
 * Connections to the local target: MSG_RUN becomes an HTTP request, its
 * outcome becomes MSG_RUN_DONE.  Whether bytes of the request may have left
 * is seen from the socket's output, so that "not run" is known, not guessed.
 */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/daemon.h"
#include "daemon/log.h"
#include "wire/httpmap.h"

#define MAX_IDLE 64 /* connections kept open without a call */

struct conn {
	LIST_ENTRY(conn) entry;
	struct target *target;
	struct evhttp_connection *http;
	struct evhttp_request *req; /* NULL while idle */
	uint64_t seq;
	uint16_t port;
	bool sent; /* bytes of the present request may have left */
	bool timed_out;
};

LIST_HEAD(conn_list, conn);

struct target {
	struct daemon *daemon;
	struct conn_list busy;
	struct conn_list idle;
	struct conn_list dead; /* to be freed from the event loop */
	struct event *reap;
	int nidle;
	uint16_t port;
};

static void
on_output(struct evbuffer *buf, const struct evbuffer_cb_info *info, void *arg)
{
	struct conn *c = arg;

	(void)buf;
	if (info->n_deleted > 0)
		c->sent = true;
}

static void
on_reap(evutil_socket_t fd, short what, void *arg)
{
	struct target *t = arg;
	struct conn *c;

	(void)fd;
	(void)what;
	while ((c = LIST_FIRST(&t->dead)) != NULL) {
		LIST_REMOVE(c, entry);
		evhttp_connection_free(c->http);
		free(c);
	}
}

/* evhttp may still use the connection: it is freed a little later. */
static void
conn_bury(struct conn *c)
{
	LIST_REMOVE(c, entry);
	LIST_INSERT_HEAD(&c->target->dead, c, entry);
	event_active(c->target->reap, EV_TIMEOUT, 0);
}

static void
conn_rest(struct conn *c)
{
	struct target *t = c->target;

	if (t->nidle >= MAX_IDLE || c->port != t->port) {
		conn_bury(c);
		return;
	}
	LIST_REMOVE(c, entry);
	LIST_INSERT_HEAD(&t->idle, c, entry);
	t->nidle++;
}

static struct conn *
conn_create(struct target *t)
{
	struct conn *c = xcalloc(1, sizeof(*c));
	struct bufferevent *bev;

	c->target = t;
	c->port = t->port;
	c->http = evhttp_connection_base_bufferevent_new(
	    t->daemon->base, NULL, NULL, "127.0.0.1", t->port);
	bev = evhttp_connection_get_bufferevent(c->http);
	evbuffer_add_cb(bufferevent_get_output(bev), on_output, c);
	evhttp_connection_set_max_body_size(
	    c->http, t->daemon->settings->max_body_bytes);
	LIST_INSERT_HEAD(&t->busy, c, entry);
	return c;
}

static struct conn *
conn_get(struct target *t)
{
	struct conn *c = LIST_FIRST(&t->idle);

	if (c == NULL)
		return conn_create(t);
	LIST_REMOVE(c, entry);
	t->nidle--;
	LIST_INSERT_HEAD(&t->busy, c, entry);
	if (c->port == t->port)
		return c;
	conn_bury(c);
	return conn_create(t);
}

/* An answer whose length is not stated may be cut short unnoticed. */
static bool
is_whole(struct evhttp_request *req)
{
	struct evkeyvalq *in = evhttp_request_get_input_headers(req);
	const char *length = evhttp_find_header(in, "Content-Length");
	const char *coding = evhttp_find_header(in, "Transfer-Encoding");
	size_t got = evbuffer_get_length(evhttp_request_get_input_buffer(req));
	int status = evhttp_request_get_response_code(req);

	if (evhttp_request_get_command(req) == EVHTTP_REQ_HEAD ||
	    status == 204 || status == 304)
		return true;
	if (coding != NULL)
		return evutil_ascii_strcasecmp(coding, "chunked") == 0;
	return length != NULL && strtoull(length, NULL, 10) == got;
}

static void
copy_answer(struct evhttp_request *req, struct reply *r)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(req);
	struct evbuffer *buf = evbuffer_new();
	struct evkeyval *kv;

	TAILQ_FOREACH (kv, evhttp_request_get_input_headers(req), next) {
		if (httpmap_passes(kv->key))
			evbuffer_add_printf(
			    buf, "%s: %s\r\n", kv->key, kv->value);
	}
	r->status = evhttp_request_get_response_code(req);
	buffer_set(
	    &r->headers, evbuffer_pullup(buf, -1), evbuffer_get_length(buf));
	buffer_set(
	    &r->body, evbuffer_pullup(body, -1), evbuffer_get_length(body));
	evbuffer_free(buf);
}

/* A target that sheds a request says so; only then is it not run. */
static bool
target_refused(struct evhttp_request *req)
{
	const char *verdict = evhttp_find_header(
	    evhttp_request_get_input_headers(req), HEADER_VERDICT);

	return verdict != NULL &&
	       strcmp(verdict, verdict_name(VERDICT_NOT_RUN)) == 0;
}

static void
read_outcome(struct conn *c, struct evhttp_request *req, struct reply *r)
{
	if (req == NULL || evhttp_request_get_response_code(req) == 0) {
		enum reason reason =
		    c->timed_out ? REASON_DEADLINE : REASON_TARGET_FAILED;

		reply_fail(r, failure_make(c->sent ? VERDICT_MAY_HAVE_RUN
						   : VERDICT_NOT_RUN,
				  reason));
	} else if (target_refused(req)) {
		reply_fail(r, failure_make(VERDICT_NOT_RUN, REASON_SHED));
	} else if (!is_whole(req)) {
		reply_fail(r,
		    failure_make(VERDICT_MAY_HAVE_RUN, REASON_TARGET_FAILED));
	} else {
		copy_answer(req, r);
	}
}

static void
report(struct conn *c, struct evhttp_request *req)
{
	struct msg *m = msg_create(MSG_RUN_DONE);

	m->seq = c->seq;
	read_outcome(c, req, &m->u.reply);
	task_send(c->target->daemon->decide, m);
}

static void
on_error(enum evhttp_request_error error, void *arg)
{
	struct conn *c = arg;

	c->timed_out = error == EVREQ_HTTP_TIMEOUT;
}

static void
on_done(struct evhttp_request *req, void *arg)
{
	struct conn *c = arg;
	bool ok = req != NULL && evhttp_request_get_response_code(req) != 0;

	report(c, req);
	c->req = NULL;
	if (ok)
		conn_rest(c);
	else
		conn_bury(c);
}

static enum evhttp_cmd_type
command_of(const char *method)
{
	static const struct {
		const char *name;
		enum evhttp_cmd_type type;
	} commands[] = {
	    {"HEAD", EVHTTP_REQ_HEAD},
	    {"POST", EVHTTP_REQ_POST},
	    {"PUT", EVHTTP_REQ_PUT},
	    {"DELETE", EVHTTP_REQ_DELETE},
	    {"PATCH", EVHTTP_REQ_PATCH},
	};
	size_t i;

	for (i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		if (strcmp(method, commands[i].name) == 0)
			return commands[i].type;
	}
	return EVHTTP_REQ_GET;
}

static void
add_headers(
    struct target *t, struct evhttp_request *req, const struct forward *f)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);
	char context[CONTEXT_TEXT_LEN], deadline[24], *copy, *rest, *line,
	    *colon;

	copy = rest =
	    strdup(f->request.headers.data ? f->request.headers.data : "");
	while ((line = strsep(&rest, "\n")) != NULL) {
		line[strcspn(line, "\r")] = '\0';
		colon = strstr(line, ": ");
		if (colon == NULL)
			continue;
		*colon = '\0';
		evhttp_add_header(out, line, colon + 2);
	}
	free(copy);
	context_write(
	    t->daemon->context_key, &f->context, context, sizeof(context));
	evutil_snprintf(deadline, sizeof(deadline), "%llu",
	    (unsigned long long)f->context.deadline_ms);
	evhttp_add_header(out, "Host", "127.0.0.1");
	evhttp_add_header(out, HEADER_CONTEXT, context);
	evhttp_add_header(out, HEADER_DEADLINE, deadline);
	if (f->id[0] != '\0')
		evhttp_add_header(out, HEADER_ID, f->id);
	if (f->context.org[0] != '\0')
		evhttp_add_header(
		    out, "Cranberryway-Organisation", f->context.org);
}

static void
run(struct target *t, struct msg *m)
{
	const struct forward *f = &m->u.forward;
	uint64_t us = f->context.deadline_ms * MSEC_US;
	struct timeval tv = {us / SEC_US, us % SEC_US};
	struct conn *c = conn_get(t);

	c->seq = m->seq;
	c->sent = false;
	c->timed_out = false;
	c->req = evhttp_request_new(on_done, c);
	evhttp_request_set_error_cb(c->req, on_error);
	add_headers(t, c->req, f);
	evbuffer_add(evhttp_request_get_output_buffer(c->req),
	    f->request.body.data, f->request.body.len);
	evhttp_connection_set_timeout_tv(c->http, &tv);
	if (evhttp_make_request(c->http, c->req, command_of(f->request.method),
		f->request.path) == 0)
		return;
	/* evhttp has freed the request; nothing of it has left. */
	c->req = NULL;
	report(c, NULL);
	conn_bury(c);
}

static void
cancel(struct target *t, uint64_t seq)
{
	struct conn *c;

	LIST_FOREACH (c, &t->busy, entry) {
		if (c->seq == seq)
			break;
	}
	if (c == NULL)
		return;
	evhttp_cancel_request(c->req);
	c->req = NULL;
	report(c, NULL);
	conn_bury(c);
}

static void
receive(void *state, struct msg *m)
{
	struct target *t = state;

	switch (m->kind) {
	case MSG_RUN:
		run(t, m);
		break;
	case MSG_RUN_CANCEL:
		cancel(t, m->seq);
		break;
	case MSG_ANNOUNCE:
		t->port = m->u.announce.port;
		break;
	default:
		break;
	}
	msg_destroy(m);
}

static void
list_free(struct conn_list *list)
{
	struct conn *c;

	while ((c = LIST_FIRST(list)) != NULL) {
		LIST_REMOVE(c, entry);
		if (c->req != NULL)
			evhttp_cancel_request(c->req);
		evhttp_connection_free(c->http);
		free(c);
	}
}

static void
destroy(void *state)
{
	struct target *t = state;

	list_free(&t->busy);
	list_free(&t->idle);
	list_free(&t->dead);
	event_free(t->reap);
	free(t);
}

static const struct task_ops ops = {receive, destroy};

struct task *
target_task_create(struct daemon *d)
{
	struct target *t = xcalloc(1, sizeof(*t));

	t->daemon = d;
	LIST_INIT(&t->busy);
	LIST_INIT(&t->idle);
	LIST_INIT(&t->dead);
	t->reap = event_new(d->base, -1, 0, on_reap, t);
	return task_create(d->base, "target", &ops, t);
}
