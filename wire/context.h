/*
 * context - the header that links a target's calls to the request it serves
 *
 * A target copies Cranberryway-Context from the request that it serves to
 * the requests that it makes.  Only the daemon of the same host writes and
 * reads the header.  It holds a MAC under a random key that this daemon
 * generates when it starts, and never a caller's API key.
 *
 *	context_write(key, &ctx, text, sizeof(text));
 *	if (!context_read(key, text, &ctx))
 *		reject the request
 *
 * A key has CONTEXT_KEY_LEN bytes.  Nothing here allocates memory.
 */
#ifndef WIRE_CONTEXT_H
#define WIRE_CONTEXT_H

#include "core/msg.h"

#define CONTEXT_KEY_LEN 32 /* bytes of the MAC key */
#define CONTEXT_TEXT_LEN 192 /* bytes of the header's value, with its NUL */

/*
 * Write the members tree_id and job; the daemon finds the others by the job.
 * len should be at least CONTEXT_TEXT_LEN: what does not fit is cut.
 */
void context_write(
    const uint8_t *key, const struct call_context *, char *text, size_t len);
/*
 * Read a header's value: sets tree_id and job and clears the other members.
 * False if the text is malformed or its MAC is wrong.
 */
bool context_read(const uint8_t *key, const char *text, struct call_context *);

#endif
