#include "core/guard.h"

static struct owner
owner_by_view(struct group *g, const char *dc, const char *id,
    uint64_t stamp_ms, struct instant now)
{
	struct owner o = group_owner(g, dc, id, stamp_ms, now);

	if (o.kind == OWNER_NO_LEASE || o.kind == OWNER_DOUBT) {
		o.kind = OWNER_SELF;
		o.member = g->self;
	}
	return o;
}

static struct ledger_record *
find_nothing(struct ledger *l, const char *org, const char *id)
{
	struct ledger_record *rec = ledger_find(l, org, id);

	if (rec != NULL && rec->state == LEDGER_STATE_RAN)
		ledger_forget(l, rec);
	return NULL;
}

static enum fate_state
ask_without_record(struct ledger *l, const char *org, const char *id,
    struct addr entry, uint64_t seq, struct instant now,
    struct ledger_record **recp)
{
	*recp = ledger_find(l, org, id);
	if (*recp == NULL)
		return FATE_TOMBSTONE;
	return ledger_ask(l, org, id, entry, seq, now, recp);
}

/* The daemon beside the target is asked only for what was sent to it. */
static struct owner
owner_self(struct group *g, const char *dc, const char *id, uint64_t stamp_ms,
    struct instant now)
{
	struct owner o = {OWNER_SELF, g->self};

	(void)dc;
	(void)id;
	(void)stamp_ms;
	(void)now;
	return o;
}

const struct id_guard guard_attempt = {
    "attempt", true, owner_self, ledger_find, ledger_ask};
const struct id_guard guard_full = {
    "full", false, group_owner, ledger_find, ledger_ask};
const struct id_guard guard_without_lease = {
    "without-lease", false, owner_by_view, ledger_find, ledger_ask};
const struct id_guard guard_without_ledger = {
    "without-ledger", false, group_owner, find_nothing, ledger_ask};
const struct id_guard guard_without_tombstone = {
    "without-tombstone", false, group_owner, ledger_find, ask_without_record};
