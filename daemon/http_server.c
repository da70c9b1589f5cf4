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

/* Unanswered requests of one connection, above which it is not read. */
#define MAX_PIPELINED_REQUESTS 32
#define SWEEP_INTERVAL_US (500 * MSEC_US) /* between checks for timeouts */
/* Time for the peer to read the last response before the socket is closed. */
#define CLOSE_LINGER_US (1 * SEC_US)
/* Buffer for the status line and the headers that the server itself adds. */
#define RESPONSE_HEAD_BYTES 256
/*
 * Chunks of one connection that are read in one turn of the loop, in steps of
 * so many bytes.  Those of others wait meanwhile; tiny ones take long to read.
 */
#define MAX_CHUNKS_PER_TURN 512
#define CHUNKS_STEP_BYTES 1024
/* Output that the peer has not read, above which its requests are not read. */
#define MAX_OUTPUT_BYTES (256u << 10)
/*
 * What a connection takes beside the bytes that it keeps: its stream and
 * events, and for each request what the core keeps of the call.
 */
#define CONNECTION_OVERHEAD_BYTES 2048
#define REQUEST_OVERHEAD_BYTES 6144
/* The least that a response takes in a buffer of its own. */
#define RESPONSE_OVERHEAD_BYTES 1280
/* Shorter responses are copied to the output, where they take less. */
#define MIN_MOVED_RESPONSE_BYTES 4096
/* Output that is charged and given back as one. */
#define OUTPUT_PART_BYTES 16384

struct http_exchange {
	TAILQ_ENTRY(http_exchange) entry;
	struct http_conn *conn;
	struct http_message request;
	/* Set once answered; sent after the responses to earlier requests. */
	struct evbuffer *response;
	size_t held; /* bytes charged for the request or the response */
	void *user_data; /* of the server's owner */
	bool closes_conn; /* the connection closes after this response */
	bool delivered; /* to ops->request, or refused by the server itself */
};

TAILQ_HEAD(exchange_list, http_exchange);

/* Responses that are charged until the last byte of them was sent. */
struct output_part {
	TAILQ_ENTRY(output_part) entry;
	uint64_t until; /* stream_bytes_sent() once all of it was sent */
	size_t held;
};

TAILQ_HEAD(output_list, output_part);

struct http_conn {
	LIST_ENTRY(http_conn) entry;
	struct http_server *server;
	struct stream *stream;
	struct http_reader reader;
	struct exchange_list exchanges; /* not answered, or not their turn */
	unsigned int nexchanges;
	struct output_list output;
	size_t kept; /* charged for the exchanges and the output */
	struct holder memory;
	struct holder descriptor;
	struct buffer unparsed; /* received, but not parsed while paused */
	/* Last byte received, response sent, or progress of a slow reader. */
	uint64_t last_active_us;
	uint64_t bytes_acked; /* when the connection was last found idle */
	uint64_t request_start_us; /* first byte of the request being read */
	bool paused; /* not read until requests are answered */
	struct event *next_turn; /* resumes reading; NULL: never was needed */
	bool awaits_turn; /* paused until then */
	bool ending; /* closes after its responses; reads no more requests */
	uint64_t ending_since_us;
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
exchange_set_held(struct http_exchange *ex, size_t held)
{
	ex->conn->kept += held - ex->held;
	ex->held = held;
}

/* Charge the memory account with what is kept for the connection now. */
static void
conn_charge(struct http_conn *c)
{
	bool waiting = !TAILQ_EMPTY(&c->exchanges) && !c->reader.started &&
		       TAILQ_EMPTY(&c->output);

	holder_set(&c->memory, sizeof(*c) + CONNECTION_OVERHEAD_BYTES +
				   http_reader_memory(&c->reader) +
				   c->unparsed.len + c->kept);
	holder_set_waiting(&c->memory, waiting, c->last_active_us);
	holder_set_waiting(&c->descriptor, waiting, c->last_active_us);
}

static void
conn_moved(struct http_conn *c, size_t len, uint64_t now_us)
{
	holder_moved(&c->memory, len, now_us);
	holder_moved(&c->descriptor, len, now_us);
}

/* A request or a response was finished. */
static void
conn_finished(struct http_conn *c)
{
	holder_finished(&c->memory, c->last_active_us);
	holder_finished(&c->descriptor, c->last_active_us);
}

static void
exchange_free(struct http_exchange *ex)
{
	exchange_set_held(ex, 0);
	TAILQ_REMOVE(&ex->conn->exchanges, ex, entry);
	ex->conn->nexchanges--;
	if (ex->response != NULL)
		evbuffer_free(ex->response);
	http_message_release(&ex->request);
	free(ex);
}

static void
output_part_free(struct http_conn *c, struct output_part *part)
{
	c->kept -= part->held;
	TAILQ_REMOVE(&c->output, part, entry);
	free(part);
}

static void
conn_free(struct http_conn *c, bool notify_owner)
{
	struct http_exchange *ex;
	struct output_part *part;

	while ((ex = TAILQ_FIRST(&c->exchanges)) != NULL) {
		if (notify_owner && ex->delivered && ex->response == NULL &&
		    c->server->ops->disconnected != NULL)
			c->server->ops->disconnected(c->server->owner, ex);
		exchange_free(ex);
	}
	while ((part = TAILQ_FIRST(&c->output)) != NULL)
		output_part_free(c, part);
	LIST_REMOVE(c, entry);
	c->server->nconns--;
	holder_release(&c->memory);
	holder_release(&c->descriptor);
	if (c->next_turn != NULL)
		event_free(c->next_turn);
	http_reader_release(&c->reader);
	buffer_release(&c->unparsed);
	stream_destroy(c->stream);
	free(c);
}

/* Read no more requests, and close once the output has been sent. */
static void
conn_begin_close(struct http_conn *c)
{
	if (c->ending)
		return;
	c->ending = true;
	c->ending_since_us = daemon_now().mono_us;
}

/* Charge what was added to the output until it was sent. */
static void
charge_output(struct http_conn *c, size_t held)
{
	struct output_part *part = TAILQ_LAST(&c->output, output_list);

	if (part == NULL || part->held + held > OUTPUT_PART_BYTES) {
		part = xcalloc(1, sizeof(*part));
		TAILQ_INSERT_TAIL(&c->output, part, entry);
		held += sizeof(*part);
	}
	part->until =
	    stream_bytes_sent(c->stream) + stream_bytes_pending(c->stream);
	part->held += held;
	c->kept += held;
}

/* Add a response to the output and free its exchange. */
static void
add_to_output(struct http_conn *c, struct http_exchange *ex)
{
	size_t len = evbuffer_get_length(ex->response);

	if (len < MIN_MOVED_RESPONSE_BYTES) {
		evbuffer_add(stream_output(c->stream),
		    evbuffer_pullup(ex->response, -1), len);
		charge_output(c, len);
	} else {
		evbuffer_add_buffer(stream_output(c->stream), ex->response);
		charge_output(c, RESPONSE_OVERHEAD_BYTES + len);
	}
	exchange_free(ex);
}

/* Give back what was charged for responses that were sent. */
static void
conn_drop_sent(struct http_conn *c)
{
	struct output_part *part;

	while ((part = TAILQ_FIRST(&c->output)) != NULL &&
	       part->until <= stream_bytes_sent(c->stream))
		output_part_free(c, part);
}

/* Send the responses that are due, in the order of their requests. */
static void
conn_send_responses(struct http_conn *c)
{
	struct http_exchange *ex;
	bool closes, sent = false;

	while (
	    (ex = TAILQ_FIRST(&c->exchanges)) != NULL && ex->response != NULL) {
		closes = ex->closes_conn;
		add_to_output(c, ex);
		sent = true;
		if (closes) {
			conn_begin_close(c);
			stream_shutdown(c->stream);
		}
	}
	if (!sent)
		return;
	c->last_active_us = daemon_now().mono_us;
	conn_finished(c);
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
	exchange_set_held(ex, sizeof(*ex) + REQUEST_OVERHEAD_BYTES +
				  http_message_memory(&ex->request));
	return ex;
}

/* End the request being read, whose response closes the connection. */
static struct http_exchange *
end_request(struct http_conn *c)
{
	struct http_exchange *ex = exchange_create(c);

	body_release(&c->reader.body);
	c->reader.started = false;
	c->ending = true;
	c->ending_since_us = daemon_now().mono_us;
	ex->closes_conn = true;
	ex->delivered = true;
	return ex;
}

/* Answer the request being read with an error and begin to close. */
static void
refuse_request(struct http_conn *c, int status)
{
	struct http_response resp = {.status = status, .close = true};

	log_line(LOG_INFO, "request-refused", "status=%d", status);
	http_exchange_respond(end_request(c), &resp);
}

/* Whether most of what is kept is a request that has not come to its end. */
static bool
is_mostly_unread_request(const struct http_conn *c)
{
	return c->reader.started && !c->ending &&
	       http_reader_memory(&c->reader) > c->memory.held / 2;
}

/*
 * Free what the connection keeps.  The request that is being read was not
 * passed on, so it can be refused as not run.
 */
static void
conn_give_way(void *owner)
{
	struct http_conn *c = owner;
	const struct http_server *s = c->server;

	if (s->ops->refuse != NULL && is_mostly_unread_request(c)) {
		s->ops->refuse(s->owner, end_request(c));
		conn_charge(c);
	} else {
		conn_free(c, true);
	}
}

/* Make place for another connection. */
static void
conn_close(void *owner)
{
	conn_free(owner, true);
}

static const struct holder_ops memory_holders[] = {
    [HTTP_SERVER_FOR_CALLERS] = {HOLDER_CALLER, false, conn_give_way},
    [HTTP_SERVER_ESSENTIAL] = {HOLDER_PORT, true, NULL},
};
static const struct holder_ops descriptor_holders[] = {
    [HTTP_SERVER_FOR_CALLERS] = {HOLDER_CALLER, false, conn_close},
    [HTTP_SERVER_ESSENTIAL] = {HOLDER_PORT, true, NULL},
};

static void
deliver_request(struct http_conn *c)
{
	struct http_exchange *ex = exchange_create(c);

	ex->closes_conn = !ex->request.keep_alive;
	if (ex->closes_conn)
		conn_begin_close(c);
	http_reader_next(&c->reader);
	c->request_start_us = 0;
	ex->delivered = true;
	conn_finished(c);
	c->server->ops->request(c->server->owner, ex);
}

static void
send_continue(struct http_conn *c)
{
	static const char line[] = "HTTP/1.1 100 Continue\r\n\r\n";

	c->reader.msg.expects_continue = false;
	/* It may not go out before the responses to earlier requests. */
	if (c->nexchanges == 0)
		stream_write(c->stream, line, sizeof(line) - 1);
}

static int
refusal_status(enum http_reader_state state)
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

/* Whether the peer has to read responses before it may send more requests. */
static bool
must_pause(const struct http_conn *c)
{
	return c->nexchanges >= MAX_PIPELINED_REQUESTS ||
	       stream_bytes_pending(c->stream) > MAX_OUTPUT_BYTES;
}

/* Keep bytes that cannot be parsed yet and stop reading. */
static void
pause_reading(struct http_conn *c, const char *data, size_t len)
{
	buffer_set(&c->unparsed, data, len);
	c->paused = true;
	stream_pause(c->stream, true);
}

static void on_next_turn(evutil_socket_t, short, void *);

/* Keep bytes until the other connections have been read. */
static void
await_next_turn(struct http_conn *c, const char *data, size_t len)
{
	static const struct timeval at_once = {0, 0};

	if (c->next_turn == NULL)
		c->next_turn = evtimer_new(c->server->base, on_next_turn, c);
	event_add(c->next_turn, &at_once);
	c->awaits_turn = true;
	pause_reading(c, data, len);
}

/* How many bytes to parse before the chunks are counted again. */
static size_t
parse_step(const struct http_conn *c, size_t len)
{
	bool may_have_chunks = c->reader.state == HTTP_READER_HEAD ||
			       http_reader_is_chunked(&c->reader);

	return may_have_chunks && len > CHUNKS_STEP_BYTES ? CHUNKS_STEP_BYTES
							  : len;
}

static void
conn_parse(struct http_conn *c, const char *data, size_t len)
{
	size_t used;

	c->reader.nchunks = 0;
	while (len > 0 && !c->ending) {
		if (must_pause(c)) {
			pause_reading(c, data, len);
			return;
		}
		if (c->reader.nchunks > MAX_CHUNKS_PER_TURN) {
			await_next_turn(c, data, len);
			return;
		}
		if (!c->reader.started) {
			c->request_start_us = c->last_active_us;
			c->reader.limits = c->server->settings.limits;
		}
		used = http_reader_feed(&c->reader, data, parse_step(c, len));
		data += used;
		len -= used;
		if (c->reader.state == HTTP_READER_COMPLETE)
			deliver_request(c);
		else if (c->reader.state > HTTP_READER_COMPLETE)
			refuse_request(c, refusal_status(c->reader.state));
		else if (c->reader.msg.expects_continue)
			send_continue(c);
	}
}

static void
on_read(void *owner, const char *data, size_t len)
{
	struct http_conn *c = owner;

	/* The connection is broken, and its end will be reported. */
	if (c->paused)
		return;
	c->last_active_us = daemon_now().mono_us;
	conn_moved(c, len, c->last_active_us);
	conn_parse(c, data, len);
	conn_charge(c);
}

static void conn_resume_reading(struct http_conn *);

static void
on_sent(void *owner, size_t len)
{
	struct http_conn *c = owner;

	conn_moved(c, len, daemon_now().mono_us);
	conn_drop_sent(c);
	conn_resume_reading(c);
	conn_charge(c);
}

static void
on_closed(void *owner, enum stream_end end)
{
	(void)end;
	conn_free(owner, true);
}

static const struct stream_ops stream_ops = {
    .read = on_read, .closed = on_closed, .sent = on_sent};

/*
 * Parse the bytes that were kept and resume reading, once fewer than half of
 * MAX_PIPELINED_REQUESTS are unanswered and the output is short again.
 */
static void
conn_resume_reading(struct http_conn *c)
{
	struct buffer unparsed = c->unparsed;

	if (!c->paused || c->awaits_turn ||
	    c->nexchanges >= MAX_PIPELINED_REQUESTS / 2 ||
	    stream_bytes_pending(c->stream) > MAX_OUTPUT_BYTES)
		return;
	c->paused = false;
	memset(&c->unparsed, 0, sizeof(c->unparsed));
	stream_pause(c->stream, false);
	conn_parse(c, unparsed.data, unparsed.len);
	buffer_release(&unparsed);
}

static void
on_next_turn(evutil_socket_t fd, short what, void *arg)
{
	struct http_conn *c = arg;

	(void)fd;
	(void)what;
	c->awaits_turn = false;
	conn_resume_reading(c);
	conn_charge(c);
}

/* Whether a response ends with its head (RFC 9112, 6.3). */
static bool
has_no_body(const struct http_exchange *ex, int status)
{
	return status == 204 || status == 304 ||
	       (ex->request.method != NULL &&
		   strcmp(ex->request.method, "HEAD") == 0);
}

void
http_exchange_respond(
    struct http_exchange *ex, const struct http_response *resp)
{
	bool no_body = has_no_body(ex, resp->status);
	size_t body_len =
	    resp->owned_body != NULL ? resp->owned_body->len : resp->body_len;
	struct http_conn *c = ex->conn;
	char head[RESPONSE_HEAD_BYTES], length[64] = "";
	int len;

	if (resp->close || c->server->draining)
		ex->closes_conn = true;
	if (ex->closes_conn)
		conn_begin_close(c);
	if (!no_body)
		snprintf(length, sizeof(length), "Content-Length: %zu\r\n",
		    body_len);
	len = snprintf(head, sizeof(head), "HTTP/1.1 %d %s\r\n%s%s",
	    resp->status, http_status_text(resp->status), length,
	    ex->closes_conn ? "Connection: close\r\n" : "");
	ex->response = evbuffer_new();
	if (ex->response == NULL)
		abort();
	evbuffer_add(ex->response, head, (size_t)len);
	if (resp->headers_len > 0)
		evbuffer_add(ex->response, resp->headers, resp->headers_len);
	evbuffer_add(ex->response, "\r\n", 2);
	if (resp->owned_body != NULL && !no_body)
		stream_append_buffer(ex->response, resp->owned_body);
	else if (body_len > 0 && !no_body)
		evbuffer_add(ex->response, resp->body, body_len);
	exchange_set_held(ex, sizeof(*ex) + RESPONSE_OVERHEAD_BYTES +
				  evbuffer_get_length(ex->response));
	http_message_release(&ex->request);
	conn_send_responses(c);
	conn_resume_reading(c);
	conn_charge(c);
}

struct http_message *
http_exchange_request(struct http_exchange *ex)
{
	return &ex->request;
}

void
http_exchange_set_user_data(struct http_exchange *ex, void *data)
{
	ex->user_data = data;
}

void *
http_exchange_user_data(const struct http_exchange *ex)
{
	return ex->user_data;
}

static struct http_conn *
conn_create(struct http_server *s, int fd)
{
	const struct http_server_settings *set = &s->settings;
	struct http_conn *c = xcalloc(1, sizeof(*c));
	uint64_t now_us = daemon_now().mono_us;

	c->server = s;
	TAILQ_INIT(&c->exchanges);
	TAILQ_INIT(&c->output);
	http_reader_init(&c->reader, HTTP_READ_REQUEST, &set->limits);
	c->last_active_us = now_us;
	holder_init(
	    &c->memory, set->memory, &memory_holders[set->role], c, now_us);
	holder_init(&c->descriptor, set->descriptors,
	    &descriptor_holders[set->role], c, now_us);
	c->stream = stream_accept(s->base, fd, &stream_ops, c);
	stream_allow_pauses(c->stream);
	LIST_INSERT_HEAD(&s->conns, c, entry);
	s->nconns++;
	holder_set(&c->descriptor, 1);
	conn_charge(c);
	return c;
}

/* Close the connection that has stood still longest. */
static void
close_idlest(struct http_server *s, uint64_t now_us)
{
	struct http_conn *c, *idlest = NULL;
	uint64_t weight, most = 0;

	LIST_FOREACH (c, &s->conns, entry) {
		weight = holder_weight(&c->descriptor, now_us);
		if (idlest != NULL && weight <= most)
			continue;
		idlest = c;
		most = weight;
	}
	log_line(LOG_WARNING, "too-many-connections", "count=%zu", s->nconns);
	conn_free(idlest, true);
}

static void
on_accept(void *owner, int fd)
{
	struct http_server *s = owner;
	struct http_conn *c = conn_create(s, fd);

	if (s->nconns > s->settings.max_connections)
		close_idlest(s, c->last_active_us);
	else
		account_make_room(
		    s->settings.descriptors, &c->descriptor, c->last_active_us);
}

/* Whether a timeout of a connection is over. */
static bool
must_close(const struct http_conn *c, uint64_t now_us)
{
	const struct http_server_settings *set = &c->server->settings;

	if (c->ending && TAILQ_EMPTY(&c->exchanges) &&
	    stream_bytes_pending(c->stream) == 0)
		return now_us - c->ending_since_us > CLOSE_LINGER_US;
	/* The body may take longer than the headers, as long as bytes come. */
	if (c->request_start_us != 0 && c->reader.started)
		return now_us - c->request_start_us > set->header_timeout_us &&
		       (c->reader.state == HTTP_READER_HEAD ||
			   now_us - c->last_active_us > set->idle_timeout_us);
	return TAILQ_EMPTY(&c->exchanges) &&
	       now_us - c->last_active_us > set->idle_timeout_us;
}

/*
 * Whether a peer that seems idle has read something of what was sent to it
 * since it last seemed so.
 */
static bool
has_read_on(struct http_conn *c, uint64_t now_us)
{
	uint64_t acked = stream_bytes_acked(c->stream);

	if (acked == c->bytes_acked ||
	    (acked == stream_bytes_sent(c->stream) &&
		stream_bytes_pending(c->stream) == 0))
		return false;
	c->bytes_acked = acked;
	c->last_active_us = now_us;
	return true;
}

static void
on_sweep(evutil_socket_t fd, short what, void *arg)
{
	uint64_t now_us = daemon_now().mono_us;
	struct http_server *s = arg;
	struct http_conn *c, *next;

	(void)fd;
	(void)what;
	LIST_FOREACH_SAFE (c, &s->conns, entry, next) {
		if (must_close(c, now_us) && !has_read_on(c, now_us))
			conn_free(c, true);
	}
}

struct http_server *
http_server_create(struct event_base *base, struct addr at,
    const struct http_server_settings *settings,
    const struct http_server_ops *ops, void *owner)
{
	struct timeval tv = {
	    SWEEP_INTERVAL_US / SEC_US, SWEEP_INTERVAL_US % SEC_US};
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
http_server_stop_accepting(struct http_server *s)
{
	struct http_conn *c, *next;

	listener_destroy(s->listener);
	s->listener = NULL;
	LIST_FOREACH_SAFE (c, &s->conns, entry, next) {
		if (TAILQ_EMPTY(&c->exchanges) && !c->reader.started &&
		    stream_bytes_pending(c->stream) == 0)
			conn_free(c, false);
	}
}

bool
http_server_is_flushed(const struct http_server *s)
{
	const struct http_conn *c;

	LIST_FOREACH (c, &s->conns, entry) {
		if (!TAILQ_EMPTY(&c->exchanges) ||
		    !stream_is_flushed(c->stream))
			return false;
	}
	return true;
}

size_t
http_server_connection_count(const struct http_server *s)
{
	return s->nconns;
}
