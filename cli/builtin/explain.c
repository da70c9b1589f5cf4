#include <stdio.h>

#include "cli/builtin.h"
#include "cli/request.h"

int
cmd_explain(int argc, char **argv)
{
	static gchar *daemon;
	const GOptionEntry entries[] = {
	    {"daemon", 'd', 0, G_OPTION_ARG_STRING, &daemon, NULL, NULL},
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
	ret = request_print(request_daemon_address(daemon), "GET", uri);
	if (ret == EXIT_NEGATIVE)
		fprintf(stderr,
		    "error: no decisions about '%s' are known\nhint: use the "
		    "daemon that the caller called, soon after the call\n",
		    argv[1]);
	g_free(id);
	g_free(uri);
	return ret;
}
