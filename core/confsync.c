/*
 * The configuration between the daemons and the platform: what is in force is
 * read from the platform, passed along the tree, and confirmed as the newest.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core/node_impl.h"
#include "core/position.h"

/*
 * A daemon reads the configuration from the platform itself if the last
 * confirmation is older than this.
 */
#define CONFIG_STALE_US (20 * SEC_US)
/*
 * The same for the children of the root.  It is more than the root's waiting
 * read and the interval of their own requests take together.
 */
#define ROOT_CHILD_CONFIG_STALE_US (1700 * MSEC_US)
/*
 * A neighbour that keeps to an older configuration is sent the same text only
 * at this interval, as it may have refused it.
 */
#define CONFIG_RESEND_INTERVAL_US (5 * SEC_US)
/*
 * How long a daemon that was started waits for its parent before it trusts the
 * store's configuration.
 */
#define CONFIG_TRUST_WAIT_US (1 * SEC_US)
/* Interval of reads while neither the parent nor the platform has a version. */
#define NO_CONFIG_READ_INTERVAL_US (3 * SEC_US)
/*
 * How long the platform may hold a read until there is a new version.  The
 * answer proves the version in force, which keys depend on (see
 * key_max_config_age_us), so it must not take long.
 */
#define CONFIG_LONG_POLL_MS 1000

static void
set_org_total(struct node *n, const char *org, double rate, double burst)
{
	double fraction =
	    pool_is_used(n) ? 1
			    : catalog_dc_fraction(n->conf.catalog, n->setup.dc);

	quota_set_total(n->quota, org, rate * fraction, burst * fraction);
	pool_set_total(n, org, rate, burst);
}

void
confsync_set_totals(struct node *n)
{
	struct organisation *o;

	if (n->conf.catalog == NULL)
		return;
	RB_FOREACH (o, organisation_tree, &n->conf.catalog->orgs)
		set_org_total(n, o->name, o->rate, o->burst);
}

/* An organisation that is only in the old catalog loses its rate. */
static void
clear_all_totals(struct node *n)
{
	struct organisation *o;

	if (n->conf.catalog == NULL)
		return;
	RB_FOREACH (o, organisation_tree, &n->conf.catalog->orgs)
		set_org_total(n, o->name, 0, 0);
}

/*
 * The age of the proof, for a peer.  Rounded down, it would become newer on its
 * way from peer to peer and back.
 */
static uint64_t
proof_age_ms(const struct node *n, struct instant now)
{
	return (now.mono_us - n->conf.confirmed_us + MSEC_US - 1) / MSEC_US;
}

/*
 * Whether to send the text to a neighbour that has another one.  It may have
 * refused it, and goes on stating the one before: then it is not sent again and
 * again.  A neighbour that has none asks for it.
 */
static bool
must_send_text(const struct node *n, const struct config_sent *sent,
    const struct config_id *have, struct instant now)
{
	return have->version == 0 || sent->digest != n->conf.digest ||
	       now.mono_us - sent->sent_us >= CONFIG_RESEND_INTERVAL_US;
}

void
confsync_fill(struct node *n, struct config *c, const struct config_id *have,
    struct config_sent *sent, struct instant now)
{
	struct config_id ours = confstate_id(&n->conf);

	if (sent != NULL && !must_send_text(n, sent, have, now))
		have = &ours;
	confstate_fill(&n->conf, c, have);
	if (sent != NULL && c->text.len > 0) {
		sent->digest = n->conf.digest;
		sent->sent_us = now.mono_us;
	}
	c->epoch = n->tree.epoch;
	c->confirmed_age_ms = proof_age_ms(n, now);
}

struct config *
confsync_send(struct node *n, struct addr to, const struct config_id *have,
    struct config_sent *sent, struct instant now, struct msg_list *out)
{
	struct msg *m = msg_emit(out, MSG_CONFIG, to, node_next_seq(n));

	confsync_fill(n, &m->u.config, have, sent, now);
	return &m->u.config;
}

void
confsync_propagate(struct node *n, struct addr except,
    const struct config_id *had, struct instant now, struct msg_list *out)
{
	struct tree *t = &n->tree;
	struct tree_child *c;

	TAILQ_FOREACH (c, &t->children, entry) {
		if (addr_equal(c->addr, except))
			continue;
		confsync_send(
		    n, c->addr, &c->config, &c->config_sent, now, out);
		c->config = confstate_id(&n->conf);
	}
	if (addr_is_set(t->parent) && !addr_equal(t->parent, except))
		confsync_send(n, t->parent, had, &t->config_sent, now, out);
}

void
confsync_correct_neighbour(struct node *n, struct addr peer,
    const struct config_id *stated, struct instant now, struct msg_list *out)
{
	struct tree_child *child = tree_child(&n->tree, peer);
	struct config_sent *sent = NULL;

	if (child != NULL)
		sent = &child->config_sent;
	else if (addr_equal(peer, n->tree.parent))
		sent = &n->tree.config_sent;
	if (sent == NULL || n->conf.version == 0 ||
	    !must_send_text(n, sent, stated, now))
		return;
	confsync_send(n, peer, stated, sent, now, out);
	/* Of an equal text only the position was sent. */
	sent->digest = n->conf.digest;
	sent->sent_us = now.mono_us;
}

/* Put the parser's words into one line of a log. */
static void
copy_reason(char *dst, const char *src, size_t len)
{
	size_t i;

	for (i = 0; i + 1 < len && src[i] != '\0'; i++)
		dst[i] = src[i] >= ' ' && src[i] <= '~' && src[i] != '"'
			     ? src[i]
			     : '?';
	dst[i] = '\0';
}

/* Keep for the log why a configuration was not adopted. */
static void
record_config_fault(struct node *n, const struct config *c, uint64_t revision,
    const char *fault, const char *reason)
{
	char text[sizeof(n->conf.err)];

	copy_reason(text, reason, sizeof(text));
	snprintf(n->config_fault, sizeof(n->config_fault),
	    "version=%" PRIu64 " era=%" PRIu64 " revision=%" PRIu64
	    " fault=%s reason=\"%s\" in_force=%" PRIu64 " in_force_era=%" PRIu64
	    " in_force_revision=%" PRIu64,
	    position_version(c->version), position_era(c->version), revision,
	    fault, text, position_version(n->conf.version),
	    position_era(n->conf.version), n->conf.revision);
}

static void
note_offer(struct node *n, const struct config *c, bool is_row,
    enum conf_result result)
{
	if (result == CONF_REFUSED) {
		n->counters.values[COUNT_CONFIG_REJECTED]++;
		record_config_fault(n, c, c->revision, "refused", n->conf.err);
	} else if (result == CONF_LOWER) {
		n->counters.values[COUNT_CONFIG_ROWS_LOWER]++;
		record_config_fault(n, c, n->conf.lower_revision,
		    "lower-revision", "an older configuration in a later row");
	} else if (result == CONF_OLD && is_row) {
		n->counters.values[COUNT_CONFIG_ROWS_OLDER]++;
		record_config_fault(
		    n, c, c->revision, "older-row", "a read that is behind");
	}
}

enum conf_result
confsync_offer(struct node *n, const struct config *c, bool is_row,
    struct addr from, struct instant now, struct msg_list *out)
{
	struct config_id had = confstate_id(&n->conf);
	enum conf_result ret;
	bool may_adopt = confstate_may_adopt(&n->conf, c, is_row);

	if (may_adopt)
		clear_all_totals(n);
	ret = is_row ? confstate_offer_row(&n->conf, c, now)
		     : confstate_offer(&n->conf, c, now);
	if (may_adopt)
		confsync_set_totals(n);
	note_offer(n, c, is_row, ret);
	if (ret == CONF_MOVED) {
		had.version = n->conf.version;
		confsync_propagate(n, from, &had, now, out);
	}
	if (ret != CONF_ADOPTED)
		return ret;
	n->counters.values[COUNT_CONFIG_ADOPTED]++;
	confsync_propagate(n, from, &had, now, out);
	if (n->target.queue != NULL)
		shed_set_policy(n->target.queue, serve_shedder(n));
	entry_recheck_keys(n, now, out);
	return ret;
}

/*
 * Up to when a read of the configuration proves that a row was the newest.  A
 * waiting read without a change was answered after its waiting time, unless
 * the platform ended it early.
 */
static uint64_t
config_proved_us(const struct row *row, struct instant now)
{
	uint64_t waited_until_us = row->asked_us + row->wait_ms * MSEC_US;

	if (row->status == ROW_UNCHANGED && waited_until_us <= now.mono_us)
		return waited_until_us;
	return row->asked_us < now.mono_us ? row->asked_us : now.mono_us;
}

void
confsync_handle_row(
    struct node *n, struct row *row, struct instant now, struct msg_list *out)
{
	struct tree *t = &n->tree;
	struct config_id in_force;
	struct config c;

	memset(&c, 0, sizeof(c));
	if (row->status == ROW_FOUND) {
		c.version = row->version;
		c.digest = confstate_digest(row->value.data, row->value.len);
		c.text = row->value;
		confsync_offer(n, &c, true, n->setup.self, now, out);
		t->config_row_version =
		    c.digest == n->conf.digest ? row->version : 0;
	} else if (row->status == ROW_ABSENT) {
		t->config_row_version = 0;
	}
	in_force = confstate_id(&n->conf);
	if (in_force.version == 0 ||
	    in_force.version != t->config_row_version) {
		t->config_row_differs_us = now.mono_us;
		return;
	}
	t->config_row_differs_us = 0;
	confstate_confirm(&n->conf, &in_force, config_proved_us(row, now));
}

struct config_id
confsync_stated(const struct config *c)
{
	return (struct config_id){c->revision, c->version, c->digest};
}

void
confsync_confirm_stated(
    struct node *n, const struct config *c, uint64_t told_us)
{
	struct config_id stated = confsync_stated(c);
	uint64_t age_us;

	if (c->confirmed_age_ms > told_us / MSEC_US)
		return;
	age_us = c->confirmed_age_ms * MSEC_US;
	confstate_confirm(&n->conf, &stated, told_us - age_us);
}

void
confsync_ask(struct node *n, struct addr to, const struct config_id *have,
    struct instant now, struct msg_list *out)
{
	struct msg *m = msg_emit(out, MSG_CONFIG_ASK, to, node_next_seq(n));

	tree_note_ask(&n->tree, m->seq, now.mono_us);
	m->u.config.revision = have->revision;
	m->u.config.version = have->version;
	m->u.config.digest = have->digest;
	m->u.config.epoch = n->tree.epoch;
	m->u.config.confirmed_age_ms = proof_age_ms(n, now);
	m->u.config.incarnation = n->setup.incarnation;
}

/*
 * Whether this daemon reads the configuration from the platform.  It relies
 * on its parent while that one passes on recent confirmations.
 */
static bool
must_read_config(struct node *n, struct instant now)
{
	struct tree *t = &n->tree;
	uint64_t age_us = now.mono_us - n->conf.confirmed_us;

	if (t->is_root || !addr_is_set(t->parent) || t->root_lost)
		return true;
	/* A fleet may start before there is any configuration. */
	if (n->conf.version == 0)
		return !t->accepted || t->config_row.asked_us == 0 ||
		       now.mono_us - t->config_row.asked_us >
			   NO_CONFIG_READ_INTERVAL_US;
	/*
	 * The store was read and could not confirm what is in force.  The root
	 * reads on, and passes on the next version.
	 */
	if (t->accepted && !addr_equal(t->parent, t->root) &&
	    t->config_row_differs_us != 0 &&
	    now.mono_us - t->config_row_differs_us < CONFIG_STALE_US)
		return false;
	/* A parent that states another version does not confirm ours. */
	return age_us > (t->parent_differs || addr_equal(t->parent, t->root)
				? ROOT_CHILD_CONFIG_STALE_US
				: CONFIG_STALE_US);
}

void
confsync_read(struct node *n, struct instant now, struct msg_list *out)
{
	struct row *request;

	if (!must_read_config(n, now) ||
	    !row_watch_due(&n->tree.config_row, now, TREE_READ_INTERVAL_US))
		return;
	request = node_read_row(n, "config", false, out);
	row_watch_ask(&n->tree.config_row, request, CONFIG_LONG_POLL_MS, now);
}

bool
confsync_is_trusted(const struct node *n)
{
	return n->tree.config_trusted || position_era(n->conf.version) == 0;
}

void
confsync_heard(struct node *n, struct addr peer, const struct config *c)
{
	struct tree *t = &n->tree;
	bool has_parent = !t->is_root && addr_is_set(t->parent);

	if (n->conf.version == 0 || c->version == 0)
		return;
	if (!has_parent || (t->accepted && addr_equal(peer, t->parent)))
		t->config_trusted = true;
}

void
confsync_tick(struct node *n, struct instant now)
{
	struct tree *t = &n->tree;

	if (n->conf.version == 0)
		return;
	if (t->config_known_us == 0)
		t->config_known_us = now.mono_us;
	if (now.mono_us - t->config_known_us >= CONFIG_TRUST_WAIT_US)
		t->config_trusted = true;
}
