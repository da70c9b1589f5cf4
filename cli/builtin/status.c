#include <stdio.h>
#include <string.h>

#include "cli/builtin.h"
#include "cli/request.h"

/* For people: the zeros are left out, and values stand in a column. */
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
	static gchar *where;
	static gboolean porcelain;
	const GOptionEntry entries[] = {
	    {"daemon", 'd', 0, G_OPTION_ARG_STRING, &where, NULL, NULL},
	    {"porcelain", 0, 0, G_OPTION_ARG_NONE, &porcelain, NULL, NULL},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	GError *error = NULL;
	struct answer a;
	gchar **lines;
	int i;

	if (!builtin_options(entries, "status", &argc, &argv))
		return EXIT_USAGE;
	if (argc != 1)
		return builtin_usage("status");
	if (porcelain)
		return request_print(request_where(where), "GET", "/status");
	if (!request_send(
		request_where(where), "GET", "/status", NULL, 0, &a, &error))
		return request_complain(error);
	lines = g_strsplit(a.text, "\n", -1);
	for (i = 0; lines[i] != NULL; i++)
		print_line(lines[i]);
	g_strfreev(lines);
	answer_release(&a);
	return 0;
}
