#include <ini.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "config/ini.h"

/*
 * Bytes of a line with its newline.  inih reads lines into a buffer of 200
 * bytes and would take the rest of a longer one for another line.
 */
#define MAX_LINE_BYTES 190

bool
ini_error(
    struct ini_parser *ini, int line, const char *hint, const char *fmt, ...)
{
	size_t used;
	va_list ap;

	if (ini->err[0] != '\0')
		return false;
	used = snprintf(ini->err, sizeof(ini->err), "error: ");
	va_start(ap, fmt);
	used += vsnprintf(ini->err + used, sizeof(ini->err) - used, fmt, ap);
	va_end(ap);
	if (used < sizeof(ini->err))
		snprintf(ini->err + used, sizeof(ini->err) - used,
		    " (%s, line %d)\nhint: %s", ini->name, line, hint);
	return false;
}

/* inih does not report a section without values, so sections are found here. */
static void
report_section(struct ini_parser *ini, const char *line)
{
	char name[256];
	size_t len = strcspn(line, "]");

	if (line[0] != '[' || line[len] != ']' || len > sizeof(name) ||
	    ini->err[0] != '\0')
		return;
	memcpy(name, line + 1, len - 1);
	name[len - 1] = '\0';
	if (ini->section != NULL)
		ini->section(ini, name);
}

static bool
is_comment(const char *line)
{
	return line[0] == '#' || line[0] == ';';
}

/*
 * Reads a line for inih, as fgets() would, and counts it.  A comment is cut
 * to its first character, as it may be longer than inih's buffer.
 */
static char *
next_line(char *buf, int size, void *stream)
{
	struct ini_parser *ini = stream;
	const char *end;
	size_t len, copy;

	if (ini->left == 0)
		return NULL;
	end = memchr(ini->text, '\n', ini->left);
	len = end != NULL ? (size_t)(end - ini->text) + 1 : ini->left;
	copy = len < (size_t)size ? len : (size_t)size - 1;
	memcpy(buf, ini->text, copy);
	buf[copy] = '\0';
	if (is_comment(buf))
		buf[1] = '\0';
	ini->text += len;
	ini->left -= len;
	ini->line++;
	report_section(ini, buf);
	return buf;
}

static int
on_value(void *user, const char *section, const char *name, const char *value)
{
	struct ini_parser *ini = user;

	return ini->err[0] == '\0' && ini->value(ini, section, name, value);
}

static int
parse_all(struct ini_parser *ini)
{
	return ini_parse_stream(next_line, ini, on_value, ini);
}

static bool
check_lines(struct ini_parser *ini, const char *text, size_t len)
{
	const char *end;
	int line = 1;
	size_t n;

	for (; len > 0; line++) {
		end = memchr(text, '\n', len);
		n = end != NULL ? (size_t)(end - text) + 1 : len;
		if (n > MAX_LINE_BYTES && !is_comment(text))
			return ini_error(ini, line,
			    "keep lines under 190 bytes",
			    "line of %zu bytes is too long", n);
		if (memchr(text, '\0', n) != NULL)
			return ini_error(ini, line, "remove the byte",
			    "line contains a NUL byte");
		text += n;
		len -= n;
	}
	return true;
}

bool
ini_read(struct ini_parser *ini, const char *text, size_t len)
{
	int ret;

	ini->text = text;
	ini->left = len;
	ini->line = 0;
	ini->err[0] = '\0';
	if (!check_lines(ini, text, len))
		return false;
	ret = parse_all(ini);
	if (ret > 0)
		ini_error(ini, ret,
		    "write '[section]', 'name = value' or '# comment'",
		    "line is not INI syntax");
	else if (ret < 0)
		ini_error(ini, 0, "try again", "cannot read the text");
	return ini->err[0] == '\0';
}
