/*
 * owners - which member may run which idempotency ids of a service
 *
 * An id made by a caller outlives a single try: when the call is sent again,
 * to any daemon, it has to meet the record of its first run.  So each id has
 * one owner among the members of its data centre.  The owners of a data
 * centre are listed in one row of the platform, which is changed by
 * compare-and-set; the row's version is the epoch of the table.  An id
 * belongs to the member that rendezvous hashing ranks highest among those
 * that were owners at the time the id is stamped with.
 *
 *	t = owner_table_get(&tables, "plzen");
 *	owner_table_load(t, version, text, len);	the row's content
 *	owner_table_prove(t, asked_us);			the row is unchanged
 *	o = owner_table_find(t, self, incarnation, id, stamp_ms, now);
 *
 * An owner runs a new id only while it has fresh proof from the platform
 * that the row is the one it knows.  A change of owners applies to ids
 * stamped later than any proof of the old table can last.  While the
 * platform is down, no owner changes and no new id of a caller runs; calls
 * that run already are not affected.
 *
 * Times named _us are on this daemon's monotonic clock, those named _ms are
 * wall time.
 */
#ifndef CORE_OWNERS_H
#define CORE_OWNERS_H

#include <bsd/sys/queue.h>

#include "core/types.h"

/* How long a proof that the row is unchanged is relied on. */
#define OWNERS_PROOF_TTL_US (2 * SEC_US)
/* The wall clocks of any two hosts differ by less than this. */
#define OWNERS_MAX_CLOCK_SKEW_MS 1000
/* From the write of a change until it applies: a proof's TTL and the skew. */
#define OWNERS_CHANGE_DELAY_MS 3000
/* How long ledgers remember ids; an ended entry is kept for as long. */
#define OWNERS_ID_RETENTION_MS 600000

/* Written into the row as a number: keep the order. */
enum owner_state {
	OWNER_ACTIVE, /* answers for its ids, also after its period has ended */
	OWNER_LEFT, /* left in order and handed its ledger records over */
	OWNER_GONE, /* failed: its ledger records are lost */
};

/* The period in which one incarnation of a member owns ids. */
struct owner_entry {
	TAILQ_ENTRY(owner_entry) entry;
	struct addr addr;
	uint64_t incarnation;
	uint64_t from_ms; /* first stamp of an id that it may own */
	uint64_t until_ms; /* first stamp that it may not own; 0: open */
	enum owner_state state;
	bool records_received; /* it left, and all its records arrived here */
};

TAILQ_HEAD(owner_entries, owner_entry);

/* The owners of a service's ids in one data centre. */
struct owner_table {
	LIST_ENTRY(owner_table) entry;
	struct owner_entries entries;
	char dc[NAME_LEN];
	uint64_t epoch; /* the row's version; 0: there is no row */
	uint64_t proved_us; /* the row had that version then; 0: no proof */
	bool known; /* the row, or its absence, was read or reported */
	bool is_stale; /* the row may have changed: read it again */
};

LIST_HEAD(owner_tables, owner_table);

/* Who owns an id, as seen by the member that looks it up. */
enum owner_kind {
	OWNER_IS_SELF, /* this member, with fresh proof */
	OWNER_IS_OTHER, /* another member */
	OWNER_IS_LOST, /* the id may have run at an owner that is gone */
	OWNER_IS_UNPROVED, /* this member, by a table that may be outdated */
	OWNER_IS_NOBODY, /* no member owned ids at that time */
};

/* The result of a look-up; the entry belongs to the table. */
struct owner {
	enum owner_kind kind;
	const struct owner_entry *entry; /* NULL for OWNER_IS_NOBODY */
};

/*
 * The table of a data centre.  It is created on first use, with known unset,
 * and belongs to the list until owner_tables_release() destroys them all.
 */
struct owner_table *owner_table_get(struct owner_tables *, const char *dc);
/* Free all tables; the list is empty afterwards. */
void owner_tables_release(struct owner_tables *);
/*
 * Replace the entries by those in the row's text, and drop the proof.  False,
 * with nothing changed, if the table has that epoch or a later one already.
 * Lines that can not be parsed are skipped.
 */
bool owner_table_load(
    struct owner_table *, uint64_t epoch, const char *text, size_t len);
/* Note that at that time the row still had the table's epoch. */
void owner_table_prove(struct owner_table *, uint64_t at_us);
/* Whether the last proof is less than OWNERS_PROOF_TTL_US old. */
bool owner_table_is_proved(const struct owner_table *, struct instant now);
/* Look up the owner of an id, for the member self with that incarnation. */
struct owner owner_table_find(const struct owner_table *, struct addr self,
    uint64_t incarnation, const char *id, uint64_t stamp_ms,
    struct instant now);
/*
 * The member that takes over our record of an id when we leave, or NULL if
 * there is none.
 */
const struct owner_entry *owner_table_successor(const struct owner_table *,
    struct addr self, uint64_t incarnation, const char *id, uint64_t stamp_ms);
/* The entry of one incarnation, or NULL. */
struct owner_entry *owner_table_entry(
    const struct owner_table *, struct addr, uint64_t incarnation);

/*
 * To change the owners, edit a copy, then write its text over the row of the
 * copy's epoch.  The caller destroys the copy.
 */
struct owner_table *owner_table_copy(const struct owner_table *);
void owner_table_destroy(struct owner_table *);
/* Add an owner of the ids that are stamped from_ms or later. */
void owner_table_add(
    struct owner_table *, struct addr, uint64_t incarnation, uint64_t from_ms);
/* Set the state and the end of an entry; an end set earlier stays. */
void owner_entry_end(struct owner_entry *, enum owner_state, uint64_t until_ms);
/* Drop entries whose ids are no longer remembered; true if there were any. */
bool owner_table_prune(struct owner_table *, uint64_t now_ms);
/* Write the row's text for the table into the buffer. */
void owner_table_format(const struct owner_table *, struct buffer *);

#endif
