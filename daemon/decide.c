/*
 * The task that owns the core's node: it passes messages and the time to the
 * core and sends the resulting messages to the other tasks.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "core/decision_log.h"
#include "core/position.h"
#include "core/tree.h"
#include "daemon/daemon.h"
#include "daemon/holdings.h"
#include "daemon/log.h"

/* From drained until the tasks are asked whether their output has left. */
#define EXIT_DELAY_US (300 * MSEC_US)
/* Log lines for failed calls; further ones are only counted. */
#define MAX_FAILURE_LINES_PER_SECOND 40
/*
 * Part of the setting key-revocation-s during which the platform's last
 * confirmation of the configuration proves that a key is valid.  The rest
 * allows for the time that the confirmation takes to get here.
 */
#define KEY_PROOF_LIFETIME_PERCENT 90

struct decide_task {
	struct daemon *daemon;
	struct node *node;
	struct event *timer;
	uint64_t drained_since_us; /* monotonic time; 0: not drained */
	uint64_t published_version; /* of the configuration, as last logged */
	uint64_t published_revision;
	uint64_t configs_adopted; /* as last logged */
	uint64_t decision_cursor; /* as in node_next_decision() */
	unsigned int lines_left; /* log lines left in this second */
	unsigned int lines_suppressed; /* not logged in this second */
	uint64_t current_s; /* monotonic second that both counts apply to */
	char announced_state[16]; /* of the target, as last logged */
	uint64_t ends_restored_logged; /* as last logged */
	uint64_t ignored_logged_s; /* monotonic second; ignored announcement */
	uint64_t odd_rows_logged; /* ignored rows, as last logged */
	uint64_t odd_rows_logged_s; /* monotonic second of that */
	uint64_t config_faults_logged; /* not adopted, as last logged */
	uint64_t config_faults_logged_s; /* monotonic second of that */
	uint64_t store_returns_logged; /* as last logged */
	uint64_t old_answers_logged; /* of an earlier era, as last logged */
	uint64_t old_answers_logged_s; /* monotonic second of that */
	uint64_t store_rows_logged_us; /* rows_there_us as last logged */
	uint64_t stray_replies_logged; /* to an earlier process; as logged */
	uint64_t stray_replies_logged_s; /* monotonic second of that */
	bool draining; /* the front task was sent MSG_DRAIN */
	bool closed; /* the front task was sent MSG_CLOSE */
	uint64_t flush_seq; /* of the last MSG_FLUSH */
	bool flush_requested; /* since the node is drained */
	unsigned int tasks_unflushed; /* that have not answered it */
	uint64_t exit_wait_logged_s; /* monotonic second */
};

struct instant
daemon_now(void)
{
	struct timespec mono, wall;
	struct instant now;

	/*
	 * Unlike CLOCK_MONOTONIC, CLOCK_BOOTTIME also counts while the host is
	 * suspended, so that leases expire then.
	 */
	clock_gettime(CLOCK_BOOTTIME, &mono);
	clock_gettime(CLOCK_REALTIME, &wall);
	now.mono_us = mono.tv_sec * SEC_US + mono.tv_nsec / 1000;
	now.wall_ms = wall.tv_sec * 1000 + wall.tv_nsec / 1000000;
	return now;
}

void
daemon_fill_reloadable(const struct settings *s, struct node_setup *setup)
{
	setup->max_calls = s->max_calls;
	setup->default_deadline_us = s->default_deadline_ms * MSEC_US;
	setup->max_deadline_us = s->max_deadline_ms * MSEC_US;
	setup->announce_timeout_us = s->announce_silent_ms * MSEC_US;
	setup->grace_us = s->grace_us;
	setup->key_max_config_age_us =
	    s->key_revocation_us / 100 * KEY_PROOF_LIFETIME_PERCENT;
	setup->headroom_fraction = (double)s->headroom_percent / 100;
}

static struct task *
recipient(struct daemon *d, const struct msg *m)
{
	switch (m->kind) {
	case MSG_ANSWER:
	case MSG_LIMITS:
	case MSG_DRAIN:
	case MSG_CLOSE:
		return d->front;
	case MSG_RUN:
	case MSG_RUN_CANCEL:
		return d->target;
	case MSG_ROW_READ:
	case MSG_ROW_WRITE:
		return d->platform;
	case MSG_ANNOUNCED:
		return d->announce;
	case MSG_OPS_REPLY:
		return m->seq & PROBE_SEQ_FLAG ? d->probe : d->operators;
	default:
		return d->link;
	}
}

static void
send_all(struct decide_task *s, struct msg_list *out)
{
	struct msg *m;

	while ((m = TAILQ_FIRST(out)) != NULL) {
		TAILQ_REMOVE(out, m, entry);
		task_send(recipient(s->daemon, m), m);
	}
}

static void
arm_timer(struct decide_task *s)
{
	uint64_t interval_us = node_tick_interval_us(s->node);
	struct timeval tv = {interval_us / SEC_US, interval_us % SEC_US};

	/* A busy node ticks soon: never replace that by a longer wait. */
	if (evtimer_pending(s->timer, NULL) &&
	    interval_us > NODE_BUSY_TICK_INTERVAL_US)
		return;
	if (!evtimer_pending(s->timer, NULL) ||
	    interval_us <= NODE_BUSY_TICK_INTERVAL_US)
		evtimer_add(s->timer, &tv);
}

/* Log one line for each failed call, up to the limit for each second. */
static void
log_decisions(struct decide_task *s)
{
	uint64_t current_s = daemon_now().mono_us / SEC_US;
	char line[DECISION_LINE_BYTES];

	if (current_s != s->current_s) {
		if (s->lines_suppressed > 0)
			log_line(LOG_NOTICE, "decisions-suppressed", "count=%u",
			    s->lines_suppressed);
		s->current_s = current_s;
		s->lines_left = MAX_FAILURE_LINES_PER_SECOND;
		s->lines_suppressed = 0;
	}
	while (node_next_decision(
	    s->node, &s->decision_cursor, line, sizeof(line))) {
		if (line[0] == '\0')
			continue;
		if (s->lines_left == 0) {
			s->lines_suppressed++;
			continue;
		}
		s->lines_left--;
		log_line(LOG_INFO, "call-failed", "%s", line);
	}
}

/*
 * Log what the core made of an announcement: a change of the target's state,
 * or at most once a second an announcement that was ignored or is held back.
 */
static void
log_announcement(struct decide_task *s, const struct announce *a)
{
	const struct announce_outcome *o = node_announce_outcome(s->node);
	const char *state = a->leaving ? "leaving" : "ready";
	uint64_t current_s = daemon_now().mono_us / SEC_US;

	if (o->ignored ? current_s == s->ignored_logged_s
		       : strcmp(state, s->announced_state) == 0)
		return;
	log_line(o->ignored && !o->held ? LOG_WARNING : LOG_NOTICE,
	    o->held	 ? "announcement-held"
	    : o->ignored ? "announcement-ignored"
			 : "target-announced",
	    "state=%s id=%s born_ms=%" PRIu64 " seq=%" PRIu64 " slots=%" PRIu32
	    " warmup_ms=%" PRIu64 " known_id=%s known_born_ms=%" PRIu64
	    " known_seq=%" PRIu64,
	    state, a->id, a->started_ms, a->seq, a->slots, a->warmup_ms,
	    o->known_id, o->known_started_ms, o->known_seq);
	if (o->ignored)
		s->ignored_logged_s = current_s;
	else
		name_copy(
		    s->announced_state, state, sizeof(s->announced_state));
}

static void
receive(void *state, struct msg *m)
{
	struct msg_list out = TAILQ_HEAD_INITIALIZER(out);
	struct decide_task *s = state;
	uint64_t interval_before_us = node_tick_interval_us(s->node);
	struct node_setup setup_changes; /* only reloadable fields are set */
	bool is_announce = m->kind == MSG_ANNOUNCE;
	struct announce announce;

	if (m->kind == MSG_RELOAD) {
		daemon_fill_reloadable(s->daemon->settings, &setup_changes);
		node_update_settings(s->node, &setup_changes);
		msg_destroy(m);
		return;
	}
	if (m->kind == MSG_FLUSHED) {
		if (m->seq == s->flush_seq && s->tasks_unflushed > 0)
			s->tasks_unflushed--;
		msg_destroy(m);
		return;
	}
	if (is_announce)
		announce = m->u.announce;
	node_handle(s->node, m, daemon_now(), &out);
	if (is_announce)
		log_announcement(s, &announce);
	send_all(s, &out);
	if (node_tick_interval_us(s->node) != interval_before_us)
		arm_timer(s);
}

/* Log that the target's last start ended before this process began. */
static void
log_target_past(struct decide_task *s)
{
	const struct target_start *ended = node_ended_start(s->node);
	uint64_t count =
	    node_counters(s->node)->values[COUNT_TARGET_ENDS_RESTORED];

	if (count == s->ends_restored_logged)
		return;
	log_line(LOG_NOTICE, "target-end-restored",
	    "id=%s born_ms=%" PRIu64 " service=%s", ended->id,
	    ended->started_ms, ended->service);
	s->ends_restored_logged = count;
}

static void
log_platform_requests(const struct node *n)
{
	const struct counters *c = node_counters(n);
	char line[256];
	size_t used = 0;
	uint64_t sum;
	int i, j;

	for (i = 0; i < ROW_TABLE_COUNT; i++) {
		sum = 0;
		for (j = 0; j < ROW_STATUS_COUNT; j++)
			sum += c->platform_requests[i][j];
		used += (size_t)snprintf(line + used, sizeof(line) - used,
		    "%s=%" PRIu64 " ", row_table_name(i), sum);
	}
	log_line(LOG_NOTICE, "platform-requests", "%s", line);
}

/* Ask the tasks that hold answers to report when these have arrived. */
static void
request_flush(struct decide_task *s)
{
	struct task *const tasks[] = {s->daemon->front, s->daemon->link};
	struct msg *m;
	size_t i;

	s->flush_seq++;
	s->flush_requested = true;
	s->tasks_unflushed = sizeof(tasks) / sizeof(tasks[0]);
	for (i = 0; i < sizeof(tasks) / sizeof(tasks[0]); i++) {
		m = msg_create(MSG_FLUSH);
		m->seq = s->flush_seq;
		task_send(tasks[i], m);
	}
}

/*
 * Whether the last answers have arrived, or must be given up because the grace
 * period ends.
 */
static bool
is_flushed(struct decide_task *s, struct instant now)
{
	uint64_t current_s = now.mono_us / SEC_US;

	if (!s->flush_requested)
		request_flush(s);
	if (s->tasks_unflushed == 0)
		return true;
	if (node_grace_is_over(s->node, now)) {
		log_line(
		    LOG_WARNING, "exit-unsent", "tasks=%u", s->tasks_unflushed);
		return true;
	}
	if (current_s != s->exit_wait_logged_s)
		log_line(LOG_INFO, "exit-waits", "tasks=%u cause=unread-output",
		    s->tasks_unflushed);
	s->exit_wait_logged_s = current_s;
	return false;
}

static void
exit_if_drained(struct decide_task *s, struct instant now)
{
	if (!node_is_drained(s->node)) {
		s->drained_since_us = 0;
		s->flush_requested = false;
		return;
	}
	if (s->drained_since_us == 0)
		s->drained_since_us = now.mono_us;
	if (now.mono_us - s->drained_since_us < EXIT_DELAY_US ||
	    !is_flushed(s, now))
		return;
	log_platform_requests(s->node);
	log_line(LOG_NOTICE, "drained", "exit=1");
	event_base_loopexit(s->daemon->base, NULL);
}

static void
send_limits(struct decide_task *s)
{
	struct msg *m = msg_create(MSG_LIMITS);

	m->u.limits = node_caller_limits(s->node);
	task_send(s->daemon->front, m);
}

/* Log the last row that was ignored, at most once a second. */
static void
log_odd_rows(struct decide_task *s)
{
	uint64_t count = node_counters(s->node)->values[COUNT_ODD_ROWS];
	uint64_t current_s = daemon_now().mono_us / SEC_US;

	if (count == s->odd_rows_logged || current_s == s->odd_rows_logged_s)
		return;
	log_line(LOG_WARNING, "row-ignored", "%s count=%" PRIu64,
	    node_last_odd_row(s->node), count);
	s->odd_rows_logged = count;
	s->odd_rows_logged_s = current_s;
}

/* Log the last configuration that was not adopted, at most once a second. */
static void
log_config_faults(struct decide_task *s)
{
	const uint64_t *values = node_counters(s->node)->values;
	uint64_t count = values[COUNT_CONFIG_REJECTED] +
			 values[COUNT_CONFIG_ROWS_OLDER] +
			 values[COUNT_CONFIG_ROWS_LOWER];
	uint64_t current_s = daemon_now().mono_us / SEC_US;

	if (count == s->config_faults_logged ||
	    current_s == s->config_faults_logged_s)
		return;
	log_line(LOG_WARNING, "config-not-adopted", "%s count=%" PRIu64,
	    node_config_fault(s->node), count);
	s->config_faults_logged = count;
	s->config_faults_logged_s = current_s;
}

/* Log that the platform's store came back from a copy. */
static void
log_store_returns(struct decide_task *s)
{
	const struct store_return *r = node_store_return(s->node);
	uint64_t count = node_counters(s->node)->values[COUNT_STORE_RETURNS];
	char from[ADDR_TEXT_LEN];

	if (count == s->store_returns_logged)
		return;
	log_line(LOG_WARNING, "store-returned",
	    "era=%" PRIu64 " was=%" PRIu64 " heard_from=%s count=%" PRIu64,
	    r->era, r->previous_era,
	    addr_is_set(r->heard_from) ? addr_text(r->heard_from, from)
				       : "store",
	    count);
	s->store_returns_logged = count;
}

/* Log, at most once a second, that answers of an earlier era were ignored. */
static void
log_old_answers(struct decide_task *s)
{
	uint64_t count =
	    node_counters(s->node)->values[COUNT_STORE_ANSWERS_OLD];
	uint64_t current_s = daemon_now().mono_us / SEC_US;

	if (count == s->old_answers_logged ||
	    current_s == s->old_answers_logged_s)
		return;
	log_line(LOG_WARNING, "store-answers-old",
	    "era=%" PRIu64 " count=%" PRIu64, node_store_return(s->node)->era,
	    count);
	s->old_answers_logged = count;
	s->old_answers_logged_s = current_s;
}

/* Log that this daemon's rows are there again after a return of the store. */
static void
log_store_rows(struct decide_task *s)
{
	const struct store_return *r = node_store_return(s->node);

	if (r->rows_there_us == 0 ||
	    r->rows_there_us == s->store_rows_logged_us)
		return;
	log_line(LOG_NOTICE, "store-rows-there",
	    "era=%" PRIu64 " written_again=%" PRIu64 " after_ms=%" PRIu64,
	    r->era, r->rows_written_again,
	    (r->rows_there_us - r->heard_us) / MSEC_US);
	s->store_rows_logged_us = r->rows_there_us;
}

/*
 * Log, at most once a second, that replies to calls of an earlier process at
 * this address were ignored.
 */
static void
log_stray_replies(struct decide_task *s)
{
	uint64_t count =
	    node_counters(s->node)->values[COUNT_REPLIES_TO_EARLIER_PROCESS];
	uint64_t current_s = daemon_now().mono_us / SEC_US;

	if (count == s->stray_replies_logged ||
	    current_s == s->stray_replies_logged_s)
		return;
	log_line(LOG_NOTICE, "replies-ignored",
	    "cause=earlier-process count=%" PRIu64, count);
	s->stray_replies_logged = count;
	s->stray_replies_logged_s = current_s;
}

/* Log another version, or that the same text has a later row. */
static void
log_config_change(struct decide_task *s, uint64_t version)
{
	uint64_t adopted = node_counters(s->node)->values[COUNT_CONFIG_ADOPTED];

	log_line(LOG_NOTICE,
	    adopted != s->configs_adopted ? "config-adopted" : "config-moved",
	    "version=%" PRIu64 " was=%" PRIu64 " era=%" PRIu64
	    " was_era=%" PRIu64 " revision=%" PRIu64 " was_revision=%" PRIu64,
	    position_version(version), position_version(s->published_version),
	    position_era(version), position_era(s->published_version),
	    node_config_revision(s->node), s->published_revision);
	s->configs_adopted = adopted;
	s->published_revision = node_config_revision(s->node);
}

/* Update what other tasks see of the node, and log what changed. */
static void
publish_state(struct decide_task *s)
{
	uint64_t version = node_config_version(s->node);
	bool ready = node_is_ready(s->node);

	if (version != s->published_version) {
		log_config_change(s, version);
		send_limits(s);
	}
	if (ready != s->daemon->ready)
		log_line(LOG_NOTICE, ready ? "ready" : "not-ready",
		    "version=%" PRIu64, position_version(version));
	s->published_version = version;
	s->daemon->ready = ready;
	if (node_is_draining(s->node) && !s->draining)
		task_send(s->daemon->front, msg_create(MSG_DRAIN));
	if (node_refuses_calls(s->node, daemon_now()) && !s->closed)
		task_send(s->daemon->front, msg_create(MSG_CLOSE));
	s->draining = s->daemon->draining = node_is_draining(s->node);
	s->closed = node_refuses_calls(s->node, daemon_now());
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct msg_list out = TAILQ_HEAD_INITIALIZER(out);
	struct decide_task *s = arg;
	struct instant now = daemon_now();

	(void)fd;
	(void)what;
	node_tick(s->node, now, &out);
	send_all(s, &out);
	log_decisions(s);
	log_odd_rows(s);
	log_config_faults(s);
	log_store_returns(s);
	log_old_answers(s);
	log_store_rows(s);
	log_stray_replies(s);
	log_target_past(s);
	holdings_log(s->daemon->holdings);
	publish_state(s);
	exit_if_drained(s, now);
	arm_timer(s);
}

static void
destroy(void *state)
{
	struct decide_task *s = state;

	event_free(s->timer);
	node_destroy(s->node);
	free(s);
}

static const struct task_ops ops = {receive, destroy};

struct task *
decide_task_create(struct daemon *d, const struct node_setup *setup)
{
	struct decide_task *s = xcalloc(1, sizeof(*s));
	struct timeval first_tick = {0, 1000};

	s->daemon = d;
	s->node = node_create(setup);
	s->timer = evtimer_new(d->base, on_timer, s);
	evtimer_add(s->timer, &first_tick);
	return task_create(d->base, "decide", &ops, s);
}

void
daemon_drain(struct daemon *d)
{
	struct msg *m = msg_create(MSG_OPS);

	m->u.ops.verb = OPS_DRAIN;
	task_send(d->decide, m);
}
