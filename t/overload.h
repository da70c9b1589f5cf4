/*
 * overload - plays an overload trace under one policy and measures it
 *
 * A trace names services, organisations with what they offer, and what goes
 * wrong when (t/traces/).  Three policies are at hand: off, the usual one of
 * today, and ours.
 */
#ifndef T_OVERLOAD_H
#define T_OVERLOAD_H

#include <string>
#include <vector>

extern "C" {
#include "t/replay.h"
}

enum class Policy {
	off,
	usual,
	ours
};

/* What one run gave; rates are calls a second, parts are from 0 to 1. */
struct Outcome {
	double before = 0; /* whole answers before the trigger */
	double during = 0; /* and during it */
	double capacity = 0; /* what the bottleneck can do meanwhile */
	double offered = 0; /* what was offered meanwhile */
	double recovery_s = -1; /* -1: not within the trace */
	double worst_part = 1; /* whole part of the worst-served inside rate */
	double wrongful_part = 0; /* refused for its rate while inside it */
	double wasted_part = 0; /* runs that gave no whole answer */
	double by_class[IMPORTANCE_COUNT] = {}; /* whole part, in the trigger */
	unsigned long shed_high = 0; /* bookings refused by shedding */
	unsigned int most_tries_over = 0; /* tries over calls, worst tree */
};

struct Trace;

Outcome overload_play(const std::string &file, Policy, uint64_t seed,
    const char *weighing = nullptr);
const char *policy_name(Policy);

#endif
