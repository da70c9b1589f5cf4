/*
 * The store comes back from a copy that is some seconds old.  Later the
 * operator takes a key away and moves the route to another service.
 */
#include <string.h>

#include "lab.h"

/* The bounds: revoke_s and config_apply_s. */
#define REVOKE_S 5
#define APPLY_S 2
#define AWAY_MS 800
#define PER_S 20

static void
put_config(int version, const char *service, double timeout_s, const char *keys)
{
	const struct manifest m = {service, version, timeout_s, keys, 0, 0};

	store_put_config(&m);
}

int
main(int argc, char **argv)
{
	static const char both[] = "\"key-1\",\"key-2\"", one[] = "\"key-2\"";
	unsigned int late = 0, old = 0, ran = 0, kept = 0;
	struct host *hosts[2];
	struct request *r;
	double changed_s;

	lab_init(argc, argv);
	put_config(3, "orders", 5, both);
	hosts[0] = host_start("orders");
	hosts[1] = host_start("orders");
	host_start("orders-2");
	host_start("orders-2");
	lab_wait_ready();
	store_copy();
	put_config(5, "orders", 4.5, both);
	lab_wait_ms(700);
	put_config(8, "orders", 4.75, both);
	lab_wait_ms(700);
	put_config(9, "orders", 4.25, both);
	lab_wait_ms(1500);
	if (lab_trouble)
		store_drill_begin();
	lab_wait_ms(AWAY_MS);
	if (lab_trouble)
		store_drill_end();
	client_load(hosts, 2, "POST", "/place/1", "key-1", PER_S, 5000);
	put_config(12, "orders-2", 4.25, one);
	changed_s = lab_now_s();
	client_load(
	    hosts, 2, "POST", "/place/2", "key-1", PER_S, REVOKE_S * 1000);
	lab_wait_ms(200);
	client_load(hosts, 2, "POST", "/place/3", "key-1", PER_S, 10000);
	client_load(hosts, 2, "POST", "/place/4", "key-2", PER_S, 5000);
	lab_wait_ms(1000);
	TAILQ_FOREACH (r, &lab_requests, entry) {
		if (r->runs == 0)
			continue;
		if (r->sent_s > changed_s + APPLY_S &&
		    strcmp(r->run_at->service, "orders") == 0)
			old++;
		if (strcmp(r->key, "key-2") == 0)
			kept++;
		else if (r->sent_s > changed_s + REVOKE_S)
			late++;
		else
			ran++;
	}
	lab_record("with the key: %u ran, of them %u that were sent over %d s "
		   "after its revocation was acknowledged; with the other "
		   "key: %u; by the old service: %u that were sent over %d s "
		   "after the move was acknowledged",
	    ran + late, late, REVOKE_S, kept, old, APPLY_S);
	if (ran < 2 * PER_S || kept < PER_S)
		lab_fail("too few requests ran");
	return lab_end(late > 0 || old > 0);
}
