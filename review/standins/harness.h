/*
 * harness - what the scripts of this review share
 *
 * Takes the places of the platform's store, of servers and of clients, and
 * starts the daemons as processes of their own.  Each machine has a loopback
 * address of its own; the ports are the same on all machines.  All processes
 * are killed, by their ids, when the program ends.
 *
 *	harness_init(argc, argv);
 *	machine_add("orders");		for each machine
 *	harness_start(manifest);	store, servers and daemons; waits until
 *ready
 *	...
 *	harness_finish(broken);		does not return
 *
 * Errors of the harness itself end the program with status 2.
 */
#ifndef REVIEW_HARNESS_H
#define REVIEW_HARNESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define MAX_MACHINES 8
#define ID_LEN 64

struct request {
	char method[16];
	char path[256];
	char id[ID_LEN];
	char target_instance[ID_LEN];
	char tenant[ID_LEN];
	long deadline_ms; /* -1: none */
	bool chunked;
	long length; /* of the body, as stated */
	char *body; /* what has been read of it */
	long body_read;
};

struct machine {
	int number;
	char ip[32];
	const char *service;
	char instance[ID_LEN];
	long long born_ms;
	long seq; /* of heartbeats */
	bool beats; /* the server sends heartbeats */
	bool draining; /* it says "draining" in them */
	pid_t pid; /* of the daemon; 0: none */
	char settings[512];
	long work_ms; /* of the default server */
	size_t answer_bytes; /* of its answers, at least */
};

/* A connection with a buffer of bytes that were received and not used. */
struct peer {
	int fd;
	char *buf;
	size_t len, cap;
};

struct answer {
	int status; /* 0: none */
	bool complete; /* head and the whole stated body came */
	bool closes;
	char id[ID_LEN];
	char signature[ID_LEN + 16];
	long length;
	char *body;
	long body_read;
	bool timed_out; /* else the connection ended */
};

extern bool trouble; /* false: TROUBLE=0 */
extern struct machine machines[MAX_MACHINES];
extern int nmachines;
/* Of the servers' connections, in bytes; 0: as the system sets it. */
extern int server_receive_buffer;

/*
 * Called in a thread of its own for a request whose head was read; it has to
 * read the body.  False if the connection is to be closed.
 */
extern bool (*serve)(struct machine *, struct peer *, struct request *);

void harness_init(int argc, char **argv);
struct machine *machine_add(const char *service);
void harness_start(const char *manifest);
void harness_finish(bool broken) __attribute__((noreturn));
void fail(const char *fmt, ...) __attribute__((format(printf, 1, 2), noreturn));

/* Write a line, with the time in seconds, to record.txt. */
void note(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
double now_s(void);
void sleep_s(double);

/* The store: the operator's manifest, acknowledged when this returns. */
void store_put_manifest(const char *text);

/* Daemons. */
void daemon_start(struct machine *);
void daemon_signal(struct machine *, int sig);
/* SIGKILL, and wait until it is gone. */
void daemon_kill(struct machine *);
bool daemon_has_ended(struct machine *);
void daemon_wait_ready(struct machine *, double most_s);

/* Heartbeats of a machine's server; false if there was no 2xx. */
bool send_heartbeat(struct machine *, const char *state, long seq);
bool send_leave(struct machine *);

/* The default server: reads the body, works, answers with the id. */
bool serve_plain(struct machine *, struct peer *, struct request *);
bool read_body(struct peer *, struct request *);
bool send_all(int fd, const void *, size_t);
/* How often a server began to run a request of this id. */
int runs_of(const char *id);
/* Note that a server runs the request now. */
void note_run(struct machine *, const struct request *);

/* Clients. */
int client_connect(struct machine *, int receive_buffer);
struct peer peer_of(int fd);
void peer_close(struct peer *);
void client_send(int fd, const char *method, const char *path, const char *id,
    const char *key, long deadline_ms, const char *body, size_t len);
/* Read one answer; bytes_per_s 0: as fast as it comes. */
void client_read(
    struct peer *, struct answer *, double timeout_s, long bytes_per_s);
/* The body that serve_plain() sends for an id. */
bool is_answer_to(const struct answer *, const char *id);
void answer_release(struct answer *);
/* Send one request on a new connection and read its answer. */
void client_call(struct machine *, struct answer *, const char *method,
    const char *path, const char *id, const char *key, long deadline_ms);
/* Call until the answer is 200. */
void client_wait_served(
    struct machine *, const char *path, const char *key, double most_s);

/* A manifest with one route for each service, and two tenants. */
char *manifest_make(const char *first_key, double timeout_s);

#endif
