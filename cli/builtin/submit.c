#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "cli/builtin.h"
#include "cli/line_diff.h"
#include "cli/request.h"

static bool
version_in_force(const char *daemon, uint64_t *version, GError **error)
{
	struct daemon_response resp;

	if (!request_send(daemon, "GET", "/config", NULL, 0, &resp, error))
		return false;
	*version = resp.version;
	daemon_response_release(&resp);
	return true;
}

static int
report_outcome(const struct daemon_response *resp, const char *text)
{
	switch (resp->status) {
	case 200:
		printf("accepted as version %" PRIu64 "\n", resp->version);
		return 0;
	case 409:
		fprintf(stderr,
		    "error: FILE was not made from version %" PRIu64
		    ", which is in force\nhint: merge the changes of that "
		    "version, then submit with --from %" PRIu64 "\n",
		    resp->version, resp->version);
		line_diff_print(resp->text, text, stdout);
		return EXIT_NEGATIVE;
	case 422:
		fprintf(stderr, "%s\n", resp->text);
		return EXIT_NEGATIVE;
	default:
		fprintf(stderr, "error: %s", resp->text);
		return EXIT_FATAL;
	}
}

static int
submit(const char *daemon, uint64_t from, const char *who, const char *text,
    size_t len)
{
	GError *error = NULL;
	struct daemon_response resp;
	gchar *name = g_uri_escape_string(who, NULL, FALSE);
	gchar *uri =
	    g_strdup_printf("/config?from=%" PRIu64 "&who=%s", from, name);
	int ret;

	if (request_send(daemon, "PUT", uri, text, len, &resp, &error)) {
		ret = report_outcome(&resp, text);
		daemon_response_release(&resp);
	} else {
		ret = request_report_error(error);
	}
	g_free(name);
	g_free(uri);
	return ret;
}

int
cmd_submit(int argc, char **argv)
{
	static gchar *daemon, *who;
	static gint64 from = -1;
	const GOptionEntry entries[] = {
	    {"daemon", 'd', 0, G_OPTION_ARG_STRING, &daemon, NULL, NULL},
	    {"from", 'f', 0, G_OPTION_ARG_INT64, &from, NULL, NULL},
	    {"who", 'w', 0, G_OPTION_ARG_STRING, &who, NULL, NULL},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	GError *error = NULL;
	uint64_t version;
	gchar *text;
	gsize len;
	int ret;

	if (!builtin_options(entries, "submit", &argc, &argv))
		return EXIT_USAGE;
	if (argc != 2)
		return builtin_usage("submit");
	if (!g_file_get_contents(argv[1], &text, &len, &error))
		return request_report_error(error);
	version = (uint64_t)from;
	if (from < 0 && !version_in_force(
			    request_daemon_address(daemon), &version, &error)) {
		g_free(text);
		return request_report_error(error);
	}
	ret = submit(request_daemon_address(daemon), version,
	    who != NULL ? who : g_get_user_name(), text, len);
	g_free(text);
	return ret;
}
