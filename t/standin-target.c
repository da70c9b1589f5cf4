/*
 * standin-target - takes the place of a target and its service
 *
 * Calls run on a number of slots (--slots), each for a time (--work-us: the
 * mean of an exponential distribution, or always the same with --constant);
 * further calls wait for a slot.  With --below PATH each call then requests
 * that path through the local daemon at port --callers, with the context that
 * it was called with, and answers with both bodies.  The target announces
 * itself once a second to the local daemon at port --operators.
 *
 *	/-/mode?mode=M&ms=N	change the behaviour:
 *		ok		as described
 *		slow		each call takes N ms longer
 *		cold		the same, but only for the next N ms
 *		draining	announce once that the target leaves, then no
 *				more
 *		shed		refuse calls as not run
 *		truncate	send less than the stated Content-Length
 *		endless		send part of a body without a length
 *		flood		send a body that never ends
 *		long		answer with a body of N bytes
 *		sum		answer with the length and the SHA-256 of the
 *				request's body
 *		raw		send the bytes of the parameter "text" as the
 *				response
 *		crash		exit after the next call has run, before its
 *				response
 *	/-/stats		counters: calls run, API keys seen, the most
 *				runs of one id, calls running and waiting
 *
 * With --log FILE a line "run ID ORG PATH" is appended when a call starts to
 * run, so that it is known after the process was killed.
 */
#include <bsd/sys/queue.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <fcntl.h>
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "core/hash.h"
#include "t/standin.h"

enum mode {
	MODE_OK,
	MODE_SLOW,
	MODE_COLD,
	MODE_DRAINING,
	MODE_SHED,
	MODE_TRUNCATE,
	MODE_CRASH,
	MODE_ENDLESS,
	MODE_RAW,
	MODE_FLOOD,
	MODE_LONG,
	MODE_SUM,
};

static const char *const mode_names[] = {"ok", "slow", "cold", "draining",
    "shed", "truncate", "crash", "endless", "raw", "flood", "long", "sum"};

/* A call that runs, or that waits for a slot. */
struct call {
	TAILQ_ENTRY(call) entry;
	struct target *target;
	struct evhttp_request *req;
	struct event *work_timer; /* NULL while it waits */
	struct evhttp_connection *dependency_conn;
	bool disconnected; /* the daemon closed the connection */
};

TAILQ_HEAD(call_queue, call);

struct target {
	struct event_base *base;
	struct call_queue waiting;
	GHashTable *runs_by_id;
	enum mode mode;
	uint64_t mode_ms; /* the parameter "ms" of the mode */
	gchar *raw_text; /* its parameter "text" */
	uint64_t cold_until_us;
	uint64_t rng;
	uint64_t runs;
	uint64_t keys_seen; /* headers with an API key; daemons remove them */
	uint64_t max_runs_of_id;
	uint64_t waiting_count;
	int running;
	int run_log_fd; /* -1 without --log */
};

static gint port = 7800, slots = 8, work_us = 2000, callers_port,
	    operators_port;
static gchar *service = "service", *dependency_path, *run_log_path;
static gboolean constant_work_time;

static void call_start(struct target *, struct call *);

static const char *
request_header(struct evhttp_request *req, const char *name)
{
	const char *value =
	    evhttp_find_header(evhttp_request_get_input_headers(req), name);

	return value != NULL ? value : "-";
}

/* Count headers with an API key; keys in tests begin with "key-". */
static void
count_keys(struct target *t, struct evhttp_request *req)
{
	struct evkeyval *kv;

	TAILQ_FOREACH (kv, evhttp_request_get_input_headers(req), next) {
		if (strstr(kv->value, "key-") != NULL ||
		    strcasecmp(kv->key, "Authorization") == 0)
			t->keys_seen++;
	}
}

static void
record_run(struct target *t, struct evhttp_request *req)
{
	const char *id = request_header(req, "Idempotency-Key");
	char line[512];
	uint64_t n;
	int len;

	t->runs++;
	len = snprintf(line, sizeof(line), "run %s %s %s\n", id,
	    request_header(req, "Cranberryway-Organisation"),
	    evhttp_request_get_uri(req));
	if (t->run_log_fd >= 0 && write(t->run_log_fd, line, len) != len)
		abort();
	if (strcmp(id, "-") == 0)
		return;
	n = GPOINTER_TO_UINT(g_hash_table_lookup(t->runs_by_id, id)) + 1;
	g_hash_table_insert(t->runs_by_id, g_strdup(id), GUINT_TO_POINTER(n));
	if (n > t->max_runs_of_id)
		t->max_runs_of_id = n;
}

static uint64_t
call_work_time_us(struct target *t)
{
	double u = (double)(rng_next(&t->rng) >> 11) / (1ull << 53);
	uint64_t us = constant_work_time ? (uint64_t)work_us
					 : (uint64_t)(-log(1 - u) * work_us);

	if (t->mode == MODE_SLOW ||
	    (t->mode == MODE_COLD && standin_now_us() < t->cold_until_us))
		us += t->mode_ms * 1000;
	return us + 1;
}

static void
call_end(struct call *c)
{
	struct target *t = c->target;
	struct call *next;

	if (c->work_timer != NULL)
		event_free(c->work_timer);
	g_free(c);
	t->running--;
	next = TAILQ_FIRST(&t->waiting);
	if (next == NULL)
		return;
	TAILQ_REMOVE(&t->waiting, next, entry);
	t->waiting_count--;
	call_start(t, next);
}

static void
call_ignore_close(struct call *c)
{
	struct evhttp_connection *conn = evhttp_request_get_connection(c->req);

	if (conn != NULL)
		evhttp_connection_set_closecb(conn, NULL, NULL);
}

/* Send part of a body, with a larger Content-Length or none, and close. */
static void
call_reply_truncated(struct call *c, bool with_length)
{
	struct evbuffer *buf = evbuffer_new();
	struct evkeyvalq *out = evhttp_request_get_output_headers(c->req);

	if (with_length)
		evhttp_add_header(out, "Content-Length", "100");
	evhttp_add_header(out, "Connection", "close");
	evbuffer_add_printf(buf, "half an ans");
	if (!with_length)
		c->req->minor = 0; /* HTTP/1.0: closing ends the body */
	evhttp_send_reply_start(c->req, 200, "OK");
	evhttp_send_reply_chunk(c->req, buf);
	evhttp_send_reply_end(c->req);
	evbuffer_free(buf);
}

/* Send more of a body without end, until the daemon closes. */
static void
send_flood(struct evhttp_connection *conn, void *arg)
{
	static const char bytes[65536];
	struct evbuffer *buf = evbuffer_new();
	struct evhttp_request *req = arg;

	(void)conn;
	evbuffer_add(buf, bytes, sizeof(bytes));
	evhttp_send_reply_chunk_with_cb(req, buf, send_flood, req);
	evbuffer_free(buf);
}

static void
call_reply_flood(struct call *c)
{
	c->req->minor = 0; /* HTTP/1.0: no length, no chunks */
	evhttp_send_reply_start(c->req, 200, "OK");
	send_flood(NULL, c->req);
}

/* Answer with "mode_ms" bytes. */
static void
call_reply_long(struct call *c)
{
	struct evbuffer *buf = evbuffer_new();
	size_t len = (size_t)c->target->mode_ms;
	char *bytes = g_malloc(len);

	memset(bytes, 'x', len);
	evbuffer_add(buf, bytes, len);
	evhttp_send_reply(c->req, 200, NULL, buf);
	evbuffer_free(buf);
	g_free(bytes);
}

/* Answer with the length of the body and its SHA-256. */
static void
call_reply_sum(struct call *c)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(c->req);
	size_t len = evbuffer_get_length(body);
	gchar *sum = g_compute_checksum_for_data(
	    G_CHECKSUM_SHA256, evbuffer_pullup(body, -1), len);

	standin_reply(c->req, 200, "%zu %s\n", len, sum);
	g_free(sum);
}

static void
call_finish(struct call *c, int status, const char *suffix)
{
	struct target *t = c->target;

	if (t->mode == MODE_CRASH)
		_exit(9);
	call_ignore_close(c);
	if (c->disconnected)
		evhttp_request_free(c->req);
	else if (t->mode == MODE_TRUNCATE || t->mode == MODE_ENDLESS)
		call_reply_truncated(c, t->mode == MODE_TRUNCATE);
	else if (t->mode == MODE_FLOOD)
		call_reply_flood(c);
	else if (t->mode == MODE_LONG)
		call_reply_long(c);
	else if (t->mode == MODE_SUM)
		call_reply_sum(c);
	else if (t->mode == MODE_RAW)
		standin_reply_raw(c->req, t->raw_text);
	else
		standin_reply(c->req, status, "%s answers %s for %s id %s%s\n",
		    service, evhttp_request_get_uri(c->req),
		    request_header(c->req, "Cranberryway-Organisation"),
		    request_header(c->req, "Idempotency-Key"), suffix);
	call_end(c);
}

static void
on_dependency_response(struct evhttp_request *response, void *arg)
{
	struct call *c = arg;
	struct evbuffer *body;
	int status =
	    response != NULL ? evhttp_request_get_response_code(response) : 0;
	gchar *text;

	if (status != 200) {
		call_finish(c, 502, " but the service below failed");
		return;
	}
	body = evhttp_request_get_input_buffer(response);
	text = g_strdup_printf(" <- %.*s", (int)evbuffer_get_length(body) - 1,
	    evbuffer_pullup(body, -1));
	call_finish(c, 200, text);
	g_free(text);
}

/* Call the dependency with the context that the call came with. */
static void
call_send_to_dependency(struct call *c)
{
	struct evhttp_connection *conn = evhttp_connection_base_new(
	    c->target->base, NULL, STANDIN_IP, callers_port);
	struct evhttp_request *req =
	    evhttp_request_new(on_dependency_response, c);
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);

	evhttp_connection_free_on_completion(conn);
	evhttp_connection_set_timeout(conn, 30);
	evhttp_add_header(out, "Host", STANDIN_IP);
	evhttp_add_header(out, "Connection", "close");
	evhttp_add_header(out, "Cranberryway-Context",
	    request_header(c->req, "Cranberryway-Context"));
	evhttp_make_request(conn, req, EVHTTP_REQ_GET, dependency_path);
}

static void
on_work_timer(evutil_socket_t fd, short what, void *arg)
{
	struct call *c = arg;

	(void)fd;
	(void)what;
	if (c->target->mode != MODE_CRASH && dependency_path != NULL &&
	    !c->disconnected)
		call_send_to_dependency(c);
	else
		call_finish(c, 200, "");
}

static void
call_start(struct target *t, struct call *c)
{
	uint64_t us = call_work_time_us(t);
	struct timeval tv = {us / 1000000, us % 1000000};

	t->running++;
	record_run(t, c->req);
	c->work_timer = evtimer_new(t->base, on_work_timer, c);
	evtimer_add(c->work_timer, &tv);
}

static void
on_disconnect(struct evhttp_connection *conn, void *arg)
{
	struct call *c = arg;

	(void)conn;
	c->disconnected = true;
	if (evhttp_request_get_connection(c->req) != NULL)
		evhttp_request_own(c->req);
	if (c->work_timer != NULL)
		return;
	/* It was waiting for a slot and never runs. */
	TAILQ_REMOVE(&c->target->waiting, c, entry);
	c->target->waiting_count--;
	evhttp_request_free(c->req);
	g_free(c);
}

static void
reply_shed(struct evhttp_request *req)
{
	evhttp_add_header(evhttp_request_get_output_headers(req),
	    "Cranberryway-Verdict", "not-run");
	standin_reply(req, 503, "no room\n");
}

static void send_announcement(struct target *, bool leaving);

static void
set_mode(struct target *t, struct evhttp_request *req)
{
	gchar *name = standin_param(req, "mode", "ok");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(mode_names); i++) {
		if (strcmp(name, mode_names[i]) == 0)
			t->mode = i;
	}
	t->mode_ms = standin_param_number(req, "ms", 100);
	g_free(t->raw_text);
	t->raw_text = standin_param(req, "text", "");
	t->cold_until_us = standin_now_us() + t->mode_ms * 1000;
	if (t->mode == MODE_DRAINING)
		send_announcement(t, true);
	standin_reply(req, 200, "mode %s\n", mode_names[t->mode]);
	g_free(name);
}

static void
on_request(struct evhttp_request *req, void *arg)
{
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	struct target *t = arg;
	struct call *c;

	if (strcmp(path, "/-/mode") == 0) {
		set_mode(t, req);
		return;
	}
	if (strcmp(path, "/-/stats") == 0) {
		standin_reply(req, 200,
		    "runs %" PRIu64 "\nkeys_seen %" PRIu64
		    "\nmost_runs_of_an_id %" PRIu64 "\nrunning %d\n"
		    "waiting %" PRIu64 "\n",
		    t->runs, t->keys_seen, t->max_runs_of_id, t->running,
		    t->waiting_count);
		return;
	}
	count_keys(t, req);
	if (t->mode == MODE_SHED) {
		reply_shed(req);
		return;
	}
	c = g_new0(struct call, 1);
	c->target = t;
	c->req = req;
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_disconnect, c);
	if (t->running < slots) {
		call_start(t, c);
		return;
	}
	TAILQ_INSERT_TAIL(&t->waiting, c, entry);
	t->waiting_count++;
}

static void
on_announcement_response(struct evhttp_request *req, void *arg)
{
	(void)req;
	(void)arg;
}

static void
send_announcement(struct target *t, bool leaving)
{
	struct evhttp_connection *conn = evhttp_connection_base_new(
	    t->base, NULL, STANDIN_IP, operators_port);
	struct evhttp_request *req =
	    evhttp_request_new(on_announcement_response, t);
	char uri[256];

	evhttp_connection_free_on_completion(conn);
	evhttp_connection_set_timeout(conn, 2);
	evhttp_add_header(
	    evhttp_request_get_output_headers(req), "Host", STANDIN_IP);
	evhttp_add_header(
	    evhttp_request_get_output_headers(req), "Connection", "close");
	snprintf(uri, sizeof(uri), "/%s?service=%s&port=%d&slots=%d",
	    leaving ? "leave" : "announce", service, port, slots);
	evhttp_make_request(conn, req, EVHTTP_REQ_POST, uri);
}

/* Repeated, since a daemon that was restarted does not know the target. */
static void
on_announce_timer(evutil_socket_t fd, short what, void *arg)
{
	struct target *t = arg;

	(void)fd;
	(void)what;
	if (t->mode != MODE_DRAINING)
		send_announcement(t, false);
}

int
main(int argc, char **argv)
{
	const GOptionEntry entries[] = {
	    {"port", 0, 0, G_OPTION_ARG_INT, &port, NULL, NULL},
	    {"service", 0, 0, G_OPTION_ARG_STRING, &service, NULL, NULL},
	    {"slots", 0, 0, G_OPTION_ARG_INT, &slots, NULL, NULL},
	    {"work-us", 0, 0, G_OPTION_ARG_INT, &work_us, NULL, NULL},
	    {"constant", 0, 0, G_OPTION_ARG_NONE, &constant_work_time, NULL,
		NULL},
	    {"below", 0, 0, G_OPTION_ARG_STRING, &dependency_path, NULL, NULL},
	    {"callers", 0, 0, G_OPTION_ARG_INT, &callers_port, NULL, NULL},
	    {"operators", 0, 0, G_OPTION_ARG_INT, &operators_port, NULL, NULL},
	    {"log", 0, 0, G_OPTION_ARG_FILENAME, &run_log_path, NULL, NULL},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	struct timeval interval = {1, 0}, first = {0, 1000};
	struct target t = {0};
	struct event *timer;

	standin_options(entries, argc, argv);
	t.base = standin_base();
	t.runs_by_id =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	t.rng = port;
	t.run_log_fd =
	    run_log_path != NULL
		? open(run_log_path, O_WRONLY | O_CREAT | O_APPEND, 0644)
		: -1;
	TAILQ_INIT(&t.waiting);
	standin_listen(t.base, port, on_request, &t);
	if (operators_port != 0) {
		event_base_once(
		    t.base, -1, EV_TIMEOUT, on_announce_timer, &t, &first);
		timer =
		    event_new(t.base, -1, EV_PERSIST, on_announce_timer, &t);
		event_add(timer, &interval);
	}
	standin_run(t.base);
	return 0;
}
