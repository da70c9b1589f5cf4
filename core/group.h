/*
 * group - what a daemon knows of the targets of one service
 *
 * Members are told apart by the address of their daemon and by the
 * incarnation, the wall time of the daemon's start.  Word of an earlier
 * incarnation never changes a later one.  A member that ended is kept for
 * GROUP_RETAIN_US, because ids stamped during its life still name it.
 *
 *	g = group_create("orders", "plzen", self);
 *	group_merge(g, &record, now);
 *	group_tick(g, now);
 *	o = group_owner(g, id, stamp_ms, now);
 *
 * Leases.  Targets of one service in one data centre ask each other for a
 * grant every GROUP_HEARTBEAT_US.  Who grants promises not to take the
 * member for gone for GROUP_LEASE_US after the asking was received; the
 * asker counts from before it asked, so its lease ends first whatever the
 * link's delay.  An id's owner runs the call only while it holds grants
 * from a majority of the data centre's members.
 *
 * Times named _us are on this daemon's monotonic clock, those named _ms are
 * wall time.
 */
#ifndef CORE_GROUP_H
#define CORE_GROUP_H

#include <bsd/sys/tree.h>

#include "core/msg.h"
#include "core/retry.h"

#define GROUP_HEARTBEAT_US (1 * SEC_US)
#define GROUP_REMOTE_BEAT_US (3 * SEC_US) /* to other data centres */
#define GROUP_LEASE_US (3 * SEC_US)
#define GROUP_GONE_US (4 * SEC_US) /* silent for so long: gone */
#define GROUP_RETAIN_US (600 * SEC_US) /* how long ids are remembered */
#define GROUP_JOIN_MS 2500 /* from join to owning ids */
#define GROUP_LEAVE_MS 2500 /* from leaving to owning none */
#define GROUP_SKEW_MS 1000 /* a stamp may be ahead by so much */
#define GROUP_PRESSURE_US                                                      \
	(2500 * MSEC_US) /* word of pressure counts so long                    \
			  */
#define GROUP_RAMP_US (10 * SEC_US) /* a new target's way to full work */

struct member {
	RB_ENTRY(member) entry;
	struct member_record record;
	uint64_t seen_us; /* first known here */
	uint64_t heard_us; /* last word of its own */
	uint64_t asked_us; /* last heartbeat sent to it */
	uint64_t lease_us; /* it grants us until then */
	uint64_t lease_gone; /* the grantor's digest of gone members */
	uint64_t granted_us; /* we granted it last at */
	uint64_t avoid_us; /* tried last until then, after a failure */
	bool unreachable; /* its link broke and nothing came since */
	uint64_t ended_us;
	struct threshold threshold;
	uint32_t pressure; /* as its last word said, in thousandths */
	uint64_t pressure_us; /* when it said so */
	uint32_t load;
	uint32_t outstanding; /* tries of ours that it has not answered */
	bool self;
	bool handed; /* it left and its ledger records arrived here */
	bool fenced; /* the platform's row says that it is gone */
};

RB_HEAD(member_tree, member);

struct group {
	RB_ENTRY(group) entry;
	struct member_tree members;
	struct retry_budget budget; /* of second tries sent to its targets */
	struct member *self; /* NULL unless the local target is one */
	char service[NAME_LEN];
	char dc[NAME_LEN];
	uint64_t used_us; /* last call for this service */
	double nested; /* calls of the local target lately, fading */
	uint64_t polled_us;
	uint64_t rows_us; /* platform's rows last asked for */
	uint64_t rows_version; /* of the fence row */
	bool rows_read;
	int count;
};

RB_PROTOTYPE(member_tree, member, entry, member_cmp);

enum owner_kind {
	OWNER_SELF,
	OWNER_OTHER,
	OWNER_DOUBT, /* it may have run at a member that is gone */
	OWNER_NO_LEASE, /* ours, but another may believe the same */
	OWNER_NONE, /* no member owns ids of that time */
};

struct owner {
	enum owner_kind kind;
	struct member *member;
};

struct group *group_create(const char *service, const char *dc);
void group_destroy(struct group *);
struct member *group_find(struct group *, struct addr);
/* Take in one record; returns whether anything changed. */
bool group_merge(
    struct group *, const struct member_record *, struct instant now);
/* Make the local target a member; the record is this daemon's own. */
void group_join(struct group *, const struct member_record *, struct instant);
/* Find members that are gone and forget those that ended long ago. */
bool group_tick(struct group *, struct instant now);
/* Who owns an id of a stamp, among the members of a data centre. */
struct owner group_owner(struct group *, const char *dc, const char *id,
    uint64_t stamp_ms, struct instant now);
/* The member after us that gets our ledger record of an id. */
struct member *group_successor(
    struct group *, const char *id, uint64_t stamp_ms);
/* A heartbeat came: note it and decide on a grant. */
bool group_grant(
    struct group *, struct addr from, uint64_t incarnation, struct instant);
/* A grant came for a heartbeat that we sent at sent_us. */
void group_granted(struct group *, struct addr from, uint64_t sent_us,
    uint64_t gone_digest, struct instant now);
/* Whether a majority grants us; strict wants them to agree on the gone. */
bool group_has_lease(struct group *, struct instant, bool strict);
/* Digest of all that is known, and of the members that are gone. */
uint64_t group_digest(struct group *);
uint64_t group_gone_digest(struct group *);
/* What its members say of pressure, on average; stale word does not count. */
double group_pressure(struct group *, struct instant now);
/* Whether new work may be sent there. */
bool member_is_open(const struct member *);

#endif
