#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "cli/builtin.h"
#include "cli/request.h"

struct audit {
	uint64_t version, from, at_ms, bytes, was;
	char who[64], mark[64];
};

static bool
audit_parse(const char *line, struct audit *a)
{
	return sscanf(line,
		   "#audit version=%" SCNu64 " from=%" SCNu64 " at_ms=%" SCNu64
		   " who=%63s mark=%63s bytes=%" SCNu64 " was_bytes=%" SCNu64,
		   &a->version, &a->from, &a->at_ms, a->who, a->mark, &a->bytes,
		   &a->was) == 7;
}

static void
audit_print(const struct audit *a)
{
	time_t at = a->at_ms / 1000;
	char when[32];

	strftime(when, sizeof(when), "%Y-%m-%d %H:%M:%S", gmtime(&at));
	printf("version %" PRIu64 " from %" PRIu64 "  %s UTC  by %s  "
	       "%" PRIu64 " bytes, was %" PRIu64 "\n",
	    a->version, a->from, when, a->who, a->bytes, a->was);
}

int
cmd_log(int argc, char **argv)
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
	struct audit entry;
	gchar **lines;
	int i;

	if (!builtin_options(entries, "log", &argc, &argv))
		return EXIT_USAGE;
	if (argc != 1)
		return builtin_usage("log");
	if (!request_send(
		request_where(where), "GET", "/log", NULL, 0, &a, &error))
		return request_complain(error);
	lines = g_strsplit(a.text, "\n", -1);
	for (i = 0; lines[i] != NULL; i++) {
		if (!audit_parse(lines[i], &entry))
			continue;
		if (porcelain)
			puts(lines[i] + strlen("#audit "));
		else
			audit_print(&entry);
	}
	g_strfreev(lines);
	answer_release(&a);
	return 0;
}
