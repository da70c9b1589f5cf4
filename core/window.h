/*
 * window - how many call trees may be in progress at one target
 *
 * A call tree begins with a run of the local target, which makes nested calls
 * to other services.  If a service below is short of slots, nested calls take
 * longer, and trees that go on beginning only add to the work that will not
 * be finished in time.  The window limits the trees that run here at once.
 * While nested calls take longer, trees take longer, and fewer begin, without
 * any message.  The window itself follows the time of the nested calls
 * relative to their latency goals: it shrinks while they take too large a part
 * of them and grows while they take a small part and trees wait.
 *
 * Trees are told apart by their importance.  More important ones bear slower
 * nested calls, so that less important ones make room first.
 *
 *	windows_init(&w, slots)
 *	windows_may_start(&w, importance)	before a tree begins
 *	windows_start(&w, importance)
 *	windows_end(&w, importance)
 *	windows_record_nested(&w, took_us, goal_us)	for each nested call
 *	windows_tick(&w)		ten times a second
 *
 * The struct owns no memory.  Times are durations in microseconds.
 */
#ifndef CORE_WINDOW_H
#define CORE_WINDOW_H

#include "core/types.h"

/* The trees of one importance. */
struct window {
	double limit; /* trees that may run at once */
	unsigned int running;
	double mean_running; /* exponentially smoothed */
	bool was_full; /* a tree had to wait since the last tick */
};

struct windows {
	struct window of[IMPORTANCE_NESTED]; /* by importance */
	double max; /* the slots of the target */
	double recent_nested; /* nested calls; decays exponentially */
	double ratio_sum; /* of nested calls since the last tick */
	unsigned int nested; /* their number */
};

void windows_init(struct windows *, double slots);
/* Whether a tree may begin; if not, one waits. */
bool windows_may_start(struct windows *, enum importance);
void windows_start(struct windows *, enum importance);
void windows_end(struct windows *, enum importance);
/*
 * A nested call ended, complete or not: one that fails at once is no sign that
 * a service is short of slots.
 */
void windows_record_nested(
    struct windows *, uint64_t took_us, uint64_t goal_us);
/* Adapt the windows to what was seen since the last tick. */
void windows_tick(struct windows *);

#endif
