#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "t/standin.h"

void
standin_options(const GOptionEntry *entries, int argc, char **argv)
{
	GOptionContext *ctx = g_option_context_new(NULL);
	GError *error = NULL;

	g_option_context_add_main_entries(ctx, entries, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &error)) {
		fprintf(stderr, "error: %s\n", error->message);
		exit(129);
	}
	g_option_context_free(ctx);
}

struct event_base *
standin_base(void)
{
	struct event_config *cfg = event_config_new();
	struct event_base *base;

	event_config_set_flag(cfg, EVENT_BASE_FLAG_PRECISE_TIMER);
	base = event_base_new_with_config(cfg);
	event_config_free(cfg);
	return base;
}

struct evhttp *
standin_listen(struct event_base *base, int port,
    void (*cb)(struct evhttp_request *, void *), void *arg)
{
	struct evhttp *http = evhttp_new(base);

	evhttp_set_allowed_methods(
	    http, EVHTTP_REQ_GET | EVHTTP_REQ_HEAD | EVHTTP_REQ_POST |
		      EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH);
	evhttp_set_gencb(http, cb, arg);
	if (evhttp_bind_socket(http, STANDIN_IP, port) != 0) {
		fprintf(stderr, "fatal: cannot bind port %d\n", port);
		exit(128);
	}
	return http;
}

static void
on_stop_signal(evutil_socket_t sig, short what, void *arg)
{
	(void)sig;
	(void)what;
	event_base_loopbreak(arg);
}

void
standin_run(struct event_base *base)
{
	struct event *sigterm =
	    evsignal_new(base, SIGTERM, on_stop_signal, base);
	struct event *sigint = evsignal_new(base, SIGINT, on_stop_signal, base);

	signal(SIGPIPE, SIG_IGN);
	evsignal_add(sigterm, NULL);
	evsignal_add(sigint, NULL);
	event_base_dispatch(base);
	event_free(sigterm);
	event_free(sigint);
}

void
standin_reply(struct evhttp_request *req, int status, const char *fmt, ...)
{
	struct evbuffer *buf = evbuffer_new();
	va_list ap;

	va_start(ap, fmt);
	evbuffer_add_vprintf(buf, fmt, ap);
	va_end(ap);
	evhttp_send_reply(req, status, NULL, buf);
	evbuffer_free(buf);
}

void
standin_reply_raw(struct evhttp_request *req, const char *text)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(
	    evhttp_request_get_connection(req));
	ssize_t len = (ssize_t)strlen(text);

	if (write(bufferevent_getfd(bev), text, (size_t)len) != len)
		abort();
}

gchar *
standin_param(struct evhttp_request *req, const char *name, const char *def)
{
	const char *query =
	    evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
	struct evkeyvalq params;
	const char *value = NULL;
	gchar *copy;

	if (query == NULL || evhttp_parse_query_str(query, &params) != 0)
		return g_strdup(def);
	value = evhttp_find_header(&params, name);
	copy = g_strdup(value != NULL ? value : def);
	evhttp_clear_headers(&params);
	return copy;
}

uint64_t
standin_param_number(struct evhttp_request *req, const char *name, uint64_t def)
{
	gchar *value = standin_param(req, name, NULL);
	uint64_t n = value != NULL ? strtoull(value, NULL, 10) : def;

	g_free(value);
	return n;
}

uint64_t
standin_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * UINT64_C(1000000) + ts.tv_nsec / 1000;
}
