/*
 * types - small values that every part of the core shares
 *
 * Nothing here owns memory but struct buffer, whose data is freed with
 * buffer_release() by whoever holds it last.
 */
#ifndef CORE_TYPES_H
#define CORE_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define NAME_LEN 64 /* bytes of a name, with its NUL */
#define ID_LEN 96 /* bytes of an idempotency id, with its NUL */
#define PATH_LEN 1024 /* bytes of a request path, with its NUL */
#define HOST_LEN 128 /* bytes of a request's host, with its NUL */
#define METHOD_LEN 8 /* bytes of a method, with its NUL */
#define KEY_HASH_LEN 32 /* bytes of a key's hash */

#define MSEC_US UINT64_C(1000) /* microseconds in a millisecond */
#define SEC_US UINT64_C(1000000) /* microseconds in a second */

/*
 * A point in time, given to the core by its caller.  mono_us counts on
 * while the host is suspended and never goes back; wall_ms is the calendar
 * time that ids are stamped with.
 */
struct instant {
	uint64_t mono_us;
	uint64_t wall_ms;
};

/* The address of a daemon's link port; also the daemon's name to others. */
struct addr {
	uint32_t ip; /* IPv4, host byte order */
	uint16_t port;
};

struct buffer {
	char *data;
	size_t len;
};

/*
 * A route has one of the first three.  Where organisations have one too,
 * importance_combine() orders calls by the organisation's, then the route's.
 */
enum importance {
	IMPORTANCE_LOW,
	IMPORTANCE_NORMAL,
	IMPORTANCE_HIGH,
	IMPORTANCE_NESTED = 9, /* made by a target: refusing wastes its run */
	IMPORTANCE_COUNT,
};

enum importance importance_combine(enum importance org, enum importance route);
bool addr_equal(struct addr, struct addr);
int addr_cmp(struct addr, struct addr);
uint64_t addr_hash(struct addr);

/* Copy bytes in; a NUL follows them that len does not count. */
void buffer_set(struct buffer *, const void *, size_t);
/* Move the content of src to dst, which is released first. */
void buffer_move(struct buffer *dst, struct buffer *src);
void buffer_release(struct buffer *);

/* Copy a string of any length into a field of size n; cuts what is over. */
void name_copy(char *dst, const char *src, size_t n);

/* Allocate zeroed memory; the process ends with a message if there is none. */
void *xcalloc(size_t n, size_t size);

#endif
