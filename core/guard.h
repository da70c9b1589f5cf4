/*
 * guard - what keeps an id from running twice, as a table of functions
 *
 * The daemon at the target asks the guard three things: who owns an id, what
 * is remembered of it, and what became of a try.  guard_full is what runs;
 * the others each leave one mechanism out, so that a test can show that the
 * mechanism is what keeps the promise.
 */
#ifndef CORE_GUARD_H
#define CORE_GUARD_H

#include "core/group.h"
#include "core/ledger.h"

struct id_guard {
	const char *name;
	bool any_member; /* an id is one attempt: nobody owns it */
	/* Who may run an id, as far as this daemon can know. */
	struct owner (*owner)(struct group *, const char *dc, const char *id,
	    uint64_t stamp_ms, struct instant now);
	/* The record of an id, or NULL. */
	struct ledger_record *(*find)(
	    struct ledger *, const char *org, const char *id);
	/* What became of a try; may leave a tombstone. */
	enum fate_state (*ask)(struct ledger *, const char *org, const char *id,
	    struct addr entry, uint64_t seq, struct instant now,
	    struct ledger_record **);
};

extern const struct id_guard guard_full;
/*
 * An id is one attempt of a caller, made once by the daemon that took it:
 * any member may run it, and its record only answers what became of it.
 */
extern const struct id_guard guard_attempt;
/* Whoever believes itself the owner runs the id. */
extern const struct id_guard guard_without_lease;
/* Second tries are not recognised. */
extern const struct id_guard guard_without_ledger;
/* An id that was not seen is said not to run, and may still arrive. */
extern const struct id_guard guard_without_tombstone;

#endif
