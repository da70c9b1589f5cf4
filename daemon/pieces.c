#include <stdlib.h>
#include <string.h>

#include "daemon/body.h"
#include "daemon/pieces.h"
#include "wire/frame.h"

/* The rest of a body that is being sent. */
struct sending {
	TAILQ_ENTRY(sending) entry;
	struct pieces *pieces;
	uint64_t seq;
	bool of_reply;
	struct buffer body;
	size_t sent;
	struct holder memory;
};

/* A message whose body is arriving. */
struct arriving {
	TAILQ_ENTRY(arriving) entry;
	struct pieces *pieces;
	struct msg *msg;
	struct body body;
	uint64_t started_us; /* when the message arrived */
	struct holder memory;
};

TAILQ_HEAD(sending_queue, sending);
TAILQ_HEAD(arriving_list, arriving);

struct pieces {
	struct account *memory;
	const struct pieces_ops *ops;
	void *owner;
	struct sending_queue sending; /* the next piece is of the first */
	struct arriving_list arriving;
};

static struct buffer *
body_of(struct msg *m)
{
	return m->kind == MSG_FORWARD ? &m->u.forward.request.body
				      : &m->u.reply.body;
}

struct pieces *
pieces_create(struct account *memory, const struct pieces_ops *ops, void *owner)
{
	struct pieces *p = xcalloc(1, sizeof(*p));

	p->memory = memory;
	p->ops = ops;
	p->owner = owner;
	TAILQ_INIT(&p->sending);
	TAILQ_INIT(&p->arriving);
	return p;
}

static void
sending_free(struct sending *s)
{
	TAILQ_REMOVE(&s->pieces->sending, s, entry);
	holder_release(&s->memory);
	buffer_release(&s->body);
	free(s);
}

/* Free what has arrived, without the message. */
static void
arriving_free(struct arriving *a)
{
	TAILQ_REMOVE(&a->pieces->arriving, a, entry);
	holder_release(&a->memory);
	body_release(&a->body);
	free(a);
}

static void
arriving_destroy(struct arriving *a)
{
	msg_destroy(a->msg);
	arriving_free(a);
}

void
pieces_destroy(struct pieces *p)
{
	struct sending *s;
	struct arriving *a;

	if (p == NULL)
		return;
	while ((s = TAILQ_FIRST(&p->sending)) != NULL)
		sending_free(s);
	while ((a = TAILQ_FIRST(&p->arriving)) != NULL)
		arriving_destroy(a);
	free(p);
}

bool
pieces_are_worthwhile(const struct msg *m)
{
	size_t len = 0;

	if (m->kind == MSG_FORWARD)
		len = m->u.forward.request.body.len;
	else if (m->kind == MSG_REPLY)
		len = m->u.reply.body.len;
	return len > PIECE_BYTES && len <= FRAME_MAX_FOLLOWING_BYTES;
}

/* Tell the peer that the rest of a response will not follow. */
static void
sending_give_way(void *owner)
{
	struct sending *s = owner;
	struct pieces *p = s->pieces;

	p->ops->send_piece(p->owner, s->seq, s->of_reply, NULL, 0);
	sending_free(s);
}

static const struct holder_ops response_holder = {
    HOLDER_LEAVING, false, sending_give_way};
static const struct holder_ops request_holder = {HOLDER_LEAVING, false, NULL};

void
pieces_send(struct pieces *p, struct msg *m, uint64_t now_us)
{
	struct sending *s = xcalloc(1, sizeof(*s));

	s->pieces = p;
	s->seq = m->seq;
	s->of_reply = m->kind == MSG_REPLY;
	buffer_move(&s->body, body_of(m));
	m->body_follows = s->body.len;
	TAILQ_INSERT_TAIL(&p->sending, s, entry);
	p->ops->send(p->owner, m);
	holder_init(&s->memory, p->memory,
	    s->of_reply ? &response_holder : &request_holder, s, now_us);
	if (s->of_reply)
		holder_set(&s->memory, sizeof(*s) + s->body.len);
	pieces_push(p, now_us);
}

bool
pieces_are_unsent(const struct pieces *p)
{
	return !TAILQ_EMPTY(&p->sending);
}

void
pieces_push(struct pieces *p, uint64_t now_us)
{
	struct sending *s;
	size_t len;

	while ((s = TAILQ_FIRST(&p->sending)) != NULL &&
	       p->ops->has_room(p->owner)) {
		len = s->body.len - s->sent;
		if (len > PIECE_BYTES)
			len = PIECE_BYTES;
		p->ops->send_piece(
		    p->owner, s->seq, s->of_reply, s->body.data + s->sent, len);
		s->sent += len;
		holder_moved(&s->memory, len, now_us);
		if (s->sent == s->body.len) {
			sending_free(s);
			continue;
		}
		/* The bodies take turns. */
		TAILQ_REMOVE(&p->sending, s, entry);
		TAILQ_INSERT_TAIL(&p->sending, s, entry);
	}
}

static struct arriving *
find_arriving(struct pieces *p, uint64_t seq, bool of_reply)
{
	struct arriving *a;

	TAILQ_FOREACH (a, &p->arriving, entry) {
		if (a->msg->seq == seq &&
		    (a->msg->kind == MSG_REPLY) == of_reply)
			return a;
	}
	return NULL;
}

static struct sending *
find_sending(struct pieces *p, uint64_t seq, bool of_reply)
{
	struct sending *s;

	TAILQ_FOREACH (s, &p->sending, entry) {
		if (s->seq == seq && s->of_reply == of_reply)
			return s;
	}
	return NULL;
}

/* Hand out the response that is arriving as one that is lost. */
static void
lose_response(struct arriving *a)
{
	struct pieces *p = a->pieces;
	struct msg *m = a->msg;

	reply_fail(&m->u.reply, failure_make(VERDICT_RAN, REASON_ANSWER_GONE));
	m->body_follows = 0;
	arriving_free(a);
	p->ops->arrived(p->owner, m);
}

/* Refuse the request that is arriving, of which nothing was passed on. */
static void
refuse_request(struct arriving *a)
{
	struct msg *m = msg_create(MSG_REPLY);
	struct pieces *p = a->pieces;

	m->peer = a->msg->peer;
	m->seq = a->msg->seq;
	reply_fail(&m->u.reply, failure_make(VERDICT_NOT_RUN, REASON_SHED));
	m->u.reply.allowance = a->msg->u.forward.context.allowance;
	arriving_destroy(a);
	p->ops->send(p->owner, m);
}

static void
arriving_give_way(void *owner)
{
	struct arriving *a = owner;
	struct pieces *p = a->pieces;
	struct msg *m;

	if (a->msg->kind == MSG_FORWARD) {
		refuse_request(a);
		return;
	}
	/* The peer need not send the rest. */
	m = msg_create(MSG_CANCEL);
	m->peer = a->msg->peer;
	m->seq = a->msg->seq;
	p->ops->send(p->owner, m);
	lose_response(a);
}

static const struct holder_ops arriving_holder = {
    HOLDER_ARRIVING, false, arriving_give_way};

/* A message whose body follows; false if one with its number is arriving. */
static bool
begin_body(struct pieces *p, struct msg *m, uint64_t now_us)
{
	bool of_reply = m->kind == MSG_REPLY;
	struct arriving *a;

	if (find_arriving(p, m->seq, of_reply) != NULL) {
		msg_destroy(m);
		return false;
	}
	if (of_reply && m->u.reply.failure.reason != REASON_NONE) {
		/* It was no valid response: its body is not wanted. */
		m->body_follows = 0;
		p->ops->arrived(p->owner, m);
		return true;
	}
	a = xcalloc(1, sizeof(*a));
	a->pieces = p;
	a->msg = m;
	a->started_us = now_us;
	TAILQ_INSERT_TAIL(&p->arriving, a, entry);
	holder_init(&a->memory, p->memory, &arriving_holder, a, now_us);
	holder_set(&a->memory, sizeof(*a) + sizeof(*m));
	return true;
}

/* The time that a request took to arrive is taken off what it has left. */
static void
take_off(uint64_t *left_ms, uint64_t took_ms)
{
	*left_ms = *left_ms > took_ms ? *left_ms - took_ms : 0;
}

static void
finish_body(struct arriving *a, uint64_t now_us)
{
	uint64_t took_ms = (now_us - a->started_us) / MSEC_US;
	struct pieces *p = a->pieces;
	struct msg *m = a->msg;
	size_t len;
	char *data;

	data = body_join(&a->body, &len);
	buffer_adopt(body_of(m), data, len);
	m->body_follows = 0;
	if (m->kind == MSG_FORWARD) {
		take_off(&m->u.forward.context.deadline_ms, took_ms);
		take_off(&m->u.forward.context.goal_ms, took_ms);
	}
	arriving_free(a);
	p->ops->arrived(p->owner, m);
}

static bool
add_piece(struct pieces *p, const struct msg *m, uint64_t now_us)
{
	const struct piece *piece = &m->u.piece;
	struct arriving *a = find_arriving(p, m->seq, piece->of_reply);

	/* It was dropped here, and the peer does not know yet. */
	if (a == NULL)
		return true;
	if (piece->dropped) {
		if (piece->of_reply)
			lose_response(a);
		else
			arriving_destroy(a);
		return true;
	}
	if (piece->data.len > a->msg->body_follows - a->body.len)
		return false;
	body_append(&a->body, piece->data.data, piece->data.len);
	holder_set(&a->memory, sizeof(*a) + sizeof(*m) + body_memory(&a->body));
	holder_moved(&a->memory, piece->data.len, now_us);
	if (a->body.len == a->msg->body_follows)
		finish_body(a, now_us);
	return true;
}

bool
pieces_receive(struct pieces *p, struct msg *m, uint64_t now_us)
{
	bool ok;

	if (m->kind != MSG_PIECE)
		return begin_body(p, m, now_us);
	ok = add_piece(p, m, now_us);
	msg_destroy(m);
	return ok;
}

void
pieces_stop_request(struct pieces *p, uint64_t seq)
{
	struct sending *s = find_sending(p, seq, false);

	if (s != NULL)
		sending_free(s);
}

void
pieces_drop_response(struct pieces *p, uint64_t seq)
{
	struct arriving *a = find_arriving(p, seq, true);

	if (a != NULL)
		arriving_destroy(a);
}

bool
pieces_cancelled_by_peer(struct pieces *p, uint64_t seq)
{
	struct arriving *a = find_arriving(p, seq, false);
	struct sending *s = find_sending(p, seq, true);

	if (s != NULL)
		sending_free(s);
	if (a == NULL)
		return false;
	arriving_destroy(a);
	return true;
}
