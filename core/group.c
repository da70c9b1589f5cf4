#include <stdlib.h>
#include <string.h>

#include "core/group.h"
#include "core/hash.h"

static int
member_cmp(struct member *a, struct member *b)
{
	int ret = addr_cmp(a->record.addr, b->record.addr);

	if (ret != 0)
		return ret;
	if (a->record.incarnation == b->record.incarnation)
		return 0;
	return a->record.incarnation < b->record.incarnation ? -1 : 1;
}

RB_GENERATE(member_tree, member, entry, member_cmp);

struct group *
group_create(const char *service, const char *dc)
{
	struct group *g = xcalloc(1, sizeof(*g));

	RB_INIT(&g->members);
	LIST_INIT(&g->owners);
	retry_budget_init(&g->budget);
	name_copy(g->service, service, sizeof(g->service));
	name_copy(g->dc, dc, sizeof(g->dc));
	return g;
}

static void
group_remove(struct group *g, struct member *m)
{
	RB_REMOVE(member_tree, &g->members, m);
	g->nmembers--;
	free(m);
}

void
group_destroy(struct group *g)
{
	struct member *m;

	while ((m = RB_ROOT(&g->members)) != NULL)
		group_remove(g, m);
	owner_tables_release(&g->owners);
	free(g);
}

struct member *
group_find(struct group *g, struct addr addr)
{
	struct member want, *m, *prev;

	want.record.addr = addr;
	want.record.incarnation = UINT64_MAX;
	m = RB_NFIND(member_tree, &g->members, &want);
	prev = m != NULL ? RB_PREV(member_tree, &g->members, m)
			 : RB_MAX(member_tree, &g->members);
	if (prev != NULL && addr_equal(prev->record.addr, addr))
		return prev;
	return NULL;
}

static bool
member_ended(const struct member *m)
{
	return m->record.state == MEMBER_LEFT || m->record.state == MEMBER_GONE;
}

bool
member_accepts_work(const struct member *m)
{
	return m->record.state == MEMBER_ALIVE;
}

static void
member_end(struct member *m, enum member_state state, struct instant now)
{
	m->record.state = state;
	m->ended_us = now.mono_us;
}

void
group_end_member(struct member *m, struct instant now)
{
	member_end(m, MEMBER_GONE, now);
}

static struct member *
group_insert(struct group *g, const struct member_record *r, struct instant now)
{
	struct member *m = xcalloc(1, sizeof(*m));

	m->record = *r;
	m->first_seen_us = now.mono_us;
	m->last_heard_us = now.mono_us;
	if (member_ended(m))
		m->ended_us = now.mono_us;
	RB_INSERT(member_tree, &g->members, m);
	g->nmembers++;
	return m;
}

/*
 * Member states only advance.  A target exchanges heartbeats with every
 * other target of its data centre and detects failures there itself, so it
 * ignores reports that one of them is gone.  Other daemons accept them.
 */
static bool
member_apply_state(struct group *g, struct member *m,
    const struct member_record *r, struct instant now)
{
	if (r->state <= m->record.state || m->is_self)
		return false;
	if (r->state == MEMBER_GONE) {
		if (g->self != NULL && strcmp(m->record.dc, g->dc) == 0)
			return false;
		member_end(m, MEMBER_GONE, now);
	} else if (r->state == MEMBER_LEFT) {
		member_end(m, MEMBER_LEFT, now);
	} else {
		m->record.state = r->state;
	}
	return true;
}

/*
 * Whether an earlier incarnation of the record's member said that its target's
 * start ends.  Its daemon may have been restarted since, and not know of it.
 */
static bool
has_ended_start(struct group *g, const struct member_record *r)
{
	struct member *m;

	if (r->start == 0)
		return false;
	RB_FOREACH (m, member_tree, &g->members) {
		if (addr_equal(m->record.addr, r->addr) &&
		    m->record.start == r->start && m->record.start_ended)
			return true;
	}
	return false;
}

bool
group_merge(struct group *g, const struct member_record *r, struct instant now)
{
	struct member *m = group_find(g, r->addr);
	bool ended;

	if (m == NULL || m->record.incarnation < r->incarnation) {
		if (m != NULL && m->is_self)
			return false;
		if (m != NULL && !member_ended(m))
			member_end(m, MEMBER_GONE, now);
		ended = has_ended_start(g, r);
		m = group_insert(g, r, now);
		if (ended) {
			m->record.start_ended = true;
			if (m->record.state == MEMBER_ALIVE)
				m->record.state = MEMBER_LEAVING;
		}
		return true;
	}
	if (m->record.incarnation > r->incarnation)
		return false;
	if (r->slots != 0)
		m->record.slots = r->slots;
	if (!m->is_self) {
		if (r->start != 0)
			m->record.start = r->start;
		if (r->start_ended)
			m->record.start_ended = true;
	}
	return member_apply_state(g, m, r, now);
}

void
group_join(struct group *g, const struct member_record *r, struct instant now)
{
	struct member *m = group_find(g, r->addr);

	if (m != NULL && m->record.incarnation >= r->incarnation)
		return;
	if (m != NULL && !member_ended(m))
		member_end(m, MEMBER_GONE, now);
	m = group_insert(g, r, now);
	m->is_self = true;
	g->self = m;
}

bool
group_tick(struct group *g, struct instant now)
{
	struct member *m, *next;
	bool changed = false;

	RB_FOREACH_SAFE (m, member_tree, &g->members, next) {
		if (m->is_self)
			continue;
		if (member_ended(m)) {
			if (now.mono_us - m->ended_us >
				GROUP_ENDED_RETENTION_US &&
			    m->outstanding == 0)
				group_remove(g, m);
			continue;
		}
		if (now.mono_us - m->last_heard_us <= GROUP_FAILURE_TIMEOUT_US)
			continue;
		member_end(m, MEMBER_GONE, now);
		changed = true;
	}
	return changed;
}

bool
group_record_heartbeat(
    struct group *g, struct addr from, uint64_t incarnation, struct instant now)
{
	struct member *m = group_find(g, from);

	if (m == NULL || m->is_self || m->record.incarnation != incarnation ||
	    m->record.state == MEMBER_GONE)
		return false;
	m->last_heard_us = now.mono_us;
	return true;
}

double
group_pressure(struct group *g, struct instant now)
{
	unsigned int count = 0;
	struct member *m;
	double sum = 0;

	RB_FOREACH (m, member_tree, &g->members) {
		if (!member_accepts_work(m) || m->unreachable ||
		    now.mono_us - m->pressure_heard_us >
			GROUP_PRESSURE_MAX_AGE_US)
			continue;
		sum += m->pressure_permille / 1000.0;
		count++;
	}
	return count != 0 ? sum / count : 0;
}

static uint64_t
record_digest(const struct member_record *r)
{
	uint64_t h = hash_rendezvous(addr_hash(r->addr), r->incarnation);

	return hash_rendezvous(h, r->state);
}

/* A sum does not depend on the order of the members. */
uint64_t
group_digest(struct group *g)
{
	uint64_t sum = 0;
	struct member *m;

	RB_FOREACH (m, member_tree, &g->members)
		sum += record_digest(&m->record);
	return sum;
}
