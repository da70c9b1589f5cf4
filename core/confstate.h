/*
 * confstate - the version of the configuration that is in force here
 *
 * Versions only go up.  A version comes whole or as a change to the one
 * before; either way the result must have the stated digest.  The parser
 * is a table of function pointers, so that the core knows no text format.
 *
 *	switch (confstate_offer(cs, &msg->u.config, now)) {
 *	case CONF_ADOPTED:	tell the others
 *	case CONF_NEED_WHOLE:	ask for the whole text
 *	...
 */
#ifndef CORE_CONFSTATE_H
#define CORE_CONFSTATE_H

#include "core/catalog.h"
#include "core/msg.h"

struct catalog_parser {
	/* NULL if the text is refused, with one line about it in err. */
	struct catalog *(*parse)(
	    const char *text, size_t len, char *err, size_t errlen);
};

struct confstate {
	const struct catalog_parser *parser;
	struct catalog *catalog; /* NULL until a version is known */
	uint64_t version;
	uint64_t digest;
	struct buffer text;
	uint64_t last_version; /* the version before, for changes */
	struct buffer last_text;
	uint64_t confirmed_us; /* the platform was heard of last */
	char err[256]; /* why the last refused version was refused */
};

enum conf_verdict {
	CONF_ADOPTED,
	CONF_SAME,
	CONF_OLD,
	CONF_NEED_WHOLE,
	CONF_REFUSED,
};

void confstate_init(struct confstate *, const struct catalog_parser *);
void confstate_release(struct confstate *);
enum conf_verdict confstate_offer(
    struct confstate *, const struct config *, struct instant now);
/* Fill in the shortest message that brings a version up to ours. */
void confstate_fill(
    const struct confstate *, struct config *, uint64_t have_version);
/* The version in force was the newest one so long ago. */
void confstate_confirm(struct confstate *, uint64_t age_ms, struct instant now);
uint64_t confstate_digest(const char *text, size_t len);

#endif
