#include <string.h>

#include "core/window.h"

#define LIMIT_MIN 2.0
/*
 * A window above this multiple of the trees that ran lately, and some more, is
 * not tested: a tick takes a part off it.
 */
#define UNUSED_SHRINK_FACTOR 0.97
#define LIMIT_HEADROOM_FACTOR 2.0
#define LIMIT_HEADROOM 4.0
/* A nested call that took longer than this counts as this. */
#define MAX_RATIO 2.0
/* A tick multiplies or divides the limit by up to this. */
#define SHRINK_FACTOR 0.88
#define GROW_FACTOR 1.05
/* Far below the ratio at which it would shrink, a window grows faster. */
#define FAST_GROW_FACTOR 1.2
#define FAST_GROW_RATIO 0.6
#define MEAN_SMOOTHING_FACTOR 0.1 /* weight of the last tick */

/* Of the least important trees, and more for each rank above. */
#define SHRINK_RATIO_LOWEST 0.6
#define SHRINK_RATIO_PER_ROUTE_RANK 0.15
#define SHRINK_RATIO_PER_ORG_RANK 0.05
/* A window grows while the ratio is below this part of its shrink_ratio(). */
#define GROW_RATIO 0.85
#define COUNT_DECAY_FACTOR 0.97 /* what a tick leaves of the recent counts */
/* With fewer recent nested calls there is nothing to follow. */
#define RECENT_NESTED_MIN 0.5

/*
 * A window shrinks while nested calls take more than this part of their goals
 * on average.  The importance of the route counts most, since the trees of one
 * target differ little in it, but compete with those of other targets.
 */
static double
shrink_ratio(int importance)
{
	int route = importance % 3, org = importance / 3;

	return SHRINK_RATIO_LOWEST + SHRINK_RATIO_PER_ROUTE_RANK * route +
	       SHRINK_RATIO_PER_ORG_RANK * org;
}

void
windows_init(struct windows *w, double slots)
{
	int i;

	memset(w, 0, sizeof(*w));
	w->max = slots > LIMIT_MIN ? slots : LIMIT_MIN;
	for (i = 0; i < IMPORTANCE_NESTED; i++)
		w->of[i].limit = w->max;
}

bool
windows_may_start(struct windows *w, enum importance importance)
{
	struct window *t = &w->of[importance];

	if (t->running < (unsigned int)t->limit)
		return true;
	t->was_full = true;
	return false;
}

void
windows_start(struct windows *w, enum importance importance)
{
	w->of[importance].running++;
}

void
windows_end(struct windows *w, enum importance importance)
{
	struct window *t = &w->of[importance];

	if (t->running > 0)
		t->running--;
}

void
windows_record_nested(struct windows *w, uint64_t took_us, uint64_t goal_us)
{
	double ratio;

	if (goal_us == 0)
		return;
	ratio = (double)took_us / (double)goal_us;
	w->ratio_sum += ratio < MAX_RATIO ? ratio : MAX_RATIO;
	w->nested++;
}

static void
adapt(struct window *t, double ratio, double shrink_above, double max)
{
	double most = LIMIT_HEADROOM_FACTOR * t->mean_running + LIMIT_HEADROOM;

	if (ratio > shrink_above)
		t->limit *= SHRINK_FACTOR;
	else if (ratio < FAST_GROW_RATIO * shrink_above && t->was_full)
		t->limit *= FAST_GROW_FACTOR;
	else if (ratio < GROW_RATIO * shrink_above && t->was_full)
		t->limit *= GROW_FACTOR;
	else if (t->limit > most)
		t->limit *= UNUSED_SHRINK_FACTOR;
	if (t->limit > max)
		t->limit = max;
	if (t->limit < LIMIT_MIN)
		t->limit = LIMIT_MIN;
}

void
windows_tick(struct windows *w)
{
	double ratio = w->nested > 0 ? w->ratio_sum / w->nested : 0;
	struct window *t;
	int i;

	w->recent_nested = w->recent_nested * COUNT_DECAY_FACTOR + w->nested;
	for (i = 0; i < IMPORTANCE_NESTED; i++) {
		t = &w->of[i];
		t->mean_running +=
		    MEAN_SMOOTHING_FACTOR * (t->running - t->mean_running);
		if (w->recent_nested < RECENT_NESTED_MIN)
			t->limit = w->max;
		else if (w->nested > 0)
			adapt(t, ratio, shrink_ratio(i), w->max);
		t->was_full = false;
	}
	w->ratio_sum = 0;
	w->nested = 0;
}
