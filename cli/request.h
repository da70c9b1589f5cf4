/*
 * request - one HTTP request to the operators' port of a daemon
 *
 *	struct daemon_response resp;
 *	if (!request_send("10.0.0.1:7002", "GET", "/status", NULL, 0, &resp,
 *		&error))
 *		return request_report_error(error);
 *	...resp.status, resp.text
 *	daemon_response_release(&resp);
 *
 * Each call blocks until the response is there or the request has failed.
 */
#ifndef CLI_REQUEST_H
#define CLI_REQUEST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct daemon_response {
	int status; /* HTTP status */
	uint64_t version; /* of the configuration; 0 if the response has none */
	char *text; /* the body, with a NUL after it; owned */
	size_t len; /* bytes of the body */
};

/*
 * Send a request with a body of len bytes to the daemon at "IP:PORT"; method is
 * "GET", "PUT" or "POST".  Returns true with a response, which the caller
 * releases.  Otherwise returns false with a GError, whose code is an exit code:
 * EXIT_USAGE if daemon is NULL or no address, EXIT_FATAL if there was no
 * response; a submission may have been accepted all the same.
 */
bool request_send(const char *daemon, const char *method, const char *uri,
    const char *body, size_t len, struct daemon_response *, GError **);
void daemon_response_release(struct daemon_response *);
/*
 * The address of the daemon to use: the option's value if it is not NULL,
 * or else $CRANBERRYWAY_DAEMON, or NULL if that is not set.
 */
const char *request_daemon_address(const char *option);
/*
 * Send a request without a body and print the body of the response.
 * Returns an exit code: 0 for status 200, EXIT_NEGATIVE for any other.
 */
int request_print(const char *daemon, const char *method, const char *uri);
/* Print a GError as a fatal error and free it; returns the exit code. */
int request_report_error(GError *);

#endif
