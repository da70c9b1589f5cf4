/*
 * A daemon is stopped and started again.  Meanwhile the store comes back from
 * a copy in which that daemon still has the role that another one took over.
 */
#include "lab.h"

#define RATE_PER_S 60
#define BURST 30
/* The bounds of RULES.md: quota_window_s, quota_over, quota_slack. */
#define WINDOW_S 5
#define OVER 0.1
#define SLACK 20
#define ELECTION_MS 1000 /* until the other daemon has the role */
#define AWAY_MS 800
#define LOAD_MS 30000
#define PER_S 400 /* to both daemons together */

static void
put_config(int version, double timeout_s)
{
	const struct manifest m = {
	    NULL, version, timeout_s, "\"key-1\"", RATE_PER_S, BURST};

	store_put_config(&m);
}

int
main(int argc, char **argv)
{
	const double limit =
	    (RATE_PER_S * WINDOW_S + BURST) * (1 + OVER) + SLACK;
	struct host *hosts[2];
	unsigned int most;
	int i;

	lab_init(argc, argv);
	put_config(3, 5);
	hosts[0] = host_start("orders");
	lab_wait_ms(2000);
	hosts[1] = host_start("orders");
	lab_wait_ready();
	store_copy();
	for (i = 0; i < 5; i++) {
		put_config(5 + 2 * i, 4.5 + i / 8.0);
		lab_wait_ms(300);
	}
	host_stop(hosts[0]);
	lab_wait_ms(ELECTION_MS);
	if (lab_trouble)
		store_drill_begin();
	lab_wait_ms(AWAY_MS);
	if (lab_trouble)
		store_drill_end();
	host_run_daemon(hosts[0]);
	lab_wait_ready();
	client_load(hosts, 2, "POST", "/place/1", "key-1", PER_S, LOAD_MS);
	lab_wait_ms(2000);
	most = lab_most_in_window(WINDOW_S);
	lab_record("at most %u requests of the tenant in %d s; the limit is "
		   "%.0f",
	    most, WINDOW_S, limit);
	if (most < RATE_PER_S * WINDOW_S / 2)
		lab_fail("too few requests ran");
	return lab_end(most > limit);
}
