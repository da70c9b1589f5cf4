/*
 * ended_row - the row of the platform that names the start of a target that has
 * ended
 *
 * A start is one run of a target's process; its id and its start time tell it
 * from others.  Once a daemon has acknowledged that the start beside it ends,
 * no later process of that daemon may use it again, whatever late announcements
 * arrive.  The row "ended/DC/IP:PORT", with the IP of the daemon's link as a
 * number, says which start that was.  A later end at the same address replaces
 * it, and nothing removes it, so there is at most one row for each address.
 *
 *	ended_row_key(key, sizeof(key), "plzen", addr);
 *	ended_row_format(value, sizeof(value), &start);
 *	fault = ended_row_parse(value, now.wall_ms, &start);
 */
#ifndef CORE_ENDED_ROW_H
#define CORE_ENDED_ROW_H

#include "core/types.h"

#define ENDED_ROW_VALUE_LEN 256 /* bytes of a row's value, with its NUL */
/* How far in the future a start may seem to be. */
#define ENDED_ROW_MAX_SKEW_MS (UINT64_C(24) * 3600 * 1000)

struct target_start {
	char service[NAME_LEN];
	char id[ID_LEN]; /* empty: no start */
	uint64_t started_ms; /* wall time, on the target's clock */
};

/* Write the key of a daemon's row, cut to len bytes with its NUL. */
void ended_row_key(char *key, size_t len, const char *dc, struct addr daemon);
/* Write the value of a row, cut to len bytes with its NUL. */
void ended_row_format(char *value, size_t len, const struct target_start *);
/*
 * Read a row.  Returns NULL, or the reason why it names no start, a constant
 * such as "id"; then the start is undefined.
 */
const char *ended_row_parse(
    const char *value, uint64_t wall_ms, struct target_start *);
/*
 * A number that tells a start from others in messages between daemons; 0 if the
 * start has no id.
 */
uint64_t target_start_tag(const struct target_start *);

#endif
