#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "core/quota_impl.h"
static int
bucket_cmp(struct bucket *a, struct bucket *b)
{
	return strcmp(a->org, b->org);
}

RB_PROTOTYPE(bucket_tree, bucket, entry, bucket_cmp);
RB_GENERATE(bucket_tree, bucket, entry, bucket_cmp);

struct quota *
quota_create(void)
{
	struct quota *q = xcalloc(1, sizeof(*q));

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
root_hold(struct bucket *b)
{
	b->want_rate = b->total_rate;
	b->want_burst = b->total_burst;
	bucket_hold(b);
}

/* Children that were granted nothing may hold an earlier root's share. */
static void
forget_empty_charges(struct bucket *b)
{
	struct charge *c;

	LIST_FOREACH (c, &b->charges, entry) {
		if (c->rate == 0 && c->burst == 0)
			c->known = false;
	}
}

void
quota_set_root(struct quota *q, bool root, uint64_t settle_us)
{
	struct bucket *b;

	if (q->root == root)
		return;
	q->root = root;
	q->settle_us = settle_us;
	RB_FOREACH (b, bucket_tree, &q->buckets) {
		b->tokens = 0;
		b->filled_us = 0;
		b->settling = root;
		if (root) {
			forget_empty_charges(b);
			root_hold(b);
			continue;
		}
		b->want_rate = b->want_burst = 0;
		b->ends_us = 0;
		bucket_hold(b);
	}
}

void
quota_set_total(struct quota *q, const char *org, double rate, double burst)
{
	struct bucket *b = bucket_get(q, org);

	b->total_rate = rate;
	b->total_burst = burst;
	if (q->root)
		root_hold(b);
}

enum quota_verdict
quota_take(struct quota *q, const char *org, struct instant now)
{
	bucket_note_demand(bucket_get(q, org), now, 1);
	return quota_take_again(q, org, now);
}

enum quota_verdict
quota_take_again(struct quota *q, const char *org, struct instant now)
{
	struct bucket *b = bucket_get(q, org);

	bucket_fill(q, b, now);
	b->used_us = now.mono_us;
	if (b->tokens >= WHOLE_CALL && (q->root || now.mono_us < b->ends_us)) {
		b->tokens -= WHOLE_CALL;
		return QUOTA_TAKEN;
	}
	b->is_short = true;
	return QUOTA_SHORT;
}

void
quota_untake(struct quota *q, const char *org, struct instant now)
{
	struct bucket *b = bucket_find(q, org);

	if (b == NULL)
		return;
	bucket_fill(q, b, now);
	b->tokens += WHOLE_CALL;
	bucket_cap(b);
}

/*
 * One ask at a time: an ask that overtakes a grant could not tell the
 * parent that the grant was seen, and charges would never go down.
 */
static bool
ask_is_due(const struct bucket *b, struct instant now)
{
	if (b->asking && now.mono_us - b->asked_us < QUOTA_ASK_US)
		return false;
	if (b->is_short && now.mono_us - b->asked_us >= QUOTA_URGENT_US)
		return true;
	if (now.mono_us - b->asked_us < QUOTA_ASK_US)
		return false;
	return b->rate > 0 || bucket_demand(b) > 0 || b->tokens > 0;
}

bool
quota_wants(struct quota *q, struct instant now)
{
	struct bucket *b;

	if (q->root)
		return false;
	RB_FOREACH (b, bucket_tree, &q->buckets) {
		if (b->is_short && ask_is_due(b, now))
			return true;
	}
	return false;
}

/* A bucket that is short wants at least the chance of one call. */
static double
wanted(const struct bucket *b)
{
	double d = bucket_demand(b);

	return b->is_short && d < WHOLE_CALL ? WHOLE_CALL : d;
}

static void
ask_item(struct quota *q, struct bucket *b, struct instant now,
    struct share_item *item)
{
	memset(item, 0, sizeof(*item));
	bucket_note_demand(b, now, 0);
	bucket_fill(q, b, now);
	name_copy(item->org, b->org, sizeof(item->org));
	item->rate = b->rate;
	item->burst = b->burst;
	item->demand = wanted(b);
	item->number = b->number;
	if (item->demand == 0) {
		item->tokens = b->tokens;
		b->tokens = 0;
	}
	b->asked_us = now.mono_us;
	b->asking = true;
	b->is_short = false;
}

int
quota_ask(struct quota *q, struct instant now, struct share *ask)
{
	struct bucket *b;

	memset(ask, 0, offsetof(struct share, items));
	ask->sent_us = now.mono_us;
	if (q->root)
		return 0;
	RB_FOREACH (b, bucket_tree, &q->buckets) {
		if (ask->count == SHARES_PER_MSG)
			break;
		if (ask_is_due(b, now))
			ask_item(q, b, now, &ask->items[ask->count++]);
	}
	return ask->count;
}

void
quota_granted(struct quota *q, const struct share *grant, struct instant now)
{
	uint64_t ends = grant->sent_us + grant->ttl_us;
	const struct share_item *item;
	struct bucket *b;
	int i;

	if (q->root || ends <= now.mono_us)
		return;
	for (i = 0; i < grant->count; i++) {
		item = &grant->items[i];
		b = bucket_get(q, item->org);
		if (item->number <= b->number)
			continue;
		bucket_fill(q, b, now);
		b->number = item->number;
		b->asking = false;
		b->want_rate = item->rate;
		b->want_burst = item->burst;
		b->ends_us = ends;
		b->tokens += item->tokens;
		bucket_hold(b);
	}
}

void
quota_hold(struct quota *q, struct instant now)
{
	struct bucket *b;

	RB_FOREACH (b, bucket_tree, &q->buckets) {
		if (b->rate > 0 && b->ends_us > now.mono_us)
			b->ends_us = now.mono_us + QUOTA_TTL_US;
	}
}

void
quota_reparent(struct quota *q)
{
	struct bucket *b;

	RB_FOREACH (b, bucket_tree, &q->buckets) {
		b->number = 0;
		b->asking = false;
	}
}

static void
end_charges(struct quota *q, struct bucket *b, struct instant now)
{
	struct charge *c, *next;

	LIST_FOREACH_SAFE (c, &b->charges, entry, next) {
		if (now.mono_us < c->ends_us)
			continue;
		bucket_fill(q, b, now);
		LIST_REMOVE(c, entry);
		free(c);
	}
}

static void
end_share(struct quota *q, struct bucket *b, struct instant now)
{
	if (q->root || b->rate == 0 || now.mono_us < b->ends_us)
		return;
	b->want_rate = b->want_burst = 0;
	b->tokens = 0;
	bucket_hold(b);
}

void
quota_tick(struct quota *q, struct instant now)
{
	struct bucket *b, *next;

	RB_FOREACH_SAFE (b, bucket_tree, &q->buckets, next) {
		end_charges(q, b, now);
		end_share(q, b, now);
		if (b->rate == 0 && b->total_rate == 0 &&
		    LIST_EMPTY(&b->charges) &&
		    now.mono_us - b->used_us > 2 * QUOTA_TTL_US)
			bucket_destroy(q, b);
	}
}
