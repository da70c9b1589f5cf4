/*
 * lab - stand-ins for a case that a day of the bench cannot show
 *
 * One process takes the place of the platform's store, of the servers and of
 * the clients of a small deployment.  It starts the daemons as processes of
 * their own, with the command of deploy/system.toml and settings from its
 * template, on ports of 127.0.0.1 that are free.
 *
 *	lab_init(argc, argv);
 *	store_put_config(&manifest);
 *	h = host_start("orders");
 *	lab_wait_ready();
 *	client_send(h, "POST", "/place/1", "key-1");
 *	lab_wait_ms(1000);
 *	return lab_end(broken);
 *
 * Arguments: the command, the template, the folder for settings and logs, and
 * the file of the record.  Without the disruption if TROUBLE=0.  A failure of
 * the case itself ends the program with 2.
 */
#ifndef REVIEW_LAB_H
#define REVIEW_LAB_H

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <sys/types.h>

#define LAB_NAME_LEN 64

/* Between daemons, or between a daemon and the store; it can be cut. */
struct proxy;

/* A machine: a server and the daemon beside it. */
struct host {
	TAILQ_ENTRY(host) entry;
	char name[LAB_NAME_LEN];
	char service[LAB_NAME_LEN];
	char id[LAB_NAME_LEN]; /* of the server's lifetime */
	int link_port, callers_port, operators_port, announce_port, ready_port,
	    server_port;
	pid_t pid; /* of the daemon; 0: none runs */
	uint64_t beat_seq;
	uint64_t born_ms;
	uint64_t runs;
	struct evhttp *server;
	struct event *beat_timer;
	/* Behind proxies: NULL unless host_start_behind_proxies() made them. */
	struct proxy *link_proxy, *store_proxy;
	int work_ms;
	bool silent; /* sends no heartbeats */
	/* Called when a run ends; true: its answer is lost. */
	bool (*loses_answer)(struct host *, uint64_t run);
};

/* One request of a client, kept until lab_end(). */
struct request {
	TAILQ_ENTRY(request) entry;
	char id[LAB_NAME_LEN];
	char key[LAB_NAME_LEN];
	char method[8];
	struct host *host; /* whose daemon it was sent to */
	double sent_s;
	double answered_s; /* 0: not yet */
	int status; /* 0: none, -1: the connection ended */
	unsigned int runs;
	double run_s; /* when it ran last, and where */
	struct host *run_at;
};

TAILQ_HEAD(request_list, request);
TAILQ_HEAD(host_list, host);

extern struct event_base *lab_base;
extern bool lab_trouble;
extern struct request_list lab_requests;
extern struct host_list lab_hosts;

void lab_init(int argc, char **argv);
/* Add a line with the time to the record. */
void lab_record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/* Seconds since lab_init(). */
double lab_now_s(void);
void lab_wait_ms(int ms);
/* Wait until all daemons that run answer 200 at their ready ports. */
void lab_wait_ready(void);
/* End all processes; returns the exit status of the case. */
int lab_end(bool broken);
/* The case could not run. */
void lab_fail(const char *what) __attribute__((noreturn));

/*
 * What the operator writes: a manifest with one unsafe route, the services
 * "orders" and "orders-2", and one tenant.
 */
struct manifest {
	const char *service; /* of the route; NULL: "orders" */
	int version;
	double timeout_s;
	const char *keys; /* of the tenant: "\"key-1\",\"key-2\"" */
	int rate_per_s, burst; /* 0: no limit */
};

/* The operator writes it; the store has acknowledged when this returns. */
void store_put_config(const struct manifest *);
/* Take the copy from which a drill restores the store. */
void store_copy(void);
/*
 * In a drill the store is away, and then comes back from its copy, with a
 * higher Store-Era; the operator writes the newest manifest again.
 */
void store_drill_begin(void);
void store_drill_end(void);

struct host *host_start(const char *service);
/* The same, with a proxy before its link port and one to the store. */
struct host *host_start_behind_proxies(const char *service);
/* Reset all connections through a proxy, and each new one, or end that. */
void proxy_cut(struct proxy *, bool cut);
void host_kill(struct host *);
/* Stop a daemon as the platform does; returns when it has ended. */
void host_stop(struct host *);
void host_run_daemon(struct host *);
/* Send a heartbeat, or say that the server ends. */
void host_beat(struct host *, const char *state, uint64_t seq);
void host_delete(struct host *);

/* Send a request to the daemon of a host; it is recorded when it ends. */
struct request *client_send(
    struct host *, const char *method, const char *path, const char *key);
/* The same, at a rate for a time, to the daemons of all given hosts. */
void client_load(struct host **, int nhosts, const char *method,
    const char *path, const char *key, int per_s, int ms);
/* The most requests that were sent in a window, and began to run in it. */
unsigned int lab_most_in_window(double window_s);

#endif
