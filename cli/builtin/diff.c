#include <stdio.h>

#include "cli/builtin.h"
#include "cli/line_diff.h"
#include "cli/request.h"

static bool
read_file(const char *path, gchar **text)
{
	GError *error = NULL;

	if (g_file_get_contents(path, text, NULL, &error))
		return true;
	fprintf(stderr, "fatal: %s\n", error->message);
	g_error_free(error);
	return false;
}

static int
diff_with_daemon(const char *daemon, const char *new)
{
	struct daemon_response resp;
	GError *error = NULL;
	bool any;

	if (!request_send(daemon, "GET", "/config", NULL, 0, &resp, &error))
		return request_report_error(error);
	any = line_diff_print(resp.text, new, stdout);
	daemon_response_release(&resp);
	return any ? EXIT_NEGATIVE : 0;
}

int
cmd_diff(int argc, char **argv)
{
	static gchar *daemon;
	const GOptionEntry entries[] = {
	    {"daemon", 'd', 0, G_OPTION_ARG_STRING, &daemon, NULL, NULL},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	gchar *old, *new;
	int ret = EXIT_FATAL;

	if (!builtin_options(entries, "diff", &argc, &argv))
		return EXIT_USAGE;
	if (argc != 2 && argc != 3)
		return builtin_usage("diff");
	if (!read_file(argv[argc - 1], &new))
		return EXIT_FATAL;
	if (argc == 2) {
		ret = diff_with_daemon(request_daemon_address(daemon), new);
	} else if (read_file(argv[1], &old)) {
		ret = line_diff_print(old, new, stdout) ? EXIT_NEGATIVE : 0;
		g_free(old);
	}
	g_free(new);
	return ret;
}
