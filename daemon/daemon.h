/*
 * daemon - the tasks of one cranberrywayd process
 *
 * Each task owns its sockets and its state (see daemon/task.h).  The decide
 * task holds the core and makes every decision.  The other tasks exchange
 * messages with it only, with one exception: an announcement of the local
 * target also goes straight to the target task, which needs its address.
 *
 *	front		HTTP connections from callers
 *	link		connections to other daemons
 *	target		HTTP requests to the local target
 *	platform	requests to the platform's table service
 *	operators	the operators' port
 *	announce	the port on which the local target announces itself, if
 *			the dialect has one
 *	probe		the readiness and metrics ports
 *	decide		the core's node
 */
#ifndef DAEMON_DAEMON_H
#define DAEMON_DAEMON_H

#include <event2/event.h>

#include "config/settings.h"
#include "core/node.h"
#include "daemon/task.h"
#include "wire/context.h"

#define SECRET_MAX_BYTES 4096 /* largest accepted secret file */
#define LOOPBACK_IP UINT32_C(0x7f000001) /* 127.0.0.1 in host byte order */
/*
 * Set in the seq of the probe task's MSG_OPS, so that the MSG_OPS_REPLY goes
 * to the probe task and not to the operators task.
 */
#define PROBE_SEQ_FLAG (UINT64_C(1) << 63)

struct account;
struct announce_protocol;
struct dialect;
struct holdings;
struct row_protocol;

/*
 * State that all tasks share.  main() owns it and everything it points to,
 * and it outlives the tasks.  Tasks only read it, except that the decide task
 * updates ready and draining.
 */
struct daemon {
	struct event_base *base; /* the event loop of all tasks */
	struct settings *settings; /* in force; replaced in place on SIGHUP */
	const char *settings_path; /* the file, read again on SIGHUP */
	const struct dialect *dialect;
	const struct row_protocol *row_protocol;
	/* NULL: the dialect has no announce port. */
	const struct announce_protocol *announce_protocol;
	uint64_t max_descriptors; /* limit of open files of this process */
	struct holdings *holdings; /* which owns the accounts that follow */
	struct account *memory; /* bytes that all tasks keep; NULL: no limit */
	struct account *descriptors; /* that all tasks use; NULL: no limit */
	/*
	 * Key that authenticates links: a hash of the secret file, or zeroes
	 * without one, when links are open to every daemon.
	 */
	uint8_t link_key[32];
	/*
	 * Key that authenticates the header Cranberryway-Context, drawn at
	 * each start.
	 */
	uint8_t context_key[CONTEXT_KEY_LEN];
	struct task *front;
	struct task *link;
	struct task *target;
	struct task *platform;
	struct task *operators;
	struct task *announce; /* NULL if the dialect has no announce port */
	struct task *probe;
	struct task *decide;
	bool ready; /* callers may be sent to this daemon */
	bool draining; /* a signal or an operator has asked to drain */
};

/*
 * Each returns NULL, after an error in the log, if the task's port cannot be
 * bound; those of target, platform and decide have no port and never fail.
 * main() destroys the tasks with task_destroy().
 */
struct task *front_task_create(struct daemon *);
struct task *link_task_create(struct daemon *);
struct task *target_task_create(struct daemon *);
struct task *platform_task_create(struct daemon *);
struct task *operators_task_create(struct daemon *);
struct task *announce_task_create(struct daemon *);
struct task *probe_task_create(struct daemon *);
struct task *decide_task_create(struct daemon *, const struct node_setup *);

/*
 * Copy the settings that may change at run time to a node's setup, whose other
 * fields stay as they are.
 */
void daemon_fill_reloadable(const struct settings *, struct node_setup *);
/* The current time on both clocks of struct instant. */
struct instant daemon_now(void);
/*
 * Ask the decide task to drain: calls in progress finish, and the event loop
 * ends once the node is drained.
 */
void daemon_drain(struct daemon *);

#endif
