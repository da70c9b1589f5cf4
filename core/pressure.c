#include "core/pressure.h"

/*
 * A tick is overloaded if a call was refused, or waited for more than this part
 * of the wait that it is allowed.
 */
#define OVERLOAD_WAIT_RATIO 0.5
/*
 * The fraction is not raised in an overloaded tick whose longest wait fell
 * below this part of the previous tick's: the last raise is taking effect.
 */
#define FALLING_WAIT_RATIO 0.9
/*
 * What an overloaded tick adds to the fraction: the first step, then each
 * time a step that is larger by the growth factor, up to the maximum.
 */
#define RAISE_STEP_FIRST 0.01
#define RAISE_STEP_GROWTH 1.5
#define RAISE_STEP_MAX 0.04
/* A calm tick takes this part off the fraction, but at least the minimum. */
#define LOWER_STEP_MIN 0.002
#define LOWER_STEP_RATIO 0.03
#define FRACTION_MAX 0.98 /* so that a few calls always probe the service */
#define COUNT_DECAY_FACTOR 0.97 /* what a tick leaves of the recent counts */

void
pressure_record_wait(
    struct pressure *p, uint64_t waited_us, uint64_t allowed_us)
{
	double ratio = (double)waited_us / (double)(allowed_us + 1);

	if (ratio > p->max_wait_ratio)
		p->max_wait_ratio = ratio;
}

void
pressure_record_refusal(struct pressure *p)
{
	p->refused_any = true;
}

static void
raise_fraction(struct pressure *p)
{
	if (p->raise_step < RAISE_STEP_FIRST)
		p->raise_step = RAISE_STEP_FIRST;
	p->fraction += p->raise_step;
	if (p->fraction > FRACTION_MAX)
		p->fraction = FRACTION_MAX;
	p->raise_step *= RAISE_STEP_GROWTH;
	if (p->raise_step > RAISE_STEP_MAX)
		p->raise_step = RAISE_STEP_MAX;
}

static void
lower_fraction(struct pressure *p)
{
	double step = p->fraction * LOWER_STEP_RATIO;

	p->raise_step = 0;
	p->fraction -= step > LOWER_STEP_MIN ? step : LOWER_STEP_MIN;
	if (p->fraction < 0)
		p->fraction = 0;
}

void
pressure_tick(struct pressure *p)
{
	if (p->max_wait_ratio <= OVERLOAD_WAIT_RATIO && !p->refused_any)
		lower_fraction(p);
	else if (p->max_wait_ratio >=
		 p->prev_max_wait_ratio * FALLING_WAIT_RATIO)
		raise_fraction(p);
	else
		p->raise_step = 0;
	p->prev_max_wait_ratio = p->max_wait_ratio;
	p->max_wait_ratio = 0;
	p->refused_any = false;
}

void
importance_mix_record(struct importance_mix *m, enum importance importance)
{
	m->recent[importance] += 1;
}

void
importance_mix_tick(struct importance_mix *m)
{
	int i;

	for (i = 0; i < IMPORTANCE_COUNT; i++)
		m->recent[i] *= COUNT_DECAY_FACTOR;
}

bool
importance_mix_refuses(const struct importance_mix *m, double fraction,
    enum importance importance, uint8_t level)
{
	double total = 0, below = 0, left;
	int i;

	if (fraction <= 0)
		return false;
	for (i = 0; i < IMPORTANCE_COUNT; i++) {
		total += m->recent[i];
		if (i < (int)importance)
			below += m->recent[i];
	}
	left = fraction * total - below;
	if (left <= 0 || m->recent[importance] <= 0)
		return false;
	return level < left / m->recent[importance] * IMPORTANCE_LEVELS;
}
