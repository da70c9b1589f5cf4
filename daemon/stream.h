/*
 * stream - a non-blocking TCP connection with its output
 *
 * Bytes that arrive are handed to ops->read as they are; bytes to send are
 * appended with stream_write() and leave in one system call when the event
 * loop has handled what else is due, so that many small messages share it.
 *
 *	st = stream_connect(base, addr, &ops, owner);
 *	stream_write(st, data, len);
 *	stream_destroy(st);
 *
 * ops->closed is called once, for an end of file, a reset or a failed
 * connect; the owner then destroys the stream.  Neither callback is called
 * from within stream_write().  A stream may be destroyed in
 * those two.
 */
#ifndef DAEMON_STREAM_H
#define DAEMON_STREAM_H

#include <event2/buffer.h>
#include <event2/event.h>

#include "core/types.h"

struct stream;

enum stream_end {
	STREAM_EOF, /* the peer has sent all that it will send */
	STREAM_RESET, /* the connection is broken */
	STREAM_REFUSED, /* it was never there */
};

struct stream_ops {
	/* Bytes came; they are only valid during the call. */
	void (*read)(void *owner, const char *data, size_t len);
	void (*closed)(void *owner, enum stream_end);
	/* The connection stands; may be NULL, may not destroy the stream. */
	void (*connected)(void *owner);
};

/* Begin to connect; NULL if no socket could be had. */
struct stream *stream_connect(
    struct event_base *, struct addr, const struct stream_ops *, void *owner);
/* Take over a connected socket. */
struct stream *stream_accept(
    struct event_base *, int fd, const struct stream_ops *, void *owner);
/* Close at once; what was not sent is dropped. */
void stream_destroy(struct stream *);
/* Append to the output. */
void stream_write(struct stream *, const void *, size_t);
/* Send what is due now and close for writing; reading goes on. */
void stream_shutdown(struct stream *);
/* The output, to be filled directly; follow it with stream_flush(). */
struct evbuffer *stream_output(struct stream *);
void stream_flush(struct stream *);
/* Bytes that wait to be sent. */
size_t stream_pending(struct stream *);
/* Bytes handed to the kernel so far. */
uint64_t stream_sent(const struct stream *);
/* Stop and resume reading. */
void stream_pause(struct stream *, bool paused);
struct listener;

/* A TCP listener that hands accepted sockets on; NULL if it can not bind. */
struct listener *listener_create(struct event_base *, struct addr,
    void (*accepted)(void *owner, int fd), void *owner);
void listener_destroy(struct listener *);

#endif
