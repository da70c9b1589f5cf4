/*
 * The machine whose daemon hands out the rates is cut off from the other one
 * and from the store; the clients on both go on.
 */
#include "lab.h"

#define RATE_PER_S 200
#define BURST 200
/* The bounds of RULES.md: quota_window_s, quota_over, quota_slack. */
#define WINDOW_S 5
#define OVER 0.1
#define SLACK 20
#define CUT_MS 5000
#define PER_S 600 /* to both daemons together */

int
main(int argc, char **argv)
{
	const double limit =
	    (RATE_PER_S * WINDOW_S + BURST) * (1 + OVER) + SLACK;
	const struct manifest m = {NULL, 3, 5, "\"key-1\"", RATE_PER_S, BURST};
	struct host *hosts[2];
	unsigned int most;

	lab_init(argc, argv);
	store_put_config(&m);
	hosts[0] = host_start_behind_proxies("orders");
	lab_wait_ms(2000);
	hosts[1] = host_start_behind_proxies("orders");
	lab_wait_ready();
	client_load(hosts, 2, "POST", "/place/1", "key-1", PER_S, 10000);
	if (lab_trouble) {
		proxy_cut(hosts[0]->store_proxy, true);
		proxy_cut(hosts[0]->link_proxy, true);
		proxy_cut(hosts[1]->link_proxy, true);
	}
	client_load(hosts, 2, "POST", "/place/2", "key-1", PER_S, CUT_MS);
	if (lab_trouble) {
		proxy_cut(hosts[0]->store_proxy, false);
		proxy_cut(hosts[0]->link_proxy, false);
		proxy_cut(hosts[1]->link_proxy, false);
	}
	client_load(hosts, 2, "POST", "/place/3", "key-1", PER_S, 8000);
	lab_wait_ms(2000);
	most = lab_most_in_window(WINDOW_S);
	lab_record("at most %u requests of the tenant in %d s; the limit is "
		   "%.0f",
	    most, WINDOW_S, limit);
	if (most < RATE_PER_S * WINDOW_S / 2)
		lab_fail("too few requests ran");
	return lab_end(most > limit);
}
