#include <stdlib.h>
#include <string.h>

#include "core/hash.h"
#include "core/shed.h"

/*
 * The threshold is a position: class * IMPORTANCE_LEVELS + level.  A tick in
 * overload raises it by a fixed step.  A calm tick lowers it by a fraction
 * of the position, but at least by the minimum step.  A tick is calm if no
 * call waited longer than max_wait_us / CALM_WAIT_DIVISOR.
 */
#define THRESHOLD_RAISE_LEVELS 16
#define THRESHOLD_LOWER_MIN_LEVELS 4
#define THRESHOLD_LOWER_DIVISOR 6
#define CALM_WAIT_DIVISOR 4

/* The calls of one organisation that wait in one importance class. */
struct shed_flow {
	TAILQ_ENTRY(shed_flow) entry;
	struct shed_items items;
	char org[NAME_LEN];
	size_t count;
};

TAILQ_HEAD(flow_queue, shed_flow);

struct shed_queue {
	const struct shedder *shedder;
	struct flow_queue classes[IMPORTANCE_COUNT];
	size_t max_items;
	size_t count;
	unsigned int threshold; /* position, see above */
	uint64_t delay_us; /* wait of the call that was started last */
	uint64_t max_delay_us; /* longest wait since the last tick */
	bool refused_any; /* a call was refused since the last tick */
};

const struct shedder shedder_recovery = {
    .name = "recovery",
    .by_importance = true,
    .fair_by_org = true,
    .lifo_in_overload = true,
    .adaptive_threshold = true,
    .max_wait_us = 100 * MSEC_US,
};
const struct shedder shedder_goodput = {
    .name = "goodput",
    .by_importance = true,
    .fair_by_org = true,
    .adaptive_threshold = true,
    .max_wait_us = 3 * SEC_US,
};
const struct shedder shedder_fifo = {
    .name = "fifo",
};
const struct shedder shedder_goal = {
    .name = "goal",
    .by_importance = true,
    .fair_by_org = true,
    .wait_by_goal = true,
    .uses_pressure = true,
    .uses_windows = true,
};

struct shed_queue *
shed_create(const struct shedder *shedder, size_t max_items)
{
	struct shed_queue *s = xcalloc(1, sizeof(*s));
	int i;

	for (i = 0; i < IMPORTANCE_COUNT; i++)
		TAILQ_INIT(&s->classes[i]);
	s->shedder = shedder;
	s->max_items = max_items;
	return s;
}

void
shed_destroy(struct shed_queue *s)
{
	struct shed_flow *f;
	int i;

	for (i = 0; i < IMPORTANCE_COUNT; i++) {
		while ((f = TAILQ_FIRST(&s->classes[i])) != NULL) {
			TAILQ_REMOVE(&s->classes[i], f, entry);
			free(f);
		}
	}
	free(s);
}

void
shed_set_policy(struct shed_queue *s, const struct shedder *shedder)
{
	/*
	 * Without by_importance all calls wait in the lowest class.  A call
	 * that was queued under one rule would not be found under the other.
	 */
	if (s->count == 0 ||
	    s->shedder->by_importance == shedder->by_importance)
		s->shedder = shedder;
}

static struct flow_queue *
class_queue(struct shed_queue *s, enum importance importance)
{
	return &s->classes[s->shedder->by_importance ? importance
						     : IMPORTANCE_LOW];
}

static struct shed_flow *
flow_get(struct shed_queue *s, struct flow_queue *q, const char *org)
{
	const char *name = s->shedder->fair_by_org ? org : "";
	struct shed_flow *f;

	TAILQ_FOREACH (f, q, entry) {
		if (strcmp(f->org, name) == 0)
			return f;
	}
	f = xcalloc(1, sizeof(*f));
	TAILQ_INIT(&f->items);
	name_copy(f->org, name, sizeof(f->org));
	TAILQ_INSERT_TAIL(q, f, entry);
	return f;
}

void
shed_remove(struct shed_queue *s, struct shed_item *it)
{
	struct shed_flow *f = it->flow;

	TAILQ_REMOVE(&f->items, it, entry);
	it->flow = NULL;
	f->count--;
	s->count--;
	if (f->count > 0)
		return;
	TAILQ_REMOVE(class_queue(s, it->importance), f, entry);
	free(f);
}

static struct shed_flow *
longest_flow(struct flow_queue *q)
{
	struct shed_flow *f, *best = NULL;

	TAILQ_FOREACH (f, q, entry) {
		if (best == NULL || f->count > best->count)
			best = f;
	}
	return best;
}

/*
 * Choose the call to refuse when the queue is full: the newest call of the
 * organisation with the most calls, in the lowest class below the new call's
 * that has any.  Within its own class the new call itself is refused (NULL),
 * unless another organisation has the longest queue, of two calls or more.
 */
static struct shed_item *
find_victim(struct shed_queue *s, const struct shed_item *it)
{
	struct shed_flow *f;
	int i;

	for (i = 0; i < (int)it->importance; i++) {
		f = longest_flow(&s->classes[i]);
		if (f != NULL)
			return TAILQ_LAST(&f->items, shed_items);
	}
	f = longest_flow(&s->classes[it->importance]);
	if (f != NULL && s->shedder->fair_by_org &&
	    strcmp(f->org, it->org) != 0 && f->count > 1)
		return TAILQ_LAST(&f->items, shed_items);
	return NULL;
}

bool
shed_enqueue(struct shed_queue *s, struct shed_item *it, struct instant now,
    struct shed_item **victim)
{
	struct shed_flow *f;

	*victim = NULL;
	if (s->count >= s->max_items) {
		s->refused_any = true;
		if (s->shedder->by_importance)
			*victim = find_victim(s, it);
		if (*victim == NULL)
			return false;
		shed_remove(s, *victim);
	}
	f = flow_get(s, class_queue(s, it->importance), it->org);
	it->queued_us = now.mono_us;
	it->flow = f;
	TAILQ_INSERT_TAIL(&f->items, it, entry);
	f->count++;
	s->count++;
	return true;
}

static bool
is_expired(const struct shed_queue *s, const struct shed_item *it,
    struct instant now, uint64_t service_us)
{
	uint64_t waited_us = now.mono_us - it->queued_us;

	if (s->shedder->wait_by_goal)
		return it->deadline_us <= now.mono_us + service_us / 2 ||
		       (it->max_wait_us != 0 && waited_us > it->max_wait_us);
	if (it->deadline_us <= now.mono_us + service_us &&
	    s->shedder->adaptive_threshold)
		return true;
	if (it->importance == IMPORTANCE_HIGH || s->shedder->max_wait_us == 0)
		return it->deadline_us <= now.mono_us;
	return waited_us > s->shedder->max_wait_us;
}

/*
 * In overload the oldest calls are the least likely to meet their deadlines,
 * so the newest go first.
 */
static struct shed_item *
flow_next(struct shed_queue *s, struct shed_flow *f)
{
	if (s->shedder->lifo_in_overload &&
	    s->delay_us > s->shedder->max_wait_us / 2)
		return TAILQ_LAST(&f->items, shed_items);
	return TAILQ_FIRST(&f->items);
}

static struct shed_item *
class_dequeue(struct shed_queue *s, struct flow_queue *q, struct instant now,
    uint64_t service_us, struct shed_items *expired)
{
	struct shed_item *it;
	struct shed_flow *f;

	while ((f = TAILQ_FIRST(q)) != NULL) {
		/* Round robin: a flow gives one call a turn. */
		TAILQ_REMOVE(q, f, entry);
		TAILQ_INSERT_TAIL(q, f, entry);
		it = flow_next(s, f);
		shed_remove(s, it);
		if (!is_expired(s, it, now, service_us))
			return it;
		TAILQ_INSERT_TAIL(expired, it, entry);
		s->refused_any = true;
	}
	return NULL;
}

static void
flow_expire(struct shed_queue *s, struct shed_flow *f, struct instant now,
    uint64_t service_us, struct shed_items *expired)
{
	size_t left = f->count;
	struct shed_item *it, *next;

	/* The flow is freed with its last item: do not touch it after. */
	for (it = TAILQ_FIRST(&f->items); left-- > 0; it = next) {
		next = TAILQ_NEXT(it, entry);
		if (!is_expired(s, it, now, service_us))
			continue;
		shed_remove(s, it);
		TAILQ_INSERT_TAIL(expired, it, entry);
		s->refused_any = true;
	}
}

void
shed_expire(struct shed_queue *s, struct instant now, uint64_t service_us,
    struct shed_items *expired)
{
	struct shed_flow *f, *next;
	int i;

	if (s->count == 0)
		return;
	for (i = 0; i < IMPORTANCE_COUNT; i++) {
		TAILQ_FOREACH_SAFE (f, &s->classes[i], entry, next)
			flow_expire(s, f, now, service_us, expired);
	}
}

struct shed_item *
shed_dequeue(struct shed_queue *s, unsigned int blocked, struct instant now,
    uint64_t service_us, struct shed_items *expired)
{
	struct shed_item *it = NULL;
	int i;

	for (i = IMPORTANCE_COUNT - 1; i >= 0 && it == NULL; i--) {
		if ((blocked & 1u << i) != 0)
			continue;
		it = class_dequeue(s, &s->classes[i], now, service_us, expired);
	}
	if (it != NULL) {
		s->delay_us = now.mono_us - it->queued_us;
		if (s->delay_us > s->max_delay_us)
			s->max_delay_us = s->delay_us;
	}
	return it;
}

size_t
shed_count(const struct shed_queue *s)
{
	return s->count;
}

/*
 * The step by which a calm tick lowers the threshold.  It grows with the
 * threshold, because recovery is not complete until the threshold is down.
 */
static unsigned int
threshold_lower_step(unsigned int threshold)
{
	unsigned int step = threshold / THRESHOLD_LOWER_DIVISOR;

	if (step < THRESHOLD_LOWER_MIN_LEVELS)
		step = THRESHOLD_LOWER_MIN_LEVELS;
	return step < threshold ? step : threshold;
}

/*
 * The threshold rises while calls are refused or wait too long and falls
 * while waits are short.  It stops rising at the beginning of
 * IMPORTANCE_HIGH, so calls of that class and above are never refused by it.
 */
void
shed_tick(struct shed_queue *s)
{
	unsigned int top = IMPORTANCE_HIGH * IMPORTANCE_LEVELS;

	if (!s->shedder->adaptive_threshold)
		return;
	if (s->refused_any || s->max_delay_us > s->shedder->max_wait_us)
		s->threshold += THRESHOLD_RAISE_LEVELS;
	else if (s->max_delay_us < s->shedder->max_wait_us / CALM_WAIT_DIVISOR)
		s->threshold -= threshold_lower_step(s->threshold);
	if (s->threshold > top)
		s->threshold = top;
	if (s->count == 0)
		s->delay_us = 0;
	s->max_delay_us = 0;
	s->refused_any = false;
}

struct threshold
shed_threshold(const struct shed_queue *s)
{
	struct threshold t;

	t.importance = s->threshold / IMPORTANCE_LEVELS;
	t.level = s->threshold % IMPORTANCE_LEVELS;
	return t;
}

uint64_t
shed_delay_us(const struct shed_queue *s)
{
	return s->delay_us;
}

uint8_t
shed_level(const char *org, uint64_t tree_id)
{
	return hash_rendezvous(hash_string(org), tree_id) % IMPORTANCE_LEVELS;
}
