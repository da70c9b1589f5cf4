/*
 * standin - what the stand-ins share: options, HTTP helpers, a clean stop
 *
 * A stand-in takes the place of a system that this project does not own, in
 * tests only.  Each has a path "/-/mode" that switches it while it runs.
 */
#ifndef T_STANDIN_H
#define T_STANDIN_H

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define STANDIN_IP "127.0.0.1"

/* Parse options or exit with 129. */
void standin_options(const GOptionEntry *, int argc, char **argv);
/* An event loop whose timers keep to the microsecond. */
struct event_base *standin_base(void);
/* Serve on a port of the loopback address, or exit with 128. */
struct evhttp *standin_listen(struct event_base *, int port,
    void (*cb)(struct evhttp_request *, void *), void *arg);
/* Run until SIGTERM or SIGINT. */
void standin_run(struct event_base *);
/* Send a text answer. */
void standin_reply(struct evhttp_request *, int status, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/* A query parameter, or the default; the caller frees it with g_free(). */
gchar *standin_param(
    struct evhttp_request *, const char *name, const char *def);
uint64_t standin_param_number(
    struct evhttp_request *, const char *name, uint64_t def);
uint64_t standin_now_us(void);

#endif
