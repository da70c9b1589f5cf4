/*
 * Handles requests from operators: state, decisions, the configuration and
 * its audit log, submission of a new version, and draining.
 *
 * A submission is written to the platform's configuration row by
 * compare-and-set.  If the answer to the write is lost, the row is read back
 * to see whether it carries the submission's mark.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/hash.h"
#include "core/node_impl.h"

/* Begins the lines of the configuration row that record who changed it. */
#define AUDIT_PREFIX "#audit "
/* Audit lines that the row keeps, that of the newest version included. */
#define AUDIT_MAX_LINES 64
/*
 * Each write and each timeout is a round of a submission.  A write that had no
 * effect is repeated only within the first SUBMIT_MAX_WRITE_ROUNDS.  After
 * SUBMIT_MAX_ROUNDS the submission fails with its outcome unknown.
 */
#define SUBMIT_MAX_WRITE_ROUNDS 5
#define SUBMIT_MAX_ROUNDS (4 * SUBMIT_MAX_WRITE_ROUNDS)
/* Interval between reads of the row after a write's answer was lost. */
#define SUBMIT_READ_INTERVAL_US (300 * MSEC_US)
/* A write that is not answered within this time is taken for lost. */
#define SUBMIT_WRITE_TIMEOUT_US (10 * SUBMIT_READ_INTERVAL_US)
#define AUDIT_LINE_MAX_BYTES 512 /* of a new audit line, with its NUL */
#define EXPLAIN_MAX_BYTES 16384 /* of an explanation's text, with its NUL */

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
	size_t len = strlen(AUDIT_PREFIX);

	return left >= len && memcmp(p, AUDIT_PREFIX, len) == 0;
}

/*
 * Copy up to max of the audit lines, or of the other lines; returns the number
 * of bytes copied.
 */
static size_t
copy_config_lines(char *dst, const struct buffer *src, bool audit, int max)
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
reply_config_lines(
    struct node *n, uint64_t seq, int status, bool audit, struct msg_list *out)
{
	char *text = xcalloc(1, n->conf.text.len + 1);
	size_t len = copy_config_lines(text, &n->conf.text, audit, INT32_MAX);

	reply_text(n, seq, status, n->conf.version, text, len, out);
	free(text);
}

/*
 * Answer the operator and forget the submission.  The answer to a conflict
 * (409) is the configuration in force; text is not used then.
 */
static void
end_submission(
    struct node *n, int status, const char *text, struct msg_list *out)
{
	struct submission *s = &n->submission;

	if (status == 409)
		reply_config_lines(n, s->seq, status, false, out);
	else
		reply_text(n, s->seq, status, n->conf.version, text,
		    strlen(text), out);
	buffer_release(&s->text);
	memset(s, 0, sizeof(*s));
}

/* Build the row: a new audit line, the earlier ones, and the new text. */
static void
build_config_row(struct node *n, const struct ops *o, struct instant now)
{
	struct submission *s = &n->submission;
	size_t room = o->text.len + n->conf.text.len + AUDIT_LINE_MAX_BYTES,
	       used;
	char *value = xcalloc(1, room);

	used = snprintf(value, AUDIT_LINE_MAX_BYTES,
	    AUDIT_PREFIX "version=%" PRIu64 " from=%" PRIu64 " at_ms=%" PRIu64
			 " who=%s mark=%s bytes=%zu was_bytes=%zu\n",
	    s->base_version + 1, s->base_version, now.wall_ms, o->who, s->mark,
	    o->text.len, n->conf.text.len);
	used += copy_config_lines(
	    value + used, &n->conf.text, true, AUDIT_MAX_LINES - 1);
	used += copy_config_lines(value + used, &o->text, false, INT32_MAX);
	buffer_set(&s->text, value, used);
	free(value);
}

static void
write_submission(struct node *n, struct instant now, struct msg_list *out)
{
	struct submission *s = &n->submission;

	s->rounds++;
	s->due_us = now.mono_us + SUBMIT_WRITE_TIMEOUT_US;
	node_write_row(
	    n, "config", s->base_version, s->text.data, s->text.len, out);
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
		    "another submission is in progress\n", 34, out);
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
	s->base_version = o->version;
	if (o->version != n->conf.version) {
		end_submission(n, 409, "", out);
		return;
	}
	snprintf(s->mark, sizeof(s->mark), "%016" PRIx64 "%016" PRIx64,
	    rng_next(&n->rng), n->setup.incarnation ^ msg->seq);
	build_config_row(n, o, now);
	write_submission(n, now, out);
}

static void
adopt_config_row(struct node *n, const struct buffer *value, uint64_t version,
    struct instant now, struct msg_list *out)
{
	struct msg *m = msg_create(MSG_ROW);

	name_copy(m->u.row.key, "config", sizeof(m->u.row.key));
	m->u.row.version = version;
	m->u.row.status = ROW_FOUND;
	buffer_set(&m->u.row.value, value->data, value->len);
	control_handle_row(n, m, now, out);
	msg_destroy(m);
}

static void
check_read_back(
    struct node *n, struct row *row, struct instant now, struct msg_list *out)
{
	struct submission *s = &n->submission;

	if (row->status == ROW_FOUND &&
	    strstr(row->value.data, s->mark) != NULL) {
		end_submission(n, 200, "accepted\n", out);
		return;
	}
	if (row->version == s->base_version &&
	    s->rounds < SUBMIT_MAX_WRITE_ROUNDS) {
		s->outcome_unknown = false;
		write_submission(n, now, out);
		return;
	}
	if (row->version == s->base_version)
		end_submission(n, 503,
		    "the platform does not answer; nothing was changed\n", out);
	else
		end_submission(n, 409, "", out);
}

void
operator_handle_row(
    struct node *n, struct msg *msg, struct instant now, struct msg_list *out)
{
	struct submission *s = &n->submission;
	struct row *row = &msg->u.row;

	if (s->seq == 0 || strcmp(row->key, "config") != 0)
		return;
	switch (row->status) {
	case ROW_WRITTEN:
		adopt_config_row(n, &s->text, row->version, now, out);
		end_submission(n, 200, "accepted\n", out);
		break;
	case ROW_UNKNOWN:
		s->outcome_unknown = true;
		s->due_us = now.mono_us + SUBMIT_READ_INTERVAL_US;
		break;
	case ROW_CONFLICT:
		/*
		 * The row may have changed by an earlier write of ours whose
		 * answer was lost: read it back.
		 */
		s->outcome_unknown = true;
		s->due_us = now.mono_us;
		break;
	case ROW_FOUND:
	case ROW_ABSENT:
		if (s->outcome_unknown)
			check_read_back(n, row, now, out);
		break;
	default:
		break;
	}
}

void
operator_tick(struct node *n, struct instant now, struct msg_list *out)
{
	struct submission *s = &n->submission;

	if (s->seq == 0 || now.mono_us < s->due_us)
		return;
	if (++s->rounds > SUBMIT_MAX_ROUNDS) {
		end_submission(n, 504,
		    "the platform's answer was lost and the outcome is "
		    "unknown; see 'log'\n",
		    out);
		return;
	}
	s->outcome_unknown = true;
	s->due_us = now.mono_us + SUBMIT_READ_INTERVAL_US;
	node_read_row(n, "config", false, out);
}

static void
explain_request(struct node *n, struct msg *msg, struct msg_list *out)
{
	char *text = xcalloc(1, EXPLAIN_MAX_BYTES);
	size_t len = decision_log_print(
	    n->decision_log, msg->u.ops.argument, text, EXPLAIN_MAX_BYTES);

	reply_text(n, msg->seq, len > 0 ? 200 : 404, 0, text, len, out);
	free(text);
}

void
operator_handle_ops(
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
		reply_config_lines(n, msg->seq, 200, false, out);
		break;
	case OPS_LOG:
		reply_config_lines(n, msg->seq, 200, true, out);
		break;
	case OPS_SUBMIT:
		submit(n, msg, now, out);
		break;
	}
}
