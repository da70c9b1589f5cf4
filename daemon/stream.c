#include <arpa/inet.h>
#include <errno.h>
#include <event2/event_struct.h>
#include <event2/listener.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "daemon/log.h"
#include "daemon/stream.h"

#define READ_BUFFER_BYTES 65536 /* read with one system call */
/* A connection with sent data unacknowledged for this long is broken. */
#define UNACKED_TIMEOUT_MS 2000
/*
 * Output that the system takes of a stream whose peer pauses.  The rest waits
 * in the stream, where the owner sees it; what is on its way does not count.
 */
#define MAX_UNSENT_BYTES 65536
#define LISTEN_BACKLOG 1024
#define ACCEPT_RETRY_US (100 * MSEC_US) /* after a failure to accept */
/* A smaller buffer is copied to the output, which is cheaper. */
#define MIN_REFERENCED_BYTES 4096

struct stream {
	const struct stream_ops *ops;
	void *owner;
	int fd;
	bool connecting;
	bool write_armed; /* write_ev is pending */
	bool shutdown_pending; /* close for writing once the output is sent */
	bool failed; /* a write found the connection broken */
	struct event read_ev;
	struct event write_ev;
	struct event flush_ev;
	struct evbuffer *out;
	uint64_t bytes_sent;
};

/* Shared by all streams, as the daemon has one event loop and one thread. */
static char read_buffer[READ_BUFFER_BYTES];

static void
set_unacked_timeout(int fd, int ms)
{
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

static void
set_socket_options(int fd)
{
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	set_unacked_timeout(fd, UNACKED_TIMEOUT_MS);
}

static void
on_read(evutil_socket_t fd, short what, void *arg)
{
	struct stream *st = arg;
	ssize_t n;

	(void)what;
	n = read(fd, read_buffer, sizeof(read_buffer));
	if (n > 0) {
		st->ops->read(st->owner, read_buffer, (size_t)n);
		return;
	}
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	event_del(&st->read_ev);
	/* The socket tells of an error once, and write_output() may get it. */
	st->ops->closed(
	    st->owner, n == 0 && !st->failed ? STREAM_EOF : STREAM_RESET);
}

static void
set_write_event(struct stream *st, bool armed)
{
	if (st->write_armed == armed)
		return;
	st->write_armed = armed;
	if (armed)
		event_add(&st->write_ev, NULL);
	else
		event_del(&st->write_ev);
}

/*
 * Write as much of the output as the kernel takes.  After an error the socket
 * is shut down, so that the read event reports the end to the owner.
 */
static void
write_to_socket(struct stream *st)
{
	int n;

	while (evbuffer_get_length(st->out) > 0) {
		n = evbuffer_write(st->out, st->fd);
		if (n <= 0)
			break;
		st->bytes_sent += (uint64_t)n;
	}
	if (evbuffer_get_length(st->out) > 0) {
		if (errno != EAGAIN && errno != EINTR) {
			st->failed = true;
			evbuffer_drain(st->out, evbuffer_get_length(st->out));
			shutdown(st->fd, SHUT_RDWR);
			set_write_event(st, false);
			/* It may have been paused. */
			event_add(&st->read_ev, NULL);
			return;
		}
		set_write_event(st, true);
		return;
	}
	set_write_event(st, false);
	if (st->shutdown_pending)
		shutdown(st->fd, SHUT_WR);
}

static void
write_output(struct stream *st)
{
	uint64_t before = st->bytes_sent;

	write_to_socket(st);
	if (st->bytes_sent != before && st->ops->sent != NULL)
		st->ops->sent(st->owner, (size_t)(st->bytes_sent - before));
}

static bool
finish_connect(struct stream *st)
{
	socklen_t len = sizeof(int);
	int err = 0;

	getsockopt(st->fd, SOL_SOCKET, SO_ERROR, &err, &len);
	if (err != 0) {
		set_write_event(st, false);
		st->ops->closed(st->owner, STREAM_CONNECT_FAILED);
		return false;
	}
	st->connecting = false;
	event_add(&st->read_ev, NULL);
	return true;
}

static void
on_write(evutil_socket_t fd, short what, void *arg)
{
	struct stream *st = arg;

	(void)fd;
	(void)what;
	if (st->connecting) {
		if (!finish_connect(st))
			return;
		if (st->ops->connected != NULL)
			st->ops->connected(st->owner);
	}
	write_output(st);
}

static void
on_flush(evutil_socket_t fd, short what, void *arg)
{
	struct stream *st = arg;

	(void)fd;
	(void)what;
	if (!st->connecting && !st->write_armed)
		write_output(st);
}

static struct stream *
stream_create(
    struct event_base *base, int fd, const struct stream_ops *ops, void *owner)
{
	struct stream *st = xcalloc(1, sizeof(*st));

	st->ops = ops;
	st->owner = owner;
	st->fd = fd;
	st->out = evbuffer_new();
	if (st->out == NULL)
		abort();
	event_assign(&st->read_ev, base, fd, EV_READ | EV_PERSIST, on_read, st);
	event_assign(
	    &st->write_ev, base, fd, EV_WRITE | EV_PERSIST, on_write, st);
	event_assign(&st->flush_ev, base, -1, 0, on_flush, st);
	set_socket_options(fd);
	return st;
}

struct stream *
stream_accept(
    struct event_base *base, int fd, const struct stream_ops *ops, void *owner)
{
	struct stream *st = stream_create(base, fd, ops, owner);

	event_add(&st->read_ev, NULL);
	return st;
}

static void
fill_sockaddr(struct sockaddr_in *sin, struct addr a)
{
	memset(sin, 0, sizeof(*sin));
	sin->sin_family = AF_INET;
	sin->sin_addr.s_addr = htonl(a.ip);
	sin->sin_port = htons(a.port);
}

struct stream *
stream_connect(struct event_base *base, struct addr to,
    const struct stream_ops *ops, void *owner)
{
	struct sockaddr_in sin;
	struct stream *st;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0) {
		log_line(LOG_ERR, "socket-failed", "error=%s", strerror(errno));
		return NULL;
	}
	fill_sockaddr(&sin, to);
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	st = stream_create(base, fd, ops, owner);
	st->connecting = true;
	set_write_event(st, true);
	return st;
}

void
stream_destroy(struct stream *st)
{
	event_del(&st->read_ev);
	event_del(&st->write_ev);
	event_del(&st->flush_ev);
	evbuffer_free(st->out);
	close(st->fd);
	free(st);
}

struct evbuffer *
stream_output(struct stream *st)
{
	return st->out;
}

void
stream_flush(struct stream *st)
{
	event_active(&st->flush_ev, EV_TIMEOUT, 0);
}

static void
release_reference(const void *data, size_t len, void *arg)
{
	struct buffer *b = arg;

	(void)data;
	(void)len;
	buffer_release(b);
	free(b);
}

void
stream_append_buffer(struct evbuffer *out, struct buffer *b)
{
	struct buffer *kept;

	if (b->len < MIN_REFERENCED_BYTES) {
		evbuffer_add(out, b->data, b->len);
		buffer_release(b);
		return;
	}
	kept = xcalloc(1, sizeof(*kept));
	buffer_move(kept, b);
	evbuffer_add_reference(
	    out, kept->data, kept->len, release_reference, kept);
}

void
stream_write(struct stream *st, const void *data, size_t len)
{
	evbuffer_add(st->out, data, len);
	stream_flush(st);
}

void
stream_shutdown(struct stream *st)
{
	st->shutdown_pending = true;
	stream_flush(st);
}

size_t
stream_bytes_pending(struct stream *st)
{
	return evbuffer_get_length(st->out);
}

uint64_t
stream_bytes_sent(const struct stream *st)
{
	return st->bytes_sent;
}

uint64_t
stream_bytes_acked(const struct stream *st)
{
	int unacked = 0;

	if (ioctl(st->fd, SIOCOUTQ, &unacked) != 0 || unacked < 0)
		unacked = 0;
	return st->bytes_sent - (uint64_t)unacked;
}

bool
stream_is_flushed(const struct stream *st)
{
	return evbuffer_get_length(st->out) == 0 &&
	       stream_bytes_acked(st) == st->bytes_sent;
}

void
stream_allow_pauses(struct stream *st)
{
	int unsent = MAX_UNSENT_BYTES;

	set_unacked_timeout(st->fd, 0); /* the system's default */
	setsockopt(
	    st->fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &unsent, sizeof(unsent));
}

void
stream_pause(struct stream *st, bool paused)
{
	if (st->connecting)
		return;
	if (paused)
		event_del(&st->read_ev);
	else
		event_add(&st->read_ev, NULL);
}

struct listener {
	struct evconnlistener *ev;
	struct event *retry; /* accepts again after an error */
	void (*accepted)(void *owner, int fd);
	void *owner;
};

static void
on_accept(struct evconnlistener *ev, evutil_socket_t fd, struct sockaddr *sa,
    int len, void *arg)
{
	struct listener *l = arg;

	(void)ev;
	(void)sa;
	(void)len;
	l->accepted(l->owner, fd);
}

static void
on_retry(evutil_socket_t fd, short what, void *arg)
{
	struct listener *l = arg;

	(void)fd;
	(void)what;
	evconnlistener_enable(l->ev);
}

/* Without a pause the loop would try again and again to accept. */
static void
on_accept_error(struct evconnlistener *ev, void *arg)
{
	struct timeval tv = {0, ACCEPT_RETRY_US};
	struct listener *l = arg;

	log_line(LOG_ERR, "accept-failed", "error=%s", strerror(errno));
	evconnlistener_disable(ev);
	evtimer_add(l->retry, &tv);
}

struct listener *
listener_create(struct event_base *base, struct addr at,
    void (*accepted)(void *owner, int fd), void *owner)
{
	struct listener *l = xcalloc(1, sizeof(*l));
	struct sockaddr_in sin;

	l->accepted = accepted;
	l->owner = owner;
	fill_sockaddr(&sin, at);
	l->ev = evconnlistener_new_bind(base, on_accept, l,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
	    LISTEN_BACKLOG, (struct sockaddr *)&sin, sizeof(sin));
	if (l->ev == NULL) {
		free(l);
		return NULL;
	}
	l->retry = evtimer_new(base, on_retry, l);
	evconnlistener_set_error_cb(l->ev, on_accept_error);
	return l;
}

void
listener_destroy(struct listener *l)
{
	if (l == NULL)
		return;
	event_free(l->retry);
	evconnlistener_free(l->ev);
	free(l);
}
