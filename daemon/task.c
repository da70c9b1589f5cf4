#include <stdlib.h>

#include "daemon/task.h"

struct task {
	struct msg_list mailbox;
	struct event *wake_event;
	const struct task_ops *ops;
	const char *name;
	void *state;
};

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
	t->wake_event = event_new(base, -1, 0, deliver_messages, t);
	if (t->wake_event == NULL)
		abort();
	return t;
}

void
task_destroy(struct task *t)
{
	if (t == NULL)
		return;
	event_free(t->wake_event);
	t->ops->destroy(t->state);
	msg_list_clear(&t->mailbox);
	free(t);
}

void
task_send(struct task *t, struct msg *m)
{
	bool idle = TAILQ_EMPTY(&t->mailbox);

	TAILQ_INSERT_TAIL(&t->mailbox, m, entry);
	if (idle)
		event_active(t->wake_event, EV_TIMEOUT, 0);
}
