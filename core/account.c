#include <stdlib.h>
#include <string.h>

#include "core/account.h"

/* Bytes that count as a move.  A peer that sends fewer now and then stalls. */
#define PROGRESS_BYTES 4096
/*
 * A holder counts as standing still for at least this long, so that among
 * those that move the one that holds most gives way.
 */
#define MIN_IDLE_US (100 * MSEC_US)
#define IDLE_UNIT_US MSEC_US /* of the weight, so that it fits 64 bits */

#define FALL_DIVISOR 8 /* of the limit; the owner is told of such a fall */

TAILQ_HEAD(holder_list, holder);

struct account {
	struct holder_list holders;
	struct account_state state;
	uint64_t reserved; /* part of the limit, for essential holders */
	uint64_t held_essential;
	uint64_t highest; /* sum since the owner was last told of a fall */
	const struct account_ops *ops;
	void *arg;
};

static const struct account_ops no_ops;

static const char *const kind_names[HOLDER_KIND_COUNT] = {
    [HOLDER_CALLER] = "caller",
    [HOLDER_JOB] = "job",
    [HOLDER_TARGET] = "target",
    [HOLDER_LINK] = "link",
    [HOLDER_ARRIVING] = "arriving",
    [HOLDER_LEAVING] = "leaving",
    [HOLDER_MAILBOX] = "mailbox",
    [HOLDER_LEDGER] = "ledger",
    [HOLDER_PORT] = "port",
};

const char *
holder_kind_name(enum holder_kind kind)
{
	return kind < HOLDER_KIND_COUNT ? kind_names[kind] : "unknown";
}

struct account *
account_create(
    uint64_t limit, uint64_t reserved, const struct account_ops *ops, void *arg)
{
	struct account *a = xcalloc(1, sizeof(*a));

	TAILQ_INIT(&a->holders);
	a->ops = ops != NULL ? ops : &no_ops;
	a->arg = arg;
	account_set_limit(a, limit, reserved);
	return a;
}

void
account_destroy(struct account *a)
{
	free(a);
}

void
account_set_limit(struct account *a, uint64_t limit, uint64_t reserved)
{
	a->state.limit = limit;
	a->reserved = reserved < limit ? reserved : limit;
}

const struct account_state *
account_state(const struct account *a)
{
	return &a->state;
}

bool
account_is_over(const struct account *a)
{
	uint64_t kept_free = a->held_essential < a->reserved
				 ? a->reserved - a->held_essential
				 : 0;

	return a->state.held + kept_free > a->state.limit;
}

/* The heaviest holder that can give way, essential or not; NULL: none can. */
static struct holder *
find_heaviest(
    struct account *a, struct holder *self, bool is_essential, uint64_t now_us)
{
	struct holder *h, *heaviest = NULL;
	uint64_t weight, most = 0;

	if (self != NULL && self->ops->give_way != NULL &&
	    self->ops->is_essential == is_essential) {
		heaviest = self;
		most = holder_weight(self, now_us);
	}
	TAILQ_FOREACH (h, &a->holders, entry) {
		if (h->ops->give_way == NULL || h->held == 0 ||
		    h->ops->is_essential != is_essential)
			continue;
		weight = holder_weight(h, now_us);
		if (heaviest != NULL && weight <= most)
			continue;
		heaviest = h;
		most = weight;
	}
	return heaviest;
}

static void
note_gives_way(struct account *a, const struct holder *h, uint64_t now_us)
{
	a->state.gave_way[h->ops->kind]++;
	a->state.last_held = h->held;
	a->state.last_idle_us = now_us - h->moved_us;
}

bool
account_make_room(struct account *a, struct holder *self, uint64_t now_us)
{
	struct holder *h;
	uint64_t before;

	if (a == NULL)
		return true;
	while (account_is_over(a)) {
		h = find_heaviest(a, self, false, now_us);
		if (h == NULL)
			h = find_heaviest(a, self, true, now_us);
		if (h == NULL)
			break;
		before = a->state.held;
		note_gives_way(a, h, now_us);
		h->ops->give_way(h->owner);
		if (h == self)
			return false;
		if (a->state.held >= before)
			break;
	}
	return true;
}

void
holder_init(struct holder *h, struct account *a, const struct holder_ops *ops,
    void *owner, uint64_t now_us)
{
	memset(h, 0, sizeof(*h));
	h->account = a;
	h->ops = ops;
	h->owner = owner;
	h->moved_us = now_us;
	if (a != NULL)
		TAILQ_INSERT_TAIL(&a->holders, h, entry);
}

void
holder_release(struct holder *h)
{
	if (h->account == NULL)
		return;
	holder_set(h, 0);
	TAILQ_REMOVE(&h->account->holders, h, entry);
	h->account = NULL;
}

/* Tell the owner how the sum has changed. */
static void
note_change(struct account *a, bool grows)
{
	const struct account_ops *ops = a->ops;

	if (a->state.held > a->state.peak)
		a->state.peak = a->state.held;
	if (a->state.held > a->highest)
		a->highest = a->state.held;
	if (grows && ops->over != NULL && account_is_over(a))
		ops->over(a->arg);
	if (a->highest - a->state.held <= a->state.limit / FALL_DIVISOR)
		return;
	a->highest = a->state.held;
	if (ops->fell != NULL)
		ops->fell(a->arg);
}

void
holder_set(struct holder *h, uint64_t held)
{
	struct account *a = h->account;
	uint64_t added = held - h->held; /* wraps around if it is less */
	bool grows = held > h->held;

	h->held = held;
	if (a == NULL || added == 0)
		return;
	a->state.held += added;
	a->state.held_by[h->ops->kind] += added;
	if (h->ops->is_essential)
		a->held_essential += added;
	note_change(a, grows);
}

void
holder_moved(struct holder *h, uint64_t bytes, uint64_t now_us)
{
	h->progress += bytes;
	if (h->progress >= PROGRESS_BYTES)
		holder_finished(h, now_us);
}

void
holder_finished(struct holder *h, uint64_t now_us)
{
	h->progress = 0;
	h->moved_us = now_us;
}

void
holder_set_waiting(struct holder *h, bool waiting, uint64_t now_us)
{
	if (h->is_waiting && !waiting)
		holder_finished(h, now_us);
	h->is_waiting = waiting;
}

uint64_t
holder_weight(const struct holder *h, uint64_t now_us)
{
	uint64_t idle_us =
	    h->is_waiting || now_us < h->moved_us ? 0 : now_us - h->moved_us;

	if (idle_us < MIN_IDLE_US)
		idle_us = MIN_IDLE_US;
	return h->held * (idle_us / IDLE_UNIT_US);
}
