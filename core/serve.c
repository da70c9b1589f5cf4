/*
 * Calls at the daemon beside their target: admission, the ledger of
 * idempotency ids, queueing, dispatch to the target, and replies.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/hash.h"
#include "core/node_impl.h"

/*
 * A call may wait in the queue for 1/8 of what is left of its latency goal, but
 * for at least 25 ms, also if it has no goal.
 */
#define GOAL_WAIT_DIVISOR 8
#define GOAL_WAIT_MIN_US (25 * MSEC_US)
/* The wait that is allowed to a nested call when pressure is measured. */
#define NESTED_WAIT_US (60 * MSEC_US)
/*
 * The local target depends on a service if it sends it at least this many
 * nested calls for each call that it finishes.
 */
#define DEPENDENCY_MIN_RATIO 0.1
/*
 * The fraction of a dependency's pressure that is passed on to callers; less
 * than 1, so that a cycle of services cannot sustain its own pressure.
 */
#define PRESSURE_PROPAGATION_FACTOR 0.97
#define COUNT_DECAY_FACTOR 0.97 /* of recent counts, for each slow tick */
#define MEAN_SMOOTHING_DIVISOR 8 /* weight of the last call: 1/8 */

static int
job_cmp(struct job *a, struct job *b)
{
	return a->seq < b->seq ? -1 : a->seq > b->seq;
}

RB_GENERATE(job_tree, job, by_seq, job_cmp);

struct job *
serve_find_job(struct node *n, uint64_t seq)
{
	struct job want;

	want.seq = seq;
	return RB_FIND(job_tree, &n->jobs, &want);
}

/* What the core keeps for a request from another host. */
static size_t
forward_bytes(const struct forward *f)
{
	return sizeof(struct job) + f->request.headers.len +
	       f->request.body.len;
}

/* The job is refused soon, in serve_refuse_gave_way(). */
static void
job_give_way(void *owner)
{
	struct job *j = owner;

	j->gave_way = true;
	j->node->jobs_gave_way = true;
	holder_set(&j->memory, 0);
}

static const struct holder_ops job_holder = {HOLDER_JOB, false, job_give_way};

static void
job_free(struct node *n, struct job *j)
{
	holder_release(&j->memory);
	RB_REMOVE(job_tree, &n->jobs, j);
	n->njobs--;
	request_release(&j->forward.request);
	free(j);
}

void
serve_destroy(struct node *n)
{
	struct job *j;

	while ((j = RB_ROOT(&n->jobs)) != NULL)
		job_free(n, j);
	if (n->target.queue != NULL)
		shed_destroy(n->target.queue);
}

const struct shedder *
serve_shedder(const struct node *n)
{
	if (n->setup.shedder != NULL)
		return n->setup.shedder;
	return n->conf.catalog != NULL &&
		       n->conf.catalog->weighing == WEIGHING_GOODPUT
		   ? &shedder_goodput
		   : &shedder_recovery;
}

/* The highest pressure of the services that the local target depends on. */
static double
downstream_pressure(struct node *n, struct instant now)
{
	double max = 0, p;
	struct group *g;

	RB_FOREACH (g, group_tree, &n->groups) {
		if (g->recent_nested_calls <
		    DEPENDENCY_MIN_RATIO * n->target.recent_finished)
			continue;
		p = group_pressure(g, now) * PRESSURE_PROPAGATION_FACTOR;
		if (p > max)
			max = p;
	}
	return max;
}

uint32_t
serve_reported_pressure_permille(struct node *n, struct instant now)
{
	double downstream = downstream_pressure(n, now);

	return (uint32_t)(1000 * (downstream > n->target.pressure.fraction
					 ? downstream
					 : n->target.pressure.fraction));
}

/* Every reply reports the state of this target to the entry daemon. */
static void
add_target_state(struct node *n, struct reply *r)
{
	unsigned int limit = limit_current(&n->target.limit);

	if (n->target.queue == NULL)
		return;
	r->threshold = shed_threshold(n->target.queue);
	r->load_permille = (n->target.running + shed_count(n->target.queue)) *
			   1000 / (limit ? limit : 1);
	r->leaving = n->target.leaving;
	r->pressure_permille = n->target.reported_pressure_permille;
}

void
serve_send_failure(struct node *n, struct addr to, uint64_t seq,
    struct failure f, uint32_t allowance, struct msg_list *out)
{
	struct msg *m = msg_emit(out, MSG_REPLY, to, seq);

	reply_fail(&m->u.reply, f);
	m->u.reply.allowance = allowance;
	add_target_state(n, &m->u.reply);
}

void
serve_share_reply(struct node *n, struct addr to, uint64_t seq,
    struct reply *reply, struct msg_list *out)
{
	struct msg *m = msg_emit(out, MSG_REPLY, to, seq);

	reply_share(&m->u.reply, reply);
	m->u.reply.allowance = 0;
	m->u.reply.tries = 0;
	add_target_state(n, &m->u.reply);
}

static void
record_decision(struct node *n, const struct forward *f,
    struct addr entry_daemon, struct failure failure, struct instant now)
{
	struct decision *d = decision_log_add(n->decision_log);
	enum importance i = f->context.importance;
	/* A nested call is not limited by a window: show the lowest one. */
	const struct window *window =
	    &n->target.windows.of[i < IMPORTANCE_NESTED ? i : IMPORTANCE_LOW];

	d->step = "serve";
	d->at_ms = now.wall_ms;
	d->tree_id = f->context.tree_id;
	d->target = entry_daemon;
	d->failure = failure;
	name_copy(d->id, f->id, sizeof(d->id));
	name_copy(d->org, f->context.org, sizeof(d->org));
	name_copy(d->service, f->service, sizeof(d->service));
	snprintf(d->details, sizeof(d->details),
	    "running=%u limit=%u trees=%u window=%.1f waiting=%zu "
	    "delay_ms=%" PRIu64,
	    n->target.running, limit_current(&n->target.limit), window->running,
	    window->limit, n->target.queue ? shed_count(n->target.queue) : 0,
	    n->target.queue ? shed_delay_us(n->target.queue) / MSEC_US : 0);
}

/* Send the outcome to every try that waits for the record. */
static void
reply_waiters(struct node *n, struct ledger_record *rec, struct reply *reply,
    struct msg_list *out)
{
	struct ledger_waiter *w;

	while ((w = LIST_FIRST(&rec->waiters)) != NULL) {
		serve_share_reply(n, w->entry_daemon, w->seq, reply, out);
		LIST_REMOVE(w, entry);
		free(w);
	}
}

/* End a job that never reached the target, so that "not run" is true. */
static void
refuse_job(struct node *n, struct job *j, enum reason reason,
    struct instant now, struct msg_list *out)
{
	struct failure f = failure_make(VERDICT_NOT_RUN, reason);
	struct reply reply;

	record_decision(n, &j->forward, j->entry_daemon, f, now);
	if (j->record != NULL) {
		memset(&reply, 0, sizeof(reply));
		reply_fail(&reply, f);
		reply_waiters(n, j->record, &reply, out);
		ledger_remove(n->ledger, j->record);
	}
	serve_send_failure(
	    n, j->entry_daemon, j->entry_seq, f, j->allowance, out);
	job_free(n, j);
}

static enum ledger_result
begin_record(struct node *n, const struct msg *msg, struct instant now,
    struct ledger_record **rec)
{
	const struct forward *f = &msg->u.forward;

	return ledger_begin(
	    n->ledger, f->context.org, f->id, msg->peer, msg->seq, now, rec);
}

enum may_run {
	MAY_RUN,
	MAY_NOT_RUN,
	MAY_RUN_IF_PROVED, /* we own the id, but by a row that may be stale */
};

/*
 * Whether this daemon may run a new id, by what it knows of the owners now.
 * *failure is set unless the result is MAY_RUN.
 */
static enum may_run
check_ownership(struct node *n, const struct forward *f, struct instant now,
    struct failure *failure)
{
	struct group *g = membership_find(n, f->service);
	char dc[NAME_LEN];
	uint64_t stamp_ms;

	if (!f->owned)
		return MAY_RUN;
	*failure = failure_make(VERDICT_NOT_RUN, REASON_NOT_OWNER);
	if (g == NULL || g->self == NULL ||
	    !id_parse(f->id, &stamp_ms, dc, sizeof(dc)) ||
	    strcmp(dc, n->setup.dc) != 0)
		return MAY_NOT_RUN;
	switch (ownership_find(n, g, dc, f->id, stamp_ms, now).kind) {
	case OWNER_IS_SELF:
		return MAY_RUN;
	case OWNER_IS_UNPROVED:
		failure->reason = REASON_NO_PROOF;
		return MAY_RUN_IF_PROVED;
	case OWNER_IS_LOST:
		*failure =
		    failure_make(VERDICT_MAY_HAVE_RUN, REASON_OWNER_LOST);
		return MAY_NOT_RUN;
	default:
		return MAY_NOT_RUN;
	}
}

/*
 * Answer a try whose id has a record, or let it wait for the one that runs.
 * Returns false if the try has yet to be admitted.
 */
static bool
answer_from_ledger(
    struct node *n, struct msg *msg, struct instant now, struct msg_list *out)
{
	struct forward *f = &msg->u.forward;
	struct ledger_record *rec =
	    n->setup.guard->find(n->ledger, f->context.org, f->id);
	struct failure failure;

	if (rec == NULL)
		return false;
	switch (rec->state) {
	case LEDGER_STATE_RUNNING:
		ledger_add_waiter(rec, msg->peer, msg->seq);
		return true;
	case LEDGER_STATE_RAN:
		n->counters.values[COUNT_LEDGER_REPLAYS]++;
		if (rec->has_reply) {
			serve_share_reply(
			    n, msg->peer, msg->seq, &rec->reply, out);
			return true;
		}
		failure = failure_make(VERDICT_RAN, REASON_ANSWER_GONE);
		break;
	case LEDGER_STATE_UNKNOWN:
		failure =
		    failure_make(VERDICT_MAY_HAVE_RUN, REASON_TARGET_FAILED);
		break;
	default:
		return false;
	}
	record_decision(n, f, msg->peer, failure, now);
	serve_send_failure(
	    n, msg->peer, msg->seq, failure, f->context.allowance, out);
	return true;
}

/*
 * Whether the entry daemon would repeat a call that may run only once by a
 * later configuration than it has.
 */
static bool
is_repeat_outdated(const struct node *n, const struct forward *f)
{
	const struct route *r;

	if (!f->idempotent || f->config_version >= n->conf.version ||
	    n->conf.catalog == NULL)
		return false;
	r = catalog_request_route(n->conf.catalog, &f->request);
	return r != NULL && !route_may_repeat(r);
}

/*
 * Check whether a call may run here, and make its ledger record.  The record
 * is made last, so that a call that is refused leaves none.
 */
static bool
admit(struct node *n, struct msg *msg, struct instant now,
    struct ledger_record **rec, struct failure *failure)
{
	struct forward *f = &msg->u.forward;

	*failure = failure_make(VERDICT_NOT_RUN, REASON_NO_TARGET);
	if (!n->target.present || strcmp(n->target.service, f->service) != 0)
		return false;
	/*
	 * While the target leaves, this daemon still accepts the ids that it
	 * owns, until the time at which its ownership ends.
	 */
	failure->reason = REASON_LEAVING;
	if (n->target.left ||
	    (n->target.leaving && !f->owned &&
		(!n->setup.ids_outlive_attempts ||
		    now.wall_ms >= n->target.ownership_end_ms)))
		return false;
	failure->reason = REASON_DEADLINE;
	if (f->context.deadline_ms == 0)
		return false;
	failure->reason = REASON_STALE_CONFIG;
	if (is_repeat_outdated(n, f))
		return false;
	if (f->idempotent)
		return true;
	if (check_ownership(n, f, now, failure) != MAY_RUN)
		return false;
	switch (begin_record(n, msg, now, rec)) {
	case LEDGER_NEW:
		return true;
	case LEDGER_FULL:
		*failure = failure_make(VERDICT_NOT_RUN, REASON_LEDGER_FULL);
		return false;
	default:
		/* A tombstone: the entry daemon was told that it never ran. */
		*failure = failure_make(VERDICT_NOT_RUN, REASON_LINK_LOST);
		return false;
	}
}

/*
 * The longest wait of a call in the queue.  An early refusal leaves the
 * caller time to retry within its goal.  A nested call has no bound (0),
 * since refusing it wastes the work of the call that made it.
 */
static uint64_t
goal_wait_us(const struct call_context *c)
{
	uint64_t us = c->goal_ms * MSEC_US / GOAL_WAIT_DIVISOR;

	if (c->importance == IMPORTANCE_NESTED)
		return 0;
	return us > GOAL_WAIT_MIN_US ? us : GOAL_WAIT_MIN_US;
}

static struct job *
job_create(struct node *n, struct msg *msg, struct ledger_record *rec,
    struct instant now)
{
	struct job *j = xcalloc(1, sizeof(*j));

	j->seq = node_next_seq(n);
	j->entry_daemon = msg->peer;
	j->entry_seq = msg->seq;
	j->forward = msg->u.forward;
	memset(&msg->u.forward.request, 0, sizeof(msg->u.forward.request));
	j->record = rec;
	j->allowance = j->forward.context.allowance;
	j->deadline_us = now.mono_us + j->forward.context.deadline_ms * MSEC_US;
	j->queue_item.owner = j;
	j->queue_item.importance = j->forward.context.importance;
	j->queue_item.level = j->forward.context.level;
	j->queue_item.deadline_us = j->deadline_us;
	j->queue_item.max_wait_us = goal_wait_us(&j->forward.context);
	name_copy(j->queue_item.org, j->forward.context.org,
	    sizeof(j->queue_item.org));
	RB_INSERT(job_tree, &n->jobs, j);
	n->njobs++;
	j->node = n;
	holder_init(&j->memory, n->setup.memory, &job_holder, j, now.mono_us);
	/* The request of a local caller is charged by its connection. */
	if (!addr_equal(j->entry_daemon, n->setup.self))
		holder_set(&j->memory, forward_bytes(&j->forward));
	return j;
}

static void
record_queue_wait(struct node *n, const struct job *j, struct instant now)
{
	uint64_t allowed_us = j->queue_item.max_wait_us;

	if (j->queue_item.importance == IMPORTANCE_NESTED) {
		/* The windows of the calling targets answer to these. */
		if (serve_shedder(n)->uses_windows)
			return;
		allowed_us = NESTED_WAIT_US;
	}
	pressure_record_wait(&n->target.pressure,
	    now.mono_us - j->queue_item.queued_us, allowed_us);
}

/* Whether the job begins a call tree; else it is a part of one. */
static bool
begins_tree(const struct job *j)
{
	return j->forward.context.importance < IMPORTANCE_NESTED;
}

/* The importances whose trees may not begin, as bits; for shed_dequeue(). */
static unsigned int
blocked_importances(struct node *n)
{
	unsigned int blocked = 0;
	int i;

	if (!serve_shedder(n)->uses_windows)
		return 0;
	for (i = 0; i < IMPORTANCE_NESTED; i++) {
		if (!windows_may_start(&n->target.windows, i))
			blocked |= 1u << i;
	}
	return blocked;
}

static void
start_job(
    struct node *n, struct job *j, struct instant now, struct msg_list *out)
{
	struct msg *m;
	struct failure f;

	/* The ownership of the id may have ended while the call waited. */
	if (j->record != NULL &&
	    check_ownership(n, &j->forward, now, &f) == MAY_NOT_RUN) {
		refuse_job(n, j, REASON_NOT_OWNER, now, out);
		return;
	}
	j->started_us = now.mono_us;
	if (begins_tree(j))
		windows_start(
		    &n->target.windows, j->forward.context.importance);
	record_queue_wait(n, j, now);
	n->target.running++;
	histogram_add(&n->queue_wait, now.mono_us - j->queue_item.queued_us);
	n->counters.values[COUNT_JOBS_STARTED]++;
	holder_set(&j->memory, 0);
	m = msg_emit(out, MSG_RUN, n->setup.self, j->seq);
	m->body_is_charged = addr_equal(j->entry_daemon, n->setup.self);
	m->u.forward = j->forward;
	memset(&m->u.forward.request, 0, sizeof(m->u.forward.request));
	request_move(&m->u.forward.request, &j->forward.request);
	name_copy(m->u.forward.target_id, n->target.id, ID_LEN);
	m->u.forward.context.job = j->seq;
	/* Rounded up, as 0 would leave the target no time at all. */
	m->u.forward.context.deadline_ms =
	    (j->deadline_us - now.mono_us) / MSEC_US + 1;
}

static void
refuse_expired(struct node *n, struct shed_items *expired, struct instant now,
    struct msg_list *out)
{
	struct shed_item *it;
	struct job *j;

	while ((it = TAILQ_FIRST(expired)) != NULL) {
		TAILQ_REMOVE(expired, it, entry);
		j = it->owner;
		refuse_job(n, j,
		    now.mono_us + n->target.mean_service_us >= j->deadline_us
			? REASON_DEADLINE
			: REASON_SHED,
		    now, out);
	}
}

/* Start as many calls as the limit allows; refuse those that expired. */
static void
start_queued(struct node *n, struct instant now, struct msg_list *out)
{
	struct shed_items expired = TAILQ_HEAD_INITIALIZER(expired);
	struct local_target *t = &n->target;
	struct shed_item *it;

	while (t->running < limit_current(&t->limit)) {
		it = shed_dequeue(t->queue, blocked_importances(n), now,
		    t->mean_service_us, &expired);
		if (it == NULL)
			break;
		start_job(n, it->owner, now, out);
	}
	refuse_expired(n, &expired, now, out);
}

static bool
threshold_applies(struct node *n, const struct job *j)
{
	return n->target.running >= limit_current(&n->target.limit) &&
	       threshold_refuses(shed_threshold(n->target.queue),
		   j->queue_item.importance, j->queue_item.level);
}

static void
refuse(struct node *n, const struct msg *msg, struct failure failure,
    struct instant now, struct msg_list *out)
{
	const struct forward *f = &msg->u.forward;

	record_decision(n, f, msg->peer, failure, now);
	serve_send_failure(
	    n, msg->peer, msg->seq, failure, f->context.allowance, out);
}

void
serve_refuse_forward(struct node *n, const struct msg *msg, enum reason reason,
    struct instant now, struct msg_list *out)
{
	refuse(n, msg, failure_make(VERDICT_NOT_RUN, reason), now, out);
}

void
serve_handle_forward(
    struct node *n, struct msg *msg, struct instant now, struct msg_list *out)
{
	struct forward *f = &msg->u.forward;
	struct ledger_record *rec = NULL;
	struct shed_item *victim = NULL;
	struct failure failure;
	struct job *j;

	if (!f->idempotent && answer_from_ledger(n, msg, now, out))
		return;
	if (check_ownership(n, f, now, &failure) == MAY_RUN_IF_PROVED) {
		ownership_await_proof(
		    n, membership_find(n, f->service), msg, now, out);
		return;
	}
	if (!admit(n, msg, now, &rec, &failure)) {
		refuse(n, msg, failure, now, out);
		return;
	}
	j = job_create(n, msg, rec, now);
	if (threshold_applies(n, j) ||
	    !shed_enqueue(n->target.queue, &j->queue_item, now, &victim)) {
		pressure_record_refusal(&n->target.pressure);
		refuse_job(n, j, REASON_SHED, now, out);
		return;
	}
	if (victim != NULL)
		refuse_job(n, victim->owner, REASON_SHED, now, out);
	start_queued(n, now, out);
}

static void
record_service_time(struct node *n, const struct reply *r, uint64_t took_us)
{
	struct local_target *t = &n->target;
	bool ok = r->failure.reason == REASON_NONE && r->status < 500;

	limit_record_call(&t->limit, took_us, t->running, ok);
	if (t->mean_service_us == 0)
		t->mean_service_us = took_us;
	else
		t->mean_service_us +=
		    ((int64_t)took_us - (int64_t)t->mean_service_us) /
		    MEAN_SMOOTHING_DIVISOR;
}

static void
settle_ledger_record(
    struct node *n, struct job *j, struct reply *r, struct msg_list *out)
{
	struct ledger_record *rec = j->record;

	if (rec == NULL)
		return;
	reply_waiters(n, rec, r, out);
	if (r->failure.reason == REASON_NONE)
		ledger_finish(n->ledger, rec, r);
	else if (r->failure.verdict == VERDICT_NOT_RUN)
		ledger_remove(n->ledger, rec);
	else
		ledger_set_unknown(rec);
}

void
serve_handle_run_done(
    struct node *n, struct msg *msg, struct instant now, struct msg_list *out)
{
	struct job *j = serve_find_job(n, msg->seq);
	struct reply *r = &msg->u.reply;
	struct msg *m;

	if (j == NULL || j->started_us == 0)
		return;
	n->target.running--;
	if (begins_tree(j))
		windows_end(&n->target.windows, j->forward.context.importance);
	n->target.recent_finished += 1;
	n->counters.values[COUNT_JOBS_DONE]++;
	record_service_time(n, r, now.mono_us - j->started_us);
	record_decision(n, &j->forward, j->entry_daemon, r->failure, now);
	settle_ledger_record(n, j, r, out);
	m = msg_emit(out, MSG_REPLY, j->entry_daemon, j->entry_seq);
	reply_move(&m->u.reply, r);
	m->u.reply.allowance = j->allowance;
	m->u.reply.tries = j->tries;
	add_target_state(n, &m->u.reply);
	job_free(n, j);
	start_queued(n, now, out);
}

void
serve_handle_cancel(
    struct node *n, struct msg *msg, struct instant now, struct msg_list *out)
{
	struct job *j;

	RB_FOREACH (j, job_tree, &n->jobs) {
		if (j->entry_seq == msg->seq &&
		    addr_equal(j->entry_daemon, msg->peer))
			break;
	}
	if (j == NULL)
		return;
	n->counters.values[COUNT_JOBS_CANCELLED]++;
	if (j->started_us == 0) {
		/* Other tries of the same id may wait for this job. */
		if (j->record != NULL && !LIST_EMPTY(&j->record->waiters))
			return;
		shed_remove(n->target.queue, &j->queue_item);
		refuse_job(n, j, REASON_CANCELLED, now, out);
		return;
	}
	if (!msg->queued_only && j->record == NULL)
		msg_emit(out, MSG_RUN_CANCEL, n->setup.self, j->seq);
}

void
serve_refuse_queued(struct node *n, enum reason reason, struct instant now,
    struct msg_list *out)
{
	struct job *j, *next;

	RB_FOREACH_SAFE (j, job_tree, &n->jobs, next) {
		if (j->started_us != 0)
			continue;
		shed_remove(n->target.queue, &j->queue_item);
		refuse_job(n, j, reason, now, out);
	}
}

void
serve_refuse_gave_way(struct node *n, struct instant now, struct msg_list *out)
{
	struct job *j, *next;

	if (!n->jobs_gave_way)
		return;
	n->jobs_gave_way = false;
	RB_FOREACH_SAFE (j, job_tree, &n->jobs, next) {
		if (!j->gave_way || j->started_us != 0)
			continue;
		shed_remove(n->target.queue, &j->queue_item);
		refuse_job(n, j, REASON_SHED, now, out);
	}
}

/* Refuse calls that expired in the queue, also while none may start. */
static void
expire_queue(struct node *n, struct instant now, struct msg_list *out)
{
	struct shed_items expired = TAILQ_HEAD_INITIALIZER(expired);

	shed_expire(n->target.queue, now, n->target.mean_service_us, &expired);
	if (!TAILQ_EMPTY(&expired))
		pressure_record_refusal(&n->target.pressure);
	refuse_expired(n, &expired, now, out);
}

void
serve_slow_tick(struct node *n, struct instant now)
{
	struct group *g;
	struct job *j;

	if (n->target.queue == NULL)
		return;
	RB_FOREACH (g, group_tree, &n->groups)
		g->recent_nested_calls *= COUNT_DECAY_FACTOR;
	n->target.recent_finished *= COUNT_DECAY_FACTOR;
	/*
	 * A mean from a slow period can make every deadline look unreachable.
	 * No call would run and correct it, so it decays while none runs.
	 */
	if (n->target.running == 0)
		n->target.mean_service_us -=
		    n->target.mean_service_us / MEAN_SMOOTHING_DIVISOR;
	shed_tick(n->target.queue);
	if (shed_count(n->target.queue) > 0) {
		RB_FOREACH (j, job_tree, &n->jobs) {
			if (j->started_us == 0)
				record_queue_wait(n, j, now);
		}
	}
	windows_tick(&n->target.windows);
	pressure_tick(&n->target.pressure);
	n->target.reported_pressure_permille =
	    serve_reported_pressure_permille(n, now);
}

void
serve_tick(struct node *n, struct instant now, struct msg_list *out)
{
	if (n->target.queue == NULL)
		return;
	serve_refuse_gave_way(n, now, out);
	start_queued(n, now, out);
	expire_queue(n, now, out);
}
