#include <math.h>
#include <string.h>

#include "core/limit.h"

/* A window is slow if its mean is above this multiple of the lowest mean. */
#define SLOW_RATIO 2.0
#define SMOOTHING_FACTOR 0.2 /* weight of a new limit in the gradient */
/* Growth of the lowest mean in each window, so that old minima expire. */
#define MIN_MEAN_GROWTH 1.02
#define DECREASE_FACTOR 0.9 /* multiplicative decrease in overload */
#define MIN_GRADIENT 0.5 /* the gradient scales the limit by no less */
#define FAILED_RATIO 0.1 /* more failures in a window are an overload */

void
limit_init(
    struct limit *l, const struct limiter *limiter, double start, double max)
{
	memset(l, 0, sizeof(*l));
	l->limiter = limiter;
	l->max = max < LIMIT_MIN_CALLS ? LIMIT_MIN_CALLS : max;
	l->value = start < LIMIT_MIN_CALLS ? LIMIT_MIN_CALLS : start;
	if (l->value > l->max)
		l->value = l->max;
}

unsigned int
limit_current(const struct limit *l)
{
	return (unsigned int)l->value;
}

static double
clamp(const struct limit *l, double v)
{
	if (v < LIMIT_MIN_CALLS)
		return LIMIT_MIN_CALLS;
	return v > l->max ? l->max : v;
}

void
limit_record_call(
    struct limit *l, uint64_t took_us, unsigned int running, bool ok)
{
	l->window_sum_us += took_us;
	l->window_calls++;
	if (!ok)
		l->window_failed++;
	if (running > l->window_peak)
		l->window_peak = running;
	if (l->window_calls < LIMIT_WINDOW_CALLS)
		return;
	l->window_mean_us = (double)l->window_sum_us / l->window_calls;
	if (l->min_mean_us == 0 || l->window_mean_us < l->min_mean_us)
		l->min_mean_us = l->window_mean_us;
	else
		l->min_mean_us *= MIN_MEAN_GROWTH;
	l->value = clamp(l, l->limiter->adjust(l));
	l->window_sum_us = 0;
	l->window_calls = 0;
	l->window_failed = 0;
	l->window_peak = 0;
}

static bool
too_many_failed(const struct limit *l)
{
	return l->window_failed > FAILED_RATIO * l->window_calls;
}

/*
 * Whether at least half of the limit was in use in the window.  If not, its
 * times say nothing about a higher limit.
 */
static bool
limit_was_used(const struct limit *l)
{
	return l->window_peak * 2 >= (unsigned int)l->value;
}

static double
adjust_gradient(struct limit *l)
{
	double gradient = SLOW_RATIO * l->min_mean_us / l->window_mean_us;
	double adjusted;

	if (gradient > 1)
		gradient = 1;
	if (gradient < MIN_GRADIENT || too_many_failed(l))
		gradient = MIN_GRADIENT;
	if (gradient >= 1 && !limit_was_used(l))
		return l->value;
	adjusted = l->value * gradient + sqrt(l->value);
	return l->value * (1 - SMOOTHING_FACTOR) + adjusted * SMOOTHING_FACTOR;
}

static double
adjust_aimd(struct limit *l)
{
	if (l->window_mean_us > SLOW_RATIO * l->min_mean_us ||
	    too_many_failed(l))
		return l->value * DECREASE_FACTOR;
	return limit_was_used(l) ? l->value + 1 : l->value;
}

static double
adjust_slots(struct limit *l)
{
	if (too_many_failed(l))
		return l->value * DECREASE_FACTOR;
	return l->value + sqrt(l->value);
}

static double
adjust_fixed(struct limit *l)
{
	return l->value;
}

const struct limiter limiter_gradient = {"gradient", adjust_gradient};
const struct limiter limiter_aimd = {"aimd", adjust_aimd};
const struct limiter limiter_slots = {"slots", adjust_slots};
const struct limiter limiter_fixed = {"fixed", adjust_fixed};
