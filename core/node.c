/*
 * Dispatches messages and ticks to the parts of a node, and reports its
 * state.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/hash.h"
#include "core/node_impl.h"
#include "core/position.h"

/* Interval of the work that need not be done at every tick. */
#define SLOW_TICK_INTERVAL_US (100 * MSEC_US)
#define STATUS_MAX_BYTES 65536 /* of the state report, with its NUL */
#define MEMBER_LINE_MAX_BYTES 512 /* of one member in that report */
/*
 * The highest first number of a message; the rest of the range is more than a
 * process can use up, and PROBE_SEQ_FLAG stays free.
 */
#define FIRST_SEQ_MAX (UINT64_MAX >> 2)
/*
 * A draining daemon refuses new calls after 1/2 of its grace period, at the
 * latest after this time: callers accept that a call is cut at the end of the
 * period only if it began in the first three seconds of the stop.
 */
#define DRAIN_CLOSE_GRACE_DIVISOR 2
#define DRAIN_CLOSE_MAX_US (3 * SEC_US)
/* After this part of the period it fails the calls still in progress. */
#define DRAIN_CALLS_GRACE_PERCENT 88
/* After this part its process ends, whatever it still has to send. */
#define DRAIN_EXIT_GRACE_PERCENT 95

/* Neither gives way: the one is bounded, and the other short-lived. */
static const struct holder_ops ledger_holder = {HOLDER_LEDGER, false, NULL};
static const struct holder_ops awaiting_holder = {HOLDER_JOB, false, NULL};

struct node *
node_create(const struct node_setup *setup)
{
	struct node *n = xcalloc(1, sizeof(*n));
	int i;

	n->setup = *setup;
	for (i = 0; i < setup->nseeds && i < MAX_SEEDS; i++)
		n->seeds[i] = setup->seeds[i];
	n->setup.nseeds = i;
	n->rng = setup->seed;
	/*
	 * Peers answer to this daemon's address, which outlives the process.
	 * Numbers that begin anywhere in a range of 2^62 are not those of an
	 * earlier process, so that what is meant for it matches nothing here.
	 */
	n->first_seq = hash_mix(setup->seed) & FIRST_SEQ_MAX;
	n->next_seq = n->first_seq;
	confstate_init(&n->conf, setup->parser);
	n->quota = quota_create(&quota_policy_host);
	tree_init(&n->tree);
	n->decision_log = decision_log_create();
	n->ledger =
	    ledger_create(setup->max_ids, setup->max_ledger_reply_bytes);
	RB_INIT(&n->groups);
	RB_INIT(&n->calls);
	RB_INIT(&n->tries);
	RB_INIT(&n->jobs);
	TAILQ_INIT(&n->loopback);
	TAILQ_INIT(&n->awaiting_proof);
	holder_init(&n->awaiting_memory, setup->memory, &awaiting_holder, n, 0);
	holder_init(&n->ledger_memory, setup->memory, &ledger_holder, n, 0);
	pool_init(&n->pool);
	return n;
}

static void
entry_calls_destroy(struct node *n)
{
	struct entry_call *c;

	while ((c = RB_ROOT(&n->calls)) != NULL) {
		RB_REMOVE(entry_by_front_seq, &n->calls, c);
		request_release(&c->call.request);
		free(c);
	}
}

void
node_destroy(struct node *n)
{
	entry_calls_destroy(n);
	serve_destroy(n);
	msg_list_clear(&n->awaiting_proof);
	holder_release(&n->awaiting_memory);
	holder_release(&n->ledger_memory);
	membership_destroy(n);
	ledger_destroy(n->ledger);
	decision_log_destroy(n->decision_log);
	tree_release(&n->tree);
	quota_destroy(n->quota);
	pool_release(&n->pool);
	confstate_release(&n->conf);
	buffer_release(&n->submission.text);
	free(n);
}

uint64_t
node_next_seq(struct node *n)
{
	return ++n->next_seq;
}

bool
node_sent_seq(const struct node *n, uint64_t seq)
{
	return seq > n->first_seq && seq <= n->next_seq;
}

bool
node_stood_still(const struct node *n, struct instant now)
{
	return n->last_tick_us != 0 &&
	       now.mono_us - n->last_tick_us >= BACKLOG_GAP_US;
}

bool
node_reads_backlog(const struct node *n, struct instant now)
{
	return node_stood_still(n, now) || now.mono_us < n->backlog_until_us;
}

struct row *
node_read_row(
    struct node *n, const char *key, bool prefix, struct msg_list *out)
{
	struct msg *m =
	    msg_emit(out, MSG_ROW_READ, n->setup.self, node_next_seq(n));

	name_copy(m->u.row.key, key, sizeof(m->u.row.key));
	m->u.row.key_is_prefix = prefix;
	n->counters.values[COUNT_PLATFORM_READS]++;
	return &m->u.row;
}

void
node_record_odd_row(struct node *n, const char *key, const char *fault)
{
	n->counters.values[COUNT_ODD_ROWS]++;
	snprintf(n->odd_row, sizeof(n->odd_row), "key=%s fault=%s", key, fault);
}

const struct store_return *
node_store_return(const struct node *n)
{
	return &n->store_return;
}

const char *
node_config_fault(const struct node *n)
{
	return n->config_fault;
}

const struct announce_outcome *
node_announce_outcome(const struct node *n)
{
	return &n->announce_outcome;
}

const struct target_start *
node_ended_start(const struct node *n)
{
	return &n->past.ended;
}

const char *
node_last_odd_row(const struct node *n)
{
	return n->odd_row;
}

uint64_t
node_write_row(struct node *n, const char *key, uint64_t position,
    const char *value, size_t len, struct msg_list *out)
{
	bool is_conditional = position != ROW_ANY_VERSION && position != 0;
	struct msg *m;

	if (is_conditional && !store_is_of_present_era(n, position)) {
		store_refuse_write(n, key);
		return 0;
	}
	m = msg_emit(out, MSG_ROW_WRITE, n->setup.self, node_next_seq(n));
	name_copy(m->u.row.key, key, sizeof(m->u.row.key));
	m->u.row.version =
	    is_conditional ? position_version(position) : position;
	m->u.row.based_on = is_conditional ? position : 0;
	buffer_set(&m->u.row.value, value, len);
	n->counters.values[COUNT_PLATFORM_WRITES]++;
	return m->seq;
}

static void
handle_row(
    struct node *n, struct msg *msg, struct instant now, struct msg_list *out)
{
	enum row_table table = row_table_of(msg->u.row.key);

	if (msg->u.row.status == ROW_UNKNOWN)
		n->counters.values[COUNT_PLATFORM_ANSWERS_LOST]++;
	store_admit_answer(n, &msg->u.row, now);
	n->counters.platform_requests[table][msg->u.row.status]++;
	switch (table) {
	case ROW_TABLE_CONFIG:
		operator_handle_row(n, msg, now, out);
		control_handle_row(n, msg, now, out);
		break;
	case ROW_TABLE_CONTROL:
		control_handle_row(n, msg, now, out);
		break;
	case ROW_TABLE_POOL:
		pool_handle_row(n, &msg->u.row, now, out);
		break;
	case ROW_TABLE_ENDED:
		target_past_handle_row(n, msg, now, out);
		break;
	default:
		membership_handle_row(n, msg, now, out);
		break;
	}
}

static void
dispatch(
    struct node *n, struct msg *msg, struct instant now, struct msg_list *out)
{
	switch (msg->kind) {
	case MSG_CALL:
		entry_handle_call(n, msg, now, out);
		break;
	case MSG_CALL_GONE:
		entry_handle_call_gone(n, msg->seq, out);
		break;
	case MSG_FORWARD:
		serve_handle_forward(n, msg, now, out);
		break;
	case MSG_REPLY:
		entry_handle_reply(n, msg, now, out);
		break;
	case MSG_CANCEL:
		serve_handle_cancel(n, msg, now, out);
		break;
	case MSG_ASK_FATE:
		serve_handle_ask_fate(n, msg, now, out);
		break;
	case MSG_FATE:
		entry_handle_fate(n, msg, now, out);
		break;
	case MSG_MEMBERS_ASK:
		membership_handle_members_ask(n, msg, now, out);
		break;
	case MSG_MEMBERS:
		membership_handle_members(n, msg, now, out);
		break;
	case MSG_HANDOVER:
		serve_handle_handover(n, msg, now);
		break;
	case MSG_CONFIG_ASK:
		control_handle_config_ask(n, msg, now, out);
		break;
	case MSG_CONFIG:
		control_handle_config(n, msg, now, out);
		break;
	case MSG_SHARE_ASK:
		control_handle_share_ask(n, msg, now, out);
		break;
	case MSG_SHARE:
		control_handle_share(n, msg, now, out);
		break;
	case MSG_LINK_DOWN:
		if (msg->seq != 0) {
			entry_try_unsent(n, msg->peer, msg->seq, now, out);
			break;
		}
		n->counters.values[COUNT_LINKS_LOST]++;
		control_handle_link_down(n, msg->peer, msg->may_have_sent, now);
		pool_handle_link_down(n, msg->peer, msg->may_have_sent);
		membership_handle_link_down(n, msg->peer);
		if (!msg->unsent_reported)
			entry_handle_link_down(
			    n, msg->peer, msg->may_have_sent, now, out);
		break;
	case MSG_RUN_DONE:
		serve_handle_run_done(n, msg, now, out);
		break;
	case MSG_ANNOUNCE:
		local_target_handle_announce(n, msg, now, out);
		break;
	case MSG_ROW:
		handle_row(n, msg, now, out);
		break;
	case MSG_OPS:
		operator_handle_ops(n, msg, now, out);
		break;
	default:
		break;
	}
}

static bool
is_between_daemons(enum msg_kind kind)
{
	return kind >= MSG_FORWARD && kind <= MSG_SHARE;
}

static bool
is_control_message(enum msg_kind kind)
{
	return kind >= MSG_MEMBERS_ASK && kind <= MSG_SHARE;
}

/*
 * Move messages from this daemon to itself to the loopback list, as they
 * need no link, and count the control messages to other daemons.
 */
static void
move_to_loopback(struct node *n, struct msg_list *out)
{
	struct msg *m, *next;

	TAILQ_FOREACH_SAFE (m, out, entry, next) {
		if (!is_between_daemons(m->kind))
			continue;
		if (!addr_equal(m->peer, n->setup.self)) {
			if (is_control_message(m->kind))
				n->counters.values[COUNT_CONTROL_MESSAGES]++;
			continue;
		}
		TAILQ_REMOVE(out, m, entry);
		TAILQ_INSERT_TAIL(&n->loopback, m, entry);
	}
}

/*
 * Move the messages to others from fresh to out, and handle those to this
 * daemon until none is left.
 */
static void
handle_loopback(struct node *n, struct msg_list *fresh, struct instant now,
    struct msg_list *out)
{
	struct msg *m;

	move_to_loopback(n, fresh);
	TAILQ_CONCAT(out, fresh, entry);
	while ((m = TAILQ_FIRST(&n->loopback)) != NULL) {
		TAILQ_REMOVE(&n->loopback, m, entry);
		dispatch(n, m, now, fresh);
		msg_destroy(m);
		move_to_loopback(n, fresh);
		TAILQ_CONCAT(out, fresh, entry);
	}
}

void
node_handle(
    struct node *n, struct msg *msg, struct instant now, struct msg_list *out)
{
	struct msg_list fresh = TAILQ_HEAD_INITIALIZER(fresh);

	if (is_between_daemons(msg->kind))
		membership_note_peer(n, msg->peer);
	dispatch(n, msg, now, &fresh);
	msg_destroy(msg);
	handle_loopback(n, &fresh, now, out);
}

void
node_tick(struct node *n, struct instant now, struct msg_list *out)
{
	struct msg_list fresh = TAILQ_HEAD_INITIALIZER(fresh);

	if (node_stood_still(n, now))
		n->backlog_until_us = now.mono_us + BACKLOG_READ_US;
	entry_tick(n, now, &fresh);
	pool_grant_waiting(n, now, &fresh);
	control_grant_waiting(n, now, &fresh);
	serve_tick(n, now, &fresh);
	holder_set(&n->ledger_memory, ledger_reply_bytes(n->ledger));
	if (n->last_slow_tick_us == 0 ||
	    now.mono_us - n->last_slow_tick_us >= SLOW_TICK_INTERVAL_US) {
		control_tick(n, now, &fresh);
		pool_tick(n, now, &fresh);
		membership_tick(n, now, &fresh);
		operator_tick(n, now, &fresh);
		serve_slow_tick(n, now);
		importance_mix_tick(&n->importance_mix);
		ledger_tick(n->ledger, now);
		n->last_slow_tick_us = now.mono_us;
	}
	if (n->draining && n->setup.grace_us != 0 &&
	    now.mono_us - n->drain_start_us >
		n->setup.grace_us / 100 * DRAIN_CALLS_GRACE_PERCENT)
		entry_fail_all(n, now, &fresh);
	n->last_tick_us = now.mono_us;
	handle_loopback(n, &fresh, now, out);
}

uint64_t
node_tick_interval_us(const struct node *n)
{
	if (n->ncalls > 0 || n->njobs > 0 || quota_children_wait(n->quota) ||
	    quota_children_wait(n->pool.quota))
		return NODE_BUSY_TICK_INTERVAL_US;
	return NODE_IDLE_TICK_INTERVAL_US;
}

bool
node_is_drained(const struct node *n)
{
	return n->draining && n->ncalls == 0 &&
	       (n->calls_abandoned ||
		   (n->njobs == 0 && (!n->target.present || n->target.left)));
}

void
node_update_settings(struct node *n, const struct node_setup *s)
{
	n->setup.max_calls = s->max_calls;
	n->setup.default_deadline_us = s->default_deadline_us;
	n->setup.max_deadline_us = s->max_deadline_us;
	n->setup.announce_timeout_us = s->announce_timeout_us;
	n->setup.grace_us = s->grace_us;
	n->setup.key_max_config_age_us = s->key_max_config_age_us;
	n->setup.headroom_fraction = s->headroom_fraction;
}

bool
node_is_ready(const struct node *n)
{
	return n->conf.catalog != NULL && confsync_is_trusted(n) &&
	       !n->draining;
}

struct caller_limits
node_caller_limits(const struct node *n)
{
	static const struct caller_limits none;

	return n->conf.catalog != NULL ? n->conf.catalog->limits : none;
}

uint64_t
node_config_version(const struct node *n)
{
	return n->conf.version;
}

uint64_t
node_config_revision(const struct node *n)
{
	return n->conf.revision;
}

bool
node_is_draining(const struct node *n)
{
	return n->draining;
}

bool
node_refuses_calls(const struct node *n, struct instant now)
{
	uint64_t close_us = n->setup.grace_us / DRAIN_CLOSE_GRACE_DIVISOR;

	if (close_us > DRAIN_CLOSE_MAX_US)
		close_us = DRAIN_CLOSE_MAX_US;
	return n->draining && n->setup.grace_us != 0 &&
	       now.mono_us - n->drain_start_us > close_us;
}

bool
node_grace_is_over(const struct node *n, struct instant now)
{
	return n->draining && n->setup.grace_us != 0 &&
	       now.mono_us - n->drain_start_us >
		   n->setup.grace_us / 100 * DRAIN_EXIT_GRACE_PERCENT;
}

bool
node_next_decision(
    const struct node *n, uint64_t *cursor, char *line, size_t len)
{
	const struct decision *d = decision_log_next(n->decision_log, cursor);

	if (d == NULL)
		return false;
	line[0] = '\0';
	if (d->failure.reason != REASON_NONE)
		decision_format(d, line, len);
	return true;
}

const struct counters *
node_counters(const struct node *n)
{
	return &n->counters;
}

static const char *
member_owner_status(struct group *g, const struct member *m, struct instant now)
{
	struct owner_table *t = owner_table_get(&g->owners, m->record.dc);
	struct owner_entry *e =
	    owner_table_entry(t, m->record.addr, m->record.incarnation);

	if (e == NULL || e->state != OWNER_ACTIVE)
		return "no";
	if (m->is_self)
		return owner_table_is_proved(t, now) ? "proved" : "unproved";
	return "yes";
}

static size_t
print_members(struct node *n, char *buf, size_t len, struct instant now)
{
	static const char *const states[] = {
	    "alive", "leaving", "left", "gone"};
	struct group *g;
	struct member *m;
	size_t used = 0;

	RB_FOREACH (g, group_tree, &n->groups) {
		RB_FOREACH (m, member_tree, &g->members) {
			if (len - used < MEMBER_LINE_MAX_BYTES)
				return used;
			used += snprintf(buf + used, len - used,
			    "member service=%s addr=%u.%u.%u.%u:%u dc=%s "
			    "state=%s incarnation=%" PRIu64
			    " load_permille=%u owner=%s\n",
			    g->service, m->record.addr.ip >> 24,
			    (m->record.addr.ip >> 16) & 255,
			    (m->record.addr.ip >> 8) & 255,
			    m->record.addr.ip & 255, m->record.addr.port,
			    m->record.dc, states[m->record.state],
			    m->record.incarnation, m->load_permille,
			    member_owner_status(g, m, now));
		}
	}
	return used;
}

/*
 * Print the requests to the platform as platform_requests{table="member",
 * outcome="found"}, with the names in counters.c; those that there were.
 */
static size_t
print_platform_requests(const struct node *n, char *buf, size_t len)
{
	size_t used = 0;
	int i, j;

	for (i = 0; i < ROW_TABLE_COUNT; i++) {
		for (j = 0; j < ROW_STATUS_COUNT; j++) {
			if (n->counters.platform_requests[i][j] == 0)
				continue;
			used += snprintf(buf + used, len - used,
			    "platform_requests{table=\"%s\",outcome=\"%s\"} "
			    "%" PRIu64 "\n",
			    row_table_name(i), row_status_name(j),
			    n->counters.platform_requests[i][j]);
		}
	}
	return used;
}

/*
 * Print what is held of a resource, as "memory" or "descriptors":
 *
 *	memory_held, memory_held_peak, memory_held_limit
 *	memory_held_by{holder="caller"}, with the names in account.c
 *	memory_gave_way{holder="caller"}, likewise
 *
 * Memory is in bytes.  The last two are left out where they are 0.
 */
static size_t
print_account(const char *name, const struct account *a, char *buf, size_t len)
{
	const struct account_state *s;
	size_t used;
	int i;

	if (a == NULL)
		return 0;
	s = account_state(a);
	used = (size_t)snprintf(buf, len,
	    "%s_held %" PRIu64 "\n%s_held_peak %" PRIu64
	    "\n%s_held_limit %" PRIu64 "\n",
	    name, s->held, name, s->peak, name, s->limit);
	for (i = 0; i < HOLDER_KIND_COUNT; i++) {
		if (s->held_by[i] != 0)
			used += (size_t)snprintf(buf + used, len - used,
			    "%s_held_by{holder=\"%s\"} %" PRIu64 "\n", name,
			    holder_kind_name(i), s->held_by[i]);
		if (s->gave_way[i] != 0)
			used += (size_t)snprintf(buf + used, len - used,
			    "%s_gave_way{holder=\"%s\"} %" PRIu64 "\n", name,
			    holder_kind_name(i), s->gave_way[i]);
	}
	return used;
}

/*
 * Print the counters under their names in counters.c, and the number of failed
 * calls for each reason as refused_REASON, such as refused_over-rate, with
 * the names of the reasons in verdict.c.
 */
static size_t
print_counters(const struct node *n, char *buf, size_t len)
{
	size_t used = 0;
	int i;

	for (i = 0; i < COUNT_COUNT; i++)
		used += snprintf(buf + used, len - used, "%s %" PRIu64 "\n",
		    counter_name(i), n->counters.values[i]);
	for (i = 1; i < REASON_COUNT; i++)
		used +=
		    snprintf(buf + used, len - used, "refused_%s %" PRIu64 "\n",
			reason_name(i), n->counters.refused[i]);
	return used;
}

/*
 * Print the metrics of each histogram: its count, its sum, and the quantiles
 * 0.5, 0.9, 0.99 and 0.999 under the metric's own name.  The names are put
 * together here; in full they are
 *
 *	answered_us, answered_us_count, answered_us_sum
 *	refused_us, refused_us_count, refused_us_sum
 *	queued_us, queued_us_count, queued_us_sum
 *
 * All are in microseconds, but for the counts.
 */
static size_t
print_latencies(const struct node *n, char *buf, size_t len)
{
	static const double quantiles[] = {0.5, 0.9, 0.99, 0.999};
	const struct {
		const char *name;
		const struct histogram *h;
	} times[] = {
	    {"answered", &n->answer_latency},
	    {"refused", &n->refusal_latency},
	    {"queued", &n->queue_wait},
	};
	size_t used = 0, i, q;

	for (i = 0; i < sizeof(times) / sizeof(times[0]); i++) {
		used += snprintf(buf + used, len - used,
		    "%s_us_count %" PRIu64 "\n%s_us_sum %" PRIu64 "\n",
		    times[i].name, times[i].h->total, times[i].name,
		    times[i].h->sum_us);
		for (q = 0; q < sizeof(quantiles) / sizeof(quantiles[0]); q++)
			used += snprintf(buf + used, len - used,
			    "%s_us{quantile=\"%g\"} %" PRIu64 "\n",
			    times[i].name, quantiles[q],
			    histogram_quantile_us(times[i].h, quantiles[q]));
	}
	return used;
}

/*
 * Print the metrics of the present state, then those of print_counters(),
 * print_latencies(), print_platform_requests() and print_account(), then the
 * members as far as they fit.  The first are, in full,
 *
 *	config_version, config_age_ms, tree_root, tree_epoch, tree_children,
 *	calls_now, jobs_now, ids_remembered, limit_now, waiting_now,
 *	threshold_class, draining, pressure_permille, store_era,
 *	config_revision, config_refused_ms
 */
char *
node_status(struct node *n, struct instant now)
{
	char *buf = xcalloc(1, STATUS_MAX_BYTES);
	size_t used = 0;

	used += snprintf(buf, STATUS_MAX_BYTES,
	    "config_version %" PRIu64 "\nconfig_age_ms %" PRIu64
	    "\ntree_root %d\ntree_epoch %" PRIu64 "\ntree_children %d\n"
	    "calls_now %zu\njobs_now %zu\nids_remembered %zu\n"
	    "limit_now %u\nwaiting_now %zu\nthreshold_class %u\n"
	    "draining %d\npressure_permille %u\nstore_era %" PRIu64 "\n"
	    "config_revision %" PRIu64 "\nconfig_refused_ms %" PRIu64 "\n",
	    position_version(n->conf.version),
	    (now.mono_us - n->conf.confirmed_us) / MSEC_US, n->tree.is_root,
	    position_version(n->tree.epoch), n->tree.nchildren, n->ncalls,
	    n->njobs, ledger_count(n->ledger), limit_current(&n->target.limit),
	    n->target.queue ? shed_count(n->target.queue) : 0,
	    n->target.queue ? shed_threshold(n->target.queue).importance : 0,
	    n->draining, n->target.reported_pressure_permille,
	    n->store_return.era, n->conf.revision,
	    n->conf.refused_us != 0
		? (now.mono_us - n->conf.refused_us) / MSEC_US
		: 0);
	used += print_counters(n, buf + used, STATUS_MAX_BYTES - used);
	used += print_latencies(n, buf + used, STATUS_MAX_BYTES - used);
	used += print_platform_requests(n, buf + used, STATUS_MAX_BYTES - used);
	used += print_account(
	    "memory", n->setup.memory, buf + used, STATUS_MAX_BYTES - used);
	used += print_account("descriptors", n->setup.descriptors, buf + used,
	    STATUS_MAX_BYTES - used);
	print_members(n, buf + used, STATUS_MAX_BYTES - used, now);
	return buf;
}
