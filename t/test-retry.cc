/*
 * Tests of the retry budget and the back-off, and of the retries in a call
 * tree 23 services deep whose deepest service truncates every answer.
 */
#include <gtest/gtest.h>
#include <string>

#include "t/config-text.h"

extern "C" {
#include "core/retry.h"
}

namespace {

constexpr int DEPTH = 23;

struct CallResult {
	int count = 0;
	uint32_t tries = 0;
};

void
on_reply(struct replay *, void *arg, const struct reply *reply)
{
	CallResult *result = static_cast<CallResult *>(arg);

	result->count++;
	result->tries = reply->tries;
}

/*
 * Send one call whose tree is DEPTH services deep.  Returns the runs that it
 * caused, and stores the number of tries that its reply states.
 */
uint64_t
count_runs_of_tree(const struct retrier *retrier, uint32_t *tries)
{
	struct replay *r = replay_create(4);
	std::string text = "[policy]\nretries = 3\n[datacentre a]\n", below;
	struct replay_host_spec spec = {};
	struct replay_call c = {};
	std::string names[DEPTH], paths[DEPTH];
	CallResult result;
	uint64_t runs;
	int i;

	for (i = 0; i < DEPTH; i++) {
		names[i] = "s" + std::to_string(i);
		paths[i] = "/" + names[i];
		text += "[service " + names[i] + "]\n";
		if (i + 1 < DEPTH)
			text += "depends = s" + std::to_string(i + 1) + "\n";
		text += "[route " + paths[i] + "]\nservice = " + names[i] +
			"\nidempotent = yes\nopen = yes\n";
	}
	replay_set_config(r, text.c_str());
	spec.dc = "a";
	spec.slots = 100;
	spec.mean_run_us = 1000;
	spec.retrier = retrier;
	for (i = 0; i < DEPTH; i++) {
		spec.service = names[i].c_str();
		spec.dependency_path =
		    i + 1 < DEPTH ? paths[i + 1].c_str() : nullptr;
		replay_add_host(r, &spec);
		/* With two of each there is another target to retry at. */
		replay_add_host(r, &spec);
	}
	replay_run_until(r, 4 * SEC_US);
	replay_truncate_answers(r, 2 * (DEPTH - 1), 100000);
	replay_truncate_answers(r, 2 * (DEPTH - 1) + 1, 100000);
	c.method = "GET";
	c.path = "/s0";
	c.deadline_ms = 20000;
	c.done = on_reply;
	c.arg = &result;
	replay_send_call(r, &c);
	replay_run_until(r, 40 * SEC_US);
	EXPECT_EQ(result.count, 1);
	*tries = result.tries;
	runs = replay_count_runs(r);
	replay_destroy(r);
	return runs;
}

} // namespace

TEST(Retry, TriesOfCallTreeAreAtMostItsCallsPlusAllowance)
{
	uint32_t tries;
	uint64_t runs = count_runs_of_tree(&retrier_tree, &tries);

	EXPECT_LE(runs, (uint64_t)DEPTH + 3);
	EXPECT_GT(runs, (uint64_t)DEPTH) << "no retry was made";
	EXPECT_LE(tries, (uint32_t)DEPTH + 3);
}

TEST(Retry, RetriesAtEachHopExceedCallsPlusAllowance)
{
	uint32_t tries;

	EXPECT_GT(
	    count_runs_of_tree(&retrier_per_hop, &tries), (uint64_t)DEPTH + 3);
}

TEST(Retry, BudgetLimitsRetriesToFractionOfFirstTries)
{
	struct retry_budget b;
	int i, taken = 0;

	retry_budget_init(&b);
	while (retry_budget_take(&b))
		taken++;
	EXPECT_EQ(taken, (int)RETRY_BUDGET_MAX);
	for (i = 0; i < 100; i++) {
		retry_budget_add(&b);
		taken += retry_budget_take(&b);
	}
	EXPECT_LE(taken, (int)RETRY_BUDGET_MAX + 10);
}

TEST(Retry, BackoffStaysWithinItsBounds)
{
	uint64_t rng = 1;
	unsigned int i;

	for (i = 0; i < 40; i++)
		EXPECT_LE(retry_backoff_us(i, &rng), RETRY_BACKOFF_MAX_US);
	EXPECT_LE(retry_backoff_us(0, &rng), RETRY_BACKOFF_BASE_US);
}
