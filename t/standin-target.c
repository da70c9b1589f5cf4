/*
 * A stand-in for a target: runs calls on a number of slots, each for some
 * time, calls services below through its local daemon, and announces itself.
 *
 *	/-/mode?mode=M&ms=N	ok, slow (N ms), cold (slow for N ms), draining,
 *				shed, truncate, crash (after the next run and
 *				before its answer), endless (no length stated)
 *	/-/stats		runs, keys seen, most runs of one id
 *
 * With --log FILE each run is appended as "run ID ORG PATH", so that what
 * ran is known even after it was killed.
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
};

static const char *const mode_names[] = {
    "ok", "slow", "cold", "draining", "shed", "truncate", "crash", "endless"};

struct run {
	TAILQ_ENTRY(run) entry;
	struct target *target;
	struct evhttp_request *req;
	struct event *timer;
	struct evhttp_connection *below;
	bool gone;
};

TAILQ_HEAD(run_queue, run);

struct target {
	struct event_base *base;
	struct run_queue waiting;
	GHashTable *ids;
	enum mode mode;
	uint64_t mode_ms;
	uint64_t cold_until_us;
	uint64_t rng;
	uint64_t runs, keys_seen, most, waiting_now;
	int running;
	int log;
};

static gint port = 7800, slots = 8, work_us = 2000, callers, operators;
static gchar *service = "service", *below, *log_path;
static gboolean constant;

static void start(struct target *, struct run *);

static const char *
header(struct evhttp_request *req, const char *name)
{
	const char *v =
	    evhttp_find_header(evhttp_request_get_input_headers(req), name);

	return v != NULL ? v : "-";
}

/* Keys in tests begin with "key-", so that a leak can be seen. */
static void
look_for_keys(struct target *t, struct evhttp_request *req)
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
	const char *id = header(req, "Idempotency-Key");
	char line[512];
	uint64_t n;
	int len;

	t->runs++;
	len = snprintf(line, sizeof(line), "run %s %s %s\n", id,
	    header(req, "Cranberryway-Organisation"),
	    evhttp_request_get_uri(req));
	if (t->log >= 0 && write(t->log, line, len) != len)
		abort();
	if (strcmp(id, "-") == 0)
		return;
	n = GPOINTER_TO_UINT(g_hash_table_lookup(t->ids, id)) + 1;
	g_hash_table_insert(t->ids, g_strdup(id), GUINT_TO_POINTER(n));
	if (n > t->most)
		t->most = n;
}

static uint64_t
work_time(struct target *t)
{
	double u = (double)(rng_next(&t->rng) >> 11) / (1ull << 53);
	uint64_t us =
	    constant ? (uint64_t)work_us : (uint64_t)(-log(1 - u) * work_us);

	if (t->mode == MODE_SLOW ||
	    (t->mode == MODE_COLD && standin_now_us() < t->cold_until_us))
		us += t->mode_ms * 1000;
	return us + 1;
}

static void
run_end(struct run *r)
{
	struct target *t = r->target;
	struct run *next;

	if (r->timer != NULL)
		event_free(r->timer);
	g_free(r);
	t->running--;
	next = TAILQ_FIRST(&t->waiting);
	if (next == NULL)
		return;
	TAILQ_REMOVE(&t->waiting, next, entry);
	t->waiting_now--;
	start(t, next);
}

static void
detach(struct run *r)
{
	struct evhttp_connection *conn = evhttp_request_get_connection(r->req);

	if (conn != NULL)
		evhttp_connection_set_closecb(conn, NULL, NULL);
}

/* State a length, send less, and close. */
static void
reply_short(struct run *r, bool with_length)
{
	struct evbuffer *buf = evbuffer_new();
	struct evkeyvalq *out = evhttp_request_get_output_headers(r->req);

	if (with_length)
		evhttp_add_header(out, "Content-Length", "100");
	evhttp_add_header(out, "Connection", "close");
	evbuffer_add_printf(buf, "half an ans");
	if (!with_length)
		r->req->minor = 0; /* HTTP/1.0: the end is the close */
	evhttp_send_reply_start(r->req, 200, "OK");
	evhttp_send_reply_chunk(r->req, buf);
	evhttp_send_reply_end(r->req);
	evbuffer_free(buf);
}

static void
finish(struct run *r, int status, const char *below_text)
{
	struct target *t = r->target;

	if (t->mode == MODE_CRASH)
		_exit(9);
	detach(r);
	if (r->gone)
		evhttp_request_free(r->req);
	else if (t->mode == MODE_TRUNCATE || t->mode == MODE_ENDLESS)
		reply_short(r, t->mode == MODE_TRUNCATE);
	else
		standin_reply(r->req, status, "%s answers %s for %s id %s%s\n",
		    service, evhttp_request_get_uri(r->req),
		    header(r->req, "Cranberryway-Organisation"),
		    header(r->req, "Idempotency-Key"), below_text);
	run_end(r);
}

static void
on_below(struct evhttp_request *answer, void *arg)
{
	struct run *r = arg;
	struct evbuffer *body;
	int status =
	    answer != NULL ? evhttp_request_get_response_code(answer) : 0;
	gchar *text;

	if (status != 200) {
		finish(r, 502, " but the service below failed");
		return;
	}
	body = evhttp_request_get_input_buffer(answer);
	text = g_strdup_printf(" <- %.*s", (int)evbuffer_get_length(body) - 1,
	    evbuffer_pullup(body, -1));
	finish(r, 200, text);
	g_free(text);
}

/* The context that came in goes along with the call below. */
static void
call_below(struct run *r)
{
	struct evhttp_connection *conn = evhttp_connection_base_new(
	    r->target->base, NULL, STANDIN_IP, callers);
	struct evhttp_request *req = evhttp_request_new(on_below, r);
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);

	evhttp_connection_free_on_completion(conn);
	evhttp_connection_set_timeout(conn, 30);
	evhttp_add_header(out, "Host", STANDIN_IP);
	evhttp_add_header(out, "Connection", "close");
	evhttp_add_header(out, "Cranberryway-Context",
	    header(r->req, "Cranberryway-Context"));
	evhttp_make_request(conn, req, EVHTTP_REQ_GET, below);
}

static void
on_worked(evutil_socket_t fd, short what, void *arg)
{
	struct run *r = arg;

	(void)fd;
	(void)what;
	if (r->target->mode != MODE_CRASH && below != NULL && !r->gone)
		call_below(r);
	else
		finish(r, 200, "");
}

static void
start(struct target *t, struct run *r)
{
	uint64_t us = work_time(t);
	struct timeval tv = {us / 1000000, us % 1000000};

	t->running++;
	record_run(t, r->req);
	r->timer = evtimer_new(t->base, on_worked, r);
	evtimer_add(r->timer, &tv);
}

static void
on_close(struct evhttp_connection *conn, void *arg)
{
	struct run *r = arg;

	(void)conn;
	r->gone = true;
	if (evhttp_request_get_connection(r->req) != NULL)
		evhttp_request_own(r->req);
	if (r->timer != NULL)
		return;
	/* It had not begun. */
	TAILQ_REMOVE(&r->target->waiting, r, entry);
	r->target->waiting_now--;
	evhttp_request_free(r->req);
	g_free(r);
}

static void
refuse(struct evhttp_request *req)
{
	evhttp_add_header(evhttp_request_get_output_headers(req),
	    "Cranberryway-Verdict", "not-run");
	standin_reply(req, 503, "no room\n");
}

static void announce(struct target *, bool leaving);

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
	t->cold_until_us = standin_now_us() + t->mode_ms * 1000;
	if (t->mode == MODE_DRAINING)
		announce(t, true);
	standin_reply(req, 200, "mode %s\n", mode_names[t->mode]);
	g_free(name);
}

static void
on_request(struct evhttp_request *req, void *arg)
{
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	struct target *t = arg;
	struct run *r;

	if (strcmp(path, "/-/mode") == 0) {
		set_mode(t, req);
		return;
	}
	if (strcmp(path, "/-/stats") == 0) {
		standin_reply(req, 200,
		    "runs %" PRIu64 "\nkeys_seen %" PRIu64
		    "\nmost_runs_of_an_id %" PRIu64 "\nrunning %d\n"
		    "waiting %" PRIu64 "\n",
		    t->runs, t->keys_seen, t->most, t->running, t->waiting_now);
		return;
	}
	look_for_keys(t, req);
	if (t->mode == MODE_SHED) {
		refuse(req);
		return;
	}
	r = g_new0(struct run, 1);
	r->target = t;
	r->req = req;
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_close, r);
	if (t->running < slots) {
		start(t, r);
		return;
	}
	TAILQ_INSERT_TAIL(&t->waiting, r, entry);
	t->waiting_now++;
}

static void
on_announced(struct evhttp_request *req, void *arg)
{
	(void)req;
	(void)arg;
}

static void
announce(struct target *t, bool leaving)
{
	struct evhttp_connection *conn =
	    evhttp_connection_base_new(t->base, NULL, STANDIN_IP, operators);
	struct evhttp_request *req = evhttp_request_new(on_announced, t);
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

/* Again and again: the daemon may have been restarted. */
static void
on_announce(evutil_socket_t fd, short what, void *arg)
{
	struct target *t = arg;

	(void)fd;
	(void)what;
	if (t->mode != MODE_DRAINING)
		announce(t, false);
}

int
main(int argc, char **argv)
{
	const GOptionEntry entries[] = {
	    {"port", 0, 0, G_OPTION_ARG_INT, &port, NULL, NULL},
	    {"service", 0, 0, G_OPTION_ARG_STRING, &service, NULL, NULL},
	    {"slots", 0, 0, G_OPTION_ARG_INT, &slots, NULL, NULL},
	    {"work-us", 0, 0, G_OPTION_ARG_INT, &work_us, NULL, NULL},
	    {"constant", 0, 0, G_OPTION_ARG_NONE, &constant, NULL, NULL},
	    {"below", 0, 0, G_OPTION_ARG_STRING, &below, NULL, NULL},
	    {"callers", 0, 0, G_OPTION_ARG_INT, &callers, NULL, NULL},
	    {"operators", 0, 0, G_OPTION_ARG_INT, &operators, NULL, NULL},
	    {"log", 0, 0, G_OPTION_ARG_FILENAME, &log_path, NULL, NULL},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	struct timeval second = {1, 0}, now = {0, 1000};
	struct target t = {0};
	struct event *ev;

	standin_options(entries, argc, argv);
	t.base = standin_base();
	t.ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	t.rng = port;
	t.log = log_path != NULL
		    ? open(log_path, O_WRONLY | O_CREAT | O_APPEND, 0644)
		    : -1;
	TAILQ_INIT(&t.waiting);
	standin_listen(t.base, port, on_request, &t);
	if (operators != 0) {
		event_base_once(t.base, -1, EV_TIMEOUT, on_announce, &t, &now);
		ev = event_new(t.base, -1, EV_PERSIST, on_announce, &t);
		event_add(ev, &second);
	}
	standin_run(t.base);
	return 0;
}
