#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "daemon/dialect.h"

void
dialect_add_header(struct evbuffer *out, const char *name, const char *value)
{
	evbuffer_add(out, name, strlen(name));
	evbuffer_add(out, ": ", 2);
	evbuffer_add(out, value, strlen(value));
	evbuffer_add(out, "\r\n", 2);
}

void
dialect_copy_headers(const struct http_message *m,
    bool (*is_forwarded)(const char *name, const char *value),
    struct buffer *out)
{
	bool has_options = http_message_field(m, "Connection") != NULL;
	const char *name, *value;
	size_t len = 0;
	char *at;
	int i;

	for (i = 0; i < m->nfields; i++)
		len += strlen(http_message_field_name(m, i)) +
		       strlen(http_message_field_value(m, i)) + 4;
	buffer_release(out);
	out->data = at = xcalloc(1, len + 1);
	for (i = 0; i < m->nfields; i++) {
		name = http_message_field_name(m, i);
		value = http_message_field_value(m, i);
		if (!is_forwarded(name, value) ||
		    (has_options && http_message_lists(m, "Connection", name)))
			continue;
		at = stpcpy(at, name);
		at = stpcpy(at, ": ");
		at = stpcpy(at, value);
		at = stpcpy(at, "\r\n");
	}
	out->len = (size_t)(at - out->data);
}

bool
dialect_parse_number(const char *text, uint64_t *n)
{
	char *end;

	if (text[0] < '0' || text[0] > '9')
		return false;
	*n = strtoull(text, &end, 10);
	return *end == '\0';
}

bool
dialect_is_hop_by_hop(const char *name)
{
	static const char *const names[] = {"Connection", "Content-Length",
	    "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	    "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding",
	    "Upgrade"};
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (strcasecmp(name, names[i]) == 0)
			return true;
	}
	return false;
}

const char *
dialect_find_credentials(const char *value, const char *scheme)
{
	size_t len = strlen(scheme);

	if (value == NULL || strncasecmp(value, scheme, len) != 0 ||
	    value[len] != ' ')
		return NULL;
	value += len + strspn(value + len, " ");
	return value[0] != '\0' ? value : NULL;
}
