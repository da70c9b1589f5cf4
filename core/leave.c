/*
 * The last step of an orderly leave: the ledger's records are handed over to
 * the ids' next owners, then the group is told that this member has left.
 */
#include <string.h>

#include "core/node_impl.h"

/* How long calls whose ids we owned may still be in transit. */
#define IN_FLIGHT_GRACE_MS 400

static void
hand_over_records(struct node *n, struct group *g, struct msg_list *out)
{
	struct ledger_record *rec = NULL;
	const struct owner_entry *e;
	struct member *m;
	struct msg *msg;
	uint64_t stamp_ms;
	char dc[NAME_LEN];

	while ((rec = ledger_next(n->ledger, rec)) != NULL) {
		if ((rec->state != LEDGER_STATE_RAN &&
			rec->state != LEDGER_STATE_UNKNOWN) ||
		    !id_parse(rec->id, &stamp_ms, dc, sizeof(dc)))
			continue;
		e = owner_table_successor(ownership_table(n, g), n->setup.self,
		    g->self->record.incarnation, rec->id, stamp_ms);
		if (e == NULL)
			continue;
		msg = msg_emit(out, MSG_HANDOVER, e->addr, node_next_seq(n));
		name_copy(msg->u.handover.service, g->service, NAME_LEN);
		name_copy(msg->u.handover.org, rec->org, NAME_LEN);
		name_copy(msg->u.handover.id, rec->id, ID_LEN);
		msg->u.handover.has_reply = rec->has_reply;
		msg->u.handover.may_have_run =
		    rec->state == LEDGER_STATE_UNKNOWN;
		if (rec->has_reply)
			reply_share(&msg->u.handover.reply, &rec->reply);
		n->counters.values[COUNT_RECORDS_HANDED_OVER]++;
	}
	RB_FOREACH (m, member_tree, &g->members) {
		if (m->is_self || m->record.state >= MEMBER_LEFT ||
		    strcmp(m->record.dc, g->dc) != 0)
			continue;
		msg = msg_emit(
		    out, MSG_HANDOVER, m->record.addr, node_next_seq(n));
		name_copy(msg->u.handover.service, g->service, NAME_LEN);
		msg->u.handover.last = true;
	}
}

void
leave_try_finish(
    struct node *n, struct group *g, struct instant now, struct msg_list *out)
{
	if (!n->target.leaving || n->target.left || n->njobs > 0 ||
	    now.wall_ms < n->target.ownership_end_ms + IN_FLIGHT_GRACE_MS ||
	    !ownership_has_ended(n, g, now))
		return;
	if (n->setup.ids_outlive_attempts)
		hand_over_records(n, g, out);
	n->target.left = true;
	g->self->record.state = MEMBER_LEFT;
	membership_broadcast(n, g, now, out);
	membership_write_own_row(n, g, now, out);
	ownership_tick(n, g, now, out);
}
