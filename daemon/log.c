#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "daemon/log.h"

#define MAX_LINE_BYTES 1024 /* with line feed and NUL; longer ones are cut */

static int max_priority = LOG_INFO;

static const char *const levels[] = {
    "emerg", "alert", "crit", "err", "warning", "notice", "info", "debug"};

void
log_set_level(int priority)
{
	max_priority = priority;
}

void
log_set_nonblocking(void)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	/* A reader that no longer reads must not block the daemon. */
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

/* Drop and count a line that cannot be written; log the count later. */
static void
write_line(const char *line, size_t len)
{
	static unsigned int dropped;
	char note[64];
	int n;

	if (dropped > 0) {
		n = snprintf(note, sizeof(note),
		    "<4>cranberrywayd: level=warning event=log-lost count=%u\n",
		    dropped);
		if (write(STDOUT_FILENO, note, (size_t)n) < 0) {
			dropped++;
			return;
		}
		dropped = 0;
	}
	if (write(STDOUT_FILENO, line, len) < 0)
		dropped++;
}

void
log_line(int priority, const char *event, const char *fmt, ...)
{
	char line[MAX_LINE_BYTES];
	va_list ap;
	size_t used;

	if (priority > max_priority)
		return;
	used = (size_t)snprintf(line, sizeof(line),
	    "<%d>cranberrywayd: level=%s event=%s ", priority,
	    levels[priority & 7], event);
	va_start(ap, fmt);
	vsnprintf(line + used, sizeof(line) - used - 1, fmt, ap);
	va_end(ap);
	used = strlen(line);
	line[used++] = '\n';
	write_line(line, used);
}

const char *
addr_text(struct addr a, char *buf)
{
	snprintf(buf, ADDR_TEXT_LEN, "%u.%u.%u.%u:%u", a.ip >> 24,
	    (a.ip >> 16) & 255, (a.ip >> 8) & 255, a.ip & 255, a.port);
	return buf;
}
