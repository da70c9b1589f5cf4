#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <fcntl.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "lab.h"

#define IP "127.0.0.1"
#define ZONE "zone-a"
#define REGION "region-a"
#define AUTHORITY "shop.example"
#define HEARTBEAT_MS 1500
#define READY_TIMEOUT_S 20
#define GRACE_S 6 /* from SIGTERM to SIGKILL */
#define DEADLINE_MS 5000 /* of each request */
#define MAX_WORDS 8 /* of the command */
/* Ports below those that the system gives to connections. */
#define PORT_FIRST 10000
#define PORT_COUNT 20000

struct row {
	TAILQ_ENTRY(row) entry;
	char table[256], part[256], key[256];
	char *value; /* base64 */
	uint64_t ver;
	bool gone; /* a tombstone, for the feed */
};

TAILQ_HEAD(row_list, row);

/* A read of the feed that waits for a change. */
struct feed_wait {
	TAILQ_ENTRY(feed_wait) entry;
	struct evhttp_request *req;
	struct event *timer;
	char table[256];
	uint64_t after;
};

TAILQ_HEAD(wait_list, feed_wait);

struct store {
	struct row_list rows, copy;
	struct wait_list waits;
	uint64_t ver, copy_ver, era;
	char *config; /* the operator's newest manifest */
	int port;
	bool away;
};

/* A request that a server runs. */
struct run {
	struct host *host;
	struct evhttp_request *req;
	struct event *timer;
	uint64_t number;
};

struct proxy {
	struct evconnlistener *listener;
	int port, to_port;
	bool is_cut;
	TAILQ_HEAD(pipe_list, pipe) pipes;
};

/* One connection through a proxy. */
struct pipe {
	TAILQ_ENTRY(pipe) entry;
	struct proxy *proxy;
	struct bufferevent *ends[2];
};

struct event_base *lab_base;
bool lab_trouble = true;
struct request_list lab_requests = TAILQ_HEAD_INITIALIZER(lab_requests);
struct host_list lab_hosts = TAILQ_HEAD_INITIALIZER(lab_hosts);

static struct store store = {.rows = TAILQ_HEAD_INITIALIZER(store.rows),
    .copy = TAILQ_HEAD_INITIALIZER(store.copy),
    .waits = TAILQ_HEAD_INITIALIZER(store.waits),
    .era = 1};
static const char *command, *template_path, *dir;
static FILE *record;
static uint64_t nrequests;
static struct timespec start;

double
lab_now_s(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)(now.tv_sec - start.tv_sec) +
	       (double)(now.tv_nsec - start.tv_nsec) / 1e9;
}

void
lab_record(const char *fmt, ...)
{
	va_list ap;

	fprintf(record, "%8.3f ", lab_now_s());
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
}

static void
kill_all(void)
{
	struct host *h;

	TAILQ_FOREACH (h, &lab_hosts, entry)
		host_kill(h);
}

void
lab_fail(const char *what)
{
	lab_record("could not run: %s", what);
	fprintf(stderr, "could not run: %s\n", what);
	kill_all();
	exit(2);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	(void)arg;
	event_base_loopbreak(lab_base);
}

void
lab_wait_ms(int ms)
{
	struct timeval tv = {ms / 1000, ms % 1000 * 1000};
	struct event *ev = evtimer_new(lab_base, on_timer, NULL);

	evtimer_add(ev, &tv);
	event_base_dispatch(lab_base);
	event_free(ev);
}

static void
on_stop_signal(int sig)
{
	struct host *h;

	(void)sig;
	TAILQ_FOREACH (h, &lab_hosts, entry) {
		if (h->pid != 0)
			kill(h->pid, SIGKILL);
	}
	_exit(2);
}

void
lab_init(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");

	if (argc != 5) {
		fprintf(stderr, "usage: case COMMAND TEMPLATE DIR RECORD\n");
		exit(2);
	}
	command = argv[1];
	template_path = argv[2];
	dir = argv[3];
	record = fopen(argv[4], "w");
	if (record == NULL)
		exit(2);
	lab_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	clock_gettime(CLOCK_MONOTONIC, &start);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_stop_signal);
	signal(SIGINT, on_stop_signal);
	lab_base = event_base_new();
	lab_record("trouble=%d", lab_trouble);
}

int
lab_end(bool broken)
{
	lab_record(broken ? "the rule was broken" : "the rule held");
	printf("%s\n", broken ? "the rule was broken" : "the rule held");
	kill_all();
	return broken ? 1 : 0;
}

/* A port that nobody listens on, and that no connection gets by itself. */
static int
free_port(void)
{
	static int next;
	struct sockaddr_in sin = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd, port, i, ret;

	if (next == 0)
		next = (int)getpid() * 61;
	for (i = 0; i < PORT_COUNT; i++) {
		port = PORT_FIRST + next++ % PORT_COUNT;
		sin.sin_port = htons((uint16_t)port);
		fd = socket(AF_INET, SOCK_STREAM, 0);
		ret = bind(fd, (struct sockaddr *)&sin, sizeof(sin));
		close(fd);
		if (ret == 0)
			return port;
	}
	lab_fail("no free port");
}

static struct evhttp *
listen_on(int *port, void (*cb)(struct evhttp_request *, void *), void *arg)
{
	struct evhttp *http = evhttp_new(lab_base);

	*port = free_port();
	evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_HEAD |
					     EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
					     EVHTTP_REQ_DELETE);
	evhttp_set_gencb(http, cb, arg);
	if (evhttp_bind_socket(http, IP, (ev_uint16_t)*port) != 0)
		lab_fail("cannot listen");
	return http;
}

/* The store. */

static struct row *
row_find(
    struct row_list *rows, const char *table, const char *part, const char *key)
{
	struct row *r;

	TAILQ_FOREACH (r, rows, entry) {
		if (strcmp(r->table, table) == 0 &&
		    strcmp(r->part, part) == 0 && strcmp(r->key, key) == 0)
			return r;
	}
	return NULL;
}

static void
row_set(const char *table, const char *part, const char *key, const char *value)
{
	struct row *r = row_find(&store.rows, table, part, key);

	if (r == NULL) {
		r = calloc(1, sizeof(*r));
		g_strlcpy(r->table, table, sizeof(r->table));
		g_strlcpy(r->part, part, sizeof(r->part));
		g_strlcpy(r->key, key, sizeof(r->key));
	} else {
		TAILQ_REMOVE(&store.rows, r, entry);
		free(r->value);
	}
	r->value = value != NULL ? strdup(value) : NULL;
	r->gone = value == NULL;
	r->ver = store.ver;
	TAILQ_INSERT_TAIL(&store.rows, r, entry); /* in the order of versions */
}

static json_t *
row_json(const struct row *r)
{
	json_t *o = json_pack("{s:s, s:s, s:s, s:I}", "table", r->table, "part",
	    r->part, "key", r->key, "ver", (json_int_t)r->ver);

	if (r->gone)
		json_object_set_new(o, "tombstone", json_true());
	else
		json_object_set_new(o, "value", json_string(r->value));
	return o;
}

static void
store_reply(struct evhttp_request *req, int status, json_t *body)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	struct evbuffer *buf = evbuffer_new();
	char era[24], *text;

	snprintf(era, sizeof(era), "%" PRIu64, store.era);
	evhttp_add_header(headers, "Store-Era", era);
	evhttp_add_header(headers, "Content-Type", "application/json");
	if (body != NULL) {
		json_object_set_new(
		    body, "ver", json_integer((json_int_t)store.ver));
		json_object_set_new(body, "now_s", json_real(lab_now_s()));
		text = json_dumps(body, JSON_COMPACT);
		evbuffer_add(buf, text, strlen(text));
		free(text);
		json_decref(body);
	}
	evhttp_send_reply(req, status, NULL, buf);
	evbuffer_free(buf);
}

static char *
param(const struct evkeyvalq *q, const char *name)
{
	const char *v = evhttp_find_header(q, name);

	return v != NULL ? (char *)v : "";
}

static gint
compare_keys(gconstpointer a, gconstpointer b)
{
	const struct row *const *x = a, *const *y = b;

	return strcmp((*x)->key, (*y)->key);
}

static void
store_get(struct evhttp_request *req, const struct evkeyvalq *q)
{
	const char *from = param(q, "from"), *to = param(q, "to");
	size_t limit = strtoul(param(q, "limit"), NULL, 10), i;
	GPtrArray *found = g_ptr_array_new();
	json_t *rows = json_array();
	struct row *r;

	TAILQ_FOREACH (r, &store.rows, entry) {
		if (!r->gone && strcmp(r->table, param(q, "table")) == 0 &&
		    strcmp(r->part, param(q, "part")) == 0 &&
		    strcmp(r->key, from) >= 0 &&
		    (*to == '\0' || strcmp(r->key, to) < 0))
			g_ptr_array_add(found, r);
	}
	g_ptr_array_sort(found, compare_keys);
	if (limit == 0 || limit > 500)
		limit = 500;
	for (i = 0; i < found->len && i < limit; i++)
		json_array_append_new(rows, row_json(found->pdata[i]));
	store_reply(req, 200,
	    json_pack(
		"{s:o, s:b}", "rows", rows, "has_more", found->len > limit));
	g_ptr_array_free(found, TRUE);
}

static json_t *
changes_since(const char *table, uint64_t after)
{
	json_t *rows = json_array();
	struct row *r;

	TAILQ_FOREACH (r, &store.rows, entry) {
		if (r->ver > after && strcmp(r->table, table) == 0)
			json_array_append_new(rows, row_json(r));
	}
	return rows;
}

static void
wait_end(struct feed_wait *w, int status)
{
	TAILQ_REMOVE(&store.waits, w, entry);
	event_free(w->timer);
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(w->req), NULL, NULL);
	store_reply(w->req, status,
	    status == 200
		? json_pack("{s:o}", "rows", changes_since(w->table, w->after))
		: NULL);
	free(w);
}

static void
on_wait_over(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	wait_end(arg, 200);
}

static void
on_waiter_gone(struct evhttp_connection *conn, void *arg)
{
	struct feed_wait *w = arg;

	(void)conn;
	TAILQ_REMOVE(&store.waits, w, entry);
	event_free(w->timer);
	free(w);
}

static void
store_notify(void)
{
	struct feed_wait *w, *next;
	json_t *rows;
	size_t n;

	for (w = TAILQ_FIRST(&store.waits); w != NULL; w = next) {
		next = TAILQ_NEXT(w, entry);
		rows = changes_since(w->table, w->after);
		n = json_array_size(rows);
		json_decref(rows);
		if (n > 0)
			wait_end(w, 200);
	}
}

static void
store_feed(struct evhttp_request *req, const struct evkeyvalq *q)
{
	uint64_t after = strtoull(param(q, "after"), NULL, 10);
	int ms = atoi(param(q, "wait_ms"));
	struct timeval tv = {ms / 1000, ms % 1000 * 1000};
	struct feed_wait *w;
	json_t *rows;

	if (after > store.ver) {
		store_reply(req, 410, NULL);
		return;
	}
	rows = changes_since(param(q, "table"), after);
	if (json_array_size(rows) > 0 || ms == 0) {
		store_reply(req, 200, json_pack("{s:o}", "rows", rows));
		return;
	}
	json_decref(rows);
	w = calloc(1, sizeof(*w));
	w->req = req;
	w->after = after;
	g_strlcpy(w->table, param(q, "table"), sizeof(w->table));
	w->timer = evtimer_new(lab_base, on_wait_over, w);
	evtimer_add(w->timer, &tv);
	TAILQ_INSERT_TAIL(&store.waits, w, entry);
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_waiter_gone, w);
}

static const char *
member(const json_t *o, const char *name)
{
	const char *v = json_string_value(json_object_get(o, name));

	return v != NULL ? v : "";
}

static bool
condition_holds(const json_t *tx, json_t *current)
{
	json_t *c;
	bool ok = true;
	struct row *r;
	size_t i;

	json_array_foreach(json_object_get(tx, "precondition"), i, c)
	{
		r = row_find(&store.rows, member(c, "table"), member(c, "part"),
		    member(c, "key"));
		if (r != NULL && r->gone)
			r = NULL;
		if (r != NULL)
			json_array_append_new(current, row_json(r));
		if ((uint64_t)json_integer_value(json_object_get(c, "ver")) !=
		    (r != NULL ? r->ver : 0))
			ok = false;
	}
	return ok;
}

static void
store_transaction(struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	json_t *tx = json_loadb((const char *)evbuffer_pullup(in, -1),
	    evbuffer_get_length(in), 0, NULL);
	json_t *current = json_array(), *e;
	gchar *value;
	gsize len;
	size_t i;

	if (!condition_holds(tx, current)) {
		store_reply(req, 412, json_pack("{s:O}", "rows", current));
	} else {
		store.ver++;
		json_array_foreach(json_object_get(tx, "puts"), i, e)
		{
			row_set(member(e, "table"), member(e, "part"),
			    member(e, "key"), member(e, "value"));
			value =
			    (gchar *)g_base64_decode(member(e, "value"), &len);
			lab_record("store: ver=%" PRIu64 " put %s/%s/%s: %.*s",
			    store.ver, member(e, "table"), member(e, "part"),
			    member(e, "key"), (int)len, value);
			g_free(value);
		}
		json_array_foreach(json_object_get(tx, "remove"), i, e)
		{
			row_set(member(e, "table"), member(e, "part"),
			    member(e, "key"), NULL);
			lab_record("store: ver=%" PRIu64 " remove %s/%s/%s",
			    store.ver, member(e, "table"), member(e, "part"),
			    member(e, "key"));
		}
		store_reply(req, 200, json_object());
		store_notify();
	}
	json_decref(current);
	json_decref(tx);
}

static void
on_store_request(struct evhttp_request *req, void *arg)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	const char *path = evhttp_uri_get_path(uri);
	const char *query = evhttp_uri_get_query(uri);
	struct evkeyvalq q;

	(void)arg;
	if (store.away) {
		store_reply(req, 503, NULL);
		return;
	}
	if (strcmp(path, "/api/rows-tx") == 0) {
		store_transaction(req);
		return;
	}
	if (evhttp_parse_query_str(query != NULL ? query : "", &q) != 0) {
		store_reply(req, 400, NULL);
		return;
	}
	if (strcmp(path, "/api/rows-get") == 0)
		store_get(req, &q);
	else if (strcmp(path, "/api/rows-feed") == 0)
		store_feed(req, &q);
	else
		store_reply(req, 404, NULL);
	evhttp_clear_headers(&q);
}

static void
store_start(void)
{
	if (store.port == 0)
		listen_on(&store.port, on_store_request, NULL);
}

static void
write_config(void)
{
	gchar *value =
	    g_base64_encode((const guchar *)store.config, strlen(store.config));

	store.ver++;
	row_set("op", "", "config", value);
	g_free(value);
	lab_record("operator: ver=%" PRIu64 " acknowledged: %.60s", store.ver,
	    store.config);
	store_notify();
}

void
store_put_config(const struct manifest *m)
{
	char text[2048];

	snprintf(text, sizeof(text),
	    "{\"version\":%d,\"resources\":["
	    "{\"entry_type\":\"routes\",\"metadata\":{\"name\":\"r-1\"},"
	    "\"spec\":{\"authority\":\"" AUTHORITY "\",\"path_prefix\":"
	    "\"/place/\",\"route_type\":\"unsafe\",\"timeout_s\":%g,"
	    "\"target_latency_s\":1.5,\"priority\":0,\"upstream\":\"%s\","
	    "\"max_attempts\":2,\"public\":false}},"
	    "{\"entry_type\":\"upstreams\",\"metadata\":{\"name\":\"orders\"},"
	    "\"spec\":{\"health_path\":\"/healthz\",\"max_conns\":1684,"
	    "\"protocol\":\"h1\",\"tls\":false}},"
	    "{\"entry_type\":\"upstreams\",\"metadata\":"
	    "{\"name\":\"orders-2\"},\"spec\":{\"health_path\":\"/healthz\","
	    "\"max_conns\":1684,\"protocol\":\"h1\",\"tls\":false}},"
	    "{\"entry_type\":\"tenants\",\"metadata\":{\"name\":\"firm\"},"
	    "\"spec\":{\"api_keys\":[%s],\"priority\":1,\"rate_per_s\":%d,"
	    "\"burst\":%d}},"
	    "{\"entry_type\":\"limits\",\"metadata\":{},\"spec\":"
	    "{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
	    "\"header_timeout_s\":3,\"idle_timeout_s\":15}}]}",
	    m->version, m->timeout_s,
	    m->service != NULL ? m->service : "orders", m->keys, m->rate_per_s,
	    m->burst);
	store_start();
	free(store.config);
	store.config = strdup(text);
	write_config();
}

static void
rows_copy(struct row_list *to, const struct row_list *from)
{
	struct row *r, *c;

	while ((r = TAILQ_FIRST(to)) != NULL) {
		TAILQ_REMOVE(to, r, entry);
		free(r->value);
		free(r);
	}
	TAILQ_FOREACH (r, from, entry) {
		c = malloc(sizeof(*c));
		*c = *r;
		c->value = r->value != NULL ? strdup(r->value) : NULL;
		TAILQ_INSERT_TAIL(to, c, entry);
	}
}

void
store_copy(void)
{
	rows_copy(&store.copy, &store.rows);
	store.copy_ver = store.ver;
	lab_record("store: copy at ver=%" PRIu64, store.ver);
}

void
store_drill_begin(void)
{
	struct feed_wait *w;

	lab_record("store: away at ver=%" PRIu64, store.ver);
	store.away = true;
	while ((w = TAILQ_FIRST(&store.waits)) != NULL)
		wait_end(w, 503);
}

void
store_drill_end(void)
{
	gchar *newest =
	    g_base64_encode((const guchar *)store.config, strlen(store.config));
	struct row *r;

	rows_copy(&store.rows, &store.copy);
	store.ver = store.copy_ver;
	store.era++;
	store.away = false;
	lab_record("store: back at ver=%" PRIu64 " era=%" PRIu64, store.ver,
	    store.era);
	r = row_find(&store.rows, "op", "", "config");
	if (r == NULL || strcmp(r->value, newest) != 0)
		write_config();
	g_free(newest);
}

/* Servers. */

static struct request *
find_request(const char *id)
{
	struct request *r;

	TAILQ_FOREACH_REVERSE(r, &lab_requests, request_list, entry)
	{
		if (strcmp(r->id, id) == 0)
			return r;
	}
	return NULL;
}

static const char *
input_header(struct evhttp_request *req, const char *name)
{
	const char *v =
	    evhttp_find_header(evhttp_request_get_input_headers(req), name);

	return v != NULL ? v : "-";
}

static void
server_reply(struct evhttp_request *req, int status, const char *name,
    const char *value, const char *text)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);
	struct evbuffer *buf = evbuffer_new();

	if (name != NULL)
		evhttp_add_header(out, name, value);
	evhttp_add_header(out, "Request-Id", input_header(req, "Request-Id"));
	evbuffer_add_printf(buf, "%s\n", text);
	evhttp_send_reply(req, status, NULL, buf);
	evbuffer_free(buf);
}

static void
on_run_over(evutil_socket_t fd, short what, void *arg)
{
	struct run *run = arg;
	struct host *h = run->host;

	(void)fd;
	(void)what;
	if (h->loses_answer != NULL && h->loses_answer(h, run->number)) {
		lab_record("server %s: answer of %s lost", h->id,
		    input_header(run->req, "Request-Id"));
		evhttp_connection_free(evhttp_request_get_connection(run->req));
	} else {
		server_reply(run->req, 200, "Response-Signature", "1f.07",
		    "the server's bytes");
	}
	event_free(run->timer);
	free(run);
}

static void
on_server_request(struct evhttp_request *req, void *arg)
{
	struct host *h = arg;
	struct request *r = find_request(input_header(req, "Request-Id"));
	struct timeval tv = {h->work_ms / 1000, h->work_ms % 1000 * 1000};
	struct run *run;

	if (strcmp(input_header(req, "Target-Instance"), "-") != 0 &&
	    strcmp(input_header(req, "Target-Instance"), h->id) != 0) {
		server_reply(req, 421, "Instance-Id", h->id, "");
		return;
	}
	h->runs++;
	lab_record("server %s: runs %s tenant=%s", h->id,
	    input_header(req, "Request-Id"), input_header(req, "Tenant-Id"));
	if (r != NULL) {
		r->runs++;
		r->run_s = lab_now_s();
		r->run_at = h;
	}
	run = calloc(1, sizeof(*run));
	run->host = h;
	run->req = req;
	run->number = h->runs;
	run->timer = evtimer_new(lab_base, on_run_over, run);
	evtimer_add(run->timer, &tv);
}

static void
on_control_answer(struct evhttp_request *req, void *arg)
{
	(void)arg;
	if (req != NULL && evhttp_request_get_response_code(req) != 200)
		lab_record("control: status %d",
		    evhttp_request_get_response_code(req));
}

static void
send_control(struct host *h, enum evhttp_cmd_type type, const char *body)
{
	struct evhttp_connection *conn = evhttp_connection_base_new(
	    lab_base, NULL, IP, (ev_uint16_t)h->announce_port);
	struct evhttp_request *req = evhttp_request_new(on_control_answer, h);
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);
	char uri[128];

	evhttp_connection_free_on_completion(conn);
	evhttp_connection_set_timeout(conn, 1);
	evhttp_add_header(out, "Host", IP);
	evhttp_add_header(out, "Connection", "close");
	if (body != NULL) {
		evhttp_add_header(out, "Content-Type", "application/json");
		if (type == EVHTTP_REQ_DELETE) {
			snprintf(uri, sizeof(uri), "%zu", strlen(body));
			evhttp_add_header(out, "Content-Length", uri);
		}
		evbuffer_add(
		    evhttp_request_get_output_buffer(req), body, strlen(body));
	}
	snprintf(uri, sizeof(uri), "/api/instances/%s", h->id);
	evhttp_make_request(conn, req, type, uri);
}

void
host_beat(struct host *h, const char *state, uint64_t seq)
{
	char body[512];

	snprintf(body, sizeof(body),
	    "{\"upstream\":\"%s\",\"address\":\"" IP ":%d\",\"zone\":\"" ZONE
	    "\",\"version\":\"v1\",\"slots\":264,"
	    "\"state\":\"%s\",\"warmup_left_s\":0,\"seq\":%" PRIu64
	    ",\"born\":%" PRIu64 "}",
	    h->service, h->server_port, state, seq, h->born_ms);
	send_control(h, EVHTTP_REQ_PUT, body);
}

void
host_delete(struct host *h)
{
	char body[64];

	snprintf(body, sizeof(body), "{\"born\":%" PRIu64 "}", h->born_ms);
	send_control(h, EVHTTP_REQ_DELETE, body);
}

static void
on_beat_timer(evutil_socket_t fd, short what, void *arg)
{
	struct host *h = arg;

	(void)fd;
	(void)what;
	if (!h->silent && h->pid != 0)
		host_beat(h, "ready", h->beat_seq++);
}

/* Proxies. */

/* Have close() reset the connection. */
static void
reset_at_close(evutil_socket_t fd)
{
	struct linger now = {1, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

static void
pipe_free(struct pipe *p, bool reset)
{
	int i;

	for (i = 0; i < 2; i++) {
		if (reset)
			reset_at_close(bufferevent_getfd(p->ends[i]));
		bufferevent_free(p->ends[i]);
	}
	TAILQ_REMOVE(&p->proxy->pipes, p, entry);
	free(p);
}

static void
on_pipe_read(struct bufferevent *bev, void *arg)
{
	struct pipe *p = arg;

	bufferevent_read_buffer(
	    bev, bufferevent_get_output(
		     bev == p->ends[0] ? p->ends[1] : p->ends[0]));
}

static void
on_pipe_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		pipe_free(arg, (what & BEV_EVENT_ERROR) != 0);
}

static void
on_proxy_accept(struct evconnlistener *l, evutil_socket_t fd,
    struct sockaddr *sa, int len, void *arg)
{
	struct proxy *proxy = arg;
	struct sockaddr_in to = {.sin_family = AF_INET,
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	    .sin_port = htons((uint16_t)proxy->to_port)};
	struct pipe *p;
	int i;

	(void)l;
	(void)sa;
	(void)len;
	if (proxy->is_cut) {
		reset_at_close(fd);
		close(fd);
		return;
	}
	p = calloc(1, sizeof(*p));
	p->proxy = proxy;
	p->ends[0] = bufferevent_socket_new(
	    lab_base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	p->ends[1] = bufferevent_socket_new(
	    lab_base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	TAILQ_INSERT_TAIL(&proxy->pipes, p, entry);
	for (i = 0; i < 2; i++) {
		bufferevent_setcb(
		    p->ends[i], on_pipe_read, NULL, on_pipe_event, p);
		bufferevent_enable(p->ends[i], EV_READ | EV_WRITE);
	}
	bufferevent_socket_connect(
	    p->ends[1], (struct sockaddr *)&to, sizeof(to));
}

static void
proxy_listen(struct proxy *p)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	    .sin_port = htons((uint16_t)p->port)};

	p->listener = evconnlistener_new_bind(lab_base, on_proxy_accept, p,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 64,
	    (struct sockaddr *)&sin, sizeof(sin));
	if (p->listener == NULL)
		lab_fail("a proxy cannot listen");
}

static struct proxy *
proxy_create(int to_port)
{
	struct proxy *p = calloc(1, sizeof(*p));

	TAILQ_INIT(&p->pipes);
	p->port = free_port();
	p->to_port = to_port;
	proxy_listen(p);
	return p;
}

void
proxy_cut(struct proxy *p, bool cut)
{
	struct pipe *c;

	lab_record("proxy to port %d: %s", p->to_port, cut ? "cut" : "healed");
	p->is_cut = cut;
	while (cut && (c = TAILQ_FIRST(&p->pipes)) != NULL)
		pipe_free(c, true);
}

/* Daemons. */

static void
replace(GString *text, const char *name, const char *value)
{
	gchar *field = g_strdup_printf("{{%s}}", name);
	gchar **parts = g_strsplit(text->str, field, -1);
	gchar *joined = g_strjoinv(value, parts);

	g_string_assign(text, joined);
	g_free(joined);
	g_strfreev(parts);
	g_free(field);
}

static void
replace_address(GString *text, const char *name, int port)
{
	char value[32];

	snprintf(value, sizeof(value), IP ":%d", port);
	replace(text, name, value);
}

static void
replace_number(GString *text, const char *name, int number)
{
	char value[16];

	snprintf(value, sizeof(value), "%d", number);
	replace(text, name, value);
}

/* Fill in the template as the platform does. */
static void
write_settings(const struct host *h, const char *path)
{
	char link[64];
	gchar *content;
	GString *text;

	if (!g_file_get_contents(template_path, &content, NULL, NULL))
		lab_fail("no template");
	text = g_string_new(content);
	replace(text, "#zones}}{{@}} = {{.", ZONE " = " REGION);
	replace(text, "/zones", "");
	replace(text, "zone", ZONE);
	replace(text, "region", REGION);
	replace(text, "upstream", h->service);
	replace(text, "ip", IP);
	if (h->link_proxy != NULL) {
		snprintf(link, sizeof(link), "%d\nlink-bind = " IP ":%d",
		    h->link_proxy->port, h->link_port);
		replace(text, "port_range.0", link);
	}
	replace_number(text, "port_range.0", h->link_port);
	replace_number(text, "port_range.1", h->operators_port);
	replace_address(text, "listen.outbound", h->callers_port);
	replace_address(text, "listen.control", h->announce_port);
	replace_address(text, "listen.ready", h->ready_port);
	replace_address(text, "app", h->server_port);
	replace_address(text, "provider.address",
	    h->store_proxy != NULL ? h->store_proxy->port : store.port);
	replace(text, "bounds.revoke_s", "5");
	replace(text, "bounds.grace_s", "6");
	replace(text, "limits.memory_mb", "260");
	if (strstr(text->str, "{{") != NULL ||
	    !g_file_set_contents(path, text->str, -1, NULL))
		lab_fail("cannot fill in the template");
	g_string_free(text, TRUE);
	g_free(content);
}

void
host_run_daemon(struct host *h)
{
	gchar *path = g_strdup_printf("%s/%s.ini", dir, h->name);
	gchar *log = g_strdup_printf("%s/%s.log", dir, h->name);
	gchar *boot = g_strdup_printf("CRANBERRYWAY_BOOT=%s", path);
	gchar *search = g_strdup_printf("PATH=%s", getenv("PATH"));
	gchar **words = g_strsplit(command, " ", MAX_WORDS);
	char *env[] = {boot, search, NULL};
	posix_spawn_file_actions_t files;

	write_settings(h, path);
	posix_spawn_file_actions_init(&files);
	posix_spawn_file_actions_addopen(
	    &files, 1, log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	posix_spawn_file_actions_adddup2(&files, 1, 2);
	if (posix_spawn(&h->pid, words[0], &files, NULL, words, env) != 0)
		lab_fail("cannot start a daemon");
	posix_spawn_file_actions_destroy(&files);
	lab_record("daemon %s: started", h->name);
	g_strfreev(words);
	g_free(search);
	g_free(boot);
	g_free(log);
	g_free(path);
}

static struct host *
host_create(const char *service, bool behind_proxies)
{
	static const struct timeval interval = {
	    HEARTBEAT_MS / 1000, HEARTBEAT_MS % 1000 * 1000};
	static int count;
	struct host *h = calloc(1, sizeof(*h));

	store_start();
	snprintf(h->name, sizeof(h->name), "host-%d", ++count);
	snprintf(h->id, sizeof(h->id), "i-%d", count);
	g_strlcpy(h->service, service, sizeof(h->service));
	h->work_ms = 20;
	h->born_ms = (uint64_t)time(NULL) * 1000;
	h->server = listen_on(&h->server_port, on_server_request, h);
	h->link_port = free_port();
	h->callers_port = free_port();
	h->operators_port = free_port();
	h->announce_port = free_port();
	h->ready_port = free_port();
	if (behind_proxies) {
		h->link_proxy = proxy_create(h->link_port);
		h->store_proxy = proxy_create(store.port);
	}
	TAILQ_INSERT_TAIL(&lab_hosts, h, entry);
	host_run_daemon(h);
	h->beat_timer = event_new(lab_base, -1, EV_PERSIST, on_beat_timer, h);
	event_add(h->beat_timer, &interval);
	return h;
}

struct host *
host_start(const char *service)
{
	return host_create(service, false);
}

struct host *
host_start_behind_proxies(const char *service)
{
	return host_create(service, true);
}

void
host_kill(struct host *h)
{
	if (h->pid == 0)
		return;
	kill(h->pid, SIGCONT);
	kill(h->pid, SIGKILL);
	waitpid(h->pid, NULL, 0);
	h->pid = 0;
	if (record != NULL)
		lab_record("daemon %s: killed", h->name);
}

void
host_stop(struct host *h)
{
	double end_s = lab_now_s() + GRACE_S;

	lab_record("daemon %s: SIGTERM", h->name);
	kill(h->pid, SIGTERM);
	while (waitpid(h->pid, NULL, WNOHANG) == 0) {
		if (lab_now_s() > end_s) {
			host_kill(h);
			return;
		}
		lab_wait_ms(50);
	}
	h->pid = 0;
	lab_record("daemon %s: ended", h->name);
}

/* Clients. */

static void
on_ready_answer(struct evhttp_request *req, void *arg)
{
	bool *ready = arg;

	*ready = req != NULL && evhttp_request_get_response_code(req) == 200;
}

static bool
host_is_ready(struct host *h)
{
	struct evhttp_connection *conn = evhttp_connection_base_new(
	    lab_base, NULL, IP, (ev_uint16_t)h->ready_port);
	struct evhttp_request *req;
	bool ready = false;

	req = evhttp_request_new(on_ready_answer, &ready);
	evhttp_connection_set_timeout(conn, 1);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", IP);
	evhttp_make_request(conn, req, EVHTTP_REQ_GET, "/api/ready");
	lab_wait_ms(100);
	evhttp_connection_free(conn);
	return ready;
}

void
lab_wait_ready(void)
{
	double end_s = lab_now_s() + READY_TIMEOUT_S;
	struct host *h;

	TAILQ_FOREACH (h, &lab_hosts, entry) {
		while (h->pid != 0 && !host_is_ready(h)) {
			if (lab_now_s() > end_s)
				lab_fail("a daemon is not ready");
		}
	}
	lab_wait_ms(2 * HEARTBEAT_MS);
}

static void
on_answer(struct evhttp_request *req, void *arg)
{
	struct request *r = arg;

	r->answered_s = lab_now_s();
	r->status = req != NULL && evhttp_request_get_response_code(req) != 0
			? evhttp_request_get_response_code(req)
			: -1;
	lab_record("client: %s answered %d", r->id, r->status);
}

struct request *
client_send(
    struct host *h, const char *method, const char *path, const char *key)
{
	struct evhttp_connection *conn = evhttp_connection_base_new(
	    lab_base, NULL, IP, (ev_uint16_t)h->callers_port);
	struct request *r = calloc(1, sizeof(*r));
	struct evhttp_request *req = evhttp_request_new(on_answer, r);
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);
	char text[128];

	snprintf(r->id, sizeof(r->id), "%016" PRIx64, ++nrequests);
	g_strlcpy(r->key, key, sizeof(r->key));
	g_strlcpy(r->method, method, sizeof(r->method));
	r->host = h;
	r->sent_s = lab_now_s();
	TAILQ_INSERT_TAIL(&lab_requests, r, entry);
	evhttp_connection_free_on_completion(conn);
	evhttp_connection_set_timeout(conn, DEADLINE_MS / 1000 + 1);
	evhttp_add_header(out, "Host", AUTHORITY);
	evhttp_add_header(out, "Request-Id", r->id);
	snprintf(text, sizeof(text), "%d", DEADLINE_MS);
	evhttp_add_header(out, "Deadline-Ms", text);
	snprintf(text, sizeof(text), "Bearer %s", key);
	evhttp_add_header(out, "Authorization", text);
	evhttp_add_header(out, "Connection", "close");
	lab_record(
	    "client: %s %s %s key=%s to %s", r->id, method, path, key, h->name);
	evhttp_make_request(conn, req,
	    strcmp(method, "GET") == 0 ? EVHTTP_REQ_GET : EVHTTP_REQ_POST,
	    path);
	return r;
}

void
client_load(struct host **hosts, int nhosts, const char *method,
    const char *path, const char *key, int per_s, int ms)
{
	double begin_s = lab_now_s();
	int i, n = per_s * ms / 1000, wait_ms;

	for (i = 0; i < n; i++) {
		wait_ms =
		    (int)((begin_s + (double)i / per_s - lab_now_s()) * 1000);
		if (wait_ms > 0)
			lab_wait_ms(wait_ms);
		client_send(hosts[i % nhosts], method, path, key);
	}
}

unsigned int
lab_most_in_window(double window_s)
{
	struct request *first, *r;
	unsigned int n, most = 0;
	double end_s;

	TAILQ_FOREACH (first, &lab_requests, entry) {
		if (first->runs == 0)
			continue;
		n = 0;
		end_s = first->sent_s + window_s;
		for (r = first; r != NULL && r->sent_s < end_s;
		     r = TAILQ_NEXT(r, entry))
			n += r->runs > 0 && r->run_s < end_s;
		if (n > most)
			most = n;
	}
	return most;
}
