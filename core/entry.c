/*
 * Handles a call at its entry daemon, the one that received it from the
 * caller: authorisation, rate limiting, waiting and the final answer.
 * attempt.c sends the individual tries.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/hash.h"
#include "core/node_impl.h"
#include "core/position.h"

/* Longest time that a call waits for a token of its organisation's rate. */
#define TOKEN_WAIT_MAX_US (400 * MSEC_US)
/*
 * On a route with a goal a call waits for a token for at most the goal divided
 * by this, so that a caller that is refused can still retry in time.
 */
#define GOAL_TOKEN_WAIT_DIVISOR 8
/*
 * Mean Retry-After of a shed call: the base applies at zero pressure, and
 * the second value is added in proportion to the pressure, in full at 1.
 */
#define SHED_RETRY_AFTER_BASE_MS 300
#define SHED_RETRY_AFTER_PRESSURE_MS 2000
/* Retry-After is at most the caller's deadline divided by this. */
#define RETRY_AFTER_DEADLINE_DIVISOR 3
/*
 * A call whose deadline is below this percentage of the longest one seen on
 * its route is taken for the retry of a refused call.
 */
#define RETRY_DEADLINE_PERCENT 95
/* Retry-After where the pressure does not determine it. */
#define RETRY_AFTER_MS 1000

static int
entry_front_seq_cmp(struct entry_call *a, struct entry_call *b)
{
	return a->front_seq < b->front_seq ? -1 : a->front_seq > b->front_seq;
}

static int
entry_try_seq_cmp(struct entry_call *a, struct entry_call *b)
{
	return a->try_seq < b->try_seq ? -1 : a->try_seq > b->try_seq;
}

RB_GENERATE(entry_by_front_seq, entry_call, by_front_seq, entry_front_seq_cmp);
RB_GENERATE(entry_by_try_seq, entry_call, by_try_seq, entry_try_seq_cmp);

/* Return the unused allowance and the count of tries to the parent job. */
static void
return_allowance(struct node *n, const struct entry_call *c)
{
	struct job *j =
	    c->parent_job != 0 ? serve_find_job(n, c->parent_job) : NULL;

	if (j == NULL)
		return;
	j->allowance += c->allowance;
	j->tries += c->tree_tries;
}

/* Stop counting the call among those that wait for a token. */
static void
end_token_wait(struct node *n, struct entry_call *c)
{
	if (c->state != ENTRY_WAIT_TOKEN)
		return;
	quota_add_waiting(n->quota, c->context.org, -1);
	c->state = ENTRY_NEW;
}

static void
call_free(struct node *n, struct entry_call *c)
{
	attempt_clear(n, c);
	end_token_wait(n, c);
	RB_REMOVE(entry_by_front_seq, &n->calls, c);
	n->ncalls--;
	return_allowance(n, c);
	request_release(&c->call.request);
	free(c);
}

static void
record_decision(struct node *n, const struct entry_call *c,
    struct failure failure, struct instant now)
{
	struct decision *d = decision_log_add(n->decision_log);

	d->step = "entry";
	d->at_ms = now.wall_ms;
	d->tree_id = c->context.tree_id;
	d->target = c->target;
	d->failure = failure;
	name_copy(d->id, c->id, sizeof(d->id));
	name_copy(d->org, c->context.org, sizeof(d->org));
	name_copy(d->service, c->service, sizeof(d->service));
	snprintf(d->details, sizeof(d->details),
	    "tries=%" PRIu32 " allowance=%" PRIu32 " took_us=%" PRIu64
	    " pressure=%.2f config=%" PRIu64 " confirmed_ms=%" PRIu64,
	    c->tree_tries, c->allowance, now.mono_us - c->received_us,
	    c->refusal_pressure, position_version(n->conf.version),
	    (now.mono_us - n->conf.confirmed_us) / MSEC_US);
}

void
entry_answer(struct node *n, struct entry_call *c, struct reply *reply,
    struct instant now, struct msg_list *out)
{
	struct msg *m = msg_emit(out, MSG_ANSWER, n->setup.self, c->front_seq);

	if (c->context.importance == IMPORTANCE_NESTED)
		windows_record_nested(&n->target.windows,
		    now.mono_us - c->received_us, c->route_goal_us);
	if (reply->failure.reason == REASON_NONE) {
		n->counters.values[COUNT_WHOLE_ANSWERS]++;
		histogram_add(&n->answer_latency, now.mono_us - c->received_us);
	} else {
		n->counters.refused[reply->failure.reason]++;
		histogram_add(
		    &n->refusal_latency, now.mono_us - c->received_us);
	}
	record_decision(n, c, reply->failure, now);
	reply_move(&m->u.reply, reply);
	m->u.reply.tries = c->tree_tries;
	call_free(n, c);
}

/*
 * Compute the Retry-After of a refused call.  For a shed call it grows with
 * the pressure.  Jitter of 50% up or down keeps callers from returning all
 * at once, and the bound leaves the caller time for the retry before its own
 * deadline.
 */
static uint32_t
compute_retry_after_ms(
    struct node *n, const struct entry_call *c, enum reason reason)
{
	uint64_t max_ms =
	    c->call.context.deadline_ms / RETRY_AFTER_DEADLINE_DIVISOR;
	uint64_t ms = RETRY_AFTER_MS;

	if (n->setup.ids_outlive_attempts)
		return RETRY_AFTER_MS;
	if (reason == REASON_SHED)
		ms = SHED_RETRY_AFTER_BASE_MS +
		     (uint64_t)(c->refusal_pressure *
				SHED_RETRY_AFTER_PRESSURE_MS);
	ms = ms / 2 + rng_below(&n->rng, ms + 1);
	if (max_ms != 0 && ms > max_ms)
		ms = max_ms;
	return (uint32_t)ms;
}

void
entry_fail(struct node *n, struct entry_call *c, enum verdict verdict,
    enum reason reason, struct instant now, struct msg_list *out)
{
	struct reply reply;

	/* The verdict covers all tries of the call, not just the last one. */
	if (c->may_have_run && verdict == VERDICT_NOT_RUN)
		verdict = VERDICT_MAY_HAVE_RUN;
	/* Only calls that run count against the rate: refund the token. */
	if (c->token_taken && verdict == VERDICT_NOT_RUN)
		quota_return_token(n->quota, c->context.org, now);
	memset(&reply, 0, sizeof(reply));
	reply_fail(&reply, failure_make(verdict, reason));
	if (reason == REASON_OVER_RATE || reason == REASON_SHED ||
	    reason == REASON_BUSY || reason == REASON_NO_PROOF ||
	    reason == REASON_NO_TARGET)
		reply.retry_after_ms = compute_retry_after_ms(n, c, reason);
	entry_answer(n, c, &reply, now, out);
}

/* Cancel the try in flight, if there is one. */
static void
send_cancel(const struct entry_call *c, bool queued_only, struct msg_list *out)
{
	struct msg *m;

	if (c->try_seq == 0)
		return;
	m = msg_emit(out, MSG_CANCEL, c->target, c->try_seq);
	m->queued_only = queued_only;
}

static bool
check_key(struct node *n, struct entry_call *c, const struct route *route,
    enum reason *reason)
{
	struct organisation *org;

	if (c->call.has_key) {
		org = catalog_key_owner(n->conf.catalog, c->call.key_hash);
		if (org == NULL && !route->open) {
			*reason = REASON_KEY_REFUSED;
			return false;
		}
		if (org != NULL) {
			name_copy(
			    c->context.org, org->name, sizeof(c->context.org));
			c->org_from_key = true;
			c->rate_limited = org->rate > 0;
			if (org->has_importance)
				c->context.importance = importance_combine(
				    org->importance, route->importance);
		}
		return true;
	}
	*reason = REASON_NO_KEY;
	return route->open;
}

/*
 * Check a call made by a local job.  The call inherits the job's context,
 * and the job's retry allowance is lent to it until it ends.
 */
static bool
check_context(struct node *n, struct entry_call *c,
    const struct service *service, enum reason *reason)
{
	struct job *j;
	struct service *caller;

	*reason = REASON_CANCELLED;
	j = serve_find_job(n, c->call.context.job);
	if (j == NULL || j->forward.context.tree_id != c->call.context.tree_id)
		return false;
	*reason = REASON_NOT_DEPENDENCY;
	caller = catalog_service(n->conf.catalog, j->forward.service);
	if (caller == NULL || !service_depends_on(caller, service))
		return false;
	*reason = REASON_KEY_REFUSED;
	if (j->forward.context.org[0] != '\0' &&
	    catalog_organisation(n->conf.catalog, j->forward.context.org) ==
		NULL)
		return false;
	c->context = j->forward.context;
	c->parent_job = j->seq;
	c->allowance = n->setup.retrier->begin(
	    true, j->allowance, n->conf.catalog->retry_allowance);
	j->allowance = 0;
	n->counters.values[COUNT_SUB_CALLS]++;
	return true;
}

static uint64_t
call_deadline_us(struct node *n, const struct entry_call *c, struct instant now)
{
	uint64_t left_us = n->setup.default_deadline_us;
	struct job *j =
	    c->parent_job != 0 ? serve_find_job(n, c->parent_job) : NULL;
	uint64_t end_us;

	if (c->call.context.deadline_ms != 0)
		left_us = c->call.context.deadline_ms * MSEC_US;
	if (left_us > n->setup.max_deadline_us)
		left_us = n->setup.max_deadline_us;
	if (c->route_timeout_us != 0 && left_us > c->route_timeout_us)
		left_us = c->route_timeout_us;
	end_us = now.mono_us + left_us;
	return j != NULL && j->deadline_us < end_us ? j->deadline_us : end_us;
}

void
entry_generate_id(struct node *n, struct entry_call *c, struct instant now)
{
	name_copy(c->id_dc, n->setup.dc, sizeof(c->id_dc));
	c->id_stamp_ms = now.wall_ms;
	id_format(c->id, sizeof(c->id), now.wall_ms, c->id_dc,
	    n->setup.incarnation ^ addr_hash(n->setup.self), node_next_seq(n));
}

/*
 * Give a call that is not idempotent its id: the caller's own, or a new one
 * if the caller sent none.  Where the caller's ids outlive a call, a malformed
 * id, or one that the ledger may have forgotten, is refused.
 */
static bool
assign_id(
    struct node *n, struct entry_call *c, struct instant now, struct failure *f)
{
	/* Refuse ids one minute before the ledger may forget them. */
	const uint64_t remembered_ms =
	    (LEDGER_RETENTION_US - 60 * SEC_US) / MSEC_US;

	if (c->call.id[0] == '\0') {
		entry_generate_id(n, c, now);
		return true;
	}
	if (!n->setup.ids_outlive_attempts)
		return true;
	*f = failure_make(VERDICT_NOT_RUN, REASON_BAD_REQUEST);
	name_copy(c->id, c->call.id, sizeof(c->id));
	if (!id_parse(c->id, &c->id_stamp_ms, c->id_dc, sizeof(c->id_dc)) ||
	    c->id_stamp_ms > now.wall_ms + OWNERS_MAX_CLOCK_SKEW_MS)
		return false;
	*f = failure_make(VERDICT_MAY_HAVE_RUN, REASON_ID_EXPIRED);
	return c->id_stamp_ms + remembered_ms > now.wall_ms;
}

/*
 * Decide by the route whether the call may run more than once, and give it the
 * id that it needs if it may not.
 */
static bool
settle_repeat(struct node *n, struct entry_call *c, const struct route *r,
    struct instant now, struct failure *f)
{
	c->config_version = n->conf.version;
	c->idempotent = route_may_repeat(r);
	c->owned = n->setup.ids_outlive_attempts && !c->idempotent &&
		   c->call.id[0] != '\0';
	return c->idempotent || assign_id(n, c, now, f);
}

bool
entry_may_repeat(struct node *n, const struct entry_call *c)
{
	if (!c->idempotent || c->config_version == n->conf.version)
		return c->idempotent;
	return route_may_repeat(
	    catalog_request_route(n->conf.catalog, &c->call.request));
}

bool
entry_recheck_repeat(
    struct node *n, struct entry_call *c, struct instant now, struct failure *f)
{
	if (entry_may_repeat(n, c) == c->idempotent)
		return !c->may_have_run || c->idempotent;
	if (c->may_have_run)
		return false;
	/* Whether the route is gone or another one now: it may run once. */
	return settle_repeat(n, c, NULL, now, f);
}

static bool
is_config_stale(const struct node *n, const struct route *r, struct instant now)
{
	uint64_t max_age_us = r->max_config_age_us;

	if (!r->open && n->setup.key_max_config_age_us != 0 &&
	    (max_age_us == 0 || n->setup.key_max_config_age_us < max_age_us))
		max_age_us = n->setup.key_max_config_age_us;
	return max_age_us != 0 &&
	       now.mono_us - n->conf.confirmed_us > max_age_us;
}

static struct service *
choose_service(struct node *n, const struct route *r)
{
	if (r->service != NULL)
		return r->service;
	return route_service(
	    r, (double)rng_below(&n->rng, UINT32_MAX) / (double)UINT32_MAX);
}

/*
 * A caller sends the time that is left to its deadline.  If that is less
 * than other callers of the route send, part of the time has been spent,
 * most likely on an earlier try that was refused.
 */
static bool
is_likely_retry(const struct entry_call *c, struct route *r)
{
	uint64_t ms = c->call.context.deadline_ms;

	if (ms > r->max_seen_deadline_ms)
		r->max_seen_deadline_ms = ms;
	return ms != 0 &&
	       ms < r->max_seen_deadline_ms / 100 * RETRY_DEADLINE_PERCENT;
}

/*
 * Not every dialect lets a target say which job its call belongs to.  Without
 * that, a call without a key is taken for a nested one if the target of this
 * host has jobs running.
 */
static bool
is_nested(
    const struct node *n, const struct entry_call *c, const struct route *r)
{
	return !n->setup.ids_outlive_attempts && !c->org_from_key && r->open &&
	       n->target.running > 0;
}

/* Run all checks that need no other daemon, and fill in the call. */
static bool
admit(
    struct node *n, struct entry_call *c, struct instant now, struct failure *f)
{
	struct service *service;
	struct route *r;

	*f = failure_make(VERDICT_NOT_RUN, REASON_LEAVING);
	if (node_refuses_calls(n, now))
		return false;
	f->reason = REASON_NO_CONFIG;
	if (n->conf.catalog == NULL || !confsync_is_trusted(n))
		return false;
	f->reason = REASON_BUSY;
	if (n->ncalls > n->setup.max_calls)
		return false;
	f->reason = REASON_BAD_REQUEST;
	if (c->call.context_invalid)
		return false;
	f->reason = REASON_NO_ROUTE;
	r = catalog_request_route(n->conf.catalog, &c->call.request);
	service = r != NULL ? choose_service(n, r) : NULL;
	if (service == NULL)
		return false;
	f->reason = REASON_STALE_CONFIG;
	if (is_config_stale(n, r, now))
		return false;
	name_copy(c->service, service->name, sizeof(c->service));
	c->max_targets = r->max_targets;
	c->route_timeout_us = r->timeout_us;
	c->route_goal_us = r->goal_us;
	c->likely_retry = is_likely_retry(c, r);
	name_copy(c->route, r->prefix, sizeof(c->route));
	c->context.importance = r->importance;
	c->allowance =
	    n->setup.retrier->begin(false, 0, n->conf.catalog->retry_allowance);
	if (c->call.has_context ? !check_context(n, c, service, &f->reason)
				: !check_key(n, c, r, &f->reason))
		return false;
	if (is_nested(n, c, r))
		c->context.importance = IMPORTANCE_NESTED;
	if (c->parent_job != 0 && r->importance > c->context.importance)
		c->context.importance = r->importance;
	if (!n->setup.ids_outlive_attempts && c->call.id[0] != '\0')
		name_copy(c->id, c->call.id, sizeof(c->id));
	return settle_repeat(n, c, r, now, f);
}

static void
assign_tree(struct node *n, struct entry_call *c)
{
	if (c->parent_job != 0)
		return;
	do {
		c->context.tree_id = rng_next(&n->rng);
	} while (c->context.tree_id == 0);
	c->context.level = c->likely_retry
			       ? IMPORTANCE_LEVELS - 1
			       : shed_level(c->context.org, c->context.tree_id);
}

void
entry_suspend(struct entry_call *c, enum entry_state state, uint64_t until_us)
{
	c->state = state;
	c->wake_us = until_us < c->deadline_us ? until_us : c->deadline_us;
}

static uint64_t
token_wait_us(const struct entry_call *c)
{
	uint64_t goal_bound_us = c->route_goal_us / GOAL_TOKEN_WAIT_DIVISOR;

	return c->route_goal_us != 0 && goal_bound_us < TOKEN_WAIT_MAX_US
		   ? goal_bound_us
		   : TOKEN_WAIT_MAX_US;
}

/* Take a token of the organisation's rate, or wait for one. */
static void
take_token_or_wait(struct node *n, struct entry_call *c, struct instant now,
    struct msg_list *out)
{
	if (!c->rate_limited ||
	    quota_take(n->quota, c->context.org, now) == QUOTA_TAKEN) {
		c->token_taken = c->rate_limited;
		attempt_next(n, c, now, out);
		return;
	}
	n->counters.values[COUNT_TOKEN_WAITS]++;
	quota_add_waiting(n->quota, c->context.org, 1);
	entry_suspend(c, ENTRY_WAIT_TOKEN, now.mono_us + token_wait_us(c));
	control_request_shares(n, now, out);
}

void
entry_handle_call(
    struct node *n, struct msg *msg, struct instant now, struct msg_list *out)
{
	struct entry_call *c = xcalloc(1, sizeof(*c));
	struct failure f;

	c->front_seq = msg->seq;
	c->call = msg->u.call;
	memset(&msg->u.call.request, 0, sizeof(msg->u.call.request));
	c->received_us = now.mono_us;
	RB_INSERT(entry_by_front_seq, &n->calls, c);
	n->ncalls++;
	n->counters.values[COUNT_CALLS]++;
	if (!admit(n, c, now, &f)) {
		entry_fail(n, c, f.verdict, f.reason, now, out);
		return;
	}
	assign_tree(n, c);
	c->balance.importance = c->context.importance;
	c->balance.level = c->context.level;
	c->deadline_us = call_deadline_us(n, c, now);
	retry_budget_add(&membership_find_or_create(n, c->service)->budget);
	take_token_or_wait(n, c, now, out);
}

void
entry_handle_call_gone(struct node *n, uint64_t front_seq, struct msg_list *out)
{
	struct entry_call want, *c;

	want.front_seq = front_seq;
	c = RB_FIND(entry_by_front_seq, &n->calls, &want);
	if (c == NULL)
		return;
	send_cancel(c, false, out);
	n->counters.refused[REASON_CANCELLED]++;
	call_free(n, c);
}

static bool
key_is_still_valid(struct node *n, const struct entry_call *c)
{
	struct organisation *org;

	if (!c->org_from_key)
		return true;
	org = catalog_key_owner(n->conf.catalog, c->call.key_hash);
	return org != NULL && strcmp(org->name, c->context.org) == 0;
}

void
entry_recheck_keys(struct node *n, struct instant now, struct msg_list *out)
{
	struct entry_call *c, *next;

	RB_FOREACH_SAFE (c, entry_by_front_seq, &n->calls, next) {
		if (key_is_still_valid(n, c))
			continue;
		/* A try that was sent is withdrawn unless it runs already. */
		if (c->state == ENTRY_WAIT_REPLY || c->state == ENTRY_ASK_FATE)
			send_cancel(c, true, out);
		else
			entry_fail(n, c, VERDICT_NOT_RUN, REASON_KEY_REFUSED,
			    now, out);
	}
}

void
entry_resume_waiting(struct node *n, struct instant now, struct msg_list *out)
{
	struct entry_call *c, *next;

	RB_FOREACH_SAFE (c, entry_by_front_seq, &n->calls, next) {
		if (c->state == ENTRY_WAIT_MEMBERS) {
			attempt_next(n, c, now, out);
		} else if (c->state == ENTRY_WAIT_TOKEN &&
			   quota_take_queued(n->quota, c->context.org, now) ==
			       QUOTA_TAKEN) {
			end_token_wait(n, c);
			c->token_taken = true;
			attempt_next(n, c, now, out);
		}
	}
}

/* Give up on the try in flight: whether it runs at the target is unknown. */
static void
fail_unanswered(struct node *n, struct entry_call *c, struct instant now,
    struct msg_list *out)
{
	send_cancel(c, false, out);
	entry_fail(n, c, VERDICT_MAY_HAVE_RUN, REASON_DEADLINE, now, out);
}

static void
resume_call(struct node *n, struct entry_call *c, struct instant now,
    struct msg_list *out)
{
	switch (c->state) {
	case ENTRY_NEW:
		break;
	case ENTRY_WAIT_TOKEN:
		entry_fail(n, c, VERDICT_NOT_RUN, REASON_OVER_RATE, now, out);
		break;
	case ENTRY_WAIT_MEMBERS:
	case ENTRY_BACKOFF:
		attempt_next(n, c, now, out);
		break;
	case ENTRY_WAIT_REPLY:
		fail_unanswered(n, c, now, out);
		break;
	case ENTRY_ASK_FATE:
		if (now.mono_us < c->ask_fate_until_us)
			attempt_ask_fate(n, c, now, out);
		else
			entry_fail(n, c, VERDICT_MAY_HAVE_RUN, REASON_LINK_LOST,
			    now, out);
		break;
	}
}

void
entry_fail_all(struct node *n, struct instant now, struct msg_list *out)
{
	struct entry_call *c, *next;

	n->calls_abandoned = true;
	RB_FOREACH_SAFE (c, entry_by_front_seq, &n->calls, next) {
		if (c->state == ENTRY_WAIT_REPLY || c->state == ENTRY_ASK_FATE)
			fail_unanswered(n, c, now, out);
		else
			entry_fail(
			    n, c, VERDICT_NOT_RUN, REASON_LEAVING, now, out);
	}
}

void
entry_tick(struct node *n, struct instant now, struct msg_list *out)
{
	struct entry_call *c, *next;

	entry_resume_waiting(n, now, out);
	if (quota_urgent_request_due(n->quota, now))
		control_request_shares(n, now, out);
	RB_FOREACH_SAFE (c, entry_by_front_seq, &n->calls, next) {
		if (now.mono_us >= c->wake_us)
			resume_call(n, c, now, out);
	}
}
