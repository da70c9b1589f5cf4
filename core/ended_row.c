#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core/ended_row.h"
#include "core/hash.h"

void
ended_row_key(char *key, size_t len, const char *dc, struct addr daemon)
{
	snprintf(key, len, "ended/%s/%" PRIu32 ":%u", dc, daemon.ip,
	    (unsigned int)daemon.port);
}

void
ended_row_format(char *value, size_t len, const struct target_start *s)
{
	snprintf(
	    value, len, "%" PRIu64 " %s %s", s->started_ms, s->id, s->service);
}

const char *
ended_row_parse(const char *value, uint64_t wall_ms, struct target_start *s)
{
	uint64_t latest_ms = wall_ms + ENDED_ROW_MAX_SKEW_MS;
	size_t id_len;

	memset(s, 0, sizeof(*s));
	if (!uint_parse(&value, latest_ms, &s->started_ms) ||
	    s->started_ms == 0 || *value++ != ' ')
		return "start";
	id_len = strcspn(value, " ");
	if (id_len == 0 || id_len >= sizeof(s->id) || value[id_len] == '\0')
		return "id";
	memcpy(s->id, value, id_len);
	value += id_len + 1;
	if (value[0] == '\0' || strlen(value) >= sizeof(s->service) ||
	    strpbrk(value, "\r\n/") != NULL)
		return "service";
	name_copy(s->service, value, sizeof(s->service));
	return NULL;
}

uint64_t
target_start_tag(const struct target_start *s)
{
	uint64_t tag;

	if (s->id[0] == '\0')
		return 0;
	tag = hash_mix(hash_string(s->id) ^ s->started_ms);
	return tag != 0 ? tag : 1;
}
