/*
 * ledger - what became of each idempotency id that this daemon has seen
 *
 * The daemon that owns an id keeps a record of it.  The call runs, or it ran
 * (its reply is kept for a while), or its outcome is unknown, or the record
 * is a tombstone.  A tombstone is written when a daemon asks for the outcome
 * of a try whose id was never seen.  That try is refused should it still
 * arrive, so that the answer "not run" stays true.
 *
 *	switch (ledger_begin(l, org, id, entry_daemon, seq, now, &rec)) {
 *	case LEDGER_NEW:	run it, then ledger_finish(l, rec, reply)
 *	case LEDGER_RUNNING:	wait for rec, with ledger_add_waiter()
 *	case LEDGER_RAN:	answer with rec->reply
 *	...
 *
 * A record is kept for LEDGER_RETENTION_US and never dropped before, since an
 * id that was forgotten could run again; a full ledger refuses new ids
 * instead.  Replies may go earlier: the oldest are dropped when all together
 * would exceed max_reply_bytes, and a record without its reply still says that
 * the call ran.
 *
 * The ledger owns its records, their replies and their waiters.  A pointer
 * to a record is valid until ledger_remove() of it, the next ledger_tick()
 * or ledger_destroy().  A try is identified by the address of its entry daemon
 * and that daemon's sequence number.
 */
#ifndef CORE_LEDGER_H
#define CORE_LEDGER_H

#include <bsd/sys/queue.h>
#include <bsd/sys/tree.h>

#include "core/msg.h"

#define LEDGER_RETENTION_US (600 * SEC_US) /* from the creation of a record */
#define LEDGER_HASH_LEN 16 /* bytes of the hash that records are found by */

/* What is known of an id. */
enum ledger_state {
	LEDGER_STATE_RUNNING, /* admitted; it may still be in the queue */
	LEDGER_STATE_RAN,
	LEDGER_STATE_UNKNOWN, /* handed to the target, outcome unknown */
	LEDGER_STATE_TOMBSTONE, /* one try was promised never to run */
};

/* How the try that was given to ledger_begin() has to be handled. */
enum ledger_result {
	LEDGER_NEW, /* run it; the record says that it runs */
	LEDGER_RUNNING, /* wait for the try that runs */
	LEDGER_RAN, /* answer with the reply in the record */
	LEDGER_REPLY_GONE, /* it ran, but its reply was dropped */
	LEDGER_OUTCOME_UNKNOWN, /* it may have run */
	LEDGER_TOMBSTONED, /* a tombstone forbids this very try */
	LEDGER_FULL, /* no room for another record */
};

/* A try that waits for the outcome of a running record. */
struct ledger_waiter {
	LIST_ENTRY(ledger_waiter) entry;
	struct addr entry_daemon;
	uint64_t seq;
};

/* What the ledger knows of one id of one organisation. */
struct ledger_record {
	RB_ENTRY(ledger_record) by_id;
	TAILQ_ENTRY(ledger_record) by_age;
	TAILQ_ENTRY(ledger_record) by_reply; /* only while has_reply is set */
	LIST_HEAD(, ledger_waiter) waiters;
	uint8_t hash[LEDGER_HASH_LEN]; /* of organisation and id */
	char org[NAME_LEN];
	char id[ID_LEN];
	enum ledger_state state;
	bool has_reply; /* reply is set */
	uint64_t created_us; /* on the monotonic clock */
	/* The try that a tombstone forbids. */
	struct addr forbidden_entry_daemon;
	uint64_t forbidden_seq;
	struct reply reply;
};

struct ledger;

/*
 * Create an empty ledger for at most max_records ids, whose replies may take
 * max_reply_bytes of headers and bodies in all.
 */
struct ledger *ledger_create(size_t max_records, size_t max_reply_bytes);
/* Free the ledger and all its records. */
void ledger_destroy(struct ledger *);
/*
 * A try asks to run.  The record of its id, new or known, is left in the last
 * argument; NULL for LEDGER_FULL.
 */
enum ledger_result ledger_begin(struct ledger *, const char *org,
    const char *id, struct addr entry_daemon, uint64_t seq, struct instant now,
    struct ledger_record **);
/* The record of an id, or NULL. */
struct ledger_record *ledger_find(
    struct ledger *, const char *org, const char *id);
/*
 * Add a try to those that wait for a running record.  Adding it again has no
 * effect.
 */
void ledger_add_waiter(
    struct ledger_record *, struct addr entry_daemon, uint64_t seq);
/*
 * The call ran: share its reply, unless that alone is larger than
 * max_reply_bytes or than another daemon could be handed over.
 */
void ledger_finish(struct ledger *, struct ledger_record *, struct reply *);
/*
 * Remove and free the record of a call that did not run.  Tries that still
 * wait for it are dropped without a reply.
 */
void ledger_remove(struct ledger *, struct ledger_record *);
/* The call was handed to the target and its outcome is unknown. */
void ledger_set_unknown(struct ledger_record *);
/*
 * Answer what became of a try.  If its id has no record, a tombstone is
 * written, which makes FATE_TOMBSTONE true; without room for one the answer
 * is FATE_UNKNOWN.  The record is left in the last argument, or NULL.
 */
enum fate_state ledger_query(struct ledger *, const char *org, const char *id,
    struct addr entry_daemon, uint64_t seq, struct instant now,
    struct ledger_record **);
/*
 * Take over a record from a daemon that leaves, also if the ledger is full.  A
 * record of the same id here that is running or ran keeps its state.  The
 * reply is shared; NULL if the other daemon no longer had it.
 */
void ledger_import(struct ledger *, const char *org, const char *id,
    enum ledger_state, struct reply *, struct instant now);
/* Drop records older than LEDGER_RETENTION_US, except running ones. */
void ledger_tick(struct ledger *, struct instant now);
/*
 * The record created next after the given one; NULL begins with the oldest,
 * and NULL is returned after the last.
 */
struct ledger_record *ledger_next(struct ledger *, struct ledger_record *);
/* Bytes of headers and bodies that all replies take. */
size_t ledger_reply_bytes(const struct ledger *);
/* The number of records. */
size_t ledger_count(const struct ledger *);

/*
 * An idempotency id is "MS-DC-UNIQUE": the wall time of its issue in
 * milliseconds (at most 15 digits), the data centre whose targets own it,
 * and any unique string of printable characters without spaces.
 */
/* Parse an id; returns false and leaves the results alone if malformed. */
bool id_parse(const char *id, uint64_t *stamp_ms, char *dc, size_t dc_len);
/* Write an id whose unique part is a random number of 128 bits. */
void id_format(char *id, size_t len, uint64_t stamp_ms, const char *dc,
    uint64_t unique_hi, uint64_t unique_lo);

#endif
