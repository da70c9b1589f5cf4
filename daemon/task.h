/*
 * task - what owns sockets and state, and is talked to by messages
 *
 * A task has a mailbox and a table of functions.  It runs only when a
 * message or an event of its own arrives; nothing of it is touched by other
 * tasks.  All tasks of a daemon share one event loop and one thread, so a
 * task runs to the end before the next begins, and none may block.
 *
 *	struct task *t = task_create(base, "front", &front_ops, state);
 *	task_send(t, msg);		t takes the message over
 *	task_destroy(t);		calls ops->destroy(state)
 */
#ifndef DAEMON_TASK_H
#define DAEMON_TASK_H

#include <event2/event.h>

#include "core/msg.h"

struct task;

struct task_ops {
	/* Handle one message and destroy it or pass it on. */
	void (*receive)(void *state, struct msg *);
	void (*destroy)(void *state);
};

struct task *task_create(struct event_base *, const char *name,
    const struct task_ops *, void *state);
void task_destroy(struct task *);
/* Put a message into the mailbox; it is handled from the event loop. */
void task_send(struct task *, struct msg *);

#endif
