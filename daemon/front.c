/*
 * The callers' port: HTTP requests become MSG_CALL, MSG_ANSWER becomes the
 * response.  The caller's key ends here: only its hash goes on.
 */
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/daemon.h"
#include "daemon/log.h"
#include "wire/httpmap.h"

struct front_call {
	RB_ENTRY(front_call) entry;
	struct front *front;
	struct evhttp_request *req;
	uint64_t token;
};

RB_HEAD(front_tree, front_call);

struct front {
	struct daemon *daemon;
	struct evhttp *http;
	struct front_tree calls;
	uint64_t next_token;
};

static int
front_call_cmp(struct front_call *a, struct front_call *b)
{
	return a->token < b->token ? -1 : a->token > b->token;
}

RB_PROTOTYPE(front_tree, front_call, entry, front_call_cmp);
RB_GENERATE(front_tree, front_call, entry, front_call_cmp);

static const char *
header(struct evhttp_request *req, const char *name)
{
	return evhttp_find_header(evhttp_request_get_input_headers(req), name);
}

/* The key of "Bearer KEY", or NULL. */
static const char *
bearer_key(struct evhttp_request *req)
{
	const char *value = header(req, HEADER_KEY);
	size_t len = strlen(HEADER_KEY_SCHEME);

	if (value == NULL ||
	    evutil_ascii_strncasecmp(value, HEADER_KEY_SCHEME, len) != 0)
		return NULL;
	value += len;
	return value[0] != '\0' ? value : NULL;
}

static const char *
method_name(enum evhttp_cmd_type type)
{
	switch (type) {
	case EVHTTP_REQ_GET:
		return "GET";
	case EVHTTP_REQ_HEAD:
		return "HEAD";
	case EVHTTP_REQ_POST:
		return "POST";
	case EVHTTP_REQ_PUT:
		return "PUT";
	case EVHTTP_REQ_DELETE:
		return "DELETE";
	case EVHTTP_REQ_PATCH:
		return "PATCH";
	default:
		return NULL;
	}
}

/* Copy the headers that are passed on; none that holds the key. */
static void
copy_headers(struct evhttp_request *req, const char *key, struct buffer *out)
{
	struct evbuffer *buf = evbuffer_new();
	struct evkeyval *kv;

	TAILQ_FOREACH (kv, evhttp_request_get_input_headers(req), next) {
		if (!httpmap_passes(kv->key) ||
		    (key != NULL && strstr(kv->value, key) != NULL))
			continue;
		evbuffer_add_printf(buf, "%s: %s\r\n", kv->key, kv->value);
	}
	buffer_set(out, evbuffer_pullup(buf, -1), evbuffer_get_length(buf));
	evbuffer_free(buf);
}

static bool
copy_id(struct evhttp_request *req, struct call *c)
{
	const char *id = header(req, HEADER_ID);

	if (id == NULL)
		return true;
	if (strlen(id) >= sizeof(c->id) || id[0] == '\0')
		return false;
	name_copy(c->id, id, sizeof(c->id));
	return true;
}

static bool
copy_deadline(struct evhttp_request *req, struct call *c)
{
	const char *value = header(req, HEADER_DEADLINE);
	char *end;

	if (value == NULL)
		return true;
	c->context.deadline_ms = strtoull(value, &end, 10);
	return value[0] >= '0' && value[0] <= '9' && *end == '\0' &&
	       c->context.deadline_ms > 0;
}

static void
copy_context(struct front *f, struct evhttp_request *req, struct call *c)
{
	const char *value = header(req, HEADER_CONTEXT);
	struct call_context got;

	if (value == NULL)
		return;
	c->has_context = true;
	if (!context_read(f->daemon->context_key, value, &got)) {
		c->context_bad = true;
		return;
	}
	c->context.tree = got.tree;
	c->context.job = got.job;
}

static bool
copy_request(struct front *f, struct evhttp_request *req, struct call *c)
{
	const char *method = method_name(evhttp_request_get_command(req));
	const char *uri = evhttp_request_get_uri(req);
	const char *key = bearer_key(req);
	struct evbuffer *body = evhttp_request_get_input_buffer(req);

	if (method == NULL || uri[0] != '/' || strlen(uri) >= PATH_LEN ||
	    (key != NULL && strstr(uri, key) != NULL))
		return false;
	name_copy(c->request.method, method, METHOD_LEN);
	name_copy(c->request.path, uri, PATH_LEN);
	if (key != NULL) {
		crypto_generichash(c->key_hash, KEY_HASH_LEN,
		    (const uint8_t *)key, strlen(key), NULL, 0);
		c->has_key = true;
	}
	if (!copy_id(req, c) || !copy_deadline(req, c))
		return false;
	copy_context(f, req, c);
	copy_headers(req, key, &c->request.headers);
	buffer_set(&c->request.body, evbuffer_pullup(body, -1),
	    evbuffer_get_length(body));
	return true;
}

static void
add_number(struct evhttp_request *req, const char *name, uint64_t value)
{
	char text[24];

	snprintf(text, sizeof(text), "%" PRIu64, value);
	evhttp_add_header(evhttp_request_get_output_headers(req), name, text);
}

static void
send_failure(struct evhttp_request *req, const struct reply *r)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);
	struct evbuffer *body = evbuffer_new();

	evhttp_add_header(
	    out, HEADER_VERDICT, verdict_name(r->failure.verdict));
	evhttp_add_header(out, HEADER_REASON, reason_name(r->failure.reason));
	evhttp_add_header(out, "Content-Type", "text/plain");
	if (r->retry_after_ms != 0)
		add_number(
		    req, HEADER_RETRY_AFTER, (r->retry_after_ms + 999) / 1000);
	evbuffer_add_printf(body, "%s: %s\n", verdict_name(r->failure.verdict),
	    reason_text(r->failure.reason));
	evhttp_send_reply(req, httpmap_status(r->failure.reason), NULL, body);
	evbuffer_free(body);
}

/* The target's headers, one "Name: value\r\n" line after the other. */
static void
add_headers(struct evhttp_request *req, const struct buffer *headers)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);
	char *copy, *rest, *line, *colon;

	if (headers->len == 0)
		return;
	copy = rest = strdup(headers->data);
	while ((line = strsep(&rest, "\n")) != NULL) {
		line[strcspn(line, "\r")] = '\0';
		colon = strstr(line, ": ");
		if (colon == NULL)
			continue;
		*colon = '\0';
		evhttp_add_header(out, line, colon + 2);
	}
	free(copy);
}

static void
send_answer(struct evhttp_request *req, const struct reply *r)
{
	struct evbuffer *body = evbuffer_new();

	add_headers(req, &r->headers);
	evhttp_add_header(evhttp_request_get_output_headers(req),
	    HEADER_VERDICT, verdict_name(VERDICT_RAN));
	evbuffer_add(body, r->body.data, r->body.len);
	evhttp_send_reply(req, r->status, NULL, body);
	evbuffer_free(body);
}

static void
call_free(struct front_call *fc)
{
	RB_REMOVE(front_tree, &fc->front->calls, fc);
	free(fc);
}

/* The caller closed its connection before the answer. */
static void
on_close(struct evhttp_connection *conn, void *arg)
{
	struct front_call *fc = arg;
	struct evhttp_request *req = fc->req;
	struct msg *m = msg_create(MSG_CALL_GONE);

	(void)conn;
	m->seq = fc->token;
	task_send(fc->front->daemon->decide, m);
	call_free(fc);
	/* A request that lost its connection is ours to free. */
	if (evhttp_request_get_connection(req) == NULL)
		evhttp_request_free(req);
}

static void
refuse(struct evhttp_request *req, enum reason reason)
{
	struct reply r;

	memset(&r, 0, sizeof(r));
	reply_fail(&r, failure_make(VERDICT_NOT_RUN, reason));
	send_failure(req, &r);
}

static void
on_request(struct evhttp_request *req, void *arg)
{
	struct front *f = arg;
	struct msg *m = msg_create(MSG_CALL);
	struct front_call *fc;

	if (!copy_request(f, req, &m->u.call)) {
		msg_destroy(m);
		refuse(req, REASON_BAD_REQUEST);
		return;
	}
	fc = xcalloc(1, sizeof(*fc));
	fc->front = f;
	fc->req = req;
	fc->token = ++f->next_token;
	RB_INSERT(front_tree, &f->calls, fc);
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_close, fc);
	m->seq = fc->token;
	task_send(f->daemon->decide, m);
}

static void
receive(void *state, struct msg *m)
{
	struct front_call want, *fc;
	struct front *f = state;
	struct evhttp_request *req;

	want.token = m->seq;
	fc = RB_FIND(front_tree, &f->calls, &want);
	if (fc != NULL) {
		req = fc->req;
		evhttp_connection_set_closecb(
		    evhttp_request_get_connection(req), NULL, NULL);
		call_free(fc);
		if (f->daemon->draining)
			evhttp_add_header(
			    evhttp_request_get_output_headers(req),
			    "Connection", "close");
		if (m->u.reply.failure.reason == REASON_NONE)
			send_answer(req, &m->u.reply);
		else
			send_failure(req, &m->u.reply);
	}
	msg_destroy(m);
}

static void
destroy(void *state)
{
	struct front *f = state;
	struct front_call *fc;

	while ((fc = RB_ROOT(&f->calls)) != NULL) {
		evhttp_connection_set_closecb(
		    evhttp_request_get_connection(fc->req), NULL, NULL);
		call_free(fc);
	}
	evhttp_free(f->http);
	free(f);
}

static const struct task_ops ops = {receive, destroy};

struct task *
front_task_create(struct daemon *d)
{
	const struct settings *s = d->settings;
	struct front *f = xcalloc(1, sizeof(*f));
	char ip[ADDR_TEXT_LEN];

	f->daemon = d;
	RB_INIT(&f->calls);
	f->http = evhttp_new(d->base);
	evhttp_set_max_headers_size(f->http, s->max_header_bytes);
	evhttp_set_max_body_size(f->http, s->max_body_bytes);
	evhttp_set_timeout(f->http, s->caller_idle_s);
	evhttp_set_allowed_methods(
	    f->http, EVHTTP_REQ_GET | EVHTTP_REQ_HEAD | EVHTTP_REQ_POST |
			 EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH);
	evhttp_set_gencb(f->http, on_request, f);
	addr_text(s->callers, ip);
	*strchr(ip, ':') = '\0';
	if (evhttp_bind_socket(f->http, ip, s->callers.port) != 0) {
		log_line(LOG_ERR, "bind-failed", "port=callers addr=%s:%u", ip,
		    s->callers.port);
		evhttp_free(f->http);
		free(f);
		return NULL;
	}
	return task_create(d->base, "front", &ops, f);
}
