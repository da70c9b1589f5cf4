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

#endif
