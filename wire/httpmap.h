/*
 * httpmap - the HTTP headers and statuses of the native dialect
 *
 * Holds the names of the native dialect's headers, the HTTP status for each
 * reason of a failure, and the rule for which headers are forwarded.
 *
 *	status = httpmap_reason_status(reply->failure.reason);
 *	if (httpmap_is_forwarded(name))
 *		copy the header
 */
#ifndef WIRE_HTTPMAP_H
#define WIRE_HTTPMAP_H

#include "core/msg.h"

#define HEADER_AUTHORIZATION "Authorization"
#define HEADER_AUTHORIZATION_SCHEME "Bearer "
/* Identifies a call; retries of it carry the same value. */
#define HEADER_IDEMPOTENCY_KEY "Idempotency-Key"
/* Milliseconds that the sender waits for the response. */
#define HEADER_DEADLINE "Cranberryway-Deadline-Ms"
/* Links a target's calls to the request it serves: see wire/context.h. */
#define HEADER_CONTEXT "Cranberryway-Context"
/* Whether the call ran, by its verdict_name(); a target may send it too. */
#define HEADER_VERDICT "Cranberryway-Verdict"
/* Why a call failed, by its reason_name(). */
#define HEADER_REASON "Cranberryway-Reason"
#define HEADER_PREFIX "Cranberryway-" /* of the product's own headers */
/* Seconds after which a refused caller may try again, in whole numbers. */
#define HEADER_RETRY_AFTER "Retry-After"

/* The HTTP status of a response to a caller whose call failed. */
int httpmap_reason_status(enum reason);
/*
 * Whether a header of a caller's request or of a target's response is
 * forwarded.  Headers of one connection, headers that the daemon sets
 * itself and those that begin with HEADER_PREFIX are not.  Names are
 * compared without regard to case.
 */
bool httpmap_is_forwarded(const char *name);

#endif
