/*
 * This daemon's part in the ownership of ids (core/owners.h).  It keeps its
 * own entry in its data centre's row, ends the entries of members that left
 * or are gone, and obtains proof that the row is the one it knows.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core/node_impl.h"
#include "core/position.h"

/* Interval between reads of the owners' row. */
#define ROW_READ_INTERVAL_US (500 * MSEC_US)
/* Interval between writes of that row. */
#define ROW_WRITE_INTERVAL_US (500 * MSEC_US)
/* A read or write that is not answered within this time is sent again. */
#define PLATFORM_ANSWER_TIMEOUT_US (3 * SEC_US)
/* An owner not seen as a member by this long after we joined is gone. */
#define UNSEEN_OWNER_TIMEOUT_US (2 * GROUP_FAILURE_TIMEOUT_US)

struct owner_table *
ownership_table(struct node *n, struct group *g)
{
	return owner_table_get(&g->owners, n->setup.dc);
}

static void
read_row(
    struct node *n, struct group *g, struct instant now, struct msg_list *out)
{
	char key[ROW_KEY_LEN];

	if (g->owners_read_pending &&
	    now.mono_us - g->owners_read_sent_us < PLATFORM_ANSWER_TIMEOUT_US)
		return;
	g->owners_read_pending = true;
	g->owners_read_sent_us = now.mono_us;
	snprintf(key, sizeof(key), "owners/%s/%s", g->service, n->setup.dc);
	node_read_row(n, key, false, out);
	TAILQ_LAST(out, msg_list)->u.row.asked_us = now.mono_us;
}

struct owner
ownership_find(struct node *n, struct group *g, const char *dc, const char *id,
    uint64_t stamp_ms, struct instant now)
{
	uint64_t own_incarnation =
	    g->self != NULL ? g->self->record.incarnation : 0;
	struct owner o;

	o = owner_table_find(owner_table_get(&g->owners, dc), n->setup.self,
	    own_incarnation, id, stamp_ms, now);
	if (o.kind == OWNER_IS_UNPROVED && !n->setup.guard->requires_proof)
		o.kind = OWNER_IS_SELF;
	return o;
}

/*
 * A call that we own according to a table that may be outdated waits until
 * the platform has confirmed the row.
 */
void
ownership_await_proof(struct node *n, struct group *g, struct msg *msg,
    struct instant now, struct msg_list *out)
{
	struct msg *m;

	if (n->setup.memory != NULL && account_is_over(n->setup.memory)) {
		serve_refuse_forward(n, msg, REASON_NO_PROOF, now, out);
		return;
	}
	m = msg_create(MSG_FORWARD);
	m->peer = msg->peer;
	m->seq = msg->seq;
	m->u.forward = msg->u.forward;
	memset(&msg->u.forward.request, 0, sizeof(msg->u.forward.request));
	TAILQ_INSERT_TAIL(&n->awaiting_proof, m, entry);
	holder_set(&n->awaiting_memory, n->awaiting_memory.held +
					    m->u.forward.request.headers.len +
					    m->u.forward.request.body.len);
	read_row(n, g, now, out);
}

/* Resume the calls that wait for proof, or refuse them if no answer came. */
static void
resume_waiting_calls(
    struct node *n, bool answered, struct instant now, struct msg_list *out)
{
	struct msg_list list = TAILQ_HEAD_INITIALIZER(list);
	struct msg *m;

	TAILQ_CONCAT(&list, &n->awaiting_proof, entry);
	holder_set(&n->awaiting_memory, 0);
	while ((m = TAILQ_FIRST(&list)) != NULL) {
		TAILQ_REMOVE(&list, m, entry);
		if (answered)
			serve_handle_forward(n, m, now, out);
		else
			serve_refuse_forward(n, m, REASON_NO_PROOF, now, out);
		msg_destroy(m);
	}
}

/* A daemon that others declared gone rejoins as a new incarnation. */
static void
rejoin_if_declared_gone(
    struct node *n, struct group *g, struct instant now, struct msg_list *out)
{
	struct owner_entry *e;

	if (g->self == NULL || n->target.leaving)
		return;
	e = owner_table_entry(
	    ownership_table(n, g), n->setup.self, g->self->record.incarnation);
	if (e == NULL || e->state != OWNER_GONE)
		return;
	n->counters.values[COUNT_REINCARNATIONS]++;
	membership_join(n, g, now, out);
}

void
ownership_handle_row(struct node *n, struct group *g, struct row *row,
    struct instant now, struct msg_list *out)
{
	struct owner_table *t = ownership_table(n, g);

	switch (row->status) {
	case ROW_FOUND:
	case ROW_ABSENT:
		g->owners_read_pending = false;
		owner_table_load(
		    t, row->version, row->value.data, row->value.len);
		t->is_stale = row->version < t->epoch;
		if (!t->is_stale)
			owner_table_prove(t, row->asked_us);
		rejoin_if_declared_gone(n, g, now, out);
		resume_waiting_calls(n, true, now, out);
		break;
	case ROW_WRITTEN:
	case ROW_CONFLICT:
		g->owners_write_pending = false;
		g->owners_read_pending = false;
		read_row(n, g, now, out);
		break;
	default:
		/* The write may have taken effect, so read the row again. */
		g->owners_write_pending = false;
		g->owners_read_pending = false;
		t->is_stale = true;
		resume_waiting_calls(n, false, now, out);
		break;
	}
}

void
ownership_refresh(struct node *n, struct group *g, const char *dc,
    struct instant now, struct msg_list *out)
{
	struct owner_table *t = owner_table_get(&g->owners, dc);
	struct member *m;

	/* A member of that data centre reads the row itself, by its tick. */
	if (g->self != NULL && t == ownership_table(n, g)) {
		t->is_stale = true;
		return;
	}
	RB_FOREACH (m, member_tree, &g->members) {
		if (strcmp(m->record.dc, dc) != 0 || !member_accepts_work(m) ||
		    m->unreachable)
			continue;
		membership_send_ask(n, g, m->record.addr, now, out);
		return;
	}
}

bool
ownership_merge_members(struct group *g, const struct members *r)
{
	struct owner_table *t;

	if (!r->owners_known)
		return false;
	t = owner_table_get(&g->owners, r->owners_dc);
	return (position_version(r->owners_epoch) == 0 ||
		   r->owners_text.len > 0) &&
	       owner_table_load(
		   t, r->owners_epoch, r->owners_text.data, r->owners_text.len);
}

void
ownership_fill_members(struct node *n, struct group *g,
    const struct members_ask *ask, struct members *reply)
{
	struct owner_table *t;

	if (g->self == NULL || !n->setup.ids_outlive_attempts)
		return;
	t = ownership_table(n, g);
	if (!t->known)
		return;
	if (ask->owners_epoch > t->epoch)
		t->is_stale = true;
	name_copy(reply->owners_dc, t->dc, sizeof(reply->owners_dc));
	reply->owners_known = true;
	reply->owners_epoch = t->epoch;
	if (ask->owners_epoch != t->epoch)
		owner_table_format(t, &reply->owners_text);
}

/* End the entries of earlier incarnations at this address. */
static bool
end_past_incarnations(struct node *n, struct group *g, struct owner_table *next,
    struct instant now)
{
	struct owner_entry *e;
	bool changed = false;

	TAILQ_FOREACH (e, &next->entries, entry) {
		if (!addr_equal(e->addr, n->setup.self) ||
		    e->state != OWNER_ACTIVE ||
		    e->incarnation == g->self->record.incarnation)
			continue;
		owner_entry_end(
		    e, OWNER_GONE, now.wall_ms + OWNERS_MAX_CLOCK_SKEW_MS);
		changed = true;
	}
	return changed;
}

static bool
has_active_owner(const struct owner_table *t)
{
	const struct owner_entry *e;

	TAILQ_FOREACH (e, &t->entries, entry) {
		if (e->state == OWNER_ACTIVE)
			return true;
	}
	return false;
}

/*
 * Add our own entry or, when we leave, end it.  Also ends the entries of our
 * earlier incarnations.  True if anything changed.
 */
static bool
update_own_entry(struct node *n, struct group *g, struct owner_table *next,
    struct instant now)
{
	uint64_t incarnation = g->self->record.incarnation,
		 from_ms = now.wall_ms;
	bool changed = end_past_incarnations(n, g, next, now);
	struct owner_entry *e;

	e = owner_table_entry(next, n->setup.self, incarnation);
	if (e == NULL) {
		if (n->target.leaving || n->target.left)
			return changed;
		/* The very first owner has no earlier one to wait for. */
		if (position_version(next->epoch) != 0 ||
		    has_active_owner(next))
			from_ms += OWNERS_CHANGE_DELAY_MS;
		owner_table_add(next, n->setup.self, incarnation, from_ms);
		return true;
	}
	if (e->state != OWNER_ACTIVE)
		return changed;
	if (n->target.left) {
		owner_entry_end(e, OWNER_LEFT, now.wall_ms);
		return true;
	}
	if (n->target.leaving && e->until_ms == 0) {
		owner_entry_end(
		    e, OWNER_ACTIVE, now.wall_ms + OWNERS_CHANGE_DELAY_MS);
		return true;
	}
	return changed;
}

static bool
is_gone(const struct group *g, const struct member *m,
    const struct owner_entry *e, struct instant now)
{
	if (m == NULL)
		return now.mono_us - g->self->first_seen_us >
		       UNSEEN_OWNER_TIMEOUT_US;
	return m->record.state == MEMBER_GONE ||
	       m->record.incarnation > e->incarnation;
}

/* End the entries of members that left or are gone.  True if any did. */
static bool
end_departed_entries(struct node *n, struct group *g, struct owner_table *next,
    struct instant now)
{
	struct owner_entry *e;
	bool changed = false;
	struct member *m;

	TAILQ_FOREACH (e, &next->entries, entry) {
		if (e->state != OWNER_ACTIVE ||
		    addr_equal(e->addr, n->setup.self))
			continue;
		m = group_find(g, e->addr);
		if (m != NULL && m->record.state == MEMBER_LEFT &&
		    m->record.incarnation == e->incarnation)
			owner_entry_end(e, OWNER_LEFT,
			    now.wall_ms + OWNERS_CHANGE_DELAY_MS);
		else if (is_gone(g, m, e, now))
			owner_entry_end(e, OWNER_GONE,
			    now.wall_ms + OWNERS_CHANGE_DELAY_MS +
				OWNERS_MAX_CLOCK_SKEW_MS);
		else
			continue;
		changed = true;
	}
	return changed;
}

/*
 * Only an owner that joined longer ago than failure detection takes may end
 * the entries of others.
 */
static bool
may_end_others(struct node *n, struct group *g, struct instant now)
{
	const struct owner_entry *e = owner_table_entry(
	    ownership_table(n, g), n->setup.self, g->self->record.incarnation);

	return e != NULL && e->state == OWNER_ACTIVE &&
	       now.wall_ms >= e->from_ms &&
	       now.mono_us - g->self->first_seen_us > GROUP_FAILURE_TIMEOUT_US;
}

static void
write_row(struct node *n, struct group *g, struct owner_table *next,
    struct instant now, struct msg_list *out)
{
	struct buffer text = {0};
	char key[ROW_KEY_LEN];

	owner_table_format(next, &text);
	snprintf(key, sizeof(key), "owners/%s/%s", g->service, n->setup.dc);
	node_write_row(n, key, next->epoch, text.data, text.len, out);
	buffer_release(&text);
	g->owners_write_pending = true;
	g->owners_write_sent_us = now.mono_us;
}

static void
update_row(
    struct node *n, struct group *g, struct instant now, struct msg_list *out)
{
	struct owner_table *next = owner_table_copy(ownership_table(n, g));
	bool changed = update_own_entry(n, g, next, now);

	if (may_end_others(n, g, now) && end_departed_entries(n, g, next, now))
		changed = true;
	if (changed) {
		owner_table_prune(next, now.wall_ms);
		write_row(n, g, next, now, out);
	}
	owner_table_destroy(next);
}

bool
ownership_has_ended(struct node *n, struct group *g, struct instant now)
{
	const struct owner_entry *e;

	if (!n->setup.ids_outlive_attempts || g->self == NULL)
		return true;
	e = owner_table_entry(
	    ownership_table(n, g), n->setup.self, g->self->record.incarnation);
	if (e == NULL ||
	    now.wall_ms > n->target.ownership_end_ms + OWNERS_CHANGE_DELAY_MS)
		return true;
	return e->until_ms != 0 && now.wall_ms >= e->until_ms;
}

void
ownership_tick(
    struct node *n, struct group *g, struct instant now, struct msg_list *out)
{
	struct owner_table *t;

	if (!n->setup.ids_outlive_attempts || g->self == NULL)
		return;
	t = ownership_table(n, g);
	if (!t->known || t->is_stale) {
		if (now.mono_us - g->owners_read_sent_us >=
		    ROW_READ_INTERVAL_US)
			read_row(n, g, now, out);
		return;
	}
	if (g->owners_write_pending &&
	    now.mono_us - g->owners_write_sent_us < PLATFORM_ANSWER_TIMEOUT_US)
		return;
	if (g->owners_write_sent_us == 0 ||
	    now.mono_us - g->owners_write_sent_us >= ROW_WRITE_INTERVAL_US)
		update_row(n, g, now, out);
}
