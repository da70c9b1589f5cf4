/*
 * Fencing: a row of the platform that lists, for a data centre's group, the
 * members that are gone for good, so that those left can be a majority.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core/node_impl.h"

static void
take_fence_line(struct group *g, const char *line, struct instant now)
{
	struct addr a;
	struct member *m;
	unsigned int port;
	uint64_t incarnation;

	if (sscanf(line, "%" SCNu32 ":%u:%" SCNu64, &a.ip, &port,
		&incarnation) != 3)
		return;
	a.port = port;
	RB_FOREACH (m, member_tree, &g->members) {
		if (!addr_equal(m->record.addr, a) ||
		    m->record.incarnation != incarnation)
			continue;
		m->fenced = true;
		if (m->record.state < MEMBER_LEFT && !m->self) {
			m->record.state = MEMBER_GONE;
			m->record.ended_ms = now.wall_ms;
			m->ended_us = now.mono_us;
		}
	}
}

static bool
self_is_fenced(const struct group *g)
{
	return g->self != NULL && g->self->fenced;
}

/*
 * The fence row of a data centre's group lists members that are gone for
 * good.  It moves by compare-and-set only, so of two halves that hold each
 * other for gone one is first, and the other finds itself in the list.
 */
void
fence_row(struct node *n, struct group *g, struct row *row, struct instant now,
    struct msg_list *out)
{
	const char *p = row->value.data;

	if (row->status == ROW_UNKNOWN || row->status == ROW_CONFLICT)
		return;
	g->rows_version = row->version;
	g->rows_read = true;
	while (p != NULL && *p != '\0') {
		take_fence_line(g, p, now);
		p = strchr(p, '\n');
		if (p != NULL)
			p++;
	}
	if (self_is_fenced(g)) {
		n->counters.values[COUNT_REINCARNATIONS]++;
		membership_join(n, g, now, out);
	}
}

bool
fence_has_unfenced(struct group *g)
{
	struct member *m;

	RB_FOREACH (m, member_tree, &g->members) {
		if (m->record.state == MEMBER_GONE && !m->fenced && !m->self &&
		    strcmp(m->record.dc, g->dc) == 0)
			return true;
	}
	return false;
}

/* Too few are left for a majority: ask the platform to fence the gone. */
void
fence_gone(
    struct node *n, struct group *g, struct instant now, struct msg_list *out)
{
	char key[256], value[4096];
	struct member *m;
	size_t len = 0;

	if (g->polled_us != 0 && now.mono_us - g->polled_us < SEC_US)
		return;
	g->polled_us = now.mono_us;
	snprintf(key, sizeof(key), "fence/%s/%s", g->service, g->dc);
	if (!g->rows_read) {
		node_read_row(n, key, false, out);
		return;
	}
	g->rows_read = false;
	RB_FOREACH (m, member_tree, &g->members) {
		if (m->record.state != MEMBER_GONE ||
		    strcmp(m->record.dc, g->dc) != 0 ||
		    len + 64 > sizeof(value))
			continue;
		len += snprintf(value + len, sizeof(value) - len,
		    "%" PRIu32 ":%u:%" PRIu64 "\n", m->record.addr.ip,
		    m->record.addr.port, m->record.incarnation);
	}
	node_write_row(n, key, g->rows_version, value, len, out);
	node_read_row(n, key, false, out);
}
