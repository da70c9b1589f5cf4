/*
 * The announcements of the local target: which start of it is running,
 * whether it accepts work, and whether it has stopped announcing itself.  A
 * start is one run of the target's process; its id and its start time tell it
 * from others.
 */
#include <string.h>

#include "core/node_impl.h"

/*
 * A start that seems earlier than the known one is the present one if it goes
 * on for this long and this often while the known one is silent: its host's
 * clock was set back.
 */
#define EARLIER_START_US (10 * SEC_US)
#define EARLIER_START_ANNOUNCEMENTS 5

/* Reset the local target's state for a new start of the target. */
static void
start_target(struct node *n, const struct announce *a)
{
	struct local_target *t = &n->target;
	double slots;

	name_copy(t->service, a->service, sizeof(t->service));
	name_copy(t->id, a->id, sizeof(t->id));
	t->started_ms = a->started_ms;
	t->slots = a->slots ? a->slots : 1;
	t->present = true;
	t->leaving = false;
	t->left = false;
	t->announcements_stopped = false;
	if (t->queue == NULL)
		t->queue = shed_create(serve_shedder(n), n->setup.max_queue);
	slots = t->slots * (1 - n->setup.headroom_fraction);
	limit_init(&t->limit, n->setup.limiter, slots, slots);
	windows_init(&t->windows, slots);
}

/*
 * Announcements may be delayed, also beyond the end of the start that sent
 * them.  Those of one start are ordered by sequence number, starts by their
 * start time.
 */
static bool
is_outdated(const struct local_target *t, const struct announce *a)
{
	if (t->id[0] == '\0' || a->id[0] == '\0')
		return false;
	if (strcmp(a->id, t->id) != 0)
		return a->started_ms != 0 && a->started_ms < t->started_ms;
	if (a->started_ms != 0 && a->started_ms != t->started_ms)
		return a->started_ms < t->started_ms;
	return a->seq != 0 && a->seq <= t->announce_seq;
}

/* Note an announcement of such a start; true if it is the present one. */
static bool
goes_on_announcing(
    struct local_target *t, const struct announce *a, struct instant now)
{
	struct earlier_start *e = &t->earlier;

	if (a->leaving || a->seq == 0 || a->started_ms >= t->started_ms)
		return false;
	if (e->started_ms != a->started_ms || strcmp(e->id, a->id) != 0 ||
	    t->announced_us >= e->first_us) {
		memset(e, 0, sizeof(*e));
		name_copy(e->id, a->id, sizeof(e->id));
		e->started_ms = a->started_ms;
		e->first_us = now.mono_us;
	}
	if (a->seq <= e->seq)
		return false;
	e->seq = a->seq;
	return ++e->count >= EARLIER_START_ANNOUNCEMENTS &&
	       now.mono_us - e->first_us >= EARLIER_START_US;
}

/* An announcement from the future would make all real ones outdated. */
static bool
is_from_the_future(const struct announce *a, struct instant now)
{
	return a->started_ms > now.wall_ms + ENDED_ROW_MAX_SKEW_MS;
}

static bool
is_new_start(const struct local_target *t, const struct announce *a)
{
	return strcmp(a->id, t->id) != 0 ||
	       (a->started_ms != 0 && a->started_ms > t->started_ms);
}

static void
record_announcement(
    struct node *n, const struct announce *a, struct instant now)
{
	struct local_target *t = &n->target;
	bool start_is_known = strcmp(t->id, a->id) == 0 && t->started_ms != 0;

	n->announce_outcome.ignored = false;
	t->announced_us = now.mono_us;
	name_copy(t->id, a->id, sizeof(t->id));
	if (a->started_ms != 0)
		t->started_ms = a->started_ms;
	else if (a->leaving && !start_is_known)
		/* It has ended, so it started no later than now. */
		t->started_ms = now.wall_ms;
	if (a->seq != 0)
		t->announce_seq = a->seq;
}

/* Note what an announcement is compared with; it is ignored until accepted. */
static void
begin_outcome(struct node *n)
{
	struct announce_outcome *o = &n->announce_outcome;

	o->count++;
	o->ignored = true;
	o->held = false;
	name_copy(o->known_id, n->target.id, sizeof(o->known_id));
	o->known_started_ms = n->target.started_ms;
	o->known_seq = n->target.announce_seq;
}

/* A start that is known to be later than the present one has replaced it. */
static bool
is_later_start(const struct local_target *t, const struct announce *a)
{
	return t->started_ms != 0 && a->started_ms > t->started_ms;
}

uint64_t
local_target_start_tag(const struct node *n)
{
	struct target_start s = {.started_ms = n->target.started_ms};

	name_copy(s.id, n->target.id, sizeof(s.id));
	return target_start_tag(&s);
}

void
local_target_has_ended(struct node *n, struct instant now, struct msg_list *out)
{
	struct group *g = membership_find(n, n->target.service);

	if (g != NULL && g->self != NULL)
		g->self->record.start_ended = true;
	membership_leave(n, now, out);
	target_past_record_end(n, now, out);
}

static void
take_end(struct node *n, const struct announce *a, struct instant now,
    struct msg_list *out)
{
	struct local_target *t = &n->target;

	/* The end of an earlier start does not concern the present one. */
	if (t->present && is_new_start(t, a) && !is_later_start(t, a))
		return;
	record_announcement(n, a, now);
	/*
	 * If no target has announced itself yet, a late announcement of
	 * this start must not make it join.
	 */
	t->leaving = t->leaving || !t->present;
	if (t->service[0] == '\0')
		name_copy(t->service, a->service, sizeof(t->service));
	if (a->daemon_outlives_target)
		local_target_has_ended(n, now, out);
	else
		membership_drain(n, now, out);
	t->announcements_stopped = false;
}

void
local_target_take(struct node *n, const struct announce *a, struct instant now,
    struct msg_list *out)
{
	struct local_target *t = &n->target;
	bool is_earlier, joins;
	struct group *g;

	is_earlier = is_outdated(t, a) && goes_on_announcing(t, a, now);
	if (is_from_the_future(a, now) || (is_outdated(t, a) && !is_earlier)) {
		n->counters.values[COUNT_OLD_ANNOUNCEMENTS]++;
		return;
	}
	if (a->leaving) {
		take_end(n, a, now, out);
		return;
	}
	if (n->draining)
		return;
	joins = is_new_start(t, a) || is_earlier || t->announcements_stopped ||
		(!t->present && !t->leaving);
	if (!joins && t->leaving) {
		n->counters.values[COUNT_OLD_ANNOUNCEMENTS]++;
		return;
	}
	if (joins && target_past_holds(n, a, now, out)) {
		n->announce_outcome.held = true;
		return;
	}
	if (joins) {
		t->announce_seq = 0;
		g = membership_find(n, t->service);
		if (g != NULL && strcmp(t->service, a->service) != 0)
			membership_replace(n, g, now, out);
		start_target(n, a);
		membership_join(
		    n, membership_find_or_create(n, a->service), now, out);
	}
	record_announcement(n, a, now);
}

void
local_target_handle_announce(
    struct node *n, struct msg *msg, struct instant now, struct msg_list *out)
{
	begin_outcome(n);
	local_target_take(n, &msg->u.announce, now, out);
	target_past_acknowledge(n, msg->seq, out);
}

/* A target that stopped announcing itself has ended or is unreachable. */
void
local_target_tick(struct node *n, struct instant now, struct msg_list *out)
{
	struct local_target *t = &n->target;

	if (n->setup.announce_timeout_us == 0 || !t->present || t->leaving ||
	    now.mono_us - t->announced_us <= n->setup.announce_timeout_us)
		return;
	n->counters.values[COUNT_TARGETS_SILENT]++;
	membership_leave(n, now, out);
	t->announcements_stopped = true;
}
