/*
 * pressure - the fraction of its callers' work that a service wants refused
 *
 * The fraction lies between 0 and 1.  The daemon beside a target raises it
 * while calls wait too long there and lowers it while they do not.  It is
 * carried by replies to the daemons that send the calls, and from the host
 * of a calling target on to that target's own callers.  Work is therefore
 * refused where a call tree begins, and not further down, where a refusal
 * would waste the runs above it.
 *
 * The daemon where a tree begins decides which calls to refuse: the least
 * important ones first, by the mix of importances that it saw recently.
 * Within an importance, callers that retry after a refusal are refused last.
 *
 *	pressure_record_wait(&p, waited_us, allowed_us)
 *		when a call starts, and before each tick for those that wait
 *	pressure_record_refusal(&p)	after a refusal
 *	pressure_tick(&p)	ten times a second
 *
 *	importance_mix_record(&mix, importance)	for each call tree
 *	importance_mix_refuses(&mix, fraction, importance, level)
 *	importance_mix_tick(&mix)	ten times a second
 *
 * A zeroed struct is ready for use and owns no memory.
 */
#ifndef CORE_PRESSURE_H
#define CORE_PRESSURE_H

#include "core/types.h"

/* The pressure of one target.  Read fraction; the rest is private. */
struct pressure {
	double fraction; /* the fraction of its callers' work to refuse */
	double raise_step; /* what the next raise adds to the fraction */
	/* The longest wait since the last tick, relative to that allowed. */
	double max_wait_ratio;
	double prev_max_wait_ratio; /* the same of the tick before */
	bool refused_any; /* a call was refused since the last tick */
};

/* How many calls of each importance began recently. */
struct importance_mix {
	double recent[IMPORTANCE_COUNT]; /* exponentially decayed counts */
};

/* A call that may wait for allowed_us has waited for waited_us so far. */
void pressure_record_wait(
    struct pressure *, uint64_t waited_us, uint64_t allowed_us);
/* A call was refused because of overload. */
void pressure_record_refusal(struct pressure *);
/* Adapt the fraction to what was seen since the last tick. */
void pressure_tick(struct pressure *);

/* Count a call that begins a call tree. */
void importance_mix_record(struct importance_mix *, enum importance);
/* Decay the counts. */
void importance_mix_tick(struct importance_mix *);
/*
 * Whether a call is among the least important part of the recent calls that
 * makes up the given fraction of all.  Within an importance low levels come
 * first.
 */
bool importance_mix_refuses(const struct importance_mix *, double fraction,
    enum importance, uint8_t level);

#endif
