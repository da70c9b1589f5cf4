/*
 * body - a body that arrives in parts
 *
 * What has come is kept in blocks, and is never copied to a larger one as it
 * grows.  At the end the blocks become one, and each is freed once it was
 * copied, so that a body takes its size in memory, and a block more for a
 * moment.
 *
 *	struct body b = {0};
 *	body_append(&b, data, len);
 *	charge(body_memory(&b));
 *	whole = body_join(&b, &len);	or body_release(&b)
 *
 * A body of all zeroes is empty.
 */
#ifndef DAEMON_BODY_H
#define DAEMON_BODY_H

#include <bsd/sys/queue.h>
#include <stddef.h>

struct body_block;
STAILQ_HEAD(body_blocks, body_block);

/* Its members are for body.c, but for len. */
struct body {
	size_t len; /* bytes that have come */
	char *start; /* the first of them, in an allocation that grows */
	size_t start_len, start_cap;
	struct body_blocks blocks; /* the others; unset while there are none */
	size_t nblocks;
};

/*
 * Have large allocations given back to the system when they are freed; the C
 * library would stop that after the first one.  To be called once, by main().
 */
void body_setup(void);
/* Add the next bytes.  Aborts if there is no memory, as do the others. */
void body_append(struct body *, const void *, size_t);
/* Memory that the body takes. */
size_t body_memory(const struct body *);
/*
 * Return the bytes, with a NUL after them, in an allocation that the caller
 * frees, or NULL if there are none.  The body is empty afterwards.
 */
char *body_join(struct body *, size_t *len);
/* Free the bytes; the body is empty afterwards. */
void body_release(struct body *);

#endif
