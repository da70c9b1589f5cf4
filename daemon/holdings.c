#include <inttypes.h>
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
/* Above and below these parts of the limit a line is logged. */
#define SHORT_PERCENT 90
#define FREE_PERCENT 70

struct holdings {
	struct daemon *daemon;
	struct event *relief; /* has the holders give way */
	bool is_short; /* as last logged */
	uint64_t gave_way_logged; /* holders, as last logged */
	uint64_t logged_s; /* monotonic second of that */
};

/* Bytes of memory that the process may take. */
static uint64_t
process_memory(const struct settings *s)
{
	long pages = sysconf(_SC_PHYS_PAGES), size = sysconf(_SC_PAGESIZE);

	if (s->memory_mb != 0)
		return s->memory_mb * BYTES_PER_MB;
	return pages > 0 && size > 0 ? (uint64_t)pages * (uint64_t)size
				     : UINT64_MAX / 100;
}

static uint64_t
percent(uint64_t n, unsigned int part)
{
	return n / 100 * part;
}

static void
on_relief(evutil_socket_t fd, short what, void *arg)
{
	struct holdings *h = arg;

	(void)fd;
	(void)what;
	account_make_room(h->daemon->memory, NULL, daemon_now().mono_us);
}

static void
on_over(void *arg)
{
	struct holdings *h = arg;

	event_active(h->relief, EV_TIMEOUT, 0);
}

struct holdings *
holdings_create(struct daemon *d)
{
	struct holdings *h = xcalloc(1, sizeof(*h));
	uint64_t limit = percent(process_memory(d->settings), HELD_PERCENT);

	h->daemon = d;
	h->relief = event_new(d->base, -1, 0, on_relief, h);
	event_priority_set(h->relief, LOOP_PRIORITY_FIRST);
	d->memory =
	    account_create(limit, percent(limit, RESERVED_PERCENT), on_over, h);
	log_line(LOG_NOTICE, "memory-limit", "held_bytes=%" PRIu64, limit);
	return h;
}

void
holdings_destroy(struct holdings *h)
{
	if (h == NULL)
		return;
	account_destroy(h->daemon->memory);
	event_free(h->relief);
	free(h);
}

void
holdings_reload(struct holdings *h)
{
	uint64_t limit =
	    percent(process_memory(h->daemon->settings), HELD_PERCENT);

	if (limit != account_state(h->daemon->memory)->limit)
		log_line(
		    LOG_NOTICE, "memory-limit", "held_bytes=%" PRIu64, limit);
	account_set_limit(
	    h->daemon->memory, limit, percent(limit, RESERVED_PERCENT));
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
log_shortness(struct holdings *h, const struct account_state *s)
{
	unsigned int bound = h->is_short ? FREE_PERCENT : SHORT_PERCENT;
	bool is_short = s->held > percent(s->limit, bound);
	char kinds[256];

	if (is_short == h->is_short)
		return;
	h->is_short = is_short;
	format_kinds(s->held_by, kinds, sizeof(kinds));
	log_line(is_short ? LOG_WARNING : LOG_NOTICE,
	    is_short ? "memory-short" : "memory-free",
	    "held=%" PRIu64 " limit=%" PRIu64 "%s", s->held, s->limit, kinds);
}

static void
log_gave_way(struct holdings *h, const struct account_state *s)
{
	uint64_t current_s = daemon_now().mono_us / SEC_US, sum = 0;
	char kinds[256];
	int i;

	for (i = 0; i < HOLDER_KIND_COUNT; i++)
		sum += s->gave_way[i];
	if (sum == h->gave_way_logged || current_s == h->logged_s)
		return;
	format_kinds(s->gave_way, kinds, sizeof(kinds));
	log_line(LOG_WARNING, "gave-way",
	    "resource=memory count=%" PRIu64 " last_held=%" PRIu64
	    " last_idle_ms=%" PRIu64 "%s",
	    sum - h->gave_way_logged, s->last_held, s->last_idle_us / MSEC_US,
	    kinds);
	h->gave_way_logged = sum;
	h->logged_s = current_s;
}

void
holdings_log(struct holdings *h)
{
	const struct account_state *s;

	if (h == NULL)
		return;
	s = account_state(h->daemon->memory);
	log_shortness(h, s);
	log_gave_way(h, s);
}
