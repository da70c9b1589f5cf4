/*
 * Requests of a route whose type is "unsafe", with the method GET, while one
 * server of two loses the answer of every 20th request that it ran.
 */
#include "lab.h"

#define LOST_ONE_IN 20
#define PER_S 100
#define LOAD_MS 4000

static bool
loses_answer(struct host *h, uint64_t run)
{
	(void)h;
	return lab_trouble && run % LOST_ONE_IN == 0;
}

int
main(int argc, char **argv)
{
	const struct manifest m = {NULL, 3, 5, "\"key-1\"", 0, 0};
	struct host *hosts[2];
	struct request *r;
	unsigned int twice = 0, ran = 0;

	lab_init(argc, argv);
	store_put_config(&m);
	hosts[0] = host_start("orders");
	hosts[1] = host_start("orders");
	hosts[0]->loses_answer = loses_answer;
	lab_wait_ready();
	client_load(hosts, 2, "GET", "/place/2f", "key-1", PER_S, LOAD_MS);
	lab_wait_ms(6000);
	TAILQ_FOREACH (r, &lab_requests, entry) {
		ran += r->runs > 0;
		if (r->runs < 2)
			continue;
		twice++;
		lab_record(
		    "%s ran %u times, answered %d", r->id, r->runs, r->status);
	}
	lab_record("%u requests ran, %u of them more than once", ran, twice);
	if (ran < PER_S * LOAD_MS / 1000 / 2)
		lab_fail("too few requests ran");
	return lab_end(twice > 0);
}
