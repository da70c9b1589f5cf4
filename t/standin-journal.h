/*
 * standin-journal - the rows of a table service, as the list of their changes
 *
 * The state at any version so far can be read, and the journal can go back to
 * one; later versions are then given out again.
 *
 *	j = journal_create();
 *	journal_begin(j);
 *	journal_add(j, "table", "part", "key", "value");
 *	c = journal_find(j, journal_version(j), "table", "part", "key");
 *	journal_truncate(j, version);
 */
#ifndef T_STANDIN_JOURNAL_H
#define T_STANDIN_JOURNAL_H

#include <bsd/sys/queue.h>
#include <glib.h>
#include <stdint.h>

/* One write of a row.  The journal owns it and its texts. */
struct change {
	TAILQ_ENTRY(change) entry;
	gchar *table, *part, *key;
	gchar *value; /* NULL: the row was removed */
	uint64_t version;
};

struct journal;

/* A journal without changes, at version 0. */
struct journal *journal_create(void);
void journal_destroy(struct journal *);
uint64_t journal_version(const struct journal *);
/* Begin a transaction: the following changes get the next version. */
void journal_begin(struct journal *);
/* Copies the texts. */
void journal_add(struct journal *, const char *table, const char *part,
    const char *key, const char *value);
/*
 * The newest change of a row up to a version; NULL if the row was not written
 * until then.
 */
const struct change *journal_find(const struct journal *, uint64_t version,
    const char *table, const char *part, const char *key);
/*
 * Call cb for the rows of a table that changed after one version and up to
 * another one, in the order of these changes, each with its newest one.
 */
void journal_each(const struct journal *, const char *table, uint64_t after,
    uint64_t version, void (*cb)(const struct change *, void *), void *arg);
/* Drop the changes after a version. */
void journal_truncate(struct journal *, uint64_t version);

#endif
