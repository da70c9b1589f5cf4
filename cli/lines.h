/*
 * lines - the difference between two texts, line by line
 *
 *	if (lines_diff(before, after, stdout)) puts("they differ");
 */
#ifndef CLI_LINES_H
#define CLI_LINES_H

#include <stdbool.h>
#include <stdio.h>

/* Print "-line" for what went and "+line" for what came; returns whether there
 * were any. */
bool lines_diff(const char *before, const char *after, FILE *);

#endif
