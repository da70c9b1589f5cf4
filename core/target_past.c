/*
 * What an earlier process of this daemon knew of the local target: the last
 * start whose end it acknowledged.  The end is written to the platform before
 * it is acknowledged, and a new process reads it before it lets a target join,
 * so that a late announcement of a start that has ended brings nothing back.
 */
#include <string.h>

#include "core/node_impl.h"

/* Interval between reads of the row until the platform has answered one. */
#define READ_RETRY_INTERVAL_US (1 * SEC_US)
/*
 * A target whose announcements go on for this long is taken to live if the
 * platform does not answer then: those of a start that has ended are late.
 */
#define ANNOUNCEMENTS_GO_ON_US (1 * SEC_US)

static void
own_key(const struct node *n, char *key, size_t len)
{
	ended_row_key(key, len, n->setup.dc, n->setup.self);
}

static void
read_row(struct node *n, struct instant now, struct msg_list *out)
{
	char key[ROW_KEY_LEN];

	n->past.asked_us = now.mono_us;
	own_key(n, key, sizeof(key));
	node_read_row(n, key, false, out);
}

static void
write_row(struct node *n, struct instant now, struct msg_list *out)
{
	char key[ROW_KEY_LEN], value[ENDED_ROW_VALUE_LEN];

	own_key(n, key, sizeof(key));
	ended_row_format(value, sizeof(value), &n->past.ended);
	own_row_sent(&n->past.row,
	    node_write_row(n, key, ROW_ANY_VERSION, value, strlen(value), out),
	    now);
}

static bool
is_start(const struct target_start *s, const char *id, uint64_t started_ms)
{
	return s->id[0] != '\0' && strcmp(s->id, id) == 0 &&
	       s->started_ms == started_ms;
}

/* Answer the announcements that wait until the end is written. */
static void
acknowledge_waiting(struct node *n, struct msg_list *out)
{
	if (n->past.waiting_seq == 0)
		return;
	msg_emit(out, MSG_ANNOUNCED, n->setup.self, n->past.waiting_seq);
	n->past.waiting_seq = 0;
}

void
target_past_acknowledge(struct node *n, uint64_t seq, struct msg_list *out)
{
	if (seq == 0)
		return;
	n->past.waiting_seq = seq;
	if (n->past.ended.id[0] == '\0' || n->past.row.written)
		acknowledge_waiting(n, out);
}

void
target_past_record_end(struct node *n, struct instant now, struct msg_list *out)
{
	struct local_target *t = &n->target;
	struct target_past *p = &n->past;

	if (t->id[0] == '\0' || t->service[0] == '\0' ||
	    is_start(&p->ended, t->id, t->started_ms))
		return;
	name_copy(p->ended.service, t->service, sizeof(p->ended.service));
	name_copy(p->ended.id, t->id, sizeof(p->ended.id));
	p->ended.started_ms = t->started_ms;
	write_row(n, now, out);
}

/* Whether the held target's announcements show that it lives. */
static bool
goes_on(struct target_past *p, const struct announce *a, struct instant now)
{
	if (p->holds && strcmp(a->id, p->held.id) == 0 &&
	    a->started_ms == p->held.started_ms) {
		if (a->seq <= p->held.seq)
			return false;
		p->held = *a;
		return now.mono_us - p->held_since_us >= ANNOUNCEMENTS_GO_ON_US;
	}
	if (p->holds && a->started_ms < p->held.started_ms)
		return false;
	p->holds = true;
	p->goes_on_seq = 0;
	p->held = *a;
	p->held_since_us = now.mono_us;
	return false;
}

bool
target_past_holds(struct node *n, const struct announce *a, struct instant now,
    struct msg_list *out)
{
	struct target_past *p = &n->past;

	if (p->known || !a->daemon_outlives_target || a->id[0] == '\0')
		return false;
	if (goes_on(p, a, now) && p->goes_on_seq == 0) {
		read_row(n, now, out);
		p->goes_on_seq = n->next_seq;
	} else if (p->asked_us == 0) {
		read_row(n, now, out);
	}
	return true;
}

/*
 * Act as the process did that acknowledged the end of the row's start.  It may
 * have been killed before it removed the target's row.
 */
static void
restore(struct node *n, const struct target_start *s, struct instant now,
    struct msg_list *out)
{
	struct local_target *t = &n->target;

	if (t->present) {
		/* It joined before the platform answered. */
		if (is_start(s, t->id, t->started_ms))
			local_target_has_ended(n, now, out);
		return;
	}
	/* A later end has been acknowledged by this process. */
	if (t->id[0] != '\0' && t->started_ms >= s->started_ms)
		return;
	name_copy(t->service, s->service, sizeof(t->service));
	name_copy(t->id, s->id, sizeof(t->id));
	t->started_ms = s->started_ms;
	t->leaving = true;
	n->counters.values[COUNT_TARGET_ENDS_RESTORED]++;
}

static void
take_held(struct node *n, struct instant now, struct msg_list *out)
{
	struct target_past *p = &n->past;

	if (!p->holds)
		return;
	p->holds = false;
	local_target_take(n, &p->held, now, out);
}

/* The platform's answer to a read. */
static void
learn(struct node *n, const struct msg *msg, struct instant now,
    struct msg_list *out)
{
	const struct row *row = &msg->u.row;
	struct target_past *p = &n->past;
	struct target_start s;
	const char *fault;

	p->answered = p->known = true;
	if (row->status == ROW_FOUND) {
		fault = ended_row_parse(
		    row->value.data != NULL ? row->value.data : "", now.wall_ms,
		    &s);
		if (fault != NULL) {
			node_record_odd_row(n, row->key, fault);
		} else {
			restore(n, &s, now, out);
			if (p->ended.id[0] == '\0') {
				p->ended = s;
				own_row_sent(&p->row, msg->seq, now);
				own_row_confirm(&p->row, now);
			}
		}
	}
	take_held(n, now, out);
	if (!n->target.present && p->ended.id[0] != '\0')
		membership_remove_earlier_row(n, p->ended.service, now, out);
}

void
target_past_handle_row(
    struct node *n, struct msg *msg, struct instant now, struct msg_list *out)
{
	struct target_past *p = &n->past;

	switch (msg->u.row.status) {
	case ROW_WRITTEN:
		if (!own_row_answers(&p->row, msg->seq))
			break;
		own_row_confirm(&p->row, now);
		acknowledge_waiting(n, out);
		break;
	case ROW_FOUND:
	case ROW_ABSENT:
		if (!p->answered)
			learn(n, msg, now, out);
		break;
	case ROW_UNKNOWN:
		if (!p->known && p->goes_on_seq != 0 &&
		    msg->seq >= p->goes_on_seq) {
			p->known = true;
			take_held(n, now, out);
		}
		break;
	default:
		break;
	}
}

void
target_past_tick(struct node *n, struct instant now, struct msg_list *out)
{
	struct target_past *p = &n->past;

	if (p->asked_us != 0 && !p->answered &&
	    now.mono_us - p->asked_us >= READ_RETRY_INTERVAL_US)
		read_row(n, now, out);
	if (own_row_due(&p->row, now))
		write_row(n, now, out);
}
