/*
 * Chooses a target among the members of a group.
 */
#include <string.h>

#include "core/balance.h"
#include "core/hash.h"

/* The most members that one choice considers; any more are left out. */
#define MAX_CANDIDATES 1024

/*
 * Added to the cost of a member in another data centre: it is preferred only
 * if its work per slot is lower by more than this, in thousandths.
 */
#define REMOTE_COST_PERMILLE 400
/* Slow start multiplies the cost of a new member by this much at first. */
#define SLOW_START_MAX_FACTOR 10

/*
 * Members are chosen from the lowest tier that is not empty, so that one
 * that failed or refuses calls is a last resort but can still be chosen.
 */
enum tier {
	TIER_ACCEPTING,
	TIER_REFUSING, /* its threshold refuses the call */
	TIER_AVOIDED, /* it failed recently, or is unreachable */
	TIER_COUNT,
};

/* The members of the lowest tier, those of our own data centre first. */
struct candidates {
	struct member *members[MAX_CANDIDATES];
	int count;
	int nlocal; /* how many of them are in our data centre */
};

bool
threshold_refuses(struct threshold t, enum importance importance, uint8_t level)
{
	if (importance != (enum importance)t.importance)
		return importance < (enum importance)t.importance;
	return level < t.level;
}

static bool
is_tried(const struct balance_call *c, struct addr addr)
{
	int i;

	for (i = 0; i < c->ntried; i++) {
		if (addr_equal(c->tried[i], addr))
			return true;
	}
	return false;
}

static bool
is_local(const struct group *g, const struct member *m)
{
	return strcmp(m->record.dc, g->dc) == 0;
}

static enum tier
member_tier(
    const struct member *m, const struct balance_call *c, struct instant now)
{
	if (m->unreachable || m->avoid_until_us > now.mono_us)
		return TIER_AVOIDED;
	if (threshold_refuses(m->threshold, c->importance, c->level))
		return TIER_REFUSING;
	return TIER_ACCEPTING;
}

static void
candidates_add(struct candidates *cand, struct member *m, bool local)
{
	if (cand->count == MAX_CANDIDATES)
		return;
	cand->members[cand->count] = m;
	if (local) {
		cand->members[cand->count] = cand->members[cand->nlocal];
		cand->members[cand->nlocal++] = m;
	}
	cand->count++;
}

static void
candidates_collect(struct group *g, const struct balance_call *c,
    struct instant now, struct candidates *cand)
{
	enum tier best = TIER_COUNT, tier;
	struct member *m;

	cand->count = cand->nlocal = 0;
	RB_FOREACH (m, member_tree, &g->members) {
		if (!member_accepts_work(m) || is_tried(c, m->record.addr))
			continue;
		tier = member_tier(m, c, now);
		if (tier > best)
			continue;
		if (tier < best)
			cand->count = cand->nlocal = 0;
		best = tier;
		candidates_add(cand, m, is_local(g, m));
	}
}

/*
 * The work per slot in thousandths: what the target last reported, plus our
 * own unanswered tries and the one to be sent.  The cost of a new target is
 * raised at first, by a factor that falls over GROUP_SLOW_START_US, because its
 * caches are still cold.
 */
static uint64_t
member_cost_permille(const struct member *m, struct instant now)
{
	uint64_t slots = m->record.slots ? m->record.slots : 1;
	uint64_t cost = m->load_permille + (m->outstanding + 1) * 1000 / slots;
	uint64_t age_us = now.mono_us - m->first_seen_us;

	if (age_us < GROUP_SLOW_START_US &&
	    now.wall_ms - m->record.incarnation < GROUP_SLOW_START_US / MSEC_US)
		cost = cost * GROUP_SLOW_START_US /
		       (age_us + GROUP_SLOW_START_US / SLOW_START_MAX_FACTOR);
	return cost;
}

/* A random candidate, from our own data centre if it has any. */
static struct member *
random_local(const struct candidates *cand, uint64_t *rng)
{
	return cand->members[rng_below(
	    rng, cand->nlocal ? cand->nlocal : cand->count)];
}

/*
 * Compare a random local candidate with a random one of all, and choose the
 * one of lower cost, where the cost of a remote one includes the surcharge.
 */
static struct member *
choose_of_two(struct group *g, const struct balance_call *c, uint64_t *rng,
    struct instant now)
{
	uint64_t cost_a, cost_b;
	struct member *a, *b;
	struct candidates cand;

	candidates_collect(g, c, now, &cand);
	if (cand.count == 0)
		return NULL;
	a = random_local(&cand, rng);
	b = cand.members[rng_below(rng, cand.count)];
	cost_a = member_cost_permille(a, now) +
		 (is_local(g, a) ? 0 : REMOTE_COST_PERMILLE);
	cost_b = member_cost_permille(b, now) +
		 (is_local(g, b) ? 0 : REMOTE_COST_PERMILLE);
	return cost_b < cost_a ? b : a;
}

static struct member *
choose_random(struct group *g, const struct balance_call *c, uint64_t *rng,
    struct instant now)
{
	struct candidates cand;

	candidates_collect(g, c, now, &cand);
	return cand.count == 0 ? NULL : random_local(&cand, rng);
}

const struct balancer balancer_two_choices = {"two-choices", choose_of_two};
const struct balancer balancer_random = {"random", choose_random};
