#include "core/own_row.h"
#include "core/hash.h"

void
own_row_sent(struct own_row *w, uint64_t seq, struct instant now)
{
	w->written = false;
	w->sent_seq = seq;
	w->due_us = now.mono_us + OWN_ROW_RETRY_INTERVAL_US;
}

bool
own_row_answers(const struct own_row *w, uint64_t seq)
{
	return w->sent_seq != 0 && w->sent_seq == seq;
}

void
own_row_confirm(struct own_row *w, struct instant now)
{
	w->written = true;
	w->again = false;
	w->confirmed_us = now.mono_us;
}

void
own_row_lost(struct own_row *w, uint64_t *rng, struct instant now)
{
	uint64_t delay_us;

	/* A write that is not confirmed is repeated anyway. */
	if (!w->written)
		return;
	delay_us = 2 * (now.mono_us - w->confirmed_us);
	if (delay_us > OWN_ROW_SPREAD_US)
		delay_us = rng_below(rng, OWN_ROW_SPREAD_US);
	w->written = false;
	w->again = true;
	w->due_us = now.mono_us + delay_us;
}

bool
own_row_due(const struct own_row *w, struct instant now)
{
	return w->sent_seq != 0 && !w->written && now.mono_us >= w->due_us;
}
