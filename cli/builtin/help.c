#include <stdio.h>

#include "cli/builtin.h"

int
cmd_help(int argc, char **argv)
{
	const struct builtin *b;
	int count, i;

	if (argc < 2) {
		b = builtin_table(&count);
		puts("usage: cranberryway NAME [arguments]\n");
		for (i = 0; i < count; i++)
			printf("    %-10s%s\n", b[i].name, b[i].summary);
		return 0;
	}
	b = builtin_find(argv[1]);
	if (b == NULL) {
		fprintf(stderr, "error: '%s' is not a subcommand\n", argv[1]);
		return EXIT_USAGE;
	}
	printf("cranberryway %s - %s\n\nusage: cranberryway %s\n\n%s\n",
	    b->name, b->summary, b->usage, b->description);
	return 0;
}
