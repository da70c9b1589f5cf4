#include <stdlib.h>
#include <string.h>

#include "core/position.h"
#include "wire/frame.h"
#include "wire/link.pb-c.h"

/*
 * The protobuf messages built here point into the struct msg and copy
 * nothing: protobuf-c only reads them to pack them.  The names of their fields
 * are those of link.proto and may differ from those of the core's members.
 */

static char *
borrow_string(const char *s)
{
	return (char *)(uintptr_t)s;
}

static ProtobufCBinaryData
borrow_buffer(const struct buffer *b)
{
	ProtobufCBinaryData data = {b->len, (uint8_t *)b->data};

	return data;
}

/* Serialises a frame, its length in front, into a new buffer. */
static void
pack_frame(const Link__Frame *f, struct buffer *buf)
{
	size_t len = link__frame__get_packed_size(f);
	uint8_t *p = xcalloc(1, len + FRAME_LENGTH_BYTES + 1);

	p[0] = (len >> 24) & 255;
	p[1] = (len >> 16) & 255;
	p[2] = (len >> 8) & 255;
	p[3] = len & 255;
	link__frame__pack(f, p + FRAME_LENGTH_BYTES);
	buffer_release(buf);
	buf->data = (char *)p;
	buf->len = len + FRAME_LENGTH_BYTES;
}

static void
fill_context(Link__Context *p, const struct call_context *c)
{
	link__context__init(p);
	p->tree = c->tree_id;
	p->org = borrow_string(c->org);
	p->importance = c->importance;
	p->level = c->level;
	p->deadline_ms = c->deadline_ms;
	p->allowance = c->allowance;
	p->job = c->job;
	p->goal_ms = c->goal_ms;
}

static void
fill_forward(Link__Forward *p, Link__Context *ctx, const struct forward *f,
    uint64_t body_follows)
{
	link__forward__init(p);
	fill_context(ctx, &f->context);
	p->service = borrow_string(f->service);
	p->caller = borrow_string(f->caller);
	p->host = borrow_string(f->request.host);
	p->id = borrow_string(f->id);
	p->idempotent = f->idempotent;
	p->owned = f->owned;
	p->incarnation = f->incarnation;
	p->config_version = f->config_version;
	p->context = ctx;
	p->method = borrow_string(f->request.method);
	p->path = borrow_string(f->request.path);
	p->headers = borrow_buffer(&f->request.headers);
	p->body = borrow_buffer(&f->request.body);
	p->body_follows = body_follows;
}

static void
fill_reply(Link__Reply *p, const struct reply *r)
{
	link__reply__init(p);
	p->status = r->status;
	p->verdict = r->failure.verdict;
	p->reason = r->failure.reason;
	p->headers = borrow_buffer(&r->headers);
	p->body = borrow_buffer(&r->body);
	p->allowance = r->allowance;
	p->tries = r->tries;
	p->retry_after_ms = r->retry_after_ms;
	p->threshold_importance = r->threshold.importance;
	p->threshold_level = r->threshold.level;
	p->load = r->load_permille;
	p->leaving = r->leaving;
	p->reached = r->may_have_reached_target;
	p->pressure = r->pressure_permille;
}

static void
fill_fate(Link__Fate *p, const struct fate *f)
{
	link__fate__init(p);
	p->org = borrow_string(f->org);
	p->id = borrow_string(f->id);
	p->seq = f->seq;
	p->incarnation = f->incarnation;
	p->state = f->state;
}

static void
fill_member(Link__Member *p, const struct member_record *r)
{
	link__member__init(p);
	p->ip = r->addr.ip;
	p->port = r->addr.port;
	p->incarnation = r->incarnation;
	p->state = r->state;
	p->slots = r->slots;
	p->dc = borrow_string(r->dc);
	p->start = r->start;
	p->start_ended = r->start_ended;
}

static void
fill_members_ask(
    Link__MembersAsk *p, Link__Member *self, const struct members_ask *a)
{
	link__members_ask__init(p);
	p->service = borrow_string(a->service);
	p->digest = a->digest;
	p->sent_us = a->sent_us;
	p->is_target = a->is_target;
	p->owners_epoch = a->owners_epoch;
	if (a->is_target) {
		fill_member(self, &a->self);
		p->self = self;
	}
}

/* Packs the whole frame, as the list of records lives only in here. */
static void
pack_members(Link__Members *p, const struct members *m, struct buffer *buf,
    Link__Frame *f)
{
	Link__Member *records = xcalloc(m->count + 1, sizeof(*records));
	Link__Member **list = xcalloc(m->count + 1, sizeof(*list));
	int i;

	link__members__init(p);
	for (i = 0; i < m->count; i++) {
		fill_member(&records[i], &m->records[i]);
		list[i] = &records[i];
	}
	p->service = borrow_string(m->service);
	p->sent_us = m->sent_us;
	p->owners_dc = borrow_string(m->owners_dc);
	p->owners_known = m->owners_known;
	p->owners_epoch = m->owners_epoch;
	p->owners_text = borrow_buffer(&m->owners_text);
	p->load = m->load_permille;
	p->pressure = m->pressure_permille;
	p->threshold_importance = m->threshold.importance;
	p->threshold_level = m->threshold.level;
	p->n_records = m->count;
	p->records = list;
	pack_frame(f, buf);
	free(records);
	free(list);
}

static void
fill_handover(Link__Handover *p, Link__Reply *r, const struct handover *h)
{
	link__handover__init(p);
	fill_reply(r, &h->reply);
	p->service = borrow_string(h->service);
	p->org = borrow_string(h->org);
	p->id = borrow_string(h->id);
	p->last = h->last;
	p->kept = h->has_reply;
	p->doubt = h->may_have_run;
	p->reply = r;
}

static void
put_position(uint64_t position, uint64_t *version, uint64_t *era)
{
	*version = position_version(position);
	*era = position_era(position);
}

static void
fill_config(Link__Config *p, const struct config *c)
{
	link__config__init(p);
	p->revision = c->revision;
	put_position(c->version, &p->version, &p->version_era);
	p->digest = c->digest;
	put_position(c->base_version, &p->base_version, &p->base_version_era);
	p->prefix = c->prefix_bytes;
	p->suffix = c->suffix_bytes;
	put_position(c->epoch, &p->epoch, &p->epoch_era);
	p->confirmed_ms = c->confirmed_age_ms;
	p->redirect_ip = c->redirect.ip;
	p->redirect_port = c->redirect.port;
	p->incarnation = c->incarnation;
	p->accepted = c->accepted;
	p->text = borrow_buffer(&c->text);
}

/* Packs the whole frame, as the list of items lives only in here. */
static void
pack_share(
    Link__Share *p, const struct share *s, struct buffer *buf, Link__Frame *f)
{
	Link__ShareItem items[MSG_MAX_SHARES], *list[MSG_MAX_SHARES];
	int i;

	link__share__init(p);
	for (i = 0; i < s->count; i++) {
		link__share_item__init(&items[i]);
		items[i].org = borrow_string(s->items[i].org);
		items[i].rate = s->items[i].rate;
		items[i].burst = s->items[i].burst;
		items[i].tokens = s->items[i].tokens;
		items[i].demand = s->items[i].demand;
		items[i].number = s->items[i].grant_number;
		items[i].waiting = s->items[i].waiting_calls;
		items[i].fetched = s->items[i].fetched_tokens;
		items[i].fresh_us = s->items[i].fetched_ttl_us;
		items[i].recall = s->items[i].recalled_tokens;
		list[i] = &items[i];
	}
	put_position(s->epoch, &p->epoch, &p->epoch_era);
	p->incarnation = s->incarnation;
	p->sent_us = s->sent_us;
	p->ttl_us = s->ttl_us;
	p->pool = s->for_pool;
	p->complete = s->complete;
	p->dc = borrow_string(s->dc);
	p->n_items = s->count;
	p->items = list;
	pack_frame(f, buf);
}

/* Storage for the body of a frame, whichever message it is. */
union frame_body {
	Link__Forward forward;
	Link__Reply reply;
	Link__Cancel cancel;
	Link__Fate fate;
	Link__MembersAsk members_ask;
	Link__Members members;
	Link__Handover handover;
	Link__Config config;
	Link__Share share;
};

void
frame_encode(const struct msg *m, struct buffer *buf)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__Context ctx;
	Link__Member self;
	Link__Reply reply;
	union frame_body u;

	f.seq = m->seq;
	switch (m->kind) {
	case MSG_FORWARD:
		fill_forward(&u.forward, &ctx, &m->u.forward, m->body_follows);
		f.body_case = LINK__FRAME__BODY_FORWARD;
		f.forward = &u.forward;
		break;
	case MSG_REPLY:
		fill_reply(&u.reply, &m->u.reply);
		u.reply.body_follows = m->body_follows;
		f.body_case = LINK__FRAME__BODY_REPLY;
		f.reply = &u.reply;
		break;
	case MSG_CANCEL:
		link__cancel__init(&u.cancel);
		u.cancel.queued_only = m->queued_only;
		f.body_case = LINK__FRAME__BODY_CANCEL;
		f.cancel = &u.cancel;
		break;
	case MSG_ASK_FATE:
	case MSG_FATE:
		fill_fate(&u.fate, &m->u.fate);
		f.body_case = m->kind == MSG_FATE ? LINK__FRAME__BODY_FATE
						  : LINK__FRAME__BODY_ASK_FATE;
		f.fate = &u.fate;
		break;
	case MSG_MEMBERS_ASK:
		fill_members_ask(&u.members_ask, &self, &m->u.members_ask);
		f.body_case = LINK__FRAME__BODY_MEMBERS_ASK;
		f.members_ask = &u.members_ask;
		break;
	case MSG_MEMBERS:
		f.body_case = LINK__FRAME__BODY_MEMBERS;
		f.members = &u.members;
		pack_members(&u.members, &m->u.members, buf, &f);
		return;
	case MSG_HANDOVER:
		fill_handover(&u.handover, &reply, &m->u.handover);
		f.body_case = LINK__FRAME__BODY_HANDOVER;
		f.handover = &u.handover;
		break;
	case MSG_CONFIG_ASK:
	case MSG_CONFIG:
		fill_config(&u.config, &m->u.config);
		f.body_case = m->kind == MSG_CONFIG
				  ? LINK__FRAME__BODY_CONFIG
				  : LINK__FRAME__BODY_CONFIG_ASK;
		f.config = &u.config;
		break;
	default:
		f.body_case = m->kind == MSG_SHARE
				  ? LINK__FRAME__BODY_SHARE
				  : LINK__FRAME__BODY_SHARE_ASK;
		f.share = &u.share;
		pack_share(&u.share, &m->u.share, buf, &f);
		return;
	}
	pack_frame(&f, buf);
}

void
frame_encode_piece(uint64_t seq, bool of_reply, const void *data, size_t len,
    struct buffer *buf)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__Piece piece = LINK__PIECE__INIT;

	piece.of_reply = of_reply;
	piece.dropped = data == NULL;
	piece.data.data = (uint8_t *)(uintptr_t)data;
	piece.data.len = len;
	f.seq = seq;
	f.body_case = LINK__FRAME__BODY_PIECE;
	f.piece = &piece;
	pack_frame(&f, buf);
}

void
frame_encode_handshake(const struct handshake *h, struct buffer *buf)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__Hello hello = LINK__HELLO__INIT;
	Link__Proof proof = LINK__PROOF__INIT;

	if (h->is_hello) {
		hello.ip = h->addr.ip;
		hello.port = h->addr.port;
		hello.idle_silence_ms = h->idle_silence_ms;
		hello.piece_bytes = h->piece_bytes;
		hello.nonce.data = (uint8_t *)(uintptr_t)h->nonce;
		hello.nonce.len = FRAME_NONCE_LEN;
		f.body_case = LINK__FRAME__BODY_HELLO;
		f.hello = &hello;
	} else {
		proof.mac.data = (uint8_t *)(uintptr_t)h->mac;
		proof.mac.len = FRAME_MAC_LEN;
		f.body_case = LINK__FRAME__BODY_PROOF;
		f.proof = &proof;
	}
	pack_frame(&f, buf);
}
