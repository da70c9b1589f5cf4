/*
 * limit - how many calls the local target may run at once
 *
 * A limiter learns a concurrency limit from how long finished calls took.
 * It is a table of function pointers, so that policies can be measured side
 * by side.  The limit never leaves [LIMIT_MIN, max].
 *
 *	limit_init(&l, &limiter_gradient, slots, max);
 *	if (running < limit_now(&l)) ...
 *	limit_finished(&l, took_us, running, ok, now);
 */
#ifndef CORE_LIMIT_H
#define CORE_LIMIT_H

#include "core/types.h"

#define LIMIT_MIN 2
#define LIMIT_WINDOW 64 /* finished calls between two adjustments */

struct limit;

struct limiter {
	const char *name;
	/* A window is over: return the new limit. */
	double (*adjust)(struct limit *);
};

struct limit {
	const struct limiter *limiter;
	double value;
	double max;
	double base_us; /* time of a call without queueing */
	double window_us; /* mean time in the window */
	double floor_us; /* shortest mean lately seen */
	uint64_t sum_us;
	unsigned int count;
	unsigned int failed;
	unsigned int peak; /* most calls that ran at once */
	unsigned int age; /* windows since the floor was set */
};

/* What the target announced, less a tenth whenever it fails or refuses. */
extern const struct limiter limiter_slots;
/* Follows the ratio of the shortest to the present mean time. */
extern const struct limiter limiter_gradient;
/* Adds one while calls are quick, and takes a tenth off when they are not. */
extern const struct limiter limiter_aimd;
/* Stays where it is. */
extern const struct limiter limiter_fixed;

void limit_init(
    struct limit *, const struct limiter *, double start, double max);
unsigned int limit_now(const struct limit *);
void limit_finished(
    struct limit *, uint64_t took_us, unsigned int running, bool ok);

#endif
