/*
 * The native dialect: the product's own headers to and from callers and the
 * local target.  A caller's key goes no further than this; only its hash is
 * passed on.
 */
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "daemon/daemon.h"
#include "daemon/dialect.h"
#include "wire/httpmap.h"

static bool
is_forwarded(const char *name, const char *value)
{
	(void)value;
	return httpmap_is_forwarded(name);
}

static bool
is_allowed_method(const char *method)
{
	static const char *const allowed[] = {
	    "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH"};
	size_t i;

	for (i = 0; i < sizeof(allowed) / sizeof(allowed[0]); i++) {
		if (strcmp(method, allowed[i]) == 0)
			return true;
	}
	return false;
}

static bool
read_id(const struct http_message *m, struct call *c)
{
	const char *id = http_message_field(m, HEADER_IDEMPOTENCY_KEY);

	if (id == NULL)
		return true;
	if (strlen(id) >= sizeof(c->id) || id[0] == '\0')
		return false;
	name_copy(c->id, id, sizeof(c->id));
	return true;
}

static bool
read_deadline(const struct http_message *m, struct call *c)
{
	const char *value = http_message_field(m, HEADER_DEADLINE);

	return value == NULL ||
	       (dialect_parse_number(value, &c->context.deadline_ms) &&
		   c->context.deadline_ms > 0);
}

static void
read_context(struct daemon *d, const struct http_message *m, struct call *c)
{
	const char *value = http_message_field(m, HEADER_CONTEXT);
	struct call_context got;

	if (value == NULL)
		return;
	c->has_context = true;
	if (!context_read(d->context_key, value, &got)) {
		c->context_invalid = true;
		return;
	}
	c->context.tree_id = got.tree_id;
	c->context.job = got.job;
}

/*
 * False if the key also appears in the URL or in a header that is forwarded,
 * where the target would see it.
 */
static bool
is_key_only_in_header(const struct http_message *m, const char *key)
{
	int i;

	if (strstr(http_message_url(m), key) != NULL)
		return false;
	for (i = 0; i < m->nfields; i++) {
		if (strcasecmp(http_message_field_name(m, i),
			HEADER_AUTHORIZATION) != 0 &&
		    httpmap_is_forwarded(http_message_field_name(m, i)) &&
		    strstr(http_message_field_value(m, i), key) != NULL)
			return false;
	}
	return true;
}

static bool
read_request(struct daemon *d, struct http_message *m, struct call *c)
{
	const char *url = http_message_url(m);
	const char *key = dialect_find_credentials(
	    http_message_field(m, HEADER_AUTHORIZATION), "Bearer");

	if (!is_allowed_method(m->method) || url[0] != '/' ||
	    strlen(url) >= PATH_LEN ||
	    (key != NULL && !is_key_only_in_header(m, key)))
		return false;
	name_copy(c->request.method, m->method, METHOD_LEN);
	name_copy(c->request.path, url, PATH_LEN);
	if (key != NULL) {
		crypto_generichash(c->key_hash, KEY_HASH_LEN,
		    (const uint8_t *)key, strlen(key), NULL, 0);
		c->has_key = true;
	}
	if (!read_id(m, c) || !read_deadline(m, c))
		return false;
	read_context(d, m, c);
	dialect_copy_headers(m, is_forwarded, &c->request.headers);
	http_message_take_body(m, &c->request.body);
	return true;
}

static int
write_failure(const struct call_tag *tag, const struct reply *r,
    struct evbuffer *headers, struct evbuffer *body)
{
	char text[24];

	(void)tag;
	dialect_add_header(
	    headers, HEADER_VERDICT, verdict_name(r->failure.verdict));
	dialect_add_header(
	    headers, HEADER_REASON, reason_name(r->failure.reason));
	dialect_add_header(headers, "Content-Type", "text/plain");
	if (r->retry_after_ms != 0) {
		snprintf(text, sizeof(text), "%" PRIu32,
		    (r->retry_after_ms + 999) / 1000);
		dialect_add_header(headers, HEADER_RETRY_AFTER, text);
	}
	evbuffer_add_printf(body, "%s: %s\n", verdict_name(r->failure.verdict),
	    reason_text(r->failure.reason));
	return httpmap_reason_status(r->failure.reason);
}

static void
write_response_headers(const struct call_tag *tag, struct evbuffer *headers)
{
	(void)tag;
	dialect_add_header(headers, HEADER_VERDICT, verdict_name(VERDICT_RAN));
}

static void
write_target_headers(
    struct daemon *d, const struct forward *f, struct evbuffer *headers)
{
	char context[CONTEXT_TEXT_LEN], deadline[24];

	context_write(d->context_key, &f->context, context, sizeof(context));
	snprintf(
	    deadline, sizeof(deadline), "%" PRIu64, f->context.deadline_ms);
	evbuffer_add(headers, f->request.headers.data, f->request.headers.len);
	dialect_add_header(headers, "Host", "127.0.0.1");
	dialect_add_header(headers, HEADER_CONTEXT, context);
	dialect_add_header(headers, HEADER_DEADLINE, deadline);
	if (f->id[0] != '\0')
		dialect_add_header(headers, HEADER_IDEMPOTENCY_KEY, f->id);
	if (f->context.org[0] != '\0')
		dialect_add_header(
		    headers, "Cranberryway-Organisation", f->context.org);
}

static bool
is_response_to(
    const char *id, const struct http_message *m, bool new_connection)
{
	(void)id;
	(void)m;
	(void)new_connection;
	return true;
}

/* Whether the target says that it did not run the request. */
static bool
is_refusal(const struct http_message *m)
{
	const char *verdict = http_message_field(m, HEADER_VERDICT);

	return verdict != NULL &&
	       strcmp(verdict, verdict_name(VERDICT_NOT_RUN)) == 0;
}

/*
 * Responses bear no id here.  A refusal that a faulty target sends once more
 * would tell the next caller that a request did not run that runs.
 */
static bool
may_keep_connection(const struct http_message *m)
{
	return !is_refusal(m);
}

/*
 * The request counts as not run only if the response says so, which a target
 * does when it sheds the request.
 */
static void
read_response(struct http_message *m, struct reply *r)
{
	if (is_refusal(m)) {
		reply_fail(r, failure_make(VERDICT_NOT_RUN, REASON_SHED));
		return;
	}
	/* Without a length, a truncated response cannot be recognised. */
	if (m->until_close) {
		reply_fail(r,
		    failure_make(VERDICT_MAY_HAVE_RUN, REASON_TARGET_FAILED));
		return;
	}
	r->status = m->status;
	dialect_copy_headers(m, is_forwarded, &r->headers);
	http_message_take_body(m, &r->body);
}

const struct dialect dialect_native = {
    .name = "native",
    .read_request = read_request,
    .write_failure = write_failure,
    .write_response_headers = write_response_headers,
    .write_target_headers = write_target_headers,
    .is_response_to = is_response_to,
    .may_keep_connection = may_keep_connection,
    .read_response = read_response,
};
