#include <malloc.h>
#include <stdlib.h>

#include "daemon/body.h"

/* A body above this size gets an allocation by pages at once. */
#define SMALL_BODY_BYTES (64u << 10)
/* The first allocation by pages. */
#define FIRST_PAGED_BYTES (BODY_PAGED_BYTES + (32u << 10))
#define PAGE_BYTES 4096

void
body_setup(void)
{
	mallopt(M_MMAP_THRESHOLD, BODY_PAGED_BYTES);
}

static size_t
next_capacity(size_t cap, size_t want)
{
	if (want <= SMALL_BODY_BYTES)
		return want < 2 * cap ? 2 * cap : want;
	want += want / 4;
	return want < FIRST_PAGED_BYTES ? FIRST_PAGED_BYTES : want;
}

size_t
body_reserve(char **data, size_t cap, size_t want, size_t most)
{
	size_t n;

	if (want <= cap)
		return cap;
	n = next_capacity(cap, want);
	if (most >= want && n > most)
		n = most;
	*data = realloc(*data, n);
	if (*data == NULL)
		abort();
	return n;
}

size_t
body_memory(size_t len, size_t cap)
{
	if (cap <= BODY_PAGED_BYTES || len + PAGE_BYTES > cap)
		return cap;
	return len + PAGE_BYTES;
}
