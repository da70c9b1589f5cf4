/*
 * Operators' requests: what is in force, what was decided, a new version,
 * and leaving.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/hash.h"
#include "core/node_impl.h"

#define AUDIT_MARK "#audit " /* begins the audit lines of a version */
#define AUDIT_LINES 64 /* of earlier versions that a row keeps */
#define SUBMIT_ROUNDS 5 /* writes and readings back, at most */
#define SUBMIT_AGAIN_US (300 * MSEC_US)
#define EXPLAIN_BYTES 16384

static void
reply_text(struct node *n, uint64_t seq, int status, uint64_t version,
    const char *text, size_t len, struct msg_list *out)
{
	struct msg *m = msg_emit(out, MSG_OPS_REPLY, n->setup.self, seq);

	m->u.ops.status = status;
	m->u.ops.version = version;
	buffer_set(&m->u.ops.text, text, len);
}

static bool
is_audit_line(const char *p, size_t left)
{
	size_t len = strlen(AUDIT_MARK);

	return left >= len && memcmp(p, AUDIT_MARK, len) == 0;
}

/* Copy the lines that are, or are not, audit lines; returns the length. */
static size_t
copy_lines(char *dst, const struct buffer *src, bool audit, int max)
{
	const char *p = src->data, *end = src->data + src->len, *next;
	size_t used = 0;
	int lines = 0;

	while (p != NULL && p < end) {
		next = memchr(p, '\n', end - p);
		next = next != NULL ? next + 1 : end;
		if (is_audit_line(p, end - p) == audit && lines++ < max) {
			memcpy(dst + used, p, next - p);
			used += next - p;
		}
		p = next;
	}
	return used;
}

static void
reply_lines(
    struct node *n, uint64_t seq, int status, bool audit, struct msg_list *out)
{
	char *text = xcalloc(1, n->conf.text.len + 1);
	size_t len = copy_lines(text, &n->conf.text, audit, INT32_MAX);

	reply_text(n, seq, status, n->conf.version, text, len, out);
	free(text);
}

static void
submission_end(
    struct node *n, int status, const char *text, struct msg_list *out)
{
	struct submission *s = &n->submission;

	if (status == 409)
		reply_lines(n, s->seq, status, false, out);
	else
		reply_text(n, s->seq, status, n->conf.version, text,
		    strlen(text), out);
	buffer_release(&s->text);
	memset(s, 0, sizeof(*s));
}

/* The row's value: a new audit line, the earlier ones, and the text. */
static void
build_row(struct node *n, const struct ops *o, struct instant now)
{
	struct submission *s = &n->submission;
	size_t room = o->text.len + n->conf.text.len + 512, used;
	char *value = xcalloc(1, room);

	used = snprintf(value, 512,
	    AUDIT_MARK "version=%" PRIu64 " from=%" PRIu64 " at_ms=%" PRIu64
		       " who=%s mark=%s bytes=%zu was_bytes=%zu\n",
	    s->from + 1, s->from, now.wall_ms, o->who, s->mark, o->text.len,
	    n->conf.text.len);
	used += copy_lines(value + used, &n->conf.text, true, AUDIT_LINES - 1);
	used += copy_lines(value + used, &o->text, false, INT32_MAX);
	buffer_set(&s->text, value, used);
	free(value);
}

static void
write_submission(struct node *n, struct instant now, struct msg_list *out)
{
	struct submission *s = &n->submission;

	s->rounds++;
	s->due_us = now.mono_us + 10 * SUBMIT_AGAIN_US;
	node_write_row(n, "config", s->from, s->text.data, s->text.len, out);
}

static void
submit(
    struct node *n, struct msg *msg, struct instant now, struct msg_list *out)
{
	struct submission *s = &n->submission;
	struct ops *o = &msg->u.ops;
	struct catalog *c;
	char err[256];

	if (s->seq != 0) {
		reply_text(n, msg->seq, 503, n->conf.version,
		    "another submission is under way\n", 32, out);
		return;
	}
	c = n->setup.parser->parse(o->text.data, o->text.len, err, sizeof(err));
	if (c == NULL) {
		reply_text(
		    n, msg->seq, 422, n->conf.version, err, strlen(err), out);
		return;
	}
	catalog_destroy(c);
	s->seq = msg->seq;
	s->from = o->version;
	if (o->version != n->conf.version) {
		submission_end(n, 409, "", out);
		return;
	}
	snprintf(s->mark, sizeof(s->mark), "%016" PRIx64 "%016" PRIx64,
	    rng_next(&n->rng), n->setup.incarnation ^ msg->seq);
	build_row(n, o, now);
	write_submission(n, now, out);
}

static void
adopt_row(struct node *n, const struct buffer *value, uint64_t version,
    struct instant now, struct msg_list *out)
{
	struct msg *m = msg_create(MSG_ROW);

	name_copy(m->u.row.key, "config", sizeof(m->u.row.key));
	m->u.row.version = version;
	m->u.row.status = ROW_FOUND;
	buffer_set(&m->u.row.value, value->data, value->len);
	control_row(n, m, now, out);
	msg_destroy(m);
}

static void
read_back(
    struct node *n, struct row *row, struct instant now, struct msg_list *out)
{
	struct submission *s = &n->submission;

	if (row->status == ROW_FOUND &&
	    strstr(row->value.data, s->mark) != NULL) {
		submission_end(n, 200, "accepted\n", out);
		return;
	}
	if (row->version == s->from && s->rounds < SUBMIT_ROUNDS) {
		s->unsure = false;
		write_submission(n, now, out);
		return;
	}
	if (row->version == s->from)
		submission_end(n, 503,
		    "the platform does not answer, nothing was changed\n", out);
	else
		submission_end(n, 409, "", out);
}

void
operate_row(
    struct node *n, struct msg *msg, struct instant now, struct msg_list *out)
{
	struct submission *s = &n->submission;
	struct row *row = &msg->u.row;

	if (s->seq == 0 || strcmp(row->key, "config") != 0)
		return;
	switch (row->status) {
	case ROW_WRITTEN:
		adopt_row(n, &s->text, row->version, now, out);
		submission_end(n, 200, "accepted\n", out);
		break;
	case ROW_UNKNOWN:
		s->unsure = true;
		s->due_us = now.mono_us + SUBMIT_AGAIN_US;
		break;
	case ROW_CONFLICT:
		s->unsure = true;
		s->due_us = now.mono_us;
		break;
	default:
		if (s->unsure)
			read_back(n, row, now, out);
		break;
	}
}

void
operate_tick(struct node *n, struct instant now, struct msg_list *out)
{
	struct submission *s = &n->submission;

	if (s->seq == 0 || now.mono_us < s->due_us)
		return;
	if (++s->rounds > 4 * SUBMIT_ROUNDS) {
		submission_end(n, 504,
		    "the platform's answer was lost: unknown, see 'log'\n",
		    out);
		return;
	}
	s->unsure = true;
	s->due_us = now.mono_us + SUBMIT_AGAIN_US;
	node_read_row(n, "config", false, out);
}

static void
explain_request(struct node *n, struct msg *msg, struct msg_list *out)
{
	char *text = xcalloc(1, EXPLAIN_BYTES);
	size_t len =
	    explain_print(n->explain, msg->u.ops.argument, text, EXPLAIN_BYTES);

	reply_text(n, msg->seq, len > 0 ? 200 : 404, 0, text, len, out);
	free(text);
}

void
operate(
    struct node *n, struct msg *msg, struct instant now, struct msg_list *out)
{
	char *text;

	switch (msg->u.ops.verb) {
	case OPS_STATUS:
		text = node_status(n, now);
		reply_text(
		    n, msg->seq, 200, n->conf.version, text, strlen(text), out);
		free(text);
		break;
	case OPS_EXPLAIN:
		explain_request(n, msg, out);
		break;
	case OPS_DRAIN:
		membership_drain(n, now, out);
		reply_text(n, msg->seq, 200, 0, "draining\n", 9, out);
		break;
	case OPS_SHOW:
		reply_lines(n, msg->seq, 200, false, out);
		break;
	case OPS_LOG:
		reply_lines(n, msg->seq, 200, true, out);
		break;
	case OPS_SUBMIT:
		submit(n, msg, now, out);
		break;
	}
}
