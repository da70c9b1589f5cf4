/*
 * overload - replays an overload trace under one policy and measures it
 *
 * A trace (t/traces/) names the services, the organisations with the rates
 * that they may use and offer, and changes at given times: an organisation
 * offers more, or a service becomes slow.  Its trigger is the interval of the
 * overload.  Callers retry calls that fail.
 *
 *	Outcome o = overload_replay("t/traces/rail-surge.trace",
 *	    Policy::adaptive, seed);
 */
#ifndef T_OVERLOAD_H
#define T_OVERLOAD_H

#include <string>
#include <vector>

extern "C" {
#include "t/replay.h"
}

/* Only adaptive applies rates; the others balance at random. */
enum class Policy {
	/* Daemons neither limit nor shed nor retry, and cancel nothing. */
	none,
	/* Fixed limits, retries at each hop; otherwise as none. */
	fixed,
	/* What daemons do by default. */
	adaptive
};

/*
 * What one replay measured.  Goodput (complete answers), capacity and load are
 * calls a second; ratios are from 0 to 1.  An answer is complete if it came
 * before the deadline of the call.
 */
struct Outcome {
	double goodput_before = 0; /* from 5 s into the replay to the trigger */
	double goodput_during = 0; /* from 1 s into the trigger to its end */
	double capacity = 0; /* of the service records during the trigger */
	/* Load during the trigger; for adaptive only calls inside a rate. */
	double offered = 0;
	/*
	 * Seconds from the end of the trigger until the goodput over one second
	 * is at least 95% of that before; -1: not by the end of the replay.
	 */
	double recovery_s = -1;
	/*
	 * The lowest ratio of complete answers that an organisation had for its
	 * calls inside its rate, without those that exceed their rate.
	 */
	double worst_org_ratio = 1;
	/* Of the same calls, those that were refused for the rate. */
	double wrongful_ratio = 0;
	double wasted_ratio = 0; /* runs without a complete answer */
	/* Complete answers by importance, to calls during the trigger. */
	double ratio_by_class[IMPORTANCE_COUNT] = {};
	unsigned long shed_high_calls = 0; /* bookings refused by shedding */
	/* The most tries of a call tree beyond its number of calls. */
	unsigned int max_extra_tries = 0;
};

/* Replay a trace; weighing replaces that of the trace, nullptr keeps it. */
Outcome overload_replay(const std::string &file, Policy, uint64_t seed,
    const char *weighing = nullptr);
/* The name of a policy for output. */
const char *policy_name(Policy);

#endif
