/*
 * retry - how often a call may be tried again, and when
 *
 * Two bounds work together.  An allowance travels with the call tree: it is
 * split on the way down and what is unused comes back, so that the tries of
 * a tree never exceed its calls plus the allowance given at entry.  A
 * budget limits a daemon's retries to a part of its first tries, so that
 * many trees together can not multiply the load either.
 *
 *	retry_budget_note(&b);
 *	if (retry_budget_take(&b)) try again after retry_backoff_us(n, &rng)
 */
#ifndef CORE_RETRY_H
#define CORE_RETRY_H

#include "core/types.h"

#define RETRY_BUDGET_RATIO 0.1 /* retries for each first try */
#define RETRY_BURST 10.0 /* retries that may be saved up */
#define RETRY_BASE_US (5 * MSEC_US)
#define RETRY_MAX_US (200 * MSEC_US)

struct retry_budget {
	double tokens;
};

void retry_budget_init(struct retry_budget *);
/* Count a first try. */
void retry_budget_note(struct retry_budget *);
/* Spend one retry if there is one. */
bool retry_budget_take(struct retry_budget *);
/* Full jitter: anything up to a bound that doubles with each retry. */
uint64_t retry_backoff_us(unsigned int retries, uint64_t *rng);
/* How the extra tries of a call are come by. */
struct retrier {
	const char *name;
	/* At the start of a call: what was lent, what the text allows. */
	uint32_t (*begin)(bool lent, uint32_t allowance, uint32_t configured);
	/* The part of an allowance that goes along with a try. */
	uint32_t (*share)(bool lent, uint32_t allowance);
	/* Whether a whole answer of that status counts as a failure. */
	bool (*is_failure)(int status);
	/* Whether a retry may be spent. */
	bool (*take)(struct retry_budget *);
};

/* One allowance for the whole call tree, and the budget. */
extern const struct retrier retrier_tree;
/* So many at each hop, whatever happened above: what is usual. */
extern const struct retrier retrier_per_hop;
/* None at all. */
extern const struct retrier retrier_none;

#endif
