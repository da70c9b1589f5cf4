/*
 * daemon - the tasks of one cranberrywayd and who gets which message
 *
 *	front	callers' HTTP connections
 *	link	connections to other daemons
 *	target	HTTP connections to the local target
 *	platform	requests to the platform's table service
 *	operator	the operators' port
 *	announce	the local target's word of itself, where it has a port
 *	probe	readiness and metrics
 *	decide	the core's node; every other task talks to this one only
 */
#ifndef DAEMON_DAEMON_H
#define DAEMON_DAEMON_H

#include <event2/event.h>

#include "config/settings.h"
#include "core/node.h"
#include "daemon/task.h"
#include "wire/context.h"

#define SECRET_MAX 4096 /* bytes of the secret's file */
#define LOOPBACK_IP UINT32_C(0x7f000001)
#define DAEMON_PROBE_SEQ (UINT64_C(1) << 63) /* marks the probe's requests */

struct announcement;
struct dialect;
struct row_protocol;

struct daemon {
	struct event_base *base;
	struct settings *settings; /* in force */
	const char *settings_path;
	const struct dialect *dialect;
	const struct row_protocol *rows;
	const struct announcement *announcement; /* NULL: the operators' port */
	uint64_t max_descriptors;
	uint8_t secret[32]; /* hash of the secret's file */
	uint8_t context_key[CONTEXT_KEY_LEN]; /* drawn at the start */
	struct task *front;
	struct task *link;
	struct task *target;
	struct task *platform;
	struct task *operators;
	struct task *announce; /* NULL if targets use the operators' port */
	struct task *probe;
	struct task *decide;
	bool ready; /* callers may be sent here */
	bool draining; /* set once, by the signal or the operator */
};

/* Each returns NULL if its socket can not be bound, after a log line. */
struct task *front_task_create(struct daemon *);
struct task *link_task_create(struct daemon *);
struct task *target_task_create(struct daemon *);
struct task *platform_task_create(struct daemon *);
struct task *operators_task_create(struct daemon *);
struct task *announce_task_create(struct daemon *);
struct task *probe_task_create(struct daemon *);
struct task *decide_task_create(struct daemon *, const struct node_setup *);

/* The part of a setup that may change while calls run. */
void daemon_tune(const struct settings *, struct node_setup *);
/* The time for the core. */
struct instant daemon_now(void);
/* Ask the decide task to leave in order; the loop ends when it has. */
void daemon_drain(struct daemon *);

#endif
