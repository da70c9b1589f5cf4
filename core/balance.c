#include <string.h>

#include "core/balance.h"
#include "core/hash.h"

#define MAX_OPEN 1024 /* members that one choice looks at */

/*
 * How much is held against a member.  The lowest tier that has members is
 * the one to choose from: a failure or a full data centre makes a member
 * the last resort, never impossible.
 */
enum tier {
	TIER_LOCAL,
	TIER_REMOTE,
	TIER_REFUSING,
	TIER_AVOIDED,
	TIER_COUNT,
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

static enum tier
member_tier(const struct group *g, const struct member *m,
    const struct balance_call *c, struct instant now)
{
	if (m->unreachable || m->avoid_us > now.mono_us)
		return TIER_AVOIDED;
	if (threshold_refuses(m->threshold, c->importance, c->level))
		return TIER_REFUSING;
	return strcmp(m->record.dc, g->dc) == 0 ? TIER_LOCAL : TIER_REMOTE;
}

static int
collect(struct group *g, const struct balance_call *c, struct instant now,
    struct member **open)
{
	enum tier best = TIER_COUNT, tier;
	struct member *m;
	int n = 0;

	RB_FOREACH (m, member_tree, &g->members) {
		if (!member_is_open(m) || is_tried(c, m->record.addr))
			continue;
		tier = member_tier(g, m, c, now);
		if (tier > best || n == MAX_OPEN)
			continue;
		if (tier < best)
			n = 0;
		best = tier;
		open[n++] = m;
	}
	return n;
}

/*
 * Work per slot in thousandths: what the target said last, and what we
 * have sent since.  A new target counts as smaller than it is, until its
 * caches are warm.
 */
static uint64_t
member_cost(const struct member *m, struct instant now)
{
	uint64_t slots = m->record.slots ? m->record.slots : 1;
	uint64_t cost = m->load + (m->outstanding + 1) * 1000 / slots;
	uint64_t age = now.mono_us - m->seen_us;

	if (age < GROUP_RAMP_US &&
	    now.wall_ms - m->record.incarnation < GROUP_RAMP_US / MSEC_US)
		cost = cost * GROUP_RAMP_US / (age + GROUP_RAMP_US / 10);
	return cost;
}

static struct member *
choose_two(struct group *g, const struct balance_call *c, uint64_t *rng,
    struct instant now)
{
	struct member *open[MAX_OPEN], *a, *b;
	int n = collect(g, c, now, open);

	if (n == 0)
		return NULL;
	a = open[rng_below(rng, n)];
	b = open[rng_below(rng, n)];
	return member_cost(b, now) < member_cost(a, now) ? b : a;
}

static struct member *
choose_random(struct group *g, const struct balance_call *c, uint64_t *rng,
    struct instant now)
{
	struct member *open[MAX_OPEN];
	int n = collect(g, c, now, open);

	return n == 0 ? NULL : open[rng_below(rng, n)];
}

const struct balancer balancer_two_choices = {"two-choices", choose_two};
const struct balancer balancer_random = {"random", choose_random};
