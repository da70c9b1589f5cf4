/*
 * A daemon is killed while calls that it passed on still run.  It starts again
 * and passes on new calls; the answers to the old ones arrive meanwhile.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "review/standins/harness.h"

#define KEY "key-of-alpha-0000001"
#define OLD_CALLS 40
#define NEW_CALLS 280 /* all fit into the server's slots */
#define WORK_MS 3000
#define DEADLINE_MS 6000

struct call {
	pthread_t thread;
	struct machine *entry;
	char id[ID_LEN];
	struct answer answer;
	double sent_s;
};

static struct call old_calls[OLD_CALLS], new_calls[NEW_CALLS];

static void *
run_call(void *arg)
{
	struct call *c = arg;

	c->sent_s = now_s();
	client_call(c->entry, &c->answer, "POST", "/orders/book/x", c->id, KEY,
	    DEADLINE_MS);
	return NULL;
}

static void
start_calls(struct call *calls, int n, struct machine *entry, const char *name)
{
	pthread_attr_t attr;
	int i;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	for (i = 0; i < n; i++) {
		calls[i].entry = entry;
		snprintf(calls[i].id, ID_LEN, "%s-%d", name, i);
		if (pthread_create(
			&calls[i].thread, &attr, run_call, &calls[i]) != 0)
			fail("no thread");
		sleep_s(0.001);
	}
	pthread_attr_destroy(&attr);
	note("client: %d calls sent, ids %s-0 to %s-%d", n, name, name, n - 1);
}

/* Wait for the answers; returns how many belong to another request. */
static int
check_calls(struct call *calls, int n, int *served)
{
	int i, foreign = 0;

	for (i = 0; i < n; i++) {
		struct call *c = &calls[i];
		struct answer *a = &c->answer;

		pthread_join(c->thread, NULL);
		if (a->status / 100 != 2) {
			note("client: %s sent at %.3f got status %d", c->id,
			    c->sent_s, a->status);
			continue;
		}
		++*served;
		if (a->complete && is_answer_to(a, c->id))
			continue;
		foreign++;
		note("client: %s sent at %.3f got status %d, Request-Id %s, "
		     "Response-Signature %s, body '%.*s': ANOTHER REQUEST'S",
		    c->id, c->sent_s, a->status, a->id, a->signature,
		    a->body_read > 0 ? (int)a->body_read - 1 : 0,
		    a->body != NULL ? a->body : "");
	}
	return foreign;
}

int
main(int argc, char **argv)
{
	struct machine *entry, *server;
	int foreign = 0, served = 0, repeated = 0, i;

	harness_init(argc, argv);
	entry = machine_add("quotes");
	server = machine_add("orders");
	harness_start(manifest_make(KEY, DEADLINE_MS / 1000.0));
	client_wait_served(entry, "/orders/look/x", KEY, 10);
	server->work_ms = WORK_MS;
	start_calls(old_calls, OLD_CALLS, entry, "old");
	sleep_s(0.5);
	if (trouble) {
		daemon_kill(entry);
		sleep_s(0.3);
		daemon_start(entry);
		daemon_wait_ready(entry, 10);
	}
	start_calls(new_calls, NEW_CALLS, entry, "new");
	foreign += check_calls(old_calls, OLD_CALLS, &served);
	foreign += check_calls(new_calls, NEW_CALLS, &served);
	for (i = 0; i < NEW_CALLS; i++)
		repeated += runs_of(new_calls[i].id) > 1;
	note("%d answered with success, %d of them with another request's "
	     "answer; %d new calls ran twice",
	    served, foreign, repeated);
	if (served < NEW_CALLS / 2)
		fail("only %d calls were served", served);
	harness_finish(foreign > 0);
}
