/*
 * flush - tells the decide task when a task's output has reached its peers
 *
 * Before the process ends, the decide task sends MSG_FLUSH to each task that
 * holds answers.  The task starts its watch, which asks is_flushed() again and
 * again and sends MSG_FLUSHED, with the same number, once it returns true.
 *
 *	w = flush_watch_create(daemon, is_flushed, owner);
 *	flush_watch_start(w, msg->seq);		for each MSG_FLUSH
 *	flush_watch_destroy(w);
 */
#ifndef DAEMON_FLUSH_H
#define DAEMON_FLUSH_H

#include "daemon/daemon.h"

struct flush_watch;

/* Create a watch; the owner must outlive it. */
struct flush_watch *flush_watch_create(
    struct daemon *, bool (*is_flushed)(const void *owner), const void *owner);
/* Stop and free the watch; NULL is allowed. */
void flush_watch_destroy(struct flush_watch *);
/* Watch from now on; a request that came before is not answered any more. */
void flush_watch_start(struct flush_watch *, uint64_t seq);

#endif
