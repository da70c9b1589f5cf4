#include <math.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "core/quota_impl.h"

/* At most this fraction of the burst is reserved for fetched tokens. */
#define FETCHED_RESERVE_MAX_RATIO 0.25
/* The least demand that is reported if a call got no token: calls a second. */
#define SHORT_DEMAND_MIN_PER_S 1.0

const struct quota_policy quota_policy_host = {
    .name = "host",
    .rate_fraction = 0.25,
    .burst_fraction = 0.35,
    .burst_ahead_s = 0.3,
    .min_demand = 4,
    .equal_fraction = 0,
    .min_equal_burst = 0,
    .recalls_spare = false,
};
const struct quota_policy quota_policy_pool = {
    .name = "pool",
    .rate_fraction = 0.8,
    .burst_fraction = 0.8,
    .burst_ahead_s = 3600,
    .min_demand = 0,
    .equal_fraction = 0.1,
    .min_equal_burst = 2,
    .recalls_spare = true,
};

static int
bucket_cmp(struct bucket *a, struct bucket *b)
{
	return strcmp(a->org, b->org);
}

RB_GENERATE(bucket_tree, bucket, entry, bucket_cmp);

struct quota *
quota_create(const struct quota_policy *policy)
{
	struct quota *q = xcalloc(1, sizeof(*q));

	q->policy = policy;
	RB_INIT(&q->buckets);
	return q;
}

static void
bucket_destroy(struct quota *q, struct bucket *b)
{
	struct charge *c;

	while ((c = LIST_FIRST(&b->charges)) != NULL) {
		LIST_REMOVE(c, entry);
		free(c);
	}
	RB_REMOVE(bucket_tree, &q->buckets, b);
	q->count--;
	free(b);
}

void
quota_destroy(struct quota *q)
{
	struct bucket *b;

	while ((b = RB_ROOT(&q->buckets)) != NULL)
		bucket_destroy(q, b);
	free(q);
}

struct bucket *
bucket_find(struct quota *q, const char *org)
{
	struct bucket want;

	name_copy(want.org, org, sizeof(want.org));
	return RB_FIND(bucket_tree, &q->buckets, &want);
}

struct bucket *
bucket_get(struct quota *q, const char *org)
{
	struct bucket *b = bucket_find(q, org);

	if (b != NULL)
		return b;
	b = xcalloc(1, sizeof(*b));
	LIST_INIT(&b->charges);
	name_copy(b->org, org, sizeof(b->org));
	RB_INSERT(bucket_tree, &q->buckets, b);
	q->count++;
	return b;
}

static void
root_update_held(const struct quota *q, struct bucket *b)
{
	b->granted_rate = b->total_rate;
	b->granted_burst = b->total_burst;
	bucket_update_held(q, b);
}

/*
 * A child to which nothing is charged may hold a share of an earlier root.
 * Its next request is read like the first, so that the share is charged.
 */
static void
reset_empty_charges(struct bucket *b)
{
	struct charge *c;

	LIST_FOREACH (c, &b->charges, entry) {
		if (c->rate == 0 && c->burst == 0)
			c->request_seen = false;
	}
}

void
quota_settle_until(struct quota *q, uint64_t settle_until_us)
{
	struct bucket *b;

	q->settle_until_us = settle_until_us;
	RB_FOREACH (b, bucket_tree, &q->buckets) {
		b->settling = settle_until_us != 0;
		if (settle_until_us != 0)
			reset_empty_charges(b);
	}
}

void
quota_set_root(struct quota *q, bool is_root, uint64_t settle_until_us)
{
	struct bucket *b;

	if (q->is_root == is_root)
		return;
	q->is_root = is_root;
	q->settle_until_us = settle_until_us;
	RB_FOREACH (b, bucket_tree, &q->buckets) {
		b->tokens = 0;
		b->refilled_us = 0;
		b->settling = is_root;
		if (is_root) {
			reset_empty_charges(b);
			root_update_held(q, b);
			continue;
		}
		b->granted_rate = b->granted_burst = 0;
		b->expires_us = 0;
		bucket_update_held(q, b);
	}
}

void
quota_set_total(struct quota *q, const char *org, double rate, double burst)
{
	struct bucket *b = bucket_get(q, org);
	double reserve = smaller(rate * QUOTA_FETCHED_TTL_US / SEC_US,
	    FETCHED_RESERVE_MAX_RATIO * burst);

	b->fetched_ttl_us = rate > 0 ? (uint64_t)(reserve / rate * SEC_US) : 0;
	b->total_rate = rate;
	/*
	 * Fetched tokens are used up to fetched_ttl_us after they were made,
	 * when the rate has made others: the burst leaves room for both.
	 */
	b->total_burst =
	    larger(burst - reserve, smaller(burst, TOKENS_PER_CALL));
	if (q->is_root)
		root_update_held(q, b);
}

enum quota_result
quota_take(struct quota *q, const char *org, struct instant now)
{
	bucket_record_demand(bucket_get(q, org), now, 1);
	return quota_take_queued(q, org, now);
}

enum quota_result
quota_take_queued(struct quota *q, const char *org, struct instant now)
{
	struct bucket *b = bucket_get(q, org);

	bucket_refill(q, b, now);
	b->used_us = now.mono_us;
	if (bucket_take_fetched(b, now))
		return QUOTA_TAKEN;
	if (b->tokens >= TOKENS_PER_CALL &&
	    (q->is_root || now.mono_us < b->expires_us)) {
		b->tokens -= TOKENS_PER_CALL;
		return QUOTA_TAKEN;
	}
	b->short_of_tokens = true;
	return QUOTA_NO_TOKEN;
}

void
quota_add_waiting(struct quota *q, const char *org, int calls)
{
	struct bucket *b = bucket_get(q, org);

	if (calls < 0 && b->waiting_calls < (uint32_t)-calls)
		b->waiting_calls = 0;
	else
		b->waiting_calls += calls;
}

void
quota_set_children(struct quota *q, int children)
{
	q->expected_children = children;
}

void
quota_drop_shares(struct quota *q)
{
	struct bucket *b;

	RB_FOREACH (b, bucket_tree, &q->buckets) {
		b->granted_rate = b->granted_burst = 0;
		b->tokens = 0;
		b->fetched_tokens = 0;
		b->expires_us = 0;
		bucket_update_held(q, b);
	}
}

void
quota_return_token(struct quota *q, const char *org, struct instant now)
{
	struct bucket *b = bucket_find(q, org);

	if (b == NULL)
		return;
	bucket_refill(q, b, now);
	bucket_add_returned(q, b, TOKENS_PER_CALL);
}

/*
 * Only one request is in flight at a time.  A request that crossed a grant on
 * the way could not tell the parent that the grant was seen, and then the
 * parent's charge would never be lowered.
 */
static bool
request_is_due(const struct bucket *b, struct instant now)
{
	if (b->request_pending &&
	    now.mono_us - b->request_us < QUOTA_REQUEST_TIMEOUT_US)
		return false;
	if (b->returned_tokens > 0 || b->recalled_tokens > 0)
		return true;
	if (b->short_of_tokens &&
	    (bucket_waiting_calls(b, now) > b->requested_calls ||
		now.mono_us - b->request_us >= QUOTA_URGENT_INTERVAL_US))
		return true;
	if (now.mono_us - b->request_us < QUOTA_RENEW_INTERVAL_US)
		return false;
	return b->rate > 0 || bucket_demand(b) > 0 || b->tokens > 0;
}

bool
quota_urgent_request_due(struct quota *q, struct instant now)
{
	struct bucket *b;

	if (q->is_root)
		return false;
	RB_FOREACH (b, bucket_tree, &q->buckets) {
		if ((b->short_of_tokens || b->returned_tokens > 0 ||
			b->recalled_tokens > 0) &&
		    request_is_due(b, now))
			return true;
	}
	return false;
}

static double
reported_demand(const struct bucket *b)
{
	double d = bucket_demand(b);

	return b->short_of_tokens && d < SHORT_DEMAND_MIN_PER_S
		   ? SHORT_DEMAND_MIN_PER_S
		   : d;
}

/*
 * Take out the tokens to give back: all if there is no demand, and as many
 * whole ones as are recalled.
 */
static double
take_spare_tokens(struct bucket *b)
{
	double spare = 0;

	if (bucket_demand(b) == 0 && !b->short_of_tokens)
		spare = b->tokens;
	else if (b->recalled_tokens > 0)
		spare = smaller(b->recalled_tokens, floor(b->tokens));
	b->tokens -= spare;
	return spare;
}

static void
fill_request_item(struct quota *q, struct bucket *b, struct instant now,
    struct share_item *item)
{
	memset(item, 0, sizeof(*item));
	bucket_record_demand(b, now, 0);
	bucket_refill(q, b, now);
	name_copy(item->org, b->org, sizeof(item->org));
	item->rate = b->rate;
	item->burst = b->burst;
	item->demand = reported_demand(b);
	item->grant_number = b->grant_number;
	item->waiting_calls = bucket_waiting_calls(b, now);
	b->requested_calls = item->waiting_calls;
	item->tokens = b->returned_tokens + take_spare_tokens(b);
	b->returned_tokens = 0;
	b->recalled_tokens = 0;
	b->request_us = now.mono_us;
	b->request_pending = true;
	b->short_of_tokens = item->waiting_calls > 0;
}

int
quota_make_request(struct quota *q, struct instant now, struct share *ask)
{
	struct bucket *b;

	memset(ask, 0, offsetof(struct share, items));
	ask->sent_us = now.mono_us;
	if (q->is_root)
		return 0;
	RB_FOREACH (b, bucket_tree, &q->buckets) {
		if (ask->count == MSG_MAX_SHARES)
			break;
		if (request_is_due(b, now))
			fill_request_item(q, b, now, &ask->items[ask->count++]);
	}
	return ask->count;
}

/*
 * Keep the tokens that a grant brought for waiting calls, to be taken by
 * bucket_take_fetched().  Those that no call waits for any more go into
 * the bucket, as far as its burst has room, or else back to the parent.
 */
static void
keep_fetched(struct bucket *b, const struct share_item *item, uint64_t sent_us,
    struct instant now)
{
	uint32_t waiting = bucket_waiting_calls(b, now),
		 count = item->fetched_tokens;
	uint64_t expire_us = sent_us + item->fetched_ttl_us;
	double room = b->burst - bucket_charged_burst(b) - b->tokens;

	for (; count > waiting; count--) {
		if (room >= TOKENS_PER_CALL) {
			b->tokens += TOKENS_PER_CALL;
			room -= TOKENS_PER_CALL;
		} else {
			b->returned_tokens++;
		}
	}
	if (count == 0)
		return;
	if (b->fetched_tokens == 0 || expire_us < b->fetched_expire_us)
		b->fetched_expire_us = expire_us;
	b->fetched_tokens += count;
}

static uint32_t
smaller_count(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/* Take over the tokens of a grant, and what it asks back. */
static void
apply_tokens(struct bucket *b, const struct share_item *item, uint64_t sent_us,
    struct instant now)
{
	keep_fetched(b, item, sent_us, now);
	b->requested_calls -= smaller_count(
	    b->requested_calls, item->fetched_tokens + (uint32_t)item->tokens);
	if (b->tokens >= TOKENS_PER_CALL)
		b->recalled_tokens += item->recalled_tokens;
}

void
quota_apply_grant(
    struct quota *q, const struct share *grant, struct instant now)
{
	uint64_t expires_us = grant->sent_us + grant->ttl_us;
	const struct share_item *item;
	struct bucket *b;
	int i;

	/*
	 * A request from the future was made by an earlier process, before the
	 * host and its clock started anew: its end cannot be told here.
	 */
	if (q->is_root || grant->sent_us > now.mono_us)
		return;
	for (i = 0; i < grant->count; i++) {
		item = &grant->items[i];
		b = bucket_get(q, item->org);
		if (item->grant_number != 0 &&
		    item->grant_number <= b->grant_number)
			continue;
		bucket_refill(q, b, now);
		apply_tokens(b, item, grant->sent_us, now);
		if (item->grant_number == 0)
			continue; /* not an answer: the share is unchanged */
		b->grant_number = item->grant_number;
		b->request_pending = false;
		if (expires_us <= now.mono_us)
			continue;
		b->granted_rate = item->rate;
		b->granted_burst = item->burst;
		b->expires_us = expires_us;
		b->tokens += item->tokens;
		bucket_update_held(q, b);
	}
}

void
quota_extend_shares(struct quota *q, struct instant now)
{
	struct bucket *b;

	RB_FOREACH (b, bucket_tree, &q->buckets) {
		if (b->rate > 0 && b->expires_us > now.mono_us)
			b->expires_us = now.mono_us + QUOTA_SHARE_TTL_US;
	}
}

void
quota_reparent(struct quota *q)
{
	struct bucket *b;

	RB_FOREACH (b, bucket_tree, &q->buckets) {
		b->grant_number = 0;
		b->request_pending = false;
		b->requested_calls = 0;
		b->request_us = 0;
	}
}

static void
expire_charges(struct quota *q, struct bucket *b, struct instant now)
{
	struct charge *c, *next;

	LIST_FOREACH_SAFE (c, &b->charges, entry, next) {
		if (now.mono_us < c->expires_us)
			continue;
		bucket_refill(q, b, now);
		LIST_REMOVE(c, entry);
		free(c);
	}
}

static void
expire_share(struct quota *q, struct bucket *b, struct instant now)
{
	if (q->is_root || b->rate == 0 || now.mono_us < b->expires_us)
		return;
	b->granted_rate = b->granted_burst = 0;
	b->tokens = 0;
	bucket_update_held(q, b);
}

void
quota_tick(struct quota *q, struct instant now)
{
	struct bucket *b, *next;

	RB_FOREACH_SAFE (b, bucket_tree, &q->buckets, next) {
		/* The first call of an organisation has to find the burst. */
		if (q->is_root)
			bucket_refill(q, b, now);
		expire_charges(q, b, now);
		expire_share(q, b, now);
		if (b->rate == 0 && b->total_rate == 0 &&
		    LIST_EMPTY(&b->charges) && b->waiting_calls == 0 &&
		    now.mono_us - b->used_us > 2 * QUOTA_SHARE_TTL_US)
			bucket_destroy(q, b);
	}
}
