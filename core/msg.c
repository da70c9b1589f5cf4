#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "core/msg.h"

static const char *const kind_names[MSG_KIND_COUNT] = {
    [MSG_CALL] = "call",
    [MSG_CALL_GONE] = "call-gone",
    [MSG_ANSWER] = "answer",
    [MSG_FORWARD] = "forward",
    [MSG_REPLY] = "reply",
    [MSG_CANCEL] = "cancel",
    [MSG_ASK_FATE] = "ask-fate",
    [MSG_FATE] = "fate",
    [MSG_MEMBERS_ASK] = "members-ask",
    [MSG_MEMBERS] = "members",
    [MSG_HANDOVER] = "handover",
    [MSG_CONFIG_ASK] = "config-ask",
    [MSG_CONFIG] = "config",
    [MSG_SHARE_ASK] = "share-ask",
    [MSG_SHARE] = "share",
    [MSG_PIECE] = "piece",
    [MSG_LINK_DOWN] = "link-down",
    [MSG_RUN] = "run",
    [MSG_RUN_DONE] = "run-done",
    [MSG_RUN_CANCEL] = "run-cancel",
    [MSG_ANNOUNCE] = "announce",
    [MSG_ANNOUNCED] = "announced",
    [MSG_ROW_READ] = "row-read",
    [MSG_ROW_WRITE] = "row-write",
    [MSG_ROW] = "row",
    [MSG_OPS] = "ops",
    [MSG_OPS_REPLY] = "ops-reply",
    [MSG_DRAIN] = "drain",
    [MSG_CLOSE] = "close",
    [MSG_FLUSH] = "flush",
    [MSG_FLUSHED] = "flushed",
    [MSG_RELOAD] = "reload",
    [MSG_LIMITS] = "limits",
};

const char *
msg_kind_name(enum msg_kind kind)
{
	return kind < MSG_KIND_COUNT ? kind_names[kind] : "unknown";
}

/* Most kinds are far smaller than the union, so only its used part counts. */
static size_t
msg_size(enum msg_kind kind)
{
	static const size_t sizes[MSG_KIND_COUNT] = {
	    [MSG_CALL] = sizeof(struct call),
	    [MSG_ANSWER] = sizeof(struct reply),
	    [MSG_FORWARD] = sizeof(struct forward),
	    [MSG_REPLY] = sizeof(struct reply),
	    [MSG_PIECE] = sizeof(struct piece),
	    [MSG_ASK_FATE] = sizeof(struct fate),
	    [MSG_FATE] = sizeof(struct fate),
	    [MSG_MEMBERS_ASK] = sizeof(struct members_ask),
	    [MSG_MEMBERS] = sizeof(struct members),
	    [MSG_HANDOVER] = sizeof(struct handover),
	    [MSG_CONFIG_ASK] = sizeof(struct config),
	    [MSG_CONFIG] = sizeof(struct config),
	    [MSG_SHARE_ASK] = sizeof(struct share),
	    [MSG_SHARE] = sizeof(struct share),
	    [MSG_RUN] = sizeof(struct forward),
	    [MSG_RUN_DONE] = sizeof(struct reply),
	    [MSG_ANNOUNCE] = sizeof(struct announce),
	    [MSG_ROW_READ] = sizeof(struct row),
	    [MSG_ROW_WRITE] = sizeof(struct row),
	    [MSG_ROW] = sizeof(struct row),
	    [MSG_OPS] = sizeof(struct ops),
	    [MSG_OPS_REPLY] = sizeof(struct ops),
	    [MSG_LIMITS] = sizeof(struct caller_limits),
	};

	return offsetof(struct msg, u) + sizes[kind];
}

struct msg *
msg_create(enum msg_kind kind)
{
	struct msg *m = xcalloc(1, msg_size(kind));

	m->kind = kind;
	return m;
}

void
msg_destroy(struct msg *m)
{
	if (m == NULL)
		return;
	switch (m->kind) {
	case MSG_CALL:
		request_release(&m->u.call.request);
		break;
	case MSG_FORWARD:
	case MSG_RUN:
		request_release(&m->u.forward.request);
		break;
	case MSG_ANSWER:
	case MSG_REPLY:
	case MSG_RUN_DONE:
		reply_release(&m->u.reply);
		break;
	case MSG_PIECE:
		buffer_release(&m->u.piece.data);
		break;
	case MSG_MEMBERS:
		free(m->u.members.records);
		buffer_release(&m->u.members.owners_text);
		break;
	case MSG_HANDOVER:
		reply_release(&m->u.handover.reply);
		break;
	case MSG_CONFIG:
	case MSG_CONFIG_ASK:
		buffer_release(&m->u.config.text);
		break;
	case MSG_ROW_READ:
	case MSG_ROW_WRITE:
	case MSG_ROW:
		buffer_release(&m->u.row.value);
		break;
	case MSG_OPS:
	case MSG_OPS_REPLY:
		buffer_release(&m->u.ops.text);
		break;
	default:
		break;
	}
	free(m);
}

size_t
msg_reply_bytes(const struct msg *m)
{
	switch (m->kind) {
	case MSG_ANSWER:
	case MSG_REPLY:
	case MSG_RUN_DONE:
		return m->u.reply.headers.len + m->u.reply.body.len;
	default:
		return 0;
	}
}

struct msg *
msg_emit(
    struct msg_list *out, enum msg_kind kind, struct addr peer, uint64_t seq)
{
	struct msg *m = msg_create(kind);

	m->peer = peer;
	m->seq = seq;
	TAILQ_INSERT_TAIL(out, m, entry);
	return m;
}

void
msg_list_clear(struct msg_list *list)
{
	struct msg *m;

	while ((m = TAILQ_FIRST(list)) != NULL) {
		TAILQ_REMOVE(list, m, entry);
		msg_destroy(m);
	}
}

void
request_move(struct request *dst, struct request *src)
{
	request_release(dst);
	*dst = *src;
	memset(src, 0, sizeof(*src));
}

void
request_share(struct request *dst, struct request *src)
{
	memcpy(dst->method, src->method, sizeof(dst->method));
	memcpy(dst->host, src->host, sizeof(dst->host));
	memcpy(dst->path, src->path, sizeof(dst->path));
	buffer_share(&dst->headers, &src->headers);
	buffer_share(&dst->body, &src->body);
}

void
request_release(struct request *r)
{
	buffer_release(&r->headers);
	buffer_release(&r->body);
}

void
reply_move(struct reply *dst, struct reply *src)
{
	reply_release(dst);
	*dst = *src;
	memset(src, 0, sizeof(*src));
}

void
reply_share(struct reply *dst, struct reply *src)
{
	reply_release(dst);
	*dst = *src;
	memset(&dst->headers, 0, sizeof(dst->headers));
	memset(&dst->body, 0, sizeof(dst->body));
	buffer_share(&dst->headers, &src->headers);
	buffer_share(&dst->body, &src->body);
}

void
reply_release(struct reply *r)
{
	buffer_release(&r->headers);
	buffer_release(&r->body);
}

void
reply_fail(struct reply *r, struct failure failure)
{
	r->status = 0;
	r->failure = failure;
}
