/*
 * pieces - long bodies on one link, sent and received in pieces
 *
 * A request or a response with a long body is sent as a message without it,
 * and the body follows in pieces, a few at a time, so that other messages are
 * not held up and the body takes memory only once on either side.
 *
 *	p = pieces_create(memory, &ops, owner);
 *	pieces_send(p, msg, now_us);	sends the message and takes its body
 *	pieces_push(p, now_us);		whenever the link has room again
 *	pieces_receive(p, msg, now_us);	a message that has body_follows set, or
 *					a MSG_PIECE
 *	pieces_destroy(p);
 *
 * Bodies that arrive, and those of responses that are sent, charge the account
 * of memory; the body of a request that is sent is charged by its caller's
 * connection.  One that gives way is dropped on both sides: a request is
 * refused as not run, and a response becomes the failure REASON_ANSWER_GONE.
 */
#ifndef DAEMON_PIECES_H
#define DAEMON_PIECES_H

#include "core/account.h"
#include "core/msg.h"

#define PIECE_BYTES 65536 /* the longest piece */

struct pieces;

struct pieces_ops {
	/*
	 * Send a message, which is destroyed, or a piece over the link.  These
	 * must not call back.
	 */
	void (*send)(void *owner, struct msg *);
	void (*send_piece)(void *owner, uint64_t seq, bool of_reply,
	    const void *data, size_t len);
	/* Whether the link has room for another piece. */
	bool (*has_room)(void *owner);
	/* A message has arrived with its body; it belongs to the owner. */
	void (*arrived)(void *owner, struct msg *);
};

/* Create the state of one link; the account may be NULL. */
struct pieces *pieces_create(
    struct account *memory, const struct pieces_ops *, void *owner);
/* Drop all bodies; NULL is allowed. */
void pieces_destroy(struct pieces *);
/* Whether a message has a body that is worth sending in pieces. */
bool pieces_are_worthwhile(const struct msg *);
/* Send a message, and its body as far as there is room. */
void pieces_send(struct pieces *, struct msg *, uint64_t now_us);
/* Whether a body has not been sent to its end. */
bool pieces_are_unsent(const struct pieces *);
/* Send further pieces as long as there is room. */
void pieces_push(struct pieces *, uint64_t now_us);
/*
 * Handle a message whose body follows, or a piece.  False if it is none that
 * the peer may send, such as more than it announced; the message is destroyed
 * in either case.
 */
bool pieces_receive(struct pieces *, struct msg *, uint64_t now_us);
/*
 * The request with that number is not to be sent any further: it was
 * cancelled, or refused by the peer.
 */
void pieces_stop_request(struct pieces *, uint64_t seq);
/* The response to it is not wanted any more. */
void pieces_drop_response(struct pieces *, uint64_t seq);
/*
 * The peer has cancelled its request with that number: drop it if it is
 * arriving, or the response that is being sent.  True if it was arriving and
 * has thus not run.
 */
bool pieces_cancelled_by_peer(struct pieces *, uint64_t seq);

#endif
