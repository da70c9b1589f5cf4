/*
 * holdings - the accounts of the process's memory and descriptors
 *
 * Sets their limits, from the setting memory-mb and the limit of open files,
 * and has their holders give way as soon as they hold too much: before the
 * event loop calls any other task, so that the sum gets over the limit by what
 * one event adds and not more.
 *
 *	h = holdings_create(daemon);	sets its memory and descriptors
 *	holdings_reload(h);		after settings were read again
 *	holdings_log(h);		now and then
 *	holdings_destroy(h);
 */
#ifndef DAEMON_HOLDINGS_H
#define DAEMON_HOLDINGS_H

#include "daemon/daemon.h"

struct holdings;

/* Create the accounts for the settings in force. */
struct holdings *holdings_create(struct daemon *);
/* Free the accounts; all tasks must be gone.  NULL is allowed. */
void holdings_destroy(struct holdings *);
/* Use the limits of the settings that are in force now. */
void holdings_reload(struct holdings *);
/*
 * Log that one gets short or is free again, and how many holders gave way, at
 * most once a second.  NULL is allowed.
 */
void holdings_log(struct holdings *);

#endif
