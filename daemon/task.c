#include <stdlib.h>

#include "daemon/task.h"

struct task {
	struct msg_list mailbox;
	struct event *wake_event;
	struct event *hurry_event; /* does the same, before other events */
	const struct task_ops *ops;
	const char *name;
	void *state;
	struct holder memory; /* responses in the mailbox */
};

static const struct holder_ops mailbox_holder = {HOLDER_MAILBOX, false, NULL};

static void
deliver_messages(evutil_socket_t fd, short what, void *arg)
{
	struct msg_list batch = TAILQ_HEAD_INITIALIZER(batch);
	struct task *t = arg;
	struct msg *m;

	(void)fd;
	(void)what;
	/* Messages sent from here on wait until the loop calls this again. */
	TAILQ_CONCAT(&batch, &t->mailbox, entry);
	while ((m = TAILQ_FIRST(&batch)) != NULL) {
		TAILQ_REMOVE(&batch, m, entry);
		holder_set(&t->memory, t->memory.held - msg_reply_bytes(m));
		t->ops->receive(t->state, m);
	}
}

struct task *
task_create(struct event_base *base, const char *name,
    const struct task_ops *ops, void *state)
{
	struct task *t = xcalloc(1, sizeof(*t));

	TAILQ_INIT(&t->mailbox);
	t->ops = ops;
	t->name = name;
	t->state = state;
	task_set_account(t, NULL);
	t->wake_event = event_new(base, -1, 0, deliver_messages, t);
	t->hurry_event = event_new(base, -1, 0, deliver_messages, t);
	if (t->wake_event == NULL || t->hurry_event == NULL)
		abort();
	event_priority_set(t->hurry_event, LOOP_PRIORITY_FIRST);
	return t;
}

void
task_set_account(struct task *t, struct account *memory)
{
	holder_init(
	    &t->memory, memory, &mailbox_holder, t, 0 /* gives no way */);
}

void
task_destroy(struct task *t)
{
	if (t == NULL)
		return;
	holder_release(&t->memory);
	event_free(t->wake_event);
	event_free(t->hurry_event);
	t->ops->destroy(t->state);
	msg_list_clear(&t->mailbox);
	free(t);
}

void
task_send(struct task *t, struct msg *m)
{
	bool idle = TAILQ_EMPTY(&t->mailbox);

	TAILQ_INSERT_TAIL(&t->mailbox, m, entry);
	holder_set(&t->memory, t->memory.held + msg_reply_bytes(m));
	if (idle)
		event_active(t->wake_event, EV_TIMEOUT, 0);
}

void
task_hurry(struct task *t)
{
	if (t != NULL)
		event_active(t->hurry_event, EV_TIMEOUT, 0);
}
