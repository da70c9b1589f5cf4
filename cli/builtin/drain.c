#include "cli/builtin.h"
#include "cli/request.h"

int
cmd_drain(int argc, char **argv)
{
	static gchar *daemon;
	const GOptionEntry entries[] = {
	    {"daemon", 'd', 0, G_OPTION_ARG_STRING, &daemon, NULL, NULL},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};

	if (!builtin_options(entries, "drain", &argc, &argv))
		return EXIT_USAGE;
	if (argc != 1)
		return builtin_usage("drain");
	return request_print(request_daemon_address(daemon), "POST", "/drain");
}
