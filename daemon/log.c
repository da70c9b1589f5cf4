#include <stdarg.h>
#include <stdio.h>

#include "daemon/log.h"

static int max_priority = LOG_INFO;

static const char *const levels[] = {
    "emerg", "alert", "crit", "err", "warning", "notice", "info", "debug"};

void
log_set_level(int priority)
{
	max_priority = priority;
}

void
log_line(int priority, const char *event, const char *fmt, ...)
{
	char fields[512];
	va_list ap;

	if (priority > max_priority)
		return;
	va_start(ap, fmt);
	vsnprintf(fields, sizeof(fields), fmt, ap);
	va_end(ap);
	fprintf(stderr, "<%d>cranberrywayd: level=%s event=%s %s\n", priority,
	    levels[priority & 7], event, fields);
}

const char *
addr_text(struct addr a, char *buf)
{
	snprintf(buf, ADDR_TEXT_LEN, "%u.%u.%u.%u:%u", a.ip >> 24,
	    (a.ip >> 16) & 255, (a.ip >> 8) & 255, a.ip & 255, a.port);
	return buf;
}
