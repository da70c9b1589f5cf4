/*
 * pressure - how much of its callers' work a service asks to be kept away
 *
 * A share from 0 to 1.  The daemon beside a target raises it while calls
 * wait too long there and lowers it when they do not.  It rides on replies
 * to the daemons that send calls, and from the host of a caller's target on
 * to the callers of that one: work is refused where a call tree begins, and
 * not in the middle, where it wastes the runs above.
 *
 * Which calls make up the share is decided where a tree begins: the least
 * important first, by the mix of importances that was seen there lately,
 * and callers that come back after a refusal last within their class.
 *
 *	pressure_note(&p, waited_us, allowed_us)	for each call that waits
 *	pressure_tick(&p)				ten times a second
 *	class_mix_note(&mix, importance)		for each call that
 *begins class_mix_refuses(&mix, share, importance, level)
 */
#ifndef CORE_PRESSURE_H
#define CORE_PRESSURE_H

#include "core/types.h"

#define PRESSURE_LEVELS 128 /* levels within a class; see shed_level() */

struct pressure {
	double share; /* of the work that should not come */
	double step; /* of the next raise */
	double worst; /* longest wait since the last tick, of what is allowed */
	double last_worst; /* the same, in the tick before */
	bool refused; /* since the last tick */
};

struct class_mix {
	double seen[IMPORTANCE_COUNT]; /* calls lately, fading */
};

/* A call waited, or waits, where so much is allowed. */
void pressure_note(struct pressure *, uint64_t waited_us, uint64_t allowed_us);
/* A call had to be refused. */
void pressure_refused(struct pressure *);
void pressure_tick(struct pressure *);

void class_mix_note(struct class_mix *, enum importance);
/* Fade; called ten times a second. */
void class_mix_tick(struct class_mix *);
/* Whether a call is among the given share of the least important ones. */
bool class_mix_refuses(
    const struct class_mix *, double share, enum importance, uint8_t level);

#endif
