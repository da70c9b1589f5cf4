#include <glib.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "cli/line_diff.h"

#define MAX_CELLS (16u << 20) /* bounds the table to 64 MiB */

/*
 * Two texts as lines, and a table of (na + 1) * (nb + 1) cells.  Cell (i, j)
 * is the length of the longest common subsequence of the lines of a from i
 * on and those of b from j on.
 */
struct line_diff {
	gchar **a, **b;
	size_t na, nb;
	uint32_t *common;
};

static uint32_t *
table_cell(struct line_diff *t, size_t i, size_t j)
{
	return &t->common[i * (t->nb + 1) + j];
}

/* Fills the table from the ends of the texts to their beginnings. */
static void
fill_table(struct line_diff *t)
{
	size_t i, j;

	for (i = t->na; i-- > 0;) {
		for (j = t->nb; j-- > 0;) {
			if (strcmp(t->a[i], t->b[j]) == 0)
				*table_cell(t, i, j) =
				    *table_cell(t, i + 1, j + 1) + 1;
			else
				*table_cell(t, i, j) =
				    MAX(*table_cell(t, i + 1, j),
					*table_cell(t, i, j + 1));
		}
	}
}

static bool
print_differences(struct line_diff *t, FILE *out)
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
		if (j == t->nb || (i < t->na && *table_cell(t, i + 1, j) >=
						    *table_cell(t, i, j + 1)))
			fprintf(out, "-%s\n", t->a[i++]);
		else
			fprintf(out, "+%s\n", t->b[j++]);
	}
	return any;
}

/* Text after the last newline is a line only if it is not empty. */
static gchar **
split_lines(const char *text)
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
line_diff_print(const char *before, const char *after, FILE *out)
{
	struct line_diff t = {0};
	bool any;

	t.a = split_lines(before);
	t.b = split_lines(after);
	t.na = g_strv_length(t.a);
	t.nb = g_strv_length(t.b);
	if ((t.na + 1) * (t.nb + 1) > MAX_CELLS) {
		any = strcmp(before, after) != 0;
		if (any)
			fputs(
			    "texts differ; too long to compare by line\n", out);
	} else {
		t.common =
		    g_malloc0_n((t.na + 1) * (t.nb + 1), sizeof(uint32_t));
		fill_table(&t);
		any = print_differences(&t, out);
		g_free(t.common);
	}
	g_strfreev(t.a);
	g_strfreev(t.b);
	return any;
}
