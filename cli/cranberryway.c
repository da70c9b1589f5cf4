/*
 * cranberryway: the operators' command-line tool.  Runs the subcommand that
 * the first argument names.
 */
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "cli/builtin.h"

static const struct builtin builtins[] = {
    {"check", cmd_check, "check FILE",
	"check a configuration without submitting it",
	"Reads FILE and prints 'ok', or the first error with its line and a\n"
	"hint.  Exit code 1 means that the daemons would reject it."},
    {"diff", cmd_diff, "diff [--daemon IP:PORT] FILE [FILE]",
	"show what differs between two versions",
	"Compares two files, or the version in force with one file, line by\n"
	"line.  Exit code 1 means that they differ."},
    {"drain", cmd_drain, "drain [--daemon IP:PORT]",
	"shut a daemon and its target down gracefully",
	"The daemon accepts no new calls, finishes those in progress, hands\n"
	"its ledger over and exits."},
    {"explain", cmd_explain, "explain [--daemon IP:PORT] ID",
	"print what was decided about a request",
	"ID is the request's idempotency id, or the number of its call tree\n"
	"in hexadecimal.  Each line is a decision of the daemon asked: step,\n"
	"target or entry daemon, verdict, reason and the figures behind it.\n"
	"For those of the other daemon, use the address after 'target='."},
    {"help", cmd_help, "help [NAME]", "print the description of a subcommand",
	"Without NAME, lists the subcommands."},
    {"key", cmd_key, "key [--hash]", "generate an API key and its hash",
	"Prints a new key and the line with its hash for the configuration.\n"
	"With --hash, reads a key from standard input and prints only that\n"
	"line.  The key itself must not be put in the configuration."},
    {"log", cmd_log, "log [--daemon IP:PORT] [--porcelain]",
	"list the accepted versions of the configuration",
	"Lists, newest first, version, base version, time, author and size.\n"
	"--porcelain prints key=value lines in a stable format."},
    {"show", cmd_show, "show [--daemon IP:PORT] [--version]",
	"print the configuration in force",
	"With --version, prints only its number, as for 'submit --from'."},
    {"status", cmd_status, "status [--daemon IP:PORT] [--porcelain]",
	"print the state and counters of a daemon",
	"Leaves out values of zero.  --porcelain prints all values as\n"
	"'name value' lines in a stable format."},
    {"submit", cmd_submit,
	"submit [--daemon IP:PORT] [--from N] [--who NAME] FILE",
	"submit a configuration to be put in force",
	"--from gives the version that FILE was made from; by default the\n"
	"version now in force.  If another version is in force by then, this\n"
	"one is rejected: the difference to that version is printed and the\n"
	"exit code is 1."},
};

const struct builtin *
builtin_table(int *count)
{
	*count = sizeof(builtins) / sizeof(builtins[0]);
	return builtins;
}

const struct builtin *
builtin_find(const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(builtins) / sizeof(builtins[0]); i++) {
		if (strcmp(builtins[i].name, name) == 0)
			return &builtins[i];
	}
	return NULL;
}

int
builtin_usage(const char *name)
{
	const struct builtin *b = builtin_find(name);

	fprintf(stderr, "usage: cranberryway %s\n", b->usage);
	return EXIT_USAGE;
}

bool
builtin_options(
    const GOptionEntry *entries, const char *name, int *argc, char ***argv)
{
	GOptionContext *ctx = g_option_context_new(NULL);
	GError *error = NULL;
	bool ok;

	g_option_context_set_help_enabled(ctx, FALSE);
	if (entries != NULL)
		g_option_context_add_main_entries(ctx, entries, NULL);
	ok = g_option_context_parse(ctx, argc, argv, &error);
	if (!ok) {
		fprintf(stderr, "error: %s\n", error->message);
		builtin_usage(name);
		g_error_free(error);
	}
	g_option_context_free(ctx);
	return ok;
}

int
main(int argc, char **argv)
{
	const struct builtin *b;

	if (sodium_init() < 0)
		return EXIT_FATAL;
	if (argc < 2 || strcmp(argv[1], "-h") == 0 ||
	    strcmp(argv[1], "--help") == 0)
		return cmd_help(1, argv);
	b = builtin_find(argv[1]);
	if (b == NULL) {
		fprintf(stderr,
		    "error: '%s' is not a subcommand\nhint: see "
		    "'cranberryway help'\n",
		    argv[1]);
		return EXIT_USAGE;
	}
	if (argc > 2 && strcmp(argv[2], "-h") == 0) {
		printf("usage: cranberryway %s\n", b->usage);
		return 0;
	}
	return b->run(argc - 1, argv + 1);
}
