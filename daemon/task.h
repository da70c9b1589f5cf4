/*
 * task - an actor that owns its sockets and state and receives messages
 *
 * A task has a mailbox and a table of functions.  Its code runs only when a
 * message or one of its own events arrives, and no other task touches its
 * state.  All tasks of a daemon share one event loop and one thread, so a
 * task's function runs to completion before the next one starts, and none
 * may block.
 *
 *	struct task *t = task_create(base, "front", &front_ops, state);
 *	task_send(t, msg);		t owns the message from here on
 *	task_destroy(t);		calls ops->destroy(state)
 */
#ifndef DAEMON_TASK_H
#define DAEMON_TASK_H

#include <event2/event.h>

#include "core/account.h"
#include "core/msg.h"

/*
 * Priorities of the event loop.  With event_base_priority_init() for that many
 * all other events get the lower one.
 */
#define LOOP_PRIORITIES 2
#define LOOP_PRIORITY_FIRST 0

struct task;

struct task_ops {
	/* Handle one message, which must be destroyed or passed on. */
	void (*receive)(void *state, struct msg *);
	/* Release the state. */
	void (*destroy)(void *state);
};

/*
 * Create a task that owns the state.  The name and the table must outlive it.
 * Never returns NULL: the process aborts if memory runs out.
 */
struct task *task_create(struct event_base *, const char *name,
    const struct task_ops *, void *state);
/*
 * Charge an account of memory with the responses in the mailbox; NULL: none.
 * The account must outlive the task.
 */
void task_set_account(struct task *, struct account *);
/* Destroy the state and the messages not yet received; NULL is allowed. */
void task_destroy(struct task *);
/*
 * Append a message to the mailbox and pass its ownership to the task.  The
 * event loop delivers it later, never from within this call, and messages are
 * received in the order in which they were sent.
 */
void task_send(struct task *, struct msg *);
/*
 * Have the messages that wait delivered before the loop handles other events.
 * Several tasks take their turns in the order of the calls, each with the
 * messages that those before it have sent.  NULL is allowed.
 */
void task_hurry(struct task *);

#endif
