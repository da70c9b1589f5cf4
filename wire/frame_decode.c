#include <math.h>
#include <string.h>

#include "core/position.h"
#include "wire/frame.h"
#include "wire/http_syntax.h"
#include "wire/link.pb-c.h"

/* Calls that wait for a token, or tokens for them, of one organisation. */
#define MAX_SHARE_CALLS 1000000

/* Bounds rates, bursts, tokens and demands, in calls or calls a second. */
#define MAX_AMOUNT 1e12

/*
 * The decode functions copy a protobuf message to a struct of the core.
 * Each returns false if the content is not allowed: a string too long for
 * its field, a number out of range, or a part that is missing.
 */

static bool
copy_string(char *dst, size_t n, const char *src)
{
	if (strlen(src) >= n)
		return false;
	name_copy(dst, src, n);
	return true;
}

static void
copy_bytes(struct buffer *b, const ProtobufCBinaryData *data)
{
	buffer_set(b, data->data, data->len);
}

static bool
decode_context(struct call_context *c, const Link__Context *p)
{
	if (p == NULL || p->importance >= IMPORTANCE_COUNT || p->level > 255)
		return false;
	c->tree_id = p->tree;
	c->importance = p->importance;
	c->level = p->level;
	c->deadline_ms = p->deadline_ms;
	c->allowance = p->allowance;
	c->job = p->job;
	c->goal_ms = p->goal_ms;
	return copy_string(c->org, sizeof(c->org), p->org);
}

static bool
decode_forward(struct forward *f, const Link__Forward *p)
{
	f->idempotent = p->idempotent;
	f->owned = p->owned;
	f->incarnation = p->incarnation;
	f->config_version = p->config_version;
	copy_bytes(&f->request.headers, &p->headers);
	copy_bytes(&f->request.body, &p->body);
	return decode_context(&f->context, p->context) &&
	       copy_string(f->service, sizeof(f->service), p->service) &&
	       copy_string(f->id, sizeof(f->id), p->id) &&
	       copy_string(f->caller, sizeof(f->caller), p->caller) &&
	       copy_string(f->request.host, HOST_LEN, p->host) &&
	       copy_string(f->request.method, METHOD_LEN, p->method) &&
	       copy_string(f->request.path, PATH_LEN, p->path);
}

static bool
decode_reply(struct reply *r, const Link__Reply *p)
{
	if (p == NULL || p->verdict > VERDICT_RAN ||
	    p->reason >= REASON_COUNT ||
	    p->threshold_importance >= IMPORTANCE_COUNT ||
	    p->threshold_level > 255 || p->status > 999 || p->pressure > 1000)
		return false;
	r->status = p->status;
	r->failure = failure_make(p->verdict, p->reason);
	copy_bytes(&r->headers, &p->headers);
	copy_bytes(&r->body, &p->body);
	r->allowance = p->allowance;
	r->tries = p->tries;
	r->retry_after_ms = p->retry_after_ms;
	r->threshold.importance = p->threshold_importance;
	r->threshold.level = p->threshold_level;
	r->load_permille = p->load;
	r->leaving = p->leaving;
	r->may_have_reached_target = p->reached;
	r->pressure_permille = p->pressure;
	return true;
}

/* Whether a reply is a response that a target can have sent. */
static bool
is_response(const struct reply *r)
{
	return r->failure.reason == REASON_NONE &&
	       http_is_final_status((uint64_t)r->status) &&
	       http_are_field_lines(r->headers.data, r->headers.len);
}

/*
 * A reply that is neither a failure nor a response becomes a failure.  The link
 * is not closed for it, as other calls use it.
 */
static bool
decode_answer(struct reply *r, const Link__Reply *p)
{
	if (!decode_reply(r, p))
		return false;
	if (r->failure.reason != REASON_NONE || is_response(r))
		return true;
	reply_fail(r, failure_make(VERDICT_MAY_HAVE_RUN, REASON_TARGET_FAILED));
	buffer_release(&r->headers);
	buffer_release(&r->body);
	return true;
}

static bool
decode_fate(struct fate *f, const Link__Fate *p)
{
	if (p->state > FATE_UNKNOWN)
		return false;
	f->seq = p->seq;
	f->incarnation = p->incarnation;
	f->state = p->state;
	return copy_string(f->org, sizeof(f->org), p->org) &&
	       copy_string(f->id, sizeof(f->id), p->id);
}

static bool
decode_member(struct member_record *r, const Link__Member *p)
{
	if (p == NULL || p->state > MEMBER_GONE || p->port > UINT16_MAX)
		return false;
	r->addr.ip = p->ip;
	r->addr.port = p->port;
	r->incarnation = p->incarnation;
	r->state = p->state;
	r->slots = p->slots;
	r->start = p->start;
	r->start_ended = p->start_ended;
	return copy_string(r->dc, sizeof(r->dc), p->dc);
}

static bool
decode_members_ask(struct members_ask *a, const Link__MembersAsk *p)
{
	a->digest = p->digest;
	a->sent_us = p->sent_us;
	a->is_target = p->is_target;
	a->owners_epoch = p->owners_epoch;
	if (p->is_target && !decode_member(&a->self, p->self))
		return false;
	return copy_string(a->service, sizeof(a->service), p->service);
}

static bool
decode_members(struct members *m, const Link__Members *p)
{
	size_t i;

	if (p->n_records > FRAME_MAX_MEMBERS ||
	    p->threshold_importance >= IMPORTANCE_COUNT ||
	    p->threshold_level > 255 || p->pressure > 1000)
		return false;
	m->pressure_permille = p->pressure;
	m->sent_us = p->sent_us;
	m->owners_known = p->owners_known;
	m->owners_epoch = p->owners_epoch;
	copy_bytes(&m->owners_text, &p->owners_text);
	m->load_permille = p->load;
	m->threshold.importance = p->threshold_importance;
	m->threshold.level = p->threshold_level;
	m->records = xcalloc(p->n_records + 1, sizeof(*m->records));
	m->count = p->n_records;
	for (i = 0; i < p->n_records; i++) {
		if (!decode_member(&m->records[i], p->records[i]))
			return false;
	}
	return copy_string(m->service, sizeof(m->service), p->service) &&
	       copy_string(m->owners_dc, sizeof(m->owners_dc), p->owners_dc);
}

static bool
decode_handover(struct handover *h, const Link__Handover *p)
{
	if (!decode_reply(&h->reply, p->reply))
		return false;
	h->last = p->last;
	h->has_reply = p->kept && is_response(&h->reply);
	h->may_have_run = p->doubt;
	return copy_string(h->service, sizeof(h->service), p->service) &&
	       copy_string(h->org, sizeof(h->org), p->org) &&
	       copy_string(h->id, sizeof(h->id), p->id);
}

static bool
decode_config(struct config *c, const Link__Config *p)
{
	if (p->redirect_port > UINT16_MAX || p->prefix > FRAME_MAX_BODY_BYTES ||
	    p->suffix > FRAME_MAX_BODY_BYTES)
		return false;
	if (!position_make(p->version_era, p->version, &c->version) ||
	    !position_make(
		p->base_version_era, p->base_version, &c->base_version) ||
	    !position_make(p->epoch_era, p->epoch, &c->epoch))
		return false;
	c->revision = p->revision;
	c->digest = p->digest;
	c->prefix_bytes = p->prefix;
	c->suffix_bytes = p->suffix;
	c->confirmed_age_ms = p->confirmed_ms;
	c->redirect.ip = p->redirect_ip;
	c->redirect.port = p->redirect_port;
	c->incarnation = p->incarnation;
	c->accepted = p->accepted;
	copy_bytes(&c->text, &p->text);
	return true;
}

static bool
is_valid_amount(double v)
{
	return isfinite(v) && v >= 0 && v < MAX_AMOUNT;
}

static bool
decode_share(struct share *s, const Link__Share *p)
{
	const Link__ShareItem *item;
	size_t i;

	if (p->n_items > MSG_MAX_SHARES ||
	    !position_make(p->epoch_era, p->epoch, &s->epoch) ||
	    !copy_string(s->dc, sizeof(s->dc), p->dc))
		return false;
	s->incarnation = p->incarnation;
	s->sent_us = p->sent_us;
	s->ttl_us = p->ttl_us;
	s->for_pool = p->pool;
	s->complete = p->complete;
	s->count = p->n_items;
	for (i = 0; i < p->n_items; i++) {
		item = p->items[i];
		if (!is_valid_amount(item->rate) ||
		    !is_valid_amount(item->burst) ||
		    !is_valid_amount(item->tokens) ||
		    !is_valid_amount(item->demand) ||
		    item->waiting > MAX_SHARE_CALLS ||
		    item->fetched > MAX_SHARE_CALLS ||
		    item->recall > MAX_SHARE_CALLS ||
		    !copy_string(s->items[i].org, NAME_LEN, item->org))
			return false;
		s->items[i].rate = item->rate;
		s->items[i].burst = item->burst;
		s->items[i].tokens = item->tokens;
		s->items[i].demand = item->demand;
		s->items[i].grant_number = item->number;
		s->items[i].waiting_calls = item->waiting;
		s->items[i].fetched_tokens = item->fetched;
		s->items[i].fetched_ttl_us = item->fresh_us;
		s->items[i].recalled_tokens = item->recall;
	}
	return true;
}

static const struct {
	Link__Frame__BodyCase body;
	enum msg_kind kind;
} body_kinds[] = {
    {LINK__FRAME__BODY_FORWARD, MSG_FORWARD},
    {LINK__FRAME__BODY_REPLY, MSG_REPLY},
    {LINK__FRAME__BODY_CANCEL, MSG_CANCEL},
    {LINK__FRAME__BODY_ASK_FATE, MSG_ASK_FATE},
    {LINK__FRAME__BODY_FATE, MSG_FATE},
    {LINK__FRAME__BODY_MEMBERS_ASK, MSG_MEMBERS_ASK},
    {LINK__FRAME__BODY_MEMBERS, MSG_MEMBERS},
    {LINK__FRAME__BODY_HANDOVER, MSG_HANDOVER},
    {LINK__FRAME__BODY_CONFIG_ASK, MSG_CONFIG_ASK},
    {LINK__FRAME__BODY_CONFIG, MSG_CONFIG},
    {LINK__FRAME__BODY_SHARE_ASK, MSG_SHARE_ASK},
    {LINK__FRAME__BODY_SHARE, MSG_SHARE},
    {LINK__FRAME__BODY_PIECE, MSG_PIECE},
};

/* Creates the message for a frame's body; NULL for the handshake or no body. */
static struct msg *
create_message(Link__Frame__BodyCase body)
{
	size_t i;

	for (i = 0; i < sizeof(body_kinds) / sizeof(body_kinds[0]); i++) {
		if (body_kinds[i].body == body)
			return msg_create(body_kinds[i].kind);
	}
	return NULL;
}

/* A body either comes with its message or follows it. */
static bool
decode_follows(struct msg *m, uint64_t bytes, const struct buffer *body)
{
	m->body_follows = bytes;
	return bytes == 0 ||
	       (body->len == 0 && bytes <= FRAME_MAX_FOLLOWING_BYTES);
}

static bool
decode_body(struct msg *m, const Link__Frame *f)
{
	switch (f->body_case) {
	case LINK__FRAME__BODY_FORWARD:
		return decode_forward(&m->u.forward, f->forward) &&
		       decode_follows(m, f->forward->body_follows,
			   &m->u.forward.request.body);
	case LINK__FRAME__BODY_REPLY:
		return decode_answer(&m->u.reply, f->reply) &&
		       decode_follows(
			   m, f->reply->body_follows, &m->u.reply.body);
	case LINK__FRAME__BODY_PIECE:
		m->u.piece.of_reply = f->piece->of_reply;
		m->u.piece.dropped = f->piece->dropped;
		copy_bytes(&m->u.piece.data, &f->piece->data);
		return f->piece->data.len > 0 || f->piece->dropped;
	case LINK__FRAME__BODY_CANCEL:
		m->queued_only = f->cancel->queued_only;
		return true;
	case LINK__FRAME__BODY_ASK_FATE:
		return decode_fate(&m->u.fate, f->ask_fate);
	case LINK__FRAME__BODY_FATE:
		return decode_fate(&m->u.fate, f->fate);
	case LINK__FRAME__BODY_MEMBERS_ASK:
		return decode_members_ask(&m->u.members_ask, f->members_ask);
	case LINK__FRAME__BODY_MEMBERS:
		return decode_members(&m->u.members, f->members);
	case LINK__FRAME__BODY_HANDOVER:
		return decode_handover(&m->u.handover, f->handover);
	case LINK__FRAME__BODY_CONFIG_ASK:
		return decode_config(&m->u.config, f->config_ask);
	case LINK__FRAME__BODY_CONFIG:
		return decode_config(&m->u.config, f->config);
	case LINK__FRAME__BODY_SHARE_ASK:
		return decode_share(&m->u.share, f->share_ask);
	case LINK__FRAME__BODY_SHARE:
		return decode_share(&m->u.share, f->share);
	default:
		return false;
	}
}

/* Reads the length; FRAME_OK if the whole body is there. */
static enum frame_status
read_frame_length(const uint8_t *data, size_t len, size_t *body_len)
{
	if (len < FRAME_LENGTH_BYTES)
		return FRAME_INCOMPLETE;
	*body_len = (size_t)data[0] << 24 | (size_t)data[1] << 16 |
		    (size_t)data[2] << 8 | data[3];
	if (*body_len > FRAME_MAX_BODY_BYTES)
		return FRAME_TOO_LONG;
	return len - FRAME_LENGTH_BYTES < *body_len ? FRAME_INCOMPLETE
						    : FRAME_OK;
}

/* Unpacks the first frame; on NULL, *status says why. */
static Link__Frame *
unpack_frame(
    const uint8_t *data, size_t len, size_t *used, enum frame_status *status)
{
	Link__Frame *f;
	size_t body_len;

	*status = read_frame_length(data, len, &body_len);
	if (*status != FRAME_OK)
		return NULL;
	f = link__frame__unpack(NULL, body_len, data + FRAME_LENGTH_BYTES);
	if (f == NULL)
		*status = FRAME_MALFORMED;
	*used = body_len + FRAME_LENGTH_BYTES;
	return f;
}

enum frame_status
frame_decode(const uint8_t *data, size_t len, struct msg **mp, size_t *used)
{
	enum frame_status status;
	Link__Frame *f = unpack_frame(data, len, used, &status);
	struct msg *m;

	if (f == NULL)
		return status;
	m = create_message(f->body_case);
	if (m != NULL)
		m->seq = f->seq;
	if (m == NULL || !decode_body(m, f)) {
		msg_destroy(m);
		status = FRAME_MALFORMED;
	} else {
		*mp = m;
	}
	link__frame__free_unpacked(f, NULL);
	return status;
}

enum frame_status
frame_decode_handshake(
    const uint8_t *data, size_t len, struct handshake *h, size_t *used)
{
	enum frame_status status;
	Link__Frame *f = unpack_frame(data, len, used, &status);

	if (f == NULL)
		return status;
	memset(h, 0, sizeof(*h));
	status = FRAME_MALFORMED;
	if (f->body_case == LINK__FRAME__BODY_HELLO &&
	    f->hello->nonce.len == FRAME_NONCE_LEN &&
	    f->hello->port <= UINT16_MAX) {
		h->is_hello = true;
		h->addr.ip = f->hello->ip;
		h->addr.port = f->hello->port;
		h->idle_silence_ms = f->hello->idle_silence_ms;
		h->piece_bytes = f->hello->piece_bytes;
		memcpy(h->nonce, f->hello->nonce.data, FRAME_NONCE_LEN);
		status = FRAME_OK;
	} else if (f->body_case == LINK__FRAME__BODY_PROOF &&
		   f->proof->mac.len == FRAME_MAC_LEN) {
		memcpy(h->mac, f->proof->mac.data, FRAME_MAC_LEN);
		status = FRAME_OK;
	}
	link__frame__free_unpacked(f, NULL);
	return status;
}
