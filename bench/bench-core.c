/*
 * bench-core - processor time and memory of the core at growing sizes
 *
 * Measures single modules, and whole nodes with simulated links, targets and
 * callers (t/replay.h), so without sockets.  Each figure is taken at three
 * or more sizes, which shows how it grows.  Prints "what size value unit"
 * lines.
 */
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "config/catalog_ini.h"
#include "core/confstate.h"
#include "core/group.h"
#include "core/ledger.h"
#include "core/quota.h"
#include "t/replay.h"

static double
cpu_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return ts.tv_sec * 1e6 + ts.tv_nsec / 1e3;
}

/* Bytes of memory that are allocated now. */
static double
allocated_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return (double)m.uordblks + (double)m.hblkhd;
}

static void
print_figure(const char *what, double size, double value, const char *unit)
{
	printf("%-28s %10.0f %12.3f %s\n", what, size, value, unit);
}

/*
 * A configuration with so many services, each with a route, and with one
 * organisation for two services.  The caller frees it.
 */
static char *
make_config_text(int services)
{
	char *buf, key[65];
	size_t len;
	FILE *f = open_memstream(&buf, &len);
	int i;

	fputs("[policy]\nretries = 3\n[datacentre a]\n", f);
	for (i = 0; i < services; i++) {
		fprintf(f, "[service s%d]\n", i);
		if (i > 0)
			fprintf(f, "depends = s%d\n", i / 2);
		fprintf(f,
		    "[route /s%d]\nservice = s%d\nidempotent = yes\n"
		    "importance = high\n",
		    i, i);
		if (i % 2 != 0)
			continue;
		snprintf(key, sizeof(key), "%064d", i);
		fprintf(f,
		    "[organisation o%d]\nrate = 1000\nburst = 500\nkey = %s\n",
		    i, key);
	}
	fclose(f);
	return buf;
}

/* Memory of a parsed configuration, time to parse one and size of its text. */
static void
bench_config(int services)
{
	char *text = make_config_text(services), err[256];
	double before_bytes = allocated_bytes(), start_us;
	struct catalog *c;
	int i, rounds = 5;

	c = catalog_ini_parse("bench", text, strlen(text), err, sizeof(err));
	if (c == NULL) {
		fprintf(stderr, "%s\n", err);
		exit(128);
	}
	print_figure("config-memory", services,
	    (allocated_bytes() - before_bytes) / 1024, "KiB");
	catalog_destroy(c);
	start_us = cpu_us();
	for (i = 0; i < rounds; i++)
		catalog_destroy(catalog_ini_parse(
		    "bench", text, strlen(text), err, sizeof(err)));
	print_figure("config-adopt", services,
	    (cpu_us() - start_us) / rounds / 1000, "ms");
	print_figure("config-text", services, strlen(text) / 1024.0, "KiB");
	free(text);
}

static struct instant
instant_at(uint64_t us)
{
	struct instant now = {us, us / MSEC_US};

	return now;
}

/* Memory of a group of targets, and time to compute its digest. */
static void
bench_group(int members)
{
	double before_bytes = allocated_bytes(), start_us;
	struct group *g = group_create("s", "a");
	struct member_record r = {0};
	uint64_t sum = 0;
	int i, rounds = 2000;

	name_copy(r.dc, "a", sizeof(r.dc));
	for (i = 0; i < members; i++) {
		r.addr.ip = i + 1;
		r.addr.port = 1;
		r.incarnation = 1;
		group_merge(g, &r, instant_at(1));
	}
	print_figure("members-memory", members,
	    (allocated_bytes() - before_bytes) / 1024, "KiB");
	start_us = cpu_us();
	for (i = 0; i < rounds; i++)
		sum += group_digest(g);
	/* Using sum keeps the compiler from dropping the calls. */
	print_figure("members-digest", members, (cpu_us() - start_us) / rounds,
	    sum ? "us" : "us ");
	group_destroy(g);
}

/* Time and memory to begin a record in the ledger. */
static void
bench_ledger(int ids)
{
	double before_bytes = allocated_bytes(), start_us = cpu_us();
	struct ledger *l = ledger_create(ids, 1 << 20);
	struct addr entry = {1, 1};
	struct ledger_record *rec;
	char id[ID_LEN];
	int i;

	for (i = 0; i < ids; i++) {
		snprintf(id, sizeof(id), "%d-a-x", i);
		ledger_begin(l, "org", id, entry, i, instant_at(1), &rec);
	}
	print_figure("ledger-begin", ids, (cpu_us() - start_us) / ids, "us");
	print_figure("ledger-memory", ids,
	    (allocated_bytes() - before_bytes) / ids, "bytes");
	ledger_destroy(l);
}

/* Time to grant a child's ask, and memory, for each organisation. */
static void
bench_quota(int orgs)
{
	double before_bytes = allocated_bytes(), start_us;
	struct quota *q = quota_create(&quota_policy_host);
	struct share ask, grant;
	struct addr child = {1, 1};
	char org[NAME_LEN];
	int i, j, rounds = 50;

	quota_set_root(q, true, 0);
	for (i = 0; i < orgs; i++) {
		snprintf(org, sizeof(org), "o%d", i);
		quota_set_total(q, org, 100, 100);
	}
	memset(&ask, 0, sizeof(ask));
	start_us = cpu_us();
	for (j = 0; j < rounds; j++) {
		for (i = 0; i < orgs; i++) {
			snprintf(ask.items[i % MSG_MAX_SHARES].org, NAME_LEN,
			    "o%d", i);
			ask.items[i % MSG_MAX_SHARES].demand = 5;
			ask.count = i % MSG_MAX_SHARES + 1;
			if (ask.count == MSG_MAX_SHARES || i + 1 == orgs)
				quota_grant(q, child, &ask,
				    instant_at(1000000 + j * 1000), &grant);
		}
	}
	print_figure("quota-grant", orgs, (cpu_us() - start_us) / rounds / orgs,
	    "us/org");
	print_figure("quota-memory", orgs,
	    (allocated_bytes() - before_bytes) / orgs, "bytes/org");
	quota_destroy(q);
}

static void
on_done(struct replay *r, void *arg, const struct reply *reply)
{
	(void)r;
	(void)reply;
	++*(unsigned long *)arg;
}

/* A steady load of calls, sent to all hosts in turn. */
struct load {
	int hosts;
	int rate; /* calls a second over all hosts */
	unsigned long done; /* calls answered */
	unsigned long sent; /* calls sent */
};

/* Sends a call and schedules the next one. */
static void
send_one(struct replay *r, void *arg)
{
	struct replay_call c = {0};
	struct load *l = arg;

	c.host = (int)(l->sent++ % l->hosts);
	c.method = "GET";
	c.path = "/s1";
	c.key = "key-x";
	c.done = on_done;
	c.arg = &l->done;
	replay_send_call(r, &c);
	replay_at(r, replay_now_us(r) + SEC_US / l->rate, send_one, l);
}

/*
 * Whole nodes without overload or faults: processor time and messages, per
 * daemon and second.  rate is in calls a second over all hosts; 0: no calls.
 */
static void
bench_fleet(int hosts, int rate)
{
	struct replay *r = replay_create(1);
	struct replay_host_spec spec = {0};
	struct load l = {hosts, rate, 0, 0};
	char text[1024], hash[65];
	uint64_t messages;
	double start_us;
	int i, secs = 20;

	replay_key_hash("key-x", hash, sizeof(hash));
	snprintf(text, sizeof(text),
	    "[datacentre a]\n[service s1]\n[organisation o]\nrate = 1000000\n"
	    "burst = 100000\nkey = %s\n[route /s1]\nservice = s1\n"
	    "idempotent = yes\n",
	    hash);
	replay_set_config(r, text);
	spec.dc = "a";
	spec.service = "s1";
	spec.slots = 100;
	spec.mean_run_us = 5000;
	for (i = 0; i < hosts; i++)
		replay_add_host(r, &spec);
	replay_run_until(r, 5 * SEC_US);
	if (rate > 0)
		send_one(r, &l);
	replay_run_until(r, 8 * SEC_US);
	messages = replay_count_messages(r);
	l.done = 0;
	start_us = cpu_us();
	replay_run_until(r, (8 + secs) * SEC_US);
	print_figure(rate ? "fleet-cpu-with-calls" : "fleet-cpu-idle", hosts,
	    (cpu_us() - start_us) / hosts / secs, "us/daemon/s");
	print_figure(rate ? "fleet-messages-with-calls" : "fleet-messages-idle",
	    hosts, (double)(replay_count_messages(r) - messages) / hosts / secs,
	    "/daemon/s");
	if (rate)
		print_figure("fleet-calls", hosts, (double)l.done / secs, "/s");
	replay_destroy(r);
}

int
main(void)
{
	static const int sizes[] = {100, 500, 2100};
	static const int groups[] = {4, 16, 64, 256};
	static const int ids[] = {1000, 6000, 24000};
	static const int orgs[] = {8, 64, 512};
	static const int hosts[] = {4, 8, 16, 32};
	size_t i;

	printf("%-28s %10s %12s\n", "what", "size", "value");
	for (i = 0; i < 3; i++)
		bench_config(sizes[i]);
	for (i = 0; i < 4; i++)
		bench_group(groups[i]);
	for (i = 0; i < 3; i++)
		bench_ledger(ids[i]);
	for (i = 0; i < 3; i++)
		bench_quota(orgs[i]);
	for (i = 0; i < 4; i++)
		bench_fleet(hosts[i], 0);
	for (i = 0; i < 4; i++)
		bench_fleet(hosts[i], 100 * hosts[i]);
	return 0;
}
