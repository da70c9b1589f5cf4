/*
 * The operators' port, where the local target announces itself too.  A
 * request waits, paused, until the core has answered it.
 */
#include <event2/buffer.h>
#include <evhtp/evhtp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/daemon.h"
#include "daemon/log.h"

#define MAX_TEXT_BYTES (3u << 20) /* of a configuration */
#define LISTEN_BACKLOG 64

struct ops_call {
	LIST_ENTRY(ops_call) entry;
	evhtp_request_t *req;
	uint64_t token;
};

LIST_HEAD(ops_call_list, ops_call);

struct operators {
	struct daemon *daemon;
	evhtp_t *http;
	struct ops_call_list calls;
	uint64_t next_token;
};

/* One thing that can be asked for. */
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

static const char *
argument(evhtp_request_t *req, const char *name)
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

/* Words from outside that end up in logs and rows: plain ones only. */
static bool
is_plain(const char *s)
{
	for (; *s != '\0'; s++) {
		if (*s <= ' ' || *s > '~' || *s == '%')
			return false;
	}
	return true;
}

static bool
fill_ops(evhtp_request_t *req, const struct endpoint *e, struct ops *o)
{
	const char *who = argument(req, "who"), *id = argument(req, "id");
	struct evbuffer *body = req->buffer_in;

	o->verb = e->verb;
	o->version = strtoull(argument(req, "from"), NULL, 10);
	if (!is_plain(who) || !is_plain(id) || strlen(who) >= NAME_LEN ||
	    strlen(id) >= ID_LEN)
		return false;
	name_copy(o->who, who[0] ? who : "unknown", sizeof(o->who));
	name_copy(o->argument, id, sizeof(o->argument));
	buffer_set(
	    &o->text, evbuffer_pullup(body, -1), evbuffer_get_length(body));
	return true;
}

static void
ask_core(struct operators *s, evhtp_request_t *req, const struct endpoint *e)
{
	struct msg *m = msg_create(MSG_OPS);
	struct ops_call *c;

	if (!fill_ops(req, e, &m->u.ops)) {
		msg_destroy(m);
		send_text(req, 400, "error: bad argument");
		return;
	}
	c = xcalloc(1, sizeof(*c));
	c->req = req;
	c->token = ++s->next_token;
	LIST_INSERT_HEAD(&s->calls, c, entry);
	m->seq = c->token;
	evhtp_request_pause(req);
	task_send(s->daemon->decide, m);
}

/* Both the core and the target task have to know of the local target. */
static void
announce(struct operators *s, evhtp_request_t *req, bool leaving)
{
	const char *service = argument(req, "service");
	unsigned long port = strtoul(argument(req, "port"), NULL, 10);
	unsigned long slots = strtoul(argument(req, "slots"), NULL, 10);
	struct msg *m;

	if (!leaving && (service[0] == '\0' || strlen(service) >= NAME_LEN ||
			    !is_plain(service) || port == 0 || port > 65535 ||
			    slots == 0 || slots > 1000000)) {
		send_text(
		    req, 400, "error: say service=NAME, port=N and slots=N");
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
	struct operators *s = arg;
	const char *path = req->uri->path->full;
	htp_method method = evhtp_request_get_method(req);
	size_t i;

	for (i = 0; i < sizeof(endpoints) / sizeof(endpoints[0]); i++) {
		if (strcmp(path, endpoints[i].path) == 0 &&
		    method == endpoints[i].method) {
			ask_core(s, req, &endpoints[i]);
			return;
		}
	}
	if (strcmp(path, "/announce") == 0 && method == htp_method_POST)
		announce(s, req, false);
	else if (strcmp(path, "/leave") == 0 && method == htp_method_POST)
		announce(s, req, true);
	else
		send_text(req, 404, "error: no such thing here");
}

static void
receive(void *state, struct msg *m)
{
	struct operators *s = state;
	struct ops_call *c;
	char version[24];

	LIST_FOREACH (c, &s->calls, entry) {
		if (c->token == m->seq)
			break;
	}
	if (c != NULL) {
		LIST_REMOVE(c, entry);
		snprintf(
		    version, sizeof(version), "%" PRIu64, m->u.ops.version);
		evhtp_headers_add_header(c->req->headers_out,
		    evhtp_header_new("Version", version, 1, 1));
		evbuffer_add(
		    c->req->buffer_out, m->u.ops.text.data, m->u.ops.text.len);
		evhtp_send_reply(c->req, m->u.ops.status);
		evhtp_request_resume(c->req);
		free(c);
	}
	msg_destroy(m);
}

static void
destroy(void *state)
{
	struct operators *s = state;
	struct ops_call *c;

	while ((c = LIST_FIRST(&s->calls)) != NULL) {
		LIST_REMOVE(c, entry);
		free(c);
	}
	evhtp_unbind_socket(s->http);
	evhtp_free(s->http);
	free(s);
}

static const struct task_ops ops = {receive, destroy};

struct task *
operators_task_create(struct daemon *d)
{
	struct operators *s = xcalloc(1, sizeof(*s));
	char ip[ADDR_TEXT_LEN];

	s->daemon = d;
	LIST_INIT(&s->calls);
	s->http = evhtp_new(d->base, NULL);
	evhtp_set_max_body_size(s->http, MAX_TEXT_BYTES);
	evhtp_set_gencb(s->http, on_request, s);
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
