#include <stdlib.h>
#include <string.h>

#include "core/hash.h"
#include "core/shed.h"

#define LEVELS 128 /* levels within a class */
#define RAISE_LEVELS 16 /* the threshold's step up, each tick */
#define LOWER_LEVELS 4 /* the least step down */
#define LOWER_PART 6 /* or else so much of the way */
#define CALM_PART 4 /* calm is a delay below wait_us / CALM_PART */

/* The calls of one organisation that wait in one class. */
struct shed_flow {
	TAILQ_ENTRY(shed_flow) entry;
	struct shed_items items;
	char org[NAME_LEN];
	size_t count;
};

TAILQ_HEAD(flow_queue, shed_flow);

struct shed {
	const struct shedder *shedder;
	struct flow_queue classes[IMPORTANCE_COUNT];
	size_t max_items;
	size_t count;
	unsigned int position; /* threshold: class * LEVELS + level */
	uint64_t delay_us;
	uint64_t worst_us; /* longest wait since the last tick */
	bool refused; /* since the last tick */
};

const struct shedder shedder_recovery = {
    "recovery", true, true, true, true, 100 * MSEC_US, false, false};
const struct shedder shedder_goodput = {
    "goodput", true, true, false, true, 3 * SEC_US, false, false};
const struct shedder shedder_fifo = {
    "fifo", false, false, false, false, 0, false, false};
const struct shedder shedder_goal = {
    "goal", true, true, false, false, 0, true, true};

struct shed *
shed_create(const struct shedder *shedder, size_t max_items)
{
	struct shed *s = xcalloc(1, sizeof(*s));
	int i;

	for (i = 0; i < IMPORTANCE_COUNT; i++)
		TAILQ_INIT(&s->classes[i]);
	s->shedder = shedder;
	s->max_items = max_items;
	return s;
}

void
shed_destroy(struct shed *s)
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
shed_set_shedder(struct shed *s, const struct shedder *shedder)
{
	/* Queues are told apart by class or not at all: never both. */
	if (s->count == 0 || s->shedder->by_class == shedder->by_class)
		s->shedder = shedder;
}

static struct flow_queue *
queue_of(struct shed *s, enum importance importance)
{
	return &s->classes[s->shedder->by_class ? importance : IMPORTANCE_LOW];
}

static struct shed_flow *
flow_get(struct shed *s, struct flow_queue *q, const char *org)
{
	const char *name = s->shedder->by_org ? org : "";
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
shed_remove(struct shed *s, struct shed_item *it)
{
	struct shed_flow *f = it->flow;

	TAILQ_REMOVE(&f->items, it, entry);
	it->flow = NULL;
	f->count--;
	s->count--;
	if (f->count > 0)
		return;
	TAILQ_REMOVE(queue_of(s, it->importance), f, entry);
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
 * Who goes when the queue is full: the newest call of the organisation with
 * most waiting, in the lowest class that is not above the new call's.  In
 * the new call's own class the new one goes, unless another organisation
 * has more waiting.
 */
static struct shed_item *
find_victim(struct shed *s, const struct shed_item *it)
{
	struct shed_flow *f;
	int i;

	for (i = 0; i < (int)it->importance; i++) {
		f = longest_flow(&s->classes[i]);
		if (f != NULL)
			return TAILQ_LAST(&f->items, shed_items);
	}
	f = longest_flow(&s->classes[it->importance]);
	if (f != NULL && s->shedder->by_org && strcmp(f->org, it->org) != 0 &&
	    f->count > 1)
		return TAILQ_LAST(&f->items, shed_items);
	return NULL;
}

bool
shed_offer(struct shed *s, struct shed_item *it, struct instant now,
    struct shed_item **victim)
{
	struct shed_flow *f;

	*victim = NULL;
	if (s->count >= s->max_items) {
		s->refused = true;
		if (s->shedder->by_class)
			*victim = find_victim(s, it);
		if (*victim == NULL)
			return false;
		shed_remove(s, *victim);
	}
	f = flow_get(s, queue_of(s, it->importance), it->org);
	it->queued_us = now.mono_us;
	it->flow = f;
	TAILQ_INSERT_TAIL(&f->items, it, entry);
	f->count++;
	s->count++;
	return true;
}

static bool
is_late(const struct shed *s, const struct shed_item *it, struct instant now,
    uint64_t service_us)
{
	uint64_t waited = now.mono_us - it->queued_us;

	if (s->shedder->by_goal)
		return it->deadline_us <= now.mono_us + service_us / 2 ||
		       (it->patience_us != 0 && waited > it->patience_us);
	if (it->deadline_us <= now.mono_us + service_us && s->shedder->adaptive)
		return true;
	if (it->importance == IMPORTANCE_HIGH || s->shedder->wait_us == 0)
		return it->deadline_us <= now.mono_us;
	return waited > s->shedder->wait_us;
}

/* In overload the oldest calls are near their deadlines: newest first. */
static struct shed_item *
flow_next(struct shed *s, struct shed_flow *f)
{
	if (s->shedder->newest && s->delay_us > s->shedder->wait_us / 2)
		return TAILQ_LAST(&f->items, shed_items);
	return TAILQ_FIRST(&f->items);
}

static struct shed_item *
take_from(struct shed *s, struct flow_queue *q, struct instant now,
    uint64_t service_us, struct shed_items *expired)
{
	struct shed_item *it;
	struct shed_flow *f;

	while ((f = TAILQ_FIRST(q)) != NULL) {
		/* The flow's turn is over once it has given a call. */
		TAILQ_REMOVE(q, f, entry);
		TAILQ_INSERT_TAIL(q, f, entry);
		it = flow_next(s, f);
		shed_remove(s, it);
		if (!is_late(s, it, now, service_us))
			return it;
		TAILQ_INSERT_TAIL(expired, it, entry);
		s->refused = true;
	}
	return NULL;
}

static void
flow_expire(struct shed *s, struct shed_flow *f, struct instant now,
    uint64_t service_us, struct shed_items *expired)
{
	size_t left = f->count;
	struct shed_item *it, *next;

	/* The flow goes away with its last item. */
	for (it = TAILQ_FIRST(&f->items); left-- > 0; it = next) {
		next = TAILQ_NEXT(it, entry);
		if (!is_late(s, it, now, service_us))
			continue;
		shed_remove(s, it);
		TAILQ_INSERT_TAIL(expired, it, entry);
		s->refused = true;
	}
}

void
shed_expire(struct shed *s, struct instant now, uint64_t service_us,
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
shed_take(struct shed *s, struct instant now, uint64_t service_us,
    struct shed_items *expired)
{
	struct shed_item *it = NULL;
	int i;

	for (i = IMPORTANCE_COUNT - 1; i >= 0 && it == NULL; i--)
		it = take_from(s, &s->classes[i], now, service_us, expired);
	if (it != NULL) {
		s->delay_us = now.mono_us - it->queued_us;
		if (s->delay_us > s->worst_us)
			s->worst_us = s->delay_us;
	}
	return it;
}

size_t
shed_count(const struct shed *s)
{
	return s->count;
}

/* A high threshold comes down in large steps: recovery waits for it. */
static unsigned int
lowering(unsigned int position)
{
	unsigned int step = position / LOWER_PART;

	if (step < LOWER_LEVELS)
		step = LOWER_LEVELS;
	return step < position ? step : position;
}

/*
 * Raised while calls are refused or wait long, lowered more slowly when
 * they do not.  The most important class is never refused by threshold.
 */
void
shed_tick(struct shed *s)
{
	unsigned int top = IMPORTANCE_HIGH * LEVELS;

	if (!s->shedder->adaptive)
		return;
	if (s->refused || s->worst_us > s->shedder->wait_us)
		s->position += RAISE_LEVELS;
	else if (s->worst_us < s->shedder->wait_us / CALM_PART)
		s->position -= lowering(s->position);
	if (s->position > top)
		s->position = top;
	if (s->count == 0)
		s->delay_us = 0;
	s->worst_us = 0;
	s->refused = false;
}

struct threshold
shed_threshold(const struct shed *s)
{
	struct threshold t;

	t.importance = s->position / LEVELS;
	t.level = s->position % LEVELS;
	return t;
}

uint64_t
shed_delay_us(const struct shed *s)
{
	return s->delay_us;
}

uint8_t
shed_level(const char *org, uint64_t tree)
{
	return hash_rendezvous(hash_string(org), tree) % LEVELS;
}
