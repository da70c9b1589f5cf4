/*
 * stream - a non-blocking TCP connection with an output buffer
 *
 * Received bytes are passed to ops->read.  Bytes to send are appended with
 * stream_write() and leave when the event loop has handled the other events
 * that are due, so that many small messages share one system call.
 *
 *	st = stream_connect(base, addr, &ops, owner);
 *	stream_write(st, data, len);
 *	stream_destroy(st);
 *
 * ops->closed is called once, at end of file, on a reset or after a failed
 * connect; the owner then destroys the stream.  No callback is called from
 * within stream_write().  The owner may destroy the stream within ops->read
 * and ops->closed.
 */
#ifndef DAEMON_STREAM_H
#define DAEMON_STREAM_H

#include <event2/buffer.h>
#include <event2/event.h>

#include "core/types.h"

struct stream;
struct listener;

/* Why a stream ended. */
enum stream_end {
	STREAM_EOF, /* the peer closed in order, after its last byte */
	STREAM_RESET, /* the connection failed */
	STREAM_CONNECT_FAILED, /* no connection was established */
};

struct stream_ops {
	/* Bytes were received; data is valid only during the call. */
	void (*read)(void *owner, const char *data, size_t len);
	void (*closed)(void *owner, enum stream_end);
	/*
	 * stream_connect() succeeded.  May be NULL; must not destroy the
	 * stream.
	 */
	void (*connected)(void *owner);
	/*
	 * The kernel has taken len bytes of the output.  May be NULL; must not
	 * destroy the stream, and may append to its output.
	 */
	void (*sent)(void *owner, size_t len);
};

/*
 * Start to connect.  Returns NULL if no socket is available or the connect
 * fails at once; no callback is called then.
 */
struct stream *stream_connect(
    struct event_base *, struct addr, const struct stream_ops *, void *owner);
/* Create a stream on a connected socket, which it owns. */
struct stream *stream_accept(
    struct event_base *, int fd, const struct stream_ops *, void *owner);
/* Close at once and drop the bytes not yet sent; closed is not called. */
void stream_destroy(struct stream *);
/* Append bytes to the output and send them from the event loop. */
void stream_write(struct stream *, const void *, size_t);
/* Close for writing once the output has been sent; reading continues. */
void stream_shutdown(struct stream *);
/*
 * The output buffer, which the stream owns.  Whoever appends to it directly
 * then calls stream_flush().
 */
struct evbuffer *stream_output(struct stream *);
/*
 * Append a buffer, which is released, to the output of a stream or to another
 * evbuffer.  A large one is not copied.
 */
void stream_append_buffer(struct evbuffer *, struct buffer *);
/* Send the output from the event loop. */
void stream_flush(struct stream *);
/* Bytes in the output that the kernel has not taken yet. */
size_t stream_bytes_pending(struct stream *);
/* Bytes that the kernel has taken since the stream was created. */
uint64_t stream_bytes_sent(const struct stream *);
/*
 * Let the peer leave bytes unread for as long as the owner allows.  Without
 * this a connection whose bytes are not acknowledged for 2 s is broken, also
 * if the peer is there and its window is full.  The system then takes little
 * more of the output than the peer has room for.
 */
void stream_allow_pauses(struct stream *);
/*
 * Bytes that the peer has acknowledged since the stream was created, as far as
 * the system tells.
 */
uint64_t stream_bytes_acked(const struct stream *);
/* Whether the peer has acknowledged all output. */
bool stream_is_flushed(const struct stream *);
/*
 * Stop or resume reading; no effect while the stream is connecting.  Once the
 * connection is found broken, what was received is read all the same, to its
 * end.
 */
void stream_pause(struct stream *, bool paused);

/*
 * Listen for TCP connections.  accepted() gets the non-blocking socket of
 * each one and owns it.  Returns NULL if the address cannot be bound.
 */
struct listener *listener_create(struct event_base *, struct addr,
    void (*accepted)(void *owner, int fd), void *owner);
/* Stop listening; NULL is allowed. */
void listener_destroy(struct listener *);

#endif
