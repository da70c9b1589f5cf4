#include <inttypes.h>
#include <stdio.h>

#include "cli/builtin.h"
#include "cli/request.h"

int
cmd_show(int argc, char **argv)
{
	static gchar *daemon;
	static gboolean version_only;
	const GOptionEntry entries[] = {
	    {"daemon", 'd', 0, G_OPTION_ARG_STRING, &daemon, NULL, NULL},
	    {"version", 0, 0, G_OPTION_ARG_NONE, &version_only, NULL, NULL},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	GError *error = NULL;
	struct daemon_response resp;

	if (!builtin_options(entries, "show", &argc, &argv))
		return EXIT_USAGE;
	if (argc != 1)
		return builtin_usage("show");
	if (!request_send(request_daemon_address(daemon), "GET", "/config",
		NULL, 0, &resp, &error))
		return request_report_error(error);
	if (version_only)
		printf("%" PRIu64 "\n", resp.version);
	else
		fwrite(resp.text, 1, resp.len, stdout);
	daemon_response_release(&resp);
	return 0;
}
