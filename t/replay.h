/*
 * replay - runs nodes in a discrete event simulation
 *
 * The nodes are those that daemons run.  Time, links, the platform's rows,
 * targets and callers are simulated, and one queue of timed events drives
 * them all.  The same seed leads to the same decisions.
 *
 *	struct replay *r = replay_create(seed);
 *	host = replay_add_host(r, &spec);
 *	replay_set_config(r, text);
 *	replay_at(r, 5 * SEC_US, my_fault, arg);
 *	replay_run_until(r, 20 * SEC_US);
 *	replay_destroy(r);
 *
 * A message to another host arrives after the delay of the link and up to a
 * quarter more.  The sender of a message to a host that is down is told that
 * the link could not be opened.  A host that goes down breaks its links.
 * Between partitioned hosts no message arrives, and the sender learns of the
 * lost link after REPLAY_LINK_TIMEOUT_US.
 *
 * The replay owns its hosts, nodes and messages.  Arguments for callbacks
 * stay the caller's, and have to outlive the replay or the callback.  Hosts
 * are numbered from 0 in the order of their creation.  Times that end in
 * _us are microseconds from the start of the replay.
 */
#ifndef T_REPLAY_H
#define T_REPLAY_H

#include "core/node.h"

#ifdef __cplusplus
extern "C" {
#endif

#define REPLAY_MAX_HOSTS 320
/* Time from a message that a partition drops to the report of a lost link. */
#define REPLAY_LINK_TIMEOUT_US (3 * SEC_US)

struct replay;

/* What a target does for one call, by the path of the call. */
struct replay_work {
	uint64_t mean_us; /* run time, evenly spread from half to 1.5 of it */
	const char *calls_path; /* of the calls it makes; NULL: none */
	int calls; /* how many */
	bool together; /* all at once, and not one after the other */
	uint64_t calls_deadline_ms; /* of each of them */
};

/*
 * One host: a daemon and its target.  The strings and tables that it points
 * to must outlive the replay.
 */
struct replay_host_spec {
	const char *dc;
	/* NULL: the data centre has a fixed part of each rate for itself. */
	const char *region;
	int region_dcs; /* number of data centres in that region */
	const char *service; /* the target's service; NULL: no target */
	const char *dependency_path; /* each run calls it once; NULL: no call */
	bool silent; /* it announces itself by replay_announce() only */
	uint32_t slots; /* calls that the target runs at once */
	uint32_t announced_slots; /* 0: as many as slots */
	uint64_t
	    mean_run_us; /* mean of the exponentially distributed run time */
	const struct balancer *balancer; /* NULL: balancer_two_choices */
	const struct limiter *limiter; /* NULL: limiter_slots */
	/* NULL: by the configuration's policy. */
	const struct shedder *shedder;
	const struct retrier *retrier; /* NULL: retrier_tree */
	const struct id_guard *guard; /* NULL: guard_full */
	bool ignores_cancel; /* the target runs cancelled calls to their end */
	size_t max_queue; /* calls that wait for the target; 0: 512 */
	/*
	 * The work of a call, in place of mean_run_us and dependency_path.  The
	 * daemon then serves the users' platform: callers' ids end with their
	 * call, and the target's own calls bear neither key nor context.
	 */
	const struct replay_work *(*work)(const char *path);
	double headroom; /* the part of the target's slots that is kept free */
	const struct catalog_parser *parser; /* NULL: of our own format */
	/*
	 * What the node charges; NULL: nothing.  The test has its holders give
	 * way.  It must outlive the replay.
	 */
	struct account *memory;
};

/* A call of a caller.  The strings are copied. */
struct replay_call {
	int host; /* whose daemon receives the call */
	const char *method;
	const char *path;
	const char *request_host; /* the name it asks for; NULL: none */
	const char *key; /* NULL: none */
	const char *id; /* idempotency id; NULL: none */
	uint64_t deadline_ms; /* from now; 0: the daemon's default */
	/* Called once with the outcome, which it must not keep. */
	void (*done)(struct replay *, void *arg, const struct reply *);
	void *arg;
};

enum replay_platform_mode {
	REPLAY_PLATFORM_OK,
	REPLAY_PLATFORM_DOWN, /* nothing is read or written, requests time out
			       */
	REPLAY_PLATFORM_LOSES_ANSWERS, /* writes take effect but are not
					  answered */
};

struct replay *replay_create(uint64_t seed);
void replay_destroy(struct replay *);
/* Add a host and start its daemon.  Returns the host's number. */
int replay_add_host(struct replay *, const struct replay_host_spec *);
/* Write a new version of the configuration to the platform. */
void replay_set_config(struct replay *, const char *text);
/* Write a row to the platform, as another writer does. */
void replay_set_row(struct replay *, const char *key, const char *value);
void replay_set_platform_mode(struct replay *, enum replay_platform_mode);
/* Keep a copy of the platform's rows, to come back from later. */
void replay_copy_platform(struct replay *);
/*
 * The platform comes back from the copy: the rows written since are gone, their
 * versions are given out again, and its era is one higher.
 */
void replay_return_platform(struct replay *);
/* Partition one host from the platform, or heal that partition. */
void replay_set_platform_partition(struct replay *, int host, bool partitioned);
/* Call fn once at the given time, or at once if that has passed. */
void replay_at(struct replay *, uint64_t at_us,
    void (*fn)(struct replay *, void *arg), void *arg);
/* Process all events up to the given time, and set the clock to it. */
void replay_run_until(struct replay *, uint64_t until_us);
/* The simulated time from the start, in microseconds. */
uint64_t replay_now_us(const struct replay *);
/* The simulated time as the nodes see it. */
struct instant replay_instant(const struct replay *);
/*
 * Send a call.  Returns its token, for replay_abort_call(), or 0 if the host is
 * down, in which case done() was called already.
 */
uint64_t replay_send_call(struct replay *, const struct replay_call *);
/* The caller no longer waits for its call; done() is not called. */
void replay_abort_call(struct replay *, int host, uint64_t token);
/* Kill a host's daemon and target; no effect if they are down. */
void replay_kill(struct replay *, int host);
/* Start a host again, with nothing remembered; no effect if it is up. */
void replay_start(struct replay *, int host);
/*
 * Fail all calls that a host's target runs or has queued, as if the target
 * alone had died and was started again.  Its daemon sees the connections
 * break.
 */
void replay_kill_target(struct replay *, int host);
/* The host's daemon handles no message and no tick for this long. */
void replay_freeze(struct replay *, int host, uint64_t duration_us);
/* Partition two hosts from each other, or heal that partition. */
void replay_set_partition(struct replay *, int a, int b, bool partitioned);
/*
 * Messages that host a sends to host b from now on arrive this much later, as
 * if they waited in buffers.
 */
void replay_set_extra_delay(struct replay *, int a, int b, uint64_t extra_us);
/*
 * The link between two hosts breaks, and a new one has no extra delay.
 * Messages in the buffers of the broken link may still arrive, after its loss
 * was reported.
 */
void replay_break_link(struct replay *, int a, int b);
/* A host's target announces itself; the announcement is copied. */
void replay_announce(struct replay *, int host, const struct announce *);
/* Order a host's daemon to drain. */
void replay_drain(struct replay *, int host);
/* Runs that start from now on take factor times as long as mean_run_us says. */
void replay_set_run_time_factor(struct replay *, int host, double factor);
/* The target truncates this many of its next answers, after their runs. */
void replay_truncate_answers(struct replay *, int host, int answers);
/*
 * Submit a configuration at a host's operators' port; it is to replace the
 * version base_version.  done() is called with the HTTP status and the
 * version of the reply, unless the host is killed before it.
 */
void replay_submit(struct replay *, int host, uint64_t base_version,
    const char *text,
    void (*done)(struct replay *, void *arg, int status, uint64_t version),
    void *arg);
/* The node of a host, which the replay owns; NULL while the host is down. */
struct node *replay_node(struct replay *, int host);
bool replay_host_is_up(struct replay *, int host);
/* The number of runs that targets started. */
uint64_t replay_count_runs(const struct replay *);
/* The number of runs with this idempotency id. */
uint64_t replay_count_runs_of_id(struct replay *, const char *id);
/* The highest number of runs with one and the same idempotency id. */
uint64_t replay_max_runs_of_id(const struct replay *);
/* The next number of the replay's random number generator. */
uint64_t replay_random(struct replay *);
/* The number of messages that daemons sent to each other. */
uint64_t replay_count_messages(const struct replay *);

/*
 * Write the hash of a key, as configurations hold it: hexadecimal digits and
 * a NUL, for which len has to be at least 2 * KEY_HASH_LEN + 1.
 */
void replay_key_hash(const char *key, char *hex, size_t len);

#ifdef __cplusplus
}
#endif

#endif
