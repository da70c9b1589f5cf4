/*
 * balance - chooses the target of a call that any target may run
 *
 *	m = balancer_two_choices.choose(g, &call, &rng, now);
 *
 * Each policy is a table of function pointers, so that policies can be
 * compared.  All choose only members that take new work and that the call
 * has not tried yet.  Members that failed recently, or whose threshold
 * refuses the call, are chosen only if there are no others, and those of the
 * daemon's own data centre are preferred.
 *
 * The member that is returned belongs to the group; NULL means that none is
 * left to try.
 */
#ifndef CORE_BALANCE_H
#define CORE_BALANCE_H

#include "core/group.h"

/* The most members that a call remembers having tried; the latest ones. */
#define BALANCE_MAX_TRIED 8

/* What the choice depends on in the call. */
struct balance_call {
	enum importance importance;
	uint8_t level;
	struct addr tried[BALANCE_MAX_TRIED]; /* daemons of targets tried */
	int ntried; /* entries of tried in use */
};

/* A policy that chooses targets. */
struct balancer {
	const char *name; /* the value of the setting that selects it */
	/* Choose a member; rng is the state of a random number generator. */
	struct member *(*choose)(struct group *, const struct balance_call *,
	    uint64_t *rng, struct instant now);
};

/*
 * Chooses the one with less work per slot of two random members, the first of
 * which is of the daemon's own data centre if it has any.  If the members there
 * are busy, calls go to other data centres.
 */
extern const struct balancer balancer_two_choices;
/*
 * Chooses a random member, of the daemon's own data centre if it has any,
 * whatever the load; for comparison.
 */
extern const struct balancer balancer_random;

/* Whether a call of this importance and level is below the threshold. */
bool threshold_refuses(struct threshold, enum importance, uint8_t level);

#endif
