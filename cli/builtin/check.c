#include <stdio.h>

#include "cli/builtin.h"
#include "config/catalog_ini.h"

int
cmd_check(int argc, char **argv)
{
	struct catalog *c;
	GError *error = NULL;
	char err[512];
	gchar *text;
	gsize len;

	if (argc != 2)
		return builtin_usage("check");
	if (!g_file_get_contents(argv[1], &text, &len, &error)) {
		fprintf(stderr, "fatal: %s\n", error->message);
		g_error_free(error);
		return EXIT_FATAL;
	}
	c = catalog_ini_parse(argv[1], text, len, err, sizeof(err));
	g_free(text);
	if (c == NULL) {
		fprintf(stderr, "%s\n", err);
		return EXIT_NEGATIVE;
	}
	catalog_destroy(c);
	puts("ok");
	return 0;
}
