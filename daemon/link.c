/*
 * Links to other daemons: TCP, a handshake that proves the fleet's secret
 * on both sides, then frames.  A link is opened when there is something to
 * send; either side's connection serves both directions.
 */
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/daemon.h"
#include "daemon/log.h"
#include "wire/frame.h"

#define HANDSHAKE_S 3 /* a link that is not open by then is closed */
#define SEND_TIMEOUT_MS 3000 /* unacknowledged for so long: lost */
#define MAX_OUTPUT (16u << 20) /* bytes that may wait on one link */
#define IDLE_US                                                                \
	(120 * SEC_US) /* an outgoing link without traffic is closed           \
			*/
#define SWEEP_S 10
#define LISTEN_BACKLOG 256

enum link_state {
	LINK_HELLO, /* connecting, or the peer's nonce has not come */
	LINK_PROOF, /* the peer's proof has not come */
	LINK_OPEN,
};

struct link {
	LIST_ENTRY(link) entry;
	struct links *links;
	struct bufferevent *bev;
	struct msg_list waiting; /* until the link is open */
	struct addr peer;
	enum link_state state;
	bool outgoing;
	uint64_t used_us;
	uint8_t nonce[FRAME_NONCE_LEN];
	uint8_t peer_nonce[FRAME_NONCE_LEN];
};

LIST_HEAD(link_list, link);

struct links {
	struct daemon *daemon;
	struct link_list list;
	struct evconnlistener *listener;
	struct event *sweep;
	uint64_t count;
};

/*
 * The proof covers both nonces, who sends it and in which role, so that it
 * can not be played back to its sender.
 */
static void
make_proof(const struct link *l, bool own, uint8_t *mac)
{
	struct addr sender = own ? l->links->daemon->settings->link : l->peer;
	bool initiator = own ? l->outgoing : !l->outgoing;
	const uint8_t *first = own ? l->nonce : l->peer_nonce;
	const uint8_t *second = own ? l->peer_nonce : l->nonce;
	uint8_t name[7] = {initiator, sender.ip >> 24, sender.ip >> 16,
	    sender.ip >> 8, sender.ip, sender.port >> 8, sender.port};
	crypto_generichash_state st;

	crypto_generichash_init(&st, l->links->daemon->secret,
	    sizeof(l->links->daemon->secret), FRAME_MAC_LEN);
	crypto_generichash_update(&st, name, sizeof(name));
	crypto_generichash_update(&st, first, FRAME_NONCE_LEN);
	crypto_generichash_update(&st, second, FRAME_NONCE_LEN);
	crypto_generichash_final(&st, mac, FRAME_MAC_LEN);
}

static void
send_handshake(struct link *l, const struct handshake *h)
{
	struct buffer buf = {NULL, 0};

	frame_encode_handshake(h, &buf);
	bufferevent_write(l->bev, buf.data, buf.len);
	buffer_release(&buf);
}

static void
send_hello(struct link *l)
{
	struct handshake h = {.is_hello = true};

	h.addr = l->links->daemon->settings->link;
	memcpy(h.nonce, l->nonce, FRAME_NONCE_LEN);
	send_handshake(l, &h);
}

static void
link_free(struct link *l)
{
	LIST_REMOVE(l, entry);
	l->links->count--;
	msg_list_clear(&l->waiting);
	bufferevent_free(l->bev);
	free(l);
}

/* Close a link and tell the core, if it could have used it. */
static void
link_close(struct link *l, const char *cause)
{
	char text[ADDR_TEXT_LEN];
	struct msg *m;

	log_line(l->state == LINK_OPEN ? LOG_INFO : LOG_DEBUG, "link-closed",
	    "peer=%s cause=%s", addr_text(l->peer, text), cause);
	if (l->state == LINK_OPEN || l->outgoing) {
		m = msg_create(MSG_LINK_DOWN);
		m->peer = l->peer;
		m->sent = l->state == LINK_OPEN;
		task_send(l->links->daemon->decide, m);
	}
	link_free(l);
}

static void
send_message(struct link *l, struct msg *m)
{
	struct buffer buf = {NULL, 0};

	frame_encode(m, &buf);
	msg_destroy(m);
	l->used_us = daemon_now().mono_us;
	if (buf.len <= FRAME_MAX)
		bufferevent_write(l->bev, buf.data, buf.len);
	buffer_release(&buf);
}

static void
link_opened(struct link *l)
{
	struct msg *m;

	l->state = LINK_OPEN;
	bufferevent_set_timeouts(l->bev, NULL, NULL);
	while ((m = TAILQ_FIRST(&l->waiting)) != NULL) {
		TAILQ_REMOVE(&l->waiting, m, entry);
		send_message(l, m);
	}
}

/* One step of the handshake; false if the peer is not one of the fleet. */
static bool
take_handshake(struct link *l, const struct handshake *h)
{
	struct handshake proof = {.is_hello = false};
	uint8_t want[FRAME_MAC_LEN];

	if (l->state == LINK_HELLO && h->is_hello) {
		if (l->outgoing && !addr_equal(l->peer, h->addr))
			return false;
		l->peer = h->addr;
		memcpy(l->peer_nonce, h->nonce, FRAME_NONCE_LEN);
		make_proof(l, true, proof.mac);
		send_handshake(l, &proof);
		l->state = LINK_PROOF;
		return true;
	}
	if (l->state != LINK_PROOF || h->is_hello)
		return false;
	make_proof(l, false, want);
	if (sodium_memcmp(want, h->mac, FRAME_MAC_LEN) != 0)
		return false;
	link_opened(l);
	return true;
}

static enum frame_status
take_frame(struct link *l, const uint8_t *data, size_t len, size_t *used)
{
	struct handshake h;
	enum frame_status status;
	struct msg *m;

	if (l->state != LINK_OPEN) {
		status = frame_decode_handshake(data, len, &h, used);
		if (status == FRAME_OK && !take_handshake(l, &h))
			return FRAME_MALFORMED;
		return status;
	}
	status = frame_decode(data, len, &m, used);
	if (status != FRAME_OK)
		return status;
	m->peer = l->peer;
	l->used_us = daemon_now().mono_us;
	task_send(l->links->daemon->decide, m);
	return FRAME_OK;
}

/* Wait until the whole of the next frame is there. */
static void
expect(struct link *l, struct evbuffer *in)
{
	uint8_t head[FRAME_HEAD];
	size_t want = FRAME_HEAD;

	if (evbuffer_copyout(in, head, FRAME_HEAD) == FRAME_HEAD)
		want += (size_t)head[0] << 24 | (size_t)head[1] << 16 |
			(size_t)head[2] << 8 | head[3];
	bufferevent_setwatermark(l->bev, EV_READ, want, 0);
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(bev);
	struct link *l = arg;
	enum frame_status status;
	size_t used = 0, len;

	while ((len = evbuffer_get_length(in)) >= FRAME_HEAD) {
		status = take_frame(l, evbuffer_pullup(in, -1), len, &used);
		if (status == FRAME_SHORT)
			break;
		if (status != FRAME_OK) {
			char text[ADDR_TEXT_LEN];

			log_line(LOG_WARNING, "bad-frame",
			    "peer=%s state=%d status=%d",
			    addr_text(l->peer, text), l->state, status);
			link_close(l, "bad-frame");
			return;
		}
		evbuffer_drain(in, used);
	}
	expect(l, in);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct link *l = arg;
	int on = 1;

	if (what & BEV_EVENT_CONNECTED) {
		setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY,
		    &on, sizeof(on));
		send_hello(l);
		return;
	}
	link_close(l, what & BEV_EVENT_TIMEOUT ? "timeout" : "lost");
}

static void
set_options(int fd)
{
	int on = 1, ms = SEND_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

static struct link *
link_create(struct links *s, int fd, bool outgoing)
{
	struct link *l = xcalloc(1, sizeof(*l));
	struct timeval tv = {HANDSHAKE_S, 0};

	l->links = s;
	l->outgoing = outgoing;
	l->used_us = daemon_now().mono_us;
	TAILQ_INIT(&l->waiting);
	randombytes_buf(l->nonce, sizeof(l->nonce));
	l->bev =
	    bufferevent_socket_new(s->daemon->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(l->bev, on_read, NULL, on_event, l);
	bufferevent_set_timeouts(l->bev, &tv, &tv);
	bufferevent_setwatermark(l->bev, EV_READ, FRAME_HEAD, 0);
	bufferevent_enable(l->bev, EV_READ | EV_WRITE);
	LIST_INSERT_HEAD(&s->list, l, entry);
	s->count++;
	return l;
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *sa, int len, void *arg)
{
	struct links *s = arg;

	(void)listener;
	(void)sa;
	(void)len;
	if (s->count >= s->daemon->settings->max_links) {
		log_line(LOG_WARNING, "too-many-links", "links=%llu",
		    (unsigned long long)s->count);
		evutil_closesocket(fd);
		return;
	}
	set_options(fd);
	send_hello(link_create(s, fd, false));
}

static void
fill_sockaddr(struct sockaddr_in *sin, struct addr a)
{
	memset(sin, 0, sizeof(*sin));
	sin->sin_family = AF_INET;
	sin->sin_addr.s_addr = htonl(a.ip);
	sin->sin_port = htons(a.port);
}

static struct link *
link_connect(struct links *s, struct addr peer)
{
	struct sockaddr_in sin;
	struct link *l;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return NULL;
	set_options(fd);
	l = link_create(s, fd, true);
	l->peer = peer;
	fill_sockaddr(&sin, peer);
	if (bufferevent_socket_connect(
		l->bev, (struct sockaddr *)&sin, sizeof(sin)) == 0)
		return l;
	link_free(l);
	return NULL;
}

/* An open link, or else one that is being opened. */
static struct link *
link_find(struct links *s, struct addr peer)
{
	struct link *l, *best = NULL;

	LIST_FOREACH (l, &s->list, entry) {
		if (!addr_equal(l->peer, peer))
			continue;
		if (l->state == LINK_OPEN)
			return l;
		if (l->outgoing)
			best = l;
	}
	return best;
}

static void
report_unsent(struct links *s, struct msg *m)
{
	struct msg *down = msg_create(MSG_LINK_DOWN);

	down->peer = m->peer;
	task_send(s->daemon->decide, down);
	msg_destroy(m);
}

static void
receive(void *state, struct msg *m)
{
	struct links *s = state;
	struct link *l = link_find(s, m->peer);

	if (l == NULL)
		l = link_connect(s, m->peer);
	if (l == NULL) {
		report_unsent(s, m);
		return;
	}
	if (l->state != LINK_OPEN) {
		TAILQ_INSERT_TAIL(&l->waiting, m, entry);
		return;
	}
	send_message(l, m);
	if (evbuffer_get_length(bufferevent_get_output(l->bev)) > MAX_OUTPUT)
		link_close(l, "peer-does-not-read");
}

static void
on_sweep(evutil_socket_t fd, short what, void *arg)
{
	uint64_t now = daemon_now().mono_us;
	struct links *s = arg;
	struct link *l, *next;

	(void)fd;
	(void)what;
	LIST_FOREACH_SAFE (l, &s->list, entry, next) {
		if (l->outgoing && l->state == LINK_OPEN &&
		    now - l->used_us > IDLE_US)
			link_close(l, "idle");
	}
}

static void
destroy(void *state)
{
	struct links *s = state;
	struct link *l;

	while ((l = LIST_FIRST(&s->list)) != NULL)
		link_free(l);
	evconnlistener_free(s->listener);
	event_free(s->sweep);
	free(s);
}

static const struct task_ops ops = {receive, destroy};

struct task *
link_task_create(struct daemon *d)
{
	struct links *s = xcalloc(1, sizeof(*s));
	struct timeval tv = {SWEEP_S, 0};
	struct sockaddr_in sin;
	char text[ADDR_TEXT_LEN];

	s->daemon = d;
	LIST_INIT(&s->list);
	fill_sockaddr(&sin, d->settings->link);
	s->listener = evconnlistener_new_bind(d->base, on_accept, s,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, LISTEN_BACKLOG,
	    (struct sockaddr *)&sin, sizeof(sin));
	if (s->listener == NULL) {
		log_line(LOG_ERR, "bind-failed", "port=link addr=%s",
		    addr_text(d->settings->link, text));
		free(s);
		return NULL;
	}
	s->sweep = event_new(d->base, -1, EV_PERSIST, on_sweep, s);
	event_add(s->sweep, &tv);
	return task_create(d->base, "link", &ops, s);
}
