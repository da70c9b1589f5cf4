#include "wire/http_syntax.h"

#define STATUS_DIGITS 3

static const char version_start[] = "HTTP/1.";

static bool
is_digit(unsigned char c)
{
	return c >= '0' && c <= '9';
}

static bool
is_visible(unsigned char c)
{
	return c > ' ' && c != 0x7f;
}

/* Part of a reason phrase or of a field value. */
static bool
is_text(unsigned char c)
{
	return c == ' ' || c == '\t' || is_visible(c);
}

static bool
is_token(unsigned char c)
{
	switch (c) {
	case '!':
	case '#':
	case '$':
	case '%':
	case '&':
	case '\'':
	case '*':
	case '+':
	case '-':
	case '.':
	case '^':
	case '_':
	case '`':
	case '|':
	case '~':
		return true;
	default:
		return is_digit(c) || (c >= 'A' && c <= 'Z') ||
		       (c >= 'a' && c <= 'z');
	}
}

/* Returns the value of a hexadecimal digit, or -1. */
static int
hex_value(unsigned char c)
{
	if (is_digit(c))
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

/* Returns next if the byte is the wanted one. */
static enum http_scan_state
expect(unsigned char c, unsigned char want, enum http_scan_state next)
{
	return c == want ? next : HTTP_SCAN_INVALID;
}

/* Matches the start of the version, which ends before its last digit. */
static enum http_scan_state
scan_version_start(struct http_scan *s, unsigned char c,
    enum http_scan_state same, enum http_scan_state next)
{
	if (c != (unsigned char)version_start[s->matched])
		return HTTP_SCAN_INVALID;
	if (++s->matched < sizeof(version_start) - 1)
		return same;
	s->matched = 0;
	return next;
}

static enum http_scan_state
scan_request(struct http_scan *s, unsigned char c)
{
	(void)s;
	/* A server ignores empty lines before a request (RFC 9112, 2.2). */
	if (c == '\r')
		return HTTP_SCAN_EMPTY_LINE_END;
	return is_token(c) ? HTTP_SCAN_METHOD : HTTP_SCAN_INVALID;
}

static enum http_scan_state
scan_empty_line_end(struct http_scan *s, unsigned char c)
{
	(void)s;
	return expect(c, '\n', HTTP_SCAN_REQUEST);
}

static enum http_scan_state
scan_method(struct http_scan *s, unsigned char c)
{
	(void)s;
	if (is_token(c))
		return HTTP_SCAN_METHOD;
	return expect(c, ' ', HTTP_SCAN_TARGET_START);
}

static enum http_scan_state
scan_target_start(struct http_scan *s, unsigned char c)
{
	(void)s;
	return is_visible(c) ? HTTP_SCAN_TARGET : HTTP_SCAN_INVALID;
}

static enum http_scan_state
scan_target(struct http_scan *s, unsigned char c)
{
	(void)s;
	if (is_visible(c))
		return HTTP_SCAN_TARGET;
	return expect(c, ' ', HTTP_SCAN_VERSION);
}

static enum http_scan_state
scan_version(struct http_scan *s, unsigned char c)
{
	return scan_version_start(
	    s, c, HTTP_SCAN_VERSION, HTTP_SCAN_VERSION_MINOR);
}

static enum http_scan_state
scan_version_minor(struct http_scan *s, unsigned char c)
{
	(void)s;
	return is_digit(c) ? HTTP_SCAN_REQUEST_LINE_END : HTTP_SCAN_INVALID;
}

static enum http_scan_state
scan_request_line_end(struct http_scan *s, unsigned char c)
{
	(void)s;
	return expect(c, '\r', HTTP_SCAN_LINE_END);
}

static enum http_scan_state
scan_response(struct http_scan *s, unsigned char c)
{
	return scan_version_start(
	    s, c, HTTP_SCAN_RESPONSE, HTTP_SCAN_RESPONSE_MINOR);
}

static enum http_scan_state
scan_response_minor(struct http_scan *s, unsigned char c)
{
	(void)s;
	return is_digit(c) ? HTTP_SCAN_STATUS_SPACE : HTTP_SCAN_INVALID;
}

static enum http_scan_state
scan_status_space(struct http_scan *s, unsigned char c)
{
	(void)s;
	return expect(c, ' ', HTTP_SCAN_STATUS);
}

static enum http_scan_state
scan_status(struct http_scan *s, unsigned char c)
{
	if (!is_digit(c))
		return HTTP_SCAN_INVALID;
	return ++s->matched < STATUS_DIGITS ? HTTP_SCAN_STATUS
					    : HTTP_SCAN_STATUS_END;
}

static enum http_scan_state
scan_status_end(struct http_scan *s, unsigned char c)
{
	(void)s;
	if (c == ' ')
		return HTTP_SCAN_REASON;
	/* Many servers send no space before an absent reason phrase. */
	return expect(c, '\r', HTTP_SCAN_LINE_END);
}

static enum http_scan_state
scan_reason(struct http_scan *s, unsigned char c)
{
	(void)s;
	if (is_text(c))
		return HTTP_SCAN_REASON;
	return expect(c, '\r', HTTP_SCAN_LINE_END);
}

static enum http_scan_state
scan_line_end(struct http_scan *s, unsigned char c)
{
	(void)s;
	return expect(c, '\n', HTTP_SCAN_LINE_START);
}

/*
 * White space here would be a folded line, or one that other parsers skip
 * (RFC 9112, 2.2 and 5.2).
 */
static enum http_scan_state
scan_line_start(struct http_scan *s, unsigned char c)
{
	(void)s;
	if (c == '\r')
		return HTTP_SCAN_FIELDS_END;
	return is_token(c) ? HTTP_SCAN_FIELD_NAME : HTTP_SCAN_INVALID;
}

static enum http_scan_state
scan_field_name(struct http_scan *s, unsigned char c)
{
	(void)s;
	if (is_token(c))
		return HTTP_SCAN_FIELD_NAME;
	return expect(c, ':', HTTP_SCAN_FIELD_VALUE);
}

static enum http_scan_state
scan_field_value(struct http_scan *s, unsigned char c)
{
	(void)s;
	if (is_text(c))
		return HTTP_SCAN_FIELD_VALUE;
	return expect(c, '\r', HTTP_SCAN_LINE_END);
}

static enum http_scan_state
scan_fields_end(struct http_scan *s, unsigned char c)
{
	(void)s;
	return expect(c, '\n', HTTP_SCAN_DONE);
}

/* Adds a digit to the chunk's size. */
static enum http_scan_state
add_size_digit(struct http_scan *s, unsigned char c)
{
	if (hex_value(c) < 0 || s->chunk_bytes > UINT64_MAX >> 4)
		return HTTP_SCAN_INVALID;
	s->chunk_bytes = s->chunk_bytes << 4 | (uint64_t)hex_value(c);
	return HTTP_SCAN_CHUNK_SIZE;
}

static enum http_scan_state
scan_chunks(struct http_scan *s, unsigned char c)
{
	s->chunk_bytes = 0;
	return add_size_digit(s, c);
}

static enum http_scan_state
scan_chunk_size(struct http_scan *s, unsigned char c)
{
	switch (c) {
	case '\r':
		return HTTP_SCAN_CHUNK_SIZE_END;
	case ';':
		return HTTP_SCAN_CHUNK_EXTENSION;
	case ' ':
	case '\t':
		return HTTP_SCAN_CHUNK_SPACE;
	default:
		return add_size_digit(s, c);
	}
}

/* White space may stand before an extension only. */
static enum http_scan_state
scan_chunk_space(struct http_scan *s, unsigned char c)
{
	(void)s;
	if (c == ' ' || c == '\t')
		return HTTP_SCAN_CHUNK_SPACE;
	return expect(c, ';', HTTP_SCAN_CHUNK_EXTENSION);
}

static enum http_scan_state
scan_chunk_extension(struct http_scan *s, unsigned char c)
{
	(void)s;
	if (is_text(c))
		return HTTP_SCAN_CHUNK_EXTENSION;
	return expect(c, '\r', HTTP_SCAN_CHUNK_SIZE_END);
}

static enum http_scan_state
scan_chunk_size_end(struct http_scan *s, unsigned char c)
{
	/* Trailers follow the last chunk, which is empty. */
	return expect(c, '\n',
	    s->chunk_bytes > 0 ? HTTP_SCAN_CHUNK_DATA : HTTP_SCAN_LINE_START);
}

static enum http_scan_state
scan_chunk_data(struct http_scan *s, unsigned char c)
{
	(void)c;
	return --s->chunk_bytes > 0 ? HTTP_SCAN_CHUNK_DATA
				    : HTTP_SCAN_CHUNK_DATA_END;
}

static enum http_scan_state
scan_chunk_data_end(struct http_scan *s, unsigned char c)
{
	(void)s;
	return expect(c, '\r', HTTP_SCAN_CHUNK_END);
}

static enum http_scan_state
scan_chunk_end(struct http_scan *s, unsigned char c)
{
	(void)s;
	return expect(c, '\n', HTTP_SCAN_CHUNKS);
}

static size_t
span_token(struct http_scan *s, const char *data, size_t len)
{
	size_t n = 0;

	(void)s;
	while (n < len && is_token((unsigned char)data[n]))
		n++;
	return n;
}

static size_t
span_text(struct http_scan *s, const char *data, size_t len)
{
	size_t n = 0;

	(void)s;
	while (n < len && is_text((unsigned char)data[n]))
		n++;
	return n;
}

static size_t
span_visible(struct http_scan *s, const char *data, size_t len)
{
	size_t n = 0;

	(void)s;
	while (n < len && is_visible((unsigned char)data[n]))
		n++;
	return n;
}

/* Counts all but the last byte of a chunk's data, which ends the state. */
static size_t
span_chunk_data(struct http_scan *s, const char *data, size_t len)
{
	uint64_t n = s->chunk_bytes - 1;

	(void)data;
	if (n > len)
		n = len;
	s->chunk_bytes -= n;
	return (size_t)n;
}

/* Each takes the next byte in a state and returns the state after it. */
static enum http_scan_state (*const steps[])(
    struct http_scan *, unsigned char) = {
    [HTTP_SCAN_REQUEST] = scan_request,
    [HTTP_SCAN_RESPONSE] = scan_response,
    [HTTP_SCAN_EMPTY_LINE_END] = scan_empty_line_end,
    [HTTP_SCAN_METHOD] = scan_method,
    [HTTP_SCAN_TARGET_START] = scan_target_start,
    [HTTP_SCAN_TARGET] = scan_target,
    [HTTP_SCAN_VERSION] = scan_version,
    [HTTP_SCAN_VERSION_MINOR] = scan_version_minor,
    [HTTP_SCAN_REQUEST_LINE_END] = scan_request_line_end,
    [HTTP_SCAN_RESPONSE_MINOR] = scan_response_minor,
    [HTTP_SCAN_STATUS_SPACE] = scan_status_space,
    [HTTP_SCAN_STATUS] = scan_status,
    [HTTP_SCAN_STATUS_END] = scan_status_end,
    [HTTP_SCAN_REASON] = scan_reason,
    [HTTP_SCAN_LINE_END] = scan_line_end,
    [HTTP_SCAN_LINE_START] = scan_line_start,
    [HTTP_SCAN_FIELD_NAME] = scan_field_name,
    [HTTP_SCAN_FIELD_VALUE] = scan_field_value,
    [HTTP_SCAN_FIELDS_END] = scan_fields_end,
    [HTTP_SCAN_CHUNKS] = scan_chunks,
    [HTTP_SCAN_CHUNK_SIZE] = scan_chunk_size,
    [HTTP_SCAN_CHUNK_SPACE] = scan_chunk_space,
    [HTTP_SCAN_CHUNK_EXTENSION] = scan_chunk_extension,
    [HTTP_SCAN_CHUNK_SIZE_END] = scan_chunk_size_end,
    [HTTP_SCAN_CHUNK_DATA] = scan_chunk_data,
    [HTTP_SCAN_CHUNK_DATA_END] = scan_chunk_data_end,
    [HTTP_SCAN_CHUNK_END] = scan_chunk_end,
};

void
http_scan_init(struct http_scan *s, enum http_scan_state first)
{
	s->state = first;
	s->matched = 0;
	s->chunk_bytes = 0;
}

static bool
is_over(const struct http_scan *s)
{
	return s->state >= HTTP_SCAN_DONE;
}

/* Each counts the next bytes that leave a state as it is; NULL: not known. */
static size_t (*const spans[])(struct http_scan *, const char *, size_t) = {
    [HTTP_SCAN_TARGET] = span_visible,
    [HTTP_SCAN_REASON] = span_text,
    [HTTP_SCAN_FIELD_NAME] = span_token,
    [HTTP_SCAN_FIELD_VALUE] = span_text,
    [HTTP_SCAN_CHUNK_EXTENSION] = span_text,
    [HTTP_SCAN_CHUNK_DATA] = span_chunk_data,
    [HTTP_SCAN_DONE] = NULL,
};

size_t
http_scan_feed(struct http_scan *s, const char *data, size_t len)
{
	size_t i = 0;

	while (i < len && !is_over(s)) {
		if (spans[s->state] != NULL)
			i += spans[s->state](s, data + i, len - i);
		if (i == len)
			break;
		s->state = steps[s->state](s, (unsigned char)data[i]);
		if (s->state != HTTP_SCAN_INVALID)
			i++;
	}
	return i;
}

bool
http_are_field_lines(const char *text, size_t len)
{
	struct http_scan s;

	http_scan_init(&s, HTTP_SCAN_LINE_START);
	return http_scan_feed(&s, text, len) == len &&
	       s.state == HTTP_SCAN_LINE_START;
}

bool
http_is_status(uint64_t n)
{
	return n >= 100 && n <= 599;
}

bool
http_is_final_status(uint64_t n)
{
	return http_is_status(n) && n >= 200;
}
