#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "daemon/http_message.h"

#define INITIAL_TEXT_BYTES 1024 /* first allocation for a message's text */
#define INITIAL_FIELDS 16 /* the same for its header lines */
/* No request asks for another protocol. */
#define STATUS_SWITCHING_PROTOCOLS 101
/* Tells the library at the end of the head that there is no body. */
#define SKIP_BODY 1

/* Enlarge an allocation to at least want bytes by doubling its capacity. */
static void
grow(char **data, size_t *cap, size_t want, size_t initial)
{
	size_t n = *cap != 0 ? *cap : initial;

	while (n < want)
		n *= 2;
	if (n == *cap)
		return;
	*data = realloc(*data, n);
	if (*data == NULL)
		abort();
	*cap = n;
}

static void
text_add(struct http_message *m, const char *at, size_t len)
{
	grow(&m->text, &m->text_cap, m->text_len + len + 1, INITIAL_TEXT_BYTES);
	memcpy(m->text + m->text_len, at, len);
	m->text_len += len;
}

static void
text_terminate(struct http_message *m)
{
	text_add(m, "", 1);
}

/* Add a header line, whose name comes next. */
static void
field_add(struct http_message *m)
{
	if (m->nfields == m->fields_cap) {
		m->fields_cap =
		    m->fields_cap > 0 ? 2 * m->fields_cap : INITIAL_FIELDS;
		m->fields = reallocarray(
		    m->fields, (size_t)m->fields_cap, sizeof(m->fields[0]));
		if (m->fields == NULL)
			abort();
	}
	m->fields[m->nfields].name_offset = (uint32_t)m->text_len;
	m->fields[m->nfields].value_offset = 0;
	m->nfields++;
}

static struct http_reader *
reader_of(struct http_parser *p)
{
	return p->data;
}

static int
on_url(struct http_parser *p, const char *at, size_t len)
{
	text_add(&reader_of(p)->msg, at, len);
	return 0;
}

/* End a header's value, which the white space after it is no part of. */
static void
terminate_value(struct http_reader *r)
{
	struct http_message *m = &r->msg;
	uint32_t start = m->fields[m->nfields - 1].value_offset;

	while (m->text_len > start && (m->text[m->text_len - 1] == ' ' ||
					  m->text[m->text_len - 1] == '\t'))
		m->text_len--;
	text_terminate(m);
}

/* Add a NUL after the last text, such as the URL, unless it has one. */
static void
terminate_last_text(struct http_reader *r)
{
	if (r->msg.text_len > 0 && r->msg.text[r->msg.text_len - 1] != '\0')
		text_terminate(&r->msg);
}

static int
on_field(struct http_parser *p, const char *at, size_t len)
{
	struct http_reader *r = reader_of(p);
	struct http_message *m = &r->msg;

	/* Trailers are parsed but not kept. */
	if (r->state != HTTP_READER_HEAD)
		return 0;
	if (r->in_value || m->nfields == 0) {
		/* An empty value has added no byte; it still needs its NUL. */
		if (r->in_value)
			terminate_value(r);
		else
			terminate_last_text(r);
		field_add(m);
		r->in_value = false;
	}
	text_add(m, at, len);
	return 0;
}

static int
on_value(struct http_parser *p, const char *at, size_t len)
{
	struct http_reader *r = reader_of(p);
	struct http_message *m = &r->msg;

	if (r->state != HTTP_READER_HEAD)
		return 0;
	if (!r->in_value) {
		text_terminate(m);
		m->fields[m->nfields - 1].value_offset = (uint32_t)m->text_len;
		r->in_value = true;
	}
	text_add(m, at, len);
	return 0;
}

/*
 * Whether a response ends with its head, whatever its headers say (RFC 9112,
 * 6.3).
 */
static bool
has_no_body(const struct http_parser *p, const struct http_reader *r)
{
	return r->no_body || p->status_code < 200 || p->status_code == 204 ||
	       p->status_code == 304;
}

/* Whether a response's body ends before its connection does. */
static bool
has_known_length(const struct http_parser *p)
{
	return (p->flags & (F_CHUNKED | F_CONTENTLENGTH)) != 0;
}

/* Whether header i has that name; most names differ in their first letters. */
static bool
field_has_name(const struct http_message *m, int i, const char *name)
{
	const char *field = http_message_field_name(m, i);

	return tolower((unsigned char)field[0]) ==
		   tolower((unsigned char)name[0]) &&
	       strcasecmp(field, name) == 0;
}

/* How many header lines with that name there are. */
static int
count_fields(const struct http_message *m, const char *name)
{
	int i, n = 0;

	for (i = 0; i < m->nfields; i++)
		n += field_has_name(m, i, name);
	return n;
}

/* Whether a message's only transfer coding, if it has one, is "chunked". */
static bool
has_known_coding(const struct http_parser *p, const struct http_message *m)
{
	const char *coding = http_message_field(m, "Transfer-Encoding");

	if (coding == NULL)
		return true;
	if (count_fields(m, "Transfer-Encoding") > 1)
		return false;
	/* HTTP/1.0 has no transfer codings (RFC 9112, 6.1). */
	return p->http_minor > 0 && strcasecmp(coding, "chunked") == 0 &&
	       (p->flags & F_CONTENTLENGTH) == 0;
}

/*
 * Refuse a body that will be too long with the bytes that are announced, by a
 * length or the size of a chunk.  Returns what a parser callback does.
 */
static int
check_announced(struct http_parser *p)
{
	struct http_reader *r = reader_of(p);
	size_t room = r->limits.body_bytes - r->body.len;

	if (p->content_length <= room)
		return 0;
	r->state = HTTP_READER_BODY_TOO_LONG;
	return -1;
}

static int
on_headers_complete(struct http_parser *p)
{
	struct http_reader *r = reader_of(p);
	struct http_message *m = &r->msg;
	const char *expect;

	if (r->in_value)
		terminate_value(r);
	else
		text_terminate(m);
	m->method = http_method_str(p->method);
	m->status = p->type == HTTP_RESPONSE ? (int)p->status_code : 0;
	r->state = HTTP_READER_BODY;
	if (!has_known_coding(p, m))
		return -1;
	if (p->type == HTTP_REQUEST) {
		p->upgrade = 0;
		if (count_fields(m, "Host") > 1)
			return -1;
		expect = http_message_field(m, "Expect");
		m->expects_continue =
		    expect != NULL && strcasecmp(expect, "100-continue") == 0;
		return p->flags & F_CONTENTLENGTH ? check_announced(p) : 0;
	}
	if (!http_is_status(p->status_code) ||
	    p->status_code == STATUS_SWITCHING_PROTOCOLS)
		return -1;
	if (has_no_body(p, r))
		return SKIP_BODY;
	m->until_close = !has_known_length(p);
	return p->flags & F_CONTENTLENGTH ? check_announced(p) : 0;
}

static int
on_chunk_header(struct http_parser *p)
{
	reader_of(p)->nchunks++;
	return check_announced(p);
}

static int
on_body(struct http_parser *p, const char *at, size_t len)
{
	struct http_reader *r = reader_of(p);

	if (len > r->limits.body_bytes - r->body.len) {
		r->state = HTTP_READER_BODY_TOO_LONG;
		return -1;
	}
	body_append(&r->body, at, len);
	return 0;
}

static int
on_message_complete(struct http_parser *p)
{
	struct http_reader *r = reader_of(p);

	/* The library overlooks an element behind a tab. */
	r->msg.keep_alive = http_should_keep_alive(p) != 0 &&
			    !http_message_lists(&r->msg, "Connection", "close");
	r->msg.body = body_join(&r->body, &r->msg.body_len);
	r->state = HTTP_READER_COMPLETE;
	http_parser_pause(p, 1);
	return 0;
}

static const struct http_parser_settings parser_callbacks = {
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_headers_complete,
    .on_chunk_header = on_chunk_header,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

static void
begin_message(struct http_reader *r, enum http_parser_type type)
{
	http_parser_init(&r->parser, type);
	r->parser.data = r;
	http_scan_init(&r->scan,
	    type == HTTP_REQUEST ? HTTP_SCAN_REQUEST : HTTP_SCAN_RESPONSE);
}

void
http_reader_init(struct http_reader *r, enum http_reader_kind kind,
    const struct http_limits *limits)
{
	memset(r, 0, sizeof(*r));
	r->limits = *limits;
	begin_message(
	    r, kind == HTTP_READ_REQUEST ? HTTP_REQUEST : HTTP_RESPONSE);
}

void
http_reader_release(struct http_reader *r)
{
	body_release(&r->body);
	http_message_release(&r->msg);
}

static bool
is_reading(const struct http_reader *r)
{
	return r->state == HTTP_READER_HEAD || r->state == HTTP_READER_BODY;
}

/* Have the library parse bytes; returns how many it has used. */
static size_t
parse(struct http_reader *r, const char *data, size_t len)
{
	size_t used =
	    http_parser_execute(&r->parser, &parser_callbacks, data, len);
	enum http_errno error = HTTP_PARSER_ERRNO(&r->parser);

	if (r->parser.upgrade)
		r->state = HTTP_READER_MALFORMED;
	if (is_reading(r) && error != HPE_OK)
		r->state = error == HPE_HEADER_OVERFLOW
			       ? HTTP_READER_HEAD_TOO_LONG
			       : HTTP_READER_MALFORMED;
	return used;
}

/* Parse bytes as far as the scan finds them valid; returns how many. */
static size_t
parse_scanned(struct http_reader *r, const char *data, size_t len)
{
	size_t valid = http_scan_feed(&r->scan, data, len);
	size_t used = valid > 0 ? parse(r, data, valid) : 0;

	if (is_reading(r) && r->scan.state == HTTP_SCAN_INVALID)
		r->state = HTTP_READER_MALFORMED;
	return used;
}

/* Parse bytes up to the end of the head. */
static size_t
parse_head(struct http_reader *r, const char *data, size_t len)
{
	size_t used = parse_scanned(r, data, len);

	r->head_bytes += used;
	if (r->head_bytes > r->limits.header_bytes)
		r->state = HTTP_READER_HEAD_TOO_LONG;
	else if (r->state == HTTP_READER_HEAD &&
		 r->scan.state == HTTP_SCAN_DONE)
		r->state = HTTP_READER_MALFORMED; /* the library disagrees */
	return used;
}

/* Parse bytes of the body, up to its end. */
static size_t
parse_body(struct http_reader *r, const char *data, size_t len)
{
	size_t used;

	if ((r->parser.flags & F_CHUNKED) == 0)
		return parse(r, data, len);
	if (r->scan.state == HTTP_SCAN_DONE)
		http_scan_init(&r->scan, HTTP_SCAN_CHUNKS);
	used = parse_scanned(r, data, len);
	if (r->state == HTTP_READER_BODY && r->scan.state == HTTP_SCAN_DONE)
		r->state = HTTP_READER_MALFORMED; /* the library disagrees */
	return used;
}

size_t
http_reader_feed(struct http_reader *r, const char *data, size_t len)
{
	size_t used = 0;

	if (!is_reading(r) || len == 0)
		return 0;
	r->started = true;
	if (r->state == HTTP_READER_HEAD)
		used = parse_head(r, data, len);
	if (r->state == HTTP_READER_BODY && used < len)
		used += parse_body(r, data + used, len - used);
	return used;
}

bool
http_reader_is_chunked(const struct http_reader *r)
{
	return r->state == HTTP_READER_BODY &&
	       (r->parser.flags & F_CHUNKED) != 0;
}

void
http_reader_eof(struct http_reader *r)
{
	if (r->state == HTTP_READER_BODY)
		http_parser_execute(&r->parser, &parser_callbacks, NULL, 0);
}

void
http_reader_next(struct http_reader *r)
{
	enum http_parser_type type = (enum http_parser_type)r->parser.type;

	http_message_release(&r->msg);
	body_release(&r->body);
	begin_message(r, type);
	r->state = HTTP_READER_HEAD;
	r->head_bytes = 0;
	r->started = false;
	r->in_value = false;
}

void
http_message_take_body(struct http_message *m, struct buffer *to)
{
	buffer_adopt(to, m->body, m->body_len);
	m->body = NULL;
	m->body_len = 0;
}

size_t
http_reader_memory(const struct http_reader *r)
{
	return http_message_memory(&r->msg) + body_memory(&r->body);
}

size_t
http_message_memory(const struct http_message *m)
{
	return m->text_cap + (size_t)m->fields_cap * sizeof(m->fields[0]) +
	       m->body_len;
}

const char *
http_message_field_name(const struct http_message *m, int i)
{
	return m->text + m->fields[i].name_offset;
}

const char *
http_message_field_value(const struct http_message *m, int i)
{
	return m->fields[i].value_offset != 0
		   ? m->text + m->fields[i].value_offset
		   : "";
}

const char *
http_message_url(const struct http_message *m)
{
	return m->text != NULL ? m->text + m->url_offset : "";
}

const char *
http_message_field(const struct http_message *m, const char *name)
{
	int i;

	for (i = 0; i < m->nfields; i++) {
		if (field_has_name(m, i, name))
			return http_message_field_value(m, i);
	}
	return NULL;
}

/* Whether a comma-separated list holds an element, in any case. */
static bool
list_contains(const char *list, const char *element)
{
	size_t len = strlen(element), n;

	while (*list != '\0') {
		list += strspn(list, ", \t");
		n = strcspn(list, ", \t");
		if (n == len && strncasecmp(list, element, n) == 0)
			return true;
		list += n;
	}
	return false;
}

bool
http_message_lists(
    const struct http_message *m, const char *name, const char *element)
{
	int i;

	for (i = 0; i < m->nfields; i++) {
		if (field_has_name(m, i, name) &&
		    list_contains(http_message_field_value(m, i), element))
			return true;
	}
	return false;
}

void
http_message_move(struct http_message *dst, struct http_message *src)
{
	*dst = *src;
	memset(src, 0, sizeof(*src));
}

void
http_message_release(struct http_message *m)
{
	free(m->text);
	free(m->fields);
	free(m->body);
	memset(m, 0, sizeof(*m));
}

const char *
http_status_text(int status)
{
	const char *text = http_status_str((enum http_status)status);

	return text != NULL ? text : "Unknown";
}
