/*
 * body - memory for a body that arrives in parts
 *
 * A large body is allocated from the system by pages, which take memory only
 * once they were written to, so that it may have room to grow.
 *
 *	cap = body_reserve(&data, cap, len + more, most);
 *	memcpy(data + len, part, more);
 *	charge(body_memory(len, cap));
 */
#ifndef DAEMON_BODY_H
#define DAEMON_BODY_H

#include <stddef.h>

/*
 * Allocations above this size are made by pages, and given back to the system
 * when they are freed.
 */
#define BODY_PAGED_BYTES (128u << 10)

/*
 * Fix the C library's threshold at BODY_PAGED_BYTES; it would raise it after
 * the first large body.  To be called once, by main().
 */
void body_setup(void);
/*
 * Enlarge an allocation of cap bytes, NULL with 0, to at least want bytes.
 * It will never have to hold more than most bytes; 0: that is not known.
 * Returns its size.  Aborts if there is no memory.
 */
size_t body_reserve(char **data, size_t cap, size_t want, size_t most);
/* Memory that an allocation of cap bytes takes of which len are in use. */
size_t body_memory(size_t len, size_t cap);

#endif
