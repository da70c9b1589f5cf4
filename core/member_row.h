/*
 * member_row - the row of the platform that names a member of a service
 *
 * Each member writes one row, "member/SERVICE/DC/IP:PORT", with the IP as a
 * number.  The platform's tables are open to other writers, so a row is only
 * believed if its key and its value agree and each number is one that a
 * member may have.
 *
 *	member_row_key(key, sizeof(key), "orders", &record);
 *	member_row_format(value, sizeof(value), &record);
 *	fault = member_row_parse(key, value, "orders", now.wall_ms, &record);
 */
#ifndef CORE_MEMBER_ROW_H
#define CORE_MEMBER_ROW_H

#include "core/msg.h"

#define MEMBER_ROW_VALUE_LEN 256 /* bytes of a row's value, with its NUL */
#define MEMBER_ROW_MAX_SLOTS 1000000 /* a target with more is not believed */
/* How far in the future a member may seem to have joined. */
#define MEMBER_ROW_MAX_SKEW_MS (UINT64_C(24) * 3600 * 1000)

/* Write the key of a member's row, cut to len bytes with its NUL. */
void member_row_key(
    char *key, size_t len, const char *service, const struct member_record *);
/* Write the value of a member's row, cut to len bytes with its NUL. */
void member_row_format(char *value, size_t len, const struct member_record *);
/*
 * Read a row into the record, as a member that is alive.  Returns NULL, or the
 * reason why the row names no member, a constant such as "port"; then the
 * record is undefined.
 */
const char *member_row_parse(const char *key, const char *value,
    const char *service, uint64_t wall_ms, struct member_record *);

#endif
