#include <stdio.h>

#include "cli/builtin.h"
#include "cli/request.h"

int
cmd_explain(int argc, char **argv)
{
	static gchar *where;
	const GOptionEntry entries[] = {
	    {"daemon", 'd', 0, G_OPTION_ARG_STRING, &where, NULL, NULL},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	gchar *id, *uri;
	int ret;

	if (!builtin_options(entries, "explain", &argc, &argv))
		return EXIT_USAGE;
	if (argc != 2)
		return builtin_usage("explain");
	id = g_uri_escape_string(argv[1], NULL, FALSE);
	uri = g_strdup_printf("/explain?id=%s", id);
	ret = request_print(request_where(where), "GET", uri);
	if (ret == EXIT_NO)
		fprintf(stderr,
		    "error: nothing is remembered of '%s'\nhint: ask the "
		    "daemon that the caller had called, soon after\n",
		    argv[1]);
	g_free(id);
	g_free(uri);
	return ret;
}
