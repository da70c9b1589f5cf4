/*
 * lines - the difference between two texts, line by line
 *
 *	if (lines_diff(old, new, stdout)) puts("they differ");
 */
#ifndef CLI_LINES_H
#define CLI_LINES_H

#include <stdbool.h>
#include <stdio.h>

/* Print "-old" and "+new" lines; returns whether there were any. */
bool lines_diff(const char *old, const char *new, FILE *);

#endif
