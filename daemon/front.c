/*
 * The callers' port: a request is passed to the core as MSG_CALL, and its
 * MSG_ANSWER becomes the response.  The dialect knows what the headers mean.
 */
#include <bsd/sys/tree.h>
#include <event2/buffer.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/daemon.h"
#include "daemon/dialect.h"
#include "daemon/flush.h"
#include "daemon/http_server.h"
#include "daemon/log.h"

/*
 * Retry-After of a request that was refused while it arrived, for the memory
 * that it took; spread, so that those refused together do not return together.
 */
#define RETRY_AFTER_MIN_MS 500
#define RETRY_AFTER_SPREAD_MS 1000

struct front_call {
	RB_ENTRY(front_call) entry;
	struct front_task *front;
	struct http_exchange *ex;
	struct call_tag tag;
	uint64_t seq; /* of the MSG_CALL and its MSG_ANSWER */
};

RB_HEAD(front_tree, front_call);

struct front_task {
	struct daemon *daemon;
	struct http_server *http;
	/* As the settings give them, before apply_limits(). */
	struct http_server_settings from_settings;
	struct flush_watch *flush;
	struct front_tree calls;
	uint64_t next_seq;
};

static int
front_call_cmp(struct front_call *a, struct front_call *b)
{
	return a->seq < b->seq ? -1 : a->seq > b->seq;
}

RB_PROTOTYPE(front_tree, front_call, entry, front_call_cmp);
RB_GENERATE(front_tree, front_call, entry, front_call_cmp);

static void
front_call_free(struct front_call *fc)
{
	RB_REMOVE(front_tree, &fc->front->calls, fc);
	free(fc);
}

static void
send_failure(struct front_task *f, struct http_exchange *ex,
    const struct call_tag *tag, const struct reply *r)
{
	struct evbuffer *headers = evbuffer_new(), *body = evbuffer_new();
	struct http_response resp = {0};

	resp.status = f->daemon->dialect->write_failure(tag, r, headers, body);
	resp.headers = (const char *)evbuffer_pullup(headers, -1);
	resp.headers_len = evbuffer_get_length(headers);
	resp.body = (const char *)evbuffer_pullup(body, -1);
	resp.body_len = evbuffer_get_length(body);
	http_exchange_respond(ex, &resp);
	evbuffer_free(headers);
	evbuffer_free(body);
}

static void
send_target_response(struct front_task *f, struct http_exchange *ex,
    const struct call_tag *tag, struct reply *r)
{
	struct evbuffer *headers = evbuffer_new();
	struct http_response resp = {0};

	evbuffer_add(headers, r->headers.data, r->headers.len);
	f->daemon->dialect->write_response_headers(tag, headers);
	resp.status = r->status;
	resp.headers = (const char *)evbuffer_pullup(headers, -1);
	resp.headers_len = evbuffer_get_length(headers);
	resp.owned_body = &r->body;
	http_exchange_respond(ex, &resp);
	evbuffer_free(headers);
}

static void
on_disconnected(void *owner, struct http_exchange *ex)
{
	struct front_call *fc = http_exchange_user_data(ex);
	struct front_task *f = owner;
	struct msg *m = msg_create(MSG_CALL_GONE);

	m->seq = fc->seq;
	task_send(f->daemon->decide, m);
	front_call_free(fc);
}

static void
send_refusal(struct front_task *f, struct http_exchange *ex, enum reason reason)
{
	struct call_tag tag = {0};
	struct reply r;

	memset(&r, 0, sizeof(r));
	reply_fail(&r, failure_make(VERDICT_NOT_RUN, reason));
	send_failure(f, ex, &tag, &r);
}

/*
 * Refuse a request that is arriving.  Its caller is told the id that it sent,
 * if that has come.
 */
static void
on_refuse(void *owner, struct http_exchange *ex)
{
	struct http_message *m = http_exchange_request(ex);
	struct front_task *f = owner;
	struct call_tag tag = {0};
	struct call call = {0};
	struct reply r = {0};

	if (m->method != NULL &&
	    f->daemon->dialect->read_request(f->daemon, m, &call)) {
		name_copy(tag.id, call.id, sizeof(tag.id));
		tag.deadline_ms = call.context.deadline_ms;
	}
	request_release(&call.request);
	reply_fail(&r, failure_make(VERDICT_NOT_RUN, REASON_BUSY));
	r.retry_after_ms =
	    RETRY_AFTER_MIN_MS + randombytes_uniform(RETRY_AFTER_SPREAD_MS);
	send_failure(f, ex, &tag, &r);
}

static void
on_request(void *owner, struct http_exchange *ex)
{
	struct front_task *f = owner;
	struct msg *m = msg_create(MSG_CALL);
	struct call *c = &m->u.call;
	struct front_call *fc;

	if (!f->daemon->dialect->read_request(
		f->daemon, http_exchange_request(ex), c)) {
		msg_destroy(m);
		send_refusal(f, ex, REASON_BAD_REQUEST);
		return;
	}
	fc = xcalloc(1, sizeof(*fc));
	fc->front = f;
	fc->ex = ex;
	fc->seq = ++f->next_seq;
	name_copy(fc->tag.id, c->id, sizeof(fc->tag.id));
	fc->tag.deadline_ms = c->context.deadline_ms;
	RB_INSERT(front_tree, &f->calls, fc);
	http_exchange_set_user_data(ex, fc);
	m->seq = fc->seq;
	task_send(f->daemon->decide, m);
}

static const struct http_server_ops server_ops = {
    on_request, on_disconnected, on_refuse};

/* Answer a call; its caller may have disconnected meanwhile. */
static void
finish_call(struct front_task *f, struct msg *m)
{
	struct front_call want, *fc;
	struct http_exchange *ex;
	struct call_tag tag;

	want.seq = m->seq;
	fc = RB_FIND(front_tree, &f->calls, &want);
	if (fc == NULL)
		return;
	ex = fc->ex;
	tag = fc->tag;
	front_call_free(fc);
	if (m->u.reply.failure.reason == REASON_NONE)
		send_target_response(f, ex, &tag, &m->u.reply);
	else
		send_failure(f, ex, &tag, &m->u.reply);
}

/*
 * Apply the configuration's limits, where it has any, in place of those of the
 * settings.
 */
static void
apply_limits(struct front_task *f, const struct caller_limits *l)
{
	struct http_server_settings s = f->from_settings;

	if (l->header_bytes != 0)
		s.limits.header_bytes = l->header_bytes;
	if (l->body_bytes != 0)
		s.limits.body_bytes = l->body_bytes;
	if (l->header_timeout_us != 0)
		s.header_timeout_us = l->header_timeout_us;
	if (l->idle_timeout_us != 0)
		s.idle_timeout_us = l->idle_timeout_us;
	http_server_configure(f->http, &s);
}

static bool
is_flushed(const void *owner)
{
	const struct front_task *f = owner;

	return http_server_is_flushed(f->http);
}

static void
receive(void *state, struct msg *m)
{
	struct front_task *f = state;

	switch (m->kind) {
	case MSG_LIMITS:
		apply_limits(f, &m->u.limits);
		break;
	case MSG_DRAIN:
		http_server_drain(f->http);
		break;
	case MSG_CLOSE:
		http_server_stop_accepting(f->http);
		break;
	case MSG_FLUSH:
		flush_watch_start(f->flush, m->seq);
		break;
	default:
		finish_call(f, m);
		break;
	}
	msg_destroy(m);
}

static void
destroy(void *state)
{
	struct front_task *f = state;
	struct front_call *fc;

	flush_watch_destroy(f->flush);
	http_server_destroy(f->http);
	while ((fc = RB_ROOT(&f->calls)) != NULL)
		front_call_free(fc);
	free(f);
}

static const struct task_ops ops = {receive, destroy};

struct task *
front_task_create(struct daemon *d)
{
	const struct settings *s = d->settings;
	struct front_task *f = xcalloc(1, sizeof(*f));

	f->daemon = d;
	RB_INIT(&f->calls);
	f->from_settings.limits.header_bytes = s->max_header_bytes;
	f->from_settings.limits.body_bytes = s->max_body_bytes;
	f->from_settings.header_timeout_us = s->caller_idle_s * SEC_US;
	f->from_settings.idle_timeout_us = s->caller_idle_s * SEC_US;
	f->from_settings.max_connections = d->max_descriptors;
	f->from_settings.memory = d->memory;
	f->from_settings.descriptors = d->descriptors;
	f->http = http_server_create(
	    d->base, s->callers, &f->from_settings, &server_ops, f);
	if (f->http == NULL) {
		free(f);
		return NULL;
	}
	f->flush = flush_watch_create(d, is_flushed, f);
	return task_create(d->base, "front", &ops, f);
}
