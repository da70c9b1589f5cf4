/*
 * Sends the tries of a call, one at a time: chooses the target, interprets
 * its reply or the loss of its link, and decides on a retry.
 */
#include <stdlib.h>
#include <string.h>

#include "core/hash.h"
#include "core/node_impl.h"

/* Longest wait for members of the service, or for the owners of its ids. */
#define MEMBERS_WAIT_MAX_US (1500 * MSEC_US)
/* How long after the call's deadline a reply is still waited for. */
#define REPLY_GRACE_US (100 * MSEC_US)
/* How long the target's daemon is asked for a try's fate, and how often. */
#define FATE_ASK_TIMEOUT_US (2 * SEC_US)
#define FATE_ASK_INTERVAL_US (100 * MSEC_US)
/* How long a target that failed is then chosen only if no other is left. */
#define FAILED_TARGET_AVOID_US (1 * SEC_US)
/* On average one in this many calls is sent in spite of the threshold. */
#define THRESHOLD_PROBE_INTERVAL 20
/* A free retry is made only while fewer targets than this were tried. */
#define FREE_RETRY_MAX_TRIED 4
/*
 * On a route with a goal a free retry is made only in the first eighth of it.
 * Later the caller is refused, so that it can return in time.
 */
#define FREE_RETRY_GOAL_DIVISOR 8

void
attempt_clear(struct node *n, struct entry_call *c)
{
	struct group *g;
	struct member *m;

	if (c->try_seq == 0)
		return;
	RB_REMOVE(entry_by_try_seq, &n->tries, c);
	c->try_seq = 0;
	g = membership_find(n, c->service);
	m = g != NULL ? group_find(g, c->target) : NULL;
	if (m != NULL && m->outstanding > 0)
		m->outstanding--;
}

/*
 * Refuse a call here if its target would shed it anyway.  A few calls are
 * sent all the same, so that a threshold that has dropped is noticed.
 */
static bool
shed_by_threshold(
    struct node *n, const struct entry_call *c, const struct member *m)
{
	if (!threshold_refuses(
		m->threshold, c->context.importance, c->context.level))
		return false;
	return rng_below(&n->rng, THRESHOLD_PROBE_INTERVAL) != 0;
}

static struct member *
choose_owner(struct node *n, struct entry_call *c, struct group *g,
    struct instant now, struct failure *f)
{
	struct owner o =
	    ownership_find(n, g, c->id_dc, c->id, c->id_stamp_ms, now);
	struct member *m;

	switch (o.kind) {
	case OWNER_IS_LOST:
		*f = failure_make(VERDICT_MAY_HAVE_RUN, REASON_OWNER_LOST);
		return NULL;
	case OWNER_IS_NOBODY:
		*f = failure_make(VERDICT_NOT_RUN, REASON_NO_TARGET);
		return NULL;
	default:
		/* The owner can only be reached if it is a known member. */
		*f = failure_make(VERDICT_NOT_RUN, REASON_NO_TARGET);
		m = group_find(g, o.entry->addr);
		return m != NULL && m->record.state < MEMBER_LEFT ? m : NULL;
	}
}

/* Whether only an owner may run the call, and the owners are not known yet. */
static bool
needs_owners(const struct entry_call *c, struct group *g)
{
	return c->owned && !owner_table_get(&g->owners, c->id_dc)->known;
}

static uint64_t
goal_left_ms(const struct entry_call *c, struct instant now)
{
	uint64_t end_us = c->received_us + c->route_goal_us;

	return c->route_goal_us != 0 && end_us > now.mono_us
		   ? (end_us - now.mono_us) / MSEC_US
		   : 0;
}

static void
emit_forward(struct node *n, struct entry_call *c, struct member *m,
    struct instant now, struct msg_list *out)
{
	struct msg *msg;
	struct forward *f;

	c->try_seq = node_next_seq(n);
	RB_INSERT(entry_by_try_seq, &n->tries, c);
	c->target = m->record.addr;
	c->target_incarnation = m->record.incarnation;
	m->outstanding++;
	c->tree_tries++;
	n->counters.values[COUNT_TRIES]++;
	msg = msg_emit(out, MSG_FORWARD, c->target, c->try_seq);
	f = &msg->u.forward;
	name_copy(f->service, c->service, sizeof(f->service));
	name_copy(f->caller, n->setup.service, sizeof(f->caller));
	name_copy(f->id, c->id, sizeof(f->id));
	f->idempotent = c->idempotent;
	f->owned = c->owned;
	f->incarnation = m->record.incarnation;
	f->config_version = n->conf.version;
	f->context = c->context;
	f->context.deadline_ms = (c->deadline_us - now.mono_us) / MSEC_US;
	f->context.goal_ms = goal_left_ms(c, now);
	f->context.allowance =
	    n->setup.retrier->pass_on(c->parent_job != 0, c->allowance);
	c->allowance -= f->context.allowance;
	request_share(&f->request, &c->call.request);
	/* Wait beyond the deadline, where entry_suspend() would end the wait.
	 */
	entry_suspend(c, ENTRY_WAIT_REPLY, UINT64_MAX);
	c->wake_us = c->deadline_us + REPLY_GRACE_US;
}

/*
 * Whether to shed the call because of the service's pressure.  A call tree
 * is shed at its first try only, before any part of it has run; nested calls
 * are not shed, as they belong to a tree that was admitted.
 */
static bool
shed_by_pressure(
    struct node *n, struct entry_call *c, struct group *g, struct instant now)
{
	double pressure;

	if (!serve_shedder(n)->uses_pressure || c->balance.ntried > 0 ||
	    c->context.importance == IMPORTANCE_NESTED)
		return false;
	importance_mix_record(&n->importance_mix, c->context.importance);
	pressure = group_pressure(g, now);
	if (!importance_mix_refuses(&n->importance_mix, pressure,
		c->context.importance, c->context.level))
		return false;
	c->refusal_pressure = pressure;
	return true;
}

void
attempt_next(struct node *n, struct entry_call *c, struct instant now,
    struct msg_list *out)
{
	struct failure f = {VERDICT_NOT_RUN, REASON_NO_TARGET};
	struct group *g = membership_find_or_create(n, c->service);
	struct member *m;

	if (!entry_recheck_repeat(n, c, now, &f)) {
		if (c->may_have_run)
			f = c->last_failure;
		entry_fail(n, c, f.verdict, f.reason, now, out);
		return;
	}
	g->last_used_us = now.mono_us;
	if (c->context.importance == IMPORTANCE_NESTED)
		g->recent_nested_calls += 1;
	if (shed_by_pressure(n, c, g, now)) {
		entry_fail(n, c, VERDICT_NOT_RUN, REASON_SHED, now, out);
		return;
	}
	/* Less than 1 ms left would be sent as 0, which is no time at all. */
	if (now.mono_us + MSEC_US >= c->deadline_us) {
		entry_fail(n, c, VERDICT_NOT_RUN, REASON_DEADLINE, now, out);
		return;
	}
	if (!c->owned)
		m = n->setup.balancer->choose(g, &c->balance, &n->rng, now);
	else
		m = choose_owner(n, c, g, now, &f);
	if (m == NULL && c->tree_tries == 0 &&
	    now.mono_us - c->received_us < MEMBERS_WAIT_MAX_US &&
	    (g->nmembers == 0 || needs_owners(c, g))) {
		if (g->nmembers == 0)
			membership_read_rows(n, g, now, out);
		else if (c->state != ENTRY_WAIT_MEMBERS)
			ownership_refresh(n, g, c->id_dc, now, out);
		entry_suspend(c, ENTRY_WAIT_MEMBERS,
		    c->received_us + MEMBERS_WAIT_MAX_US);
		return;
	}
	if (m == NULL) {
		/* No target is left to try: report the last failure. */
		if (c->last_failure.reason != REASON_NONE)
			f = c->last_failure;
		entry_fail(n, c, f.verdict, f.reason, now, out);
		return;
	}
	if (shed_by_threshold(n, c, m)) {
		entry_fail(n, c, VERDICT_NOT_RUN, REASON_SHED, now, out);
		return;
	}
	emit_forward(n, c, m, now, out);
}

/* Whether a later try, or one at another target, may succeed. */
static bool
reason_is_transient(enum reason reason)
{
	switch (reason) {
	case REASON_SHED:
	case REASON_NO_TARGET:
	case REASON_LEAVING:
	case REASON_TARGET_FAILED:
	case REASON_LINK_LOST:
	case REASON_NO_PROOF:
	case REASON_NOT_OWNER:
		return true;
	default:
		return false;
	}
}

static void
add_to_tried(struct entry_call *c)
{
	struct balance_call *b = &c->balance;

	b->tried[b->ntried % BALANCE_MAX_TRIED] = c->target;
	if (b->ntried < BALANCE_MAX_TRIED)
		b->ntried++;
}

/* Whether a retry is allowed, leaving retry budget and allowance aside. */
static bool
may_retry(struct node *n, const struct entry_call *c, struct failure f)
{
	bool may_repeat = entry_may_repeat(n, c);

	/* An earlier try may have run, whatever became of the last one. */
	if (c->may_have_run && !may_repeat)
		return false;
	return reason_is_transient(f.reason) &&
	       verdict_may_retry(f.verdict, may_repeat) &&
	       (c->max_targets == 0 || c->targets_reached < c->max_targets);
}

/*
 * A refusal by the daemon beside the target costs the target nothing, so
 * the next target is tried at once, without drawing on the allowance or the
 * retry budget.
 */
static bool
is_free_retry(const struct node *n, const struct entry_call *c,
    bool may_have_reached, struct instant now)
{
	if (c->route_goal_us != 0 &&
	    c->context.importance != IMPORTANCE_NESTED &&
	    now.mono_us - c->received_us >
		c->route_goal_us / FREE_RETRY_GOAL_DIVISOR)
		return false;
	return !n->setup.ids_outlive_attempts && !may_have_reached &&
	       c->balance.ntried < FREE_RETRY_MAX_TRIED;
}

/* Handle a try that has failed: retry, or fail the call. */
static void
handle_failed_try(struct node *n, struct entry_call *c, struct failure f,
    bool may_have_reached, struct instant now, struct msg_list *out)
{
	uint64_t backoff_us;

	attempt_clear(n, c);
	add_to_tried(c);
	if (f.verdict != VERDICT_NOT_RUN)
		c->may_have_run = true;
	if (may_have_reached)
		c->targets_reached++;
	if (may_retry(n, c, f) && is_free_retry(n, c, may_have_reached, now)) {
		c->last_failure = f;
		attempt_next(n, c, now, out);
		return;
	}
	if (!may_retry(n, c, f) || c->allowance == 0 ||
	    !n->setup.retrier->take(
		&membership_find_or_create(n, c->service)->budget)) {
		entry_fail(n, c, f.verdict, f.reason, now, out);
		return;
	}
	c->last_failure = f;
	backoff_us = retry_backoff_us(c->retries, &n->rng);
	if (now.mono_us + backoff_us >= c->deadline_us) {
		entry_fail(n, c, f.verdict, f.reason, now, out);
		return;
	}
	/* A generated id that did not run is replaced by a new one. */
	if (!c->idempotent && c->call.id[0] == '\0')
		entry_generate_id(n, c, now);
	c->allowance--;
	c->retries++;
	n->counters.values[COUNT_RETRIES]++;
	entry_suspend(c, ENTRY_BACKOFF, now.mono_us + backoff_us);
}

/*
 * Whether the daemon itself says that it has no target of the service: its
 * host serves another one now, and only the row of the earlier one is left.  A
 * daemon that restarted joins again once its target announces itself.
 */
static bool
is_no_target(const struct node *n, const struct entry_call *c,
    const struct member *m, const struct reply *r)
{
	return !n->setup.ids_outlive_attempts && !m->is_self &&
	       r->failure.reason == REASON_NO_TARGET &&
	       !r->may_have_reached_target &&
	       m->record.incarnation == c->target_incarnation &&
	       m->record.state < MEMBER_LEFT;
}

static void
update_member(struct node *n, const struct entry_call *c, const struct reply *r,
    struct instant now)
{
	struct group *g = membership_find(n, c->service);
	struct member *m = g != NULL ? group_find(g, c->target) : NULL;

	if (m == NULL)
		return;
	g->member_heard_us = now.mono_us;
	m->threshold = r->threshold;
	m->load_permille = r->load_permille;
	m->pressure_permille = r->pressure_permille;
	m->pressure_heard_us = now.mono_us;
	m->last_heard_us = now.mono_us;
	m->unreachable = false;
	if (is_no_target(n, c, m, r))
		group_end_member(m, now);
	if (r->leaving && m->record.state == MEMBER_ALIVE && !m->is_self) {
		m->record.state = MEMBER_LEAVING;
	}
	if (r->failure.reason == REASON_TARGET_FAILED ||
	    r->failure.reason == REASON_NO_TARGET)
		m->avoid_until_us = now.mono_us + FAILED_TARGET_AVOID_US;
}

void
entry_handle_reply(
    struct node *n, struct msg *msg, struct instant now, struct msg_list *out)
{
	struct entry_call want, *c;
	struct reply *r = &msg->u.reply;

	want.try_seq = msg->seq;
	c = RB_FIND(entry_by_try_seq, &n->tries, &want);
	if (!node_sent_seq(n, msg->seq))
		n->counters.values[COUNT_REPLIES_TO_EARLIER_PROCESS]++;
	if (c == NULL || !addr_equal(c->target, msg->peer))
		return;
	update_member(n, c, r, now);
	if (r->failure.reason == REASON_NOT_OWNER)
		ownership_refresh(n, membership_find_or_create(n, c->service),
		    c->id_dc, now, out);
	c->allowance += r->allowance;
	c->tree_tries += r->tries;
	/* A response with a failure status is the answer if no retry is left.
	 */
	if (r->failure.reason == REASON_NONE &&
	    (!n->setup.retrier->is_failure(r->status) || c->allowance == 0)) {
		attempt_clear(n, c);
		entry_answer(n, c, r, now, out);
		return;
	}
	if (r->failure.reason == REASON_NONE)
		r->failure =
		    failure_make(VERDICT_MAY_HAVE_RUN, REASON_TARGET_FAILED);
	handle_failed_try(
	    n, c, r->failure, r->may_have_reached_target, now, out);
}

void
attempt_ask_fate(struct node *n, struct entry_call *c, struct instant now,
    struct msg_list *out)
{
	struct msg *m = msg_emit(out, MSG_ASK_FATE, c->target, c->try_seq);

	name_copy(m->u.fate.org, c->context.org, sizeof(m->u.fate.org));
	name_copy(m->u.fate.id, c->id, sizeof(m->u.fate.id));
	m->u.fate.seq = c->try_seq;
	m->u.fate.incarnation = c->target_incarnation;
	n->counters.values[COUNT_FATES_ASKED]++;
	c->state = ENTRY_ASK_FATE;
	c->wake_us = now.mono_us + FATE_ASK_INTERVAL_US;
}

void
entry_handle_fate(
    struct node *n, struct msg *msg, struct instant now, struct msg_list *out)
{
	struct entry_call want, *c;

	want.try_seq = msg->u.fate.seq;
	c = RB_FIND(entry_by_try_seq, &n->tries, &want);
	if (c == NULL || c->state != ENTRY_ASK_FATE ||
	    !addr_equal(c->target, msg->peer))
		return;
	switch (msg->u.fate.state) {
	case FATE_TOMBSTONE:
		handle_failed_try(n, c,
		    failure_make(VERDICT_NOT_RUN, REASON_LINK_LOST), false, now,
		    out);
		break;
	case FATE_RUNNING:
	case FATE_RAN:
		c->state = ENTRY_WAIT_REPLY;
		c->wake_us = c->deadline_us + REPLY_GRACE_US;
		break;
	default:
		handle_failed_try(n, c,
		    failure_make(VERDICT_MAY_HAVE_RUN, REASON_LINK_LOST), true,
		    now, out);
		break;
	}
}

static void
handle_link_down(struct node *n, struct entry_call *c, bool may_have_sent,
    struct instant now, struct msg_list *out)
{
	struct group *g = membership_find(n, c->service);
	struct member *m = g != NULL ? group_find(g, c->target) : NULL;

	if (m != NULL)
		m->avoid_until_us = now.mono_us + FAILED_TARGET_AVOID_US;
	/* The question is repeated until ask_fate_until_us, over a new link. */
	if (c->state == ENTRY_ASK_FATE)
		return;
	if (may_have_sent && !c->idempotent) {
		c->ask_fate_until_us = now.mono_us + FATE_ASK_TIMEOUT_US;
		if (c->ask_fate_until_us > c->deadline_us)
			c->ask_fate_until_us = c->deadline_us;
		attempt_ask_fate(n, c, now, out);
		return;
	}
	handle_failed_try(n, c,
	    failure_make(may_have_sent ? VERDICT_MAY_HAVE_RUN : VERDICT_NOT_RUN,
		REASON_LINK_LOST),
	    may_have_sent, now, out);
}

void
entry_try_unsent(struct node *n, struct addr peer, uint64_t seq,
    struct instant now, struct msg_list *out)
{
	struct entry_call want, *c;

	want.try_seq = seq;
	c = RB_FIND(entry_by_try_seq, &n->tries, &want);
	if (c == NULL || c->state != ENTRY_WAIT_REPLY ||
	    !addr_equal(c->target, peer))
		return;
	handle_failed_try(n, c, failure_make(VERDICT_NOT_RUN, REASON_LINK_LOST),
	    false, now, out);
}

void
entry_handle_link_down(struct node *n, struct addr peer, bool may_have_sent,
    struct instant now, struct msg_list *out)
{
	struct entry_call *c, *next;

	RB_FOREACH_SAFE (c, entry_by_try_seq, &n->tries, next) {
		if (addr_equal(c->target, peer))
			handle_link_down(n, c, may_have_sent, now, out);
	}
}
