/*
 * ini - reads INI text line by line and reports errors with the line
 *
 * Wraps inih for the operators' configuration and the daemon's settings.
 * The caller fills in name, state and the two functions, which are called
 * in the order of the text; the first error ends the reading.
 *
 *	static bool my_value(struct ini_parser *, const char *section,
 *	    const char *name, const char *value);
 *	struct ini_parser ini = {.name = "fleet.ini", .section = my_section,
 *	    .value = my_value, .state = &mine};
 *	if (!ini_read(&ini, text, len))
 *		puts(ini.err);
 *
 * The parser borrows all that it points to, and nothing has to be released.
 */
#ifndef CONFIG_INI_H
#define CONFIG_INI_H

#include <stdbool.h>
#include <stddef.h>

#define INI_ERR_LEN 512 /* bytes of an error and its hint, with the NUL */

struct ini_parser {
	const char *name; /* of the file, for error messages */
	void *state; /* for the two functions; not used by ini_read() */
	/*
	 * Called for each "[section]" line, also if no value follows.  Its
	 * result is not used: an error is reported with ini_error().
	 */
	bool (*section)(struct ini_parser *, const char *section);
	/* Called for each "name = value" line; returns false after an error. */
	bool (*value)(struct ini_parser *, const char *section,
	    const char *name, const char *value);
	int line; /* number of the current line, from 1 */
	char err[INI_ERR_LEN]; /* the first error; empty if there is none */
	/* private to ini.c */
	const char *text; /* what has not been read yet */
	size_t left; /* its length in bytes */
};

/* Read len bytes of text.  False if there was an error; err then holds it. */
bool ini_read(struct ini_parser *, const char *text, size_t len);
/*
 * Report an error as "error: MESSAGE (NAME, line N)" and a second line
 * "hint: HINT".  Only the first error is kept.  Returns false, so that a
 * function can end with "return ini_error(...)".
 */
bool ini_error(struct ini_parser *, int line, const char *hint, const char *fmt,
    ...) __attribute__((format(printf, 4, 5)));

#endif
