#include <inttypes.h>
#include <stdio.h>

#include "cli/builtin.h"
#include "cli/request.h"

int
cmd_show(int argc, char **argv)
{
	static gchar *where;
	static gboolean version_only;
	const GOptionEntry entries[] = {
	    {"daemon", 'd', 0, G_OPTION_ARG_STRING, &where, NULL, NULL},
	    {"version", 0, 0, G_OPTION_ARG_NONE, &version_only, NULL, NULL},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	GError *error = NULL;
	struct answer a;

	if (!builtin_options(entries, "show", &argc, &argv))
		return EXIT_USAGE;
	if (argc != 1)
		return builtin_usage("show");
	if (!request_send(
		request_where(where), "GET", "/config", NULL, 0, &a, &error))
		return request_complain(error);
	if (version_only)
		printf("%" PRIu64 "\n", a.version);
	else
		fwrite(a.text, 1, a.len, stdout);
	answer_release(&a);
	return 0;
}
