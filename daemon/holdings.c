#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "core/account.h"
#include "daemon/holdings.h"
#include "daemon/log.h"

/*
 * Part of the process's memory that may be held for others.  The rest is for
 * the code, the configuration, the members and what the allocator wastes.
 */
#define HELD_PERCENT 45
/* Part of that which is reserved for links, the platform and the operators. */
#define RESERVED_PERCENT 5
#define BYTES_PER_MB 1000000
/* Assumed if the system does not tell. */
#define UNKNOWN_MEMORY_BYTES (UINT64_C(1) << 30)
/*
 * Descriptors that are no connections, such as the event loop's and the ports:
 * one in this many, and at least so many.
 */
#define OTHER_FILES_DIVISOR 16
#define MIN_OTHER_FILES 16
/* Part of the others that is reserved for links, target and platform. */
#define RESERVED_DESCRIPTORS_PERCENT 25
/* Above and below these parts of the limit a line is logged. */
#define SHORT_PERCENT 90
#define FREE_PERCENT 70

/* One account and what was logged of it. */
struct resource {
	struct holdings *holdings;
	const char *name; /* in the log */
	struct account *account;
	struct event *relief; /* has the holders give way */
	bool is_short; /* as last logged */
	uint64_t gave_way_logged; /* holders, as last logged */
	uint64_t logged_s; /* monotonic second of that */
};

struct holdings {
	struct daemon *daemon;
	struct resource memory;
	struct resource descriptors;
	struct event *trim; /* gives freed memory back to the system */
};

/* Bytes of memory that the process may take. */
static uint64_t
process_memory(const struct settings *s)
{
	long pages = sysconf(_SC_PHYS_PAGES), size = sysconf(_SC_PAGESIZE);

	if (s->memory_mb != 0)
		return s->memory_mb * BYTES_PER_MB;
	return pages > 0 && size > 0 ? (uint64_t)pages * (uint64_t)size
				     : UNKNOWN_MEMORY_BYTES;
}

static uint64_t
percent(uint64_t n, unsigned int part)
{
	return n * part / 100;
}

static void
on_relief(evutil_socket_t fd, short what, void *arg)
{
	struct resource *r = arg;
	const struct daemon *d = r->holdings->daemon;

	(void)fd;
	(void)what;
	account_make_room(r->account, NULL, daemon_now().mono_us);
	/*
	 * Calls of callers that gave way have their bodies until the tasks that
	 * handle them have been told.
	 */
	task_hurry(d->decide);
	task_hurry(d->link);
	task_hurry(d->target);
}

static void
on_over(void *arg)
{
	struct resource *r = arg;

	event_active(r->relief, EV_TIMEOUT, 0);
}

/*
 * The C library keeps what was freed between allocations that are in use, and
 * does not use it for large ones.  Without this the process could take twice
 * what it holds.
 */
static void
on_trim(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	(void)arg;
	malloc_trim(0);
}

static void
on_memory_fell(void *arg)
{
	struct resource *r = arg;

	event_active(r->holdings->trim, EV_TIMEOUT, 0);
}

static const struct account_ops memory_ops = {on_over, on_memory_fell};
static const struct account_ops descriptor_ops = {on_over, NULL};

static void
set_limit(struct resource *r, uint64_t limit, unsigned int reserved_percent)
{
	if (limit != account_state(r->account)->limit)
		log_line(LOG_NOTICE, "limit", "resource=%s limit=%" PRIu64,
		    r->name, limit);
	account_set_limit(r->account, limit, percent(limit, reserved_percent));
}

static struct event *
first_event_create(struct event_base *base, event_callback_fn fn, void *arg)
{
	struct event *ev = event_new(base, -1, 0, fn, arg);

	event_priority_set(ev, LOOP_PRIORITY_FIRST);
	return ev;
}

static void
resource_init(struct resource *r, struct holdings *h, const char *name,
    const struct account_ops *ops)
{
	r->holdings = h;
	r->name = name;
	r->account = account_create(UINT64_MAX, 0, ops, r);
	r->relief = first_event_create(h->daemon->base, on_relief, r);
}

static void
resource_release(struct resource *r)
{
	account_destroy(r->account);
	event_free(r->relief);
}

struct holdings *
holdings_create(struct daemon *d)
{
	struct holdings *h = xcalloc(1, sizeof(*h));

	h->daemon = d;
	h->trim = first_event_create(d->base, on_trim, h);
	resource_init(&h->memory, h, "memory", &memory_ops);
	resource_init(&h->descriptors, h, "descriptors", &descriptor_ops);
	d->memory = h->memory.account;
	d->descriptors = h->descriptors.account;
	holdings_reload(h);
	return h;
}

void
holdings_destroy(struct holdings *h)
{
	if (h == NULL)
		return;
	resource_release(&h->memory);
	resource_release(&h->descriptors);
	event_free(h->trim);
	free(h);
}

void
holdings_reload(struct holdings *h)
{
	uint64_t files = h->daemon->max_descriptors;
	uint64_t kept_free = files / OTHER_FILES_DIVISOR;

	if (kept_free < MIN_OTHER_FILES)
		kept_free = MIN_OTHER_FILES;
	set_limit(&h->memory,
	    percent(process_memory(h->daemon->settings), HELD_PERCENT),
	    RESERVED_PERCENT);
	set_limit(&h->descriptors, files > kept_free ? files - kept_free : 1,
	    RESERVED_DESCRIPTORS_PERCENT);
}

/* Write "caller=1 job=2", what the account's kinds hold or gave way. */
static void
format_kinds(const uint64_t *kinds, char *buf, size_t len)
{
	size_t used = 0;
	int i;

	buf[0] = '\0';
	for (i = 0; i < HOLDER_KIND_COUNT && used < len; i++) {
		if (kinds[i] != 0)
			used += (size_t)snprintf(buf + used, len - used,
			    " %s=%" PRIu64, holder_kind_name(i), kinds[i]);
	}
}

static void
log_shortness(struct resource *r, const struct account_state *s)
{
	unsigned int bound = r->is_short ? FREE_PERCENT : SHORT_PERCENT;
	bool is_short = s->held > percent(s->limit, bound);
	char kinds[256];

	if (is_short == r->is_short)
		return;
	r->is_short = is_short;
	format_kinds(s->held_by, kinds, sizeof(kinds));
	log_line(is_short ? LOG_WARNING : LOG_NOTICE,
	    is_short ? "resource-short" : "resource-free",
	    "resource=%s held=%" PRIu64 " limit=%" PRIu64 "%s", r->name,
	    s->held, s->limit, kinds);
}

static void
log_gave_way(struct resource *r, const struct account_state *s)
{
	uint64_t current_s = daemon_now().mono_us / SEC_US, sum = 0;
	char kinds[256];
	int i;

	for (i = 0; i < HOLDER_KIND_COUNT; i++)
		sum += s->gave_way[i];
	if (sum == r->gave_way_logged || current_s == r->logged_s)
		return;
	format_kinds(s->gave_way, kinds, sizeof(kinds));
	log_line(LOG_WARNING, "gave-way",
	    "resource=%s count=%" PRIu64 " last_held=%" PRIu64
	    " last_idle_ms=%" PRIu64 "%s",
	    r->name, sum - r->gave_way_logged, s->last_held,
	    s->last_idle_us / MSEC_US, kinds);
	r->gave_way_logged = sum;
	r->logged_s = current_s;
}

static void
log_resource(struct resource *r)
{
	const struct account_state *s = account_state(r->account);

	log_shortness(r, s);
	log_gave_way(r, s);
}

void
holdings_log(struct holdings *h)
{
	if (h == NULL)
		return;
	log_resource(&h->memory);
	log_resource(&h->descriptors);
}
