/*
 * shed - the queue in front of the local target, and load shedding
 *
 * Calls that may not run yet wait here.  Importance classes are served in
 * strict order.  Within a class the organisations are served by deficit
 * round robin with a quantum of one call, so that an organisation that
 * floods the queue does not starve the others.  A full queue makes room for
 * a more important call by refusing the least important one that waits.
 *
 *	if (!shed_enqueue(s, item, now, &victim))
 *		refuse(item);
 *	if (victim != NULL)
 *		refuse(victim);
 *	while (running < limit &&
 *	    (item = shed_dequeue(s, now, service_us, &expired)) != NULL)
 *		start(item);
 *	refuse_all(&expired);
 *
 * The threshold from shed_threshold() is sent to the entry daemons, which
 * refuse the calls that would be refused here without sending them.
 *
 * An item is embedded in the object that it stands for, and stays the
 * caller's: the queue links items but never allocates or frees them.  Times
 * are in microseconds on the monotonic clock.
 */
#ifndef CORE_SHED_H
#define CORE_SHED_H

#include <bsd/sys/queue.h>

#include "core/msg.h"

/* A call in the queue.  The caller sets all members but flow and queued_us. */
struct shed_item {
	TAILQ_ENTRY(shed_item) entry;
	struct shed_flow *flow; /* its organisation's queue; NULL: not queued */
	char org[NAME_LEN];
	enum importance importance;
	uint8_t level; /* within its importance; low ones are refused first */
	uint64_t queued_us; /* when it was queued */
	/* Longest wait under wait_by_goal; 0: no bound. */
	uint64_t max_wait_us;
	uint64_t deadline_us;
	void *owner; /* the object that the item is embedded in */
};

TAILQ_HEAD(shed_items, shed_item);

struct shed_queue;

/* A load shedding policy. */
struct shedder {
	const char *name; /* the value of the setting that selects it */
	bool by_importance; /* serve importance classes in strict order */
	bool fair_by_org; /* share a class fairly among its organisations */
	bool lifo_in_overload; /* serve the newest call first in overload */
	bool adaptive_threshold; /* refuse early, by a threshold that adapts */
	uint64_t max_wait_us; /* longest wait of a call; 0: no bound */
	bool wait_by_goal; /* bound each call's wait by its own latency goal */
	bool uses_pressure; /* refuse whole call trees where they begin */
	bool uses_windows; /* limit the call trees in progress; see window.h */
};

/*
 * The policy of a deployment that weighs recovery from an overload highest,
 * of one that weighs goodput highest, and a plain queue that sheds nothing,
 * for comparison.
 */
extern const struct shedder shedder_recovery;
extern const struct shedder shedder_goodput;
extern const struct shedder shedder_fifo;
/*
 * Each call waits for at most a fraction of its latency goal, and a nested
 * call until its deadline.
 */
extern const struct shedder shedder_goal;

/* Create an empty queue for at most max_items calls. */
struct shed_queue *shed_create(const struct shedder *, size_t max_items);
/* Free the queue; items that still wait stay the caller's. */
void shed_destroy(struct shed_queue *);
/*
 * Change the policy.  Calls that wait keep their places.  Nothing changes
 * if calls wait and the two policies differ in by_importance.
 */
void shed_set_policy(struct shed_queue *, const struct shedder *);
/*
 * Queue a call.  Returns false if the call itself has to be refused.  A call
 * that was removed to make room is left in *victim, otherwise NULL.
 */
bool shed_enqueue(struct shed_queue *, struct shed_item *, struct instant now,
    struct shed_item **victim);
/*
 * Remove and return the next call to run, or NULL if there is none.  Calls
 * that cannot meet their deadline or that waited too long are moved to the
 * list expired.  blocked has a bit 1 << importance for each importance whose
 * calls may not run now.  service_us is the target's expected time for one
 * call.
 */
struct shed_item *shed_dequeue(struct shed_queue *, unsigned int blocked,
    struct instant now, uint64_t service_us, struct shed_items *expired);
/* Move all calls to the list expired that shed_dequeue() would move there. */
void shed_expire(struct shed_queue *, struct instant now, uint64_t service_us,
    struct shed_items *expired);
/* Remove a call from the queue. */
void shed_remove(struct shed_queue *, struct shed_item *);
/* The number of calls that wait. */
size_t shed_count(const struct shed_queue *);
/* Adapt the threshold; to be called about ten times a second. */
void shed_tick(struct shed_queue *);
/* The threshold below which calls would be refused here. */
struct threshold shed_threshold(const struct shed_queue *);
/* How long the call that was started last had waited, in microseconds. */
uint64_t shed_delay_us(const struct shed_queue *);

/*
 * The level of a call tree within its importance, from 0 to
 * IMPORTANCE_LEVELS - 1: a hash, so that every daemon computes the same one.
 */
uint8_t shed_level(const char *org, uint64_t tree_id);

#endif
