/*
 * A stand-in for callers, and the load tool: an open loop of requests at a
 * rate, spread over the given ports, and what became of them.
 *
 * It retries as told, with the same id, and can go away before the answer.
 * The summary is "name value" lines; with --log FILE each request's outcome
 * is a line "ID VERDICT STATUS TRIES".
 */
#include <bsd/sys/queue.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "core/hash.h"
#include "t/standin.h"

#define MAX_PORTS 64
#define MAX_SAMPLES 4000000

struct conn {
	TAILQ_ENTRY(conn) entry;
	struct evhttp_connection *http;
	int port;
	bool broken;
};

TAILQ_HEAD(conn_queue, conn);

struct call {
	struct conn *conn;
	struct evhttp_request *req;
	struct event *leave;
	char id[96];
	uint64_t begun_us; /* when it should have begun */
	int tries;
	int next_port;
	bool doubt; /* some try was not told "not run" */
};

enum outcome {
	OUT_OK,
	OUT_NOT_RUN,
	OUT_UNKNOWN,
	OUT_RAN,
	OUT_BROKEN, /* the connection broke without an answer */
	OUT_GONE,
	OUT_COUNT,
};

static const char *const outcome_names[] = {
    "whole", "not_run", "unknown", "ran", "broken", "gone"};

struct load {
	struct event_base *base;
	struct event *timer;
	struct conn_queue idle[MAX_PORTS];
	struct conn_queue dead;
	struct event *reap;
	int ports[MAX_PORTS];
	int nports;
	uint64_t start_us, sent, open, total;
	uint64_t outcomes[OUT_COUNT];
	uint64_t statuses[600];
	uint64_t retries, mixed;
	uint32_t *samples;
	size_t nsamples;
	uint64_t rng;
	FILE *log;
	FILE *ids;
};

static gchar *ports = "17011", *path = "/", *method = "GET", *key,
	     *dc = "plzen", *log_path, *ids_path;
static gint seconds_ms = 1000, retries, deadline_ms, leave_ms, pause_ms = 10;
static gdouble rate = 100;
static gboolean with_ids;

static void send_try(struct load *, struct call *);

static struct load load;

static void
on_reap(evutil_socket_t fd, short what, void *arg)
{
	struct load *l = arg;
	struct conn *c;

	(void)fd;
	(void)what;
	while ((c = TAILQ_FIRST(&l->dead)) != NULL) {
		TAILQ_REMOVE(&l->dead, c, entry);
		evhttp_connection_free(c->http);
		g_free(c);
	}
}

static void
bury(struct load *l, struct conn *c)
{
	TAILQ_INSERT_TAIL(&l->dead, c, entry);
	event_active(l->reap, EV_TIMEOUT, 0);
}

static struct conn *
conn_get(struct load *l, int i)
{
	struct conn *c = TAILQ_FIRST(&l->idle[i]);

	if (c != NULL) {
		TAILQ_REMOVE(&l->idle[i], c, entry);
		return c;
	}
	c = g_new0(struct conn, 1);
	c->port = i;
	c->http =
	    evhttp_connection_base_new(l->base, NULL, STANDIN_IP, l->ports[i]);
	evhttp_connection_set_timeout(c->http, 60);
	return c;
}

static void
end_call(struct load *l, struct call *c, enum outcome o, int status)
{
	uint64_t took = standin_now_us() - c->begun_us;

	l->outcomes[o]++;
	l->statuses[status]++;
	if (o == OUT_OK && l->nsamples < MAX_SAMPLES)
		l->samples[l->nsamples++] = (uint32_t)took;
	if (l->log != NULL)
		fprintf(l->log, "%s %s %d %d\n", c->id[0] ? c->id : "-",
		    o == OUT_NOT_RUN && c->doubt ? "unknown" : outcome_names[o],
		    status, c->tries);
	if (c->leave != NULL)
		event_free(c->leave);
	g_free(c);
	l->open--;
	if (l->open == 0 && l->sent == l->total)
		event_base_loopexit(l->base, NULL);
}

static enum outcome
read_outcome(struct evhttp_request *req, int *status)
{
	const char *verdict;

	*status = req != NULL ? evhttp_request_get_response_code(req) : 0;
	if (*status == 0)
		return OUT_BROKEN;
	verdict = evhttp_find_header(
	    evhttp_request_get_input_headers(req), "Cranberryway-Verdict");
	if (verdict != NULL && strcmp(verdict, "not-run") == 0)
		return OUT_NOT_RUN;
	if (verdict != NULL && strcmp(verdict, "unknown") == 0)
		return OUT_UNKNOWN;
	return *status < 400 ? OUT_OK : OUT_RAN;
}

static void
on_again(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	send_try(&load, arg);
}

/* Same id, another daemon, as callers do. */
static bool
try_again(struct load *l, struct call *c, enum outcome o)
{
	uint64_t ms = pause_ms > 0 ? rng_below(&l->rng, 2 * pause_ms) + 1 : 1;
	struct timeval tv = {ms / 1000, ms % 1000 * 1000};

	if (o == OUT_OK || o == OUT_RAN || c->tries > retries)
		return false;
	l->retries++;
	c->next_port = (c->next_port + 1) % l->nports;
	event_base_once(l->base, -1, EV_TIMEOUT, on_again, c, &tv);
	return true;
}

/* An answer has to be the one to its own request. */
static void
check_own(struct load *l, const struct call *c, struct evhttp_request *req)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(body);

	if (c->id[0] != '\0' && strstr(method, "POST") != NULL &&
	    evbuffer_search(body, c->id, strlen(c->id), NULL).pos < 0 &&
	    len > 0)
		l->mixed++;
}

static void
on_done(struct evhttp_request *req, void *arg)
{
	struct call *c = arg;
	struct conn *conn = c->conn;
	int status;
	enum outcome o = read_outcome(req, &status);

	c->conn = NULL;
	c->req = NULL;
	if (o == OUT_BROKEN)
		bury(&load, conn);
	else
		TAILQ_INSERT_HEAD(&load.idle[conn->port], conn, entry);
	if (o != OUT_NOT_RUN)
		c->doubt = true;
	if (o == OUT_OK)
		check_own(&load, c, req);
	if (!try_again(&load, c, o))
		end_call(&load, c, o, status);
}

static void
send_try(struct load *l, struct call *c)
{
	struct conn *conn = conn_get(l, c->next_port);
	struct evhttp_request *req = evhttp_request_new(on_done, c);
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);
	bool post = strcmp(method, "POST") == 0;
	char text[128];

	c->conn = conn;
	c->req = req;
	c->tries++;
	evhttp_add_header(out, "Host", STANDIN_IP);
	if (key != NULL) {
		snprintf(text, sizeof(text), "Bearer %s", key);
		evhttp_add_header(out, "Authorization", text);
	}
	if (c->id[0] != '\0')
		evhttp_add_header(out, "Idempotency-Key", c->id);
	if (deadline_ms > 0) {
		snprintf(text, sizeof(text), "%d", deadline_ms);
		evhttp_add_header(out, "Cranberryway-Deadline-Ms", text);
	}
	if (post)
		evbuffer_add_printf(
		    evhttp_request_get_output_buffer(req), "amount=1");
	evhttp_make_request(
	    conn->http, req, post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET, path);
}

static void
on_leave(evutil_socket_t fd, short what, void *arg)
{
	struct call *c = arg;

	(void)fd;
	(void)what;
	if (c->req == NULL)
		return;
	evhttp_cancel_request(c->req);
	c->req = NULL;
	bury(&load, c->conn);
	c->doubt = true;
	end_call(&load, c, OUT_GONE, 0);
}

static void
make_id(struct load *l, char *id, size_t len)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	snprintf(id, len, "%" PRIu64 "-%s-%d%016" PRIx64,
	    (uint64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000, dc, getpid(),
	    rng_next(&l->rng));
}

static void
begin_call(struct load *l, uint64_t begun_us)
{
	struct call *c = g_new0(struct call, 1);
	struct timeval tv = {leave_ms / 1000, leave_ms % 1000 * 1000};

	c->begun_us = begun_us;
	c->next_port = rng_below(&l->rng, l->nports);
	if (with_ids)
		make_id(l, c->id, sizeof(c->id));
	if (l->ids != NULL)
		fprintf(l->ids, "%s\n", c->id);
	l->sent++;
	l->open++;
	if (leave_ms > 0) {
		c->leave = evtimer_new(l->base, on_leave, c);
		evtimer_add(c->leave, &tv);
	}
	send_try(l, c);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct load *l = arg;
	struct timeval tv = {0, 500};
	uint64_t due;

	(void)fd;
	(void)what;
	while (l->sent < l->total) {
		due = l->start_us + (uint64_t)((double)l->sent * 1e6 / rate);
		if (due > standin_now_us())
			break;
		begin_call(l, due);
	}
	if (l->sent < l->total)
		evtimer_add(l->timer, &tv);
}

static int
sample_cmp(const void *a, const void *b)
{
	const uint32_t *x = a, *y = b;

	return *x < *y ? -1 : *x > *y;
}

static void
print_summary(struct load *l)
{
	size_t i;

	printf("sent %" PRIu64 "\n", l->sent);
	for (i = 0; i < OUT_COUNT; i++)
		printf("%s %" PRIu64 "\n", outcome_names[i], l->outcomes[i]);
	printf("retries %" PRIu64 "\nmixed_up %" PRIu64 "\n", l->retries,
	    l->mixed);
	for (i = 0; i < G_N_ELEMENTS(l->statuses); i++) {
		if (l->statuses[i] > 0)
			printf("status_%zu %" PRIu64 "\n", i, l->statuses[i]);
	}
	if (l->nsamples == 0)
		return;
	qsort(l->samples, l->nsamples, sizeof(*l->samples), sample_cmp);
	printf("p50_us %u\np99_us %u\nmax_us %u\n", l->samples[l->nsamples / 2],
	    l->samples[l->nsamples * 99 / 100], l->samples[l->nsamples - 1]);
}

static void
init_load(struct load *l)
{
	gchar **list = g_strsplit(ports, ",", MAX_PORTS);
	int i;

	for (i = 0; list[i] != NULL; i++) {
		l->ports[l->nports] = atoi(list[i]);
		TAILQ_INIT(&l->idle[l->nports]);
		l->nports++;
	}
	g_strfreev(list);
	TAILQ_INIT(&l->dead);
	l->base = standin_base();
	l->timer = evtimer_new(l->base, on_timer, l);
	l->reap = event_new(l->base, -1, 0, on_reap, l);
	l->samples = g_new(uint32_t, MAX_SAMPLES);
	l->total = (uint64_t)(rate * seconds_ms / 1000);
	l->rng = standin_now_us() ^ (uint64_t)getpid() << 32;
	l->log = log_path != NULL ? fopen(log_path, "a") : NULL;
	l->ids = ids_path != NULL ? fopen(ids_path, "a") : NULL;
	l->start_us = standin_now_us();
}

int
main(int argc, char **argv)
{
	const GOptionEntry entries[] = {
	    {"ports", 0, 0, G_OPTION_ARG_STRING, &ports, NULL, NULL},
	    {"path", 0, 0, G_OPTION_ARG_STRING, &path, NULL, NULL},
	    {"method", 0, 0, G_OPTION_ARG_STRING, &method, NULL, NULL},
	    {"key", 0, 0, G_OPTION_ARG_STRING, &key, NULL, NULL},
	    {"dc", 0, 0, G_OPTION_ARG_STRING, &dc, NULL, NULL},
	    {"rate", 0, 0, G_OPTION_ARG_DOUBLE, &rate, NULL, NULL},
	    {"ms", 0, 0, G_OPTION_ARG_INT, &seconds_ms, NULL, NULL},
	    {"retries", 0, 0, G_OPTION_ARG_INT, &retries, NULL, NULL},
	    {"pause-ms", 0, 0, G_OPTION_ARG_INT, &pause_ms, NULL, NULL},
	    {"deadline-ms", 0, 0, G_OPTION_ARG_INT, &deadline_ms, NULL, NULL},
	    {"leave-ms", 0, 0, G_OPTION_ARG_INT, &leave_ms, NULL, NULL},
	    {"ids", 0, 0, G_OPTION_ARG_NONE, &with_ids, NULL, NULL},
	    {"log", 0, 0, G_OPTION_ARG_FILENAME, &log_path, NULL, NULL},
	    {"id-log", 0, 0, G_OPTION_ARG_FILENAME, &ids_path, NULL, NULL},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	struct timeval now = {0, 0};

	standin_options(entries, argc, argv);
	init_load(&load);
	evtimer_add(load.timer, &now);
	standin_run(load.base);
	print_summary(&load);
	if (load.log != NULL)
		fclose(load.log);
	if (load.ids != NULL)
		fclose(load.ids);
	return 0;
}
