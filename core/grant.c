#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "core/quota_impl.h"

/* A share's rate is this multiple of the demand, as arrivals are uneven. */
#define RATE_HEADROOM_FACTOR 1.3
#define BURST_MIN_CALLS 2.0 /* a share with a smaller burst is not granted */
/* Up to this demand, in calls a second, a burst of one call is enough. */
#define ONE_CALL_BURST_MAX_DEMAND 1.0
/*
 * The estimate of a new child's demand is unreliable for this long, which is
 * four of the windows that demand is measured in (bucket.c).
 */
#define DEMAND_WARMUP_US (2 * SEC_US)

static struct charge *
charge_get(struct bucket *b, struct addr child, uint64_t incarnation,
    struct instant now)
{
	struct charge *c;

	LIST_FOREACH (c, &b->charges, entry) {
		if (addr_equal(c->child, child) &&
		    c->incarnation == incarnation)
			return c;
	}
	c = xcalloc(1, sizeof(*c));
	c->child = child;
	c->incarnation = incarnation;
	c->created_us = now.mono_us;
	LIST_INSERT_HEAD(&b->charges, c, entry);
	return c;
}

/*
 * Update the charge to what the child says it holds.  Only a request that
 * was made after the child saw our last grant can lower the charge.  What a
 * child holds at its first request was granted by an earlier parent: a
 * settling root takes it over, any other daemon begins with no charge and
 * leaves the child's old share to expire by itself.
 */
static void
charge_update(struct bucket *b, struct charge *c, const struct share_item *item)
{
	c->demand = item->demand;
	if (!c->request_seen) {
		/*
		 * The child ignores grants that are not numbered above the
		 * last one it saw, which may be of an expired charge.
		 */
		c->request_seen = true;
		if (c->grant_number < item->grant_number)
			c->grant_number = item->grant_number;
		if (!b->settling)
			return;
		c->rate = smaller(item->rate,
		    at_least_zero(b->rate - bucket_charged_rate(b)));
		c->burst = smaller(item->burst,
		    at_least_zero(b->burst - bucket_charged_burst(b)));
		c->reclaimed_burst = c->burst;
		return;
	}
	if (item->grant_number != c->grant_number)
		return;
	c->rate = larger(c->granted_rate, item->rate);
	c->burst = larger(c->granted_burst, item->burst);
}

/* The number of children, also before all of them sent a request. */
static int
count_children(const struct quota *q, const struct bucket *b)
{
	const struct charge *c;
	int count = 0;

	LIST_FOREACH (c, &b->charges, entry)
		count++;
	return count < q->expected_children ? q->expected_children : count;
}

/* The demand that every child is credited with, in calls a second. */
static double
equal_demand(const struct quota *q, const struct bucket *b)
{
	int count = count_children(q, b);

	return count > 0 ? q->policy->equal_fraction * b->granted_rate / count
			 : 0;
}

/* The demand that determines a child's part of the whole. */
static double
child_weight(
    const struct quota *q, const struct bucket *b, const struct charge *c)
{
	return c->demand + equal_demand(q, b);
}

/* The sum of all children's weights and this daemon's own demand. */
static double
total_weight(const struct quota *q, const struct bucket *b)
{
	return bucket_demand(b) + q->policy->equal_fraction * b->granted_rate;
}

/* A share too small to admit a call would only withhold tokens from others. */
static bool
holds_share(
    const struct quota *q, const struct bucket *b, const struct charge *c)
{
	return c->demand >= q->policy->min_demand &&
	       child_weight(q, b, c) > 0 &&
	       b->granted_burst >=
		   q->policy->min_equal_burst * count_children(q, b);
}

/*
 * The rate to grant to a child.  As long as the demand of all is a small part
 * of the whole, each child holds what it needs and some headroom, so that it
 * depends on neither parent nor platform.  Beyond that a child holds only a
 * part of its demand and fetches the rest as tokens.  Most tokens then stay
 * at the parent, where any child can get them, and not in the bucket of a
 * child that does not need them now.
 */
static double
child_rate(const struct quota *q, const struct bucket *b,
    const struct charge *c, struct instant now)
{
	double fraction = q->policy->rate_fraction, all = total_weight(q, b);
	double fair;

	if (!holds_share(q, b, c) || b->granted_rate <= 0)
		return 0;
	fair = b->granted_rate * child_weight(q, b, c) / all;
	if (q->policy->equal_fraction > 0)
		return fraction * fair;
	if (now.mono_us - c->created_us >= DEMAND_WARMUP_US &&
	    RATE_HEADROOM_FACTOR * all <= fraction * b->granted_rate)
		return RATE_HEADROOM_FACTOR * c->demand;
	return fraction * smaller(c->demand, fair);
}

/* The burst to grant to a child: for the call that waits and some ahead. */
static double
child_burst(
    const struct quota *q, const struct bucket *b, const struct charge *c)
{
	double part, ahead = c->demand * q->policy->burst_ahead_s;
	double least = c->demand > ONE_CALL_BURST_MAX_DEMAND ? BURST_MIN_CALLS
							     : TOKENS_PER_CALL;

	if (!holds_share(q, b, c) || b->granted_burst <= 0)
		return 0;
	part = q->policy->burst_fraction * b->granted_burst *
	       child_weight(q, b, c) / total_weight(q, b);
	if (q->policy->equal_fraction > 0)
		return part;
	return larger(least, smaller(ahead, part));
}

static void
charge_grant(const struct quota *q, struct bucket *b, struct charge *c,
    struct instant now)
{
	double rate = child_rate(q, b, c, now), burst = child_burst(q, b, c);
	double burst_fraction = q->policy->burst_fraction;
	double free_rate, free_burst;

	free_rate = at_least_zero(q->policy->rate_fraction * b->granted_rate -
				  bucket_charged_rate(b));
	free_burst = at_least_zero(
	    burst_fraction * b->granted_burst - bucket_charged_burst(b));
	if (b->settling) {
		/*
		 * No rate is free, as earlier shares may still be in use.  Of
		 * the burst, the part that no child of an earlier root can hold
		 * is free.  Half of it may be lent to children, so that they
		 * have room for tokens; the other half stays here.
		 */
		free_rate = 0;
		free_burst =
		    at_least_zero((1 - burst_fraction) * b->granted_burst / 2 -
				  bucket_lent_burst(b));
	}
	c->granted_rate = smaller(rate, c->rate + free_rate);
	c->granted_burst = smaller(burst, c->burst + free_burst);
	/* A bucket too small for a call would only waste its tokens. */
	if (c->granted_burst < BURST_MIN_CALLS)
		c->granted_rate = c->granted_burst = 0;
	/* Charge before granting: the larger, until the child confirms. */
	c->rate = larger(c->rate, c->granted_rate);
	c->burst = larger(c->burst, c->granted_burst);
	c->grant_number++;
}

/*
 * Take tokens for a child's bucket: its part of those here by demand, and at
 * least one whole token if there is one.  The bucket may hold a fraction of a
 * token already, for which room is left below its burst.  Calls that wait
 * elsewhere come first.
 */
static double
take_child_tokens(const struct quota *q, struct bucket *b, struct charge *c,
    struct instant now)
{
	double demand = bucket_demand(b), count;

	if (c->demand <= 0 || demand <= 0 ||
	    bucket_waiting_calls(b, now) > c->waiting_calls)
		return 0;
	count = smaller(b->tokens * c->demand / demand,
	    c->demand * q->policy->burst_ahead_s);
	if (count < TOKENS_PER_CALL && b->tokens >= TOKENS_PER_CALL)
		count = TOKENS_PER_CALL;
	count = smaller(
	    count, larger(c->granted_burst - TOKENS_PER_CALL, TOKENS_PER_CALL));
	count = smaller(count, c->granted_burst);
	b->tokens -= count;
	return count;
}

/*
 * Take tokens for the calls that wait at a child.  Returns whether there was
 * one for each of them.
 */
static bool
take_waiting_tokens(struct quota *q, struct bucket *b, const struct charge *c,
    struct instant now, struct share_item *out)
{
	uint32_t need = c->waiting_calls, here;

	if (need <= (uint32_t)out->tokens)
		return true;
	need -= (uint32_t)out->tokens;
	out->fetched_ttl_us = b->fetched_ttl_us;
	while (out->fetched_tokens < need && bucket_take_fetched(b, now)) {
		out->fetched_tokens++;
		out->fetched_ttl_us = b->fetched_expire_us - now.mono_us;
	}
	here = b->tokens > 0 ? (uint32_t)b->tokens : 0;
	if (!q->is_root && now.mono_us >= b->expires_us)
		here = 0;
	if (here > need - out->fetched_tokens)
		here = need - out->fetched_tokens;
	b->tokens -= here;
	out->fetched_tokens += here;
	return out->fetched_tokens == need;
}

/* Some of the child's calls that wait get a token. */
static void
charge_satisfy_waiting(struct charge *c, uint32_t tokens)
{
	c->waiting_calls -=
	    tokens < c->waiting_calls ? tokens : c->waiting_calls;
}

static void
grant_item(struct quota *q, struct addr child, const struct share *ask,
    const struct share_item *item, struct instant now, struct share_item *out)
{
	struct bucket *b = bucket_get(q, item->org);
	struct charge *c = charge_get(b, child, ask->incarnation, now);
	bool has_all; /* a token for each call that waits */

	bucket_record_demand(b, now, 0);
	bucket_refill(q, b, now);
	charge_update(b, c, item);
	bucket_update_held(q, b);
	bucket_add_returned(q, b, item->tokens);
	if (!charge_waits(c, now))
		c->waiting_since_us = now.mono_us;
	c->waiting_calls = item->waiting_calls;
	c->request_us = now.mono_us;
	c->request_sent_us = ask->sent_us;
	charge_grant(q, b, c, now);
	memset(out, 0, sizeof(*out));
	name_copy(out->org, item->org, sizeof(out->org));
	out->rate = c->granted_rate;
	out->burst = c->granted_burst;
	out->tokens = take_child_tokens(q, b, c, now);
	has_all = take_waiting_tokens(q, b, c, now, out);
	charge_satisfy_waiting(c, (uint32_t)out->tokens + out->fetched_tokens);
	if (c->waiting_calls > 0)
		b->children_wait = true;
	out->grant_number = c->grant_number;
	bucket_cap_tokens(q, b);
	c->expires_us =
	    now.mono_us + QUOTA_SHARE_TTL_US + QUOTA_CHARGE_MARGIN_US;
	if (!has_all || (c->granted_rate > 0 && b->tokens < TOKENS_PER_CALL &&
			    item->demand > c->granted_rate))
		b->short_of_tokens = true;
}

/* The lifetime of a grant: no child's share may outlive our own. */
static uint64_t
grant_ttl_us(struct quota *q, const struct share *ask, struct instant now)
{
	uint64_t ttl_us = QUOTA_SHARE_TTL_US, left_us;
	struct bucket *b;
	int i;

	for (i = 0; i < ask->count && !q->is_root; i++) {
		b = bucket_find(q, ask->items[i].org);
		left_us = b != NULL && b->expires_us > now.mono_us
			      ? b->expires_us - now.mono_us
			      : 0;
		if (left_us < ttl_us)
			ttl_us = left_us;
	}
	return ttl_us;
}

void
quota_grant(struct quota *q, struct addr child, const struct share *ask,
    struct instant now, struct share *grant)
{
	int i;

	memset(grant, 0, offsetof(struct share, items));
	grant->sent_us = ask->sent_us;
	grant->incarnation = ask->incarnation;
	grant->ttl_us = grant_ttl_us(q, ask, now);
	for (i = 0; i < ask->count && i < MSG_MAX_SHARES; i++)
		grant_item(
		    q, child, ask, &ask->items[i], now, &grant->items[i]);
	grant->count = i;
}

static struct charge *
longest_waiting_child(struct bucket *b, struct instant now)
{
	struct charge *c, *first = NULL;

	LIST_FOREACH (c, &b->charges, entry) {
		if (charge_waits(c, now) &&
		    (first == NULL ||
			c->waiting_since_us < first->waiting_since_us))
			first = c;
	}
	return first;
}

/*
 * Fill in all but the tokens of a grant that answers no request.  It has no
 * number, since the child's share stays as it was granted last.
 */
static void
fill_unasked_grant(
    const struct bucket *b, const struct charge *c, struct share *grant)
{
	memset(grant, 0, offsetof(struct share, items));
	name_copy(grant->items[0].org, b->org, sizeof(grant->items[0].org));
	grant->count = 1;
	grant->sent_us = c->request_sent_us;
	grant->incarnation = c->incarnation;
}

static bool
grant_waiting_in(struct quota *q, struct bucket *b, struct instant now,
    struct addr *child, struct share *grant)
{
	struct charge *c = longest_waiting_child(b, now);
	struct share_item *out = &grant->items[0];

	if (c == NULL) {
		b->children_wait = false;
		return false;
	}
	bucket_refill(q, b, now);
	memset(out, 0, sizeof(*out));
	take_waiting_tokens(q, b, c, now, out);
	if (out->fetched_tokens == 0)
		return false;
	charge_satisfy_waiting(c, out->fetched_tokens);
	/* The child counts it from its request, which it sent before that. */
	out->fetched_ttl_us += now.mono_us - c->request_us;
	fill_unasked_grant(b, c, grant);
	*child = c->child;
	return true;
}

bool
quota_grant_waiting(struct quota *q, struct instant now, struct addr *child,
    struct share *grant)
{
	struct bucket *b;

	RB_FOREACH (b, bucket_tree, &q->buckets) {
		if (b->children_wait &&
		    grant_waiting_in(q, b, now, child, grant))
			return true;
	}
	return false;
}

/* The child with a share that was asked for spare tokens least recently. */
static struct charge *
next_to_recall(struct bucket *b, struct instant now)
{
	struct charge *c, *next = NULL;

	LIST_FOREACH (c, &b->charges, entry) {
		if (c->granted_burst > 0 && !charge_waits(c, now) &&
		    (next == NULL || c->recalled_us < next->recalled_us))
			next = c;
	}
	return next;
}

static bool
recall_in(struct bucket *b, struct instant now, struct addr *child,
    struct share *grant)
{
	struct charge *c = next_to_recall(b, now);

	if (c == NULL)
		return false;
	b->recall_sent_us = c->recalled_us = now.mono_us;
	memset(&grant->items[0], 0, sizeof(grant->items[0]));
	fill_unasked_grant(b, c, grant);
	grant->items[0].recalled_tokens = bucket_waiting_calls(b, now);
	*child = c->child;
	return true;
}

bool
quota_recall(struct quota *q, struct instant now, struct addr *child,
    struct share *grant)
{
	struct bucket *b;

	if (!q->policy->recalls_spare)
		return false;
	RB_FOREACH (b, bucket_tree, &q->buckets) {
		if (b->tokens < TOKENS_PER_CALL &&
		    (b->children_wait || b->waiting_calls > 0) &&
		    now.mono_us - b->recall_sent_us >=
			QUOTA_RECALL_INTERVAL_US &&
		    recall_in(b, now, child, grant))
			return true;
	}
	return false;
}

bool
quota_children_wait(struct quota *q)
{
	struct bucket *b;

	RB_FOREACH (b, bucket_tree, &q->buckets) {
		if (b->children_wait)
			return true;
	}
	return false;
}
