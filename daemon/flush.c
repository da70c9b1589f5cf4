#include <stdlib.h>

#include "daemon/flush.h"

#define CHECK_INTERVAL_US (20 * MSEC_US)

struct flush_watch {
	struct daemon *daemon;
	bool (*is_flushed)(const void *owner);
	const void *owner;
	struct event *timer;
	uint64_t seq; /* of the MSG_FLUSH */
};

static void
check(struct flush_watch *w)
{
	struct timeval tv = {0, CHECK_INTERVAL_US};
	struct msg *m;

	if (!w->is_flushed(w->owner)) {
		evtimer_add(w->timer, &tv);
		return;
	}
	m = msg_create(MSG_FLUSHED);
	m->seq = w->seq;
	task_send(w->daemon->decide, m);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	check(arg);
}

struct flush_watch *
flush_watch_create(
    struct daemon *d, bool (*is_flushed)(const void *owner), const void *owner)
{
	struct flush_watch *w = xcalloc(1, sizeof(*w));

	w->daemon = d;
	w->is_flushed = is_flushed;
	w->owner = owner;
	w->timer = evtimer_new(d->base, on_timer, w);
	return w;
}

void
flush_watch_destroy(struct flush_watch *w)
{
	if (w == NULL)
		return;
	event_free(w->timer);
	free(w);
}

void
flush_watch_start(struct flush_watch *w, uint64_t seq)
{
	w->seq = seq;
	check(w);
}
