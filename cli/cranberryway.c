/*
 * cranberryway: the operators' command.  Finds the subcommand in the table
 * and runs it.
 */
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "cli/builtin.h"

static const struct builtin table[] = {
    {"check", cmd_check, "check FILE",
	"check a configuration without submitting it",
	"Reads FILE and prints 'ok', or the first error with its line and a\n"
	"hint.  Exit code 1 means that the daemons would refuse it."},
    {"diff", cmd_diff, "diff [--daemon IP:PORT] FILE [FILE]",
	"show what differs between two versions",
	"Compares two files, or the version in force with one file, line by\n"
	"line.  Exit code 1 means that they differ."},
    {"drain", cmd_drain, "drain [--daemon IP:PORT]",
	"let a daemon and its target leave in order",
	"The daemon takes no new work, finishes what it has, hands its ledger\n"
	"over and exits."},
    {"explain", cmd_explain, "explain [--daemon IP:PORT] ID",
	"tell what was decided about a request",
	"ID is the request's idempotency id, or the number of its call tree\n"
	"in hexadecimal.  Each line is one decision of the asked daemon: "
	"step,\n"
	"target or entry daemon, verdict, reason and the figures behind it.\n"
	"Ask the daemon that 'target=' names for what it decided in turn."},
    {"help", cmd_help, "help [NAME]", "print the page of a subcommand",
	"Without NAME, lists the subcommands."},
    {"key", cmd_key, "key [--hash]", "make a new key and its hash",
	"Prints a new key and, for the text, its hash.  With --hash, reads a\n"
	"key from standard input and prints only its hash.  Only the hash\n"
	"belongs into the text."},
    {"log", cmd_log, "log [--daemon IP:PORT] [--porcelain]",
	"list the accepted versions",
	"The newest first: version, who, when, from which version, size.\n"
	"--porcelain prints key=value lines that never change."},
    {"show", cmd_show, "show [--daemon IP:PORT] [--version]",
	"print the configuration in force",
	"With --version only its number, which 'submit --from' wants."},
    {"status", cmd_status, "status [--daemon IP:PORT] [--porcelain]",
	"print the state and counters of a daemon",
	"--porcelain prints 'name value' lines that never change; the form "
	"for\n"
	"people leaves the zeros out."},
    {"submit", cmd_submit,
	"submit [--daemon IP:PORT] [--from N] [--who NAME] FILE",
	"put a configuration in force",
	"--from names the version that FILE was made from; without it, the\n"
	"version in force now is meant.  If another submission was first, "
	"this\n"
	"one changes nothing: the difference to the version in force is\n"
	"printed and the exit code is 1."},
};

const struct builtin *
builtin_table(int *count)
{
	*count = sizeof(table) / sizeof(table[0]);
	return table;
}

const struct builtin *
builtin_find(const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(table) / sizeof(table[0]); i++) {
		if (strcmp(table[i].name, name) == 0)
			return &table[i];
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
