/*
 * The store comes back from a copy that is some seconds old.  Later the
 * operator takes a key away.
 */
#include <string.h>

#include "lab.h"

#define REVOKE_S 5
#define AWAY_MS 800
#define PER_S 20

/* Each version changes a time-out; the last one also takes key-1 away. */
static void
put_config(int version, double timeout_s, const char *keys)
{
	const struct manifest m = {version, timeout_s, keys, 0, 0};

	store_put_config(&m);
}

int
main(int argc, char **argv)
{
	static const char both[] = "\"key-1\",\"key-2\"", one[] = "\"key-2\"";
	unsigned int late = 0, ran = 0, kept = 0;
	struct host *hosts[2];
	struct request *r;
	double revoked_s;

	lab_init(argc, argv);
	put_config(3, 5, both);
	hosts[0] = host_start("orders");
	hosts[1] = host_start("orders");
	lab_wait_ready();
	store_copy();
	put_config(5, 4.5, both);
	lab_wait_ms(700);
	put_config(8, 4.75, both);
	lab_wait_ms(700);
	put_config(9, 4.25, both);
	lab_wait_ms(1500);
	if (lab_trouble)
		store_drill_begin();
	lab_wait_ms(AWAY_MS);
	if (lab_trouble)
		store_drill_end();
	client_load(hosts, 2, "POST", "/place/1", "key-1", PER_S, 5000);
	put_config(12, 4.25, one);
	revoked_s = lab_now_s();
	client_load(
	    hosts, 2, "POST", "/place/2", "key-1", PER_S, REVOKE_S * 1000);
	lab_wait_ms(200);
	client_load(hosts, 2, "POST", "/place/3", "key-1", PER_S, 10000);
	client_load(hosts, 2, "POST", "/place/4", "key-2", PER_S, 1000);
	lab_wait_ms(1000);
	TAILQ_FOREACH (r, &lab_requests, entry) {
		if (r->runs == 0)
			continue;
		if (strcmp(r->key, "key-2") == 0)
			kept++;
		else if (r->sent_s > revoked_s + REVOKE_S)
			late++;
		else
			ran++;
	}
	lab_record("with the key: %u ran, of them %u that were sent over %d s "
		   "after its revocation was acknowledged; with the other "
		   "key: %u",
	    ran + late, late, REVOKE_S, kept);
	if (ran < 2 * PER_S || kept < PER_S / 2)
		lab_fail("too few requests ran");
	return lab_end(late > 0);
}
