/*
 * limit - the adaptive concurrency limit of the local target
 *
 * A limiter adapts the number of calls that the target may run at once to
 * how long finished calls took and how many of them failed.  It is a table
 * of function pointers, so that algorithms can be compared.  It adjusts the
 * limit after each window of LIMIT_WINDOW_CALLS finished calls.  The limit
 * always stays between LIMIT_MIN_CALLS and the maximum given to limit_init().
 *
 *	limit_init(&l, &limiter_gradient, slots, max);
 *	if (running < limit_current(&l))
 *		...
 *	limit_record_call(&l, took_us, running, ok);
 *
 * The struct owns no memory and needs no release.
 */
#ifndef CORE_LIMIT_H
#define CORE_LIMIT_H

#include "core/types.h"

#define LIMIT_MIN_CALLS 2 /* calls that may always run at once */
#define LIMIT_WINDOW_CALLS 64 /* finished calls between two adjustments */

struct limit;

/* An algorithm that adapts the limit. */
struct limiter {
	const char *name; /* the value of the setting that selects it */
	/* Return the new limit after a window, in calls; it is clamped then. */
	double (*adjust)(struct limit *);
};

/* The limit of one target.  All members are private to the limiters. */
struct limit {
	const struct limiter *limiter;
	double value; /* the present limit, in calls */
	double max; /* upper bound of the limit, in calls */
	double base_us; /* unused */
	double window_mean_us; /* mean time of a call in the last window */
	/* The lowest recent window mean: a call's time without queueing. */
	double min_mean_us;
	/* What the present window has seen so far. */
	uint64_t window_sum_us; /* total time of its calls */
	unsigned int window_calls; /* calls that finished */
	unsigned int window_failed; /* calls among them that failed */
	unsigned int window_peak; /* most calls that ran at once */
	unsigned int age; /* unused */
};

/*
 * Begins at the number of slots that the target announced.  A window with
 * too many failures cuts the limit by a tenth, any other raises it by its
 * square root.
 */
extern const struct limiter limiter_slots;
/*
 * Scales the limit by the ratio of the lowest to the present mean time, and
 * adds its square root to allow for a short queue.
 */
extern const struct limiter limiter_gradient;
/*
 * Additive increase, multiplicative decrease: adds one while calls are fast
 * and cuts the limit by a tenth when they are slow or fail.
 */
extern const struct limiter limiter_aimd;
/* Never changes the limit. */
extern const struct limiter limiter_fixed;

/* Set the limit to start, between LIMIT_MIN_CALLS and max; all are calls. */
void limit_init(
    struct limit *, const struct limiter *, double start, double max);
/* The number of calls that may run at once now. */
unsigned int limit_current(const struct limit *);
/*
 * Report a finished call: the time it took, how many calls ran at that time,
 * and whether it succeeded.
 */
void limit_record_call(
    struct limit *, uint64_t took_us, unsigned int running, bool ok);

#endif
