/*
 * httpmap - how verdicts and reasons look in HTTP
 *
 * The only place that knows which status stands for which reason, and what
 * our headers are called.
 */
#ifndef WIRE_HTTPMAP_H
#define WIRE_HTTPMAP_H

#include "core/msg.h"

#define HEADER_KEY "Authorization"
#define HEADER_KEY_SCHEME "Bearer "
#define HEADER_ID "Idempotency-Key"
#define HEADER_DEADLINE "Cranberryway-Deadline-Ms"
#define HEADER_CONTEXT "Cranberryway-Context"
#define HEADER_VERDICT "Cranberryway-Verdict"
#define HEADER_REASON "Cranberryway-Reason"
#define HEADER_PREFIX "Cranberryway-"
#define HEADER_RETRY_AFTER "Retry-After"

/* The status that a caller gets for a failure. */
int httpmap_status(enum reason);
/* Whether a caller's or target's header is passed on. */
bool httpmap_passes(const char *name);

#endif
