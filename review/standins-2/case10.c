/*
 * A server ends with DELETE, the daemon beside it is killed and starts again,
 * and then a heartbeat of that server arrives that is some seconds late.
 */
#include "lab.h"

/* The bounds: drain_s and contact_s. */
#define DRAIN_S 2.0
#define CONTACT_S 3.0
#define PER_S 50

int
main(int argc, char **argv)
{
	const struct manifest m = {NULL, 3, 5, "\"key-1\"", 0, 0};
	struct host *hosts[2], *leaving;
	double acknowledged_s, touch_s;
	uint64_t late_seq, before, runs;

	lab_init(argc, argv);
	store_put_config(&m);
	hosts[0] = host_start("orders");
	leaving = hosts[1] = host_start("orders");
	lab_wait_ready();
	client_load(hosts, 1, "POST", "/place/1", "key-1", PER_S, 2000);
	before = leaving->runs;
	/* The heartbeat that is on its way while the server leaves. */
	leaving->silent = true;
	late_seq = leaving->beat_seq++;
	host_delete(leaving);
	client_load(hosts, 1, "POST", "/place/2", "key-1", PER_S, 200);
	acknowledged_s = lab_now_s();
	lab_record("server %s: gone is acknowledged", leaving->id);
	if (lab_trouble)
		host_kill(leaving);
	client_load(hosts, 1, "POST", "/place/3", "key-1", PER_S, 1000);
	if (lab_trouble)
		host_run_daemon(leaving);
	touch_s = lab_now_s() + CONTACT_S;
	client_load(hosts, 1, "POST", "/place/4", "key-1", PER_S, 1500);
	host_beat(leaving, "ready", late_seq);
	lab_record("server %s: heartbeat seq=%d arrives late", leaving->id,
	    (int)late_seq);
	while (lab_now_s() < touch_s || lab_now_s() < acknowledged_s + DRAIN_S)
		client_load(hosts, 1, "POST", "/place/5", "key-1", PER_S, 100);
	runs = leaving->runs;
	client_load(hosts, 1, "POST", "/place/6", "key-1", PER_S, 4000);
	lab_wait_ms(500);
	runs = leaving->runs - runs;
	lab_record("before it left %d requests reached the server; %d over "
		   "%.0f s after it left, with both machines in touch",
	    (int)before, (int)runs, DRAIN_S);
	if (before < PER_S / 4)
		lab_fail("too few requests ran");
	return lab_end(runs > 0);
}
