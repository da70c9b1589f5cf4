#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/ledger.h"

/*
 * A longer reply is not kept, as it would not fit the frame in which a daemon
 * that leaves hands it over.
 */
#define MAX_KEPT_REPLY_BYTES (3u << 20)

RB_HEAD(record_tree, ledger_record);
TAILQ_HEAD(record_queue, ledger_record);

struct ledger {
	struct record_tree by_id;
	struct record_queue by_age;
	struct record_queue by_reply; /* records with a reply, oldest first */
	size_t count; /* records */
	size_t max_records;
	size_t reply_bytes; /* of all replies that are kept */
	size_t max_reply_bytes;
};

static int
record_cmp(struct ledger_record *a, struct ledger_record *b)
{
	return memcmp(a->hash, b->hash, LEDGER_HASH_LEN);
}

RB_PROTOTYPE(record_tree, ledger_record, by_id, record_cmp);
RB_GENERATE(record_tree, ledger_record, by_id, record_cmp);

struct ledger *
ledger_create(size_t max_records, size_t max_reply_bytes)
{
	struct ledger *l = xcalloc(1, sizeof(*l));

	RB_INIT(&l->by_id);
	TAILQ_INIT(&l->by_age);
	TAILQ_INIT(&l->by_reply);
	l->max_records = max_records;
	l->max_reply_bytes = max_reply_bytes;
	return l;
}

static size_t
reply_size(const struct reply *r)
{
	return r->headers.len + r->body.len;
}

static void
drop_reply(struct ledger *l, struct ledger_record *rec)
{
	if (!rec->has_reply)
		return;
	TAILQ_REMOVE(&l->by_reply, rec, by_reply);
	l->reply_bytes -= reply_size(&rec->reply);
	reply_release(&rec->reply);
	rec->has_reply = false;
}

void
ledger_remove(struct ledger *l, struct ledger_record *rec)
{
	struct ledger_waiter *w;

	drop_reply(l, rec);
	while ((w = LIST_FIRST(&rec->waiters)) != NULL) {
		LIST_REMOVE(w, entry);
		free(w);
	}
	RB_REMOVE(record_tree, &l->by_id, rec);
	TAILQ_REMOVE(&l->by_age, rec, by_age);
	l->count--;
	free(rec);
}

void
ledger_destroy(struct ledger *l)
{
	struct ledger_record *rec;

	while ((rec = TAILQ_FIRST(&l->by_age)) != NULL)
		ledger_remove(l, rec);
	free(l);
}

static void
id_hash(uint8_t *hash, const char *org, const char *id)
{
	crypto_generichash_state st;

	crypto_generichash_init(&st, NULL, 0, LEDGER_HASH_LEN);
	crypto_generichash_update(&st, (const uint8_t *)org, strlen(org) + 1);
	crypto_generichash_update(&st, (const uint8_t *)id, strlen(id));
	crypto_generichash_final(&st, hash, LEDGER_HASH_LEN);
}

struct ledger_record *
ledger_find(struct ledger *l, const char *org, const char *id)
{
	struct ledger_record want;

	id_hash(want.hash, org, id);
	return RB_FIND(record_tree, &l->by_id, &want);
}

static struct ledger_record *
record_add(struct ledger *l, const char *org, const char *id,
    enum ledger_state state, struct instant now)
{
	struct ledger_record *rec = xcalloc(1, sizeof(*rec));

	id_hash(rec->hash, org, id);
	name_copy(rec->org, org, sizeof(rec->org));
	name_copy(rec->id, id, sizeof(rec->id));
	rec->state = state;
	rec->created_us = now.mono_us;
	LIST_INIT(&rec->waiters);
	RB_INSERT(record_tree, &l->by_id, rec);
	TAILQ_INSERT_TAIL(&l->by_age, rec, by_age);
	l->count++;
	return rec;
}

static enum ledger_result
begin_known(struct ledger_record *rec, struct addr entry_daemon, uint64_t seq)
{
	switch (rec->state) {
	case LEDGER_STATE_RUNNING:
		return LEDGER_RUNNING;
	case LEDGER_STATE_RAN:
		return rec->has_reply ? LEDGER_RAN : LEDGER_REPLY_GONE;
	case LEDGER_STATE_UNKNOWN:
		return LEDGER_OUTCOME_UNKNOWN;
	default:
		break;
	}
	if (rec->forbidden_seq == seq &&
	    addr_equal(rec->forbidden_entry_daemon, entry_daemon))
		return LEDGER_TOMBSTONED;
	rec->state = LEDGER_STATE_RUNNING;
	return LEDGER_NEW;
}

enum ledger_result
ledger_begin(struct ledger *l, const char *org, const char *id,
    struct addr entry_daemon, uint64_t seq, struct instant now,
    struct ledger_record **recp)
{
	struct ledger_record *rec = ledger_find(l, org, id);

	*recp = rec;
	if (rec != NULL)
		return begin_known(rec, entry_daemon, seq);
	if (l->count >= l->max_records)
		return LEDGER_FULL;
	*recp = record_add(l, org, id, LEDGER_STATE_RUNNING, now);
	return LEDGER_NEW;
}

void
ledger_add_waiter(
    struct ledger_record *rec, struct addr entry_daemon, uint64_t seq)
{
	struct ledger_waiter *w;

	LIST_FOREACH (w, &rec->waiters, entry) {
		if (w->seq == seq && addr_equal(w->entry_daemon, entry_daemon))
			return;
	}
	w = xcalloc(1, sizeof(*w));
	w->entry_daemon = entry_daemon;
	w->seq = seq;
	LIST_INSERT_HEAD(&rec->waiters, w, entry);
}

static void
keep_reply(struct ledger *l, struct ledger_record *rec, struct reply *reply)
{
	size_t size = reply_size(reply);

	if (size > l->max_reply_bytes || size > MAX_KEPT_REPLY_BYTES)
		return;
	while (l->reply_bytes + size > l->max_reply_bytes)
		drop_reply(l, TAILQ_FIRST(&l->by_reply));
	reply_share(&rec->reply, reply);
	rec->has_reply = true;
	l->reply_bytes += size;
	TAILQ_INSERT_TAIL(&l->by_reply, rec, by_reply);
}

void
ledger_finish(struct ledger *l, struct ledger_record *rec, struct reply *reply)
{
	rec->state = LEDGER_STATE_RAN;
	if (!rec->has_reply)
		keep_reply(l, rec, reply);
}

void
ledger_set_unknown(struct ledger_record *rec)
{
	rec->state = LEDGER_STATE_UNKNOWN;
}

enum fate_state
ledger_query(struct ledger *l, const char *org, const char *id,
    struct addr entry_daemon, uint64_t seq, struct instant now,
    struct ledger_record **recp)
{
	struct ledger_record *rec = ledger_find(l, org, id);

	*recp = rec;
	if (rec == NULL) {
		if (l->count >= l->max_records)
			return FATE_UNKNOWN;
		rec = record_add(l, org, id, LEDGER_STATE_TOMBSTONE, now);
		rec->forbidden_entry_daemon = entry_daemon;
		rec->forbidden_seq = seq;
		return FATE_TOMBSTONE;
	}
	switch (rec->state) {
	case LEDGER_STATE_RUNNING:
		return FATE_RUNNING;
	case LEDGER_STATE_RAN:
		return FATE_RAN;
	case LEDGER_STATE_TOMBSTONE:
		/* A tombstone forbids one try; others may still run. */
		return rec->forbidden_seq == seq &&
			       addr_equal(
				   rec->forbidden_entry_daemon, entry_daemon)
			   ? FATE_TOMBSTONE
			   : FATE_UNKNOWN;
	default:
		return FATE_UNKNOWN;
	}
}

void
ledger_import(struct ledger *l, const char *org, const char *id,
    enum ledger_state state, struct reply *reply, struct instant now)
{
	struct ledger_record *rec = ledger_find(l, org, id);

	if (rec == NULL)
		rec = record_add(l, org, id, state, now);
	else if (rec->state != LEDGER_STATE_RUNNING &&
		 rec->state != LEDGER_STATE_RAN)
		rec->state = state;
	if (reply != NULL && !rec->has_reply && rec->state == LEDGER_STATE_RAN)
		keep_reply(l, rec, reply);
}

void
ledger_tick(struct ledger *l, struct instant now)
{
	struct ledger_record *rec, *next;

	TAILQ_FOREACH_SAFE (rec, &l->by_age, by_age, next) {
		if (now.mono_us - rec->created_us <= LEDGER_RETENTION_US)
			return;
		if (rec->state != LEDGER_STATE_RUNNING)
			ledger_remove(l, rec);
	}
}

struct ledger_record *
ledger_next(struct ledger *l, struct ledger_record *rec)
{
	if (rec == NULL)
		return TAILQ_FIRST(&l->by_age);
	return TAILQ_NEXT(rec, by_age);
}

size_t
ledger_reply_bytes(const struct ledger *l)
{
	return l->reply_bytes;
}

size_t
ledger_count(const struct ledger *l)
{
	return l->count;
}

bool
id_parse(const char *id, uint64_t *stamp_ms, char *dc, size_t dc_len)
{
	size_t len = strlen(id), digits, dc_chars;
	const char *p;

	if (len == 0 || len >= ID_LEN)
		return false;
	digits = strspn(id, "0123456789");
	if (digits == 0 || digits > 15 || id[digits] != '-')
		return false;
	p = id + digits + 1;
	dc_chars = strcspn(p, "-");
	if (dc_chars == 0 || dc_chars >= dc_len || p[dc_chars] != '-' ||
	    p[dc_chars + 1] == '\0')
		return false;
	for (const char *c = p; *c != '\0'; c++) {
		if (*c <= ' ' || *c > '~')
			return false;
	}
	*stamp_ms = strtoull(id, NULL, 10);
	memcpy(dc, p, dc_chars);
	dc[dc_chars] = '\0';
	return true;
}

void
id_format(char *id, size_t len, uint64_t stamp_ms, const char *dc,
    uint64_t unique_hi, uint64_t unique_lo)
{
	snprintf(id, len, "%" PRIu64 "-%s-%016" PRIx64 "%016" PRIx64, stamp_ms,
	    dc, unique_hi, unique_lo);
}
