/*
 * id_guard - what keeps an idempotency id from running twice
 *
 * The daemon beside the target asks the guard for the record of an id and
 * for the outcome of a try, and whether an owner of ids needs fresh proof
 * from the platform that it still owns them.  The guard is a table of
 * functions.  Daemons use guard_full.  Each of the others leaves out one
 * mechanism, so that a test can show that ids run twice without it.
 *
 *	rec = setup.guard->find(ledger, org, id);
 *	fate = setup.guard->query(ledger, org, id, entry_daemon, seq,
 *	    now, &rec);
 *
 * Records belong to the ledger.
 */
#ifndef CORE_ID_GUARD_H
#define CORE_ID_GUARD_H

#include "core/ledger.h"

struct id_guard {
	const char *name; /* for the output of tests; a constant */
	bool requires_proof; /* an owner needs fresh proof from the platform */
	/* Return the record of an id, or NULL; see ledger_find(). */
	struct ledger_record *(*find)(
	    struct ledger *, const char *org, const char *id);
	/* Return the outcome of a try; see ledger_query(). */
	enum fate_state (*query)(struct ledger *, const char *org,
	    const char *id, struct addr entry_daemon, uint64_t seq,
	    struct instant now, struct ledger_record **);
};

/* All mechanisms. */
extern const struct id_guard guard_full;
/* A daemon runs an id that it believes it owns, without proof. */
extern const struct id_guard guard_without_proof;
/* A second try of an id is not recognised and runs again. */
extern const struct id_guard guard_without_ledger;
/*
 * No tombstone is written for an id that was never seen.  The try is reported
 * as not run, but runs if it arrives later.
 */
extern const struct id_guard guard_without_tombstone;

#endif
