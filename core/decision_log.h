/*
 * decision_log - recent decisions, for operators and for the daemon's log
 *
 * A ring buffer of short records, one for each decision about a call.  The
 * records of a call are found by its id or by the number of its call tree.
 * No record contains a key or a body.
 *
 *	log = decision_log_create();
 *	d = decision_log_add(log);			then fill in d
 *	while ((d = decision_log_next(log, &cursor)) != NULL)
 *		decision_format(d, line, sizeof(line));
 *	decision_log_destroy(log);
 *
 * The records belong to the ring and are overwritten by later ones.
 */
#ifndef CORE_DECISION_LOG_H
#define CORE_DECISION_LOG_H

#include "core/types.h"
#include "core/verdict.h"

/* Decisions that the ring holds. */
#define DECISION_LOG_MAX_RECORDS 1024
/* Bytes of a formatted decision, with its NUL. */
#define DECISION_LINE_BYTES 768

/* One decision about a call, at its entry daemon or at the target's. */
struct decision {
	uint64_t at_ms; /* wall time */
	uint64_t tree_id; /* number of the call tree */
	char id[ID_LEN];
	char org[NAME_LEN];
	char service[NAME_LEN];
	char details[128]; /* the state behind it: "running=8 limit=20 ..." */
	/* The target's daemon; for step "serve" the entry daemon. */
	struct addr target;
	struct failure failure; /* REASON_NONE for a complete answer */
	const char *step; /* a constant: "entry" or "serve" */
};

struct decision_log;

struct decision_log *decision_log_create(void);
void decision_log_destroy(struct decision_log *);
/* Add a zeroed record, to be filled in; it overwrites the oldest. */
struct decision *decision_log_add(struct decision_log *);
/*
 * Return the next record and advance the cursor, which begins at 0; NULL if
 * there is none.  Records that were overwritten meanwhile are skipped.
 */
const struct decision *decision_log_next(
    const struct decision_log *, uint64_t *cursor);
/* Format a decision as one line, without the line end. */
void decision_format(const struct decision *, char *buf, size_t len);
/*
 * Format all decisions about an id, or a call tree in hexadecimal, as lines,
 * as far as they fit.  Returns the length without the NUL; 0 if none match.
 */
size_t decision_log_print(
    const struct decision_log *, const char *id_or_tree, char *buf, size_t len);

#endif
