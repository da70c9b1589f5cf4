/*
 * Answers entry daemons that ask, after their link broke, what became of a
 * try, and adopts the ledger records of members that leave.
 */
#include <string.h>

#include "core/node_impl.h"

/*
 * Whether this process had that very incarnation.  Comparing by order would
 * not do, because the wall clock may have been set back between starts.
 */
static bool
is_own_incarnation(const struct node *n, uint64_t incarnation)
{
	int i;

	for (i = 0; i < MAX_OWN_INCARNATIONS; i++) {
		if (incarnation != 0 && n->own_incarnations[i] == incarnation)
			return true;
	}
	return false;
}

void
serve_handle_ask_fate(
    struct node *n, struct msg *msg, struct instant now, struct msg_list *out)
{
	struct fate *f = &msg->u.fate;
	struct ledger_record *rec;
	enum fate_state state;
	struct msg *m;

	/* The ledger of an earlier process of this daemon is lost. */
	if (!is_own_incarnation(n, f->incarnation))
		state = FATE_UNKNOWN;
	else
		state = n->setup.guard->query(
		    n->ledger, f->org, f->id, msg->peer, f->seq, now, &rec);
	if (state == FATE_TOMBSTONE)
		n->counters.values[COUNT_TOMBSTONES]++;
	m = msg_emit(out, MSG_FATE, msg->peer, msg->seq);
	m->u.fate = *f;
	m->u.fate.state = state;
	if (state == FATE_RUNNING)
		ledger_add_waiter(rec, msg->peer, f->seq);
	if (state != FATE_RAN)
		return;
	if (rec->has_reply)
		serve_share_reply(n, msg->peer, f->seq, &rec->reply, out);
	else
		serve_send_failure(n, msg->peer, f->seq,
		    failure_make(VERDICT_RAN, REASON_ANSWER_GONE), 0, out);
}

void
serve_handle_handover(struct node *n, struct msg *msg, struct instant now)
{
	struct handover *h = &msg->u.handover;
	struct group *g = membership_find(n, h->service);
	struct member *m = g != NULL ? group_find(g, msg->peer) : NULL;
	struct owner_entry *e;

	if (m == NULL)
		return;
	if (h->last) {
		e = owner_table_entry(
		    ownership_table(n, g), msg->peer, m->record.incarnation);
		if (e != NULL)
			e->records_received = true;
		return;
	}
	ledger_import(n->ledger, h->org, h->id,
	    h->may_have_run ? LEDGER_STATE_UNKNOWN : LEDGER_STATE_RAN,
	    h->has_reply ? &h->reply : NULL, now);
}
