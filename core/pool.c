/*
 * The region's pool of rates: the election of its root, the requests that
 * the root of a data centre's tree sends to it, and its grants.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/hash.h"
#include "core/node_impl.h"
#include "core/position.h"

/*
 * A root that is silent for longer than this is replaced.  Shares last longer
 * (QUOTA_SHARE_TTL_US), so nothing is lost by waiting.
 */
#define ROOT_SILENT_TIMEOUT_US (4 * SEC_US)
/* A root that has nothing to answer is asked all the same after this time. */
#define ROOT_CONTACT_INTERVAL_US (1 * SEC_US)
#define CLAIM_RETRY_INTERVAL_US (2 * SEC_US) /* of claims to be the root */
#define ROOT_READ_INTERVAL_US (2 * SEC_US) /* of reads without a feed */
/* How long the platform may hold a read until the row changes. */
#define ROOT_LONG_POLL_MS 10000
#define NO_ROOT_READ_INTERVAL_US (500 * MSEC_US) /* while no root is known */

void
pool_init(struct pool *p)
{
	memset(p, 0, sizeof(*p));
	p->quota = quota_create(&quota_policy_pool);
	TAILQ_INIT(&p->members);
}

static void
forget_members(struct pool *p)
{
	struct pool_member *m;

	while ((m = TAILQ_FIRST(&p->members)) != NULL) {
		TAILQ_REMOVE(&p->members, m, entry);
		free(m);
	}
	p->nmembers = 0;
}

void
pool_release(struct pool *p)
{
	forget_members(p);
	quota_destroy(p->quota);
}

static struct pool_member *
get_member(struct pool *p, const char *dc)
{
	struct pool_member *m;

	TAILQ_FOREACH (m, &p->members, entry) {
		if (strcmp(m->dc, dc) == 0)
			return m;
	}
	m = xcalloc(1, sizeof(*m));
	name_copy(m->dc, dc, sizeof(m->dc));
	TAILQ_INSERT_TAIL(&p->members, m, entry);
	p->nmembers++;
	return m;
}

struct pool_member *
pool_update_member(
    struct pool *p, const char *dc, uint64_t epoch, struct addr addr)
{
	struct pool_member *m = get_member(p, dc);

	if (epoch < m->epoch)
		return NULL;
	if (epoch > m->epoch)
		m->has_reported = false;
	m->epoch = epoch;
	m->addr = addr;
	return m;
}

bool
pool_all_reported(const struct pool *p, int dcs)
{
	const struct pool_member *m;
	int reported = 0;

	TAILQ_FOREACH (m, &p->members, entry)
		reported += m->has_reported;
	return dcs > 0 && reported >= dcs;
}

struct addr
pool_charge_key(const char *dc)
{
	uint64_t h = hash_string(dc);
	struct addr key = {(uint32_t)h, (uint16_t)(h >> 32)};

	return key;
}

bool
pool_is_used(const struct node *n)
{
	return n->setup.region[0] != '\0';
}

/* Whether this daemon represents its data centre in the pool. */
static bool
is_dc_root(const struct node *n)
{
	return pool_is_used(n) && n->tree.is_root;
}

void
pool_set_total(struct node *n, const char *org, double rate, double burst)
{
	quota_set_total(n->pool.quota, org, rate, burst);
}

/* Report all that is held again, since the pool may have another root. */
static void
report_again(struct node *n)
{
	n->pool.has_reported = false;
	quota_reparent(n->quota);
}

static void
become_root(struct node *n, struct instant now)
{
	struct pool *p = &n->pool;
	bool is_first_root;

	if (p->is_root)
		return;
	/* Before the row's first version no other root can have granted. */
	is_first_root = p->claim_sent_us != 0 &&
			position_version(p->claimed_row_version) == 0 &&
			store_is_first_version(n, p->claimed_row_version);
	p->is_root = true;
	p->root_lost = false;
	forget_members(p);
	quota_set_children(p->quota, n->setup.region_dcs);
	quota_set_root(p->quota, true,
	    is_first_root || p->epoch == p->last_root_epoch
		? 0
		: now.mono_us + QUOTA_SETTLE_PERIOD_US);
	p->last_root_epoch = p->epoch;
}

static void
step_down(struct node *n)
{
	if (!n->pool.is_root)
		return;
	n->pool.is_root = false;
	quota_set_root(n->pool.quota, false, 0);
}

/* See tell_predecessor() in control.c. */
static void
tell_predecessor(struct node *n, struct addr predecessor, struct msg_list *out)
{
	struct msg *m;

	if (!addr_is_set(predecessor) || addr_equal(predecessor, n->setup.self))
		return;
	m = msg_emit(out, MSG_SHARE, predecessor, node_next_seq(n));
	m->u.share.for_pool = true;
	m->u.share.epoch = n->pool.epoch;
}

void
pool_yield_root(
    struct node *n, struct addr successor, uint64_t epoch, struct instant now)
{
	struct pool *p = &n->pool;

	step_down(n);
	p->epoch = p->row_version = epoch;
	p->root = successor;
	p->root_lost = false;
	p->root_heard_us = now.mono_us;
	if (is_dc_root(n))
		report_again(n);
}

static void
handle_root_row(
    struct node *n, struct row *row, struct instant now, struct msg_list *out)
{
	struct pool *p = &n->pool;
	struct addr root, old_root = p->root;
	uint64_t incarnation;
	bool own;

	if (row->version < p->row_version)
		return;
	p->row_version = row->version;
	if (row->status != ROW_FOUND ||
	    !tree_parse_root(row->value.data, &root, &incarnation)) {
		if (row->status == ROW_FOUND)
			node_record_odd_row(n, row->key, "root");
		else
			step_down(n); /* a copy came back that has no root */
		p->root_lost = true;
		return;
	}
	own = addr_equal(root, n->setup.self);
	if (own && incarnation != n->setup.incarnation) {
		/* This daemon was the root before it restarted. */
		p->root_lost = true;
		return;
	}
	if (row->version == p->epoch && addr_equal(root, p->root))
		return;
	p->epoch = row->version;
	p->root = root;
	p->root_lost = false;
	p->root_heard_us = now.mono_us;
	if (own) {
		become_root(n, now);
		tell_predecessor(n, old_root, out);
	} else {
		step_down(n);
	}
	if (is_dc_root(n))
		report_again(n);
}

static void
root_key(struct node *n, char *key, size_t len)
{
	snprintf(key, len, "pool/%s", n->setup.region);
}

void
pool_handle_row(
    struct node *n, struct row *row, struct instant now, struct msg_list *out)
{
	struct pool *p = &n->pool;
	bool handover = p->handover_pending;

	if (row->status != ROW_WRITTEN && row->status != ROW_CONFLICT)
		row_watch_answered(&p->root_row, row);
	if (row->status == ROW_FOUND || row->status == ROW_ABSENT) {
		handle_root_row(n, row, now, out);
		return;
	}
	if (row->status == ROW_UNCHANGED || row->status == ROW_HISTORY_GONE)
		return;
	p->handover_pending = false;
	if (row->status == ROW_UNKNOWN)
		return;
	if (row->status == ROW_WRITTEN && handover)
		step_down(n);
	else if (control_claim_shows_row(n, row, p->claim_sent_us, now)) {
		handle_root_row(n, row, now, out);
		return;
	}
	node_read_row(n, row->key, false, out);
}

void
pool_handle_link_down(struct node *n, struct addr peer, bool may_have_sent)
{
	if (!pool_is_used(n) || !addr_equal(peer, n->pool.root))
		return;
	if (is_dc_root(n))
		report_again(n);
	if (!may_have_sent)
		n->pool.root_lost = true; /* nothing listens there */
}

void
pool_tree_root_changed(struct node *n)
{
	report_again(n);
	row_watch_reset(&n->pool.root_row);
}

/*
 * Send a request to the pool's root.  A message that is not full carries all
 * that was still to be reported, so it completes the report.
 */
static void
send_request(struct node *n, struct instant now, struct msg_list *out)
{
	struct pool *p = &n->pool;
	struct msg *m;
	int count;

	if (!addr_is_set(p->root))
		return;
	m = msg_create(MSG_SHARE_ASK);
	count = quota_make_request(n->quota, now, &m->u.share);
	if (count == 0 && p->has_reported &&
	    now.mono_us - p->root_heard_us < ROOT_CONTACT_INTERVAL_US) {
		msg_destroy(m);
		return;
	}
	m->peer = p->root;
	m->seq = node_next_seq(n);
	m->u.share.for_pool = true;
	m->u.share.epoch = n->tree.epoch;
	m->u.share.incarnation = n->setup.incarnation;
	name_copy(m->u.share.dc, n->setup.dc, sizeof(m->u.share.dc));
	if (count < MSG_MAX_SHARES)
		p->has_reported = m->u.share.complete = true;
	n->counters.values[COUNT_SHARE_ASKS]++;
	TAILQ_INSERT_TAIL(out, m, entry);
}

void
pool_request_shares(struct node *n, struct instant now, struct msg_list *out)
{
	if (is_dc_root(n))
		send_request(n, now, out);
}

static struct pool_member *
find_member_by_charge(struct pool *p, struct addr charge_key)
{
	struct pool_member *m;

	TAILQ_FOREACH (m, &p->members, entry) {
		if (addr_equal(pool_charge_key(m->dc), charge_key))
			return m;
	}
	return NULL;
}

void
pool_grant_waiting(struct node *n, struct instant now, struct msg_list *out)
{
	struct pool *p = &n->pool;
	struct pool_member *member;
	struct share grant;
	struct addr charge_key;
	struct msg *m;

	if (!p->is_root)
		return;
	while (quota_grant_waiting(p->quota, now, &charge_key, &grant) ||
	       quota_recall(p->quota, now, &charge_key, &grant)) {
		member = find_member_by_charge(p, charge_key);
		if (member == NULL)
			continue;
		m = msg_emit(out, MSG_SHARE, member->addr, node_next_seq(n));
		m->u.share = grant;
		m->u.share.for_pool = true;
		m->u.share.epoch = p->epoch;
	}
}

void
pool_handle_share_ask(
    struct node *n, struct msg *msg, struct instant now, struct msg_list *out)
{
	struct share *s = &msg->u.share;
	struct pool *p = &n->pool;
	struct pool_member *member;
	struct msg *m;

	if (!p->is_root)
		return;
	s->epoch = store_peer_epoch(n, s->epoch);
	member = pool_update_member(p, s->dc, s->epoch, msg->peer);
	if (member == NULL)
		return;
	member->incarnation = s->incarnation;
	/* The share is the data centre's, whichever daemon represents it. */
	s->incarnation = 0;
	m = msg_emit(out, MSG_SHARE, msg->peer, msg->seq);
	quota_grant(p->quota, pool_charge_key(s->dc), s, now, &m->u.share);
	m->u.share.for_pool = true;
	m->u.share.epoch = p->epoch;
	if (s->complete) {
		member->has_reported = true;
		if (pool_all_reported(p, n->setup.region_dcs))
			quota_settle_until(p->quota, 0);
	}
	/* The request may have given back tokens that others wait for. */
	pool_grant_waiting(n, now, out);
}

void
pool_handle_share(struct node *n, const struct share *s, struct instant now)
{
	n->pool.root_heard_us = now.mono_us;
	/* What a root answers itself does not tell whose row it is. */
	if (!n->pool.is_root)
		n->pool.root_lost = false;
	quota_apply_grant(n->quota, s, now);
}

static void
write_root(struct node *n, uint64_t version, struct addr root,
    uint64_t incarnation, struct msg_list *out)
{
	char key[ROW_KEY_LEN], value[TREE_ROOT_LEN];

	root_key(n, key, sizeof(key));
	tree_format_root(value, root, incarnation);
	node_write_row(n, key, version, value, strlen(value), out);
}

static void
claim_root(struct node *n, struct instant now, struct msg_list *out)
{
	struct pool *p = &n->pool;

	if (p->claim_sent_us != 0 &&
	    now.mono_us - p->claim_sent_us < CLAIM_RETRY_INTERVAL_US)
		return;
	p->claim_sent_us = now.mono_us;
	p->claimed_row_version = p->row_version;
	write_root(n, p->row_version, n->setup.self, n->setup.incarnation, out);
}

/* A root that drains names another member as its successor in the row. */
static void
hand_over_root(struct node *n, struct msg_list *out)
{
	struct pool *p = &n->pool;
	struct pool_member *m;

	if (p->handover_pending || !store_is_of_present_era(n, p->epoch))
		return;
	TAILQ_FOREACH (m, &p->members, entry) {
		if (!addr_equal(m->addr, n->setup.self))
			break;
	}
	if (m == NULL)
		return;
	p->handover_pending = true;
	write_root(n, p->epoch, m->addr, m->incarnation, out);
}

static void
read_root_row(struct node *n, struct instant now, struct msg_list *out)
{
	struct pool *p = &n->pool;
	bool known = addr_is_set(p->root) && !p->root_lost;
	uint64_t interval_us =
	    known ? ROOT_READ_INTERVAL_US : NO_ROOT_READ_INTERVAL_US;
	char key[ROW_KEY_LEN];
	struct row *request;

	/*
	 * A root that was replaced no longer answers, and is then found lost by
	 * keep_root_contact().  Until then there is no need to read.
	 */
	if (known && !p->is_root && p->root_row.asked_us != 0)
		return;
	if (!p->is_root)
		p->root_row.feed_position = 0;
	if (!row_watch_due(&p->root_row, now, interval_us))
		return;
	root_key(n, key, sizeof(key));
	request = node_read_row(n, key, false, out);
	row_watch_ask(&p->root_row, request, ROOT_LONG_POLL_MS, now);
}

/* Check that the root answers, and send it the periodic request. */
static void
keep_root_contact(struct node *n, struct instant now, struct msg_list *out)
{
	struct pool *p = &n->pool;

	if (!addr_is_set(p->root))
		return;
	if (now.mono_us - p->root_heard_us > ROOT_SILENT_TIMEOUT_US)
		p->root_lost = true;
	if (now.mono_us - p->request_us < TREE_ASK_INTERVAL_US)
		return;
	p->request_us = now.mono_us;
	send_request(n, now, out);
}

/*
 * Extend what is held while neither the pool's root nor the platform can be
 * reached.
 */
static void
extend_shares_when_isolated(struct node *n, struct instant now)
{
	const struct tree *t = &n->tree;

	if (n->pool.root_lost &&
	    t->platform_failed_us > t->platform_answered_us &&
	    now.mono_us - t->platform_failed_us < PLATFORM_FAILURE_MAX_AGE_US)
		quota_extend_shares(n->quota, now);
}

void
pool_tick(struct node *n, struct instant now, struct msg_list *out)
{
	struct pool *p = &n->pool;

	if (!pool_is_used(n))
		return;
	if (node_stood_still(n, now))
		p->root_heard_us = now.mono_us;
	/* A root that was suspended may have been replaced meanwhile. */
	if (p->is_root && n->last_tick_us != 0 &&
	    now.mono_us - n->last_tick_us >= SUSPEND_GAP_US) {
		step_down(n);
		p->epoch = p->row_version = 0;
		row_watch_reset(&p->root_row);
	}
	if (!p->is_root && !is_dc_root(n))
		return;
	read_root_row(n, now, out);
	if (p->is_root) {
		quota_tick(p->quota, now);
		if (n->draining)
			hand_over_root(n, out);
	}
	if (!is_dc_root(n))
		return;
	keep_root_contact(n, now, out);
	if (p->root_lost &&
	    n->tree.platform_answered_us > n->tree.platform_failed_us &&
	    !n->draining)
		claim_root(n, now, out);
	extend_shares_when_isolated(n, now);
}
