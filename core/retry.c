#include "core/retry.h"
#include "core/hash.h"

void
retry_budget_init(struct retry_budget *b)
{
	b->tokens = RETRY_BURST;
}

void
retry_budget_note(struct retry_budget *b)
{
	b->tokens += RETRY_RATIO;
	if (b->tokens > RETRY_BURST)
		b->tokens = RETRY_BURST;
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
	uint64_t bound = RETRY_BASE_US;

	while (retries-- > 0 && bound < RETRY_MAX_US)
		bound *= 2;
	return rng_below(rng, bound > RETRY_MAX_US ? RETRY_MAX_US : bound) + 1;
}

/* One is kept back, so that a lost answer does not end all retries. */
uint32_t
retry_share(uint32_t allowance)
{
	return allowance > 0 ? allowance - 1 : 0;
}
