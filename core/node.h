/*
 * node - makes all decisions of one daemon
 *
 * A node is given one message and the time, and appends the messages to send
 * to a list.  It uses no sockets, files, clocks or threads, and its random
 * numbers come from a seed, so that the same messages at the same times lead
 * to the same decisions in a daemon and in a replay.
 *
 *	n = node_create(&setup);
 *	node_handle(n, msg, now, &out);		destroys msg
 *	node_tick(n, now, &out);
 *	node_destroy(n);
 *
 * node_tick() has to be called again within node_tick_interval_us().
 *
 * The caller owns the messages on the list and delivers them by kind:
 * MSG_ANSWER to the front task, MSG_RUN to the target task, MSG_ROW_READ to
 * the platform task, those between daemons to the link task, which sends
 * them to msg->peer, and so on (see core/msg.h).
 *
 * A call passes through the nodes of two daemons, which may be the same:
 * entry.c at the daemon that received it chooses the target, serve.c at the
 * target's daemon queues and runs it, and entry.c answers the caller.
 */
#ifndef CORE_NODE_H
#define CORE_NODE_H

#include "core/account.h"
#include "core/balance.h"
#include "core/confstate.h"
#include "core/counters.h"
#include "core/ended_row.h"
#include "core/id_guard.h"
#include "core/limit.h"
#include "core/msg.h"
#include "core/retry.h"
#include "core/shed.h"

/* Longest interval between ticks: with calls in progress, and without. */
#define NODE_BUSY_TICK_INTERVAL_US (5 * MSEC_US)
#define NODE_IDLE_TICK_INTERVAL_US (100 * MSEC_US)

/* What a node is created with; node_update_settings() changes some of it. */
struct node_setup {
	struct addr self; /* the daemon's own link address */
	char dc[NAME_LEN];
	char region[NAME_LEN]; /* its data centres share rates; empty: none */
	int region_dcs; /* data centres in the region; 0: unknown */
	/* The host's service, sent on as its calls' caller; empty: none. */
	char service[NAME_LEN];
	uint64_t incarnation; /* wall time of the daemon's start, in ms */
	/*
	 * Of the random number generator, and of the numbers of messages; not
	 * one that an earlier process at this address had.
	 */
	uint64_t seed;
	const struct balancer *balancer;
	const struct limiter *limiter;
	const struct shedder *shedder; /* NULL: by the configuration's policy */
	const struct retrier *retrier;
	const struct id_guard *guard;
	/*
	 * The id that a caller sends outlives the call: it has one owner, in
	 * whose ledger a second call with the same id is recognised, whichever
	 * daemon received it.
	 */
	bool ids_outlive_attempts;
	const struct catalog_parser *parser; /* of the configuration */
	const struct addr *seeds; /* daemons to ask if the platform is down */
	int nseeds; /* more than MAX_SEEDS are ignored */
	size_t max_calls; /* calls of callers at once */
	size_t max_queue; /* calls that wait for the local target */
	size_t max_ids; /* ids that the ledger remembers */
	/* Bytes of all replies that the ledger keeps. */
	size_t max_ledger_reply_bytes;
	uint64_t default_deadline_us; /* of calls that name none */
	uint64_t max_deadline_us; /* later deadlines are cut to this */
	/* A target silent for this long is taken for gone; 0: never. */
	uint64_t announce_timeout_us;
	/* From the start of draining to the daemon's end; 0: no bound. */
	uint64_t grace_us;
	/*
	 * Keys are accepted for this long after the platform last confirmed
	 * the configuration; 0: for ever.
	 */
	uint64_t key_max_config_age_us;
	/* The fraction of the target's slots that is left free, 0 to 1. */
	double headroom_fraction;
	/*
	 * The accounts of memory, which the node charges, and of descriptors,
	 * which it only shows.  They outlive the node; NULL: none.
	 */
	struct account *memory;
	struct account *descriptors;
};

struct node;

/*
 * Create a node.  The setup and its seeds are copied, but not the tables and
 * the parser that it points to, which must outlive the node.
 */
struct node *node_create(const struct node_setup *);
/* Destroy a node; calls in progress are dropped without an answer. */
void node_destroy(struct node *);
/* Handle a message, which is destroyed. */
void node_handle(
    struct node *, struct msg *, struct instant now, struct msg_list *out);
/* Do what is due by now; may be called at any time. */
void node_tick(struct node *, struct instant now, struct msg_list *out);
/* The longest time until the next tick, in microseconds. */
uint64_t node_tick_interval_us(const struct node *);
/*
 * Whether a draining node has finished: no calls are left, and unless it had
 * to give up at the end of the grace period its target has left the group.
 */
bool node_is_drained(const struct node *);
/*
 * Apply the settings that may change at run time: deadlines and other times,
 * max_calls and headroom.  The rest stays as it was at the start.
 */
void node_update_settings(struct node *, const struct node_setup *);
/*
 * Whether the node takes calls: it has a configuration that it trusts, and is
 * not draining.
 */
bool node_is_ready(const struct node *);
/* The limits on callers' requests; all zero before a configuration is known. */
struct caller_limits node_caller_limits(const struct node *);
/* The version of the configuration in force; 0: none. */
uint64_t node_config_version(const struct node *);
/* The revision that its text states; 0: none. */
uint64_t node_config_revision(const struct node *);
bool node_is_draining(const struct node *);
/* Whether a draining node's process has to end now, or be killed. */
bool node_grace_is_over(const struct node *, struct instant now);
/* Whether a draining node refuses all new calls of callers. */
bool node_refuses_calls(const struct node *, struct instant now);
/*
 * Step through the decisions, for the log.  The cursor begins at 0.  Returns
 * false if there is no further decision.  Otherwise moves the cursor past it
 * and writes it to line, without a line end; the line is empty if the decision
 * is about a call that succeeded.
 */
bool node_next_decision(
    const struct node *, uint64_t *cursor, char *line, size_t len);
/* The event counters; they belong to the node. */
const struct counters *node_counters(const struct node *);
/* What became of the target's last announcement. */
struct announce_outcome {
	uint64_t count; /* announcements handled so far */
	bool ignored; /* it was late, odd, or about another start */
	/* It waits until it is known which start ended before this process. */
	bool held;
	/* What it was compared with: the start known by then. */
	char known_id[ID_LEN]; /* empty: none */
	uint64_t known_started_ms;
	uint64_t known_seq;
};
const struct announce_outcome *node_announce_outcome(const struct node *);
/*
 * The last start of the target whose end was acknowledged, by this process or
 * an earlier one; its id is empty if there was none.  It belongs to the node.
 */
const struct target_start *node_ended_start(const struct node *);
/* How the platform's store last came back from a copy. */
struct store_return {
	uint64_t era; /* the present one; 0: unknown, or the store has none */
	uint64_t previous_era; /* before the last return */
	struct addr heard_from; /* zero: the store's own answer */
	uint64_t heard_us; /* on the monotonic clock */
	/* This daemon's member rows that were written again since. */
	uint64_t rows_written_again;
	uint64_t rows_there_us; /* when all of them were there; 0: not yet */
};
/* COUNT_STORE_RETURNS counts the returns; the struct belongs to the node. */
const struct store_return *node_store_return(const struct node *);
/*
 * The configuration that was not adopted last, as "version=N fault=REASON";
 * COUNT_CONFIG_REJECTED, COUNT_CONFIG_ROWS_OLDER and
 * COUNT_CONFIG_ROWS_LOWER count them.  Valid until
 * the next message or tick.
 */
const char *node_config_fault(const struct node *);
/*
 * The row of the platform that was ignored last, as "key=KEY fault=REASON";
 * COUNT_ODD_ROWS counts them.  Valid until the next message or tick.
 */
const char *node_last_odd_row(const struct node *);
/*
 * Format the state for operators: "name value" lines, and one line for each
 * member.  The caller frees the string.
 */
char *node_status(struct node *, struct instant now);

#endif
