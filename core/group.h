/*
 * group - the membership of one service, as this daemon sees it
 *
 * A member is identified by the address of its daemon and by its
 * incarnation, a number taken from the wall clock that rises each time the
 * target joins.  Reports about an earlier incarnation never change a later
 * one.  A member that has ended is kept for GROUP_ENDED_RETENTION_US, so that
 * delayed reports about it are recognised.
 *
 *	g = group_create("orders", "plzen");
 *	group_join(g, &own_record, now);	if the local target is a member
 *	group_merge(g, &record, now);		for each record received
 *	group_tick(g, now);			regularly, to detect failures
 *	group_destroy(g);
 *
 * The targets of a service send each other a heartbeat every
 * GROUP_HEARTBEAT_INTERVAL_US, and less often to other data centres.  A
 * member that is silent for GROUP_FAILURE_TIMEOUT_US is declared gone.  Which
 * member owns a caller's idempotency id is decided elsewhere (core/owners.h).
 *
 * The group owns its members; pointers to them stay valid until the next
 * group_tick() or group_destroy().  Times named _us are on this daemon's
 * monotonic clock.
 */
#ifndef CORE_GROUP_H
#define CORE_GROUP_H

#include <bsd/sys/tree.h>

#include "core/msg.h"
#include "core/own_row.h"
#include "core/owners.h"
#include "core/retry.h"

/* Interval between heartbeats to a member of the same data centre. */
#define GROUP_HEARTBEAT_INTERVAL_US (1 * SEC_US)
/* Interval between heartbeats to a member of another data centre. */
#define GROUP_REMOTE_HEARTBEAT_INTERVAL_US (3 * SEC_US)
/* A member that is silent for longer than this is declared gone. */
#define GROUP_FAILURE_TIMEOUT_US (4 * SEC_US)
/* How long a member that left or is gone stays in the group. */
#define GROUP_ENDED_RETENTION_US (600 * SEC_US)
/* A pressure report older than this is ignored. */
#define GROUP_PRESSURE_MAX_AGE_US (2500 * MSEC_US)
/* Slow start: how long a new target receives fewer calls than others. */
#define GROUP_SLOW_START_US (10 * SEC_US)

/* One incarnation of one target. */
struct member {
	RB_ENTRY(member) entry;
	struct member_record record;
	uint64_t first_seen_us; /* when this daemon first learned of it */
	uint64_t last_heard_us; /* when its last message came */
	uint64_t heartbeat_sent_us; /* last heartbeat to it; 0: none yet */
	uint64_t avoid_until_us; /* chosen only as a last resort until then */
	bool unreachable; /* its link broke and nothing came since */
	uint64_t ended_us; /* when it left or was declared gone */
	struct threshold threshold; /* calls below it are refused there */
	uint32_t pressure_permille; /* as last reported; see struct reply */
	uint64_t pressure_heard_us; /* when that was reported */
	uint32_t load_permille; /* as last reported; see struct reply */
	uint32_t outstanding; /* tries sent to it without a reply so far */
	bool is_self; /* the local target */
};

RB_HEAD(member_tree, member);

/* The members of one service, and the owners of its ids. */
struct group {
	RB_ENTRY(group) entry;
	struct member_tree members;
	struct retry_budget budget; /* of retries sent to its targets */
	/* The local target, also once it has left; NULL if it never joined. */
	struct member *self;
	struct own_row own_row; /* its row in the platform */
	char service[NAME_LEN];
	char dc[NAME_LEN]; /* of this daemon */
	uint64_t last_used_us; /* last call for this service */
	/* Calls by the local target to the service; decays exponentially. */
	double recent_nested_calls;
	uint64_t last_poll_us; /* last poll of a random member; 0: none yet */
	uint64_t gone_probed_us; /* last probe of a member that is gone */
	uint64_t rows_read_us; /* last read of the members' rows; 0: none */
	/* When other daemons were asked for them first; 0: not yet. */
	uint64_t peers_asked_us;
	uint64_t member_heard_us; /* last answer of any member; 0: none yet */
	struct owner_tables owners; /* of ids, one for each data centre */
	uint64_t owners_read_sent_us; /* last read of our dc's owners row */
	uint64_t owners_write_sent_us; /* last write of that row; 0: none yet */
	bool owners_read_pending; /* the answer to that read is outstanding */
	bool owners_write_pending; /* the answer to that write is outstanding */
	int nmembers; /* incarnations in members, ended ones included */
};

RB_PROTOTYPE(member_tree, member, entry, member_cmp);

/* Create an empty group; dc is the data centre of this daemon. */
struct group *group_create(const char *service, const char *dc);
/* Free the group, its members and its owner tables. */
void group_destroy(struct group *);
/* The latest known incarnation at an address, or NULL. */
struct member *group_find(struct group *, struct addr);
/*
 * Merge one record; true if it added a member or changed a state.  A new
 * incarnation whose target's start is known to have ended is leaving from the
 * beginning.
 */
bool group_merge(
    struct group *, const struct member_record *, struct instant now);
/*
 * Make the local target a member; the record is this daemon's own.  Does
 * nothing if that incarnation or a later one is known at the address.
 */
void group_join(struct group *, const struct member_record *, struct instant);
/*
 * Declare members gone that were silent for too long, and forget those that
 * ended long ago.  True if a member was declared gone.
 */
bool group_tick(struct group *, struct instant now);
/*
 * Record a heartbeat from a member.  False if it is the local target, if
 * that incarnation is not the latest one known at the address, or if it was
 * declared gone.
 */
bool group_record_heartbeat(
    struct group *, struct addr from, uint64_t incarnation, struct instant);
/* A digest of all records; equal sets of records have equal digests. */
uint64_t group_digest(struct group *);
/*
 * The mean pressure that members reported, from 0 to 1.  Only recent reports
 * of reachable members that accept work count.
 */
double group_pressure(struct group *, struct instant now);
/* Take the member for gone, until it joins again under a new incarnation. */
void group_end_member(struct member *, struct instant);
/* Whether the member accepts new calls: it neither leaves nor has ended. */
bool member_accepts_work(const struct member *);

#endif
