/*
 * quota - the rate and burst of each organisation, as leased shares
 *
 * The daemons of a data centre form a tree (core/tree.h).  The root holds
 * the data centre's whole part of each organisation's rate and burst.  Every
 * other daemon holds a share that its parent granted.  It keeps what it uses
 * and grants the rest to its own children.  The same code serves every level
 * of the tree, and the data centres of a region (core/pool.c).
 *
 * A daemon that sees few calls of an organisation holds no share of it.  The
 * burst would otherwise be used up by shares too small to admit one call.
 * Such a daemon fetches single tokens for the calls that wait.  Fetched
 * tokens expire soon after they were made.  The root reserves a part of the
 * burst for what the rate yields in that time, so that no window of time
 * admits more than the rate and the burst allow.  A parent that lacks tokens
 * remembers the calls that wait at its children, and sends tokens as soon as
 * it has some.
 *
 * Shares follow the rules of escrow, so that the total never grows.  A grant
 * is charged to the grantor before it is sent.  A charge is lowered only
 * when the child has said that it holds less.  A share expires on the
 * child's clock before the parent's charge for it does.  A grant that is
 * lost on the way is therefore capacity that nobody can use until the charge
 * expires, and never capacity that is used twice.  Tokens are made only from
 * a rate that is held, and they move by the same rules.
 *
 * A new root does not know the shares that an earlier root granted.  It
 * settles until they all have expired: meanwhile it only renews what the
 * children say they hold.
 *
 *	quota_take(q, "brno", now)	for each call
 *	quota_add_waiting(q, "brno", 1)	if it has to wait for a token
 *	quota_make_request(q, now, &ask)	to be sent to the parent
 *	quota_apply_grant(q, &grant, now)	with the parent's answer
 *	quota_grant(q, child, &ask, now, &grant)	for a child's request
 *	while (quota_grant_waiting(q, now, &child, &grant))
 *		tokens for a child that asked before there were any
 *	while (quota_recall(q, now, &child, &grant))
 *		to a child that may have tokens to spare
 *	quota_tick(q, now)	about ten times a second
 *
 * Rates and demands are calls a second; bursts and tokens are calls.  A
 * struct quota owns all that it remembers; arguments are copied.  Points in
 * time are on the monotonic clock, in microseconds.
 */
#ifndef CORE_QUOTA_H
#define CORE_QUOTA_H

#include <bsd/sys/tree.h>

#include "core/msg.h"

/* How long a share lasts that is not renewed. */
#define QUOTA_SHARE_TTL_US (10 * SEC_US)
/* The time by which the parent's charge outlives the child's share. */
#define QUOTA_CHARGE_MARGIN_US (1 * SEC_US)
/* How long a new root settles: by then all earlier shares have expired. */
#define QUOTA_SETTLE_PERIOD_US (QUOTA_SHARE_TTL_US + 2 * QUOTA_CHARGE_MARGIN_US)
/* Interval at which a child renews its shares. */
#define QUOTA_RENEW_INTERVAL_US (1 * SEC_US)
/* Interval of requests while tokens are missing and no new call waits. */
#define QUOTA_URGENT_INTERVAL_US (100 * MSEC_US)
/* Interval at which children are asked for spare tokens, one at a time. */
#define QUOTA_RECALL_INTERVAL_US (10 * MSEC_US)
/* A request not answered within this time is taken for lost. */
#define QUOTA_REQUEST_TIMEOUT_US (200 * MSEC_US)
/* The longest lifetime of fetched tokens. */
#define QUOTA_FETCHED_TTL_US (50 * MSEC_US)

struct quota;

enum quota_result {
	QUOTA_TAKEN, /* a token was taken: the call may proceed */
	QUOTA_NO_TOKEN, /* no token here now; the parent may have some */
};

/* How a daemon divides what it holds among its children. */
struct quota_policy {
	const char *name; /* a constant */
	/* The most that all children together may hold, of rate and burst. */
	double rate_fraction;
	double burst_fraction;
	/* A child's burst covers its demand for this many seconds. */
	double burst_ahead_s;
	/* Calls a second; a child with less demand holds no share. */
	double min_demand;
	/* The fraction of the rate that is divided equally, not by demand. */
	double equal_fraction;
	/*
	 * If the burst, divided equally among the children, leaves each of
	 * them less than this, none holds a share: all fetch tokens.
	 */
	double min_equal_burst;
	/* Whether children are asked for spare tokens while calls wait. */
	bool recalls_spare;
};

/* For children that are daemons of the same data centre. */
extern const struct quota_policy quota_policy_host;
/*
 * For children that are data centres.  They hold nearly everything, so that
 * each of them can go on when it is cut off.
 */
extern const struct quota_policy quota_policy_pool;

/* Create a quota that holds nothing and is not the root. */
struct quota *quota_create(const struct quota_policy *);
void quota_destroy(struct quota *);
/*
 * Set how many children are expected; 0 if that is not known.  equal_fraction
 * is divided among at least as many, also before all of them sent a request.
 */
void quota_set_children(struct quota *, int children);

/*
 * Become or cease to be the root.  A new root settles until settle_until_us;
 * 0 if no earlier root can have granted shares.
 */
void quota_set_root(struct quota *, bool is_root, uint64_t settle_until_us);
/*
 * Settle until settle_until_us, or with 0 stop settling.  For a daemon that
 * grants in place of an earlier one but holds a share itself.
 */
void quota_settle_until(struct quota *, uint64_t settle_until_us);
/*
 * Set what the root holds in all, which is the data centre's part, or in a
 * region's pool the whole; zero withdraws the organisation's rate.
 */
void quota_set_total(
    struct quota *, const char *org, double rate, double burst);

/* Take a token for a new call and count the call as demand. */
enum quota_result quota_take(
    struct quota *, const char *org, struct instant now);
/* Take a token for a call that waits and was counted as demand before. */
enum quota_result quota_take_queued(
    struct quota *, const char *org, struct instant now);
/*
 * Change the number of calls that wait for a token: more than zero when they
 * begin to wait, less when they have a token or stop waiting.
 */
void quota_add_waiting(struct quota *, const char *org, int calls);
/* Give back a token that was taken for a call that did not run. */
void quota_return_token(struct quota *, const char *org, struct instant now);
/*
 * Drop all shares and tokens, because another daemon holds them now.  What
 * children are charged for stays held until the charges expire.
 */
void quota_drop_shares(struct quota *);
/* Whether some organisation lacks tokens and a request to the parent is due. */
bool quota_urgent_request_due(struct quota *, struct instant now);
/*
 * Fill in a request to the parent, for the organisations whose request is
 * due.  Tokens that it gives back are no longer held here.  Returns the number
 * of organisations in the request, at most MSG_MAX_SHARES.
 */
int quota_make_request(struct quota *, struct instant now, struct share *ask);
/* Fill in the grant that answers a child's request. */
void quota_grant(struct quota *, struct addr child, const struct share *ask,
    struct instant now, struct share *grant);
/*
 * Fill in a grant of tokens for calls that wait at a child whose request was
 * answered without them; first the child that waits longest.  False if there
 * is none.  To be repeated after tokens were made or granted.
 */
bool quota_grant_waiting(struct quota *, struct instant now, struct addr *child,
    struct share *grant);
/*
 * Fill in a message to a child that holds a share, to give back tokens that it
 * does not need now, because calls wait here or at another child.  False if
 * there is no such child, or if one was asked just before.
 */
bool quota_recall(struct quota *, struct instant now, struct addr *child,
    struct share *grant);
/* Whether calls wait for tokens at a child. */
bool quota_children_wait(struct quota *);
/* Take over what the parent granted. */
void quota_apply_grant(
    struct quota *, const struct share *grant, struct instant now);
/*
 * Renew what is held for another QUOTA_SHARE_TTL_US without the parent; only
 * for a daemon that reaches neither its parent nor the platform.
 */
void quota_extend_shares(struct quota *, struct instant now);
/*
 * The parent changed.  Shares stay until they expire and are reported to the
 * new parent with the next request.
 */
void quota_reparent(struct quota *);
/* End expired shares and charges, and forget organisations not in use. */
void quota_tick(struct quota *, struct instant now);

#endif
