#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "wire/frame.h"
#include "wire/link.pb-c.h"

/* protobuf-c frees nothing that it did not allocate: packing borrows. */

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

static void
pack_frame(const Link__Frame *f, struct buffer *buf)
{
	size_t len = link__frame__get_packed_size(f);
	uint8_t *p = xcalloc(1, len + FRAME_HEAD + 1);

	p[0] = (len >> 24) & 255;
	p[1] = (len >> 16) & 255;
	p[2] = (len >> 8) & 255;
	p[3] = len & 255;
	link__frame__pack(f, p + FRAME_HEAD);
	buffer_release(buf);
	buf->data = (char *)p;
	buf->len = len + FRAME_HEAD;
}

static void
pack_context(Link__Context *p, const struct call_context *c)
{
	link__context__init(p);
	p->tree = c->tree;
	p->org = borrow_string(c->org);
	p->importance = c->importance;
	p->level = c->level;
	p->deadline_ms = c->deadline_ms;
	p->allowance = c->allowance;
	p->job = c->job;
}

static void
pack_forward(Link__Forward *p, Link__Context *ctx, const struct forward *f)
{
	link__forward__init(p);
	pack_context(ctx, &f->context);
	p->service = borrow_string(f->service);
	p->id = borrow_string(f->id);
	p->idempotent = f->idempotent;
	p->incarnation = f->incarnation;
	p->config_version = f->config_version;
	p->context = ctx;
	p->method = borrow_string(f->request.method);
	p->path = borrow_string(f->request.path);
	p->headers = borrow_buffer(&f->request.headers);
	p->body = borrow_buffer(&f->request.body);
}

static void
pack_reply(Link__Reply *p, const struct reply *r)
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
	p->load = r->load;
	p->leaving = r->leaving;
}

static void
pack_fate(Link__Fate *p, const struct fate *f)
{
	link__fate__init(p);
	p->org = borrow_string(f->org);
	p->id = borrow_string(f->id);
	p->seq = f->seq;
	p->incarnation = f->incarnation;
	p->state = f->state;
}

static void
pack_member(Link__Member *p, const struct member_record *r)
{
	link__member__init(p);
	p->ip = r->addr.ip;
	p->port = r->addr.port;
	p->incarnation = r->incarnation;
	p->owner_from_ms = r->owner_from_ms;
	p->ended_ms = r->ended_ms;
	p->state = r->state;
	p->slots = r->slots;
	p->dc = borrow_string(r->dc);
}

static void
pack_members_ask(
    Link__MembersAsk *p, Link__Member *self, const struct members_ask *a)
{
	link__members_ask__init(p);
	p->service = borrow_string(a->service);
	p->digest = a->digest;
	p->sent_us = a->sent_us;
	p->is_target = a->is_target;
	if (a->is_target) {
		pack_member(self, &a->self);
		p->self = self;
	}
}

static void
pack_members(Link__Members *p, const struct members *m, struct buffer *buf,
    Link__Frame *f)
{
	Link__Member *records = xcalloc(m->count + 1, sizeof(*records));
	Link__Member **list = xcalloc(m->count + 1, sizeof(*list));
	int i;

	link__members__init(p);
	for (i = 0; i < m->count; i++) {
		pack_member(&records[i], &m->records[i]);
		list[i] = &records[i];
	}
	p->service = borrow_string(m->service);
	p->sent_us = m->sent_us;
	p->granted = m->granted;
	p->gone_digest = m->gone_digest;
	p->load = m->load;
	p->threshold_importance = m->threshold.importance;
	p->threshold_level = m->threshold.level;
	p->n_records = m->count;
	p->records = list;
	pack_frame(f, buf);
	free(records);
	free(list);
}

static void
pack_handover(Link__Handover *p, Link__Reply *r, const struct handover *h)
{
	link__handover__init(p);
	pack_reply(r, &h->reply);
	p->service = borrow_string(h->service);
	p->org = borrow_string(h->org);
	p->id = borrow_string(h->id);
	p->last = h->last;
	p->kept = h->kept;
	p->reply = r;
}

static void
pack_config(Link__Config *p, const struct config *c)
{
	link__config__init(p);
	p->version = c->version;
	p->digest = c->digest;
	p->base_version = c->base;
	p->prefix = c->prefix;
	p->suffix = c->suffix;
	p->epoch = c->epoch;
	p->confirmed_ms = c->confirmed_ms;
	p->redirect_ip = c->redirect.ip;
	p->redirect_port = c->redirect.port;
	p->incarnation = c->incarnation;
	p->accepted = c->accepted;
	p->text = borrow_buffer(&c->text);
}

static void
pack_share(
    Link__Share *p, const struct share *s, struct buffer *buf, Link__Frame *f)
{
	Link__ShareItem items[SHARES_PER_MSG], *list[SHARES_PER_MSG];
	int i;

	link__share__init(p);
	for (i = 0; i < s->count; i++) {
		link__share_item__init(&items[i]);
		items[i].org = borrow_string(s->items[i].org);
		items[i].rate = s->items[i].rate;
		items[i].burst = s->items[i].burst;
		items[i].tokens = s->items[i].tokens;
		items[i].demand = s->items[i].demand;
		items[i].number = s->items[i].number;
		list[i] = &items[i];
	}
	p->epoch = s->epoch;
	p->incarnation = s->incarnation;
	p->sent_us = s->sent_us;
	p->ttl_us = s->ttl_us;
	p->n_items = s->count;
	p->items = list;
	pack_frame(f, buf);
}

/* Room for whichever message a frame holds. */
union parts {
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
	union parts u;

	f.seq = m->seq;
	switch (m->kind) {
	case MSG_FORWARD:
		pack_forward(&u.forward, &ctx, &m->u.forward);
		f.body_case = LINK__FRAME__BODY_FORWARD;
		f.forward = &u.forward;
		break;
	case MSG_REPLY:
		pack_reply(&u.reply, &m->u.reply);
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
		pack_fate(&u.fate, &m->u.fate);
		f.body_case = m->kind == MSG_FATE ? LINK__FRAME__BODY_FATE
						  : LINK__FRAME__BODY_ASK_FATE;
		f.fate = &u.fate;
		break;
	case MSG_MEMBERS_ASK:
		pack_members_ask(&u.members_ask, &self, &m->u.members_ask);
		f.body_case = LINK__FRAME__BODY_MEMBERS_ASK;
		f.members_ask = &u.members_ask;
		break;
	case MSG_MEMBERS:
		f.body_case = LINK__FRAME__BODY_MEMBERS;
		f.members = &u.members;
		pack_members(&u.members, &m->u.members, buf, &f);
		return;
	case MSG_HANDOVER:
		pack_handover(&u.handover, &reply, &m->u.handover);
		f.body_case = LINK__FRAME__BODY_HANDOVER;
		f.handover = &u.handover;
		break;
	case MSG_CONFIG_ASK:
	case MSG_CONFIG:
		pack_config(&u.config, &m->u.config);
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
frame_encode_handshake(const struct handshake *h, struct buffer *buf)
{
	Link__Frame f = LINK__FRAME__INIT;
	Link__Hello hello = LINK__HELLO__INIT;
	Link__Proof proof = LINK__PROOF__INIT;

	if (h->is_hello) {
		hello.ip = h->addr.ip;
		hello.port = h->addr.port;
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

/* Decoding: each function returns false if the content is not allowed. */

static bool
take_string(char *dst, size_t n, const char *src)
{
	if (strlen(src) >= n)
		return false;
	name_copy(dst, src, n);
	return true;
}

static void
take_bytes(struct buffer *b, const ProtobufCBinaryData *data)
{
	buffer_set(b, data->data, data->len);
}

static bool
take_context(struct call_context *c, const Link__Context *p)
{
	if (p == NULL || p->importance >= IMPORTANCE_COUNT || p->level > 255)
		return false;
	c->tree = p->tree;
	c->importance = p->importance;
	c->level = p->level;
	c->deadline_ms = p->deadline_ms;
	c->allowance = p->allowance;
	c->job = p->job;
	return take_string(c->org, sizeof(c->org), p->org);
}

static bool
take_forward(struct forward *f, const Link__Forward *p)
{
	f->idempotent = p->idempotent;
	f->incarnation = p->incarnation;
	f->config_version = p->config_version;
	take_bytes(&f->request.headers, &p->headers);
	take_bytes(&f->request.body, &p->body);
	return take_context(&f->context, p->context) &&
	       take_string(f->service, sizeof(f->service), p->service) &&
	       take_string(f->id, sizeof(f->id), p->id) &&
	       take_string(f->request.method, METHOD_LEN, p->method) &&
	       take_string(f->request.path, PATH_LEN, p->path);
}

static bool
take_reply(struct reply *r, const Link__Reply *p)
{
	if (p == NULL || p->verdict > VERDICT_RAN ||
	    p->reason >= REASON_COUNT ||
	    p->threshold_importance >= IMPORTANCE_COUNT ||
	    p->threshold_level > 255 || p->status > 999)
		return false;
	r->status = p->status;
	r->failure = failure_make(p->verdict, p->reason);
	take_bytes(&r->headers, &p->headers);
	take_bytes(&r->body, &p->body);
	r->allowance = p->allowance;
	r->tries = p->tries;
	r->retry_after_ms = p->retry_after_ms;
	r->threshold.importance = p->threshold_importance;
	r->threshold.level = p->threshold_level;
	r->load = p->load;
	r->leaving = p->leaving;
	return true;
}

static bool
take_fate(struct fate *f, const Link__Fate *p)
{
	if (p->state > FATE_DOUBT)
		return false;
	f->seq = p->seq;
	f->incarnation = p->incarnation;
	f->state = p->state;
	return take_string(f->org, sizeof(f->org), p->org) &&
	       take_string(f->id, sizeof(f->id), p->id);
}

static bool
take_member(struct member_record *r, const Link__Member *p)
{
	if (p == NULL || p->state > MEMBER_GONE || p->port > UINT16_MAX)
		return false;
	r->addr.ip = p->ip;
	r->addr.port = p->port;
	r->incarnation = p->incarnation;
	r->owner_from_ms = p->owner_from_ms;
	r->ended_ms = p->ended_ms;
	r->state = p->state;
	r->slots = p->slots;
	return take_string(r->dc, sizeof(r->dc), p->dc);
}

static bool
take_members_ask(struct members_ask *a, const Link__MembersAsk *p)
{
	a->digest = p->digest;
	a->sent_us = p->sent_us;
	a->is_target = p->is_target;
	if (p->is_target && !take_member(&a->self, p->self))
		return false;
	return take_string(a->service, sizeof(a->service), p->service);
}

static bool
take_members(struct members *m, const Link__Members *p)
{
	size_t i;

	if (p->n_records > FRAME_MAX_MEMBERS ||
	    p->threshold_importance >= IMPORTANCE_COUNT ||
	    p->threshold_level > 255)
		return false;
	m->sent_us = p->sent_us;
	m->granted = p->granted;
	m->gone_digest = p->gone_digest;
	m->load = p->load;
	m->threshold.importance = p->threshold_importance;
	m->threshold.level = p->threshold_level;
	m->records = xcalloc(p->n_records + 1, sizeof(*m->records));
	m->count = p->n_records;
	for (i = 0; i < p->n_records; i++) {
		if (!take_member(&m->records[i], p->records[i]))
			return false;
	}
	return take_string(m->service, sizeof(m->service), p->service);
}

static bool
take_handover(struct handover *h, const Link__Handover *p)
{
	h->last = p->last;
	h->kept = p->kept;
	return take_reply(&h->reply, p->reply) &&
	       take_string(h->service, sizeof(h->service), p->service) &&
	       take_string(h->org, sizeof(h->org), p->org) &&
	       take_string(h->id, sizeof(h->id), p->id);
}

static bool
take_config(struct config *c, const Link__Config *p)
{
	if (p->redirect_port > UINT16_MAX || p->prefix > FRAME_MAX ||
	    p->suffix > FRAME_MAX)
		return false;
	c->version = p->version;
	c->digest = p->digest;
	c->base = p->base_version;
	c->prefix = p->prefix;
	c->suffix = p->suffix;
	c->epoch = p->epoch;
	c->confirmed_ms = p->confirmed_ms;
	c->redirect.ip = p->redirect_ip;
	c->redirect.port = p->redirect_port;
	c->incarnation = p->incarnation;
	c->accepted = p->accepted;
	take_bytes(&c->text, &p->text);
	return true;
}

static bool
is_amount(double v)
{
	return isfinite(v) && v >= 0 && v < 1e12;
}

static bool
take_share(struct share *s, const Link__Share *p)
{
	const Link__ShareItem *item;
	size_t i;

	if (p->n_items > SHARES_PER_MSG)
		return false;
	s->epoch = p->epoch;
	s->incarnation = p->incarnation;
	s->sent_us = p->sent_us;
	s->ttl_us = p->ttl_us;
	s->count = p->n_items;
	for (i = 0; i < p->n_items; i++) {
		item = p->items[i];
		if (!is_amount(item->rate) || !is_amount(item->burst) ||
		    !is_amount(item->tokens) || !is_amount(item->demand) ||
		    !take_string(s->items[i].org, NAME_LEN, item->org))
			return false;
		s->items[i].rate = item->rate;
		s->items[i].burst = item->burst;
		s->items[i].tokens = item->tokens;
		s->items[i].demand = item->demand;
		s->items[i].number = item->number;
	}
	return true;
}

static bool
take_body(struct msg *m, const Link__Frame *f)
{
	switch (f->body_case) {
	case LINK__FRAME__BODY_FORWARD:
		m->kind = MSG_FORWARD;
		return take_forward(&m->u.forward, f->forward);
	case LINK__FRAME__BODY_REPLY:
		m->kind = MSG_REPLY;
		return take_reply(&m->u.reply, f->reply);
	case LINK__FRAME__BODY_CANCEL:
		m->kind = MSG_CANCEL;
		m->queued_only = f->cancel->queued_only;
		return true;
	case LINK__FRAME__BODY_ASK_FATE:
		m->kind = MSG_ASK_FATE;
		return take_fate(&m->u.fate, f->ask_fate);
	case LINK__FRAME__BODY_FATE:
		m->kind = MSG_FATE;
		return take_fate(&m->u.fate, f->fate);
	case LINK__FRAME__BODY_MEMBERS_ASK:
		m->kind = MSG_MEMBERS_ASK;
		return take_members_ask(&m->u.members_ask, f->members_ask);
	case LINK__FRAME__BODY_MEMBERS:
		m->kind = MSG_MEMBERS;
		return take_members(&m->u.members, f->members);
	case LINK__FRAME__BODY_HANDOVER:
		m->kind = MSG_HANDOVER;
		return take_handover(&m->u.handover, f->handover);
	case LINK__FRAME__BODY_CONFIG_ASK:
		m->kind = MSG_CONFIG_ASK;
		return take_config(&m->u.config, f->config_ask);
	case LINK__FRAME__BODY_CONFIG:
		m->kind = MSG_CONFIG;
		return take_config(&m->u.config, f->config);
	case LINK__FRAME__BODY_SHARE_ASK:
		m->kind = MSG_SHARE_ASK;
		return take_share(&m->u.share, f->share_ask);
	case LINK__FRAME__BODY_SHARE:
		m->kind = MSG_SHARE;
		return take_share(&m->u.share, f->share);
	default:
		return false;
	}
}

static enum frame_status
split_frame(const uint8_t *data, size_t len, size_t *body)
{
	if (len < FRAME_HEAD)
		return FRAME_SHORT;
	*body = (size_t)data[0] << 24 | (size_t)data[1] << 16 |
		(size_t)data[2] << 8 | data[3];
	if (*body > FRAME_MAX)
		return FRAME_TOO_LONG;
	return len - FRAME_HEAD < *body ? FRAME_SHORT : FRAME_OK;
}

static Link__Frame *
unpack(const uint8_t *data, size_t len, size_t *used, enum frame_status *status)
{
	Link__Frame *f;
	size_t body;

	*status = split_frame(data, len, &body);
	if (*status != FRAME_OK)
		return NULL;
	f = link__frame__unpack(NULL, body, data + FRAME_HEAD);
	if (f == NULL)
		*status = FRAME_MALFORMED;
	*used = body + FRAME_HEAD;
	return f;
}

enum frame_status
frame_decode(const uint8_t *data, size_t len, struct msg **mp, size_t *used)
{
	enum frame_status status;
	Link__Frame *f = unpack(data, len, used, &status);
	struct msg *m;

	if (f == NULL)
		return status;
	m = msg_create(MSG_CANCEL);
	m->seq = f->seq;
	if (!take_body(m, f)) {
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
	Link__Frame *f = unpack(data, len, used, &status);

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
