/*
 * line_diff - the difference between two texts, line by line
 *
 *	if (line_diff_print(before, after, stdout))
 *		puts("they differ");
 */
#ifndef CLI_LINE_DIFF_H
#define CLI_LINE_DIFF_H

#include <stdbool.h>
#include <stdio.h>

/*
 * Print "-LINE" for each line that only before has and "+LINE" for each that
 * only after has.  Of texts that are too long to compare by line, only the
 * fact that they differ is printed.  Returns whether they differ.
 */
bool line_diff_print(const char *before, const char *after, FILE *);

#endif
