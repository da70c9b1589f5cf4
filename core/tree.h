/*
 * tree - the daemons of a data centre as a tree with bounded fan-out
 *
 * The configuration and the shares of rates are distributed along this tree,
 * so that neither the platform nor any daemon serves more than
 * TREE_MAX_CHILDREN others.  The root is named by one row of the platform; the
 * row's version is the root's epoch.  A daemon that has TREE_MAX_CHILDREN
 * children redirects any other daemon to one of them.
 *
 * The root is elected by a compare-and-set of that row.  This does not rule
 * out two daemons that both take themselves for the root for a while: see
 * quota.h for what prevents them from granting a rate twice.
 *
 * This module only keeps the state; control.c sends the messages.  Times
 * named _us are on this daemon's monotonic clock.
 */
#ifndef CORE_TREE_H
#define CORE_TREE_H

#include <bsd/sys/queue.h>

#include "core/row_watch.h"

/* The most children of one daemon. */
#define TREE_MAX_CHILDREN 16
/* Interval between the requests that a child sends to its parent. */
#define TREE_ASK_INTERVAL_US (400 * MSEC_US)
/* A parent that is silent for longer than this is taken for lost. */
#define TREE_PARENT_TIMEOUT_US (1500 * MSEC_US)
/* A child that is silent for longer than this is dropped. */
#define TREE_CHILD_TIMEOUT_US (5 * SEC_US)
/* Interval between reads of the same row of the platform. */
#define TREE_READ_INTERVAL_US (1 * SEC_US)
/* The most redirects that are followed after a request to the root. */
#define TREE_MAX_REDIRECTS 8

/* The configuration that was sent to a neighbour last, with its text. */
struct config_sent {
	uint64_t digest; /* 0: none yet */
	uint64_t sent_us;
};

struct tree_child {
	TAILQ_ENTRY(tree_child) entry;
	struct addr addr;
	uint64_t last_heard_us; /* when its last request came */
	struct config_id config; /* the configuration that it has */
	struct config_sent config_sent;
	uint64_t incarnation;
};

TAILQ_HEAD(tree_children, tree_child);

/* A question for the configuration, by which its answer is dated. */
struct tree_ask {
	uint64_t seq; /* of the message; 0: none */
	uint64_t sent_us;
};

/* How many questions are remembered; enough for all seeds and peers at once. */
#define TREE_ASKS_KEPT 32

struct tree {
	struct tree_children children;
	int nchildren;
	struct addr root; /* as the root's row says; zero: not known */
	uint64_t epoch; /* version of the row that named that root */
	uint64_t last_root_epoch; /* in which this daemon was root last */
	uint64_t row_version; /* of the root's row as last read */
	bool is_root;
	struct addr parent; /* zero: none */
	bool accepted; /* the parent has accepted us as its child */
	int redirects; /* followed since the last request to the root */
	int depth; /* unused */
	uint64_t parent_heard_us; /* the parent's last message */
	uint64_t config_asked_us; /* last request to the parent or seeds */
	struct config_sent config_sent; /* to the parent */
	/* The parent stated last another configuration than that in force. */
	bool parent_differs;
	/* The position of the configuration's row as last read; 0: no row. */
	uint64_t config_row_version;
	/* When a read last showed a row that is not in force; 0: none since. */
	uint64_t config_row_differs_us;
	uint64_t config_known_us; /* since when there is one; 0: none yet */
	bool config_trusted; /* see confsync_is_trusted() */
	struct tree_ask asks[TREE_ASKS_KEPT]; /* ring of the latest ones */
	unsigned int asks_added; /* added so far */
	struct row_watch root_row;
	struct row_watch config_row;
	uint64_t platform_answered_us; /* last answer of the platform */
	uint64_t platform_failed_us; /* last request that it did not answer */
	uint64_t claim_sent_us; /* last attempt to become root; 0: none yet */
	uint64_t claimed_row_version; /* of the row that it was to replace */
	bool handover_pending; /* the write that names our successor is sent */
	bool root_lost; /* there is no root, or it does not answer */
};

/* Initialise an empty tree, with no root, no parent and no children. */
void tree_init(struct tree *);
/* Free all children. */
void tree_release(struct tree *);
/*
 * Handle the request of a daemon to be a child; have is the configuration that
 * it has.  True if it is a child now.  False if there are
 * TREE_MAX_CHILDREN others: the daemon has to ask the child whose address is
 * in *redirect, a random one.
 */
bool tree_admit(struct tree *, struct addr child, const struct config_id *have,
    uint64_t now_us, uint64_t *rng, struct addr *redirect);
/* The child at an address, or NULL; it belongs to the tree. */
struct tree_child *tree_child(struct tree *, struct addr);
/* Remove the child at an address, if there is one. */
void tree_remove_child(struct tree *, struct addr);
/* Drop children that are silent for longer than TREE_CHILD_TIMEOUT_US. */
void tree_tick(struct tree *, uint64_t now_us);
/* Switch to another parent, which has not accepted us yet; zero: none. */
void tree_set_parent(struct tree *, struct addr, uint64_t now_us);
/* Remember when a question for the configuration was sent. */
void tree_note_ask(struct tree *, uint64_t seq, uint64_t now_us);
/* When the question with that number was sent; 0: it is not known. */
uint64_t tree_ask_sent_us(const struct tree *, uint64_t seq);
/* False for the zero address, which stands for none. */
bool addr_is_set(struct addr);

/* Bytes of the text of a row that names a root, with its NUL. */
#define TREE_ROOT_LEN 64
/* Write the text that names a root. */
void tree_format_root(
    char text[TREE_ROOT_LEN], struct addr, uint64_t incarnation);
/* Parse such a text; false if it is not one, or NULL. */
bool tree_parse_root(const char *text, struct addr *, uint64_t *incarnation);

#endif
