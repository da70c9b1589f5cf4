/*
 * confstate - the version of the configuration that is in force here
 *
 * Versions only increase.  A version arrives as its whole text or as a change
 * to an earlier version; the resulting text must have the stated digest.
 * The parser is a table of function pointers, so that the core does not
 * depend on a text format.
 *
 *	confstate_init(&cs, &catalog_parser_native);
 *	switch (confstate_offer(&cs, &msg->u.config, now)) {
 *	case CONF_ADOPTED:	send it on with confstate_fill()
 *	case CONF_NEED_WHOLE:	ask the sender for the whole text
 *	...
 *	confstate_release(&cs);
 */
#ifndef CORE_CONFSTATE_H
#define CORE_CONFSTATE_H

#include "core/catalog.h"
#include "core/msg.h"

/* A format of the configuration's text. */
struct catalog_parser {
	/*
	 * Returns a catalog that the caller owns, or NULL with a one-line
	 * error message in err if the text is invalid.
	 */
	struct catalog *(*parse)(
	    const char *text, size_t len, char *err, size_t errlen);
};

struct confstate {
	const struct catalog_parser *parser;
	struct catalog *catalog; /* owned; NULL until a version is known */
	uint64_t version; /* 0: none yet */
	uint64_t digest; /* of text */
	struct buffer text;
	/* The version in force before, to which changes are sent; 0: none. */
	uint64_t previous_version;
	struct buffer previous_text;
	/* Up to when the version is known to have been the newest one. */
	uint64_t confirmed_us;
	char err[256]; /* the parser's error for the last invalid text */
};

/* The result of offering a version. */
enum conf_result {
	CONF_ADOPTED, /* it is in force now */
	CONF_SAME, /* it was in force already */
	CONF_OLD, /* a later one is in force */
	CONF_NEED_WHOLE, /* the change does not apply to the version here */
	CONF_REFUSED, /* the digest is wrong or the text is invalid */
};

/* Begin with no version; the parser must outlive the state. */
void confstate_init(struct confstate *, const struct catalog_parser *);
/* Free the catalog and the texts. */
void confstate_release(struct confstate *);
/*
 * Put a received version in force if it is newer and valid.  Adopting one
 * destroys the catalog in force, with all that its look-ups returned.  For an
 * invalid text (CONF_REFUSED) cs->err says what is wrong.
 */
enum conf_result confstate_offer(
    struct confstate *, const struct config *, struct instant now);
/*
 * Fill in a zeroed struct config with the version in force, for a receiver that
 * has have_version (0: none): no text if it is up to date, a change if it has
 * the previous version, or else the whole text.
 */
void confstate_fill(
    const struct confstate *, struct config *, uint64_t have_version);
/* Note that age_ms ago the version in force was the newest one. */
void confstate_confirm(struct confstate *, uint64_t age_ms, struct instant now);
/* The digest of a configuration's text, the same on every daemon. */
uint64_t confstate_digest(const char *text, size_t len);

#endif
