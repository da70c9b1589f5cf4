/*
 * frame - the encoding of messages between two daemons
 *
 * A frame is a length of four bytes and a protobuf message (link.proto).
 * Only this module and its generated code know the encoding; everything
 * else deals in struct msg.
 *
 *	len = frame_encode(m, &buf);		then send buf.data, buf.len
 *	switch (frame_decode(data, len, &m, &used)) ...
 *
 * Nothing is trusted in a received frame: names are cut to their fields by
 * refusing longer ones, numbers are checked against their range, and a
 * frame larger than FRAME_MAX is refused before it is read.
 */
#ifndef WIRE_FRAME_H
#define WIRE_FRAME_H

#include "core/msg.h"

#define FRAME_MAX (4u << 20) /* bytes of one frame without its length */
#define FRAME_HEAD 4 /* bytes of the length */
#define FRAME_NONCE_LEN 32
#define FRAME_MAC_LEN 32
#define FRAME_MAX_MEMBERS 4096 /* records in one message */

enum frame_status {
	FRAME_OK,
	FRAME_SHORT, /* more bytes are needed */
	FRAME_TOO_LONG,
	FRAME_MALFORMED,
};

/* The two frames of the handshake, which are no messages to the core. */
struct handshake {
	bool is_hello; /* or else it is a proof */
	struct addr addr;
	uint8_t nonce[FRAME_NONCE_LEN];
	uint8_t mac[FRAME_MAC_LEN];
};

/* Encode with the length in front; the buffer is the caller's to release. */
void frame_encode(const struct msg *, struct buffer *);
void frame_encode_handshake(const struct handshake *, struct buffer *);
/* Decode a message; on FRAME_OK *used bytes were taken and *mp is set. */
enum frame_status frame_decode(
    const uint8_t *, size_t len, struct msg **mp, size_t *used);
enum frame_status frame_decode_handshake(
    const uint8_t *, size_t len, struct handshake *, size_t *used);

#endif
