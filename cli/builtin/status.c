#include <stdio.h>
#include <string.h>

#include "cli/builtin.h"
#include "cli/request.h"

/*
 * Prints a line of the status for people: leaves out a value of zero, and
 * aligns the others in a column, except for the lines of members.
 */
static void
print_line(const char *line)
{
	const char *space = strchr(line, ' ');

	if (space == NULL || strcmp(space, " 0") == 0)
		return;
	if (strncmp(line, "member ", 7) == 0)
		puts(line);
	else
		printf("%-32.*s%s\n", (int)(space - line), line, space + 1);
}

int
cmd_status(int argc, char **argv)
{
	static gchar *daemon;
	static gboolean porcelain;
	const GOptionEntry entries[] = {
	    {"daemon", 'd', 0, G_OPTION_ARG_STRING, &daemon, NULL, NULL},
	    {"porcelain", 0, 0, G_OPTION_ARG_NONE, &porcelain, NULL, NULL},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	GError *error = NULL;
	struct daemon_response resp;
	gchar **lines;
	int i;

	if (!builtin_options(entries, "status", &argc, &argv))
		return EXIT_USAGE;
	if (argc != 1)
		return builtin_usage("status");
	if (porcelain)
		return request_print(
		    request_daemon_address(daemon), "GET", "/status");
	if (!request_send(request_daemon_address(daemon), "GET", "/status",
		NULL, 0, &resp, &error))
		return request_report_error(error);
	lines = g_strsplit(resp.text, "\n", -1);
	for (i = 0; lines[i] != NULL; i++)
		print_line(lines[i]);
	g_strfreev(lines);
	daemon_response_release(&resp);
	return 0;
}
