#include <glib.h>
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

/* Add the elements of a comma-separated list, in lower case, to a set. */
static void
add_elements(GHashTable *set, const char *list)
{
	size_t n;

	while (*list != '\0') {
		list += strspn(list, ", \t");
		n = strcspn(list, ", \t");
		if (n > 0)
			g_hash_table_add(set, g_ascii_strdown(list, (gssize)n));
		list += n;
	}
}

/*
 * The names of the headers that concern the connection only, by Connection
 * headers; NULL: none.  A set, since both may be as many as fit into a head.
 */
static GHashTable *
connection_options_create(const struct http_message *m)
{
	GHashTable *set = NULL;
	int i;

	if (http_message_field(m, "Connection") == NULL)
		return NULL;
	set = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < m->nfields; i++) {
		if (strcasecmp(http_message_field_name(m, i), "Connection") ==
		    0)
			add_elements(set, http_message_field_value(m, i));
	}
	return set;
}

static bool
is_connection_option(GHashTable *options, const char *name)
{
	char *lower;
	bool found;

	if (options == NULL)
		return false;
	lower = g_ascii_strdown(name, -1);
	found = g_hash_table_contains(options, lower);
	g_free(lower);
	return found;
}

void
dialect_copy_headers(const struct http_message *m,
    bool (*is_forwarded)(const char *name, const char *value),
    struct buffer *out)
{
	GHashTable *options = connection_options_create(m);
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
		    is_connection_option(options, name))
			continue;
		at = stpcpy(at, name);
		at = stpcpy(at, ": ");
		at = stpcpy(at, value);
		at = stpcpy(at, "\r\n");
	}
	out->len = (size_t)(at - out->data);
	if (options != NULL)
		g_hash_table_destroy(options);
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
