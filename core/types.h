/*
 * types - small value types used everywhere in the core
 *
 * Only struct buffer owns memory; its holder frees it with buffer_release().
 * A buffer of all zeroes is empty and may be used or released.
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
#define KEY_HASH_LEN 32 /* bytes of an API key's hash */

#define MSEC_US UINT64_C(1000) /* microseconds in a millisecond */
#define SEC_US UINT64_C(1000000) /* microseconds in a second */

/* A point in time on two clocks, which the core is given by its caller. */
struct instant {
	uint64_t mono_us; /* monotonic; advances while the host is suspended */
	uint64_t wall_ms; /* since the epoch; may be set back */
};

/* The address of a daemon's link port, which identifies the daemon. */
struct addr {
	uint32_t ip; /* IPv4, host byte order */
	uint16_t port;
};

/*
 * A block of bytes that is owned by the struct, alone or together with others
 * that buffer_share() made.  A block that is shared must not be changed.
 */
struct buffer {
	char *data; /* NULL if nothing was ever set */
	size_t len; /* bytes, without the NUL that follows them */
	unsigned int *refs; /* how many share the block; NULL: only this one */
};

/*
 * The importance of a call for load shedding; less important calls are shed
 * first.  A route has one of the first three values.  If the organisation has
 * one of them too, importance_combine() maps the pair to a number from 0 to 8.
 */
enum importance {
	IMPORTANCE_LOW,
	IMPORTANCE_NORMAL,
	IMPORTANCE_HIGH,
	/* A nested call: refusing it would waste the run that made it. */
	IMPORTANCE_NESTED = 9,
	IMPORTANCE_COUNT,
};

/*
 * Calls of the same importance are ordered by level, from 0, which is shed
 * first, to IMPORTANCE_LEVELS - 1; see shed_level().
 */
#define IMPORTANCE_LEVELS 128

/* Order calls by the organisation's importance first, then the route's. */
enum importance importance_combine(enum importance org, enum importance route);

/*
 * Read a decimal number of digits alone, and move text to what follows it.
 * False if there is none, or if it is above max.
 */
bool uint_parse(const char **text, uint64_t max, uint64_t *out);

bool addr_equal(struct addr, struct addr);
/* Order two addresses: less than, equal to or greater than 0. */
int addr_cmp(struct addr, struct addr);
/* A hash of the address, the same on every daemon. */
uint64_t addr_hash(struct addr);

/* Replace the content by a copy of len bytes, and add a NUL after them. */
void buffer_set(struct buffer *, const void *, size_t len);
/* Release dst, then move the content of src to it and leave src empty. */
void buffer_move(struct buffer *dst, struct buffer *src);
/*
 * Release dst, then let it share the content of src, which stays as it is.
 * The bytes are freed once all that share them were released.
 */
void buffer_share(struct buffer *dst, struct buffer *src);
/*
 * Release dst, then let it own a block that malloc() allocated, with a NUL
 * after len bytes.  NULL is allowed for an empty one.
 */
void buffer_adopt(struct buffer *dst, char *data, size_t len);
/* Free the content; the buffer is empty afterwards. */
void buffer_release(struct buffer *);

/* Copy a string into an array of n bytes, truncating it if needed. */
void name_copy(char *dst, const char *src, size_t n);

/* Allocate zeroed memory, which the caller frees; aborts if there is none. */
void *xcalloc(size_t n, size_t size);

#endif
