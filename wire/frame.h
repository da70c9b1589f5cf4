/*
 * frame - the binary encoding of messages between two daemons
 *
 * A frame is a length of four bytes, most significant first, and a protobuf
 * message of that length (link.proto).  Only this module and its generated
 * code know the encoding; all other code uses struct msg.
 *
 *	frame_encode(m, &buf);			then send buf.data, buf.len
 *	status = frame_decode(data, len, &m, &used);
 *	if (status == FRAME_OK)
 *		...m, which the caller destroys; drop used bytes
 *	else if (status != FRAME_INCOMPLETE)
 *		close the connection
 *
 * A received frame is not trusted: a string that does not fit its field or
 * a number out of range makes it malformed, and a frame whose body is longer
 * than FRAME_MAX_BODY_BYTES is rejected by its length, before the body is
 * read.
 */
#ifndef WIRE_FRAME_H
#define WIRE_FRAME_H

#include "core/msg.h"

#define FRAME_MAX_BODY_BYTES (4u << 20) /* without the length in front */
#define FRAME_LENGTH_BYTES 4 /* bytes of the length in front of the body */
#define FRAME_NONCE_LEN 32 /* bytes of the nonce in a hello */
#define FRAME_MAC_LEN 32 /* bytes of the MAC in a proof */
#define FRAME_MAX_MEMBERS 4096 /* member records in one message */
/* The longest body that may follow its message in pieces. */
#define FRAME_MAX_FOLLOWING_BYTES (UINT64_C(1) << 30)

enum frame_status {
	FRAME_OK,
	FRAME_INCOMPLETE, /* the bytes end before the frame does */
	FRAME_TOO_LONG, /* the length exceeds FRAME_MAX_BODY_BYTES */
	FRAME_MALFORMED, /* no valid protobuf, or content that is not allowed */
};

/*
 * The two frames of the handshake, which the link task handles itself.  The
 * members after is_hello are those of a hello or of a proof.
 */
struct handshake {
	bool is_hello; /* a hello; otherwise a proof */
	struct addr addr; /* hello: the sender's link address */
	uint8_t nonce[FRAME_NONCE_LEN]; /* hello: drawn for this connection */
	/*
	 * hello: how long the sender bears silence on a link without calls; 0:
	 * as short as on one with calls
	 */
	uint32_t idle_silence_ms;
	/*
	 * hello: the longest MSG_PIECE that the sender takes; 0: it takes none,
	 * and bodies have to come with their messages
	 */
	uint32_t piece_bytes;
	/*
	 * proof: MAC over the sender's role and address and both nonces, under
	 * a key that is derived from the fleet's secret.
	 */
	uint8_t mac[FRAME_MAC_LEN];
};

/*
 * Encode a message as one frame, its length included, into a buffer whose
 * previous content is released.  The caller releases the buffer.  The
 * message must be of a kind that daemons exchange.
 */
void frame_encode(const struct msg *, struct buffer *);
/*
 * Encode the next bytes of a body, or with NULL that the rest will not follow,
 * as the frame of a MSG_PIECE.
 */
void frame_encode_piece(
    uint64_t seq, bool of_reply, const void *data, size_t len, struct buffer *);
/* The same for a frame of the handshake. */
void frame_encode_handshake(const struct handshake *, struct buffer *);
/*
 * Decode the frame that the bytes begin with.  FRAME_OK: *used is the number
 * of bytes of the frame, length included, and *mp is a message that the
 * caller destroys.  Otherwise *mp is not set, and *used has no meaning.
 */
enum frame_status frame_decode(
    const uint8_t *, size_t len, struct msg **mp, size_t *used);
/* The same for a frame of the handshake; any other frame is malformed. */
enum frame_status frame_decode_handshake(
    const uint8_t *, size_t len, struct handshake *, size_t *used);

#endif
