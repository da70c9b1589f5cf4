#include <malloc.h>
#include <stdlib.h>
#include <string.h>

#include "core/types.h"
#include "daemon/body.h"

/* Allocations above this size are made by pages, which count once written. */
#define PAGED_BYTES (128u << 10)
#define PAGE_BYTES 4096
/* As much of a body is in one allocation; most bodies are shorter. */
#define MAX_START_BYTES (64u << 10)
#define BLOCK_BYTES (256u << 10)

struct body_block {
	STAILQ_ENTRY(body_block) entry;
	size_t len;
	char data[BLOCK_BYTES];
};

void
body_setup(void)
{
	mallopt(M_MMAP_THRESHOLD, PAGED_BYTES);
}

static void
resize_start(struct body *b, size_t cap)
{
	b->start = realloc(b->start, cap);
	if (b->start == NULL)
		abort();
	b->start_cap = cap;
}

/* Add as much as the start has room for; returns how much that is. */
static size_t
append_to_start(struct body *b, const char *data, size_t len)
{
	size_t want, cap = b->start_cap;

	if (b->nblocks > 0 || len > MAX_START_BYTES - b->start_len)
		len = b->nblocks > 0 ? 0 : MAX_START_BYTES - b->start_len;
	if (len == 0)
		return 0;
	want = b->start_len + len + 1; /* and the NUL */
	if (want > cap)
		resize_start(b, want < 2 * cap ? 2 * cap : want);
	memcpy(b->start + b->start_len, data, len);
	b->start_len += len;
	return len;
}

/* Add as much as the last block has room for; returns how much that is. */
static size_t
append_to_block(struct body *b, const char *data, size_t len)
{
	struct body_block *k;

	if (b->nblocks == 0)
		STAILQ_INIT(&b->blocks);
	k = b->nblocks > 0 ? STAILQ_LAST(&b->blocks, body_block, entry) : NULL;
	if (k == NULL || k->len == BLOCK_BYTES) {
		k = malloc(sizeof(*k));
		if (k == NULL)
			abort();
		k->len = 0;
		STAILQ_INSERT_TAIL(&b->blocks, k, entry);
		b->nblocks++;
	}
	if (len > BLOCK_BYTES - k->len)
		len = BLOCK_BYTES - k->len;
	memcpy(k->data + k->len, data, len);
	k->len += len;
	return len;
}

void
body_append(struct body *b, const void *bytes, size_t len)
{
	const char *data = bytes;
	size_t used = append_to_start(b, data, len);

	while (used < len)
		used += append_to_block(b, data + used, len - used);
	b->len += len;
}

size_t
body_memory(const struct body *b)
{
	return b->start_cap + (b->len - b->start_len) +
	       b->nblocks * (size_t)PAGE_BYTES;
}

/* Remove the first block and free it. */
static void
drop_block(struct body *b)
{
	struct body_block *k = STAILQ_FIRST(&b->blocks);

	STAILQ_REMOVE_HEAD(&b->blocks, entry);
	b->nblocks--;
	free(k);
}

char *
body_join(struct body *b, size_t *len)
{
	size_t at = b->start_len;
	struct body_block *k;
	char *whole = b->start;

	*len = b->len;
	if (b->nblocks > 0) {
		whole = malloc(b->len + 1);
		if (whole == NULL)
			abort();
		memcpy(whole, b->start, at);
		free(b->start);
	} else if (b->start_cap > at + 1) {
		/* Nobody is charged for what is beyond its length. */
		resize_start(b, at + 1);
		whole = b->start;
	}
	while (b->nblocks > 0) {
		k = STAILQ_FIRST(&b->blocks);
		memcpy(whole + at, k->data, k->len);
		at += k->len;
		drop_block(b);
	}
	if (whole != NULL)
		whole[at] = '\0';
	memset(b, 0, sizeof(*b));
	return whole;
}

void
body_release(struct body *b)
{
	while (b->nblocks > 0)
		drop_block(b);
	free(b->start);
	memset(b, 0, sizeof(*b));
}
