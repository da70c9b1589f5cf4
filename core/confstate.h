/*
 * confstate - the version of the configuration that is in force here
 *
 * Configurations are ordered by the revision that their text states, and by
 * the position of their row in the platform's store where the revisions are
 * equal, or the format states none.  After the store has come back from a copy,
 * an older configuration has a later position than the one in force; its
 * revision keeps it from being taken.
 *
 * What is in force only becomes newer.  A row with the same text at a later
 * position is the same configuration, and changes only its version.
 *
 * A configuration arrives as its whole text or as a change to an earlier one;
 * the resulting text must have the stated digest.  The parser is a table of
 * function pointers, so that the core does not depend on a text format.
 *
 * Daemons of an earlier version state no revision.  Where the text has one,
 * what they have counts as older: they are sent ours, and confirm nothing.
 *
 *	confstate_init(&cs, &catalog_parser_native);
 *	switch (confstate_offer(&cs, &msg->u.config, now)) {
 *	case CONF_ADOPTED:	send it on with confstate_fill()
 *	case CONF_NEED_WHOLE:	ask the sender for the whole text
 *	...
 *	confstate_confirm(&cs, &id, proved_us);
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

/* How many that were not taken are remembered, so as not to read them again. */
#define CONF_PASSED_KEPT 4

/* One that was offered and is never taken. */
struct conf_passed {
	uint64_t version;
	uint64_t digest;
	bool in_frames_only; /* its sender states what the text is not */
};

struct confstate {
	const struct catalog_parser *parser;
	struct catalog *catalog; /* owned; NULL until a version is known */
	uint64_t revision; /* that the text states; 0: none */
	uint64_t version; /* the row's position; 0: none yet */
	uint64_t digest; /* of text */
	struct buffer text;
	/* What was in force before, to which changes are sent; version 0: none.
	 */
	struct config_id previous;
	struct buffer previous_text;
	/* Up to when it is known to have been the newest one. */
	uint64_t confirmed_us;
	/* The newest one whose text is invalid, and since when; 0: none. */
	struct config_id refused;
	uint64_t refused_us;
	struct conf_passed passed[CONF_PASSED_KEPT]; /* ring of the latest */
	unsigned int passed_added; /* added so far */
	uint64_t lower_revision; /* of the last CONF_LOWER */
	char err[256]; /* what is wrong with the last CONF_REFUSED */
};

/* The result of offering a configuration. */
enum conf_result {
	CONF_ADOPTED, /* it is in force now */
	CONF_MOVED, /* it was in force already, from an earlier row */
	CONF_SAME, /* it was in force already */
	CONF_OLD, /* a newer one is in force */
	CONF_LOWER, /* the row is later, but its text has a lower revision */
	CONF_NEED_WHOLE, /* the text is missing, or a change to another one */
	CONF_REFUSED, /* the digest is wrong or the text is invalid */
	CONF_PASSED_OVER, /* as when it was offered before, it is not taken */
};

/* Begin with no version; the parser must outlive the state. */
void confstate_init(struct confstate *, const struct catalog_parser *);
/* Free the catalog and the texts. */
void confstate_release(struct confstate *);
/* What is in force; all zero if there is none yet. */
struct config_id confstate_id(const struct confstate *);
/*
 * Put a received configuration in force if it is newer and valid.  Adopting one
 * destroys the catalog in force, with all that its look-ups returned.  For one
 * that is refused cs->err says what is wrong.
 */
enum conf_result confstate_offer(
    struct confstate *, const struct config *, struct instant now);
/* The same with a row of the platform, whose revision only its text tells. */
enum conf_result confstate_offer_row(
    struct confstate *, const struct config *, struct instant now);
/*
 * Whether an offer may put another text in force: it is not known to be older
 * or the same, and was not passed over before.
 */
bool confstate_may_adopt(
    const struct confstate *, const struct config *, bool is_row);
/* The same text has a row at a later position: true if that is news. */
bool confstate_move(struct confstate *, const struct config_id *);
/*
 * Fill in a zeroed struct config with what is in force, for a receiver that has
 * another one: no text if it is up to date, a change if it has the previous
 * one, or else the whole text.
 */
void confstate_fill(
    const struct confstate *, struct config *, const struct config_id *have);
/*
 * Note that this configuration was the newest one at proved_us.  That counts
 * only if exactly this one is in force, and no further than to when a newer one
 * was known that could not be taken.
 */
void confstate_confirm(
    struct confstate *, const struct config_id *, uint64_t proved_us);
bool config_id_equal(const struct config_id *, const struct config_id *);
/* The digest of a configuration's text, the same on every daemon. */
uint64_t confstate_digest(const char *text, size_t len);

#endif
