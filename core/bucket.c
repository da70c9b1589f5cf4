#include "core/quota_impl.h"

/*
 * A child's waiting calls count for this long after its last request.  A child
 * whose calls still wait sends the next request earlier than that, after
 * QUOTA_URGENT_INTERVAL_US.
 */
#define WAITING_REPORT_TTL_US (150 * MSEC_US)
#define DEMAND_WINDOW_US (500 * MSEC_US) /* that calls are counted over */
#define DEMAND_SMOOTHING_FACTOR 0.4 /* weight of the last window */
#define DEMAND_MIN_PER_S 0.05 /* fewer calls a second count as none */

double
bucket_charged_rate(const struct bucket *b)
{
	const struct charge *c;
	double sum = 0;

	LIST_FOREACH (c, &b->charges, entry)
		sum += c->rate;
	return sum;
}

double
bucket_charged_burst(const struct bucket *b)
{
	const struct charge *c;
	double sum = 0;

	LIST_FOREACH (c, &b->charges, entry)
		sum += c->burst;
	return sum;
}

/*
 * The rate that this daemon may use itself.  A settling root uses only the
 * part that no child can hold, since shares of an earlier root that it does
 * not know of may still be in use.
 */
static double
own_rate(const struct quota *q, const struct bucket *b)
{
	double rate = at_least_zero(b->rate - bucket_charged_rate(b));

	return b->settling ? smaller(rate, (1 - q->policy->rate_fraction) *
					       b->granted_rate)
			   : rate;
}

double
bucket_lent_burst(const struct bucket *b)
{
	const struct charge *c;
	double sum = 0;

	LIST_FOREACH (c, &b->charges, entry)
		sum += at_least_zero(c->burst - c->reclaimed_burst);
	return sum;
}

/* The burst that this daemon may use itself; see own_rate(). */
static double
own_burst(const struct quota *q, const struct bucket *b)
{
	double burst = at_least_zero(b->burst - bucket_charged_burst(b));
	double own = (1 - q->policy->burst_fraction) * b->granted_burst;

	return b->settling
		   ? smaller(burst, at_least_zero(own - bucket_lent_burst(b)))
		   : burst;
}

void
bucket_cap_tokens(const struct quota *q, struct bucket *b)
{
	b->tokens = smaller(b->tokens, own_burst(q, b));
}

void
bucket_add_returned(const struct quota *q, struct bucket *b, double tokens)
{
	if (!q->is_root && b->rate == 0) {
		b->returned_tokens += (uint32_t)tokens;
		return;
	}
	b->tokens += tokens;
	bucket_cap_tokens(q, b);
}

void
bucket_refill(struct quota *q, struct bucket *b, struct instant now)
{
	double rate = own_rate(q, b);
	uint64_t until_us = now.mono_us;

	if (!q->is_root && until_us > b->expires_us)
		until_us = b->expires_us;
	if (b->refilled_us != 0 && until_us > b->refilled_us)
		b->tokens +=
		    rate * (double)(until_us - b->refilled_us) / SEC_US;
	b->refilled_us = now.mono_us;
	b->settling = now.mono_us < q->settle_until_us;
	bucket_cap_tokens(q, b);
}

/* A charge stands until it expires, so what children hold stays held. */
void
bucket_update_held(const struct quota *q, struct bucket *b)
{
	b->rate = larger(b->granted_rate, bucket_charged_rate(b));
	b->burst = larger(b->granted_burst, bucket_charged_burst(b));
	bucket_cap_tokens(q, b);
}

void
bucket_record_demand(struct bucket *b, struct instant now, unsigned int calls)
{
	double seen;

	b->window_calls += calls;
	if (now.mono_us - b->window_us < DEMAND_WINDOW_US)
		return;
	seen = (double)b->window_calls * SEC_US /
	       (double)(now.mono_us - b->window_us);
	b->demand += DEMAND_SMOOTHING_FACTOR * (seen - b->demand);
	if (b->demand < DEMAND_MIN_PER_S)
		b->demand = 0;
	b->window_us = now.mono_us;
	b->window_calls = 0;
}

bool
charge_waits(const struct charge *c, struct instant now)
{
	return c->waiting_calls > 0 &&
	       now.mono_us - c->request_us < WAITING_REPORT_TTL_US;
}

uint32_t
bucket_waiting_calls(const struct bucket *b, struct instant now)
{
	const struct charge *c;
	uint32_t sum = b->waiting_calls;

	LIST_FOREACH (c, &b->charges, entry) {
		if (charge_waits(c, now))
			sum += c->waiting_calls;
	}
	return sum;
}

bool
bucket_take_fetched(struct bucket *b, struct instant now)
{
	if (now.mono_us >= b->fetched_expire_us)
		b->fetched_tokens = 0;
	if (b->fetched_tokens == 0)
		return false;
	b->fetched_tokens--;
	return true;
}

double
bucket_demand(const struct bucket *b)
{
	const struct charge *c;
	double sum = b->demand;

	LIST_FOREACH (c, &b->charges, entry)
		sum += c->demand;
	return sum;
}
