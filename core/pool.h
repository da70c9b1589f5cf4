/*
 * pool - rates that the data centres of a region share
 *
 * An organisation's rate holds for the whole region.  One daemon is the root
 * of the region's pool.  It divides each rate among the data centres and
 * grants shares to them (see core/quota.h).  A data centre is represented by
 * the root of its own tree (core/tree.h), which sends its requests to the
 * pool and grants what it holds to the hosts.  Nearly all of a rate is out
 * in shares, so that a data centre that is cut off goes on with its own.
 *
 * The pool's root is named by one row of the platform, which is changed by
 * compare-and-set; its version is the root's epoch.  A share belongs to the
 * data centre and not to the daemon that represents it.  The root of a later
 * epoch of the data centre's tree takes the share over from an earlier root,
 * whose requests are ignored from then on.  A new root of the pool settles
 * until every data centre of the region has reported what it holds, or until
 * all earlier shares have expired.
 *
 *	pool_init(&p)
 *	m = pool_update_member(&p, dc, epoch, from)	for each request
 *	m->has_reported = true				after its last part
 *	pool_all_reported(&p, dcs)				stop settling
 *	pool_release(&p)
 *
 * This module keeps the state; pool.c also holds the functions that send the
 * messages, which are declared in core/node_impl.h.  Points in time are on
 * the monotonic clock, in microseconds; 0 means never.
 */
#ifndef CORE_POOL_H
#define CORE_POOL_H

#include <bsd/sys/queue.h>

#include "core/quota.h"
#include "core/row_watch.h"

/* A data centre that sent a request to the pool's root. */
struct pool_member {
	TAILQ_ENTRY(pool_member) entry;
	char dc[NAME_LEN];
	uint64_t epoch; /* of the tree root that represents it */
	struct addr addr; /* of that root */
	uint64_t incarnation; /* of that root */
	bool has_reported; /* it has reported all that it holds */
};

TAILQ_HEAD(pool_members, pool_member);

struct pool {
	struct quota *quota; /* granted from while this daemon is the root */
	struct pool_members members;
	int nmembers;
	struct addr root; /* as the row says; zero: not known */
	uint64_t epoch; /* the row's version */
	uint64_t last_root_epoch; /* in which this daemon was root last */
	uint64_t row_version; /* of the row that was read last */
	uint64_t claimed_row_version; /* of the row our claim was to replace */
	bool is_root;
	bool root_lost; /* there is no root, or it does not answer */
	bool handover_pending; /* the write that names our successor is sent */
	bool has_reported; /* we have reported to the root all that we hold */
	uint64_t root_heard_us; /* last message from the root */
	uint64_t request_us; /* last request to the root */
	struct row_watch root_row;
	uint64_t claim_sent_us; /* last claim to be the root */
};

/* Initialise the state, with a quota that pool_release() destroys. */
void pool_init(struct pool *);
/* Free the quota and the members. */
void pool_release(struct pool *);
/*
 * Take note of a request from a daemon that represents a data centre in an
 * epoch of its tree.  Returns the data centre's member, or NULL if a daemon of
 * a later epoch represents it.  The member belongs to the pool, and is freed
 * when this daemon becomes the root again.
 */
struct pool_member *pool_update_member(
    struct pool *, const char *dc, uint64_t epoch, struct addr);
/*
 * Whether as many data centres have reported what they hold as the region
 * has.  False if dcs is 0, which means that their number is not known.
 */
bool pool_all_reported(const struct pool *, int dcs);
/*
 * The key of a data centre's charge in the pool's quota: a hash of its name
 * in the form of an address, since charges are kept by address.
 */
struct addr pool_charge_key(const char *dc);

#endif
