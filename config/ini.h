/*
 * ini - reading INI text line by line, with errors that name the line
 *
 * Wraps inih for both the operators' text and the daemon's settings.  The
 * reader is a table of functions with its own state; the first one that
 * reports an error ends the reading.
 *
 *	static bool my_value(struct ini *, const char *section,
 *	    const char *name, const char *value);
 *	struct ini ini = {.name = "fleet.ini", .section = my_section,
 *	    .value = my_value};
 *	if (!ini_read(&ini, text, len))
 *		puts(ini.err);
 */
#ifndef CONFIG_INI_H
#define CONFIG_INI_H

#include <stdbool.h>
#include <stddef.h>

#define INI_ERR_LEN 512

struct ini {
	const char *name; /* of the file, for errors */
	void *state; /* the reader's own */
	/* Called for each "[section]" line, also if nothing follows. */
	bool (*section)(struct ini *, const char *section);
	/* Called for each "name = value" line. */
	bool (*value)(struct ini *, const char *section, const char *name,
	    const char *value);
	int line; /* of the value being read */
	char err[INI_ERR_LEN]; /* empty if there was no error */
	/* private to ini.c */
	const char *text;
	size_t left;
};

bool ini_read(struct ini *, const char *text, size_t len);
/*
 * Note an error as "error: WHAT (NAME, line N)" and a line "hint: HINT";
 * returns false, so that readers can end with it.  The first one stays.
 */
bool ini_error(struct ini *, int line, const char *hint, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

#endif
