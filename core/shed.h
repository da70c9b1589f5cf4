/*
 * shed - the queue in front of the local target, and what is refused
 *
 * Calls that may not run yet wait here.  Classes of importance go strictly
 * in order; within a class the organisations take turns (deficit round
 * robin, one call a turn), so that one that floods does not starve the
 * others.  A full queue makes room for a more important call by refusing
 * the least important one that waits.
 *
 *	if (!shed_offer(s, item, now, &victim)) refuse(item);
 *	if (victim != NULL) refuse(victim);
 *	while (running < limit && (item = shed_take(s, now, &expired)))
 *		start(item);
 *
 * The threshold, from shed_threshold(), tells the callers' daemons which
 * calls would be refused here, so that they refuse them without sending.
 * Items are embedded in what they belong to; the queue owns none.
 */
#ifndef CORE_SHED_H
#define CORE_SHED_H

#include <bsd/sys/queue.h>

#include "core/msg.h"

struct shed_item {
	TAILQ_ENTRY(shed_item) entry;
	struct shed_flow *flow;
	char org[NAME_LEN];
	enum importance importance;
	uint8_t level;
	uint64_t queued_us;
	uint64_t
	    patience_us; /* may wait so long by its own goal; 0: any time */
	uint64_t deadline_us;
	void *owner;
};

TAILQ_HEAD(shed_items, shed_item);

struct shed;

struct shedder {
	const char *name;
	bool by_class; /* more important calls go first */
	bool by_org; /* organisations take turns */
	bool newest; /* the newest of a queue goes first in overload */
	bool adaptive; /* refuse early by threshold */
	uint64_t wait_us; /* a call that waited longer is refused; 0: never */
	bool by_goal; /* each call waits as its own goal allows */
	bool by_pressure; /* call trees are refused where they begin */
};

/* Each deployment's weighing, and what is usual without a layer. */
extern const struct shedder shedder_recovery;
extern const struct shedder shedder_goodput;
extern const struct shedder shedder_fifo;
/* Each call waits a part of the time to its goal; nested ones to the end. */
extern const struct shedder shedder_goal;

struct shed *shed_create(const struct shedder *, size_t max_items);
void shed_destroy(struct shed *);
/* Change the policy; calls that wait keep their places. */
void shed_set_shedder(struct shed *, const struct shedder *);
/*
 * Put a call into the queue.  False means that it is refused itself.  If
 * another has to go to make room it is taken out and left in *victim.
 */
bool shed_offer(struct shed *, struct shed_item *, struct instant now,
    struct shed_item **victim);
/*
 * The next call to run, or NULL.  Calls whose deadline can not be met, or
 * that waited too long, are moved to the list expired.  service_us is the
 * time that the target needs for one.
 */
struct shed_item *shed_take(struct shed *, struct instant now,
    uint64_t service_us, struct shed_items *expired);
/* Move all calls that have waited too long to the list. */
void shed_expire(struct shed *, struct instant now, uint64_t service_us,
    struct shed_items *expired);
/* Take out a call that waits. */
void shed_remove(struct shed *, struct shed_item *);
size_t shed_count(const struct shed *);
/* Learn from the present state; called about ten times a second. */
void shed_tick(struct shed *);
struct threshold shed_threshold(const struct shed *);
/* Time that the last call to start had waited. */
uint64_t shed_delay_us(const struct shed *);

/* The level of a call within its class: the same on every daemon. */
uint8_t shed_level(const char *org, uint64_t tree);

#endif
