#include <math.h>
#include <string.h>

#include "core/limit.h"

#define TOLERANCE 2.0 /* a call may take so much longer than its floor */
#define SMOOTHING 0.2 /* part of a new limit that comes from the window */
#define FLOOR_DRIFT 1.02 /* the floor rises so much a window, to forget */
#define CUT 0.9 /* what AIMD keeps when calls are slow */
#define FAILED_PART 0.1 /* failures in a window that count as overload */

void
limit_init(
    struct limit *l, const struct limiter *limiter, double start, double max)
{
	memset(l, 0, sizeof(*l));
	l->limiter = limiter;
	l->max = max < LIMIT_MIN ? LIMIT_MIN : max;
	l->value = start < LIMIT_MIN ? LIMIT_MIN : start;
	if (l->value > l->max)
		l->value = l->max;
}

unsigned int
limit_now(const struct limit *l)
{
	return (unsigned int)l->value;
}

static double
clamp(const struct limit *l, double v)
{
	if (v < LIMIT_MIN)
		return LIMIT_MIN;
	return v > l->max ? l->max : v;
}

void
limit_finished(struct limit *l, uint64_t took_us, unsigned int running, bool ok)
{
	l->sum_us += took_us;
	l->count++;
	if (!ok)
		l->failed++;
	if (running > l->peak)
		l->peak = running;
	if (l->count < LIMIT_WINDOW)
		return;
	l->window_us = (double)l->sum_us / l->count;
	if (l->floor_us == 0 || l->window_us < l->floor_us)
		l->floor_us = l->window_us;
	else
		l->floor_us *= FLOOR_DRIFT;
	l->value = clamp(l, l->limiter->adjust(l));
	l->sum_us = 0;
	l->count = 0;
	l->failed = 0;
	l->peak = 0;
}

static bool
window_failed(const struct limit *l)
{
	return l->failed > FAILED_PART * l->count;
}

/* A limit that was not reached says nothing about a higher one. */
static bool
limit_was_used(const struct limit *l)
{
	return l->peak * 2 >= (unsigned int)l->value;
}

static double
adjust_gradient(struct limit *l)
{
	double gradient = TOLERANCE * l->floor_us / l->window_us;
	double want;

	if (gradient > 1)
		gradient = 1;
	if (gradient < 0.5 || window_failed(l))
		gradient = 0.5;
	if (gradient >= 1 && !limit_was_used(l))
		return l->value;
	want = l->value * gradient + sqrt(l->value);
	return l->value * (1 - SMOOTHING) + want * SMOOTHING;
}

static double
adjust_aimd(struct limit *l)
{
	if (l->window_us > TOLERANCE * l->floor_us || window_failed(l))
		return l->value * CUT;
	return limit_was_used(l) ? l->value + 1 : l->value;
}

static double
adjust_slots(struct limit *l)
{
	if (window_failed(l))
		return l->value * CUT;
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
