#include "core/retry.h"
#include "core/hash.h"

void
retry_budget_init(struct retry_budget *b)
{
	b->tokens = RETRY_BUDGET_MAX;
}

void
retry_budget_add(struct retry_budget *b)
{
	b->tokens += RETRY_BUDGET_RATIO;
	if (b->tokens > RETRY_BUDGET_MAX)
		b->tokens = RETRY_BUDGET_MAX;
}

bool
retry_budget_take(struct retry_budget *b)
{
	if (b->tokens < 1)
		return false;
	b->tokens -= 1;
	return true;
}

uint64_t
retry_backoff_us(unsigned int retries, uint64_t *rng)
{
	uint64_t bound = RETRY_BACKOFF_BASE_US;

	while (retries-- > 0 && bound < RETRY_BACKOFF_MAX_US)
		bound *= 2;
	return rng_below(rng, bound > RETRY_BACKOFF_MAX_US
				  ? RETRY_BACKOFF_MAX_US
				  : bound) +
	       1;
}

static uint32_t
tree_begin(bool lent, uint32_t allowance, uint32_t configured)
{
	return lent ? allowance : configured;
}

/*
 * Pass the whole allowance down, because a retry repeats least work at the
 * bottom of the tree.  Only the first daemon keeps one extra try back, in
 * case the answer of the whole tree is lost.
 */
static uint32_t
tree_pass_on(bool lent, uint32_t allowance)
{
	return lent || allowance == 0 ? allowance : allowance - 1;
}

/* A complete answer is passed on to the caller, whatever its status. */
static bool
never_failure(int status)
{
	(void)status;
	return false;
}

static bool
is_gateway_failure(int status)
{
	return status >= 502 && status <= 504;
}

static uint32_t
hop_begin(bool lent, uint32_t allowance, uint32_t configured)
{
	(void)lent;
	(void)allowance;
	return configured;
}

static uint32_t
hop_pass_on(bool lent, uint32_t allowance)
{
	(void)lent;
	(void)allowance;
	return 0;
}

static bool
hop_take(struct retry_budget *b)
{
	(void)b;
	return true;
}

static uint32_t
none_begin(bool lent, uint32_t allowance, uint32_t configured)
{
	(void)lent;
	(void)allowance;
	(void)configured;
	return 0;
}

const struct retrier retrier_tree = {
    "tree", tree_begin, tree_pass_on, never_failure, retry_budget_take};
const struct retrier retrier_per_hop = {
    "per-hop", hop_begin, hop_pass_on, is_gateway_failure, hop_take};
const struct retrier retrier_none = {
    "none", none_begin, hop_pass_on, never_failure, retry_budget_take};
