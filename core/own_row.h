/*
 * own_row - when to write this daemon's member row of a service
 *
 * The row is written when the target joins or leaves, and repeated until the
 * platform has confirmed it.  When the platform's store comes back from a copy,
 * the row may be lost, or one that was removed may be back, so it is written
 * again.
 *
 *	own_row_sent(&w, request_number, now);
 *	if (own_row_answers(&w, answer_number))
 *		own_row_confirm(&w, now);
 *	own_row_lost(&w, &rng, now);		when the store came back
 *	if (own_row_due(&w, now))
 *		write it
 *
 * All daemons of a fleet hear of a return at the same time, and the store
 * bears only some hundred writes a second.  What the copy may lack was written
 * last, so a row that was confirmed some time ago is written again after twice
 * that time, and half as many in a second as were then.  Those of which that
 * would be later than OWN_ROW_SPREAD_US are spread over that period.
 *
 * A zeroed struct has never been written.  Times are on the monotonic clock,
 * in microseconds.
 */
#ifndef CORE_OWN_ROW_H
#define CORE_OWN_ROW_H

#include "core/types.h"

/* Within this time of a return all rows are written again. */
#define OWN_ROW_SPREAD_US (240 * SEC_US)
/* Interval between writes until one is confirmed. */
#define OWN_ROW_RETRY_INTERVAL_US (2 * SEC_US)

struct own_row {
	bool written; /* the platform has confirmed it, in the present era */
	bool again; /* it has to be written since the store came back */
	uint64_t sent_seq; /* number of the last write; 0: none yet */
	uint64_t due_us; /* when to write it, unless it is confirmed */
	uint64_t confirmed_us; /* when it was last confirmed */
};

/* Note a write; only the answer to the last one confirms the row. */
void own_row_sent(struct own_row *, uint64_t seq, struct instant now);
bool own_row_answers(const struct own_row *, uint64_t seq);
void own_row_confirm(struct own_row *, struct instant now);
void own_row_lost(struct own_row *, uint64_t *rng, struct instant now);
bool own_row_due(const struct own_row *, struct instant now);

#endif
