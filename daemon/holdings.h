/*
 * holdings - the account of the process's memory and its limit
 *
 * Has the holders of the account give way as soon as they hold too much: before
 * the event loop calls any other task, so that the sum gets over the limit by
 * what one event adds and not more.
 *
 *	h = holdings_create(daemon);	sets daemon->memory
 *	holdings_reload(h);		after settings were read again
 *	holdings_log(h);		now and then
 *	holdings_destroy(h);
 */
#ifndef DAEMON_HOLDINGS_H
#define DAEMON_HOLDINGS_H

#include "daemon/daemon.h"

/*
 * Priorities of the event loop.  With event_base_priority_init() for that many
 * all other events get the lower one.
 */
#define LOOP_PRIORITIES 2
#define LOOP_PRIORITY_FIRST 0

struct holdings;

/* Create the account for the settings in force. */
struct holdings *holdings_create(struct daemon *);
/* Free the account; all tasks that charge it must be gone.  NULL is allowed. */
void holdings_destroy(struct holdings *);
/* Use the limit of the settings that are in force now. */
void holdings_reload(struct holdings *);
/*
 * Log that the memory gets short or is free again, and how many holders gave
 * way, at most once a second.  NULL is allowed.
 */
void holdings_log(struct holdings *);

#endif
