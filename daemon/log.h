/*
 * log - syslog-style lines with key=value fields on standard output
 *
 *	log_line(LOG_WARNING, "link-closed", "peer=%s cause=%s", ...);
 *
 * prints "<4>cranberrywayd: level=warning event=link-closed peer=...".  No
 * key, secret or body may be given to it.
 */
#ifndef DAEMON_LOG_H
#define DAEMON_LOG_H

#include <syslog.h>

#include "core/types.h"

#define ADDR_TEXT_LEN 24

void log_line(int priority, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/* Writing never blocks from here on: lines that find no room are counted. */
void log_start(void);
/* Lines less urgent than this priority are left out. */
void log_set_level(int priority);
/* Write an address as "IP:PORT" into buf and return it. */
const char *addr_text(struct addr, char *buf);

#endif
