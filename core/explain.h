/*
 * explain - the last decisions, for operators who ask about a request
 *
 * A ring of short records.  A request is found by its id or by the number
 * of its call tree in hexadecimal.  No record holds a key or a body.
 */
#ifndef CORE_EXPLAIN_H
#define CORE_EXPLAIN_H

#include "core/types.h"
#include "core/verdict.h"

#define EXPLAIN_RECORDS 1024
#define EXPLAIN_LINE 768 /* bytes of a decision as a line, with its NUL */

struct decision {
	uint64_t at_ms; /* wall time */
	uint64_t tree;
	char id[ID_LEN];
	char org[NAME_LEN];
	char service[NAME_LEN];
	char figure[128]; /* what decided it, "delay_ms=41 limit=20" */
	struct addr target;
	struct failure failure;
	const char *step; /* a constant: "entry", "serve" */
};

struct explain;

struct explain *explain_create(void);
void explain_destroy(struct explain *);
/* The record to fill in next; the oldest is overwritten. */
struct decision *explain_add(struct explain *);
/*
 * The decision after the one that *cursor stands for, or NULL; the cursor
 * begins at 0 and is moved on.  What was overwritten meanwhile is skipped.
 */
const struct decision *explain_next(const struct explain *, uint64_t *cursor);
/* One decision as a line without its end, for logs. */
void explain_line(const struct decision *, char *buf, size_t len);
/* Write all that is known of an id or tree as lines; returns the length. */
size_t explain_print(
    const struct explain *, const char *what, char *buf, size_t len);

#endif
