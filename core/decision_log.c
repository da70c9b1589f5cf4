#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/decision_log.h"

struct decision_log {
	struct decision records[DECISION_LOG_MAX_RECORDS];
	size_t next; /* index of the oldest record, overwritten next */
	uint64_t added; /* decisions since the start */
};

struct decision_log *
decision_log_create(void)
{
	return xcalloc(1, sizeof(struct decision_log));
}

void
decision_log_destroy(struct decision_log *log)
{
	free(log);
}

struct decision *
decision_log_add(struct decision_log *log)
{
	struct decision *d = &log->records[log->next];

	log->added++;
	log->next = (log->next + 1) % DECISION_LOG_MAX_RECORDS;
	memset(d, 0, sizeof(*d));
	return d;
}

const struct decision *
decision_log_next(const struct decision_log *log, uint64_t *cursor)
{
	if (*cursor + DECISION_LOG_MAX_RECORDS < log->added)
		*cursor = log->added - DECISION_LOG_MAX_RECORDS;
	if (*cursor == log->added)
		return NULL;
	return &log->records[(*cursor)++ % DECISION_LOG_MAX_RECORDS];
}

static bool
decision_matches(const struct decision *d, const char *id_or_tree)
{
	char tree[17];

	if (d->step == NULL)
		return false;
	snprintf(tree, sizeof(tree), "%016" PRIx64, d->tree_id);
	return strcmp(d->id, id_or_tree) == 0 || strcmp(tree, id_or_tree) == 0;
}

void
decision_format(const struct decision *d, char *buf, size_t len)
{
	snprintf(buf, len,
	    "at_ms=%" PRIu64 " step=%s tree=%016" PRIx64
	    " id=%s org=%s service=%s target=%u.%u.%u.%u:%u verdict=%s "
	    "reason=%s %s",
	    d->at_ms, d->step, d->tree_id, d->id[0] ? d->id : "-",
	    d->org[0] ? d->org : "-", d->service, d->target.ip >> 24,
	    (d->target.ip >> 16) & 255, (d->target.ip >> 8) & 255,
	    d->target.ip & 255, d->target.port,
	    d->failure.reason == REASON_NONE ? "ran"
					     : verdict_name(d->failure.verdict),
	    reason_name(d->failure.reason), d->details);
}

static int
decision_print(const struct decision *d, char *buf, size_t len)
{
	char line[DECISION_LINE_BYTES];

	decision_format(d, line, sizeof(line));
	return snprintf(buf, len, "%s\n", line);
}

size_t
decision_log_print(const struct decision_log *log, const char *id_or_tree,
    char *buf, size_t len)
{
	const struct decision *d;
	size_t used = 0, i;
	int ret;

	buf[0] = '\0';
	for (i = 0; i < DECISION_LOG_MAX_RECORDS; i++) {
		d = &log->records[(log->next + i) % DECISION_LOG_MAX_RECORDS];
		if (!decision_matches(d, id_or_tree))
			continue;
		ret = decision_print(d, buf + used, len - used);
		if (ret < 0 || (size_t)ret >= len - used)
			break;
		used += ret;
	}
	buf[used] = '\0';
	return used;
}
