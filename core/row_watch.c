#include "core/row_watch.h"
#include "core/position.h"

/* A read is repeated if it is not answered this long after its wait ended. */
#define ANSWER_TIMEOUT_US (3500 * MSEC_US)

bool
row_watch_due(
    const struct row_watch *w, struct instant now, uint64_t interval_us)
{
	if (w->pending && now.mono_us - w->asked_us <
			      w->wait_ms * MSEC_US + ANSWER_TIMEOUT_US)
		return false;
	/* Waiting reads limit their own rate; others need the interval. */
	return w->asked_us == 0 || (w->feed_position != 0 && !w->failed) ||
	       now.mono_us - w->asked_us >= interval_us;
}

void
row_watch_ask(struct row_watch *w, struct row *request, uint64_t wait_ms,
    struct instant now)
{
	w->pending = true;
	w->asked_us = now.mono_us;
	w->wait_ms = w->feed_position != 0 ? wait_ms : 0;
	request->feed_position = position_version(w->feed_position);
	request->based_on = w->feed_position;
	request->wait_ms = w->wait_ms;
	request->asked_us = now.mono_us;
}

void
row_watch_answered(struct row_watch *w, const struct row *answer)
{
	w->pending = false;
	w->failed = answer->status == ROW_UNKNOWN;
	if (answer->status == ROW_HISTORY_GONE)
		row_watch_reset(w);
	else if (!w->failed)
		w->feed_position = answer->feed_position;
}

void
row_watch_reset(struct row_watch *w)
{
	w->asked_us = 0;
	w->feed_position = 0;
}

void
row_watch_restart(struct row_watch *w)
{
	row_watch_reset(w);
	w->pending = false;
}
