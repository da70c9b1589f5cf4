/*
 * row_watch - when to read a row of the platform again
 *
 * A daemon that follows a row reads it once and then, where the platform has a
 * change feed, waits there for changes: the answer comes with the next change,
 * or after the waiting time.  Without a feed the row is read at an interval.
 * After a read that was not answered the same interval is kept.
 *
 *	if (row_watch_due(&w, now, interval_us))
 *		row_watch_ask(&w, request, wait_ms, now);
 *	row_watch_answered(&w, answer);		for each answer
 *	row_watch_reset(&w);			to read the row itself now
 *
 * A zeroed struct has never read.  Times are on the monotonic clock, in
 * microseconds.
 */
#ifndef CORE_ROW_WATCH_H
#define CORE_ROW_WATCH_H

#include "core/msg.h"

struct row_watch {
	uint64_t feed_position; /* a position to wait after; 0: no feed */
	uint64_t asked_us; /* when the last read was sent; 0: none yet */
	uint64_t wait_ms; /* that the last read may wait for a change */
	bool pending; /* its answer is outstanding */
	bool failed; /* the platform did not answer it */
};

/* Whether to read now; a read without a feed is made at the interval. */
bool row_watch_due(
    const struct row_watch *, struct instant now, uint64_t interval_us);
/*
 * Fill in how the request, a read of the row, waits: for at most wait_ms, if
 * there is a feed.
 */
void row_watch_ask(struct row_watch *, struct row *request, uint64_t wait_ms,
    struct instant now);
/* Take note of an answer, also of one without a row. */
void row_watch_answered(struct row_watch *, const struct row *answer);
/* Read the row itself as soon as no other read is pending. */
void row_watch_reset(struct row_watch *);
/* Read the row itself now, whether or not a read is pending. */
void row_watch_restart(struct row_watch *);

#endif
