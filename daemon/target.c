/*
 * Requests to the local target: MSG_RUN becomes an HTTP request, its outcome
 * becomes MSG_RUN_DONE.  Whether bytes of the request may have left is known
 * from the connection, so that "not run" is known, not guessed.
 */
#include <bsd/sys/tree.h>
#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/daemon.h"
#include "daemon/dialect.h"
#include "daemon/http_client.h"
#include "daemon/log.h"

#define KEEP_IDLE_US (30 * SEC_US) /* a connection without a request */

struct run {
	RB_ENTRY(run) entry;
	struct target *target;
	struct http_call *call;
	uint64_t seq;
	char id[ID_LEN];
};

RB_HEAD(run_tree, run);

struct target {
	struct daemon *daemon;
	struct http_client *http; /* NULL until the target is known */
	struct addr addr;
	struct run_tree runs;
};

static int
run_cmp(struct run *a, struct run *b)
{
	return a->seq < b->seq ? -1 : a->seq > b->seq;
}

RB_PROTOTYPE(run_tree, run, entry, run_cmp);
RB_GENERATE(run_tree, run, entry, run_cmp);

static void
run_free(struct run *r)
{
	RB_REMOVE(run_tree, &r->target->runs, r);
	free(r);
}

static void
report(struct target *t, uint64_t seq, const struct http_result *result)
{
	struct msg *m = msg_create(MSG_RUN_DONE);
	struct reply *r = &m->u.reply;

	m->seq = seq;
	if (result->outcome == HTTP_ANSWERED)
		t->daemon->dialect->read_answer(result->msg, r);
	else
		reply_fail(r, failure_make(result->sent ? VERDICT_MAY_HAVE_RUN
							: VERDICT_NOT_RUN,
				  result->outcome == HTTP_TIMED_OUT
				      ? REASON_DEADLINE
				      : REASON_TARGET_FAILED));
	r->reached = result->sent;
	task_send(t->daemon->decide, m);
}

static void
report_unsent(struct target *t, uint64_t seq)
{
	struct http_result result = {.outcome = HTTP_NOT_CONNECTED};

	report(t, seq, &result);
}

static void
on_done(void *arg, const struct http_result *result)
{
	struct run *r = arg;

	report(r->target, r->seq, result);
	run_free(r);
}

static bool
on_answers(void *arg, const struct http_message *m)
{
	struct run *r = arg;

	return r->target->daemon->dialect->answers(r->id, m);
}

static void
run(struct target *t, struct msg *m)
{
	const struct forward *f = &m->u.forward;
	struct evbuffer *headers;
	struct http_request req;
	struct run *r;

	if (t->http == NULL) {
		report_unsent(t, m->seq);
		return;
	}
	r = xcalloc(1, sizeof(*r));
	r->target = t;
	r->seq = m->seq;
	name_copy(r->id, f->id, sizeof(r->id));
	RB_INSERT(run_tree, &t->runs, r);
	headers = evbuffer_new();
	t->daemon->dialect->write_run(t->daemon, f, headers);
	memset(&req, 0, sizeof(req));
	req.method = f->request.method;
	req.path = f->request.path;
	req.headers = (const char *)evbuffer_pullup(headers, -1);
	req.headers_len = evbuffer_get_length(headers);
	req.body = f->request.body.data;
	req.body_len = f->request.body.len;
	req.timeout_us = f->context.deadline_ms * MSEC_US;
	req.answers = on_answers;
	r->call = http_client_send(t->http, &req, on_done, r);
	evbuffer_free(headers);
	if (r->call != NULL)
		return;
	run_free(r);
	report_unsent(t, m->seq);
}

static void
cancel(struct target *t, uint64_t seq)
{
	struct http_result result = {.outcome = HTTP_BROKEN, .sent = true};
	struct run want, *r;

	want.seq = seq;
	r = RB_FIND(run_tree, &t->runs, &want);
	if (r == NULL)
		return;
	http_call_cancel(r->call);
	run_free(r);
	report(t, seq, &result);
}

static void
cancel_all(struct target *t)
{
	struct run *r;

	while ((r = RB_ROOT(&t->runs)) != NULL)
		cancel(t, r->seq);
}

static void
locate(struct target *t, struct addr at)
{
	struct http_client_settings set = {0};

	if (t->http != NULL && addr_equal(at, t->addr))
		return;
	cancel_all(t);
	http_client_destroy(t->http);
	set.limits.header_bytes = t->daemon->settings->max_header_bytes;
	set.limits.body_bytes = t->daemon->settings->max_body_bytes;
	set.max_idle = t->daemon->settings->max_idle;
	set.idle_us = KEEP_IDLE_US;
	t->addr = at;
	t->http = http_client_create(t->daemon->base, at, &set);
}

static void
receive(void *state, struct msg *m)
{
	struct target *t = state;
	struct addr at = t->daemon->settings->target;

	switch (m->kind) {
	case MSG_RUN:
		run(t, m);
		break;
	case MSG_RUN_CANCEL:
		cancel(t, m->seq);
		break;
	case MSG_ANNOUNCE:
		if (at.port == 0) {
			at.ip = LOOPBACK_IP;
			at.port = m->u.announce.port;
		}
		locate(t, at);
		break;
	default:
		break;
	}
	msg_destroy(m);
}

static void
destroy(void *state)
{
	struct target *t = state;
	struct run *r;

	http_client_destroy(t->http);
	while ((r = RB_ROOT(&t->runs)) != NULL)
		run_free(r);
	free(t);
}

static const struct task_ops ops = {receive, destroy};

struct task *
target_task_create(struct daemon *d)
{
	struct target *t = xcalloc(1, sizeof(*t));

	t->daemon = d;
	RB_INIT(&t->runs);
	return task_create(d->base, "target", &ops, t);
}
