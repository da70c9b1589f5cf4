/*
 * HTTP requests to the local target: MSG_RUN starts a request, and its outcome
 * is returned in MSG_RUN_DONE.  A failed request is reported as not run only if
 * the connection shows that no byte of it was sent.
 */
#include <bsd/sys/tree.h>
#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/daemon.h"
#include "daemon/dialect.h"
#include "daemon/http_client.h"
#include "daemon/log.h"

#define IDLE_TIMEOUT_US (30 * SEC_US) /* of connections to the target */

struct target_request {
	RB_ENTRY(target_request) entry;
	struct target_task *target;
	struct http_call *call;
	uint64_t seq; /* of the MSG_RUN */
	char id[ID_LEN]; /* the try's idempotency id; may be empty */
};

RB_HEAD(request_tree, target_request);

struct target_task {
	struct daemon *daemon;
	struct http_client *http; /* NULL until the target announced itself */
	struct addr addr; /* of the target; valid if http is not NULL */
	struct request_tree requests;
};

static int
request_cmp(struct target_request *a, struct target_request *b)
{
	return a->seq < b->seq ? -1 : a->seq > b->seq;
}

RB_PROTOTYPE(request_tree, target_request, entry, request_cmp);
RB_GENERATE(request_tree, target_request, entry, request_cmp);

static void
request_free(struct target_request *r)
{
	RB_REMOVE(request_tree, &r->target->requests, r);
	free(r);
}

static void
report_outcome(
    struct target_task *t, uint64_t seq, const struct http_result *result)
{
	struct msg *m = msg_create(MSG_RUN_DONE);
	struct reply *r = &m->u.reply;

	m->seq = seq;
	if (result->outcome == HTTP_RESPONSE_RECEIVED)
		t->daemon->dialect->read_response(result->response, r);
	else
		reply_fail(
		    r, failure_make(result->may_have_sent ? VERDICT_MAY_HAVE_RUN
							  : VERDICT_NOT_RUN,
			   result->outcome == HTTP_TIMED_OUT
			       ? REASON_DEADLINE
			       : REASON_TARGET_FAILED));
	r->may_have_reached_target = result->may_have_sent;
	task_send(t->daemon->decide, m);
}

static void
report_unsent(struct target_task *t, uint64_t seq)
{
	struct http_result result = {.outcome = HTTP_NOT_CONNECTED};

	report_outcome(t, seq, &result);
}

static void
on_done(void *arg, const struct http_result *result)
{
	struct target_request *r = arg;

	report_outcome(r->target, r->seq, result);
	request_free(r);
}

static bool
is_response(void *arg, const struct http_message *m, bool new_connection)
{
	struct target_request *r = arg;

	return r->target->daemon->dialect->is_response_to(
	    r->id, m, new_connection);
}

static bool
keeps_connection(void *arg, const struct http_message *m)
{
	struct target_request *r = arg;

	return r->target->daemon->dialect->may_keep_connection(m);
}

static void
start_request(struct target_task *t, struct msg *m)
{
	struct forward *f = &m->u.forward;
	struct evbuffer *headers;
	struct http_request req;
	struct target_request *r;

	if (t->http == NULL) {
		report_unsent(t, m->seq);
		return;
	}
	r = xcalloc(1, sizeof(*r));
	r->target = t;
	r->seq = m->seq;
	name_copy(r->id, f->id, sizeof(r->id));
	RB_INSERT(request_tree, &t->requests, r);
	headers = evbuffer_new();
	t->daemon->dialect->write_target_headers(t->daemon, f, headers);
	memset(&req, 0, sizeof(req));
	req.method = f->request.method;
	req.path = f->request.path;
	req.headers = (const char *)evbuffer_pullup(headers, -1);
	req.headers_len = evbuffer_get_length(headers);
	req.shared_body = &f->request.body;
	req.body_is_charged = m->body_is_charged;
	req.timeout_us = f->context.deadline_ms * MSEC_US;
	req.is_response = is_response;
	req.keeps_connection = keeps_connection;
	r->call = http_client_send(t->http, &req, on_done, r);
	evbuffer_free(headers);
	if (r->call != NULL)
		return;
	request_free(r);
	report_unsent(t, m->seq);
}

/* Cancel a request; it may have run, as parts of it may have been sent. */
static void
cancel_request(struct target_task *t, uint64_t seq)
{
	struct http_result result = {
	    .outcome = HTTP_BROKEN, .may_have_sent = true};
	struct target_request want, *r;

	want.seq = seq;
	r = RB_FIND(request_tree, &t->requests, &want);
	if (r == NULL)
		return;
	http_call_cancel(r->call);
	request_free(r);
	report_outcome(t, seq, &result);
}

static void
cancel_all_requests(struct target_task *t)
{
	struct target_request *r;

	while ((r = RB_ROOT(&t->requests)) != NULL)
		cancel_request(t, r->seq);
}

/*
 * Send further requests to this address.  If it changed, those in progress at
 * the old one are cancelled.
 */
static void
set_address(struct target_task *t, struct addr at)
{
	struct http_client_settings set = {0};

	if (t->http != NULL && addr_equal(at, t->addr))
		return;
	cancel_all_requests(t);
	http_client_destroy(t->http);
	set.limits.header_bytes = t->daemon->settings->max_header_bytes;
	set.limits.body_bytes = t->daemon->settings->max_body_bytes;
	set.max_idle_connections = t->daemon->settings->max_idle_connections;
	set.idle_timeout_us = IDLE_TIMEOUT_US;
	set.max_partial_bytes = t->daemon->settings->max_partial_bytes;
	set.memory = t->daemon->memory;
	set.descriptors = t->daemon->descriptors;
	t->addr = at;
	t->http = http_client_create(t->daemon->base, at, &set);
}

static void
receive(void *state, struct msg *m)
{
	struct target_task *t = state;
	struct addr at = t->daemon->settings->target;

	switch (m->kind) {
	case MSG_RUN:
		start_request(t, m);
		break;
	case MSG_RUN_CANCEL:
		cancel_request(t, m->seq);
		break;
	case MSG_ANNOUNCE:
		if (at.port == 0) {
			at.ip = LOOPBACK_IP;
			at.port = m->u.announce.port;
		}
		set_address(t, at);
		break;
	default:
		break;
	}
	msg_destroy(m);
}

static void
destroy(void *state)
{
	struct target_task *t = state;
	struct target_request *r;

	http_client_destroy(t->http);
	while ((r = RB_ROOT(&t->requests)) != NULL)
		request_free(r);
	free(t);
}

static const struct task_ops ops = {receive, destroy};

struct task *
target_task_create(struct daemon *d)
{
	struct target_task *t = xcalloc(1, sizeof(*t));

	t->daemon = d;
	RB_INIT(&t->requests);
	return task_create(d->base, "target", &ops, t);
}
