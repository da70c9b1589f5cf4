#include <gtest/gtest.h>
#include <vector>

extern "C" {
#include "daemon/task.h"
}

namespace {

struct State {
	std::vector<uint64_t> received; /* seq of each message */
	struct task *self = nullptr;
	bool destroyed = false;
};

void
receive(void *arg, struct msg *m)
{
	State *s = static_cast<State *>(arg);

	s->received.push_back(m->seq);
	/* A message sent from within receive() comes after those waiting. */
	if (m->seq == 1) {
		struct msg *next = msg_create(MSG_CANCEL);

		next->seq = 3;
		task_send(s->self, next);
	}
	msg_destroy(m);
}

void
destroy(void *arg)
{
	static_cast<State *>(arg)->destroyed = true;
}

const struct task_ops OPS = {receive, destroy};

} // namespace

TEST(Task, DeliversMessagesInOrderFromTheEventLoop)
{
	struct event_base *base = event_base_new();
	struct msg *m;
	State s;

	s.self = task_create(base, "test", &OPS, &s);
	for (uint64_t i = 1; i <= 2; i++) {
		m = msg_create(MSG_CANCEL);
		m->seq = i;
		task_send(s.self, m);
	}
	EXPECT_TRUE(s.received.empty()) << "delivered before the loop runs";
	event_base_loop(base, EVLOOP_NONBLOCK);
	event_base_loop(base, EVLOOP_NONBLOCK);
	EXPECT_EQ(s.received, (std::vector<uint64_t>{1, 2, 3}));
	task_send(s.self, msg_create(MSG_CANCEL));
	task_destroy(s.self);
	EXPECT_TRUE(s.destroyed);
	event_base_free(base);
}
