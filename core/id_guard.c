#include "core/id_guard.h"

/* Forget a call that ran, so that the next try of its id runs again. */
static struct ledger_record *
find_no_record(struct ledger *l, const char *org, const char *id)
{
	struct ledger_record *rec = ledger_find(l, org, id);

	if (rec != NULL && rec->state == LEDGER_STATE_RAN)
		ledger_remove(l, rec);
	return NULL;
}

static enum fate_state
query_without_tombstone(struct ledger *l, const char *org, const char *id,
    struct addr entry_daemon, uint64_t seq, struct instant now,
    struct ledger_record **recp)
{
	*recp = ledger_find(l, org, id);
	if (*recp == NULL)
		return FATE_TOMBSTONE;
	return ledger_query(l, org, id, entry_daemon, seq, now, recp);
}

const struct id_guard guard_full = {"full", true, ledger_find, ledger_query};
const struct id_guard guard_without_proof = {
    "without-proof", false, ledger_find, ledger_query};
const struct id_guard guard_without_ledger = {
    "without-ledger", true, find_no_record, ledger_query};
const struct id_guard guard_without_tombstone = {
    "without-tombstone", true, ledger_find, query_without_tombstone};
