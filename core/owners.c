#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/hash.h"
#include "core/owners.h"

#define MAX_LINE_BYTES 128 /* of an entry's line in the row */

static struct owner_table *
table_create(const char *dc)
{
	struct owner_table *t = xcalloc(1, sizeof(*t));

	TAILQ_INIT(&t->entries);
	name_copy(t->dc, dc, sizeof(t->dc));
	return t;
}

struct owner_table *
owner_table_get(struct owner_tables *tables, const char *dc)
{
	struct owner_table *t;

	LIST_FOREACH (t, tables, entry) {
		if (strcmp(t->dc, dc) == 0)
			return t;
	}
	t = table_create(dc);
	LIST_INSERT_HEAD(tables, t, entry);
	return t;
}

static void
clear_entries(struct owner_entries *entries)
{
	struct owner_entry *e;

	while ((e = TAILQ_FIRST(entries)) != NULL) {
		TAILQ_REMOVE(entries, e, entry);
		free(e);
	}
}

void
owner_table_destroy(struct owner_table *t)
{
	clear_entries(&t->entries);
	free(t);
}

void
owner_tables_release(struct owner_tables *tables)
{
	struct owner_table *t;

	while ((t = LIST_FIRST(tables)) != NULL) {
		LIST_REMOVE(t, entry);
		owner_table_destroy(t);
	}
}

struct owner_entry *
owner_table_entry(
    const struct owner_table *t, struct addr addr, uint64_t incarnation)
{
	struct owner_entry *e;

	TAILQ_FOREACH (e, &t->entries, entry) {
		if (addr_equal(e->addr, addr) && e->incarnation == incarnation)
			return e;
	}
	return NULL;
}

void
owner_table_add(struct owner_table *t, struct addr addr, uint64_t incarnation,
    uint64_t from_ms)
{
	struct owner_entry *e = xcalloc(1, sizeof(*e));

	e->addr = addr;
	e->incarnation = incarnation;
	e->from_ms = from_ms;
	TAILQ_INSERT_TAIL(&t->entries, e, entry);
}

static void
parse_line(struct owner_table *t, const char *line)
{
	struct owner_entry e;
	unsigned int port, state;

	memset(&e, 0, sizeof(e));
	if (sscanf(line,
		"%" SCNu32 " %u %" SCNu64 " %" SCNu64 " %" SCNu64 " %u",
		&e.addr.ip, &port, &e.incarnation, &e.from_ms, &e.until_ms,
		&state) != 6 ||
	    port > UINT16_MAX || state > OWNER_GONE)
		return;
	e.addr.port = port;
	owner_table_add(t, e.addr, e.incarnation, e.from_ms);
	owner_entry_end(
	    TAILQ_LAST(&t->entries, owner_entries), state, e.until_ms);
}

/* Which records arrived is known only here, so the row does not hold it. */
static void
keep_received_flags(struct owner_table *t, struct owner_entries *old)
{
	struct owner_entry *e, *same;

	TAILQ_FOREACH (e, old, entry) {
		same = owner_table_entry(t, e->addr, e->incarnation);
		if (same != NULL)
			same->records_received = e->records_received;
	}
	clear_entries(old);
}

bool
owner_table_load(
    struct owner_table *t, uint64_t epoch, const char *text, size_t len)
{
	struct owner_entries old = TAILQ_HEAD_INITIALIZER(old);
	const char *p = text, *end = text + len;

	if (t->known && epoch <= t->epoch)
		return false;
	TAILQ_CONCAT(&old, &t->entries, entry);
	while (p != NULL && p < end) {
		parse_line(t, p);
		p = memchr(p, '\n', (size_t)(end - p));
		if (p != NULL)
			p++;
	}
	keep_received_flags(t, &old);
	t->epoch = epoch;
	t->known = true;
	t->is_stale = false;
	t->proved_us = 0;
	return true;
}

void
owner_table_prove(struct owner_table *t, uint64_t at_us)
{
	if (at_us > t->proved_us)
		t->proved_us = at_us;
}

bool
owner_table_is_proved(const struct owner_table *t, struct instant now)
{
	return t->known && t->proved_us != 0 &&
	       now.mono_us - t->proved_us < OWNERS_PROOF_TTL_US;
}

static bool
was_active_at(const struct owner_entry *e, uint64_t stamp_ms)
{
	return stamp_ms >= e->from_ms &&
	       (e->until_ms == 0 || stamp_ms < e->until_ms);
}

static uint64_t
rendezvous_weight(const struct owner_entry *e, uint64_t subject)
{
	return hash_rendezvous(
	    subject, hash_rendezvous(addr_hash(e->addr), e->incarnation));
}

/* The owner of that time with the highest weight below a bound, or NULL. */
static const struct owner_entry *
heaviest_below(const struct owner_table *t, uint64_t subject, uint64_t stamp_ms,
    uint64_t below)
{
	const struct owner_entry *e, *best = NULL;
	uint64_t w, top = 0;

	TAILQ_FOREACH (e, &t->entries, entry) {
		if (!was_active_at(e, stamp_ms))
			continue;
		w = rendezvous_weight(e, subject);
		if (w < below && (best == NULL || w > top)) {
			best = e;
			top = w;
		}
	}
	return best;
}

static struct owner
make_owner(enum owner_kind kind, const struct owner_entry *e)
{
	struct owner o = {kind, e};

	return o;
}

struct owner
owner_table_find(const struct owner_table *t, struct addr self,
    uint64_t incarnation, const char *id, uint64_t stamp_ms, struct instant now)
{
	uint64_t subject = hash_string(id), below = UINT64_MAX;
	bool is_member = owner_table_entry(t, self, incarnation) != NULL;
	const struct owner_entry *e;

	for (;;) {
		e = heaviest_below(t, subject, stamp_ms, below);
		if (e == NULL)
			return make_owner(OWNER_IS_NOBODY, NULL);
		if (e->state == OWNER_GONE)
			return make_owner(OWNER_IS_LOST, e);
		if (e->state == OWNER_ACTIVE)
			break;
		/*
		 * A member has to know from the records of the owner that left
		 * whether the id ran there.  Other daemons only need to find
		 * the member that would know.
		 */
		if (is_member && !e->records_received)
			return make_owner(OWNER_IS_LOST, e);
		below = rendezvous_weight(e, subject);
	}
	if (!addr_equal(e->addr, self) || e->incarnation != incarnation)
		return make_owner(OWNER_IS_OTHER, e);
	return make_owner(
	    owner_table_is_proved(t, now) ? OWNER_IS_SELF : OWNER_IS_UNPROVED,
	    e);
}

const struct owner_entry *
owner_table_successor(const struct owner_table *t, struct addr self,
    uint64_t incarnation, const char *id, uint64_t stamp_ms)
{
	const struct owner_entry *own = owner_table_entry(t, self, incarnation);
	uint64_t subject = hash_string(id);
	const struct owner_entry *e;
	uint64_t below;

	if (own == NULL)
		return NULL;
	below = rendezvous_weight(own, subject);
	for (;;) {
		e = heaviest_below(t, subject, stamp_ms, below);
		if (e == NULL || e->state == OWNER_ACTIVE)
			return e;
		below = rendezvous_weight(e, subject);
	}
}

struct owner_table *
owner_table_copy(const struct owner_table *t)
{
	struct owner_table *copy = table_create(t->dc);
	const struct owner_entry *e;

	copy->epoch = t->epoch;
	copy->known = t->known;
	TAILQ_FOREACH (e, &t->entries, entry) {
		owner_table_add(copy, e->addr, e->incarnation, e->from_ms);
		owner_entry_end(TAILQ_LAST(&copy->entries, owner_entries),
		    e->state, e->until_ms);
	}
	return copy;
}

void
owner_entry_end(
    struct owner_entry *e, enum owner_state state, uint64_t until_ms)
{
	e->state = state;
	/* Others may rely on an earlier end already, so it is never put off. */
	if (e->until_ms == 0 || until_ms < e->until_ms)
		e->until_ms = until_ms;
}

bool
owner_table_prune(struct owner_table *t, uint64_t now_ms)
{
	struct owner_entry *e, *next;
	bool changed = false;

	TAILQ_FOREACH_SAFE (e, &t->entries, entry, next) {
		if (e->state == OWNER_ACTIVE ||
		    now_ms < e->until_ms + OWNERS_ID_RETENTION_MS)
			continue;
		TAILQ_REMOVE(&t->entries, e, entry);
		free(e);
		changed = true;
	}
	return changed;
}

void
owner_table_format(const struct owner_table *t, struct buffer *out)
{
	const struct owner_entry *e;
	size_t used = 0, count = 0;
	char *text;

	TAILQ_FOREACH (e, &t->entries, entry)
		count++;
	text = xcalloc(count + 1, MAX_LINE_BYTES);
	TAILQ_FOREACH (e, &t->entries, entry)
		used += (size_t)snprintf(text + used, MAX_LINE_BYTES,
		    "%" PRIu32 " %u %" PRIu64 " %" PRIu64 " %" PRIu64 " %u\n",
		    e->addr.ip, e->addr.port, e->incarnation, e->from_ms,
		    e->until_ms, e->state);
	buffer_set(out, text, used);
	free(text);
}
