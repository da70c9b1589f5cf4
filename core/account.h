/*
 * account - how much of one resource the process holds, and who gives way
 *
 * A process has one account for memory, in bytes, and one for descriptors.
 * Whatever keeps some of the resource for somebody else has a holder, which
 * charges the account, so that the sum is known at any time.  While the sum is
 * over the limit, the holder that holds most and has moved least gives way.
 *
 *	holder_init(&h, account, &ops, owner, now_us);
 *	holder_set(&h, bytes);			whenever it has changed
 *	holder_moved(&h, received, now_us);	something was got done
 *	holder_release(&h);
 *
 *	account_make_room(account, NULL, now_us);
 *
 * Essential holders are those that the daemon cannot do without, such as links
 * and requests to the platform.  A part of the limit is reserved for them, and
 * they give way only where no other can.
 *
 * An account may be NULL: its holders charge nothing.
 */
#ifndef CORE_ACCOUNT_H
#define CORE_ACCOUNT_H

#include <bsd/sys/queue.h>

#include "core/types.h"

struct account;

/* What a holder keeps something for; holder_kind_name() names it. */
enum holder_kind {
	HOLDER_CALLER, /* a connection of a caller, and its requests */
	HOLDER_JOB, /* a request from another host, until it has run */
	HOLDER_TARGET, /* a connection to the target or the platform */
	HOLDER_LINK, /* a link to another daemon */
	HOLDER_ARRIVING, /* a body that arrives over a link */
	HOLDER_LEAVING, /* a body that is sent over a link */
	HOLDER_MAILBOX, /* messages between the tasks */
	HOLDER_LEDGER, /* replies that the ledger keeps */
	HOLDER_PORT, /* a connection to another port than the callers' */
	HOLDER_KIND_COUNT,
};

struct holder_ops {
	enum holder_kind kind;
	bool is_essential; /* uses the reserved part, gives way last */
	/*
	 * Give up what is held, at once or within milliseconds, and lower the
	 * charge at once; the holder may be gone afterwards.  NULL: it cannot.
	 */
	void (*give_way)(void *owner);
};

/* One holder, embedded in its owner; only account.c uses its members. */
struct holder {
	TAILQ_ENTRY(holder) entry;
	struct account *account;
	const struct holder_ops *ops;
	void *owner;
	uint64_t held;
	uint64_t moved_us; /* when something was last got done */
	uint64_t progress; /* since then, too little to count */
	bool is_waiting; /* for this process; its time does not count */
};

/* The state of an account, for logs and metrics. */
struct account_state {
	uint64_t held;
	uint64_t peak; /* the most that was held */
	uint64_t limit;
	uint64_t held_by[HOLDER_KIND_COUNT];
	uint64_t gave_way[HOLDER_KIND_COUNT]; /* how many holders have */
	/* The last one that has: what it held, and for how long it stood. */
	uint64_t last_held;
	uint64_t last_idle_us;
};

/*
 * What the owner of an account is told.  The functions must not change the
 * account themselves but have that done soon.  Each may be NULL.
 */
struct account_ops {
	/* The sum got over the limit: account_make_room() is due. */
	void (*over)(void *arg);
	/* The sum fell by an eighth of the limit since it was highest. */
	void (*fell)(void *arg);
};

/*
 * Create an account without holders.  The table must outlive it; NULL: the
 * owner is told nothing.
 */
struct account *account_create(
    uint64_t limit, uint64_t reserved, const struct account_ops *, void *arg);
/* Free an account, whose holders must all have been released. */
void account_destroy(struct account *);
void account_set_limit(struct account *, uint64_t limit, uint64_t reserved);
/* The state, which belongs to the account. */
const struct account_state *account_state(const struct account *);
/* Whether the sum is over the limit, the reserved part taken off. */
bool account_is_over(const struct account *);
/*
 * Have holders give way until the account is not over its limit.  Among equals
 * self does, which may be NULL.  Returns false if self has given way, and may
 * be gone.
 */
bool account_make_room(struct account *, struct holder *self, uint64_t now_us);

/*
 * Add a holder that holds nothing.  The table must outlive it; a NULL account
 * is allowed.  A holder of all zeroes that was never added may be released.
 */
void holder_init(struct holder *, struct account *, const struct holder_ops *,
    void *owner, uint64_t now_us);
/* Take the holder off its account with all that it holds. */
void holder_release(struct holder *);
/* Change what is held. */
void holder_set(struct holder *, uint64_t held);
/*
 * Tell that this many bytes have moved.  A holder that moves a few bytes now
 * and then counts as standing still.
 */
void holder_moved(struct holder *, uint64_t bytes, uint64_t now_us);
/* Tell that something was finished, such as a request. */
void holder_finished(struct holder *, uint64_t now_us);
/*
 * Tell whether the peer waits for this process, so that it is not the one who
 * stands still.
 */
void holder_set_waiting(struct holder *, bool waiting, uint64_t now_us);
/* What the holder holds times how long it stands still. */
uint64_t holder_weight(const struct holder *, uint64_t now_us);

/* The name of a kind for logs and metrics, such as "caller"; a constant. */
const char *holder_kind_name(enum holder_kind);

#endif
