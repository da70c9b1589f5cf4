#include <bsd/sys/queue.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "daemon/daemon.h"
#include "daemon/http_server.h"
#include "daemon/log.h"
#include "daemon/stream.h"

#define MAX_PIPELINED 32 /* requests of a connection that are held at once */
#define SWEEP_US (500 * MSEC_US) /* between looks at idle connections */
#define LINGER_US (1 * SEC_US) /* the peer may read our last bytes so long */
#define HEAD_BYTES 256 /* of a status line and our own headers */
#define MAX_PENDING (8u << 20) /* unread answers of one connection */

struct http_exchange {
	TAILQ_ENTRY(http_exchange) entry;
	struct http_conn *conn;
	struct http_message request;
	struct evbuffer *answer; /* waits for those before it */
	void *owner;
	bool closes;
	bool handed; /* the owner holds it */
};

TAILQ_HEAD(exchange_list, http_exchange);

struct http_conn {
	LIST_ENTRY(http_conn) entry;
	struct http_server *server;
	struct stream *stream;
	struct http_reader reader;
	struct exchange_list exchanges;
	unsigned int nexchanges;
	struct buffer rest; /* came while too many requests waited */
	uint64_t active_us; /* last byte of a request, or last answer */
	uint64_t begun_us; /* first byte of the request being read */
	bool paused;
	bool ending; /* takes no more requests */
	uint64_t ended_us;
};

LIST_HEAD(conn_list, http_conn);

struct http_server {
	struct event_base *base;
	struct listener *listener;
	struct http_server_settings settings;
	const struct http_server_ops *ops;
	void *owner;
	struct conn_list conns;
	size_t nconns;
	struct event *sweep;
	bool draining;
};

static void
exchange_free(struct http_exchange *ex)
{
	TAILQ_REMOVE(&ex->conn->exchanges, ex, entry);
	ex->conn->nexchanges--;
	if (ex->answer != NULL)
		evbuffer_free(ex->answer);
	http_message_release(&ex->request);
	free(ex);
}

static void
conn_free(struct http_conn *c, bool tell)
{
	struct http_exchange *ex;

	while ((ex = TAILQ_FIRST(&c->exchanges)) != NULL) {
		if (tell && ex->handed && ex->answer == NULL &&
		    c->server->ops->gone != NULL)
			c->server->ops->gone(c->server->owner, ex);
		exchange_free(ex);
	}
	LIST_REMOVE(c, entry);
	c->server->nconns--;
	http_reader_release(&c->reader);
	buffer_release(&c->rest);
	stream_destroy(c->stream);
	free(c);
}

/* No more requests; the connection closes once its output has left. */
static void
conn_end(struct http_conn *c)
{
	if (c->ending)
		return;
	c->ending = true;
	c->ended_us = daemon_now().mono_us;
}

/* Answers leave in the order of their requests. */
static void
conn_flush(struct http_conn *c)
{
	struct http_exchange *ex;
	bool wrote = false;

	while (
	    (ex = TAILQ_FIRST(&c->exchanges)) != NULL && ex->answer != NULL) {
		evbuffer_add_buffer(stream_output(c->stream), ex->answer);
		wrote = true;
		if (ex->closes) {
			conn_end(c);
			stream_shutdown(c->stream);
		}
		exchange_free(ex);
	}
	if (!wrote)
		return;
	c->active_us = daemon_now().mono_us;
	stream_flush(c->stream);
}

static struct http_exchange *
exchange_create(struct http_conn *c)
{
	struct http_exchange *ex = xcalloc(1, sizeof(*ex));

	ex->conn = c;
	http_message_move(&ex->request, &c->reader.msg);
	TAILQ_INSERT_TAIL(&c->exchanges, ex, entry);
	c->nexchanges++;
	return ex;
}

/* A request that is refused before it reaches the owner. */
static void
refuse(struct http_conn *c, int status)
{
	struct http_answer a = {.status = status, .close = true};
	struct http_exchange *ex = exchange_create(c);

	log_line(LOG_INFO, "request-refused", "status=%d", status);
	c->ending = true;
	c->ended_us = daemon_now().mono_us;
	ex->handed = true;
	http_exchange_answer(ex, &a);
}

static void
take_request(struct http_conn *c)
{
	struct http_exchange *ex = exchange_create(c);

	ex->closes = !ex->request.keep_alive;
	if (ex->closes)
		conn_end(c);
	http_reader_next(&c->reader);
	c->begun_us = 0;
	ex->handed = true;
	c->server->ops->request(c->server->owner, ex);
}

static void
send_continue(struct http_conn *c)
{
	static const char line[] = "HTTP/1.1 100 Continue\r\n\r\n";

	c->reader.msg.expects_continue = false;
	if (c->nexchanges == 0)
		stream_write(c->stream, line, sizeof(line) - 1);
}

static int
refusal_of(enum http_reader_state state)
{
	switch (state) {
	case HTTP_READER_HEAD_TOO_LONG:
		return 431;
	case HTTP_READER_BODY_TOO_LONG:
		return 413;
	default:
		return 400;
	}
}

static void
keep_rest(struct http_conn *c, const char *data, size_t len)
{
	buffer_set(&c->rest, data, len);
	c->paused = true;
	stream_pause(c->stream, true);
}

static void
conn_parse(struct http_conn *c, const char *data, size_t len)
{
	size_t used;

	while (len > 0 && !c->ending) {
		if (c->nexchanges >= MAX_PIPELINED) {
			keep_rest(c, data, len);
			return;
		}
		if (!c->reader.begun) {
			c->begun_us = c->active_us;
			c->reader.limits = c->server->settings.limits;
		}
		used = http_reader_feed(&c->reader, data, len);
		data += used;
		len -= used;
		if (c->reader.state == HTTP_READER_WHOLE)
			take_request(c);
		else if (c->reader.state > HTTP_READER_WHOLE)
			refuse(c, refusal_of(c->reader.state));
		else if (c->reader.msg.expects_continue)
			send_continue(c);
	}
}

static void
on_read(void *owner, const char *data, size_t len)
{
	struct http_conn *c = owner;

	c->active_us = daemon_now().mono_us;
	conn_parse(c, data, len);
}

static void
on_closed(void *owner, enum stream_end end)
{
	(void)end;
	conn_free(owner, true);
}

static const struct stream_ops stream_ops = {on_read, on_closed, NULL};

/* Room again: parse what was kept and read on. */
static void
conn_resume(struct http_conn *c)
{
	struct buffer rest = c->rest;

	if (!c->paused || c->nexchanges >= MAX_PIPELINED / 2)
		return;
	c->paused = false;
	memset(&c->rest, 0, sizeof(c->rest));
	stream_pause(c->stream, false);
	conn_parse(c, rest.data, rest.len);
	buffer_release(&rest);
}

void
http_exchange_answer(struct http_exchange *ex, const struct http_answer *a)
{
	struct http_conn *c = ex->conn;
	char head[HEAD_BYTES];
	int len;

	if (a->close || c->server->draining)
		ex->closes = true;
	if (ex->closes)
		conn_end(c);
	len = snprintf(head, sizeof(head),
	    "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n%s", a->status,
	    http_status_text(a->status), a->body_len,
	    ex->closes ? "Connection: close\r\n" : "");
	ex->answer = evbuffer_new();
	if (ex->answer == NULL)
		abort();
	evbuffer_add(ex->answer, head, (size_t)len);
	if (a->headers_len > 0)
		evbuffer_add(ex->answer, a->headers, a->headers_len);
	evbuffer_add(ex->answer, "\r\n", 2);
	if (a->body_len > 0 && (ex->request.method == NULL ||
				   strcmp(ex->request.method, "HEAD") != 0))
		evbuffer_add(ex->answer, a->body, a->body_len);
	conn_flush(c);
	conn_resume(c);
}

const struct http_message *
http_exchange_request(const struct http_exchange *ex)
{
	return &ex->request;
}

void
http_exchange_set_owner(struct http_exchange *ex, void *owner)
{
	ex->owner = owner;
}

void *
http_exchange_owner(const struct http_exchange *ex)
{
	return ex->owner;
}

static void
on_accept(void *owner, int fd)
{
	struct http_server *s = owner;
	struct http_conn *c;

	if (s->nconns >= s->settings.max_connections) {
		log_line(LOG_WARNING, "too-many-connections", "count=%zu",
		    s->nconns);
		close(fd);
		return;
	}
	c = xcalloc(1, sizeof(*c));
	c->server = s;
	TAILQ_INIT(&c->exchanges);
	http_reader_init(&c->reader, HTTP_READ_REQUEST, &s->settings.limits);
	c->active_us = daemon_now().mono_us;
	c->stream = stream_accept(s->base, fd, &stream_ops, c);
	LIST_INSERT_HEAD(&s->conns, c, entry);
	s->nconns++;
}

static bool
is_overdue(const struct http_conn *c, uint64_t now)
{
	const struct http_server_settings *set = &c->server->settings;

	if (stream_pending(c->stream) > MAX_PENDING)
		return true;
	if (c->ending && TAILQ_EMPTY(&c->exchanges) &&
	    stream_pending(c->stream) == 0)
		return now - c->ended_us > LINGER_US;
	if (c->begun_us != 0 && c->reader.begun)
		return now - c->begun_us > set->header_timeout_us &&
		       (c->reader.state == HTTP_READER_HEAD ||
			   now - c->active_us > set->idle_timeout_us);
	return TAILQ_EMPTY(&c->exchanges) &&
	       now - c->active_us > set->idle_timeout_us;
}

static void
on_sweep(evutil_socket_t fd, short what, void *arg)
{
	uint64_t now = daemon_now().mono_us;
	struct http_server *s = arg;
	struct http_conn *c, *next;

	(void)fd;
	(void)what;
	LIST_FOREACH_SAFE (c, &s->conns, entry, next) {
		if (is_overdue(c, now))
			conn_free(c, true);
	}
}

struct http_server *
http_server_create(struct event_base *base, struct addr at,
    const struct http_server_settings *settings,
    const struct http_server_ops *ops, void *owner)
{
	struct timeval tv = {SWEEP_US / SEC_US, SWEEP_US % SEC_US};
	struct http_server *s = xcalloc(1, sizeof(*s));
	char text[ADDR_TEXT_LEN];

	s->base = base;
	s->settings = *settings;
	s->ops = ops;
	s->owner = owner;
	LIST_INIT(&s->conns);
	s->listener = listener_create(base, at, on_accept, s);
	if (s->listener == NULL) {
		log_line(
		    LOG_ERR, "bind-failed", "addr=%s", addr_text(at, text));
		free(s);
		return NULL;
	}
	s->sweep = event_new(base, -1, EV_PERSIST, on_sweep, s);
	event_add(s->sweep, &tv);
	return s;
}

void
http_server_destroy(struct http_server *s)
{
	struct http_conn *c;

	if (s == NULL)
		return;
	while ((c = LIST_FIRST(&s->conns)) != NULL)
		conn_free(c, false);
	listener_destroy(s->listener);
	event_free(s->sweep);
	free(s);
}

void
http_server_configure(
    struct http_server *s, const struct http_server_settings *settings)
{
	s->settings = *settings;
}

void
http_server_drain(struct http_server *s)
{
	s->draining = true;
}

void
http_server_close(struct http_server *s)
{
	struct http_conn *c, *next;

	listener_destroy(s->listener);
	s->listener = NULL;
	LIST_FOREACH_SAFE (c, &s->conns, entry, next) {
		if (TAILQ_EMPTY(&c->exchanges) && !c->reader.begun &&
		    stream_pending(c->stream) == 0)
			conn_free(c, false);
	}
}

size_t
http_server_connections(const struct http_server *s)
{
	return s->nconns;
}
