/*
 * Tests of the numbers of messages: a daemon that is killed and started again
 * at the same address must not take what belongs to its earlier process.
 */
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <vector>

#include "t/config-text.h"

namespace {

constexpr int TARGET = 0, ENTRY = 1; /* numbers of the hosts */
constexpr uint64_t STARTUP_US = 5 * SEC_US;
constexpr uint64_t RUN_US = 1 * SEC_US; /* mean run time of a call */
constexpr int OLD_CALLS = 40;
/* Enough that their numbers reach those of the old calls. */
constexpr int NEW_CALLS = 280;

struct Booking {
	std::string id;
	uint64_t token = 0;
	bool answered = false, succeeded = false;
	enum verdict verdict = VERDICT_RAN; /* of a failure */
	std::string body;
};

void
on_answer(struct replay *r, void *arg, const struct reply *reply)
{
	Booking *b = static_cast<Booking *>(arg);

	(void)r;
	b->answered = true;
	b->succeeded = reply->failure.reason == REASON_NONE;
	b->verdict = reply->failure.verdict;
	if (b->succeeded)
		b->body.assign(reply->body.data, reply->body.len);
}

/*
 * One host with a target and one that only takes calls.  The second one is
 * stopped and started while the target works on its calls.
 */
class Lives : public testing::Test {
      protected:
	void
	start(uint32_t slots, struct account *memory = nullptr)
	{
		struct replay_host_spec spec = {};

		r = replay_create(1);
		replay_set_config(r, chain_config().c_str());
		spec.dc = "a";
		spec.slots = slots;
		spec.memory = memory;
		spec.limiter = &limiter_fixed;
		spec.shedder = &shedder_fifo;
		spec.mean_run_us = RUN_US;
		spec.service = "bookings";
		replay_add_host(r, &spec);
		spec.service = nullptr;
		spec.memory = nullptr;
		replay_add_host(r, &spec);
		replay_run_until(r, STARTUP_US);
	}
	void
	TearDown() override
	{
		replay_destroy(r);
	}
	void
	run_for(uint64_t us)
	{
		replay_run_until(r, replay_now_us(r) + us);
	}
	std::vector<std::unique_ptr<Booking>>
	book(int n, uint64_t deadline_ms)
	{
		std::vector<std::unique_ptr<Booking>> list;
		struct replay_call c = {};
		int i;

		c.host = ENTRY;
		c.method = "POST";
		c.path = "/bookings";
		c.key = "key-brno";
		c.deadline_ms = deadline_ms;
		c.done = on_answer;
		for (i = 0; i < n; i++) {
			auto b = std::make_unique<Booking>();

			b->id = std::to_string(replay_instant(r).wall_ms) +
				"-a-" + std::to_string(replay_random(r));
			c.id = b->id.c_str();
			c.arg = b.get();
			b->token = replay_send_call(r, &c);
			run_for(1 * MSEC_US);
			list.push_back(std::move(b));
		}
		return list;
	}
	void
	kill_and_start_entry(uint64_t down_us)
	{
		run_for(10 * MSEC_US); /* the last call is on its way */
		replay_kill(r, ENTRY);
		run_for(down_us);
		replay_start(r, ENTRY);
		run_for(300 * MSEC_US);
	}
	/* What a caller may be told of its own call, and of no other one. */
	void
	expect_own_outcomes(const std::vector<std::unique_ptr<Booking>> &list)
	{
		for (const auto &b : list) {
			uint64_t runs =
			    replay_count_runs_of_id(r, b->id.c_str());

			EXPECT_LE(runs, 1u) << b->id;
			if (b->answered && b->succeeded) {
				EXPECT_EQ(b->body, "did " + b->id);
			} else if (b->answered &&
				   b->verdict == VERDICT_NOT_RUN) {
				EXPECT_EQ(runs, 0u) << b->id;
			}
		}
	}
	static int
	count_served(const std::vector<std::unique_ptr<Booking>> &list)
	{
		int n = 0;

		for (const auto &b : list)
			n += b->answered && b->succeeded;
		return n;
	}

	struct replay *r;
};

} // namespace

/*
 * Guards against answers of calls of an earlier process, which ended while a
 * target ran them, that reach the callers of new calls (review/1).
 */
TEST_F(Lives, AnswersToAnEarlierProcessReachNoNewCall)
{
	start(600);
	auto old_calls = book(OLD_CALLS, 20000);

	kill_and_start_entry(100 * MSEC_US);
	auto new_calls = book(NEW_CALLS, 20000);
	run_for(20 * SEC_US);
	expect_own_outcomes(new_calls);
	EXPECT_EQ(count_served(new_calls), NEW_CALLS);
	/* Only the counter shows them; some came while no process was there. */
	EXPECT_GT(node_counters(replay_node(r, ENTRY))
		      ->values[COUNT_REPLIES_TO_EARLIER_PROCESS],
	    (uint64_t)OLD_CALLS / 2);
}

/* Guards against the same after several short lives, one after the other. */
TEST_F(Lives, AnswersToSeveralEarlierProcessesReachNoNewCall)
{
	std::vector<std::vector<std::unique_ptr<Booking>>> lives;
	int i;

	start(600);
	for (i = 0; i < 4; i++) {
		lives.push_back(book(OLD_CALLS, 20000));
		kill_and_start_entry(50 * MSEC_US);
	}
	auto new_calls = book(NEW_CALLS, 20000);
	run_for(20 * SEC_US);
	expect_own_outcomes(new_calls);
	EXPECT_EQ(count_served(new_calls), NEW_CALLS);
}

/*
 * Guards against refusals of calls of an earlier process that tell the callers
 * of new calls "not run", while these run.  The old calls wait in the target's
 * queue when their process is killed, and expire there.
 */
TEST_F(Lives, RefusalsToAnEarlierProcessReachNoNewCall)
{
	start(20);
	auto old_calls = book(OLD_CALLS, 1500);

	kill_and_start_entry(50 * MSEC_US);
	auto new_calls = book(NEW_CALLS, 20000);
	run_for(20 * SEC_US);
	expect_own_outcomes(new_calls);
	EXPECT_GT(count_served(new_calls), 0);
}

/*
 * Guards against callers that leave whose cancelled calls are, at the target's
 * daemon, those of an earlier process: the calls that were left then stay in
 * the queue, and run.
 */
TEST_F(Lives, CallersThatLeaveCancelNoCallOfAnEarlierProcess)
{
	std::vector<uint64_t> runs_before;
	size_t i;

	start(20);
	auto old_calls = book(OLD_CALLS, 20000);

	kill_and_start_entry(50 * MSEC_US);
	/* They wait behind the old calls that wait for a slot. */
	auto new_calls = book(OLD_CALLS, 20000);

	for (const auto &b : new_calls) {
		runs_before.push_back(
		    replay_count_runs_of_id(r, b->id.c_str()));
		replay_abort_call(r, ENTRY, b->token);
	}
	run_for(20 * SEC_US);
	for (i = 0; i < new_calls.size(); i++)
		EXPECT_EQ(replay_count_runs_of_id(r, new_calls[i]->id.c_str()),
		    runs_before[i]);
	for (const auto &b : old_calls)
		EXPECT_EQ(replay_count_runs_of_id(r, b->id.c_str()), 1u);
}

/* Guards against the same after an orderly stop in place of a kill. */
TEST_F(Lives, AnswersToADrainedProcessReachNoNewCall)
{
	start(600);
	auto old_calls = book(OLD_CALLS, 20000);

	replay_drain(r, ENTRY);
	run_for(100 * MSEC_US);
	kill_and_start_entry(50 * MSEC_US);
	auto new_calls = book(NEW_CALLS, 20000);
	run_for(20 * SEC_US);
	expect_own_outcomes(new_calls);
	EXPECT_EQ(count_served(new_calls), NEW_CALLS);
}

/*
 * Calls whose requests have to give way are refused as not run, and do not run.
 */
TEST_F(Lives, JobsThatGiveWayAreRefusedAndDoNotRun)
{
	struct account *memory =
	    account_create(UINT64_MAX / 2, 0, nullptr, nullptr);
	const struct account_state *state = account_state(memory);
	int refused = 0, ran = 0;
	uint64_t runs;

	start(4, memory);
	auto calls = book(OLD_CALLS, 60000);

	run_for(10 * MSEC_US);
	EXPECT_GT(state->held_by[HOLDER_JOB], 30000u);
	account_set_limit(memory, state->held / 2, 0);
	account_make_room(memory, nullptr, replay_instant(r).mono_us);
	EXPECT_LE(state->held, state->limit);
	run_for(30 * SEC_US);
	for (const auto &b : calls) {
		runs = replay_count_runs_of_id(r, b->id.c_str());
		EXPECT_TRUE(b->answered);
		EXPECT_EQ(runs, b->succeeded ? 1u : 0u);
		EXPECT_TRUE(b->succeeded || b->verdict == VERDICT_NOT_RUN);
		refused += !b->succeeded;
		ran += b->succeeded;
	}
	/* Some were sent once more and ran then. */
	EXPECT_GT(state->gave_way[HOLDER_JOB], 10u);
	EXPECT_LE((uint64_t)refused, state->gave_way[HOLDER_JOB]);
	EXPECT_GT(refused, 0);
	EXPECT_GT(ran, 10);
	EXPECT_EQ(state->held_by[HOLDER_JOB], 0u);
	replay_destroy(r);
	r = replay_create(1);
	account_destroy(memory);
}
