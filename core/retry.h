/*
 * retry - how often a call may be retried, and after which delay
 *
 * Two bounds apply together.  An allowance of extra tries is passed down the
 * call tree: it is divided on the way and the unused part is returned, so
 * that the tries of a tree never exceed its calls plus the allowance given
 * where the tree begins.  A budget for each service limits a daemon's retries
 * to a fraction of its first tries, so that many trees together cannot
 * multiply the load either.
 *
 *	retry_budget_init(&b);
 *	retry_budget_add(&b);			for each first try
 *	if (retry_budget_take(&b))
 *		retry after retry_backoff_us(retries, &rng)
 *
 * Nothing here allocates memory.
 */
#ifndef CORE_RETRY_H
#define CORE_RETRY_H

#include "core/types.h"

/* Retries that each first try adds to the budget. */
#define RETRY_BUDGET_RATIO 0.1
/* Retries that the budget holds at most, and at the start. */
#define RETRY_BUDGET_MAX 10.0
/* The delay before the first retry is at most this. */
#define RETRY_BACKOFF_BASE_US (5 * MSEC_US)
/* The bound doubles with each retry, up to this. */
#define RETRY_BACKOFF_MAX_US (200 * MSEC_US)

/* The budget of retries to one service. */
struct retry_budget {
	double tokens; /* retries that may be made now */
};

/* Fill the budget. */
void retry_budget_init(struct retry_budget *);
/* Add RETRY_BUDGET_RATIO to the budget, for a first try. */
void retry_budget_add(struct retry_budget *);
/* Take one retry from the budget; false if there is none. */
bool retry_budget_take(struct retry_budget *);
/*
 * The delay before the next retry, given the number of earlier ones:
 * exponential back-off with full jitter.  rng is the state of a random
 * number generator (core/hash.h).
 */
uint64_t retry_backoff_us(unsigned int retries, uint64_t *rng);

/* A retry policy: how many extra tries a call gets and passes on. */
struct retrier {
	const char *name; /* a constant */
	/*
	 * The allowance of a new call.  With lent it is a sub-call to which
	 * its job lends that allowance; configured is the number of extra
	 * tries that the configuration allows for a call tree.
	 */
	uint32_t (*begin)(bool lent, uint32_t allowance, uint32_t configured);
	/* The part of a call's allowance that is passed on with a try. */
	uint32_t (*pass_on)(bool lent, uint32_t allowance);
	/* Whether a complete answer with this HTTP status is a failure. */
	bool (*is_failure)(int status);
	/* Whether the budget allows a retry, which is taken from it. */
	bool (*take)(struct retry_budget *);
};

/* One allowance for the whole call tree, and the budget. */
extern const struct retrier retrier_tree;
/* A fixed number of retries at each hop, as is usual: for comparison. */
extern const struct retrier retrier_per_hop;
/* No retries. */
extern const struct retrier retrier_none;

#endif
