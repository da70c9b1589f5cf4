/*
 * The task that owns the node: it feeds messages and time to the core, and
 * hands on what the core wants to be sent.
 */
#include <stdlib.h>
#include <time.h>

#include "core/explain.h"
#include "daemon/daemon.h"
#include "daemon/log.h"

#define LINGER_US (300 * MSEC_US) /* from drained to exit: answers leave */

#define LINES_A_SECOND 40 /* of failed calls; the rest is only counted */
#define KEY_PROOF_PERCENT 90 /* of the time in which a key must be refused */

struct decide {
	struct daemon *daemon;
	struct node *node;
	struct event *timer;
	uint64_t drained_us;
	uint64_t version;
	uint64_t cursor; /* of decisions that were logged */
	unsigned int lines; /* that may yet be logged in this second */
	unsigned int suppressed;
	uint64_t second; /* in which they are counted */
	bool draining;
	bool closed;
};

struct instant
daemon_now(void)
{
	struct timespec mono, wall;
	struct instant now;

	/* BOOTTIME goes on while the host is suspended: leases must end. */
	clock_gettime(CLOCK_BOOTTIME, &mono);
	clock_gettime(CLOCK_REALTIME, &wall);
	now.mono_us = mono.tv_sec * SEC_US + mono.tv_nsec / 1000;
	now.wall_ms = wall.tv_sec * 1000 + wall.tv_nsec / 1000000;
	return now;
}

void
daemon_tune(const struct settings *s, struct node_setup *setup)
{
	setup->max_calls = s->max_calls;
	setup->default_deadline_us = s->default_deadline_ms * MSEC_US;
	setup->max_deadline_us = s->max_deadline_ms * MSEC_US;
	setup->announce_silent_us = s->announce_silent_ms * MSEC_US;
	setup->grace_us = s->grace_us;
	/* Word of the platform ages a little on its way here. */
	setup->key_proof_us = s->key_revocation_us / 100 * KEY_PROOF_PERCENT;
	setup->headroom = (double)s->headroom_percent / 100;
}

static struct task *
task_for(struct daemon *d, const struct msg *m)
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
	case MSG_OPS_REPLY:
		return m->seq & DAEMON_PROBE_SEQ ? d->probe : d->operators;
	default:
		return d->link;
	}
}

static void
send_all(struct decide *s, struct msg_list *out)
{
	struct msg *m;

	while ((m = TAILQ_FIRST(out)) != NULL) {
		TAILQ_REMOVE(out, m, entry);
		task_send(task_for(s->daemon, m), m);
	}
}

static void
arm(struct decide *s)
{
	uint64_t wake = node_wake(s->node);
	struct timeval tv = {wake / SEC_US, wake % SEC_US};

	/* A busy node needs its next tick soon; never push it back. */
	if (evtimer_pending(s->timer, NULL) && wake > NODE_BUSY_TICK_US)
		return;
	if (!evtimer_pending(s->timer, NULL) || wake <= NODE_BUSY_TICK_US)
		evtimer_add(s->timer, &tv);
}

/* One line a failed call, as far as the second's lines reach. */
static void
log_decisions(struct decide *s)
{
	uint64_t second = daemon_now().mono_us / SEC_US;
	char line[EXPLAIN_LINE];

	if (second != s->second) {
		if (s->suppressed > 0)
			log_line(LOG_NOTICE, "decisions-suppressed", "count=%u",
			    s->suppressed);
		s->second = second;
		s->lines = LINES_A_SECOND;
		s->suppressed = 0;
	}
	while (node_next_decision(s->node, &s->cursor, line, sizeof(line))) {
		if (line[0] == '\0')
			continue;
		if (s->lines == 0) {
			s->suppressed++;
			continue;
		}
		s->lines--;
		log_line(LOG_INFO, "call-failed", "%s", line);
	}
}

static void
receive(void *state, struct msg *m)
{
	struct msg_list out = TAILQ_HEAD_INITIALIZER(out);
	struct decide *s = state;
	uint64_t before = node_wake(s->node);
	struct node_setup tuned;

	if (m->kind == MSG_RELOAD) {
		daemon_tune(s->daemon->settings, &tuned);
		node_retune(s->node, &tuned);
		msg_destroy(m);
		return;
	}
	node_handle(s->node, m, daemon_now(), &out);
	send_all(s, &out);
	if (node_wake(s->node) != before)
		arm(s);
}

static void
check_drained(struct decide *s, struct instant now)
{
	if (!node_is_drained(s->node)) {
		s->drained_us = 0;
		return;
	}
	if (s->drained_us == 0)
		s->drained_us = now.mono_us;
	if (now.mono_us - s->drained_us < LINGER_US)
		return;
	log_line(LOG_NOTICE, "drained", "exit=1");
	event_base_loopexit(s->daemon->base, NULL);
}

static void
send_limits(struct decide *s)
{
	struct msg *m = msg_create(MSG_LIMITS);

	m->u.limits = node_limits(s->node);
	task_send(s->daemon->front, m);
}

/* What other tasks go by, brought up to date. */
static void
publish(struct decide *s)
{
	uint64_t version = node_version(s->node);
	bool ready = node_is_ready(s->node);

	if (version != s->version) {
		log_line(LOG_NOTICE, "config-adopted", "version=%llu was=%llu",
		    (unsigned long long)version,
		    (unsigned long long)s->version);
		send_limits(s);
	}
	if (ready != s->daemon->ready)
		log_line(LOG_NOTICE, ready ? "ready" : "not-ready",
		    "version=%llu", (unsigned long long)version);
	s->version = version;
	s->daemon->ready = ready;
	if (node_is_draining(s->node) && !s->draining)
		task_send(s->daemon->front, msg_create(MSG_DRAIN));
	if (node_is_closed(s->node, daemon_now()) && !s->closed)
		task_send(s->daemon->front, msg_create(MSG_CLOSE));
	s->draining = s->daemon->draining = node_is_draining(s->node);
	s->closed = node_is_closed(s->node, daemon_now());
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct msg_list out = TAILQ_HEAD_INITIALIZER(out);
	struct decide *s = arg;
	struct instant now = daemon_now();

	(void)fd;
	(void)what;
	node_tick(s->node, now, &out);
	send_all(s, &out);
	log_decisions(s);
	publish(s);
	check_drained(s, now);
	arm(s);
}

static void
destroy(void *state)
{
	struct decide *s = state;

	event_free(s->timer);
	node_destroy(s->node);
	free(s);
}

static const struct task_ops ops = {receive, destroy};

struct task *
decide_task_create(struct daemon *d, const struct node_setup *setup)
{
	struct decide *s = xcalloc(1, sizeof(*s));
	struct timeval soon = {0, 1000};

	s->daemon = d;
	s->node = node_create(setup);
	s->timer = evtimer_new(d->base, on_timer, s);
	evtimer_add(s->timer, &soon);
	return task_create(d->base, "decide", &ops, s);
}

void
daemon_drain(struct daemon *d)
{
	struct msg *m = msg_create(MSG_OPS);

	m->u.ops.verb = OPS_DRAIN;
	task_send(d->decide, m);
}
