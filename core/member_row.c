#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core/member_row.h"

void
member_row_key(
    char *key, size_t len, const char *service, const struct member_record *r)
{
	snprintf(key, len, "member/%s/%s/%" PRIu32 ":%u", service, r->dc,
	    r->addr.ip, r->addr.port);
}

void
member_row_format(char *value, size_t len, const struct member_record *r)
{
	snprintf(value, len, "%" PRIu32 " %u %" PRIu64 " %" PRIu32 " %s",
	    r->addr.ip, r->addr.port, r->incarnation, r->slots, r->dc);
}

/* Read a number from 1 to max, and the space that follows it. */
static bool
read_field(const char **text, uint64_t max, uint64_t *out)
{
	return uint_parse(text, max, out) && *out != 0 && *(*text)++ == ' ';
}

const char *
member_row_parse(const char *key, const char *value, const char *service,
    uint64_t wall_ms, struct member_record *r)
{
	uint64_t latest_ms = wall_ms + MEMBER_ROW_MAX_SKEW_MS;
	uint64_t ip, port, slots;
	char own_key[ROW_KEY_LEN];

	memset(r, 0, sizeof(*r));
	if (!read_field(&value, UINT32_MAX, &ip))
		return "address";
	if (!read_field(&value, UINT16_MAX, &port))
		return "port";
	if (!read_field(&value, latest_ms, &r->incarnation))
		return "incarnation";
	if (!read_field(&value, MEMBER_ROW_MAX_SLOTS, &slots))
		return "slots";
	if (value[0] == '\0' || strlen(value) >= sizeof(r->dc) ||
	    strpbrk(value, " \t\r\n/") != NULL)
		return "data-centre";
	name_copy(r->dc, value, sizeof(r->dc));
	r->addr.ip = (uint32_t)ip;
	r->addr.port = (uint16_t)port;
	r->slots = (uint32_t)slots;
	r->state = MEMBER_ALIVE;
	member_row_key(own_key, sizeof(own_key), service, r);
	return strcmp(own_key, key) == 0 ? NULL : "key";
}
