#include <string.h>

#include "core/balance.h"
#include "core/hash.h"

#define MAX_CANDIDATES 1024 /* members that one choice looks at */

#define REMOTE_COST_PERMILLE                                                            \
	400 /* thousandths of its slots that another dc has to be freer by */

/*
 * How much is held against a member.  The lowest tier that has members is
 * the one to choose from: a failure or a refusal makes a member the last
 * resort, never impossible.
 */
enum tier {
	TIER_OPEN,
	TIER_REFUSING,
	TIER_AVOIDED,
	TIER_COUNT,
};

/* The members of the lowest tier, those of our own data centre first. */
struct choice {
	struct member *open[MAX_CANDIDATES];
	int count;
	int local; /* how many of them are near */
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
	if (m->unreachable || m->avoid_us > now.mono_us)
		return TIER_AVOIDED;
	if (threshold_refuses(m->threshold, c->importance, c->level))
		return TIER_REFUSING;
	return TIER_OPEN;
}

static void
choice_add(struct choice *ch, struct member *m, bool local)
{
	if (ch->count == MAX_CANDIDATES)
		return;
	ch->open[ch->count] = m;
	if (local) {
		ch->open[ch->count] = ch->open[ch->local];
		ch->open[ch->local++] = m;
	}
	ch->count++;
}

static void
collect(struct group *g, const struct balance_call *c, struct instant now,
    struct choice *ch)
{
	enum tier best = TIER_COUNT, tier;
	struct member *m;

	ch->count = ch->local = 0;
	RB_FOREACH (m, member_tree, &g->members) {
		if (!member_is_open(m) || is_tried(c, m->record.addr))
			continue;
		tier = member_tier(m, c, now);
		if (tier > best)
			continue;
		if (tier < best)
			ch->count = ch->local = 0;
		best = tier;
		choice_add(ch, m, is_local(g, m));
	}
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

/* One of our own data centre if there is any. */
static struct member *
random_near(const struct choice *ch, uint64_t *rng)
{
	return ch->open[rng_below(rng, ch->local ? ch->local : ch->count)];
}

/*
 * One that is near against any: a near one that is busy gives way to one
 * that is freer by more than the way there costs.
 */
static struct member *
choose_two(struct group *g, const struct balance_call *c, uint64_t *rng,
    struct instant now)
{
	uint64_t cost_a, cost_b;
	struct member *a, *b;
	struct choice ch;

	collect(g, c, now, &ch);
	if (ch.count == 0)
		return NULL;
	a = random_near(&ch, rng);
	b = ch.open[rng_below(rng, ch.count)];
	cost_a = member_cost(a, now) + (is_local(g, a) ? 0 : REMOTE_COST_PERMILLE);
	cost_b = member_cost(b, now) + (is_local(g, b) ? 0 : REMOTE_COST_PERMILLE);
	return cost_b < cost_a ? b : a;
}

static struct member *
choose_random(struct group *g, const struct balance_call *c, uint64_t *rng,
    struct instant now)
{
	struct choice ch;

	collect(g, c, now, &ch);
	return ch.count == 0 ? NULL : random_near(&ch, rng);
}

const struct balancer balancer_two_choices = {"two-choices", choose_two};
const struct balancer balancer_random = {"random", choose_random};
