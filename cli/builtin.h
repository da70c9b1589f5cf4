/*
 * builtin - the subcommands of cranberryway
 *
 * Each stands in a file of its own under builtin/ and has an entry in the
 * table of cranberryway.c.  A subcommand gets its own arguments, argv[0]
 * being its name, and returns the exit code.
 */
#ifndef CLI_BUILTIN_H
#define CLI_BUILTIN_H

#include <glib.h>
#include <stdbool.h>

#define EXIT_NO 1 /* a plain "no" */
#define EXIT_FATAL 128 /* the answer could not be had */
#define EXIT_USAGE 129

struct builtin {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *usage; /* after "usage: cranberryway " */
	const char *summary; /* one line */
	const char *page; /* what "help NAME" prints below */
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

const struct builtin *builtin_find(const char *name);
const struct builtin *builtin_table(int *count);
/* Print the usage line of a subcommand; returns EXIT_USAGE. */
int builtin_usage(const char *name);
/*
 * Parse a subcommand's options; argv then holds what is left.  False after
 * a message, if they are wrong.
 */
bool builtin_options(
    const GOptionEntry *, const char *name, int *argc, char ***argv);

#endif
