/*
 * explain - recent decisions, for operators and for the daemon's log
 *
 * A ring buffer of short records, one for each decision about a call.  The
 * records of a call are found by its id or by the number of its call tree.
 * No record contains a key or a body.
 *
 *	e = explain_create();
 *	d = explain_add(e);			then fill in d
 *	while ((d = explain_next(e, &cursor)) != NULL)
 *		explain_line(d, line, sizeof(line));
 *	explain_destroy(e);
 *
 * The records belong to the ring and are overwritten by later ones.
 */
#ifndef CORE_EXPLAIN_H
#define CORE_EXPLAIN_H

#include "core/types.h"
#include "core/verdict.h"

#define EXPLAIN_RECORDS 1024 /* decisions that the ring holds */
#define EXPLAIN_LINE 768 /* bytes of a formatted decision, with its NUL */

struct decision {
	uint64_t at_ms; /* wall time */
	uint64_t tree; /* number of the call tree */
	char id[ID_LEN];
	char org[NAME_LEN];
	char service[NAME_LEN];
	char figure[128]; /* the state behind it: "running=8 limit=20 ..." */
	/* The target's daemon; for step "serve" the entry daemon. */
	struct addr target;
	struct failure failure; /* REASON_NONE for a complete answer */
	const char *step; /* a constant: "entry" or "serve" */
};

struct explain;

struct explain *explain_create(void);
void explain_destroy(struct explain *);
/* Add a zeroed record, to be filled in; it overwrites the oldest. */
struct decision *explain_add(struct explain *);
/*
 * Return the next record and advance the cursor, which begins at 0; NULL if
 * there is none.  Records that were overwritten meanwhile are skipped.
 */
const struct decision *explain_next(const struct explain *, uint64_t *cursor);
/* Format a decision as one line, without the line end. */
void explain_line(const struct decision *, char *buf, size_t len);
/*
 * Format all decisions about an id, or a call tree in hexadecimal, as lines,
 * as far as they fit.  Returns the length without the NUL; 0 if none match.
 */
size_t explain_print(
    const struct explain *, const char *id_or_tree, char *buf, size_t len);

#endif
