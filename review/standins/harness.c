#include "review/standins/harness.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define MAX_ROWS 256
#define MAX_RUNS 20000
#define HEARTBEAT_S 1.5 /* as "heartbeat_s" in the settings */
#define SLOTS 352
#define MAX_HEAD 65536
#define SEGMENT_BYTES 1460 /* on links with a set buffer, as on Ethernet */

bool trouble = true;
struct machine machines[MAX_MACHINES];
int nmachines;
int server_receive_buffer;
bool (*serve)(struct machine *, struct peer *, struct request *) = serve_plain;

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static struct timespec start_time;
static const char *folder; /* temporary */
static char program[256]; /* the deploy file's "run" */
static int port_store, port_outbound, port_ready, port_control, port_app,
    port_first, port_last;
static char store_ip[32];

static struct run {
	char id[ID_LEN];
} runs[MAX_RUNS];
static int nruns;
static pthread_mutex_t run_lock = PTHREAD_MUTEX_INITIALIZER;

double
now_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)(t.tv_sec - start_time.tv_sec) +
	       (double)(t.tv_nsec - start_time.tv_nsec) / 1e9;
}

void
sleep_s(double s)
{
	struct timespec t;

	if (s <= 0)
		return;
	t.tv_sec = (time_t)s;
	t.tv_nsec = (long)((s - (double)t.tv_sec) * 1e9);
	while (nanosleep(&t, &t) != 0 && errno == EINTR)
		;
}

void
note(const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&record_lock);
	fprintf(record, "%8.3f ", now_s());
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_lock);
}

static void
kill_daemons(void)
{
	int i;

	for (i = 0; i < nmachines; i++) {
		if (machines[i].pid > 0) {
			kill(machines[i].pid, SIGCONT);
			kill(machines[i].pid, SIGKILL);
			waitpid(machines[i].pid, NULL, 0);
			machines[i].pid = 0;
		}
	}
}

void
fail(const char *fmt, ...)
{
	va_list ap;

	fputs("could not run: ", stderr);
	va_start(ap, fmt);
	vfprintf(stderr, fmt, ap);
	va_end(ap);
	fputc('\n', stderr);
	if (record != NULL)
		note("could not run, see the standard error");
	kill_daemons();
	_exit(2);
}

void
harness_finish(bool broken)
{
	note("result: the rule %s", broken ? "was broken" : "held");
	printf("%s\n", broken ? "broken" : "held");
	fflush(stdout);
	kill_daemons();
	_exit(broken ? 1 : 0);
}

static void
on_signal(int sig)
{
	(void)sig;
	kill_daemons();
	_exit(2);
}

/* Usage: case PROGRAM FOLDER RECORD; the environment may hold TROUBLE=0. */
void
harness_init(int argc, char **argv)
{
	const char *t = getenv("TROUBLE");

	if (argc != 4) {
		fprintf(stderr, "usage: %s PROGRAM FOLDER RECORD\n", argv[0]);
		_exit(2);
	}
	clock_gettime(CLOCK_MONOTONIC, &start_time);
	snprintf(program, sizeof(program), "%s", argv[1]);
	folder = argv[2];
	record = fopen(argv[3], "w");
	if (record == NULL)
		fail("%s: %s", argv[3], strerror(errno));
	trouble = t == NULL || strcmp(t, "0") != 0;
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	signal(SIGALRM, on_signal);
	alarm(115);
	note("trouble=%d", trouble);
}

/* Sockets. */

static struct sockaddr_in
address(const char *ip, int port)
{
	struct sockaddr_in sin;

	memset(&sin, 0, sizeof(sin));
	sin.sin_family = AF_INET;
	sin.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip, &sin.sin_addr);
	return sin;
}

static int
try_bind(const char *ip, int port)
{
	struct sockaddr_in sin = address(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
		return fd;
	close(fd);
	return -1;
}

static int
listen_at(const char *ip, int port)
{
	int fd = try_bind(ip, port), segment = SEGMENT_BYTES;

	if (fd >= 0 && port == port_app && server_receive_buffer > 0) {
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &server_receive_buffer,
		    sizeof(server_receive_buffer));
		setsockopt(
		    fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
	}
	if (fd < 0 || listen(fd, 1024) != 0)
		fail("%s:%d: %s", ip, port, strerror(errno));
	return fd;
}

static int
connect_to(const char *ip, int port, int receive_buffer)
{
	struct sockaddr_in sin = address(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
	int segment = SEGMENT_BYTES;

	if (receive_buffer > 0) {
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
		    sizeof(receive_buffer));
		setsockopt(
		    fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
		return fd;
	close(fd);
	return -1;
}

bool
send_all(int fd, const void *data, size_t len)
{
	const char *p = data;
	ssize_t n;

	while (len > 0) {
		n = send(fd, p, len, MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		p += n;
		len -= (size_t)n;
	}
	return true;
}

struct peer
peer_of(int fd)
{
	struct peer p = {fd, NULL, 0, 0};

	return p;
}

void
peer_close(struct peer *p)
{
	if (p->fd >= 0)
		close(p->fd);
	free(p->buf);
	p->fd = -1;
	p->buf = NULL;
	p->len = p->cap = 0;
}

/* Read more; 1: some bytes, 0: end, -1: time-out. */
static int
peer_fill(struct peer *p, double until_s, size_t most)
{
	struct pollfd pfd = {p->fd, POLLIN, 0};
	double left = until_s - now_s();
	ssize_t n;

	if (left <= 0)
		return -1;
	if (poll(&pfd, 1, (int)(left * 1000) + 1) <= 0)
		return -1;
	if (p->cap - p->len < most) {
		p->cap = p->len + most + 4096;
		p->buf = realloc(p->buf, p->cap);
		if (p->buf == NULL)
			fail("out of memory");
	}
	n = recv(p->fd, p->buf + p->len, most, 0);
	if (n <= 0)
		return 0;
	p->len += (size_t)n;
	return 1;
}

static void
peer_use(struct peer *p, size_t n)
{
	memmove(p->buf, p->buf + n, p->len - n);
	p->len -= n;
}

/* The length of the head, with its empty line, or 0. */
static size_t
head_length(const struct peer *p)
{
	const char *end =
	    p->len >= 4 ? memmem(p->buf, p->len, "\r\n\r\n", 4) : NULL;

	return end != NULL ? (size_t)(end - p->buf) + 4 : 0;
}

/* Copy the value of a header; false if it is absent. */
static bool
header(const char *head, size_t len, const char *name, char *out, size_t max)
{
	const char *p = head, *end = head + len, *eol;
	size_t n = strlen(name), value;

	while (p < end && (eol = memmem(p, end - p, "\r\n", 2)) != NULL) {
		if ((size_t)(eol - p) > n && strncasecmp(p, name, n) == 0 &&
		    p[n] == ':') {
			p += n + 1;
			while (p < eol && *p == ' ')
				p++;
			value = (size_t)(eol - p);
			if (value >= max)
				value = max - 1;
			memcpy(out, p, value);
			out[value] = '\0';
			return true;
		}
		p = eol + 2;
	}
	return false;
}

static void
start_thread(void *(*run)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t t;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	if (pthread_create(&t, &attr, run, arg) != 0)
		fail("no thread");
	pthread_attr_destroy(&attr);
}

/* The platform's store. */

static struct row {
	char table[201], part[201], key[201];
	char *value; /* base64; NULL: removed */
	uint64_t ver;
} rows[MAX_ROWS];
static int nrows;
static uint64_t newest;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;

static struct row *
row_find(const char *table, const char *part, const char *key, bool create)
{
	struct row *r;
	int i;

	for (i = 0; i < nrows; i++) {
		r = &rows[i];
		if (strcmp(r->table, table) == 0 &&
		    strcmp(r->part, part) == 0 && strcmp(r->key, key) == 0)
			return r;
	}
	if (!create)
		return NULL;
	if (nrows == MAX_ROWS)
		fail("too many rows");
	r = &rows[nrows++];
	snprintf(r->table, sizeof(r->table), "%s", table);
	snprintf(r->part, sizeof(r->part), "%s", part);
	snprintf(r->key, sizeof(r->key), "%s", key);
	return r;
}

void
store_put_manifest(const char *text)
{
	gchar *value = g_base64_encode((const guchar *)text, strlen(text));
	struct row *r;

	pthread_mutex_lock(&store_lock);
	r = row_find("op", "", "config", true);
	free(r->value);
	r->value = strdup(value);
	r->ver = ++newest;
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
	g_free(value);
	note("operator: manifest acknowledged");
}

static json_t *
row_json(const struct row *r)
{
	json_t *o = json_pack("{s:s, s:s, s:s, s:I}", "table", r->table, "part",
	    r->part, "key", r->key, "ver", (json_int_t)r->ver);

	if (r->value != NULL)
		json_object_set_new(o, "value", json_string(r->value));
	else
		json_object_set_new(o, "tombstone", json_true());
	return o;
}

static const char *
text_of(const json_t *o, const char *name)
{
	const char *s = json_string_value(json_object_get(o, name));

	return s != NULL ? s : "";
}

static struct row *
row_named(const json_t *o, bool create)
{
	return row_find(
	    text_of(o, "table"), text_of(o, "part"), text_of(o, "key"), create);
}

/* Returns the status; *out is the answer's body. */
static int
store_transaction(const char *body, size_t len, json_t **out)
{
	json_t *tx = json_loadb(body, len, 0, NULL), *o;
	json_t *found = json_array();
	struct row *r;
	bool holds = true;
	size_t i;

	pthread_mutex_lock(&store_lock);
	json_array_foreach(json_object_get(tx, "precondition"), i, o)
	{
		r = row_named(o, false);
		if ((json_int_t)(r != NULL && r->value != NULL ? r->ver : 0) !=
		    json_integer_value(json_object_get(o, "ver")))
			holds = false;
		if (r != NULL && r->value != NULL)
			json_array_append_new(found, row_json(r));
	}
	if (holds) {
		newest++;
		json_array_foreach(json_object_get(tx, "puts"), i, o)
		{
			r = row_named(o, true);
			free(r->value);
			r->value = strdup(text_of(o, "value"));
			r->ver = newest;
		}
		json_array_foreach(json_object_get(tx, "remove"), i, o)
		{
			r = row_named(o, false);
			if (r == NULL || r->value == NULL)
				continue;
			free(r->value);
			r->value = NULL;
			r->ver = newest;
		}
		pthread_cond_broadcast(&store_changed);
	}
	*out = json_pack(
	    "{s:I, s:f}", "ver", (json_int_t)newest, "now_s", now_s());
	pthread_mutex_unlock(&store_lock);
	if (!holds)
		json_object_set(*out, "rows", found);
	json_decref(found);
	json_decref(tx);
	return holds ? 200 : 412;
}

/* Copy a query parameter, decoded; "" if it is absent. */
static void
param(const char *path, const char *name, char *out, size_t max)
{
	const char *p = strchr(path, '?');
	size_t n = strlen(name), len = 0;
	char hex[3] = "";

	out[0] = '\0';
	while (p != NULL) {
		p++;
		if (strncmp(p, name, n) == 0 && p[n] == '=')
			break;
		p = strchr(p, '&');
	}
	if (p == NULL)
		return;
	for (p += n + 1; *p != '\0' && *p != '&' && len + 1 < max; p++) {
		if (*p == '%' && p[1] != '\0' && p[2] != '\0') {
			hex[0] = p[1];
			hex[1] = p[2];
			out[len++] = (char)strtol(hex, NULL, 16);
			p += 2;
		} else {
			out[len++] = *p;
		}
	}
	out[len] = '\0';
}

static int
compare_rows(const void *a, const void *b)
{
	return strcmp(
	    (*(struct row *const *)a)->key, (*(struct row *const *)b)->key);
}

static json_t *
store_get(const char *path)
{
	char table[201], part[201], from[201], to[201], limit[24];
	struct row *found[MAX_ROWS], *r;
	json_t *list = json_array(), *out;
	int i, n = 0, most;

	param(path, "table", table, sizeof(table));
	param(path, "part", part, sizeof(part));
	param(path, "from", from, sizeof(from));
	param(path, "to", to, sizeof(to));
	param(path, "limit", limit, sizeof(limit));
	most = limit[0] != '\0' ? atoi(limit) : 500;
	pthread_mutex_lock(&store_lock);
	for (i = 0; i < nrows; i++) {
		r = &rows[i];
		if (r->value != NULL && strcmp(r->table, table) == 0 &&
		    strcmp(r->part, part) == 0 && strcmp(r->key, from) >= 0 &&
		    (to[0] == '\0' || strcmp(r->key, to) < 0))
			found[n++] = r;
	}
	qsort(found, (size_t)n, sizeof(found[0]), compare_rows);
	for (i = 0; i < n && i < most; i++)
		json_array_append_new(list, row_json(found[i]));
	out = json_pack("{s:o, s:b, s:I, s:f}", "rows", list, "has_more",
	    n > most, "ver", (json_int_t)newest, "now_s", now_s());
	pthread_mutex_unlock(&store_lock);
	return out;
}

static json_t *
store_feed(const char *path)
{
	char table[201], after_text[24], wait_text[24];
	struct timespec until;
	json_t *list, *out;
	uint64_t after;
	long wait_ms;
	int i;

	param(path, "table", table, sizeof(table));
	param(path, "after", after_text, sizeof(after_text));
	param(path, "wait_ms", wait_text, sizeof(wait_text));
	after = strtoull(after_text, NULL, 10);
	wait_ms = strtol(wait_text, NULL, 10);
	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += wait_ms / 1000;
	until.tv_nsec += wait_ms % 1000 * 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_nsec -= 1000000000;
		until.tv_sec++;
	}
	pthread_mutex_lock(&store_lock);
	for (;;) {
		list = json_array();
		for (i = 0; i < nrows; i++) {
			if (strcmp(rows[i].table, table) == 0 &&
			    rows[i].ver > after)
				json_array_append_new(list, row_json(&rows[i]));
		}
		if (json_array_size(list) > 0 ||
		    pthread_cond_timedwait(
			&store_changed, &store_lock, &until) != 0)
			break;
		json_decref(list);
	}
	out = json_pack("{s:o, s:I, s:f}", "rows", list, "ver",
	    (json_int_t)newest, "now_s", now_s());
	pthread_mutex_unlock(&store_lock);
	return out;
}

static bool
read_head(struct peer *p, struct request *r, double until_s)
{
	char line[512], text[64];
	size_t len;

	memset(r, 0, sizeof(*r));
	while ((len = head_length(p)) == 0) {
		if (p->len > MAX_HEAD || peer_fill(p, until_s, 4096) != 1)
			return false;
	}
	snprintf(line, sizeof(line), "%.*s",
	    (int)(len < sizeof(line) ? len : sizeof(line) - 1), p->buf);
	if (sscanf(line, "%15s %255s", r->method, r->path) != 2)
		return false;
	header(p->buf, len, "Request-Id", r->id, sizeof(r->id));
	header(p->buf, len, "Target-Instance", r->target_instance,
	    sizeof(r->target_instance));
	header(p->buf, len, "Tenant-Id", r->tenant, sizeof(r->tenant));
	r->deadline_ms = -1;
	if (header(p->buf, len, "Deadline-Ms", text, sizeof(text)))
		r->deadline_ms = strtol(text, NULL, 10);
	if (header(p->buf, len, "Content-Length", text, sizeof(text)))
		r->length = strtol(text, NULL, 10);
	peer_use(p, len);
	return true;
}

bool
read_body(struct peer *p, struct request *r)
{
	if (r->body == NULL)
		r->body = malloc((size_t)r->length + 1);
	while (r->body_read < r->length) {
		size_t n;

		if (p->len == 0 && peer_fill(p, now_s() + 30, 65536) != 1)
			return false;
		n = p->len;
		if (n > (size_t)(r->length - r->body_read))
			n = (size_t)(r->length - r->body_read);
		memcpy(r->body + r->body_read, p->buf, n);
		r->body_read += (long)n;
		peer_use(p, n);
	}
	return true;
}

static void *
store_connection(void *arg)
{
	struct peer p = peer_of((int)(intptr_t)arg);
	struct request r;
	json_t *out;
	char head[256];
	char *text;
	int status, len;

	while (read_head(&p, &r, now_s() + 60) && read_body(&p, &r)) {
		status = 200;
		if (strncmp(r.path, "/api/rows-tx", 12) == 0)
			status =
			    store_transaction(r.body, (size_t)r.length, &out);
		else if (strncmp(r.path, "/api/rows-feed", 14) == 0)
			out = store_feed(r.path);
		else
			out = store_get(r.path);
		sleep_s(0.004);
		text = json_dumps(out, JSON_COMPACT);
		len = snprintf(head, sizeof(head),
		    "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
		    "Content-Length: %zu\r\n\r\n",
		    status, status == 200 ? "OK" : "Precondition Failed",
		    strlen(text));
		if (!send_all(p.fd, head, (size_t)len) ||
		    !send_all(p.fd, text, strlen(text)))
			break;
		free(text);
		json_decref(out);
		free(r.body);
	}
	peer_close(&p);
	return NULL;
}

static void *
accept_store(void *arg)
{
	int fd = (int)(intptr_t)arg, c;

	while ((c = accept4(fd, NULL, NULL, SOCK_CLOEXEC)) >= 0)
		start_thread(store_connection, (void *)(intptr_t)c);
	return NULL;
}

/* Servers. */

int
runs_of(const char *id)
{
	int i, n = 0;

	pthread_mutex_lock(&run_lock);
	for (i = 0; i < nruns; i++)
		n += strcmp(runs[i].id, id) == 0;
	pthread_mutex_unlock(&run_lock);
	return n;
}

void
note_run(struct machine *m, const struct request *r)
{
	pthread_mutex_lock(&run_lock);
	if (nruns < MAX_RUNS)
		snprintf(runs[nruns++].id, ID_LEN, "%s", r->id);
	pthread_mutex_unlock(&run_lock);
	note("server %s runs %s, tenant '%s'", m->instance, r->id, r->tenant);
}

static bool
send_head_421(struct machine *m, struct peer *p, const struct request *r)
{
	char text[512];
	int len = snprintf(text, sizeof(text),
	    "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\n"
	    "Instance-Id: %s\r\nContent-Length: 0\r\n\r\n",
	    r->id, m->instance);

	return send_all(p->fd, text, (size_t)len);
}

bool
serve_plain(struct machine *m, struct peer *p, struct request *r)
{
	char head[512], first[128];
	size_t size;
	char *body;
	int len;
	bool ok;

	if (!read_body(p, r))
		return false;
	note_run(m, r);
	sleep_s((double)m->work_ms / 1000);
	len = snprintf(first, sizeof(first), "answer to %s\n", r->id);
	size = m->answer_bytes > (size_t)len ? m->answer_bytes : (size_t)len;
	body = malloc(size);
	memset(body, 'x', size);
	memcpy(body, first, (size_t)len);
	len = snprintf(head, sizeof(head),
	    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
	    "Response-Signature: signed-%s\r\nServer-Load: 1,0,%d\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    r->id, r->id, SLOTS, size);
	ok = send_all(p->fd, head, (size_t)len) && send_all(p->fd, body, size);
	free(body);
	if (!ok)
		note("server %s could not answer %s", m->instance, r->id);
	return ok;
}

struct accepted {
	struct machine *machine;
	int fd;
};

static void *
server_connection(void *arg)
{
	struct accepted *a = arg;
	struct peer p = peer_of(a->fd);
	struct request r;
	bool keep = true;

	while (keep && read_head(&p, &r, now_s() + 60)) {
		if (r.target_instance[0] != '\0' &&
		    strcmp(r.target_instance, a->machine->instance) != 0)
			keep = read_body(&p, &r) &&
			       send_head_421(a->machine, &p, &r);
		else
			keep = serve(a->machine, &p, &r);
		free(r.body);
	}
	peer_close(&p);
	free(a);
	return NULL;
}

static void *
accept_server(void *arg)
{
	struct accepted *l = arg, *a;
	int c;

	while ((c = accept4(l->fd, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		a = malloc(sizeof(*a));
		a->machine = l->machine;
		a->fd = c;
		start_thread(server_connection, a);
	}
	return NULL;
}

static bool
call_control(struct machine *m, const char *method, const char *body)
{
	int fd = connect_to(m->ip, port_control, 0);
	struct peer p = peer_of(fd);
	struct answer a;
	char head[512];
	int len;
	bool ok;

	if (fd < 0)
		return false;
	len = snprintf(head, sizeof(head),
	    "%s /api/instances/%s HTTP/1.1\r\nHost: %s:%d\r\n"
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
	    method, m->instance, m->ip, port_control, strlen(body));
	send_all(fd, head, (size_t)len);
	send_all(fd, body, strlen(body));
	client_read(&p, &a, 1, 0);
	ok = a.complete && a.status / 100 == 2;
	answer_release(&a);
	peer_close(&p);
	return ok;
}

bool
send_heartbeat(struct machine *m, const char *state, long seq)
{
	char body[512];

	snprintf(body, sizeof(body),
	    "{\"upstream\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"zone-a\","
	    "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
	    "\"warmup_left_s\":0,\"seq\":%ld,\"born\":%lld}",
	    m->service, m->ip, port_app, SLOTS, state, seq, m->born_ms);
	return call_control(m, "PUT", body);
}

bool
send_leave(struct machine *m)
{
	char body[64];

	snprintf(body, sizeof(body), "{\"born\":%lld}", m->born_ms);
	return call_control(m, "DELETE", body);
}

static void *
heartbeats(void *arg)
{
	struct machine *m = arg;
	bool ok;

	for (;;) {
		ok = !m->beats ||
		     send_heartbeat(
			 m, m->draining ? "draining" : "ready", ++m->seq);
		sleep_s(ok ? HEARTBEAT_S : 0.2);
	}
	return NULL;
}

/* Daemons. */

static char *
replace(char *text, const char *what, const char *with)
{
	GString *s = g_string_new(NULL);
	char *p = text, *at;

	while ((at = strstr(p, what)) != NULL) {
		g_string_append_len(s, p, at - p);
		g_string_append(s, with);
		p = at + strlen(what);
	}
	g_string_append(s, p);
	g_free(text);
	return g_string_free(s, FALSE);
}

static char *
replace_address(char *text, const char *what, const char *ip, int port)
{
	char at[64];

	snprintf(at, sizeof(at), "%s:%d", ip, port);
	return replace(text, what, at);
}

/* Fill in the template of the deploy file for a machine. */
static void
write_settings(struct machine *m)
{
	char port[16];
	gchar *text;

	if (!g_file_get_contents("deploy/daemon.ini", &text, NULL, NULL))
		fail("deploy/daemon.ini cannot be read");
	text = replace(
	    text, "{{#zones}}{{@}} = {{.}}\n{{/zones}}", "zone-a = region-r\n");
	text = replace(text, "{{zone}}", "zone-a");
	text = replace(text, "{{region}}", "region-r");
	text = replace(text, "{{upstream}}", m->service);
	text = replace(text, "{{ip}}", m->ip);
	snprintf(port, sizeof(port), "%d", port_first);
	text = replace(text, "{{port_range.0}}", port);
	snprintf(port, sizeof(port), "%d", port_last);
	text = replace(text, "{{port_range.1}}", port);
	text =
	    replace_address(text, "{{listen.outbound}}", m->ip, port_outbound);
	text = replace_address(text, "{{listen.control}}", m->ip, port_control);
	text = replace_address(text, "{{listen.ready}}", m->ip, port_ready);
	text = replace_address(text, "{{app}}", m->ip, port_app);
	text =
	    replace_address(text, "{{provider.address}}", store_ip, port_store);
	text = replace(text, "{{bounds.revoke_s}}", "5");
	text = replace(text, "{{bounds.grace_s}}", "6");
	if (strstr(text, "{{") != NULL)
		fail("the template has an unknown field: %s",
		    strstr(text, "{{"));
	snprintf(
	    m->settings, sizeof(m->settings), "%s/boot-%d", folder, m->number);
	if (!g_file_set_contents(m->settings, text, -1, NULL))
		fail("%s cannot be written", m->settings);
	g_free(text);
}

void
daemon_start(struct machine *m)
{
	char log[600];
	pid_t pid;
	int fd;

	snprintf(log, sizeof(log), "%s/log-%d", folder, m->number);
	pid = fork();
	if (pid < 0)
		fail("fork: %s", strerror(errno));
	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
		dup2(fd, 1);
		dup2(fd, 2);
		setenv("CRANBERRYWAY_BOOT", m->settings, 1);
		execl(program, program, (char *)NULL);
		_exit(127);
	}
	m->pid = pid;
	note("daemon of machine %d (%s) starts", m->number, m->service);
}

void
daemon_signal(struct machine *m, int sig)
{
	note("daemon of machine %d gets signal %d (%s)", m->number, sig,
	    strsignal(sig));
	kill(m->pid, sig);
}

bool
daemon_has_ended(struct machine *m)
{
	if (m->pid > 0 && waitpid(m->pid, NULL, WNOHANG) == m->pid) {
		note("daemon of machine %d has ended", m->number);
		m->pid = 0;
	}
	return m->pid == 0;
}

void
daemon_kill(struct machine *m)
{
	daemon_signal(m, SIGKILL);
	waitpid(m->pid, NULL, 0);
	m->pid = 0;
}

static bool
is_ready(struct machine *m)
{
	static const char text[] =
	    "GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
	int fd = connect_to(m->ip, port_ready, 0);
	struct peer p = peer_of(fd);
	struct answer a;
	bool ok;

	if (fd < 0)
		return false;
	send_all(fd, text, sizeof(text) - 1);
	client_read(&p, &a, 1, 0);
	ok = a.status == 200;
	answer_release(&a);
	peer_close(&p);
	return ok;
}

void
daemon_wait_ready(struct machine *m, double most_s)
{
	double until_s = now_s() + most_s;

	while (!is_ready(m)) {
		if (now_s() > until_s)
			fail("machine %d is not ready", m->number);
		sleep_s(0.02);
	}
	note("machine %d is ready", m->number);
}

struct machine *
machine_add(const char *service)
{
	struct machine *m = &machines[nmachines];
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	m->number = ++nmachines;
	m->service = service;
	m->born_ms = (long long)t.tv_sec * 1000 + t.tv_nsec / 1000000;
	m->beats = true;
	m->work_ms = 5;
	snprintf(
	    m->instance, sizeof(m->instance), "i-%s-%d", service, m->number);
	return m;
}

/* Choose loopback addresses by our process id, and ports that are free. */
static void
choose_addresses(void)
{
	int offsets[] = {0, 1, 2, 3, 4, 5, 6}, base, i, k, fd;
	unsigned int a = (unsigned int)getpid();
	bool is_free;

	snprintf(store_ip, sizeof(store_ip), "127.%u.%u.200", 32 + a / 250 % 64,
	    a % 250 + 1);
	for (i = 0; i < nmachines; i++)
		snprintf(machines[i].ip, sizeof(machines[i].ip), "127.%u.%u.%d",
		    32 + a / 250 % 64, a % 250 + 1, machines[i].number);
	for (base = 18000; base < 30000; base += 16) {
		is_free = true;
		for (k = 0; k < 7 && is_free; k++) {
			for (i = 0; i <= nmachines && is_free; i++) {
				fd = try_bind(
				    i < nmachines ? machines[i].ip : store_ip,
				    base + offsets[k]);
				is_free = fd >= 0;
				if (is_free)
					close(fd);
			}
		}
		if (is_free)
			break;
	}
	port_first = base;
	port_last = base + 1;
	port_outbound = base + 2;
	port_ready = base + 3;
	port_control = base + 4;
	port_app = base + 5;
	port_store = base + 6;
}

void
harness_start(const char *manifest)
{
	struct accepted *l;
	int i;

	choose_addresses();
	store_put_manifest(manifest);
	start_thread(
	    accept_store, (void *)(intptr_t)listen_at(store_ip, port_store));
	for (i = 0; i < nmachines; i++) {
		l = malloc(sizeof(*l));
		l->machine = &machines[i];
		l->fd = listen_at(machines[i].ip, port_app);
		start_thread(accept_server, l);
		write_settings(&machines[i]);
		daemon_start(&machines[i]);
		start_thread(heartbeats, &machines[i]);
	}
	for (i = 0; i < nmachines; i++)
		daemon_wait_ready(&machines[i], 10);
}

/* Clients. */

int
client_connect(struct machine *m, int receive_buffer)
{
	return connect_to(m->ip, port_outbound, receive_buffer);
}

void
client_send(int fd, const char *method, const char *path, const char *id,
    const char *key, long deadline_ms, const char *body, size_t len)
{
	char head[1024];
	int n = snprintf(head, sizeof(head),
	    "%s %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\n"
	    "Deadline-Ms: %ld\r\n",
	    method, path, id, deadline_ms);

	if (key != NULL)
		n += snprintf(head + n, sizeof(head) - (size_t)n,
		    "Authorization: Bearer %s\r\n", key);
	if (len > 0 || strcmp(method, "POST") == 0)
		n += snprintf(head + n, sizeof(head) - (size_t)n,
		    "Content-Length: %zu\r\n", len);
	n += snprintf(head + n, sizeof(head) - (size_t)n, "\r\n");
	send_all(fd, head, (size_t)n);
	if (len > 0)
		send_all(fd, body, len);
}

void
client_read(
    struct peer *p, struct answer *a, double timeout_s, long bytes_per_s)
{
	double started_s = now_s(), until_s = started_s + timeout_s;
	size_t len, step = bytes_per_s > 0 ? 4096 : 65536;
	char text[64];
	int got = 1;

	memset(a, 0, sizeof(*a));
	while ((len = head_length(p)) == 0) {
		if ((got = peer_fill(
			 p, until_s, bytes_per_s > 0 ? 2048 : 65536)) != 1)
			break;
	}
	a->timed_out = got < 0;
	if (len == 0)
		return;
	a->status = len > 12 ? atoi(p->buf + 9) : 0;
	header(p->buf, len, "Request-Id", a->id, sizeof(a->id));
	header(p->buf, len, "Response-Signature", a->signature,
	    sizeof(a->signature));
	a->closes = header(p->buf, len, "Connection", text, sizeof(text)) &&
		    strcasecmp(text, "close") == 0;
	if (header(p->buf, len, "Content-Length", text, sizeof(text)))
		a->length = strtol(text, NULL, 10);
	peer_use(p, len);
	a->body = malloc((size_t)a->length + 1);
	while (a->body_read < a->length) {
		size_t n;

		if (p->len == 0) {
			while (bytes_per_s > 0 &&
			       (double)a->body_read >
				   (now_s() - started_s) * (double)bytes_per_s)
				sleep_s(0.002);
			got = peer_fill(p, until_s, step);
			if (got != 1)
				break;
		}
		n = p->len;
		if (n > (size_t)(a->length - a->body_read))
			n = (size_t)(a->length - a->body_read);
		memcpy(a->body + a->body_read, p->buf, n);
		a->body_read += (long)n;
		peer_use(p, n);
	}
	a->timed_out = got < 0;
	a->complete = a->body_read == a->length;
}

bool
is_answer_to(const struct answer *a, const char *id)
{
	char first[128];
	int len = snprintf(first, sizeof(first), "answer to %s\n", id);

	return a->body_read >= len && memcmp(a->body, first, (size_t)len) == 0;
}

void
answer_release(struct answer *a)
{
	free(a->body);
	a->body = NULL;
}

void
client_call(struct machine *m, struct answer *a, const char *method,
    const char *path, const char *id, const char *key, long deadline_ms)
{
	struct peer p = peer_of(client_connect(m, 0));

	memset(a, 0, sizeof(*a));
	if (p.fd < 0)
		return;
	client_send(p.fd, method, path, id, key, deadline_ms, NULL, 0);
	client_read(&p, a, (double)deadline_ms / 1000 + 1, 0);
	peer_close(&p);
}

void
client_wait_served(
    struct machine *m, const char *path, const char *key, double most_s)
{
	double until_s = now_s() + most_s;
	struct answer a;
	char id[ID_LEN];
	int status, n = 0;

	do {
		snprintf(id, sizeof(id), "first-%d-%d", m->number, n++);
		client_call(m, &a, "GET", path, id, key, 2000);
		status = a.status;
		answer_release(&a);
		if (status != 200)
			sleep_s(0.1);
	} while (status != 200 && now_s() < until_s);
	if (status != 200)
		fail("machine %d does not serve %s: %d", m->number, path,
		    status);
}

char *
manifest_make(const char *first_key, double timeout_s)
{
	json_t *list = json_array(), *spec;
	static int version = 6;
	bool seen;
	char *text, name[64], path[64];
	int i, k, kind;

	for (i = 0; i < nmachines; i++) {
		seen = false;
		for (k = 0; k < i; k++)
			seen = seen || strcmp(machines[k].service,
					   machines[i].service) == 0;
		if (seen)
			continue;
		json_array_append_new(list,
		    json_pack("{s:s, s:{s:s}, s:{s:s, s:i, s:s, s:b}}",
			"entry_type", "upstreams", "metadata", "name",
			machines[i].service, "spec", "health_path", "/healthz",
			"max_conns", 1684, "protocol", "h1", "tls", 0));
		for (kind = 0; kind < 2; kind++) {
			snprintf(name, sizeof(name), "r-%s-%d",
			    machines[i].service, kind);
			snprintf(path, sizeof(path), "/%s/%s/",
			    machines[i].service, kind ? "book" : "look");
			spec = json_pack("{s:s, s:s, s:s, s:f, s:f, s:i, s:s, "
					 "s:i, s:b}",
			    "authority", "shop.example", "path_prefix", path,
			    "route_type", kind ? "unsafe" : "safe", "timeout_s",
			    timeout_s, "target_latency_s", 1.5, "priority",
			    kind ? 0 : 2, "upstream", machines[i].service,
			    "max_attempts", 2, "public", 0);
			json_array_append_new(
			    list, json_pack("{s:s, s:{s:s}, s:o}", "entry_type",
				      "routes", "metadata", "name", name,
				      "spec", spec));
		}
	}
	if (first_key != NULL)
		json_array_append_new(
		    list, json_pack("{s:s, s:{s:s}, s:{s:[s], s:i, s:i, s:i}}",
			      "entry_type", "tenants", "metadata", "name",
			      "alpha", "spec", "api_keys", first_key,
			      "priority", 1, "rate_per_s", 0, "burst", 0));
	json_array_append_new(
	    list, json_pack("{s:s, s:{s:s}, s:{s:[s], s:i, s:i, s:i}}",
		      "entry_type", "tenants", "metadata", "name", "beta",
		      "spec", "api_keys", "key-of-beta-0000001", "priority", 1,
		      "rate_per_s", 0, "burst", 0));
	json_array_append_new(
	    list, json_pack("{s:s, s:{}, s:{s:i, s:i, s:i, s:i}}", "entry_type",
		      "limits", "metadata", "spec", "max_header_bytes", 16384,
		      "max_body_bytes", 67108864, "header_timeout_s", 3,
		      "idle_timeout_s", 15));
	list = json_pack("{s:i, s:o}", "version", ++version, "resources", list);
	text = json_dumps(list, JSON_COMPACT);
	json_decref(list);
	return text;
}
