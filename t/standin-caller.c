/*
 * standin-caller - takes the place of callers, and generates load
 *
 * Requests are sent at a constant rate (--rate, per second) for a time (--ms)
 * whether or not earlier ones were answered, each to a random one of the
 * daemons at --ports.  A request that succeeded, or that ran and failed, is
 * final.  Any other is sent again up to --retries times, with the same id
 * and to the next daemon, after a random delay of 1 to 2 * --pause-ms
 * milliseconds.  With --leave-ms the caller disconnects after that time if
 * there is no response yet.  With --ids requests carry an idempotency id.
 *
 * At the end a summary of "name value" lines is printed.  Latencies count
 * from the time at which a request was due, so that a late start is included,
 * and only successful requests have one.  With --log FILE a line
 * "ID OUTCOME STATUS TRIES" is appended for each finished request, where the
 * outcome is "not_run" only if every try was refused as not run.  With
 * --id-log FILE each id is appended before its first try.
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
#define MAX_LATENCIES 4000000 /* later requests have no latency recorded */

/* A connection to one daemon; it carries one request at a time. */
struct conn {
	TAILQ_ENTRY(conn) entry;
	struct evhttp_connection *http;
	int port_index;
	bool broken;
};

TAILQ_HEAD(conn_queue, conn);

/* One request of the load with its tries. */
struct call {
	struct conn *conn; /* of the current try; NULL between tries */
	struct evhttp_request *req; /* the current try, or NULL */
	struct event *disconnect_timer; /* NULL without --leave-ms */
	char id[96];
	uint64_t due_us; /* when its first try was to be sent */
	int tries;
	int port_index; /* of the current or the next try */
	bool may_have_run; /* some try did not end as "not run" */
};

enum outcome {
	OUTCOME_SUCCEEDED, /* a status below 400 */
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
	OUTCOME_RAN_AND_FAILED, /* an error status without a verdict */
	OUTCOME_NO_RESPONSE, /* the connection ended without a response */
	OUTCOME_CALLER_LEFT, /* we disconnected, see --leave-ms */
	OUTCOME_COUNT,
};

/* The names in the summary and in the outcome log. */
static const char *const outcome_names[] = {
    "whole", "not_run", "unknown", "ran", "broken", "gone"};

/* The load generator; ports and idle connections have the same index. */
struct load {
	struct event_base *base;
	struct event *send_timer;
	struct conn_queue idle[MAX_PORTS];
	struct conn_queue closing;
	struct event *close_event; /* closes the connections in closing */
	int ports[MAX_PORTS];
	int port_count;
	uint64_t start_us;
	uint64_t sent, unfinished;
	uint64_t total; /* requests to send, retries not counted */
	uint64_t outcome_counts[OUTCOME_COUNT];
	uint64_t status_counts[600]; /* by status; 0: no response */
	uint64_t retry_count;
	uint64_t mismatched; /* responses to another request */
	uint32_t *latencies_us;
	size_t latency_count;
	uint64_t rng;
	FILE *outcome_log; /* NULL without --log */
	FILE *id_log; /* NULL without --id-log */
};

static gchar *ports = "17011", *path = "/", *method = "GET", *key,
	     *dc = "plzen", *outcome_log_path, *id_log_path;
static gint duration_ms = 1000, max_retries, deadline_ms, disconnect_ms,
	    retry_delay_ms = 10;
static gdouble rate_per_s = 100;
static gboolean with_ids;

static void call_send_try(struct load *, struct call *);

static struct load load;

static void
on_close_event(evutil_socket_t fd, short what, void *arg)
{
	struct load *l = arg;
	struct conn *c;

	(void)fd;
	(void)what;
	while ((c = TAILQ_FIRST(&l->closing)) != NULL) {
		TAILQ_REMOVE(&l->closing, c, entry);
		evhttp_connection_free(c->http);
		g_free(c);
	}
}

/*
 * Close a connection from the event loop: evhttp still uses it while one of
 * its callbacks runs.
 */
static void
conn_close_later(struct load *l, struct conn *c)
{
	TAILQ_INSERT_TAIL(&l->closing, c, entry);
	event_active(l->close_event, EV_TIMEOUT, 0);
}

static struct conn *
conn_get(struct load *l, int port_index)
{
	struct conn *c = TAILQ_FIRST(&l->idle[port_index]);

	if (c != NULL) {
		TAILQ_REMOVE(&l->idle[port_index], c, entry);
		return c;
	}
	c = g_new0(struct conn, 1);
	c->port_index = port_index;
	c->http = evhttp_connection_base_new(
	    l->base, NULL, STANDIN_IP, l->ports[port_index]);
	evhttp_connection_set_timeout(c->http, 60);
	return c;
}

static void
call_end(struct load *l, struct call *c, enum outcome o, int status)
{
	uint64_t latency_us = standin_now_us() - c->due_us;

	l->outcome_counts[o]++;
	l->status_counts[status]++;
	if (o == OUTCOME_SUCCEEDED && l->latency_count < MAX_LATENCIES)
		l->latencies_us[l->latency_count++] = (uint32_t)latency_us;
	if (l->outcome_log != NULL)
		fprintf(l->outcome_log, "%s %s %d %d\n", c->id[0] ? c->id : "-",
		    o == OUTCOME_NOT_RUN && c->may_have_run ? "unknown"
							    : outcome_names[o],
		    status, c->tries);
	if (c->disconnect_timer != NULL)
		event_free(c->disconnect_timer);
	g_free(c);
	l->unfinished--;
	if (l->unfinished == 0 && l->sent == l->total)
		event_base_loopexit(l->base, NULL);
}

static enum outcome
response_outcome(struct evhttp_request *req, int *status)
{
	const char *verdict;

	*status = req != NULL ? evhttp_request_get_response_code(req) : 0;
	if (*status == 0)
		return OUTCOME_NO_RESPONSE;
	verdict = evhttp_find_header(
	    evhttp_request_get_input_headers(req), "Cranberryway-Verdict");
	if (verdict != NULL && strcmp(verdict, "not-run") == 0)
		return OUTCOME_NOT_RUN;
	if (verdict != NULL && strcmp(verdict, "unknown") == 0)
		return OUTCOME_UNKNOWN;
	return *status < 400 ? OUTCOME_SUCCEEDED : OUTCOME_RAN_AND_FAILED;
}

static void
on_retry_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	call_send_try(&load, arg);
}

/* Retry with the same id at the next daemon; false if the call is final. */
static bool
call_retry(struct load *l, struct call *c, enum outcome o)
{
	uint64_t ms =
	    retry_delay_ms > 0 ? rng_below(&l->rng, 2 * retry_delay_ms) + 1 : 1;
	struct timeval tv = {ms / 1000, ms % 1000 * 1000};

	if (o == OUTCOME_SUCCEEDED || o == OUTCOME_RAN_AND_FAILED ||
	    c->tries > max_retries)
		return false;
	l->retry_count++;
	c->port_index = (c->port_index + 1) % l->port_count;
	event_base_once(l->base, -1, EV_TIMEOUT, on_retry_timer, c, &tv);
	return true;
}

/*
 * Count a response to another request than the one sent: the target stand-in
 * repeats the id of the request in its response.
 */
static void
check_response_id(
    struct load *l, const struct call *c, struct evhttp_request *req)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(body);

	if (c->id[0] != '\0' && strstr(method, "POST") != NULL &&
	    evbuffer_search(body, c->id, strlen(c->id), NULL).pos < 0 &&
	    len > 0)
		l->mismatched++;
}

static void
on_response(struct evhttp_request *req, void *arg)
{
	struct call *c = arg;
	struct conn *conn = c->conn;
	int status;
	enum outcome o = response_outcome(req, &status);

	c->conn = NULL;
	c->req = NULL;
	if (o == OUTCOME_NO_RESPONSE)
		conn_close_later(&load, conn);
	else
		TAILQ_INSERT_HEAD(&load.idle[conn->port_index], conn, entry);
	if (o != OUTCOME_NOT_RUN)
		c->may_have_run = true;
	if (o == OUTCOME_SUCCEEDED)
		check_response_id(&load, c, req);
	if (!call_retry(&load, c, o))
		call_end(&load, c, o, status);
}

static void
call_send_try(struct load *l, struct call *c)
{
	struct conn *conn = conn_get(l, c->port_index);
	struct evhttp_request *req = evhttp_request_new(on_response, c);
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);
	bool post = strcmp(method, "POST") == 0;
	char value[128];

	c->conn = conn;
	c->req = req;
	c->tries++;
	evhttp_add_header(out, "Host", STANDIN_IP);
	if (key != NULL) {
		snprintf(value, sizeof(value), "Bearer %s", key);
		evhttp_add_header(out, "Authorization", value);
	}
	if (c->id[0] != '\0')
		evhttp_add_header(out, "Idempotency-Key", c->id);
	if (deadline_ms > 0) {
		snprintf(value, sizeof(value), "%d", deadline_ms);
		evhttp_add_header(out, "Cranberryway-Deadline-Ms", value);
	}
	if (post)
		evbuffer_add_printf(
		    evhttp_request_get_output_buffer(req), "amount=1");
	evhttp_make_request(
	    conn->http, req, post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET, path);
}

static void
on_disconnect_timer(evutil_socket_t fd, short what, void *arg)
{
	struct call *c = arg;

	(void)fd;
	(void)what;
	if (c->req == NULL)
		return;
	evhttp_cancel_request(c->req);
	c->req = NULL;
	conn_close_later(&load, c->conn);
	c->may_have_run = true;
	call_end(&load, c, OUTCOME_CALLER_LEFT, 0);
}

static void
id_create(struct load *l, char *id, size_t len)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	snprintf(id, len, "%" PRIu64 "-%s-%d%016" PRIx64,
	    (uint64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000, dc, getpid(),
	    rng_next(&l->rng));
}

static void
call_start(struct load *l, uint64_t due_us)
{
	struct call *c = g_new0(struct call, 1);
	struct timeval tv = {disconnect_ms / 1000, disconnect_ms % 1000 * 1000};

	c->due_us = due_us;
	c->port_index = rng_below(&l->rng, l->port_count);
	if (with_ids)
		id_create(l, c->id, sizeof(c->id));
	if (l->id_log != NULL)
		fprintf(l->id_log, "%s\n", c->id);
	l->sent++;
	l->unfinished++;
	if (disconnect_ms > 0) {
		c->disconnect_timer =
		    evtimer_new(l->base, on_disconnect_timer, c);
		evtimer_add(c->disconnect_timer, &tv);
	}
	call_send_try(l, c);
}

static void
on_send_timer(evutil_socket_t fd, short what, void *arg)
{
	struct load *l = arg;
	struct timeval poll_interval = {0, 500}; /* 500 us */
	uint64_t due;

	(void)fd;
	(void)what;
	while (l->sent < l->total) {
		due = l->start_us +
		      (uint64_t)((double)l->sent * 1e6 / rate_per_s);
		if (due > standin_now_us())
			break;
		call_start(l, due);
	}
	if (l->sent < l->total)
		evtimer_add(l->send_timer, &poll_interval);
}

static int
latency_cmp(const void *a, const void *b)
{
	const uint32_t *x = a, *y = b;

	return *x < *y ? -1 : *x > *y;
}

static void
load_print_summary(struct load *l)
{
	size_t i;

	printf("sent %" PRIu64 "\n", l->sent);
	for (i = 0; i < OUTCOME_COUNT; i++)
		printf(
		    "%s %" PRIu64 "\n", outcome_names[i], l->outcome_counts[i]);
	printf("retries %" PRIu64 "\nmixed_up %" PRIu64 "\n", l->retry_count,
	    l->mismatched);
	for (i = 0; i < G_N_ELEMENTS(l->status_counts); i++) {
		if (l->status_counts[i] > 0)
			printf(
			    "status_%zu %" PRIu64 "\n", i, l->status_counts[i]);
	}
	if (l->latency_count == 0)
		return;
	qsort(l->latencies_us, l->latency_count, sizeof(*l->latencies_us),
	    latency_cmp);
	printf("p50_us %u\np99_us %u\nmax_us %u\n",
	    l->latencies_us[l->latency_count / 2],
	    l->latencies_us[l->latency_count * 99 / 100],
	    l->latencies_us[l->latency_count - 1]);
}

static void
load_init(struct load *l)
{
	gchar **list = g_strsplit(ports, ",", MAX_PORTS);
	int i;

	for (i = 0; list[i] != NULL; i++) {
		l->ports[l->port_count] = atoi(list[i]);
		TAILQ_INIT(&l->idle[l->port_count]);
		l->port_count++;
	}
	g_strfreev(list);
	TAILQ_INIT(&l->closing);
	l->base = standin_base();
	l->send_timer = evtimer_new(l->base, on_send_timer, l);
	l->close_event = event_new(l->base, -1, 0, on_close_event, l);
	l->latencies_us = g_new(uint32_t, MAX_LATENCIES);
	l->total = (uint64_t)(rate_per_s * duration_ms / 1000);
	l->rng = standin_now_us() ^ (uint64_t)getpid() << 32;
	l->outcome_log =
	    outcome_log_path != NULL ? fopen(outcome_log_path, "a") : NULL;
	l->id_log = id_log_path != NULL ? fopen(id_log_path, "a") : NULL;
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
	    {"rate", 0, 0, G_OPTION_ARG_DOUBLE, &rate_per_s, NULL, NULL},
	    {"ms", 0, 0, G_OPTION_ARG_INT, &duration_ms, NULL, NULL},
	    {"retries", 0, 0, G_OPTION_ARG_INT, &max_retries, NULL, NULL},
	    {"pause-ms", 0, 0, G_OPTION_ARG_INT, &retry_delay_ms, NULL, NULL},
	    {"deadline-ms", 0, 0, G_OPTION_ARG_INT, &deadline_ms, NULL, NULL},
	    {"leave-ms", 0, 0, G_OPTION_ARG_INT, &disconnect_ms, NULL, NULL},
	    {"ids", 0, 0, G_OPTION_ARG_NONE, &with_ids, NULL, NULL},
	    {"log", 0, 0, G_OPTION_ARG_FILENAME, &outcome_log_path, NULL, NULL},
	    {"id-log", 0, 0, G_OPTION_ARG_FILENAME, &id_log_path, NULL, NULL},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	struct timeval now = {0, 0};

	standin_options(entries, argc, argv);
	load_init(&load);
	evtimer_add(load.send_timer, &now);
	standin_run(load.base);
	load_print_summary(&load);
	if (load.outcome_log != NULL)
		fclose(load.outcome_log);
	if (load.id_log != NULL)
		fclose(load.id_log);
	return 0;
}
