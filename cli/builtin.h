/*
 * builtin - the subcommands of cranberryway
 *
 * Each subcommand has a file under builtin/ and an entry in the table of
 * cranberryway.c.  It gets its arguments, with its name as argv[0], and
 * returns the exit code: 0, EXIT_NEGATIVE, EXIT_FATAL or EXIT_USAGE.
 *
 *	const struct builtin *b = builtin_find(argv[1]);
 *	if (b != NULL)
 *		return b->run(argc - 1, argv + 1);
 */
#ifndef CLI_BUILTIN_H
#define CLI_BUILTIN_H

#include <glib.h>
#include <stdbool.h>

#define EXIT_NEGATIVE 1 /* refused, invalid, different or not found */
#define EXIT_FATAL 128 /* the command could not be carried out */
#define EXIT_USAGE 129 /* wrong arguments */

struct builtin {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *usage; /* what follows "usage: cranberryway " */
	const char *summary; /* one line */
	const char *description; /* what "help NAME" prints */
};

int cmd_check(int argc, char **argv);
int cmd_diff(int argc, char **argv);
int cmd_drain(int argc, char **argv);
int cmd_explain(int argc, char **argv);
int cmd_help(int argc, char **argv);
int cmd_key(int argc, char **argv);
int cmd_log(int argc, char **argv);
int cmd_show(int argc, char **argv);
int cmd_status(int argc, char **argv);
int cmd_submit(int argc, char **argv);

/* The subcommand of that name, or NULL. */
const struct builtin *builtin_find(const char *name);
/* All subcommands; *count is set to their number. */
const struct builtin *builtin_table(int *count);
/* Print the usage line of a subcommand to stderr; returns EXIT_USAGE. */
int builtin_usage(const char *name);
/*
 * Parse a subcommand's options and remove them from argv.  If they are wrong,
 * prints an error and the usage line, and returns false.
 */
bool builtin_options(
    const GOptionEntry *, const char *name, int *argc, char ***argv);

#endif
