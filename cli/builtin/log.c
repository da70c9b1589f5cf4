#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "cli/builtin.h"
#include "cli/request.h"

/* An "#audit" line of the daemon's log of versions. */
struct audit_entry {
	uint64_t version;
	uint64_t from; /* the version that it was made from */
	uint64_t at_ms; /* wall time of the submission */
	uint64_t bytes; /* size of the text */
	uint64_t previous_bytes; /* size of the text before */
	char who[64]; /* the author */
	char mark[64]; /* random, identifies the submission */
};

static bool
audit_entry_parse(const char *line, struct audit_entry *a)
{
	return sscanf(line,
		   "#audit version=%" SCNu64 " from=%" SCNu64 " at_ms=%" SCNu64
		   " who=%63s mark=%63s bytes=%" SCNu64 " was_bytes=%" SCNu64,
		   &a->version, &a->from, &a->at_ms, a->who, a->mark, &a->bytes,
		   &a->previous_bytes) == 7;
}

static void
audit_entry_print(const struct audit_entry *a)
{
	time_t at = a->at_ms / 1000;
	char when[32];

	strftime(when, sizeof(when), "%Y-%m-%d %H:%M:%S", gmtime(&at));
	printf("version %" PRIu64 " from %" PRIu64 "  %s UTC  by %s  "
	       "%" PRIu64 " bytes, before %" PRIu64 "\n",
	    a->version, a->from, when, a->who, a->bytes, a->previous_bytes);
}

int
cmd_log(int argc, char **argv)
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
	struct audit_entry entry;
	gchar **lines;
	int i;

	if (!builtin_options(entries, "log", &argc, &argv))
		return EXIT_USAGE;
	if (argc != 1)
		return builtin_usage("log");
	if (!request_send(request_daemon_address(daemon), "GET", "/log", NULL,
		0, &resp, &error))
		return request_report_error(error);
	lines = g_strsplit(resp.text, "\n", -1);
	for (i = 0; lines[i] != NULL; i++) {
		if (!audit_entry_parse(lines[i], &entry))
			continue;
		if (porcelain)
			puts(lines[i] + strlen("#audit "));
		else
			audit_entry_print(&entry);
	}
	g_strfreev(lines);
	daemon_response_release(&resp);
	return 0;
}
