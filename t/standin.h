/*
 * standin - what the stand-in programs share: options, HTTP and the event loop
 *
 * A stand-in takes the place of a system that this project does not own:
 * callers, targets, the platform's table service, the network.  Stand-ins are
 * used by tests only and listen on the loopback address.  All but the caller
 * have a path "/-/mode" that changes their behaviour while they run.
 *
 *	standin_options(entries, argc, argv);
 *	base = standin_base();
 *	standin_listen(base, port, on_request, arg);
 *	standin_run(base);	returns after SIGTERM or SIGINT
 *
 * Errors end the program: 129 for wrong options, 128 for a port that cannot
 * be bound.
 */
#ifndef T_STANDIN_H
#define T_STANDIN_H

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define STANDIN_IP "127.0.0.1"

/* Parse the options; on an error, print it and exit with 129. */
void standin_options(const GOptionEntry *, int argc, char **argv);
/*
 * Create an event loop whose timers have microsecond resolution.  The caller
 * owns it.
 */
struct event_base *standin_base(void);
/*
 * Serve HTTP on a port of the loopback address; cb is called with arg for
 * each request.  Exits with 128 if the port cannot be bound.  The server lives
 * until the end of the program.
 */
struct evhttp *standin_listen(struct event_base *, int port,
    void (*cb)(struct evhttp_request *, void *), void *arg);
/* Run the event loop until SIGTERM or SIGINT; SIGPIPE is ignored. */
void standin_run(struct event_base *);
/* Answer a request with a formatted text as the body. */
void standin_reply(struct evhttp_request *, int status, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/*
 * Answer a request with the bytes of a text as they are.  The request ends when
 * the peer closes the connection.
 */
void standin_reply_raw(struct evhttp_request *, const char *text);
/*
 * Return a copy of a query parameter, or of the default, which may be NULL,
 * if it is absent.  The caller frees it with g_free().
 */
gchar *standin_param(
    struct evhttp_request *, const char *name, const char *def);
/* The same for a decimal number; text that is no number counts as 0. */
uint64_t standin_param_number(
    struct evhttp_request *, const char *name, uint64_t def);
/* Microseconds on the monotonic clock. */
uint64_t standin_now_us(void);

#endif
