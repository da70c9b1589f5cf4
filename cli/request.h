/*
 * request - one question to a daemon's operators' port
 *
 *	struct answer a;
 *	if (!request_send(where, "GET", "/status", NULL, 0, &a, &error)) ...
 *	answer_release(&a);
 *
 * where is "IP:PORT".  A GError says why no answer came; after a submission
 * this does not mean that it was not accepted.
 */
#ifndef CLI_REQUEST_H
#define CLI_REQUEST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct answer {
	int status; /* of HTTP */
	uint64_t version; /* of the configuration, if it was told */
	char *text;
	size_t len;
};

bool request_send(const char *where, const char *method, const char *uri,
    const char *body, size_t len, struct answer *, GError **);
void answer_release(struct answer *);
/* Where to ask: the option's value, or $CRANBERRYWAY_DAEMON, or NULL. */
const char *request_where(const char *option);
/* Ask and print the text; returns an exit code.  For the simple ones. */
int request_print(const char *where, const char *method, const char *uri);
/* Print a GError as a fatal error with a hint; frees it. */
int request_complain(GError *);

#endif
