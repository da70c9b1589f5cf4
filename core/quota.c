#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "core/quota.h"

#define CHILDREN_PART                                                          \
	0.3 /* of the rate held, that children may hold in all                 \
	     */
#define CHILDREN_BURST 0.6 /* of the burst held, likewise */
#define AHEAD_S 0.5 /* seconds of demand that it may hold as tokens */
#define DEMAND_WINDOW_US (500 * MSEC_US)
#define DEMAND_SMOOTHING 0.4 /* part of the estimate from a window */
#define DEMAND_FLOOR 0.05 /* calls a second; below it is none */
#define WHOLE_CALL 1.0 /* a bucket below it can never admit */

/* What a child holds of ours. */
struct charge {
	LIST_ENTRY(charge) entry;
	bool known; /* the child's last ask was seen */
	struct addr child;
	uint64_t incarnation;
	double rate;
	double burst;
	double adopted_burst; /* of it, from an earlier root's grant */
	double sent_rate; /* of the last grant */
	double sent_burst;
	double demand;
	uint64_t number; /* of the last grant */
	uint64_t ends_us;
};

/* One organisation's share here. */
struct bucket {
	RB_ENTRY(bucket) entry;
	LIST_HEAD(, charge) charges;
	char org[NAME_LEN];
	double rate; /* held, the charges included */
	double burst;
	double want_rate; /* what the parent last granted */
	double want_burst;
	double total_rate; /* the data centre's, for the root */
	double total_burst;
	double tokens;
	double demand;
	uint64_t number; /* of the grant last taken in */
	uint64_t ends_us; /* the share's end; not for the root */
	uint64_t filled_us;
	uint64_t window_us; /* start of the demand window */
	uint64_t asked_us;
	uint64_t used_us;
	unsigned int seen; /* calls in the demand window */
	bool is_short;
	bool settling; /* as of the last filling */
	bool asking; /* the answer to an ask is on its way */
};

RB_HEAD(bucket_tree, bucket);

struct quota {
	struct bucket_tree buckets;
	size_t count;
	bool root;
	uint64_t settle_us;
	uint64_t incarnation;
	char next[NAME_LEN]; /* where the next ask goes on */
};

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

static struct bucket *
bucket_find(struct quota *q, const char *org)
{
	struct bucket want;

	name_copy(want.org, org, sizeof(want.org));
	return RB_FIND(bucket_tree, &q->buckets, &want);
}

static struct bucket *
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

static double
charged_rate(const struct bucket *b)
{
	const struct charge *c;
	double sum = 0;

	LIST_FOREACH (c, &b->charges, entry)
		sum += c->rate;
	return sum;
}

static double
charged_burst(const struct bucket *b)
{
	const struct charge *c;
	double sum = 0;

	LIST_FOREACH (c, &b->charges, entry)
		sum += c->burst;
	return sum;
}

static double
at_least_zero(double v)
{
	return v > 0 ? v : 0;
}

static double
smaller(double a, double b)
{
	return a < b ? a : b;
}

static double
larger(double a, double b)
{
	return a > b ? a : b;
}

/*
 * What a daemon may use itself.  A root that settles has only the part that
 * no child can hold: shares of an earlier root may still be out there.
 */
static double
own_rate(const struct bucket *b)
{
	double rate = at_least_zero(b->rate - charged_rate(b));

	return b->settling ? smaller(rate, (1 - CHILDREN_PART) * b->want_rate)
			   : rate;
}

/* Burst that a settling root has lent to children out of its own part. */
static double
lent_burst(const struct bucket *b)
{
	const struct charge *c;
	double sum = 0;

	LIST_FOREACH (c, &b->charges, entry)
		sum += at_least_zero(c->burst - c->adopted_burst);
	return sum;
}

static double
own_burst(const struct bucket *b)
{
	double burst = at_least_zero(b->burst - charged_burst(b));
	double own = (1 - CHILDREN_BURST) * b->want_burst;

	return b->settling ? smaller(burst, at_least_zero(own - lent_burst(b)))
			   : burst;
}

static void
cap_tokens(struct bucket *b)
{
	b->tokens = smaller(b->tokens, own_burst(b));
}

/* Bring the tokens up to date; call before any change to what is held. */
static void
bucket_fill(struct quota *q, struct bucket *b, struct instant now)
{
	double rate = own_rate(b);
	uint64_t until = now.mono_us;

	if (!q->root && until > b->ends_us)
		until = b->ends_us;
	if (b->filled_us != 0 && until > b->filled_us)
		b->tokens += rate * (double)(until - b->filled_us) / SEC_US;
	b->filled_us = now.mono_us;
	b->settling = q->root && now.mono_us < q->settle_us;
	cap_tokens(b);
}

/* What is held but can not be given up yet stays held. */
static void
bucket_hold(struct bucket *b)
{
	b->rate = larger(b->want_rate, charged_rate(b));
	b->burst = larger(b->want_burst, charged_burst(b));
	cap_tokens(b);
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

bool
quota_is_root(const struct quota *q)
{
	return q->root;
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

static void
note_demand(struct bucket *b, struct instant now, unsigned int calls)
{
	double seen;

	b->seen += calls;
	if (now.mono_us - b->window_us < DEMAND_WINDOW_US)
		return;
	seen = (double)b->seen * SEC_US / (double)(now.mono_us - b->window_us);
	b->demand += DEMAND_SMOOTHING * (seen - b->demand);
	if (b->demand < DEMAND_FLOOR)
		b->demand = 0;
	b->window_us = now.mono_us;
	b->seen = 0;
}

enum quota_verdict
quota_take(struct quota *q, const char *org, struct instant now)
{
	note_demand(bucket_get(q, org), now, 1);
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
	cap_tokens(b);
}

static double
total_demand(const struct bucket *b)
{
	const struct charge *c;
	double sum = b->demand;

	LIST_FOREACH (c, &b->charges, entry)
		sum += c->demand;
	return sum;
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
	return b->rate > 0 || total_demand(b) > 0 || b->tokens > 0;
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
	double d = total_demand(b);

	return b->is_short && d < WHOLE_CALL ? WHOLE_CALL : d;
}

static void
ask_item(struct quota *q, struct bucket *b, struct instant now,
    struct share_item *item)
{
	memset(item, 0, sizeof(*item));
	note_demand(b, now, 0);
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

static struct charge *
charge_get(struct bucket *b, struct addr child, uint64_t incarnation)
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
	LIST_INSERT_HEAD(&b->charges, c, entry);
	return c;
}

/*
 * Learn what the child holds.  Only an ask that has seen our last grant can
 * lower the charge.  A charge that is new here belongs to an earlier
 * parent's grant: a root that settles takes it over, others grant from
 * nothing and the child's old share ends by itself.
 */
static void
charge_learn(struct bucket *b, struct charge *c, const struct share_item *item)
{
	c->demand = item->demand;
	if (!c->known) {
		/* The child remembers numbers of a charge that has ended. */
		c->known = true;
		if (c->number < item->number)
			c->number = item->number;
		if (!b->settling)
			return;
		c->rate = smaller(
		    item->rate, at_least_zero(b->rate - charged_rate(b)));
		c->burst = smaller(
		    item->burst, at_least_zero(b->burst - charged_burst(b)));
		c->adopted_burst = c->burst;
		return;
	}
	if (item->number != c->number)
		return;
	c->rate = larger(c->sent_rate, item->rate);
	c->burst = larger(c->sent_burst, item->burst);
}

/*
 * A child holds only a part of the rate that it needs, and fetches the rest
 * as tokens when it is short.  So most tokens lie where any child can get
 * them, instead of in the bucket of one that does not need them now.
 */
static double
fair_rate(const struct bucket *b, const struct charge *c)
{
	double demand = total_demand(b);

	if (c->demand <= 0 || b->want_rate <= 0)
		return 0;
	return CHILDREN_PART *
	       smaller(c->demand, b->want_rate * c->demand / demand);
}

/* Room for the call that it is short of, and for some ahead. */
static double
fair_burst(const struct bucket *b, const struct charge *c)
{
	double part,
	    least = c->demand > WHOLE_CALL ? 2 * WHOLE_CALL : WHOLE_CALL;

	if (c->demand <= 0 || b->want_burst <= 0)
		return 0;
	part = CHILDREN_BURST * b->want_burst * c->demand / total_demand(b);
	return larger(least, smaller(c->demand * AHEAD_S, part));
}

static void
charge_grant(struct bucket *b, struct charge *c)
{
	double rate = fair_rate(b, c), burst = fair_burst(b, c);
	double free_rate, free_burst;

	free_rate =
	    at_least_zero(CHILDREN_PART * b->want_rate - charged_rate(b));
	free_burst =
	    at_least_zero(CHILDREN_BURST * b->want_burst - charged_burst(b));
	if (b->settling) {
		/* Room for tokens, but half of our own part stays here. */
		free_rate = 0;
		free_burst = at_least_zero(
		    (1 - CHILDREN_BURST) * b->want_burst / 2 - lent_burst(b));
	}
	c->sent_rate = smaller(rate, c->rate + free_rate);
	c->sent_burst = smaller(burst, c->burst + free_burst);
	/* Debit first: the larger of old and new is charged from here on. */
	c->rate = larger(c->rate, c->sent_rate);
	c->burst = larger(c->burst, c->sent_burst);
	c->number++;
}

/*
 * Tokens for a child that is short: its part of what lies here, in whole
 * calls where possible.  It may hold a part of one already, for which room
 * is left under its burst.
 */
static double
give_tokens(struct bucket *b, struct charge *c)
{
	double demand = total_demand(b), part;

	if (c->demand <= 0 || demand <= 0)
		return 0;
	part = smaller(b->tokens * c->demand / demand, c->demand * AHEAD_S);
	if (part < WHOLE_CALL && b->tokens >= WHOLE_CALL)
		part = WHOLE_CALL;
	part = smaller(part, larger(c->sent_burst - WHOLE_CALL, WHOLE_CALL));
	part = smaller(part, c->sent_burst);
	b->tokens -= part;
	return part;
}

static void
grant_item(struct quota *q, struct addr child, const struct share *ask,
    const struct share_item *item, struct instant now, struct share_item *out)
{
	struct bucket *b = bucket_get(q, item->org);
	struct charge *c = charge_get(b, child, ask->incarnation);

	note_demand(b, now, 0);
	bucket_fill(q, b, now);
	charge_learn(b, c, item);
	bucket_hold(b);
	b->tokens += item->tokens;
	cap_tokens(b);
	charge_grant(b, c);
	memset(out, 0, sizeof(*out));
	name_copy(out->org, item->org, sizeof(out->org));
	out->rate = c->sent_rate;
	out->burst = c->sent_burst;
	out->tokens = give_tokens(b, c);
	out->number = c->number;
	cap_tokens(b);
	c->ends_us = now.mono_us + QUOTA_TTL_US + QUOTA_MARGIN_US;
	if (!q->root && b->tokens < WHOLE_CALL && item->demand > c->sent_rate)
		b->is_short = true;
}

/* No child's share may outlast our own. */
static uint64_t
ttl_for(struct quota *q, const struct share *ask, struct instant now)
{
	uint64_t ttl = QUOTA_TTL_US, left;
	struct bucket *b;
	int i;

	for (i = 0; i < ask->count && !q->root; i++) {
		b = bucket_find(q, ask->items[i].org);
		left = b != NULL && b->ends_us > now.mono_us
			   ? b->ends_us - now.mono_us
			   : 0;
		if (left < ttl)
			ttl = left;
	}
	return ttl;
}

void
quota_grant(struct quota *q, struct addr child, const struct share *ask,
    struct instant now, struct share *grant)
{
	int i;

	memset(grant, 0, offsetof(struct share, items));
	grant->sent_us = ask->sent_us;
	grant->incarnation = ask->incarnation;
	grant->ttl_us = ttl_for(q, ask, now);
	for (i = 0; i < ask->count && i < SHARES_PER_MSG; i++)
		grant_item(
		    q, child, ask, &ask->items[i], now, &grant->items[i]);
	grant->count = i;
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

double
quota_held_rate(struct quota *q, const char *org)
{
	struct bucket *b = bucket_find(q, org);

	return b != NULL ? at_least_zero(b->rate - charged_rate(b)) : 0;
}

size_t
quota_count(const struct quota *q)
{
	return q->count;
}
