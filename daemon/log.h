/*
 * log - lines in syslog style with key=value fields on standard output
 *
 *	log_line(LOG_WARNING, "link-closed", "peer=%s cause=%s", ...);
 *
 * prints "<4>cranberrywayd: level=warning event=link-closed peer=...".  Never
 * log a key, the secret or a body.
 */
#ifndef DAEMON_LOG_H
#define DAEMON_LOG_H

#include <syslog.h>

#include "core/types.h"

#define ADDR_TEXT_LEN 24 /* bytes of an address as text, with its NUL */

/* Log an event with a syslog priority; lines over 1023 bytes are cut. */
void log_line(int priority, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/*
 * Make standard output non-blocking.  From then on a line that cannot be
 * written at once is dropped and counted; event=log-lost reports the count.
 */
void log_set_nonblocking(void);
/* Drop lines that are less urgent than this syslog priority. */
void log_set_level(int priority);
/* Format an address as "IP:PORT" into ADDR_TEXT_LEN bytes and return them. */
const char *addr_text(struct addr, char *buf);

#endif
