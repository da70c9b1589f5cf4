#include <glib.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "cli/lines.h"

#define MAX_CELLS (16u << 20) /* of the table of common lines */

struct texts {
	gchar **a, **b;
	size_t na, nb;
	uint32_t *common; /* lengths of the common tails, (na+1)*(nb+1) */
};

static uint32_t *
cell(struct texts *t, size_t i, size_t j)
{
	return &t->common[i * (t->nb + 1) + j];
}

/* Longest common subsequence, from the end to the beginning. */
static void
fill(struct texts *t)
{
	size_t i, j;

	for (i = t->na; i-- > 0;) {
		for (j = t->nb; j-- > 0;) {
			if (strcmp(t->a[i], t->b[j]) == 0)
				*cell(t, i, j) = *cell(t, i + 1, j + 1) + 1;
			else
				*cell(t, i, j) =
				    MAX(*cell(t, i + 1, j), *cell(t, i, j + 1));
		}
	}
}

static bool
print(struct texts *t, FILE *out)
{
	size_t i = 0, j = 0;
	bool any = false;

	while (i < t->na || j < t->nb) {
		if (i < t->na && j < t->nb && strcmp(t->a[i], t->b[j]) == 0) {
			i++;
			j++;
			continue;
		}
		any = true;
		if (j == t->nb ||
		    (i < t->na && *cell(t, i + 1, j) >= *cell(t, i, j + 1)))
			fprintf(out, "-%s\n", t->a[i++]);
		else
			fprintf(out, "+%s\n", t->b[j++]);
	}
	return any;
}

/* What follows the last newline is a line only if it is not empty. */
static gchar **
split(const char *text)
{
	gchar **lines = g_strsplit(text, "\n", -1);
	guint n = g_strv_length(lines);

	if (n > 0 && lines[n - 1][0] == '\0') {
		g_free(lines[n - 1]);
		lines[n - 1] = NULL;
	}
	return lines;
}

bool
lines_diff(const char *before, const char *after, FILE *out)
{
	struct texts t = {0};
	bool any;

	t.a = split(before);
	t.b = split(after);
	t.na = g_strv_length(t.a);
	t.nb = g_strv_length(t.b);
	if ((t.na + 1) * (t.nb + 1) > MAX_CELLS) {
		any = strcmp(before, after) != 0;
		if (any)
			fputs("too long to compare by line\n", out);
	} else {
		t.common =
		    g_malloc0_n((t.na + 1) * (t.nb + 1), sizeof(uint32_t));
		fill(&t);
		any = print(&t, out);
		g_free(t.common);
	}
	g_strfreev(t.a);
	g_strfreev(t.b);
	return any;
}
