/*
 * lines - the difference between two texts, line by line
 *
 *	if (lines_diff(before, after, stdout))
 *		puts("they differ");
 */
#ifndef CLI_LINES_H
#define CLI_LINES_H

#include <stdbool.h>
#include <stdio.h>

/*
 * Print "-LINE" for each line that only before has and "+LINE" for each that
 * only after has.  Of texts that are too long to compare by line, only the
 * fact that they differ is printed.  Returns whether they differ.
 */
bool lines_diff(const char *before, const char *after, FILE *);

#endif
