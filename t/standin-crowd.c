/*
 * standin-crowd - a crowd of clients that do not behave
 *
 * Opens --count connections to --port and does the same on each of them, as
 * --mode says:
 *
 *	stop		sends a body of --bytes in chunks of --chunk bytes, all
 *			but the last byte, and stays
 *	whole		sends such a body to its end, and reads the response
 *	announce	sends a head with Content-Length: --bytes, and no body
 *	endless		sends a body in chunks of --chunk bytes without end
 *	unread		sends --requests requests at once and reads nothing
 *	pipeline	does so, and goes on with bodies of --bytes without end
 *	silent		sends the start of a head, and stays
 *
 * A connection is opened every --pace-ms, or all are at once.  One that the
 * daemon closes is opened again, until --total have been.  Once nothing has
 * moved for a second the crowd prints "settled".  It stays until SIGTERM or
 * for --ms, or until no connection is left.  It then prints "status STATUS
 * COUNT" lines, with status 0 for connections that ended without a response.
 */
#include <errno.h>
#include <event2/event.h>
#include <fcntl.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "t/standin.h"

#define MAX_CHUNK_BYTES 65536
#define CHUNK_LINE_BYTES 16 /* room for a chunk's size line and its end */
#define PACKED_BYTES 65536 /* as many chunks as fit go into one write */
#define UNREAD_BUFFER_BYTES 4096 /* so that little hides in the kernel */
#define RESPONSE_BYTES 512 /* kept of a response: its status line */
#define SETTLED_US 1000000
#define MAX_STATUS 600

struct client {
	struct crowd *crowd;
	struct event *event;
	int fd;
	char *out; /* bytes to send next */
	size_t out_len, out_sent, out_cap;
	uint64_t body_sent; /* of the body, as far as put into out */
	bool ended; /* nothing is left to send */
	char response[RESPONSE_BYTES];
	size_t response_len;
};

/* What a mode does; fill puts the next bytes to send into c->out. */
struct mode {
	const char *name;
	void (*start)(struct client *);
	void (*fill)(struct client *);
	bool reads;
};

struct crowd {
	struct event_base *base;
	const struct mode *mode;
	int open, opened;
	uint64_t last_move_us;
	bool settled;
	unsigned int statuses[MAX_STATUS];
};

static gint port = 17011, count = 100, total, chunk = MAX_CHUNK_BYTES,
	    requests = 1, pace_ms, duration_ms = 60000;
static gint64 bytes = 1000000;
static gchar *mode_name = "stop", *path = "/", *key = "key", *host = STANDIN_IP;

static void client_open(struct crowd *);

static void
append(struct client *c, const char *data, size_t len)
{
	if (c->out_len + len > c->out_cap) {
		c->out_cap = 2 * (c->out_len + len);
		c->out = g_realloc(c->out, c->out_cap);
	}
	memcpy(c->out + c->out_len, data, len);
	c->out_len += len;
}

static void
append_head(struct client *c, const char *method, const char *framing)
{
	gchar *head = g_strdup_printf("%s %s HTTP/1.1\r\nHost: %s\r\n"
				      "Authorization: Bearer %s\r\n%s\r\n",
	    method, path, host, key, framing);

	append(c, head, strlen(head));
	g_free(head);
}

static void
start_chunked(struct client *c)
{
	append_head(c, "POST", "Transfer-Encoding: chunked\r\n");
}

static void
append_chunk(struct client *c, size_t len)
{
	static const char body[MAX_CHUNK_BYTES];
	char line[CHUNK_LINE_BYTES];

	snprintf(line, sizeof(line), "%zx\r\n", len);
	append(c, line, strlen(line));
	append(c, body, len);
	append(c, "\r\n", 2);
	c->body_sent += len;
}

static size_t
next_chunk(const struct client *c)
{
	uint64_t left = (uint64_t)bytes - c->body_sent;

	return left < (uint64_t)chunk ? (size_t)left : (size_t)chunk;
}

/* All but the last byte of the last chunk. */
static void
fill_stop(struct client *c)
{
	while (c->out_len < PACKED_BYTES && c->body_sent < (uint64_t)bytes)
		append_chunk(c, next_chunk(c));
	if (c->body_sent == (uint64_t)bytes) {
		c->out_len -= 3; /* the last byte and the chunk's end */
		c->ended = true;
	}
}

static void
fill_whole(struct client *c)
{
	while (c->out_len < PACKED_BYTES && c->body_sent < (uint64_t)bytes)
		append_chunk(c, next_chunk(c));
	if (c->body_sent == (uint64_t)bytes) {
		append(c, "0\r\n\r\n", 5);
		c->ended = true;
	}
}

static void
fill_endless(struct client *c)
{
	while (c->out_len < PACKED_BYTES)
		append_chunk(c, (size_t)chunk);
}

/* Requests with a body of zero bytes, one after the other. */
static void
fill_pipeline(struct client *c)
{
	static const char body[MAX_CHUNK_BYTES];
	gchar *length =
	    g_strdup_printf("Content-Length: %" PRId64 "\r\n", bytes);
	uint64_t sent;

	append_head(c, "POST", length);
	for (sent = 0; sent < (uint64_t)bytes; sent += sizeof(body))
		append(c, body, MIN(sizeof(body), (uint64_t)bytes - sent));
	g_free(length);
}

static void
fill_nothing(struct client *c)
{
	c->ended = true;
}

static void
start_announce(struct client *c)
{
	gchar *length =
	    g_strdup_printf("Content-Length: %" PRId64 "\r\n", bytes);

	append_head(c, "POST", length);
	g_free(length);
}

static void
start_unread(struct client *c)
{
	int i;

	for (i = 0; i < requests; i++)
		append_head(c, "GET", "");
}

static void
start_silent(struct client *c)
{
	append(c, "GET / HT", 8);
}

static const struct mode modes[] = {
    {"stop", start_chunked, fill_stop, true},
    {"whole", start_chunked, fill_whole, true},
    {"announce", start_announce, fill_nothing, true},
    {"endless", start_chunked, fill_endless, true},
    {"unread", start_unread, fill_nothing, false},
    {"pipeline", start_unread, fill_pipeline, false},
    {"silent", start_silent, fill_nothing, true},
};

static void
print_and_exit(struct crowd *w)
{
	int i;

	for (i = 0; i < MAX_STATUS; i++) {
		if (w->statuses[i] != 0)
			printf("status %d %u\n", i, w->statuses[i]);
	}
	fflush(stdout);
	_exit(0); /* with connections open, as a process that is killed */
}

static void
note_move(struct crowd *w)
{
	w->last_move_us = standin_now_us();
}

static int
response_status(const struct client *c)
{
	int status = 0;

	if (c->response_len < RESPONSE_BYTES &&
	    sscanf(c->response, "HTTP/1.1 %3d", &status) != 1)
		return 0;
	return status >= 0 && status < MAX_STATUS ? status : 0;
}

static void
client_close(struct client *c)
{
	struct crowd *w = c->crowd;

	w->statuses[response_status(c)]++;
	note_move(w);
	event_free(c->event);
	close(c->fd);
	g_free(c->out);
	g_free(c);
	w->open--;
	if (w->opened < total)
		client_open(w);
	else if (w->open == 0)
		print_and_exit(w);
}

/* False if the connection has ended. */
static bool
client_read(struct client *c)
{
	char buf[4096];
	ssize_t n = read(c->fd, buf, sizeof(buf));
	size_t room = RESPONSE_BYTES - 1 - c->response_len;

	if (n < 0 && errno == EAGAIN)
		return true;
	if (n <= 0)
		return false;
	note_move(c->crowd);
	if ((size_t)n < room)
		room = (size_t)n;
	memcpy(c->response + c->response_len, buf, room);
	c->response_len += room;
	return true;
}

/* False if the connection has ended. */
static bool
client_write(struct client *c)
{
	ssize_t n;

	if (c->out_sent == c->out_len) {
		c->out_sent = c->out_len = 0;
		c->crowd->mode->fill(c);
	}
	if (c->out_sent == c->out_len)
		return true;
	n = write(c->fd, c->out + c->out_sent, c->out_len - c->out_sent);
	if (n < 0)
		return errno == EAGAIN;
	c->out_sent += (size_t)n;
	note_move(c->crowd);
	return true;
}

static void client_wait(struct client *);

static void
on_event(evutil_socket_t fd, short what, void *arg)
{
	struct client *c = arg;

	(void)fd;
	if (((what & EV_READ) != 0 && !client_read(c)) ||
	    ((what & EV_WRITE) != 0 && !client_write(c))) {
		client_close(c);
		return;
	}
	client_wait(c);
}

static void
client_wait(struct client *c)
{
	bool writes = !c->ended || c->out_sent < c->out_len;
	short what = (short)((c->crowd->mode->reads ? EV_READ : 0) |
			     (writes ? EV_WRITE : 0));

	event_del(c->event);
	event_assign(c->event, c->crowd->base, c->fd, what, on_event, c);
	if (what != 0)
		event_add(c->event, NULL);
}

static void
client_open(struct crowd *w)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	struct client *c = g_new0(struct client, 1);
	int small = UNREAD_BUFFER_BYTES;

	note_move(w);
	c->crowd = w;
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	if (c->fd < 0)
		abort();
	if (!w->mode->reads)
		setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	sin.sin_port = htons((uint16_t)port);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(c->fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 &&
	    errno != EINPROGRESS)
		abort();
	w->open++;
	w->opened++;
	w->mode->start(c);
	c->event = event_new(w->base, c->fd, EV_WRITE, on_event, c);
	event_add(c->event, NULL);
}

static void
on_pace(evutil_socket_t fd, short what, void *arg)
{
	struct timeval interval = {pace_ms / 1000, (pace_ms % 1000) * 1000};
	struct crowd *w = arg;

	(void)fd;
	(void)what;
	client_open(w);
	while (pace_ms == 0 && w->opened < count)
		client_open(w);
	if (w->opened < count)
		event_base_once(w->base, -1, EV_TIMEOUT, on_pace, w, &interval);
}

static void
on_check(evutil_socket_t fd, short what, void *arg)
{
	struct crowd *w = arg;

	(void)fd;
	(void)what;
	if (w->settled || standin_now_us() - w->last_move_us < SETTLED_US)
		return;
	w->settled = true;
	printf("settled\n");
	fflush(stdout);
}

static void
on_end(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	print_and_exit(arg);
}

int
main(int argc, char **argv)
{
	const GOptionEntry entries[] = {
	    {"port", 0, 0, G_OPTION_ARG_INT, &port, NULL, NULL},
	    {"mode", 0, 0, G_OPTION_ARG_STRING, &mode_name, NULL, NULL},
	    {"count", 0, 0, G_OPTION_ARG_INT, &count, NULL, NULL},
	    {"total", 0, 0, G_OPTION_ARG_INT, &total, NULL, NULL},
	    {"bytes", 0, 0, G_OPTION_ARG_INT64, &bytes, NULL, NULL},
	    {"chunk", 0, 0, G_OPTION_ARG_INT, &chunk, NULL, NULL},
	    {"requests", 0, 0, G_OPTION_ARG_INT, &requests, NULL, NULL},
	    {"path", 0, 0, G_OPTION_ARG_STRING, &path, NULL, NULL},
	    {"host", 0, 0, G_OPTION_ARG_STRING, &host, NULL, NULL},
	    {"key", 0, 0, G_OPTION_ARG_STRING, &key, NULL, NULL},
	    {"pace-ms", 0, 0, G_OPTION_ARG_INT, &pace_ms, NULL, NULL},
	    {"ms", 0, 0, G_OPTION_ARG_INT, &duration_ms, NULL, NULL},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	struct timeval interval = {0, 100000}, end;
	struct crowd w = {0};
	size_t i;

	standin_options(entries, argc, argv);
	for (i = 0; i < G_N_ELEMENTS(modes); i++) {
		if (strcmp(mode_name, modes[i].name) == 0)
			w.mode = &modes[i];
	}
	if (w.mode == NULL || chunk < 1 || chunk > MAX_CHUNK_BYTES) {
		fprintf(stderr, "error: unknown mode, or chunk out of range\n");
		return 129;
	}
	w.base = standin_base();
	on_pace(-1, 0, &w);
	event_add(event_new(w.base, -1, EV_PERSIST, on_check, &w), &interval);
	end.tv_sec = duration_ms / 1000;
	end.tv_usec = (duration_ms % 1000) * 1000;
	event_add(evtimer_new(w.base, on_end, &w), &end);
	event_add(evsignal_new(w.base, SIGTERM, on_end, &w), NULL);
	signal(SIGPIPE, SIG_IGN);
	event_base_dispatch(w.base);
	return 0;
}
