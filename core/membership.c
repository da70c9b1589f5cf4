/*
 * Group membership over the network: heartbeats among the targets of a
 * service, polls by daemons that only call it, and the members' rows in the
 * platform, which are written on joining and leaving.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/hash.h"
#include "core/member_row.h"
#include "core/node_impl.h"

/* Interval between reads of a group's rows. */
#define ROWS_READ_INTERVAL_US (2 * SEC_US)
/*
 * A daemon that only calls a service asks other daemons for its members first,
 * and reads the rows if none has answered after this time.
 */
#define PEERS_ANSWER_WAIT_US (25 * MSEC_US)
/* How long members of a service may not answer until its rows are read. */
#define FIRST_ANSWER_WAIT_US (300 * MSEC_US)
#define MEMBERS_SILENCE_US (2500 * MSEC_US)
/* Interval between polls of a random member by a daemon that only calls. */
#define POLL_INTERVAL_US (1 * SEC_US)
/* Interval between probes of a member whose link broke. */
#define UNREACHABLE_PROBE_INTERVAL_US (500 * MSEC_US)
/* Interval between probes of members that are gone, one at a time. */
#define GONE_PROBE_INTERVAL_US (1 * SEC_US)
/* A group without a local target is dropped after this long without a call. */
#define GROUP_IDLE_TIMEOUT_US (120 * SEC_US)

static int
group_cmp(struct group *a, struct group *b)
{
	return strcmp(a->service, b->service);
}

RB_GENERATE(group_tree, group, entry, group_cmp);

struct group *
membership_find(struct node *n, const char *service)
{
	struct group want;

	name_copy(want.service, service, sizeof(want.service));
	return RB_FIND(group_tree, &n->groups, &want);
}

struct group *
membership_find_or_create(struct node *n, const char *service)
{
	struct group *g = membership_find(n, service);

	if (g != NULL)
		return g;
	g = group_create(service, n->setup.dc);
	RB_INSERT(group_tree, &n->groups, g);
	return g;
}

void
membership_destroy(struct node *n)
{
	struct group *g;

	while ((g = RB_ROOT(&n->groups)) != NULL) {
		RB_REMOVE(group_tree, &n->groups, g);
		group_destroy(g);
	}
}

void
membership_send_ask(struct node *n, struct group *g, struct addr to,
    struct instant now, struct msg_list *out)
{
	struct msg *m = msg_emit(out, MSG_MEMBERS_ASK, to, node_next_seq(n));
	struct members_ask *a = &m->u.members_ask;
	struct member *asked;

	name_copy(a->service, g->service, sizeof(a->service));
	a->digest = group_digest(g);
	a->sent_us = now.mono_us;
	asked = group_find(g, to);
	if (asked != NULL)
		a->owners_epoch =
		    owner_table_get(&g->owners, asked->record.dc)->epoch;
	if (g->self != NULL) {
		a->is_target = true;
		a->self = g->self->record;
	}
}

static void
ask_seeds(
    struct node *n, struct group *g, struct instant now, struct msg_list *out)
{
	int i;

	for (i = 0; i < n->setup.nseeds; i++)
		membership_send_ask(n, g, n->seeds[i], now, out);
	for (i = 0; i < MAX_SEEDS; i++) {
		if (addr_is_set(n->recent_peers[i]))
			membership_send_ask(n, g, n->recent_peers[i], now, out);
	}
}

void
membership_note_peer(struct node *n, struct addr peer)
{
	int i;

	for (i = 0; i < MAX_SEEDS; i++) {
		if (addr_equal(n->recent_peers[i], peer))
			return;
	}
	n->recent_peers[n->recent_peers_added++ % MAX_SEEDS] = peer;
}

void
membership_handle_link_down(struct node *n, struct addr peer)
{
	struct member *m;
	struct group *g;

	RB_FOREACH (g, group_tree, &n->groups) {
		m = group_find(g, peer);
		if (m != NULL)
			m->unreachable = true;
	}
}

static bool
knows_peers(const struct node *n)
{
	return n->setup.nseeds > 0 || n->recent_peers_added > 0;
}

void
membership_read_rows(
    struct node *n, struct group *g, struct instant now, struct msg_list *out)
{
	char key[ROW_KEY_LEN];

	if (g->rows_read_us != 0 &&
	    now.mono_us - g->rows_read_us < ROWS_READ_INTERVAL_US)
		return;
	if (g->peers_asked_us == 0) {
		g->peers_asked_us = now.mono_us;
		ask_seeds(n, g, now, out);
	}
	if (g->self == NULL && knows_peers(n) &&
	    now.mono_us - g->peers_asked_us < PEERS_ANSWER_WAIT_US)
		return;
	if (g->rows_read_us != 0)
		ask_seeds(n, g, now, out);
	g->rows_read_us = now.mono_us;
	snprintf(key, sizeof(key), "member/%s/", g->service);
	node_read_row(n, key, true, out);
}

void
membership_broadcast(
    struct node *n, struct group *g, struct instant now, struct msg_list *out)
{
	struct member *m;

	RB_FOREACH (m, member_tree, &g->members) {
		if (m->is_self || m->record.state >= MEMBER_LEFT)
			continue;
		membership_send_ask(n, g, m->record.addr, now, out);
		m->heartbeat_sent_us = now.mono_us;
	}
}

void
membership_write_own_row(
    struct node *n, struct group *g, struct instant now, struct msg_list *out)
{
	struct member_record *r = &g->self->record;
	char key[ROW_KEY_LEN], value[MEMBER_ROW_VALUE_LEN] = "";

	member_row_key(key, sizeof(key), g->service, r);
	if (r->state < MEMBER_LEFT)
		member_row_format(value, sizeof(value), r);
	own_row_sent(&g->own_row,
	    node_write_row(n, key, ROW_ANY_VERSION, value, strlen(value), out),
	    now);
}

void
membership_remove_earlier_row(struct node *n, const char *service,
    struct instant now, struct msg_list *out)
{
	struct group *g = membership_find_or_create(n, service);
	struct member_record r;
	char key[ROW_KEY_LEN];

	g->last_used_us = now.mono_us;
	memset(&r, 0, sizeof(r));
	r.addr = n->setup.self;
	name_copy(r.dc, n->setup.dc, sizeof(r.dc));
	member_row_key(key, sizeof(key), service, &r);
	node_read_row(n, key, false, out);
}

/*
 * The row that an earlier process left; it is removed only as it was read, as
 * a target may join meanwhile.
 */
static void
handle_earlier_row(struct node *n, const struct row *row, struct msg_list *out)
{
	if (!n->target.present)
		node_write_row(n, row->key, row->version, "", 0, out);
}

static bool
all_rows_are_there(struct node *n)
{
	struct group *g;

	RB_FOREACH (g, group_tree, &n->groups) {
		if (g->own_row.again)
			return false;
	}
	return true;
}

/* The platform has our row as it should be, by a write or as a read shows. */
static void
confirm_own_row(
    struct node *n, struct group *g, bool by_write, struct instant now)
{
	bool again = g->own_row.again;

	if (g->own_row.written)
		return;
	own_row_confirm(&g->own_row, now);
	if (!again)
		return;
	if (by_write) {
		n->counters.values[COUNT_ROWS_WRITTEN_AGAIN]++;
		n->store_return.rows_written_again++;
	}
	if (all_rows_are_there(n))
		n->store_return.rows_there_us = now.mono_us;
}

void
membership_store_returned(struct node *n, struct instant now)
{
	struct group *g;

	RB_FOREACH (g, group_tree, &n->groups)
		own_row_lost(&g->own_row, &n->rng, now);
	own_row_lost(&n->past.row, &n->rng, now);
}

/* Whether the local target is, or last was, a member of the group. */
static bool
is_own_group(const struct node *n, const struct group *g)
{
	return g->self != NULL && strcmp(g->service, n->target.service) == 0;
}

void
membership_replace(
    struct node *n, struct group *g, struct instant now, struct msg_list *out)
{
	if (g->self == NULL || g->self->record.state >= MEMBER_LEFT)
		return;
	/* A member that left has handed over what it knows of ids. */
	g->self->record.state =
	    n->setup.ids_outlive_attempts ? MEMBER_GONE : MEMBER_LEFT;
	g->self->ended_us = now.mono_us;
	membership_broadcast(n, g, now, out);
	membership_write_own_row(n, g, now, out);
}

void
membership_join(
    struct node *n, struct group *g, struct instant now, struct msg_list *out)
{
	struct member_record r;
	struct member *known;

	memset(&r, 0, sizeof(r));
	r.addr = n->setup.self;
	r.incarnation = now.wall_ms;
	if (r.incarnation <= n->highest_known_incarnation)
		r.incarnation = n->highest_known_incarnation + 1;
	if (r.incarnation < n->setup.incarnation)
		r.incarnation = n->setup.incarnation;
	known = group_find(g, n->setup.self);
	if (known != NULL && r.incarnation <= known->record.incarnation)
		r.incarnation = known->record.incarnation + 1;
	r.slots = n->target.slots;
	r.state = MEMBER_ALIVE;
	name_copy(r.dc, n->setup.dc, sizeof(r.dc));
	r.start = local_target_start_tag(n);
	if (g->self != NULL) {
		g->self->is_self = false;
		g->self->record.state = MEMBER_GONE;
		g->self->ended_us = now.mono_us;
	}
	group_join(g, &r, now);
	n->own_incarnations[n->own_incarnations_added++ %
			    MAX_OWN_INCARNATIONS] = r.incarnation;
	membership_write_own_row(n, g, now, out);
	membership_read_rows(n, g, now, out);
	membership_broadcast(n, g, now, out);
}

void
membership_leave(struct node *n, struct instant now, struct msg_list *out)
{
	struct group *g;

	if (!n->target.present || n->target.leaving)
		return;
	n->target.leaving = true;
	n->target.ownership_end_ms = now.wall_ms + OWNERS_CHANGE_DELAY_MS;
	if (!n->setup.ids_outlive_attempts)
		serve_refuse_queued(n, REASON_LEAVING, now, out);
	g = membership_find(n, n->target.service);
	if (g == NULL || g->self == NULL)
		return;
	g->self->record.state = MEMBER_LEAVING;
	membership_broadcast(n, g, now, out);
}

void
membership_drain(struct node *n, struct instant now, struct msg_list *out)
{
	if (!n->draining)
		n->drain_start_us = now.mono_us;
	n->draining = true;
	membership_leave(n, now, out);
}

static void
copy_records(struct members *reply, struct group *g)
{
	struct member *m;
	int i = 0;

	reply->records = xcalloc(g->nmembers + 1, sizeof(*reply->records));
	RB_FOREACH (m, member_tree, &g->members)
		reply->records[i++] = m->record;
	reply->count = i;
}

void
membership_handle_members_ask(
    struct node *n, struct msg *msg, struct instant now, struct msg_list *out)
{
	struct members_ask *a = &msg->u.members_ask;
	struct group *g = membership_find(n, a->service);
	struct members *reply;
	struct msg *m;

	if (g == NULL) {
		if (!a->is_target)
			return;
		g = membership_find_or_create(n, a->service);
		g->last_used_us = now.mono_us;
	}
	if (a->is_target) {
		a->self.addr = msg->peer;
		if (group_merge(g, &a->self, now))
			entry_resume_waiting(n, now, out);
	}
	m = msg_emit(out, MSG_MEMBERS, msg->peer, msg->seq);
	reply = &m->u.members;
	name_copy(reply->service, a->service, sizeof(reply->service));
	reply->sent_us = a->sent_us;
	if (a->is_target)
		group_record_heartbeat(g, msg->peer, a->self.incarnation, now);
	ownership_fill_members(n, g, a, reply);
	if (g->self != NULL && n->target.queue != NULL) {
		reply->pressure_permille = n->target.reported_pressure_permille;
		reply->threshold = shed_threshold(n->target.queue);
		reply->load_permille =
		    (n->target.running + shed_count(n->target.queue)) * 1000 /
		    (limit_current(&n->target.limit) + 1);
	}
	if (group_digest(g) != a->digest)
		copy_records(reply, g);
}

/*
 * Whether a record shows that the local target's incarnation was declared
 * gone, or that others know a later one.  Only a new incarnation may own ids
 * again.
 */
static bool
needs_new_incarnation(
    struct node *n, struct group *g, const struct member_record *r)
{
	if (!is_own_group(n, g) || !addr_equal(r->addr, n->setup.self) ||
	    r->incarnation < g->self->record.incarnation)
		return false;
	/* The wall clock went back since an earlier start of this daemon. */
	if (r->incarnation > g->self->record.incarnation) {
		n->highest_known_incarnation = r->incarnation;
		return true;
	}
	return r->state == MEMBER_GONE;
}

/*
 * Whether a record shows that the local target's start has ended: an earlier
 * process of this daemon told the others so.
 */
static bool
shows_ended_start(
    struct node *n, struct group *g, const struct member_record *r)
{
	return is_own_group(n, g) && r->start_ended && r->start != 0 &&
	       addr_equal(r->addr, n->setup.self) &&
	       r->start == g->self->record.start &&
	       !g->self->record.start_ended;
}

void
membership_handle_members(
    struct node *n, struct msg *msg, struct instant now, struct msg_list *out)
{
	struct members *r = &msg->u.members;
	struct group *g = membership_find(n, r->service);
	bool must_rejoin = false, changed = false, has_ended = false;
	struct member *m;
	int i;

	if (g == NULL)
		return;
	for (i = 0; i < r->count; i++) {
		has_ended |= shows_ended_start(n, g, &r->records[i]);
		if (needs_new_incarnation(n, g, &r->records[i]))
			must_rejoin = true;
		else if (group_merge(g, &r->records[i], now))
			changed = true;
	}
	if (ownership_merge_members(g, r))
		changed = true;
	m = group_find(g, msg->peer);
	if (m != NULL) {
		g->member_heard_us = now.mono_us;
		m->last_heard_us = now.mono_us;
		m->unreachable = false;
		m->threshold = r->threshold;
		m->pressure_permille = r->pressure_permille;
		m->pressure_heard_us = now.mono_us;
		m->load_permille = r->load_permille;
	}
	if (has_ended)
		local_target_has_ended(n, now, out);
	if (must_rejoin && !n->target.leaving) {
		n->counters.values[COUNT_REINCARNATIONS]++;
		membership_join(n, g, now, out);
	}
	if (changed)
		entry_resume_waiting(n, now, out);
}

static void
merge_member_row(struct node *n, struct group *g, const char *key,
    const char *value, struct instant now)
{
	struct member_record r;
	const char *fault;

	fault = member_row_parse(key, value, g->service, now.wall_ms, &r);
	if (fault != NULL)
		node_record_odd_row(n, key, fault);
	else if (!addr_equal(r.addr, n->setup.self))
		group_merge(g, &r, now);
	else if (is_own_group(n, g) && !n->target.left) {
		if (r.incarnation > g->self->record.incarnation)
			n->highest_known_incarnation = r.incarnation;
		else if (r.incarnation == g->self->record.incarnation)
			confirm_own_row(n, g, false, now);
	}
}

/* Split a "key version value" line of a group's rows, and merge the row. */
static void
merge_member_line(
    struct node *n, struct group *g, char *line, struct instant now)
{
	char *key = strsep(&line, " "), *version = strsep(&line, " ");

	merge_member_row(
	    n, g, key, version != NULL && line != NULL ? line : "", now);
}

static struct group *
group_of_key(struct node *n, const char *key)
{
	char service[NAME_LEN];
	const char *p = strchr(key, '/'), *end;

	if (p == NULL)
		return NULL;
	end = strchr(++p, '/');
	if (end == NULL || (size_t)(end - p) >= sizeof(service))
		return NULL;
	memcpy(service, p, end - p);
	service[end - p] = '\0';
	return membership_find(n, service);
}

void
membership_handle_row(
    struct node *n, struct msg *msg, struct instant now, struct msg_list *out)
{
	struct row *row = &msg->u.row;
	struct group *g = group_of_key(n, row->key);
	char *rows, *line;

	if (g == NULL)
		return;
	if (strncmp(row->key, "owners/", 7) == 0) {
		ownership_handle_row(n, g, row, now, out);
		return;
	}
	if (row->status == ROW_WRITTEN) {
		if (own_row_answers(&g->own_row, msg->seq))
			confirm_own_row(n, g, true, now);
		return;
	}
	if (row->status != ROW_FOUND)
		return;
	if (!row->key_is_prefix) {
		handle_earlier_row(n, row, out);
		return;
	}
	rows = row->value.data;
	while ((line = strsep(&rows, "\n")) != NULL) {
		if (*line != '\0')
			merge_member_line(n, g, line, now);
	}
	if (is_own_group(n, g) && !n->target.left &&
	    n->highest_known_incarnation > g->self->record.incarnation)
		membership_join(n, g, now, out);
	else if (g->self != NULL)
		membership_broadcast(n, g, now, out);
	entry_resume_waiting(n, now, out);
}

static void
send_heartbeats(
    struct node *n, struct group *g, struct instant now, struct msg_list *out)
{
	struct member *m;
	uint64_t interval_us;

	RB_FOREACH (m, member_tree, &g->members) {
		if (m->is_self || m->record.state >= MEMBER_LEFT)
			continue;
		interval_us = strcmp(m->record.dc, g->dc) == 0
				  ? GROUP_HEARTBEAT_INTERVAL_US
				  : GROUP_REMOTE_HEARTBEAT_INTERVAL_US;
		if (m->heartbeat_sent_us != 0 &&
		    now.mono_us - m->heartbeat_sent_us < interval_us)
			continue;
		m->heartbeat_sent_us = now.mono_us;
		membership_send_ask(n, g, m->record.addr, now, out);
	}
}

/* A broken link may have lost replies, so its member is asked again. */
static void
probe_unreachable(
    struct node *n, struct group *g, struct instant now, struct msg_list *out)
{
	struct member *m;

	RB_FOREACH (m, member_tree, &g->members) {
		if (m->is_self || !m->unreachable ||
		    m->record.state >= MEMBER_LEFT ||
		    now.mono_us - m->heartbeat_sent_us <
			UNREACHABLE_PROBE_INTERVAL_US)
			continue;
		m->heartbeat_sent_us = now.mono_us;
		membership_send_ask(n, g, m->record.addr, now, out);
	}
}

/*
 * A member that was declared gone may have been paused or cut off, and does
 * not know of it.  From the answer to its probe, or from that to its own
 * heartbeat afterwards, each side learns that the other one took it for gone,
 * and joins again under a new incarnation.
 */
static void
probe_gone(
    struct node *n, struct group *g, struct instant now, struct msg_list *out)
{
	struct member *m, *pick = NULL;
	uint64_t seen = 0;

	if (now.mono_us - g->gone_probed_us < GONE_PROBE_INTERVAL_US)
		return;
	g->gone_probed_us = now.mono_us;
	RB_FOREACH (m, member_tree, &g->members) {
		if (m->record.state != MEMBER_GONE || m->is_self ||
		    group_find(g, m->record.addr) != m)
			continue;
		if (rng_below(&n->rng, ++seen) == 0)
			pick = m;
	}
	if (pick != NULL)
		membership_send_ask(n, g, pick->record.addr, now, out);
}

/*
 * What peers know may be outdated: if no member answers, the rows are read.
 */
static bool
members_are_silent(const struct group *g, struct instant now)
{
	if (g->member_heard_us == 0)
		return g->peers_asked_us != 0 &&
		       now.mono_us - g->peers_asked_us > FIRST_ANSWER_WAIT_US;
	return now.mono_us - g->member_heard_us > MEMBERS_SILENCE_US;
}

/* A daemon that only calls a service polls a random member of it. */
static void
poll_random_member(
    struct node *n, struct group *g, struct instant now, struct msg_list *out)
{
	struct member *m, *pick = NULL;
	uint64_t seen = 0;

	if (members_are_silent(g, now))
		membership_read_rows(n, g, now, out);
	if (g->last_poll_us != 0 &&
	    now.mono_us - g->last_poll_us < POLL_INTERVAL_US)
		return;
	g->last_poll_us = now.mono_us;
	RB_FOREACH (m, member_tree, &g->members) {
		if (m->record.state >= MEMBER_LEFT)
			continue;
		if (rng_below(&n->rng, ++seen) == 0)
			pick = m;
	}
	if (pick != NULL)
		membership_send_ask(n, g, pick->record.addr, now, out);
	else
		membership_read_rows(n, g, now, out);
}

/* Restart the failure timers of all members. */
static void
refresh_heard_times(struct group *g, struct instant now)
{
	struct member *m;

	RB_FOREACH (m, member_tree, &g->members)
		m->last_heard_us = now.mono_us;
}

static void
tick_own_group(
    struct node *n, struct group *g, struct instant now, struct msg_list *out)
{
	if (n->target.left)
		return;
	/* Who stood still has heard nobody, and may not blame the others. */
	if (n->last_tick_us != 0 &&
	    now.mono_us - n->last_tick_us >= SUSPEND_GAP_US)
		refresh_heard_times(g, now);
	if (group_tick(g, now))
		n->counters.values[COUNT_MEMBERS_GONE]++;
	send_heartbeats(n, g, now, out);
	probe_gone(n, g, now, out);
	ownership_tick(n, g, now, out);
	leave_try_finish(n, g, now, out);
}

static void
tick_own_row(
    struct node *n, struct group *g, struct instant now, struct msg_list *out)
{
	if (g->self == NULL || g->self->record.state == MEMBER_LEAVING ||
	    !own_row_due(&g->own_row, now))
		return;
	membership_write_own_row(n, g, now, out);
	/* Who could not reach the platform does not know its other rows. */
	if (g->self->record.state < MEMBER_LEFT && !g->own_row.again)
		membership_read_rows(n, g, now, out);
}

void
membership_tick(struct node *n, struct instant now, struct msg_list *out)
{
	struct group *g, *next;

	local_target_tick(n, now, out);
	target_past_tick(n, now, out);
	RB_FOREACH_SAFE (g, group_tree, &n->groups, next) {
		probe_unreachable(n, g, now, out);
		tick_own_row(n, g, now, out);
		if (is_own_group(n, g) &&
		    (!n->target.left || n->setup.ids_outlive_attempts)) {
			tick_own_group(n, g, now, out);
			continue;
		}
		if (g->self == NULL &&
		    now.mono_us - g->last_used_us > GROUP_IDLE_TIMEOUT_US) {
			RB_REMOVE(group_tree, &n->groups, g);
			group_destroy(g);
			continue;
		}
		/*
		 * Most members are heard of from others only, so that their own
		 * silence is no sign of failure.
		 */
		refresh_heard_times(g, now);
		group_tick(g, now);
		poll_random_member(n, g, now, out);
	}
}
