/*
 * quota_impl - what the files behind quota.h share; private to core/
 *
 * bucket.c	one organisation's token bucket: what is held, charged and free
 * grant.c	the parent's side: charges for children and grants to them
 * quota.c	calls, requests to the parent, and the lifetime of shares
 */
#ifndef CORE_QUOTA_IMPL_H
#define CORE_QUOTA_IMPL_H

#include "core/quota.h"

#define TOKENS_PER_CALL 1.0 /* a bucket that holds less admits no call */

/*
 * What one child may hold of this daemon's share of one organisation.  Rates
 * and demands are calls a second, bursts and tokens are calls.
 */
struct charge {
	LIST_ENTRY(charge) entry;
	bool request_seen; /* a request of the child was handled */
	uint64_t created_us; /* when its first request came */
	struct addr child;
	uint64_t incarnation; /* of the child */
	double rate; /* charged: the most that the child may hold */
	double burst;
	/* The part of burst that an earlier root had granted. */
	double reclaimed_burst;
	double granted_rate; /* by the last grant */
	double granted_burst;
	double demand; /* of the child and all below it */
	uint32_t waiting_calls; /* without a token, by its last request */
	uint64_t waiting_since_us; /* when the first of them was reported */
	uint64_t request_us; /* when its last request came */
	uint64_t request_sent_us; /* when it was sent, on the child's clock */
	uint64_t grant_number; /* of the last grant */
	uint64_t recalled_us; /* when its spare tokens were asked back last */
	uint64_t expires_us; /* later than the child's share does */
};

/* One organisation's share at this daemon; units as in struct charge. */
struct bucket {
	RB_ENTRY(bucket) entry;
	LIST_HEAD(, charge) charges;
	char org[NAME_LEN];
	double rate; /* held, what children hold included */
	double burst;
	double granted_rate; /* by the parent last; the total for the root */
	double granted_burst;
	double total_rate; /* held in all while this daemon is the root */
	double total_burst; /* the same, less what fetched tokens need */
	double tokens;
	uint32_t fetched_tokens; /* tokens that are only for calls that wait */
	uint64_t fetched_expire_us; /* when those expire */
	uint64_t fetched_ttl_us; /* lifetime of tokens that are fetched here */
	uint32_t waiting_calls; /* calls at this daemon without a token */
	/* Calls that wait here and at children that the parent knows of. */
	uint32_t requested_calls;
	/* Whole tokens of calls that did not run, for the parent. */
	uint32_t returned_tokens;
	bool children_wait; /* calls wait at a child */
	/* Tokens that the parent wants back if they are spare. */
	uint32_t recalled_tokens;
	uint64_t recall_sent_us; /* when a child was last asked for some */
	double demand; /* calls a second at this daemon, smoothed */
	uint64_t grant_number; /* of the last grant taken over */
	uint64_t expires_us; /* end of the share; not for the root */
	uint64_t refilled_us; /* tokens are up to date as of then */
	uint64_t window_us; /* start of the demand window */
	uint64_t request_us; /* when the last request was made */
	uint64_t used_us; /* when a call last asked for a token */
	unsigned int window_calls; /* calls in the demand window */
	bool short_of_tokens; /* a call found no token since the last request */
	bool settling; /* as of the last refill */
	bool request_pending; /* the answer to a request has not come */
};

RB_HEAD(bucket_tree, bucket);
RB_PROTOTYPE(bucket_tree, bucket, entry, bucket_cmp);

struct quota {
	const struct quota_policy *policy;
	int expected_children; /* 0: not known */
	struct bucket_tree buckets;
	size_t count; /* number of buckets */
	bool is_root;
	uint64_t settle_until_us; /* 0: does not settle */
};

static inline double
at_least_zero(double v)
{
	return v > 0 ? v : 0;
}

static inline double
smaller(double a, double b)
{
	return a < b ? a : b;
}

static inline double
larger(double a, double b)
{
	return a > b ? a : b;
}

/* The bucket of an organisation, or NULL; it belongs to the quota. */
struct bucket *bucket_find(struct quota *, const char *org);
/* The same, created if there is none. */
struct bucket *bucket_get(struct quota *, const char *org);
/* What all children together are charged for. */
double bucket_charged_rate(const struct bucket *);
double bucket_charged_burst(const struct bucket *);
/* The burst that a settling root granted out of the part it may use itself. */
double bucket_lent_burst(const struct bucket *);
/* Drop tokens that the burst has no more room for. */
void bucket_cap_tokens(const struct quota *, struct bucket *);
/*
 * Take back tokens that were not used.  Without a share of its own a daemon
 * passes them on to its parent.
 */
void bucket_add_returned(const struct quota *, struct bucket *, double tokens);
/* Add the tokens made since the last refill; call before changing the rate. */
void bucket_refill(struct quota *, struct bucket *, struct instant now);
/* Set what is held: what was granted, but never less than is charged. */
void bucket_update_held(const struct quota *, struct bucket *);
/* Count calls as demand, and close the demand window if it is over. */
void bucket_record_demand(
    struct bucket *, struct instant now, unsigned int calls);
/* The demand of this daemon and all its children. */
double bucket_demand(const struct bucket *);
/* The number of calls that wait for a token here and at children. */
uint32_t bucket_waiting_calls(const struct bucket *, struct instant now);
/* Whether calls wait for tokens at a child, by its last request. */
bool charge_waits(const struct charge *, struct instant now);
/* Take a token that was fetched; false if there is none. */
bool bucket_take_fetched(struct bucket *, struct instant now);

#endif
