/*
 * standin-proxy - takes the place of a bad network between two local ports
 *
 * Accepts connections at --port and relays each to --to over a connection of
 * its own.  The port --control changes what happens to the data:
 *
 *	/-/mode?mode=ok		relay everything
 *	/-/mode?mode=delay&ms=N	relay data N ms later, in batches: what arrives
 *				during a delay is sent at its end
 *	/-/mode?mode=reset	reset all open connections and all new ones
 *	/-/mode?mode=silent	discard the data of both directions
 *	/-/mode?mode=out	discard what the connecting side sends
 *	/-/mode?mode=in		discard what is sent to the connecting side
 *	/-/mode?mode=forget	discard all data of the connections that are
 *				open now, and relay new ones
 *
 * A direction whose data was discarded once stays so until its connection
 * ends, whatever the mode is then; both sides see an open connection.
 */
#include <bsd/sys/queue.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#include "t/standin.h"

enum mode {
	MODE_OK,
	MODE_DELAY,
	MODE_RESET,
	MODE_DISCARD_ALL,
	MODE_DISCARD_FROM_CLIENT,
	MODE_DISCARD_FROM_SERVER,
	MODE_DISCARD_OPEN,
	MODE_COUNT,
};

/* One of the two connections of a relay, and the data read from it. */
struct side {
	struct relay *relay;
	struct side *other;
	struct bufferevent *bev;
	struct event *delay_timer; /* writes buffered to the other */
	struct evbuffer *buffered; /* read from here, not yet written there */
	bool discarding; /* some data was discarded, so all further data is */
};

/* A connection that was accepted, and the one to the server for it. */
struct relay {
	LIST_ENTRY(relay) entry;
	struct side client; /* the side that connected to us */
	struct side server;
	bool discard_all; /* in both directions, see MODE_DISCARD_OPEN */
};

LIST_HEAD(relay_list, relay);

struct proxy {
	struct event_base *base;
	struct relay_list relays;
	struct sockaddr_in server_addr;
	enum mode mode;
	uint64_t delay_ms;
};

static struct proxy proxy;

static void
side_release(struct side *s)
{
	event_free(s->delay_timer);
	evbuffer_free(s->buffered);
	bufferevent_free(s->bev);
}

/* End a relay; with reset, by RST instead of FIN. */
static void
relay_close(struct relay *r, bool reset)
{
	struct linger reset_on_close = {1, 0}; /* a timeout of 0 s */

	if (reset) {
		setsockopt(bufferevent_getfd(r->client.bev), SOL_SOCKET,
		    SO_LINGER, &reset_on_close, sizeof(reset_on_close));
		setsockopt(bufferevent_getfd(r->server.bev), SOL_SOCKET,
		    SO_LINGER, &reset_on_close, sizeof(reset_on_close));
	}
	LIST_REMOVE(r, entry);
	side_release(&r->client);
	side_release(&r->server);
	g_free(r);
}

/* Whether the data read from a side is to be discarded. */
static bool
side_discards(const struct side *s)
{
	bool from_client = s == &s->relay->client;

	return s->relay->discard_all || s->discarding ||
	       proxy.mode == MODE_DISCARD_ALL ||
	       (proxy.mode == MODE_DISCARD_FROM_CLIENT && from_client) ||
	       (proxy.mode == MODE_DISCARD_FROM_SERVER && !from_client);
}

static void
on_delay_over(evutil_socket_t fd, short what, void *arg)
{
	struct side *s = arg;

	(void)fd;
	(void)what;
	bufferevent_write_buffer(s->other->bev, s->buffered);
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(bev);
	struct timeval tv = {
	    proxy.delay_ms / 1000, proxy.delay_ms % 1000 * 1000};
	struct side *s = arg;

	if (side_discards(s)) {
		/* Later bytes must not be relayed as if none were missing. */
		s->discarding = true;
		evbuffer_drain(in, evbuffer_get_length(in));
	} else if (proxy.mode == MODE_DELAY) {
		evbuffer_add_buffer(s->buffered, in);
		if (!event_pending(s->delay_timer, EV_TIMEOUT, NULL))
			event_add(s->delay_timer, &tv);
	} else {
		evbuffer_add_buffer(s->buffered, in);
		bufferevent_write_buffer(s->other->bev, s->buffered);
	}
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct side *s = arg;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED)
		return;
	/* Where data is discarded, the end of the connection is not relayed. */
	if (side_discards(s)) {
		bufferevent_disable(s->bev, EV_READ);
		s->discarding = true;
		return;
	}
	relay_close(s->relay, (what & BEV_EVENT_ERROR) != 0);
}

static void
side_init(struct side *s, struct relay *r, struct side *other, int fd)
{
	s->relay = r;
	s->other = other;
	s->bev = bufferevent_socket_new(
	    proxy.base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	s->delay_timer = evtimer_new(proxy.base, on_delay_over, s);
	s->buffered = evbuffer_new();
	bufferevent_setcb(s->bev, on_read, NULL, on_event, s);
	bufferevent_enable(s->bev, EV_READ | EV_WRITE);
}

static void
on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *from,
    int len, void *arg)
{
	struct relay *r = g_new0(struct relay, 1);

	(void)l;
	(void)from;
	(void)len;
	(void)arg;
	side_init(&r->client, r, &r->server, fd);
	side_init(&r->server, r, &r->client, -1);
	LIST_INSERT_HEAD(&proxy.relays, r, entry);
	if (proxy.mode == MODE_RESET ||
	    bufferevent_socket_connect(r->server.bev,
		(struct sockaddr *)&proxy.server_addr,
		sizeof(proxy.server_addr)) != 0)
		relay_close(r, true);
}

static void
set_mode(enum mode mode)
{
	struct relay *r, *next;

	LIST_FOREACH_SAFE (r, &proxy.relays, entry, next) {
		if (mode == MODE_DISCARD_OPEN)
			r->discard_all = true;
		else if (mode == MODE_RESET)
			relay_close(r, true);
	}
	proxy.mode = mode == MODE_DISCARD_OPEN ? MODE_OK : mode;
}

static void
on_request(struct evhttp_request *req, void *arg)
{
	static const char *const names[MODE_COUNT] = {
	    "ok", "delay", "reset", "silent", "out", "in", "forget"};
	gchar *name = standin_param(req, "mode", "");
	int i;

	(void)arg;
	for (i = 0; i < MODE_COUNT && strcmp(name, names[i]) != 0; i++)
		;
	proxy.delay_ms = standin_param_number(req, "ms", 100);
	if (i < MODE_COUNT)
		set_mode(i);
	standin_reply(req, i < MODE_COUNT ? 200 : 400, "mode %s\n", name);
	g_free(name);
}

int
main(int argc, char **argv)
{
	static gint port = 7901, server_port = 7902, control_port = 7903;
	const GOptionEntry entries[] = {
	    {"port", 0, 0, G_OPTION_ARG_INT, &port, NULL, NULL},
	    {"to", 0, 0, G_OPTION_ARG_INT, &server_port, NULL, NULL},
	    {"control", 0, 0, G_OPTION_ARG_INT, &control_port, NULL, NULL},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	struct sockaddr_in own_addr = {.sin_family = AF_INET};
	struct evconnlistener *listener;

	standin_options(entries, argc, argv);
	proxy.base = standin_base();
	LIST_INIT(&proxy.relays);
	own_addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	own_addr.sin_port = htons((uint16_t)port);
	proxy.server_addr = own_addr;
	proxy.server_addr.sin_port = htons((uint16_t)server_port);
	listener = evconnlistener_new_bind(proxy.base, on_accept, NULL,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
	    (struct sockaddr *)&own_addr, sizeof(own_addr));
	if (listener == NULL) {
		fprintf(stderr, "fatal: cannot bind port %d\n", port);
		return 128;
	}
	standin_listen(proxy.base, control_port, on_request, NULL);
	standin_run(proxy.base);
	evconnlistener_free(listener);
	return 0;
}
