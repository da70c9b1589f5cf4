#include <bsd/sys/queue.h>
#include <event2/event_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/daemon.h"
#include "daemon/http_client.h"
#include "daemon/log.h"
#include "daemon/stream.h"

/* Between checks for expired idle connections, and lines on refusals. */
#define SWEEP_INTERVAL_US (1 * SEC_US)
/*
 * An idle connection is closed this long before the peer's own keep-alive
 * timeout, so that no request is sent while the peer closes it.
 */
#define KEEP_ALIVE_MARGIN_US (1500 * MSEC_US)
/*
 * A peer that sends more interim responses, and late responses to earlier
 * requests, than this while a call is pending may never stop.
 */
#define MAX_UNRELATED_MESSAGES 16
/* What a connection takes beside the response, with its stream and events. */
#define CONNECTION_OVERHEAD_BYTES 2048

struct http_call {
	struct http_client *client;
	struct client_conn *conn;
	void (*done)(void *arg, const struct http_result *);
	bool (*is_response)(
	    void *arg, const struct http_message *, bool new_connection);
	bool (*keeps_connection)(void *arg, const struct http_message *);
	void *arg;
	struct event timer;
};

struct client_conn {
	TAILQ_ENTRY(client_conn) entry;
	struct http_client *client;
	struct stream *stream;
	struct http_reader reader;
	struct http_call *call; /* NULL while the connection is idle */
	uint64_t idle_until_us; /* an idle connection is closed then */
	unsigned int unrelated; /* messages dropped during the call */
	size_t partial_bytes; /* memory of the response being read */
	struct holder memory;
	struct holder descriptor;
	bool output_is_charged; /* elsewhere */
	/* stream_bytes_sent() when the request started. */
	uint64_t sent_bytes_at_start;
	bool connected;
	bool new_connection; /* the call is its first one */
	bool not_reusable; /* to be closed after this call */
};

TAILQ_HEAD(conn_queue, client_conn);

/* Why the responses to calls were refused. */
struct refusal_counts {
	unsigned int malformed;
	unsigned int too_long; /* the head or the body */
	unsigned int memory; /* all together took too much memory */
	unsigned int cut; /* the connection ended before the response */
};

struct http_client {
	struct event_base *base;
	struct addr to;
	struct http_client_settings settings;
	struct conn_queue busy;
	struct conn_queue idle; /* most recently used first */
	size_t nidle;
	size_t partial_bytes; /* of all connections */
	struct refusal_counts refused; /* since the last line in the log */
	struct event *sweep;
};

/* Charge the account of memory with what is kept for the connection now. */
static void
conn_charge(struct client_conn *c)
{
	size_t unsent =
	    c->output_is_charged ? 0 : stream_bytes_pending(c->stream);

	holder_set(&c->memory,
	    sizeof(*c) + CONNECTION_OVERHEAD_BYTES + c->partial_bytes + unsent);
}

static void
conn_count_partial(struct client_conn *c, size_t bytes)
{
	c->client->partial_bytes += bytes - c->partial_bytes;
	c->partial_bytes = bytes;
	conn_charge(c);
}

static void
conn_free(struct client_conn *c)
{
	struct http_client *cl = c->client;

	if (c->call != NULL) {
		TAILQ_REMOVE(&cl->busy, c, entry);
	} else {
		TAILQ_REMOVE(&cl->idle, c, entry);
		cl->nidle--;
	}
	conn_count_partial(c, 0);
	holder_release(&c->memory);
	holder_release(&c->descriptor);
	http_reader_release(&c->reader);
	stream_destroy(c->stream);
	free(c);
}

static void
call_free(struct http_call *call)
{
	event_del(&call->timer);
	free(call);
}

static bool
request_may_have_left(const struct client_conn *c)
{
	return c->connected &&
	       stream_bytes_sent(c->stream) > c->sent_bytes_at_start;
}

/* Close a call's connection and report the outcome. */
static void
call_fail(struct client_conn *c, enum http_outcome outcome)
{
	struct http_call *call = c->call;
	struct http_result result = {.outcome = outcome,
	    .may_have_sent = request_may_have_left(c),
	    .new_connection = c->new_connection};

	conn_free(c);
	call->done(call->arg, &result);
	call_free(call);
}

/*
 * How long to keep a connection: the idle timeout, or less if the peer's
 * Keep-Alive header names a shorter one.
 */
static uint64_t
idle_lifetime_us(const struct client_conn *c, const struct http_message *m)
{
	const char *value = http_message_field(m, "Keep-Alive"), *p;
	uint64_t us = c->client->settings.idle_timeout_us, peer_us;

	p = value != NULL ? strstr(value, "timeout=") : NULL;
	if (p == NULL)
		return us;
	peer_us = strtoull(p + strlen("timeout="), NULL, 10) * SEC_US;
	peer_us =
	    peer_us > KEEP_ALIVE_MARGIN_US ? peer_us - KEEP_ALIVE_MARGIN_US : 0;
	return peer_us < us ? peer_us : us;
}

static void
conn_keep_idle(struct client_conn *c, uint64_t lifetime_us)
{
	struct http_client *cl = c->client;

	TAILQ_REMOVE(&cl->busy, c, entry);
	c->call = NULL;
	c->idle_until_us = daemon_now().mono_us + lifetime_us;
	TAILQ_INSERT_HEAD(&cl->idle, c, entry);
	cl->nidle++;
	http_reader_next(&c->reader);
	if (cl->nidle > cl->settings.max_idle_connections)
		conn_free(TAILQ_LAST(&cl->idle, conn_queue));
}

static void
call_complete(struct client_conn *c)
{
	struct http_call *call = c->call;
	struct http_message msg;
	struct http_result result = {.outcome = HTTP_RESPONSE_RECEIVED,
	    .may_have_sent = true,
	    .new_connection = c->new_connection};
	uint64_t lifetime_us;

	http_message_move(&msg, &c->reader.msg);
	conn_count_partial(c, 0);
	lifetime_us = idle_lifetime_us(c, &msg);
	if (c->not_reusable || !msg.keep_alive || lifetime_us == 0 ||
	    stream_bytes_pending(c->stream) > 0 ||
	    (call->keeps_connection != NULL &&
		!call->keeps_connection(call->arg, &msg)))
		conn_free(c);
	else
		conn_keep_idle(c, lifetime_us);
	result.response = &msg;
	call->done(call->arg, &result);
	call_free(call);
	http_message_release(&msg);
}

static bool
is_interim(const struct http_message *m)
{
	return m->status >= 100 && m->status < 200;
}

/*
 * Drop a message that is not the final response to the pending call: an
 * interim (1xx) response, or a late response to an earlier request.
 */
static bool
skip_unrelated(struct client_conn *c)
{
	const struct http_message *m = &c->reader.msg;
	struct http_call *call = c->call;

	if (!is_interim(m)) {
		if (call->is_response == NULL ||
		    call->is_response(call->arg, m, c->new_connection))
			return false;
		c->not_reusable = true;
	}
	c->unrelated++;
	conn_count_partial(c, 0);
	http_reader_next(&c->reader);
	return true;
}

/*
 * Count the part of a response that has been received.  If all parts take too
 * much memory then, end the call with the largest; it may be this one.
 */
static void
note_partial_response(struct client_conn *received)
{
	struct http_client *cl = received->client;
	struct client_conn *c, *largest = received;

	conn_count_partial(received, http_reader_memory(&received->reader));
	if (cl->settings.max_partial_bytes == 0 ||
	    cl->partial_bytes <= cl->settings.max_partial_bytes)
		return;
	TAILQ_FOREACH (c, &cl->busy, entry) {
		if (c->partial_bytes > largest->partial_bytes)
			largest = c;
	}
	cl->refused.memory++;
	call_fail(largest, HTTP_BROKEN);
}

static void
on_read(void *owner, const char *data, size_t len)
{
	struct client_conn *c = owner;
	size_t used;

	holder_moved(&c->memory, len, daemon_now().mono_us);
	/* There is no request in progress that these bytes could answer. */
	if (c->call == NULL) {
		conn_free(c);
		return;
	}
	while (len > 0) {
		used = http_reader_feed(&c->reader, data, len);
		data += used;
		len -= used;
		if (c->reader.state > HTTP_READER_COMPLETE) {
			if (c->reader.state == HTTP_READER_MALFORMED)
				c->client->refused.malformed++;
			else
				c->client->refused.too_long++;
			call_fail(c, HTTP_BROKEN);
			return;
		}
		if (c->reader.state != HTTP_READER_COMPLETE) {
			note_partial_response(c);
			return;
		}
		if (skip_unrelated(c)) {
			if (c->unrelated <= MAX_UNRELATED_MESSAGES)
				continue;
			c->client->refused.malformed++;
			call_fail(c, HTTP_BROKEN);
			return;
		}
		if (len > 0)
			c->not_reusable = true;
		call_complete(c);
		return;
	}
}

static void
on_closed(void *owner, enum stream_end end)
{
	struct client_conn *c = owner;

	if (c->call == NULL) {
		conn_free(c);
		return;
	}
	if (end == STREAM_EOF)
		http_reader_eof(&c->reader);
	c->not_reusable = true;
	if (c->reader.state == HTTP_READER_COMPLETE && !skip_unrelated(c)) {
		call_complete(c);
		return;
	}
	if (c->reader.started)
		c->client->refused.cut++;
	call_fail(
	    c, end == STREAM_CONNECT_FAILED ? HTTP_NOT_CONNECTED : HTTP_BROKEN);
}

static void
on_connected(void *owner)
{
	struct client_conn *c = owner;

	c->connected = true;
}

static void
on_sent(void *owner, size_t len)
{
	struct client_conn *c = owner;

	holder_moved(&c->memory, len, daemon_now().mono_us);
	conn_charge(c);
}

static const struct stream_ops stream_ops = {
    .read = on_read,
    .closed = on_closed,
    .connected = on_connected,
    .sent = on_sent,
};

static void
on_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct http_call *call = arg;

	(void)fd;
	(void)what;
	call_fail(call->conn, HTTP_TIMED_OUT);
}

/* End the call whose response takes memory, or close an idle connection. */
static void
conn_give_way(void *owner)
{
	struct client_conn *c = owner;

	if (c->call == NULL) {
		conn_free(c);
		return;
	}
	c->client->refused.memory++;
	call_fail(c, HTTP_BROKEN);
}

static const struct holder_ops target_holder = {
    HOLDER_TARGET, false, conn_give_way};
static const struct holder_ops essential_holder = {HOLDER_TARGET, true, NULL};

static struct client_conn *
conn_create(struct http_client *cl)
{
	struct client_conn *c = xcalloc(1, sizeof(*c));

	c->client = cl;
	c->stream = stream_connect(cl->base, cl->to, &stream_ops, c);
	if (c->stream == NULL) {
		free(c);
		return NULL;
	}
	c->new_connection = true;
	holder_init(&c->memory, cl->settings.memory,
	    cl->settings.is_essential ? &essential_holder : &target_holder, c,
	    daemon_now().mono_us);
	holder_init(&c->descriptor, cl->settings.descriptors, &essential_holder,
	    c, 0 /* gives no way */);
	holder_set(&c->descriptor, 1);
	conn_count_partial(c, 0);
	http_reader_init(&c->reader, HTTP_READ_RESPONSE, &cl->settings.limits);
	return c;
}

static struct client_conn *
conn_get(struct http_client *cl)
{
	uint64_t now_us = daemon_now().mono_us;
	struct client_conn *c;

	while ((c = TAILQ_FIRST(&cl->idle)) != NULL) {
		if (c->idle_until_us <= now_us) {
			conn_free(c);
			continue;
		}
		TAILQ_REMOVE(&cl->idle, c, entry);
		cl->nidle--;
		c->new_connection = false;
		return c;
	}
	return conn_create(cl);
}

static void
write_request(struct client_conn *c, const struct http_request *r)
{
	struct evbuffer *out = stream_output(c->stream);
	size_t body_len =
	    r->shared_body != NULL ? r->shared_body->len : r->body_len;
	struct buffer shared = {0};
	bool has_length = body_len > 0 || strcmp(r->method, "POST") == 0 ||
			  strcmp(r->method, "PUT") == 0 ||
			  strcmp(r->method, "PATCH") == 0;
	char line[64];
	int len;

	c->sent_bytes_at_start = stream_bytes_sent(c->stream);
	evbuffer_add(out, r->method, strlen(r->method));
	evbuffer_add(out, " ", 1);
	evbuffer_add(out, r->path, strlen(r->path));
	evbuffer_add(out, " HTTP/1.1\r\n", 11);
	if (r->headers_len > 0)
		evbuffer_add(out, r->headers, r->headers_len);
	if (has_length) {
		len = snprintf(
		    line, sizeof(line), "Content-Length: %zu\r\n", body_len);
		evbuffer_add(out, line, (size_t)len);
	}
	evbuffer_add(out, "\r\n", 2);
	if (r->shared_body != NULL) {
		buffer_share(&shared, r->shared_body);
		stream_append_buffer(out, &shared);
	} else if (body_len > 0) {
		evbuffer_add(out, r->body, body_len);
	}
	c->output_is_charged = r->body_is_charged;
	conn_charge(c);
	stream_flush(c->stream);
}

struct http_call *
http_client_send(struct http_client *cl, const struct http_request *r,
    void (*done)(void *arg, const struct http_result *), void *arg)
{
	struct timeval tv = {
	    (time_t)(r->timeout_us / SEC_US), (long)(r->timeout_us % SEC_US)};
	struct client_conn *c = conn_get(cl);
	struct http_call *call;

	if (c == NULL)
		return NULL;
	call = xcalloc(1, sizeof(*call));
	call->client = cl;
	call->conn = c;
	call->done = done;
	call->is_response = r->is_response;
	call->keeps_connection = r->keeps_connection;
	call->arg = arg;
	evtimer_assign(&call->timer, cl->base, on_timeout, call);
	evtimer_add(&call->timer, &tv);
	c->call = call;
	c->unrelated = 0;
	c->reader.no_body = strcmp(r->method, "HEAD") == 0;
	TAILQ_INSERT_TAIL(&cl->busy, c, entry);
	holder_finished(&c->memory, daemon_now().mono_us);
	write_request(c, r);
	return call;
}

void
http_call_cancel(struct http_call *call)
{
	conn_free(call->conn);
	call_free(call);
}

size_t
http_client_partial_bytes(const struct http_client *cl)
{
	return cl->partial_bytes;
}

void
http_client_close_idle(struct http_client *cl)
{
	struct client_conn *c;

	while ((c = TAILQ_FIRST(&cl->idle)) != NULL)
		conn_free(c);
}

/* Log how many responses were refused since the last time, if any. */
static void
log_refused(struct http_client *cl)
{
	const struct refusal_counts *n = &cl->refused;
	char text[ADDR_TEXT_LEN];

	if (n->malformed + n->too_long + n->memory + n->cut == 0)
		return;
	log_line(LOG_WARNING, "responses-refused",
	    "peer=%s malformed=%u too_long=%u memory=%u cut=%u",
	    addr_text(cl->to, text), n->malformed, n->too_long, n->memory,
	    n->cut);
	memset(&cl->refused, 0, sizeof(cl->refused));
}

static void
on_sweep(evutil_socket_t fd, short what, void *arg)
{
	uint64_t now_us = daemon_now().mono_us;
	struct http_client *cl = arg;
	struct client_conn *c, *next;

	(void)fd;
	(void)what;
	TAILQ_FOREACH_SAFE (c, &cl->idle, entry, next) {
		if (c->idle_until_us <= now_us)
			conn_free(c);
	}
	log_refused(cl);
}

struct http_client *
http_client_create(struct event_base *base, struct addr to,
    const struct http_client_settings *settings)
{
	struct timeval tv = {
	    SWEEP_INTERVAL_US / SEC_US, SWEEP_INTERVAL_US % SEC_US};
	struct http_client *cl = xcalloc(1, sizeof(*cl));

	cl->base = base;
	cl->to = to;
	cl->settings = *settings;
	TAILQ_INIT(&cl->busy);
	TAILQ_INIT(&cl->idle);
	cl->sweep = event_new(base, -1, EV_PERSIST, on_sweep, cl);
	event_add(cl->sweep, &tv);
	return cl;
}

void
http_client_destroy(struct http_client *cl)
{
	struct client_conn *c;

	if (cl == NULL)
		return;
	while ((c = TAILQ_FIRST(&cl->busy)) != NULL)
		http_call_cancel(c->call);
	http_client_close_idle(cl);
	event_free(cl->sweep);
	free(cl);
}
