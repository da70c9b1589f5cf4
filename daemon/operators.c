/*
 * The operators' port.  A request is passed to the core as MSG_OPS, and its
 * connection is paused until the MSG_OPS_REPLY arrives.  The local target can
 * announce itself here too, and must where the dialect has no announce port.
 */
#include <event2/buffer.h>
#include <evhtp/evhtp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/account.h"
#include "daemon/daemon.h"
#include "daemon/log.h"

#define MAX_CONFIG_BYTES (3u << 20) /* body of a submitted configuration */
#define MAX_SLOTS 1000000 /* largest accepted number of slots */
#define LISTEN_BACKLOG 64
#define MAX_CONNECTIONS 64 /* further ones are closed at once */
#define CONNECTION_TIMEOUT_S 30 /* of one that sends or reads nothing */

/* What a connection holds. */
struct operator_conn {
	struct operators_task *task;
	struct holder memory; /* of the request's body */
	struct holder descriptor;
};

struct operator_request {
	LIST_ENTRY(operator_request) entry;
	evhtp_request_t *req;
	uint64_t seq; /* of the MSG_OPS and its MSG_OPS_REPLY */
};

LIST_HEAD(operator_request_list, operator_request);

struct operators_task {
	struct daemon *daemon;
	evhtp_t *http;
	struct operator_request_list requests;
	uint64_t next_seq;
	size_t nconns;
};

static const struct holder_ops conn_holder = {HOLDER_PORT, true, NULL};

/* A path and method that are passed to the core, and the verb to use. */
struct endpoint {
	const char *path;
	htp_method method;
	enum ops_verb verb;
};

static const struct endpoint endpoints[] = {
    {"/status", htp_method_GET, OPS_STATUS},
    {"/explain", htp_method_GET, OPS_EXPLAIN},
    {"/config", htp_method_GET, OPS_SHOW},
    {"/config", htp_method_PUT, OPS_SUBMIT},
    {"/log", htp_method_GET, OPS_LOG},
    {"/drain", htp_method_POST, OPS_DRAIN},
};

/* The value of a query parameter, or "". */
static const char *
query_param(evhtp_request_t *req, const char *name)
{
	const char *v = req->uri->query != NULL
			    ? evhtp_kv_find(req->uri->query, name)
			    : NULL;

	return v != NULL ? v : "";
}

static void
send_text(evhtp_request_t *req, int status, const char *text)
{
	evbuffer_add_printf(req->buffer_out, "%s\n", text);
	evhtp_send_reply(req, status);
}

/*
 * Whether a parameter is fit for log lines and rows: printable ASCII without
 * spaces and percent signs.
 */
static bool
is_printable_word(const char *s)
{
	for (; *s != '\0'; s++) {
		if (*s <= ' ' || *s > '~' || *s == '%')
			return false;
	}
	return true;
}

static bool
read_ops(evhtp_request_t *req, const struct endpoint *e, struct ops *o)
{
	const char *who = query_param(req, "who"), *id = query_param(req, "id");
	struct evbuffer *body = req->buffer_in;

	o->verb = e->verb;
	o->version = strtoull(query_param(req, "from"), NULL, 10);
	if (!is_printable_word(who) || !is_printable_word(id) ||
	    strlen(who) >= NAME_LEN || strlen(id) >= ID_LEN)
		return false;
	name_copy(o->who, who[0] ? who : "unknown", sizeof(o->who));
	name_copy(o->argument, id, sizeof(o->argument));
	buffer_set(
	    &o->text, evbuffer_pullup(body, -1), evbuffer_get_length(body));
	return true;
}

static void
forward_to_core(
    struct operators_task *s, evhtp_request_t *req, const struct endpoint *e)
{
	struct msg *m = msg_create(MSG_OPS);
	struct operator_request *r;

	if (!read_ops(req, e, &m->u.ops)) {
		msg_destroy(m);
		send_text(req, 400, "error: invalid who or id");
		return;
	}
	r = xcalloc(1, sizeof(*r));
	r->req = req;
	r->seq = ++s->next_seq;
	LIST_INSERT_HEAD(&s->requests, r, entry);
	m->seq = r->seq;
	evhtp_request_pause(req);
	task_send(s->daemon->decide, m);
}

/*
 * Pass an announcement to the core and, unless the target leaves, to the target
 * task, which then sends requests to its address.
 */
static void
handle_announce(struct operators_task *s, evhtp_request_t *req, bool leaving)
{
	const char *service = query_param(req, "service");
	unsigned long port = strtoul(query_param(req, "port"), NULL, 10);
	unsigned long slots = strtoul(query_param(req, "slots"), NULL, 10);
	struct msg *m;

	if (!leaving && (service[0] == '\0' || strlen(service) >= NAME_LEN ||
			    !is_printable_word(service) || port == 0 ||
			    port > 65535 || slots == 0 || slots > MAX_SLOTS)) {
		send_text(req, 400,
		    "error: service=NAME, port=N and slots=N are required");
		return;
	}
	m = msg_create(MSG_ANNOUNCE);
	name_copy(m->u.announce.service, service, NAME_LEN);
	m->u.announce.port = port;
	m->u.announce.slots = slots;
	m->u.announce.leaving = leaving;
	if (!leaving) {
		struct msg *copy = msg_create(MSG_ANNOUNCE);

		copy->u.announce = m->u.announce;
		task_send(s->daemon->target, copy);
	}
	task_send(s->daemon->decide, m);
	send_text(req, 200, leaving ? "leaving" : "announced");
}

static void
on_request(evhtp_request_t *req, void *arg)
{
	struct operators_task *s = arg;
	const char *path = req->uri->path->full;
	htp_method method = evhtp_request_get_method(req);
	size_t i;

	for (i = 0; i < sizeof(endpoints) / sizeof(endpoints[0]); i++) {
		if (strcmp(path, endpoints[i].path) == 0 &&
		    method == endpoints[i].method) {
			forward_to_core(s, req, &endpoints[i]);
			return;
		}
	}
	if (strcmp(path, "/announce") == 0 && method == htp_method_POST)
		handle_announce(s, req, false);
	else if (strcmp(path, "/leave") == 0 && method == htp_method_POST)
		handle_announce(s, req, true);
	else
		send_text(req, 404, "error: unknown path or method");
}

static evhtp_res
on_body(evhtp_request_t *req, evbuf_t *part, void *arg)
{
	struct operator_conn *c = arg;

	holder_set(&c->memory,
	    evbuffer_get_length(req->buffer_in) + evbuffer_get_length(part));
	return EVHTP_RES_OK;
}

static evhtp_res
on_connection_end(evhtp_connection_t *conn, void *arg)
{
	struct operator_conn *c = arg;

	(void)conn;
	c->task->nconns--;
	holder_release(&c->memory);
	holder_release(&c->descriptor);
	free(c);
	return EVHTP_RES_OK;
}

static evhtp_res
on_accept(evhtp_connection_t *conn, void *arg)
{
	struct operators_task *s = arg;
	struct operator_conn *c;

	if (s->nconns >= MAX_CONNECTIONS) {
		log_line(LOG_WARNING, "too-many-connections", "count=%zu",
		    s->nconns);
		return EVHTP_RES_ERROR;
	}
	c = xcalloc(1, sizeof(*c));
	c->task = s;
	s->nconns++;
	holder_init(&c->memory, s->daemon->memory, &conn_holder, c, 0);
	holder_init(&c->descriptor, s->daemon->descriptors, &conn_holder, c, 0);
	holder_set(&c->descriptor, 1);
	evhtp_connection_set_hook(
	    conn, evhtp_hook_on_read, (evhtp_hook)on_body, c);
	evhtp_connection_set_hook(conn, evhtp_hook_on_connection_fini,
	    (evhtp_hook)on_connection_end, c);
	return EVHTP_RES_OK;
}

static void
receive(void *state, struct msg *m)
{
	struct operators_task *s = state;
	struct operator_request *r;
	char version[24];

	LIST_FOREACH (r, &s->requests, entry) {
		if (r->seq == m->seq)
			break;
	}
	if (r != NULL) {
		LIST_REMOVE(r, entry);
		snprintf(
		    version, sizeof(version), "%" PRIu64, m->u.ops.version);
		evhtp_headers_add_header(r->req->headers_out,
		    evhtp_header_new("Version", version, 1, 1));
		evbuffer_add(
		    r->req->buffer_out, m->u.ops.text.data, m->u.ops.text.len);
		evhtp_send_reply(r->req, m->u.ops.status);
		evhtp_request_resume(r->req);
		free(r);
	}
	msg_destroy(m);
}

static void
destroy(void *state)
{
	struct operators_task *s = state;
	struct operator_request *r;

	while ((r = LIST_FIRST(&s->requests)) != NULL) {
		LIST_REMOVE(r, entry);
		free(r);
	}
	evhtp_unbind_socket(s->http);
	evhtp_free(s->http);
	free(s);
}

static const struct task_ops ops = {receive, destroy};

struct task *
operators_task_create(struct daemon *d)
{
	const struct timeval timeout = {CONNECTION_TIMEOUT_S, 0};
	struct operators_task *s = xcalloc(1, sizeof(*s));
	char ip[ADDR_TEXT_LEN];

	s->daemon = d;
	LIST_INIT(&s->requests);
	s->http = evhtp_new(d->base, NULL);
	evhtp_set_max_body_size(s->http, MAX_CONFIG_BYTES);
	evhtp_set_gencb(s->http, on_request, s);
	evhtp_set_post_accept_cb(s->http, on_accept, s);
	evhtp_set_timeouts(s->http, &timeout, &timeout);
	addr_text(d->settings->operators, ip);
	*strchr(ip, ':') = '\0';
	if (evhtp_bind_socket(s->http, ip, d->settings->operators.port,
		LISTEN_BACKLOG) != 0) {
		log_line(LOG_ERR, "bind-failed", "port=operators addr=%s:%u",
		    ip, d->settings->operators.port);
		evhtp_free(s->http);
		free(s);
		return NULL;
	}
	return task_create(d->base, "operators", &ops, s);
}
