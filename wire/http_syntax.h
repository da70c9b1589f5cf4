/*
 * http_syntax - checks the syntax of HTTP/1.1 messages (RFC 9110, RFC 9112)
 *
 * The parser library is built to accept more than the RFCs allow.  Bytes are
 * scanned here before they reach it, so that whatever is no message is refused
 * and never read as one.
 *
 *	http_scan_init(&s, HTTP_SCAN_RESPONSE);
 *	valid = http_scan_feed(&s, data, len);
 *	if (s.state == HTTP_SCAN_INVALID)
 *		...the byte at data[valid] is not allowed there
 *	else if (s.state == HTTP_SCAN_DONE)
 *		...data[valid] is the first byte behind what was scanned
 *
 * A scan owns nothing and needs no release.
 */
#ifndef WIRE_HTTP_SYNTAX_H
#define WIRE_HTTP_SYNTAX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The state after the last byte; a scan begins in one of the first three. */
enum http_scan_state {
	HTTP_SCAN_REQUEST, /* the head of a request */
	HTTP_SCAN_RESPONSE, /* the head of a response */
	HTTP_SCAN_CHUNKS, /* a body in chunks, trailers included */
	HTTP_SCAN_EMPTY_LINE_END,
	HTTP_SCAN_METHOD,
	HTTP_SCAN_TARGET_START,
	HTTP_SCAN_TARGET,
	HTTP_SCAN_VERSION,
	HTTP_SCAN_VERSION_MINOR,
	HTTP_SCAN_REQUEST_LINE_END,
	HTTP_SCAN_RESPONSE_MINOR,
	HTTP_SCAN_STATUS_SPACE,
	HTTP_SCAN_STATUS,
	HTTP_SCAN_STATUS_END,
	HTTP_SCAN_REASON,
	HTTP_SCAN_LINE_END,
	HTTP_SCAN_LINE_START, /* a field line, or the end of the head */
	HTTP_SCAN_FIELD_NAME,
	HTTP_SCAN_FIELD_VALUE,
	HTTP_SCAN_FIELDS_END,
	HTTP_SCAN_CHUNK_SIZE,
	HTTP_SCAN_CHUNK_SPACE,
	HTTP_SCAN_CHUNK_EXTENSION,
	HTTP_SCAN_CHUNK_SIZE_END,
	HTTP_SCAN_CHUNK_DATA,
	HTTP_SCAN_CHUNK_DATA_END,
	HTTP_SCAN_CHUNK_END,
	/* The states from here on are final. */
	HTTP_SCAN_DONE,
	HTTP_SCAN_INVALID,
};

struct http_scan {
	enum http_scan_state state;
	unsigned int matched; /* bytes of the version, digits of the status */
	uint64_t chunk_bytes; /* of the chunk's data that have not come yet */
};

/* Start to scan in the given state. */
void http_scan_init(struct http_scan *, enum http_scan_state);
/*
 * Scan bytes until the scan ends.  Returns how many of them are valid; those
 * after them were not scanned.
 */
size_t http_scan_feed(struct http_scan *, const char *, size_t);

/*
 * Whether a text consists of whole field lines, such as "Name: value\r\n", and
 * nothing else.  An empty text does.
 */
bool http_are_field_lines(const char *, size_t);
/* Whether a number is a status code, one of 100 to 599 (RFC 9110, 15). */
bool http_is_status(uint64_t);
/* The same for a final one, which ends a request. */
bool http_is_final_status(uint64_t);

#endif
