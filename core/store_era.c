/*
 * The era of the platform's store: what follows when the store comes back from
 * a copy and has lost its latest changes.  The versions in the store's answers
 * become positions here, before any other part of the core sees them.
 */
#include "core/node_impl.h"
#include "core/position.h"

/* Read again all that this daemon follows in the store, from the start. */
static void
read_all_again(struct node *n)
{
	row_watch_restart(&n->tree.config_row);
	row_watch_restart(&n->tree.root_row);
	row_watch_restart(&n->pool.root_row);
}

void
store_note_era(
    struct node *n, uint64_t era, struct addr from, struct instant now)
{
	struct store_return *r = &n->store_return;

	if (n->store_heard && era < r->era)
		n->earlier_era_heard = true;
	if (n->store_heard && era <= r->era)
		return;
	if (n->store_heard) {
		n->counters.values[COUNT_STORE_RETURNS]++;
		r->previous_era = r->era;
		r->heard_from = from;
		r->heard_us = now.mono_us;
		r->rows_written_again = 0;
		r->rows_there_us = 0;
		read_all_again(n);
		membership_store_returned(n, now);
	}
	n->store_heard = true;
	r->era = era;
}

bool
store_is_of_present_era(const struct node *n, uint64_t position)
{
	return position_era(position) == n->store_return.era;
}

bool
store_is_first_version(const struct node *n, uint64_t position)
{
	return position_version(position) <= 1 && !n->earlier_era_heard &&
	       n->counters.values[COUNT_STORE_RETURNS] == 0;
}

uint64_t
store_peer_epoch(const struct node *n, uint64_t epoch)
{
	uint64_t position = epoch;

	if (epoch != 0 && position_era(epoch) == 0)
		position_make(n->store_return.era, epoch, &position);
	return position;
}

static bool
has_version(enum row_status status)
{
	return status == ROW_FOUND || status == ROW_ABSENT ||
	       status == ROW_WRITTEN || status == ROW_CONFLICT;
}

/* Make positions of the answer's numbers; false if they are out of range. */
static bool
make_positions(struct row *row)
{
	if (row->status == ROW_ABSENT)
		row->version = 0;
	if (has_version(row->status) && !row->key_is_prefix &&
	    !position_make(row->era, row->version, &row->version))
		return false;
	return row->feed_position == 0 ||
	       position_make(row->era, row->feed_position, &row->feed_position);
}

void
store_admit_answer(struct node *n, struct row *row, struct instant now)
{
	if (row->status == ROW_UNKNOWN)
		return;
	if (n->store_heard && row->era < n->store_return.era) {
		n->counters.values[COUNT_STORE_ANSWERS_OLD]++;
		row->status = ROW_UNKNOWN;
		return;
	}
	if (!make_positions(row)) {
		node_record_odd_row(n, row->key, "version");
		row->status = ROW_UNKNOWN;
		return;
	}
	store_note_era(n, row->era, (struct addr){0, 0}, now);
	if (row->based_on == 0 || position_era(row->based_on) == row->era)
		return;
	/*
	 * The condition was met by another row that was given the same
	 * version, and a wait may have missed changes.
	 */
	if (row->status == ROW_WRITTEN) {
		row->status = ROW_CONFLICT;
		buffer_release(&row->value);
	} else if (row->status != ROW_CONFLICT) {
		row->status = ROW_HISTORY_GONE;
	}
}

void
store_refuse_write(struct node *n, const char *key)
{
	struct msg *m = msg_create(MSG_ROW);

	name_copy(m->u.row.key, key, sizeof(m->u.row.key));
	m->u.row.status = ROW_CONFLICT;
	m->u.row.era = n->store_return.era;
	TAILQ_INSERT_TAIL(&n->loopback, m, entry);
}
