/*
 * Links to other daemons: TCP connections that start with a handshake, in
 * which both sides prove that they know the shared secret, and then carry
 * frames.  A link is opened when there is a message to send, and carries
 * messages in both directions whichever side opened it.  A side with nothing
 * to send sends an empty frame as a keepalive: often while a call is in
 * progress between the two daemons, else rarely, since a daemon has links to
 * most others.
 */
#include <event2/buffer.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "daemon/daemon.h"
#include "daemon/flush.h"
#include "daemon/log.h"
#include "daemon/pieces.h"
#include "daemon/stream.h"
#include "wire/frame.h"

#define HANDSHAKE_TIMEOUT_US (1 * SEC_US) /* from connect to open */
/* Interval of keepalives while calls are in progress, and without. */
#define BUSY_KEEPALIVE_INTERVAL_US (250 * MSEC_US)
#define IDLE_KEEPALIVE_INTERVAL_US (700 * MSEC_US)
/* A link on which nothing is received for this long is lost; likewise. */
#define BUSY_SILENCE_TIMEOUT_US (900 * MSEC_US)
#define IDLE_SILENCE_TIMEOUT_US (1700 * MSEC_US)
/*
 * A link without calls that missed a keepalive is not used for a new message:
 * a new link is opened instead, so that the message is known to be unsent if
 * the peer does not answer.
 */
#define DOUBTFUL_SILENCE_US (1 * SEC_US)
#define SWEEP_INTERVAL_US (125 * MSEC_US) /* between checks of timeouts */
/* Output that the peer does not read, above which its link is closed. */
#define MAX_OUTPUT_BYTES (16u << 20)
/*
 * Output above which no more requests are sent: they would wait here, each as
 * a copy, and can still be refused as not run.
 */
#define MAX_REQUEST_OUTPUT_BYTES (4u << 20)
/*
 * Output below which another piece of a long body is sent.  Other messages wait
 * behind at most this much.
 */
#define PIECES_OUTPUT_BYTES (128u << 10)
/* What a link takes beside the bytes that it keeps: its stream and events. */
#define LINK_OVERHEAD_BYTES 2048
/* A link is closed by the side that opened it after this long unused. */
#define IDLE_TIMEOUT_US (120 * SEC_US)

enum link_state {
	LINK_HELLO, /* connecting, or waiting for the peer's hello */
	LINK_PROOF, /* waiting for the peer's proof */
	LINK_OPEN, /* carries messages */
};

struct link {
	LIST_ENTRY(link) entry;
	struct link_task *task;
	struct stream *stream;
	struct evbuffer *input; /* the start of an incomplete frame */
	struct msg_list queued; /* messages to send once the link is open */
	size_t queued_bytes; /* of the responses among them */
	struct pieces *pieces; /* long bodies, both ways */
	uint32_t peer_piece_bytes; /* as in struct handshake */
	struct holder memory;
	struct holder descriptor;
	struct addr peer; /* unset until an accepted link gets its hello */
	enum link_state state;
	bool outgoing; /* opened by this daemon */
	uint64_t created_us;
	uint64_t last_msg_us; /* message sent or received */
	uint64_t last_received_us; /* any byte received */
	uint64_t last_sent_us; /* message or keepalive sent */
	unsigned int calls; /* forwarded on it, either way, without a reply */
	uint64_t calls_since_us; /* when the first of them was forwarded */
	uint64_t calls_until_us; /* by then their deadlines have passed */
	uint32_t peer_idle_silence_ms; /* as in struct handshake */
	uint8_t nonce[FRAME_NONCE_LEN];
	uint8_t peer_nonce[FRAME_NONCE_LEN];
};

LIST_HEAD(link_list, link);

struct link_task {
	struct daemon *daemon;
	struct link_list links;
	struct listener *listener;
	struct event *sweep;
	struct flush_watch *flush;
	uint64_t nlinks;
};

/*
 * Compute the proof that this side sends (own), or the one that the peer must
 * send.  It covers both nonces, the sender's address and its role, so that it
 * cannot be replayed to its sender.
 */
static void
compute_proof(const struct link *l, bool own, uint8_t *mac)
{
	struct addr sender = own ? l->task->daemon->settings->link : l->peer;
	bool initiator = own ? l->outgoing : !l->outgoing;
	const uint8_t *sender_nonce = own ? l->nonce : l->peer_nonce;
	const uint8_t *receiver_nonce = own ? l->peer_nonce : l->nonce;
	uint8_t sender_id[7] = {initiator, sender.ip >> 24, sender.ip >> 16,
	    sender.ip >> 8, sender.ip, sender.port >> 8, sender.port};
	crypto_generichash_state st;

	crypto_generichash_init(&st, l->task->daemon->link_key,
	    sizeof(l->task->daemon->link_key), FRAME_MAC_LEN);
	crypto_generichash_update(&st, sender_id, sizeof(sender_id));
	crypto_generichash_update(&st, sender_nonce, FRAME_NONCE_LEN);
	crypto_generichash_update(&st, receiver_nonce, FRAME_NONCE_LEN);
	crypto_generichash_final(&st, mac, FRAME_MAC_LEN);
}

static void
send_handshake(struct link *l, const struct handshake *h)
{
	struct buffer buf = {0};

	frame_encode_handshake(h, &buf);
	stream_write(l->stream, buf.data, buf.len);
	buffer_release(&buf);
}

static void
send_hello(struct link *l)
{
	struct handshake h = {.is_hello = true,
	    .idle_silence_ms = IDLE_SILENCE_TIMEOUT_US / MSEC_US,
	    .piece_bytes = PIECE_BYTES};

	h.addr = l->task->daemon->settings->link;
	memcpy(h.nonce, l->nonce, FRAME_NONCE_LEN);
	send_handshake(l, &h);
}

static void
link_free(struct link *l)
{
	LIST_REMOVE(l, entry);
	l->task->nlinks--;
	msg_list_clear(&l->queued);
	pieces_destroy(l->pieces);
	holder_release(&l->memory);
	holder_release(&l->descriptor);
	stream_destroy(l->stream);
	evbuffer_free(l->input);
	free(l);
}

/* Charge the account of memory with what is kept for the link now. */
static void
link_charge(struct link *l)
{
	holder_set(&l->memory,
	    sizeof(*l) + LINK_OVERHEAD_BYTES + evbuffer_get_length(l->input) +
		l->queued_bytes + stream_bytes_pending(l->stream));
}

static void
link_enqueue(struct link *l, struct msg *m)
{
	l->queued_bytes += msg_reply_bytes(m);
	TAILQ_INSERT_TAIL(&l->queued, m, entry);
	link_charge(l);
}

/* Take the first message that waits; NULL: none does. */
static struct msg *
link_dequeue(struct link *l)
{
	struct msg *m = TAILQ_FIRST(&l->queued);

	if (m == NULL)
		return NULL;
	TAILQ_REMOVE(&l->queued, m, entry);
	l->queued_bytes -= msg_reply_bytes(m);
	return m;
}

/* Count the calls that are in progress between the two daemons. */
static void
note_message(struct link *l, const struct msg *m)
{
	uint64_t now_us = daemon_now().mono_us, until_us;

	l->last_msg_us = now_us;
	if (m->kind == MSG_REPLY && l->calls > 0)
		l->calls--;
	if (m->kind != MSG_FORWARD)
		return;
	if (l->calls++ == 0)
		l->calls_since_us = now_us;
	until_us = now_us + m->u.forward.context.deadline_ms * MSEC_US;
	if (until_us > l->calls_until_us)
		l->calls_until_us = until_us;
}

static bool
has_calls(const struct link *l, uint64_t now_us)
{
	return l->calls > 0 && now_us < l->calls_until_us;
}

/* How long nothing has been received that should have been. */
static uint64_t
silence_us(const struct link *l, uint64_t now_us)
{
	uint64_t since_us = l->last_received_us;

	if (has_calls(l, now_us) && l->calls_since_us > since_us)
		since_us = l->calls_since_us;
	return now_us - since_us;
}

static struct link *link_find(struct link_task *, struct addr);
static void send_message(struct link *, struct msg *);

/*
 * Send the messages queued on a link that never opened over another link to
 * the same peer.  False if none is open: then none of them was sent.
 */
static bool
move_queued(struct link *from)
{
	struct link *to = link_find(from->task, from->peer);
	struct msg *m;

	if (to == NULL || to->state != LINK_OPEN)
		return false;
	while ((m = link_dequeue(from)) != NULL)
		send_message(to, m);
	return true;
}

/*
 * Tell the core that this one try was not sent.  A link that did not open is
 * reported try by try, because further calls to the peer, which will be sent,
 * may be on their way from the core at the same time.
 */
static void
report_unsent_try(struct link_task *s, const struct msg *unsent)
{
	struct msg *m;

	if (unsent->kind != MSG_FORWARD)
		return;
	m = msg_create(MSG_LINK_DOWN);
	m->peer = unsent->peer;
	m->seq = unsent->seq;
	task_send(s->daemon->decide, m);
}

/*
 * Tell the core that a link is gone.  may_have_sent says that it was open, so
 * that bytes of any try on it may have left.
 */
static void
report_link_down(struct link_task *s, struct addr peer, bool may_have_sent)
{
	struct msg *m = msg_create(MSG_LINK_DOWN);

	m->peer = peer;
	m->may_have_sent = may_have_sent;
	m->unsent_reported = !may_have_sent;
	task_send(s->daemon->decide, m);
}

/* Whether a link without calls is closed while another one is open. */
static bool
is_superseded(const struct link *l)
{
	const struct link *other;

	if (l->calls > 0)
		return false;
	LIST_FOREACH (other, &l->task->links, entry) {
		if (other != l && other->state == LINK_OPEN &&
		    addr_equal(other->peer, l->peer))
			return true;
	}
	return false;
}

/*
 * Close a link.  The core is told if the link was open, or if messages queued
 * on it cannot be sent over another one.
 */
static void
link_close(struct link *l, const char *cause)
{
	char text[ADDR_TEXT_LEN];
	struct msg *m;

	if (l->state == LINK_OPEN && is_superseded(l)) {
		link_free(l);
		return;
	}

	log_line(l->state == LINK_OPEN ? LOG_NOTICE : LOG_INFO, "link-closed",
	    "peer=%s cause=%s outgoing=%d", addr_text(l->peer, text), cause,
	    l->outgoing);
	if (l->state == LINK_OPEN || (l->outgoing && !move_queued(l))) {
		TAILQ_FOREACH (m, &l->queued, entry)
			report_unsent_try(l->task, m);
		report_link_down(l->task, l->peer, l->state == LINK_OPEN);
	}
	link_free(l);
}

static void send_frame(struct link *, struct msg *);

/* Tell the core that a request was not sent, as if the peer had refused it. */
static void
refuse_request(struct link *l, const struct msg *request)
{
	struct msg *reply = msg_create(MSG_REPLY);

	reply->peer = l->peer;
	reply->seq = request->seq;
	reply_fail(&reply->u.reply, failure_make(VERDICT_NOT_RUN, REASON_SHED));
	reply->u.reply.allowance = request->u.forward.context.allowance;
	task_send(l->task->daemon->decide, reply);
}

/*
 * Handle a message that is too long for a peer that takes no pieces: a request
 * has not run, and of a response only the failure is sent.
 */
static void
refuse_long_message(struct link *l, struct msg *m, size_t bytes)
{
	log_line(LOG_ERR, "frame-too-long", "kind=%s bytes=%zu",
	    msg_kind_name(m->kind), bytes);
	if (m->kind == MSG_FORWARD) {
		refuse_request(l, m);
	} else if (m->kind == MSG_REPLY) {
		reply_release(&m->u.reply);
		reply_fail(
		    &m->u.reply, failure_make(VERDICT_RAN, REASON_ANSWER_GONE));
		send_frame(l, m);
		return;
	}
	msg_destroy(m);
}

/* Send a message as one frame. */
static void
send_frame(struct link *l, struct msg *m)
{
	struct buffer buf = {0};

	frame_encode(m, &buf);
	l->last_sent_us = l->last_msg_us = daemon_now().mono_us;
	if (buf.len <= FRAME_MAX_BODY_BYTES) {
		stream_write(l->stream, buf.data, buf.len);
		msg_destroy(m);
	} else {
		refuse_long_message(l, m, buf.len);
	}
	buffer_release(&buf);
	link_charge(l);
}

static void
send_message(struct link *l, struct msg *m)
{
	if (m->kind == MSG_FORWARD &&
	    stream_bytes_pending(l->stream) > MAX_REQUEST_OUTPUT_BYTES) {
		refuse_request(l, m);
		msg_destroy(m);
		return;
	}
	note_message(l, m);
	if (l->peer_piece_bytes >= PIECE_BYTES && pieces_are_worthwhile(m))
		pieces_send(l->pieces, m, l->last_msg_us);
	else
		send_frame(l, m);
}

static void
on_send(void *owner, struct msg *m)
{
	/* A message whose body follows was counted by send_message(). */
	if (m->body_follows == 0)
		note_message(owner, m);
	send_frame(owner, m);
}

static void
on_send_piece(
    void *owner, uint64_t seq, bool of_reply, const void *data, size_t len)
{
	struct buffer buf = {0};
	struct link *l = owner;

	frame_encode_piece(seq, of_reply, data, len, &buf);
	stream_write(l->stream, buf.data, buf.len);
	buffer_release(&buf);
	l->last_sent_us = l->last_msg_us = daemon_now().mono_us;
	link_charge(l);
}

static bool
has_room(void *owner)
{
	const struct link *l = owner;

	return stream_bytes_pending(l->stream) < PIECES_OUTPUT_BYTES;
}

/* Pass a message to the core that has arrived with its body. */
static void
on_arrived(void *owner, struct msg *m)
{
	struct link *l = owner;

	/* A request was counted when it began to arrive. */
	if (m->kind == MSG_REPLY)
		note_message(l, m);
	task_send(l->task->daemon->decide, m);
}

static const struct pieces_ops pieces_ops = {
    on_send, on_send_piece, has_room, on_arrived};

static void
link_set_open(struct link *l)
{
	struct msg *m;

	l->state = LINK_OPEN;
	while ((m = link_dequeue(l)) != NULL)
		send_message(l, m);
}

/*
 * Handle one frame of the handshake.  False if it is out of order, from
 * another daemon than the one connected to, or proves another secret.
 */
static bool
handle_handshake(struct link *l, const struct handshake *h)
{
	struct handshake proof = {.is_hello = false};
	uint8_t want[FRAME_MAC_LEN];

	if (l->state == LINK_HELLO && h->is_hello) {
		if (l->outgoing && !addr_equal(l->peer, h->addr))
			return false;
		l->peer = h->addr;
		memcpy(l->peer_nonce, h->nonce, FRAME_NONCE_LEN);
		l->peer_idle_silence_ms = h->idle_silence_ms;
		l->peer_piece_bytes = h->piece_bytes;
		compute_proof(l, true, proof.mac);
		send_handshake(l, &proof);
		l->state = LINK_PROOF;
		return true;
	}
	if (l->state != LINK_PROOF || h->is_hello)
		return false;
	compute_proof(l, false, want);
	if (sodium_memcmp(want, h->mac, FRAME_MAC_LEN) != 0)
		return false;
	link_set_open(l);
	return true;
}

static bool
is_keepalive_frame(const uint8_t *data, size_t len)
{
	return len >= FRAME_LENGTH_BYTES &&
	       (data[0] | data[1] | data[2] | data[3]) == 0;
}

/* Tell the peer that the request which it cancelled has not run. */
static void
confirm_cancel(struct link *l, uint64_t seq)
{
	struct msg *m = msg_create(MSG_REPLY);

	m->peer = l->peer;
	m->seq = seq;
	reply_fail(
	    &m->u.reply, failure_make(VERDICT_NOT_RUN, REASON_CANCELLED));
	send_message(l, m);
}

/* Handle a message of the peer; false: it may not send such a one. */
static bool
handle_message(struct link *l, struct msg *m)
{
	if (m->kind == MSG_REPLY)
		pieces_stop_request(l->pieces, m->seq);
	if (m->kind == MSG_PIECE || m->body_follows != 0) {
		if (m->kind == MSG_FORWARD)
			note_message(l, m);
		return pieces_receive(l->pieces, m, l->last_received_us);
	}
	if (m->kind == MSG_CANCEL &&
	    pieces_cancelled_by_peer(l->pieces, m->seq))
		confirm_cancel(l, m->seq);
	note_message(l, m);
	task_send(l->task->daemon->decide, m);
	return true;
}

static enum frame_status
handle_frame(struct link *l, const uint8_t *data, size_t len, size_t *used)
{
	struct handshake h;
	enum frame_status status;
	struct msg *m;

	if (l->state != LINK_OPEN) {
		status = frame_decode_handshake(data, len, &h, used);
		if (status == FRAME_OK && !handle_handshake(l, &h))
			return FRAME_MALFORMED;
		return status;
	}
	if (is_keepalive_frame(data, len)) {
		*used = FRAME_LENGTH_BYTES;
		return FRAME_OK;
	}
	status = frame_decode(data, len, &m, used);
	if (status != FRAME_OK)
		return status;
	m->peer = l->peer;
	return handle_message(l, m) ? FRAME_OK : FRAME_MALFORMED;
}

/* Handle all complete frames; returns the bytes used, or -1 on an error. */
static ssize_t
handle_frames(struct link *l, const uint8_t *data, size_t len)
{
	char text[ADDR_TEXT_LEN];
	enum frame_status status;
	size_t consumed = 0, used = 0;

	while (len - consumed >= FRAME_LENGTH_BYTES) {
		status =
		    handle_frame(l, data + consumed, len - consumed, &used);
		if (status == FRAME_INCOMPLETE)
			break;
		if (status != FRAME_OK) {
			log_line(LOG_WARNING, "bad-frame",
			    "peer=%s state=%d status=%d",
			    addr_text(l->peer, text), l->state, status);
			return -1;
		}
		consumed += used;
	}
	return (ssize_t)consumed;
}

/*
 * The bytes of the buffer's first frame, its length field included, or of the
 * length field alone if not even that is complete.
 */
static size_t
frame_length(struct evbuffer *in)
{
	uint8_t field[FRAME_LENGTH_BYTES];

	if (evbuffer_copyout(in, field, FRAME_LENGTH_BYTES) !=
	    FRAME_LENGTH_BYTES)
		return FRAME_LENGTH_BYTES;
	return FRAME_LENGTH_BYTES + ((size_t)field[0] << 24 |
					(size_t)field[1] << 16 |
					(size_t)field[2] << 8 | field[3]);
}

static void
on_read(void *owner, const char *data, size_t len)
{
	struct link *l = owner;
	ssize_t used;

	l->last_received_us = daemon_now().mono_us;
	holder_moved(&l->memory, len, l->last_received_us);
	/*
	 * Frames are decoded where they were received; only the start of an
	 * incomplete one is copied, and not decoded until all of it is there.
	 */
	if (evbuffer_get_length(l->input) == 0) {
		used = handle_frames(l, (const uint8_t *)data, len);
		if (used >= 0)
			evbuffer_add(l->input, data + used, len - (size_t)used);
	} else {
		evbuffer_add(l->input, data, len);
		len = evbuffer_get_length(l->input);
		if (frame_length(l->input) >
		    FRAME_LENGTH_BYTES + FRAME_MAX_BODY_BYTES) {
			link_close(l, "frame-too-long");
			return;
		}
		if (len < frame_length(l->input)) {
			link_charge(l);
			return;
		}
		used = handle_frames(l, evbuffer_pullup(l->input, -1), len);
		if (used > 0)
			evbuffer_drain(l->input, (size_t)used);
	}
	if (used < 0)
		link_close(l, "bad-frame");
	else
		link_charge(l);
}

static void
on_sent(void *owner, size_t len)
{
	uint64_t now_us = daemon_now().mono_us;
	struct link *l = owner;

	holder_moved(&l->memory, len, now_us);
	pieces_push(l->pieces, now_us);
	link_charge(l);
}

static void
link_give_way(void *owner)
{
	link_close(owner, "memory");
}

static const struct holder_ops link_holder = {HOLDER_LINK, true, link_give_way};
static const struct holder_ops descriptor_holder = {HOLDER_LINK, true, NULL};

static void
on_closed(void *owner, enum stream_end end)
{
	link_close(owner, end == STREAM_CONNECT_FAILED ? "refused" : "lost");
}

static void
on_connected(void *owner)
{
	send_hello(owner);
}

static const struct stream_ops stream_ops = {
    .read = on_read,
    .closed = on_closed,
    .connected = on_connected,
    .sent = on_sent,
};

static struct link *
link_create(struct link_task *s, bool outgoing)
{
	struct link *l = xcalloc(1, sizeof(*l));

	l->task = s;
	l->outgoing = outgoing;
	l->created_us = l->last_msg_us = l->last_received_us =
	    daemon_now().mono_us;
	l->input = evbuffer_new();
	TAILQ_INIT(&l->queued);
	l->pieces = pieces_create(s->daemon->memory, &pieces_ops, l);
	holder_init(
	    &l->memory, s->daemon->memory, &link_holder, l, l->created_us);
	holder_init(&l->descriptor, s->daemon->descriptors, &descriptor_holder,
	    l, 0 /* gives no way */);
	holder_set(&l->descriptor, 1);
	randombytes_buf(l->nonce, sizeof(l->nonce));
	return l;
}

static void
link_add(struct link_task *s, struct link *l)
{
	LIST_INSERT_HEAD(&s->links, l, entry);
	s->nlinks++;
	link_charge(l);
}

static void
on_accept(void *owner, int fd)
{
	struct link_task *s = owner;
	struct link *l;

	if (s->nlinks >= s->daemon->settings->max_links) {
		log_line(LOG_WARNING, "too-many-links", "links=%llu",
		    (unsigned long long)s->nlinks);
		close(fd);
		return;
	}
	l = link_create(s, false);
	l->stream = stream_accept(s->daemon->base, fd, &stream_ops, l);
	link_add(s, l);
	send_hello(l);
}

static struct link *
link_connect(struct link_task *s, struct addr peer)
{
	struct link *l = link_create(s, true);

	l->peer = peer;
	l->stream = stream_connect(s->daemon->base, peer, &stream_ops, l);
	if (l->stream == NULL) {
		pieces_destroy(l->pieces);
		holder_release(&l->memory);
		holder_release(&l->descriptor);
		evbuffer_free(l->input);
		free(l);
		return NULL;
	}
	link_add(s, l);
	return l;
}

/* An open link to the peer, else one that this daemon is opening, else NULL. */
static struct link *
link_find(struct link_task *s, struct addr peer)
{
	uint64_t now_us = daemon_now().mono_us;
	struct link *l, *best = NULL;

	LIST_FOREACH (l, &s->links, entry) {
		if (!addr_equal(l->peer, peer))
			continue;
		if (l->state == LINK_OPEN &&
		    silence_us(l, now_us) <= DOUBTFUL_SILENCE_US)
			return l;
		if (l->state != LINK_OPEN && l->outgoing)
			best = l;
	}
	return best;
}

/* Report a message for which no connection could be made, and destroy it. */
static void
report_connect_failure(struct link_task *s, struct msg *m)
{
	report_unsent_try(s, m);
	report_link_down(s, m->peer, false);
	msg_destroy(m);
}

/* Links that are not open carry no replies: those are dropped with them. */
static bool
is_flushed(const void *owner)
{
	const struct link_task *s = owner;
	const struct link *l;

	LIST_FOREACH (l, &s->links, entry) {
		if (l->state == LINK_OPEN && (pieces_are_unsent(l->pieces) ||
						 !stream_is_flushed(l->stream)))
			return false;
	}
	return true;
}

/* A call is not wanted any more: send and take no more of its bodies. */
static void
stop_bodies(struct link_task *s, const struct msg *cancel)
{
	struct link *l;

	LIST_FOREACH (l, &s->links, entry) {
		if (!addr_equal(l->peer, cancel->peer))
			continue;
		pieces_stop_request(l->pieces, cancel->seq);
		pieces_drop_response(l->pieces, cancel->seq);
	}
}

static void
receive(void *state, struct msg *m)
{
	struct link_task *s = state;
	struct link *l;

	if (m->kind == MSG_FLUSH) {
		flush_watch_start(s->flush, m->seq);
		msg_destroy(m);
		return;
	}
	if (m->kind == MSG_CANCEL)
		stop_bodies(s, m);
	l = link_find(s, m->peer);
	if (l == NULL)
		l = link_connect(s, m->peer);
	if (l == NULL) {
		report_connect_failure(s, m);
		return;
	}
	if (l->state != LINK_OPEN) {
		link_enqueue(l, m);
		return;
	}
	send_message(l, m);
	if (stream_bytes_pending(l->stream) > MAX_OUTPUT_BYTES)
		link_close(l, "peer-does-not-read");
}

static void
send_keepalive(struct link *l, uint64_t now_us)
{
	static const uint8_t empty[FRAME_LENGTH_BYTES];

	l->last_sent_us = now_us;
	stream_write(l->stream, empty, sizeof(empty));
}

static uint64_t
silence_timeout_us(const struct link *l, uint64_t now_us)
{
	return has_calls(l, now_us) ? BUSY_SILENCE_TIMEOUT_US
				    : IDLE_SILENCE_TIMEOUT_US;
}

static uint64_t
keepalive_interval_us(const struct link *l, uint64_t now_us)
{
	bool peer_bears_silence =
	    l->peer_idle_silence_ms >= IDLE_SILENCE_TIMEOUT_US / MSEC_US;

	return peer_bears_silence && !has_calls(l, now_us)
		   ? IDLE_KEEPALIVE_INTERVAL_US
		   : BUSY_KEEPALIVE_INTERVAL_US;
}

static void
link_sweep(struct link *l, uint64_t now_us)
{
	if (l->state != LINK_OPEN) {
		if (now_us - l->created_us > HANDSHAKE_TIMEOUT_US)
			link_close(l, "no-handshake");
		return;
	}
	if (silence_us(l, now_us) > silence_timeout_us(l, now_us)) {
		link_close(l, "silent");
		return;
	}
	if (l->outgoing && now_us - l->last_msg_us > IDLE_TIMEOUT_US) {
		link_close(l, "idle");
		return;
	}
	if (now_us - l->last_sent_us >= keepalive_interval_us(l, now_us))
		send_keepalive(l, now_us);
}

static void
on_sweep(evutil_socket_t fd, short what, void *arg)
{
	uint64_t now_us = daemon_now().mono_us;
	struct link_task *s = arg;
	struct link *l, *next;

	(void)fd;
	(void)what;
	LIST_FOREACH_SAFE (l, &s->links, entry, next)
		link_sweep(l, now_us);
}

static void
destroy(void *state)
{
	struct link_task *s = state;
	struct link *l;

	while ((l = LIST_FIRST(&s->links)) != NULL)
		link_free(l);
	listener_destroy(s->listener);
	event_free(s->sweep);
	flush_watch_destroy(s->flush);
	free(s);
}

static const struct task_ops ops = {receive, destroy};

struct task *
link_task_create(struct daemon *d)
{
	struct timeval tv = {
	    SWEEP_INTERVAL_US / SEC_US, SWEEP_INTERVAL_US % SEC_US};
	struct link_task *s = xcalloc(1, sizeof(*s));
	struct addr at = d->settings->link_bind;
	char text[ADDR_TEXT_LEN];

	if (at.port == 0)
		at = d->settings->link;

	s->daemon = d;
	LIST_INIT(&s->links);
	s->listener = listener_create(d->base, at, on_accept, s);
	if (s->listener == NULL) {
		log_line(LOG_ERR, "bind-failed", "port=link addr=%s",
		    addr_text(at, text));
		free(s);
		return NULL;
	}
	s->sweep = event_new(d->base, -1, EV_PERSIST, on_sweep, s);
	event_add(s->sweep, &tv);
	s->flush = flush_watch_create(d, is_flushed, s);
	return task_create(d->base, "link", &ops, s);
}
