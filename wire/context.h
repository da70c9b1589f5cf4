/*
 * context - the header that joins a target's calls to the call it serves
 *
 * A target copies Cranberryway-Context from the request that it serves to
 * the requests that it makes.  It is made and read by the daemon of the
 * same host, is authenticated with a key that this daemon drew at its
 * start, and never holds a caller's key.
 *
 *	context_write(key, &ctx, text, sizeof(text));
 *	if (!context_read(key, text, &ctx)) refuse;
 */
#ifndef WIRE_CONTEXT_H
#define WIRE_CONTEXT_H

#include "core/msg.h"

#define CONTEXT_KEY_LEN 32
#define CONTEXT_TEXT_LEN 192 /* bytes of the header's value, with its NUL */

/* Only the call tree and the job are in it: the daemon knows the rest. */
void context_write(
    const uint8_t *key, const struct call_context *, char *text, size_t len);
/* False if the text is malformed or not authentic. */
bool context_read(const uint8_t *key, const char *text, struct call_context *);

#endif
