/*
 * excess - how far admitted calls exceeded a rate and burst, for tests
 */
#ifndef T_EXCESS_H
#define T_EXCESS_H

#include <algorithm>
#include <cstdint>
#include <vector>

extern "C" {
#include "core/types.h"
}

/*
 * The largest number of calls, over all windows of time, by which a window
 * exceeded burst + rate x its length.  Takes the times of the calls in
 * ascending order, the rate in calls a second and the burst in calls.
 */
static inline double
max_rate_excess(
    const std::vector<uint64_t> &times_us, double rate, double burst)
{
	double level = 0, max_excess = 0;
	uint64_t last_us = 0;

	for (uint64_t at_us : times_us) {
		level = std::max(
		    0.0, level - rate * static_cast<double>(at_us - last_us) /
				     SEC_US);
		level += 1;
		last_us = at_us;
		max_excess = std::max(max_excess, level - burst);
	}
	return max_excess;
}

/* When a call was sent, and when its target began to run it. */
struct timed_call {
	uint64_t sent_us, run_us;
};

/*
 * The same for calls that may wait on their way: a window counts those that
 * are both sent and run within it.
 */
static inline double
max_window_excess(std::vector<timed_call> calls, double rate, double burst)
{
	std::vector<uint64_t> runs_us;
	double max_excess = 0;

	std::sort(calls.begin(), calls.end(),
	    [](const timed_call &a, const timed_call &b) {
		    return a.sent_us > b.sent_us;
	    });
	for (const timed_call &c : calls) {
		double count = 0;

		runs_us.insert(
		    std::upper_bound(runs_us.begin(), runs_us.end(), c.run_us),
		    c.run_us);
		for (uint64_t run_us : runs_us) {
			count++;
			max_excess = std::max(max_excess,
			    count - burst -
				rate * static_cast<double>(run_us - c.sent_us) /
				    SEC_US);
		}
	}
	return max_excess;
}

#endif
