#include <event2/http.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/rows.h"

#define HEADER_VERSION "Version"

void
row_request_init(struct row_request *r)
{
	memset(r, 0, sizeof(*r));
	r->path = evbuffer_new();
	r->headers = evbuffer_new();
	r->body = evbuffer_new();
}

void
row_request_release(struct row_request *r)
{
	evbuffer_free(r->path);
	evbuffer_free(r->headers);
	evbuffer_free(r->body);
}

void
row_request_add_encoded(struct evbuffer *out, const char *text)
{
	char *encoded = evhttp_uriencode(text, -1, 0);

	if (encoded == NULL)
		abort();
	evbuffer_add(out, encoded, strlen(encoded));
	free(encoded);
}

static void
write_request(const struct msg *m, struct row_request *r)
{
	const struct row *row = &m->u.row;
	bool write = m->kind == MSG_ROW_WRITE;

	r->method = write ? "PUT" : "GET";
	evbuffer_add_printf(
	    r->path, "/%s?key=", row->key_is_prefix && !write ? "rows" : "row");
	row_request_add_encoded(r->path, row->key);
	if (!write)
		return;
	if (row->version == ROW_ANY_VERSION)
		evbuffer_add_printf(r->path, "&if=any");
	else
		evbuffer_add_printf(r->path, "&if=%" PRIu64, row->version);
	evbuffer_add(r->body, row->value.data, row->value.len);
}

static void
read_response(
    const struct msg *request, const struct http_message *m, struct row *row)
{
	const char *version = http_message_field(m, HEADER_VERSION);

	row->status = ROW_UNKNOWN;
	/* Without a length, a truncated row cannot be recognised. */
	if (m->until_close)
		return;
	switch (m->status) {
	case 200:
		row->status =
		    request->kind == MSG_ROW_WRITE ? ROW_WRITTEN : ROW_FOUND;
		break;
	case 404:
		row->status = ROW_ABSENT;
		break;
	case 409:
		row->status = ROW_CONFLICT;
		break;
	default:
		return;
	}
	row->version = version != NULL ? strtoull(version, NULL, 10) : 0;
	if (row->status == ROW_CONFLICT)
		buffer_release(&row->value); /* the body is not the row */
	else
		buffer_set(&row->value, m->body, m->body_len);
}

const struct row_protocol row_protocol_native = {
    "native", write_request, read_response};
