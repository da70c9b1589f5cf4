/*
 * Messages of the tree of a data centre's daemons (core/tree.h): election of
 * the root, its exchange with parents and children, and the shares of the
 * organisations' rates.  What they say of the configuration is in confsync.c.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core/hash.h"
#include "core/node_impl.h"
#include "core/position.h"

/* Interval between attempts to become the root. */
#define CLAIM_RETRY_INTERVAL_US (2 * SEC_US)
/* How long the platform may hold a read until the root's row changes. */
#define ROOT_LONG_POLL_MS 10000
/* Interval at which the root checks its row where there is no feed. */
#define ROOT_CHECK_INTERVAL_US (2 * SEC_US)
/*
 * A successful claim counts only if its answer comes within this time.  Later
 * than that, another daemon may have found us silent and replaced us.
 */
#define CLAIM_ANSWER_MAX_AGE_US (1 * SEC_US)

static void
root_key(struct node *n, char *key, size_t len)
{
	snprintf(key, len, "control/%s", n->setup.dc);
}

static void
become_root(struct node *n, struct instant now)
{
	struct tree *t = &n->tree;
	struct addr none = {0, 0};
	bool is_first_root, must_settle;

	if (t->is_root)
		return;
	/* Nobody can have granted shares before the row's first version. */
	is_first_root = store_is_first_version(n, t->epoch) ||
			(t->claim_sent_us != 0 &&
			    position_version(t->claimed_row_version) == 0 &&
			    store_is_first_version(n, t->claimed_row_version));
	must_settle = !is_first_root && t->epoch != t->last_root_epoch;
	t->is_root = true;
	t->root_lost = false;
	tree_set_parent(t, none, now.mono_us);
	confsync_set_totals(n);
	t->last_root_epoch = t->epoch;
	if (pool_is_used(n)) {
		quota_settle_until(n->quota,
		    must_settle ? now.mono_us + QUOTA_SETTLE_PERIOD_US : 0);
		pool_tree_root_changed(n);
		return;
	}
	quota_set_root(n->quota, true,
	    must_settle ? now.mono_us + QUOTA_SETTLE_PERIOD_US : 0);
}

static void
step_down(struct node *n)
{
	if (!n->tree.is_root)
		return;
	n->tree.is_root = false;
	if (pool_is_used(n))
		quota_drop_shares(n->quota);
	else
		quota_set_root(n->quota, false, 0);
}

static void
reattach_to_root(struct node *n, struct instant now)
{
	struct tree *t = &n->tree;

	t->redirects = 0;
	quota_reparent(n->quota);
	tree_set_parent(t, t->root, now.mono_us);
}

/*
 * Tell the root before this one where it belongs now.  It may be unable to read
 * its row, and has no other sign that it was replaced.
 */
static void
tell_predecessor(struct node *n, struct addr predecessor, struct instant now,
    struct msg_list *out)
{
	struct config_id ours = confstate_id(&n->conf);
	struct config *c;

	if (!addr_is_set(predecessor) || addr_equal(predecessor, n->setup.self))
		return;
	c = confsync_send(n, predecessor, &ours, NULL, now, out);
	c->redirect = n->setup.self;
}

/* Whether the message is that of tell_predecessor(). */
static bool
is_from_successor(
    const struct node *n, const struct config *c, struct addr from)
{
	return n->tree.is_root && addr_equal(c->redirect, from) &&
	       c->epoch > n->tree.epoch;
}

static void
yield_root(
    struct node *n, struct addr successor, uint64_t epoch, struct instant now)
{
	struct tree *t = &n->tree;

	step_down(n);
	t->epoch = t->row_version = epoch;
	t->root = successor;
	t->root_lost = false;
	reattach_to_root(n, now);
}

static void
handle_root_row(
    struct node *n, struct row *row, struct instant now, struct msg_list *out)
{
	struct tree *t = &n->tree;
	struct addr root, old_root = t->root;
	uint64_t incarnation;
	bool own;

	if (row->version < t->row_version)
		return;
	t->row_version = row->version;
	if (row->status != ROW_FOUND ||
	    !tree_parse_root(row->value.data, &root, &incarnation)) {
		if (row->status == ROW_FOUND)
			node_record_odd_row(n, row->key, "root");
		else
			step_down(n); /* a copy came back that has no root */
		t->root_lost = true;
		return;
	}
	own = addr_equal(root, n->setup.self);
	if (own && incarnation != n->setup.incarnation) {
		/* An earlier incarnation of this daemon was the root. */
		t->root_lost = true;
		return;
	}
	if (row->version == t->epoch && addr_equal(root, t->root))
		return;
	t->epoch = row->version;
	t->root = root;
	t->root_lost = false;
	if (own) {
		become_root(n, now);
		tell_predecessor(n, old_root, now, out);
		return;
	}
	step_down(n);
	/* A daemon whose parent is not the old root keeps it. */
	if (!t->accepted || addr_equal(t->parent, old_root))
		reattach_to_root(n, now);
}

/* The row names our successor, which is the root from now on. */
static void
handle_root_handover(
    struct node *n, struct row *row, struct instant now, struct msg_list *out)
{
	struct tree *t = &n->tree;
	struct tree_child *c;

	t->handover_pending = false;
	step_down(n);
	t->epoch = t->row_version = row->version;
	/* The new epoch in these messages makes the children read the row. */
	TAILQ_FOREACH (c, &t->children, entry)
		confsync_send(
		    n, c->addr, &c->config, &c->config_sent, now, out);
	node_read_row(n, row->key, false, out);
}

/*
 * Turn the answer to a claim into the row that it shows; false if the row has
 * to be read.
 */
bool
control_claim_shows_row(const struct node *n, struct row *row,
    uint64_t claim_sent_us, struct instant now)
{
	char value[TREE_ROOT_LEN];

	if (row->status == ROW_WRITTEN) {
		if (now.mono_us - claim_sent_us > CLAIM_ANSWER_MAX_AGE_US)
			return false;
		tree_format_root(value, n->setup.self, n->setup.incarnation);
		buffer_set(&row->value, value, strlen(value));
	} else if (row->value.len == 0) {
		return false;
	}
	row->status = ROW_FOUND;
	return true;
}

static void
handle_control_row(
    struct node *n, struct row *row, struct instant now, struct msg_list *out)
{
	struct tree *t = &n->tree;
	bool handover = t->handover_pending;

	if (row->status == ROW_UNCHANGED)
		return;
	if (row->status == ROW_FOUND || row->status == ROW_ABSENT) {
		handle_root_row(n, row, now, out);
		return;
	}
	if (row->status == ROW_WRITTEN && handover) {
		handle_root_handover(n, row, now, out);
		return;
	}
	t->handover_pending = false;
	if (control_claim_shows_row(n, row, t->claim_sent_us, now))
		handle_root_row(n, row, now, out);
	else
		node_read_row(n, row->key, false, out);
}

void
control_handle_row(
    struct node *n, struct msg *msg, struct instant now, struct msg_list *out)
{
	struct row *row = &msg->u.row;
	bool is_config = strcmp(row->key, "config") == 0;
	struct tree *t = &n->tree;

	if (row->status != ROW_WRITTEN && row->status != ROW_CONFLICT)
		row_watch_answered(
		    is_config ? &t->config_row : &t->root_row, row);
	if (row->status == ROW_UNKNOWN) {
		t->platform_failed_us = now.mono_us;
		t->handover_pending = false;
		return;
	}
	t->platform_answered_us = now.mono_us;
	if (row->status == ROW_HISTORY_GONE)
		return;
	if (!is_config) {
		handle_control_row(n, row, now, out);
	} else if (row->status != ROW_WRITTEN && row->status != ROW_CONFLICT) {
		confsync_handle_row(n, row, now, out);
	}
}

/* A peer's positions tell it before the next answer of the store does. */
static void
note_peer_era(
    struct node *n, struct config *c, struct addr peer, struct instant now)
{
	uint64_t position = c->epoch > c->version ? c->epoch : c->version;

	if (position_era(position) != 0)
		store_note_era(n, position_era(position), peer, now);
	c->epoch = store_peer_epoch(n, c->epoch);
}

void
control_handle_config_ask(
    struct node *n, struct msg *msg, struct instant now, struct msg_list *out)
{
	struct config *ask = &msg->u.config;
	struct config_id have = confsync_stated(ask);
	struct tree *t = &n->tree;
	struct addr redirect = {0, 0};
	struct tree_child *child;
	struct msg *m;
	bool admitted;

	note_peer_era(n, ask, msg->peer, now);
	if (ask->epoch > t->epoch)
		row_watch_reset(&t->root_row);
	if (confstate_move(&n->conf, &have))
		confsync_propagate(n, msg->peer, &have, now, out);
	/* A child that has a newer one sends it next. */
	if (!confstate_may_adopt(&n->conf, ask, false))
		confsync_heard(n, msg->peer, ask);
	/* A child may have read the platform and confirm the same version. */
	if (!node_reads_backlog(n, now))
		confsync_confirm_stated(n, ask, now.mono_us);
	admitted =
	    tree_admit(t, msg->peer, &have, now.mono_us, &n->rng, &redirect);
	child = tree_child(t, msg->peer);
	if (admitted)
		child->incarnation = ask->incarnation;
	m = msg_emit(out, MSG_CONFIG, msg->peer, msg->seq);
	confsync_fill(n, &m->u.config, &have,
	    child != NULL ? &child->config_sent : NULL, now);
	m->u.config.accepted = admitted;
	m->u.config.redirect = redirect;
}

static void
handle_parent_reply(struct node *n, const struct config *c, struct addr from,
    struct instant now)
{
	struct tree *t = &n->tree;

	if (!addr_equal(from, t->parent) || t->is_root)
		return;
	t->parent_heard_us = now.mono_us;
	if (c->accepted) {
		t->accepted = true;
		if (addr_equal(from, t->root))
			t->root_lost = false;
		return;
	}
	if (!addr_is_set(c->redirect) ||
	    addr_equal(c->redirect, n->setup.self) ||
	    ++t->redirects > TREE_MAX_REDIRECTS)
		return;
	quota_reparent(n->quota);
	tree_set_parent(t, c->redirect, now.mono_us);
}

void
control_handle_config(
    struct node *n, struct msg *msg, struct instant now, struct msg_list *out)
{
	struct config *c = &msg->u.config;
	struct config_id stated = confsync_stated(c), none = {0, 0, 0}, ours;
	struct tree_child *child;
	enum conf_result ret;
	/*
	 * The message may have waited on the way or while this process was
	 * paused, so it proves only what it did when its question was sent.
	 */
	uint64_t asked_us = tree_ask_sent_us(&n->tree, msg->seq);

	note_peer_era(n, c, msg->peer, now);
	if (is_from_successor(n, c, msg->peer))
		yield_root(n, msg->peer, c->epoch, now);
	else
		handle_parent_reply(n, c, msg->peer, now);
	if (c->epoch > n->tree.epoch)
		row_watch_reset(&n->tree.root_row);
	child = tree_child(&n->tree, msg->peer);
	if (child != NULL)
		child->config = stated;
	ret = confsync_offer(n, c, false, msg->peer, now, out);
	confsync_confirm_stated(n, c, asked_us);
	if (ret == CONF_OLD)
		confsync_correct_neighbour(n, msg->peer, &stated, now, out);
	else if (ret == CONF_NEED_WHOLE)
		confsync_ask(n, msg->peer, &none, now, out);
	/* Not while the peer's newer one is on its way. */
	if (ret != CONF_NEED_WHOLE)
		confsync_heard(n, msg->peer, c);
	if (!addr_equal(msg->peer, n->tree.parent))
		return;
	ours = confstate_id(&n->conf);
	n->tree.parent_differs = !config_id_equal(&stated, &ours);
}

void
control_handle_share_ask(
    struct node *n, struct msg *msg, struct instant now, struct msg_list *out)
{
	struct msg *m;

	if (msg->u.share.for_pool) {
		pool_handle_share_ask(n, msg, now, out);
		return;
	}
	/*
	 * A former child may hold shares from its new parent and must not be
	 * granted a second set.  A daemon that is neither the root nor
	 * accepted by a parent holds nothing yet, and its answer would look
	 * like a grant of zero.
	 */
	if (tree_child(&n->tree, msg->peer) == NULL ||
	    (!n->tree.is_root && !n->tree.accepted))
		return;
	m = msg_emit(out, MSG_SHARE, msg->peer, msg->seq);
	quota_grant(n->quota, msg->peer, &msg->u.share, now, &m->u.share);
	m->u.share.epoch = n->tree.epoch;
	/* The request may have given back tokens that others wait for. */
	control_grant_waiting(n, now, out);
}

void
control_grant_waiting(struct node *n, struct instant now, struct msg_list *out)
{
	struct share grant;
	struct addr child;
	struct msg *m;

	while (quota_grant_waiting(n->quota, now, &child, &grant) ||
	       quota_recall(n->quota, now, &child, &grant)) {
		m = msg_emit(out, MSG_SHARE, child, node_next_seq(n));
		m->u.share = grant;
		m->u.share.epoch = n->tree.epoch;
	}
	if (quota_urgent_request_due(n->quota, now))
		control_request_shares(n, now, out);
}

void
control_handle_share(
    struct node *n, struct msg *msg, struct instant now, struct msg_list *out)
{
	const struct share *s = &msg->u.share;

	if (s->for_pool && n->tree.is_root &&
	    addr_equal(msg->peer, n->pool.root)) {
		pool_handle_share(n, s, now);
	} else if (s->for_pool && n->pool.is_root && s->epoch > n->pool.epoch) {
		pool_yield_root(n, msg->peer, s->epoch, now);
	} else if (!s->for_pool && addr_equal(msg->peer, n->tree.parent)) {
		n->tree.parent_heard_us = now.mono_us;
		quota_apply_grant(n->quota, s, now);
	} else {
		return;
	}
	entry_resume_waiting(n, now, out);
	control_grant_waiting(n, now, out);
}

static void
handle_parent_lost(struct node *n, struct instant now)
{
	struct tree *t = &n->tree;

	if (addr_equal(t->parent, t->root)) {
		t->root_lost = true;
		/* Go on asking it until the row names another root. */
		t->parent_heard_us = now.mono_us;
		t->accepted = false;
		return;
	}
	reattach_to_root(n, now);
}

void
control_handle_link_down(
    struct node *n, struct addr peer, bool may_have_sent, struct instant now)
{
	struct tree *t = &n->tree;

	tree_remove_child(t, peer);
	if (!addr_equal(peer, t->parent))
		return;
	memset(&t->config_sent, 0, sizeof(t->config_sent));
	quota_reparent(n->quota);
	if (may_have_sent)
		t->config_asked_us = 0; /* ask again with the next tick */
	else
		handle_parent_lost(n, now); /* no connection could be made */
}

void
control_request_shares(struct node *n, struct instant now, struct msg_list *out)
{
	struct tree *t = &n->tree;
	struct msg *m;

	if (t->is_root) {
		pool_request_shares(n, now, out);
		return;
	}
	if (!addr_is_set(t->parent) || !t->accepted)
		return;
	m = msg_create(MSG_SHARE_ASK);
	if (quota_make_request(n->quota, now, &m->u.share) == 0) {
		msg_destroy(m);
		return;
	}
	m->peer = t->parent;
	m->seq = node_next_seq(n);
	m->u.share.incarnation = n->setup.incarnation;
	n->counters.values[COUNT_SHARE_ASKS]++;
	TAILQ_INSERT_TAIL(out, m, entry);
}

/*
 * Try to become the root by a compare-and-set of the root's row.  If it
 * succeeds, the row's new version is our epoch.
 */
static void
claim_root(struct node *n, struct instant now, struct msg_list *out)
{
	char key[ROW_KEY_LEN], value[TREE_ROOT_LEN];

	if (n->tree.claim_sent_us != 0 &&
	    now.mono_us - n->tree.claim_sent_us < CLAIM_RETRY_INTERVAL_US)
		return;
	n->tree.claim_sent_us = now.mono_us;
	n->tree.claimed_row_version = n->tree.row_version;
	root_key(n, key, sizeof(key));
	tree_format_root(value, n->setup.self, n->setup.incarnation);
	node_write_row(n, key, n->tree.row_version, value, strlen(value), out);
}

/* A root that drains names one of its children as its successor. */
static void
hand_over_root(struct node *n, struct msg_list *out)
{
	struct tree_child *c = TAILQ_LAST(&n->tree.children, tree_children);
	char key[ROW_KEY_LEN], value[TREE_ROOT_LEN];

	if (!n->draining || !n->tree.is_root || n->tree.handover_pending ||
	    c == NULL || !store_is_of_present_era(n, n->tree.epoch))
		return;
	n->tree.handover_pending = true;
	root_key(n, key, sizeof(key));
	tree_format_root(value, c->addr, c->incarnation);
	node_write_row(n, key, n->tree.epoch, value, strlen(value), out);
}

/* Read the root's row; a root follows it. */
static void
read_root_row(struct node *n, struct instant now, struct msg_list *out)
{
	struct tree *t = &n->tree;
	char key[ROW_KEY_LEN];
	struct row *request;

	if (!t->is_root)
		t->root_row.feed_position = 0;
	if (!row_watch_due(&t->root_row, now,
		t->is_root ? ROOT_CHECK_INTERVAL_US : TREE_READ_INTERVAL_US))
		return;
	root_key(n, key, sizeof(key));
	request = node_read_row(n, key, false, out);
	row_watch_ask(&t->root_row, request, ROOT_LONG_POLL_MS, now);
}

static void
read_platform(struct node *n, struct instant now, struct msg_list *out)
{
	struct tree *t = &n->tree;

	confsync_read(n, now, out);
	/* asked_us is 0 after another daemon reported a later epoch. */
	if (t->is_root || !addr_is_set(t->parent) || t->root_lost ||
	    t->root_row.asked_us == 0)
		read_root_row(n, now, out);
}

static void
ask_seeds(struct node *n, struct instant now, struct msg_list *out)
{
	struct config_id have = confstate_id(&n->conf);
	int i;

	for (i = 0; i < n->setup.nseeds; i++)
		confsync_ask(n, n->seeds[i], &have, now, out);
	for (i = 0; i < MAX_SEEDS; i++) {
		if (addr_is_set(n->recent_peers[i]))
			confsync_ask(n, n->recent_peers[i], &have, now, out);
	}
}

/* A daemon without a parent asks others while it knows no better. */
static void
ask_other_peers(struct node *n, struct instant now, struct msg_list *out)
{
	struct tree *t = &n->tree;
	bool has_none = n->conf.version == 0 && !t->is_root;

	if ((!has_none && confsync_is_trusted(n)) ||
	    now.mono_us - t->config_asked_us < TREE_ASK_INTERVAL_US)
		return;
	t->config_asked_us = now.mono_us;
	ask_seeds(n, now, out);
}

static void
poll_parent(struct node *n, struct instant now, struct msg_list *out)
{
	struct config_id have = confstate_id(&n->conf);
	struct tree *t = &n->tree;

	if (t->is_root || !addr_is_set(t->parent)) {
		ask_other_peers(n, now, out);
		return;
	}
	if (now.mono_us - t->parent_heard_us > TREE_PARENT_TIMEOUT_US)
		handle_parent_lost(n, now);
	if (now.mono_us - t->config_asked_us < TREE_ASK_INTERVAL_US)
		return;
	t->config_asked_us = now.mono_us;
	confsync_ask(n, t->parent, &have, now, out);
	control_request_shares(n, now, out);
}

/*
 * A root whose process was suspended may have been replaced.  It steps down
 * and holds no rates until the platform confirms that it is still the root.
 * Who stood still has heard nobody, and may not take its parent for lost.
 */
static void
check_suspended(struct node *n, struct instant now)
{
	if (node_stood_still(n, now))
		n->tree.parent_heard_us = now.mono_us;
	if (n->last_tick_us == 0 ||
	    now.mono_us - n->last_tick_us < SUSPEND_GAP_US)
		return;
	if (n->tree.is_root) {
		step_down(n);
		n->tree.epoch = 0;
		n->tree.row_version = 0;
	}
	row_watch_reset(&n->tree.root_row);
}

/*
 * Extend what is held while neither the tree's root nor the platform can be
 * reached.
 */
static void
extend_shares_when_isolated(struct node *n, struct instant now)
{
	struct tree *t = &n->tree;

	if (t->is_root || !t->root_lost)
		return;
	if (t->platform_failed_us > t->platform_answered_us &&
	    now.mono_us - t->platform_failed_us < PLATFORM_FAILURE_MAX_AGE_US)
		quota_extend_shares(n->quota, now);
}

void
control_tick(struct node *n, struct instant now, struct msg_list *out)
{
	check_suspended(n, now);
	confsync_tick(n, now);
	read_platform(n, now, out);
	poll_parent(n, now, out);
	if (n->tree.root_lost &&
	    n->tree.platform_answered_us > n->tree.platform_failed_us)
		claim_root(n, now, out);
	hand_over_root(n, out);
	extend_shares_when_isolated(n, now);
	tree_tick(&n->tree, now.mono_us);
	quota_tick(n->quota, now);
	if (quota_urgent_request_due(n->quota, now))
		control_request_shares(n, now, out);
}
