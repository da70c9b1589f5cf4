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

/* Members that a call remembers having tried, at most. */
#define BALANCE_MAX_TRIED 8

/* What the choice depends on in the call. */
struct balance_call {
	enum importance importance;
	uint8_t level;
	struct addr tried[BALANCE_MAX_TRIED];
	int ntried;
};

struct balancer {
	const char *name; /* in the settings */
	/* Choose a member; rng is the state of a random number generator. */
	struct member *(*choose)(struct group *, const struct balance_call *,
	    uint64_t *rng, struct instant now);
};

/*
 * The one with less work per slot of two random members, the first of which
 * is local.  If the local members are busy, calls go to other data centres.
 */
extern const struct balancer balancer_two_choices;
/* A random local member, whatever its load: for comparison. */
extern const struct balancer balancer_random;

/* Whether a call of this importance and level is below the threshold. */
bool threshold_refuses(struct threshold, enum importance, uint8_t level);

#endif
