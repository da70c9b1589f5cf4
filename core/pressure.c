#include "core/pressure.h"

#define STRAINED 0.5 /* of the time that a call may wait */
#define FALLING 0.9 /* of the last tick's wait: what was done takes effect */
#define RAISE_FIRST 0.01 /* share, for a first strained tick */
#define RAISE_GROWTH 1.5 /* each strained tick after it raises so much more */
#define RAISE_MOST 0.04
#define LOWER_LEAST 0.002 /* share, for a calm tick */
#define LOWER_PART 0.03 /* or so much of what there is */
#define SHARE_MOST 0.98 /* a few calls always try */
#define FADE 0.97 /* of the mix that is left after a tick */

void
pressure_note(struct pressure *p, uint64_t waited_us, uint64_t allowed_us)
{
	double part = (double)waited_us / (double)(allowed_us + 1);

	if (part > p->worst)
		p->worst = part;
}

void
pressure_refused(struct pressure *p)
{
	p->refused = true;
}

static void
raise_share(struct pressure *p)
{
	if (p->step < RAISE_FIRST)
		p->step = RAISE_FIRST;
	p->share += p->step;
	if (p->share > SHARE_MOST)
		p->share = SHARE_MOST;
	p->step *= RAISE_GROWTH;
	if (p->step > RAISE_MOST)
		p->step = RAISE_MOST;
}

static void
lower_share(struct pressure *p)
{
	double by = p->share * LOWER_PART;

	p->step = 0;
	p->share -= by > LOWER_LEAST ? by : LOWER_LEAST;
	if (p->share < 0)
		p->share = 0;
}

void
pressure_tick(struct pressure *p)
{
	if (p->worst <= STRAINED && !p->refused)
		lower_share(p);
	else if (p->worst >= p->last_worst * FALLING)
		raise_share(p);
	else
		p->step = 0;
	p->last_worst = p->worst;
	p->worst = 0;
	p->refused = false;
}

void
class_mix_note(struct class_mix *m, enum importance importance)
{
	m->seen[importance] += 1;
}

void
class_mix_tick(struct class_mix *m)
{
	int i;

	for (i = 0; i < IMPORTANCE_COUNT; i++)
		m->seen[i] *= FADE;
}

bool
class_mix_refuses(const struct class_mix *m, double share,
    enum importance importance, uint8_t level)
{
	double total = 0, below = 0, left;
	int i;

	if (share <= 0)
		return false;
	for (i = 0; i < IMPORTANCE_COUNT; i++) {
		total += m->seen[i];
		if (i < (int)importance)
			below += m->seen[i];
	}
	left = share * total - below;
	if (left <= 0 || m->seen[importance] <= 0)
		return false;
	return level < left / m->seen[importance] * PRESSURE_LEVELS;
}
