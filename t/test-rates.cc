/*
 * Tests of the rates of many organisations over many hosts, with complete
 * nodes: how many calls inside an organisation's rate are refused.  A call is
 * inside the rate if one token bucket for all hosts would have admitted it.
 */
#include <cmath>
#include <gtest/gtest.h>
#include <string>
#include <vector>

#include "t/config-text.h"
#include "t/excess.h"

extern "C" {
#include "core/node_impl.h"
#include "core/quota_impl.h"
}

namespace {

constexpr int DCS = 5;
const char *const DC_NAMES[DCS] = {"a", "b", "c", "d", "e"};

struct Fleet;

/* Where tokens of an organisation were when a call inside its rate failed. */
struct Whereabouts {
	unsigned long at_pool = 0; /* the pool's root had one */
	unsigned long at_dc_root = 0; /* the root of some data centre's tree */
	unsigned long at_host = 0; /* any other host */
	unsigned long nowhere = 0; /* nobody had one */
};

struct Org {
	Fleet *fleet = nullptr;
	int number = 0;
	std::string name, key;
	double rate = 0, burst = 0, calls_per_s = 0;
	double central_tokens = 0;
	uint64_t central_refilled_us = 0;
	std::vector<uint64_t> admitted_us;
	unsigned long sent = 0, inside = 0, wrongful = 0, succeeded = 0;
};

struct Call {
	Org *org;
	bool inside; /* of the rate, by one bucket for all hosts */
};

void on_reply(struct replay *, void *arg, const struct reply *);
void send_next_call(struct replay *r, void *arg);

struct Fleet {
	struct replay *r;
	int hosts;
	std::vector<Org> orgs;
	Whereabouts missing;
	unsigned long failed_otherwise = 0;
	bool stopped = false; /* no further calls are sent */
	enum reason last_other_reason = REASON_NONE;

	/*
	 * Each organisation's rate is headroom times its demand of all hosts,
	 * of which every tenth organisation has ten times as much as others.
	 */
	Fleet(int nhosts, int norgs, double all_calls_per_s, double headroom,
	    uint64_t seed)
	    : hosts(nhosts), orgs(norgs)
	{
		struct replay_host_spec spec = {};
		double weights = 0;
		int i;

		r = replay_create(seed);
		for (i = 0; i < norgs; i++)
			weights += weight(i);
		for (i = 0; i < norgs; i++) {
			Org &o = orgs[i];

			o.fleet = this;
			o.number = i;
			o.name = "org" + std::to_string(i);
			o.key = "key" + std::to_string(i);
			o.calls_per_s = all_calls_per_s * weight(i) / weights;
			o.rate = std::ceil(o.calls_per_s * headroom);
			o.burst = o.rate;
		}
		replay_set_config(r, config().c_str());
		spec.region = "r";
		spec.region_dcs = DCS;
		spec.slots = 64;
		spec.mean_run_us = 5000;
		for (i = 0; i < hosts; i++) {
			spec.dc = DC_NAMES[i % DCS];
			spec.service = i < 2 * DCS ? "records" : nullptr;
			replay_add_host(r, &spec);
		}
	}
	~Fleet()
	{
		replay_destroy(r);
	}
	static double
	weight(int i)
	{
		return i % 10 == 0 ? 10 : 1;
	}
	std::string
	config() const
	{
		std::string text = "[policy]\nweighing = goodput\nretries = 3\n"
				   "[service records]\n";

		for (auto dc : DC_NAMES)
			text += std::string("[datacentre ") + dc + "]\n";

		for (auto &o : orgs)
			text += "[organisation " + o.name +
				"]\nrate = " + std::to_string(o.rate) +
				"\nburst = " + std::to_string(o.burst) +
				"\nkey = " + key_hash_hex(o.key.c_str()) + "\n";
		return text + "[route /records]\nservice = records\n"
			      "idempotent = yes\n";
	}
	void
	run(uint64_t us)
	{
		replay_run_until(r, replay_now_us(r) + us);
	}
	void
	start_calls()
	{
		for (auto &o : orgs) {
			o.central_tokens = o.burst;
			o.central_refilled_us = replay_now_us(r);
			replay_at(r, replay_now_us(r), send_next_call, &o);
		}
	}
	void
	reset_counts()
	{
		missing = Whereabouts();
		for (auto &o : orgs)
			o.sent = o.inside = o.wrongful = o.succeeded = 0;
	}
	unsigned long
	sum(unsigned long Org::*count) const
	{
		unsigned long n = 0;

		for (auto &o : orgs)
			n += o.*count;
		return n;
	}
	double
	max_excess() const
	{
		double most = 0;

		for (auto &o : orgs)
			most = std::max(most,
			    max_rate_excess(o.admitted_us, o.rate, o.burst));
		return most;
	}
	double
	tokens(struct quota *q, const Org &o) const
	{
		struct bucket *b = bucket_find(q, o.name.c_str());

		return b != nullptr ? b->tokens : 0;
	}
	void
	locate_tokens(const Org &o)
	{
		bool at_dc_root = false, at_host = false;

		for (int i = 0; i < hosts; i++) {
			struct node *n = replay_node(r, i);

			if (n == nullptr)
				continue;
			if (n->pool.is_root && tokens(n->pool.quota, o) >= 1) {
				missing.at_pool++;
				return;
			}
			if (tokens(n->quota, o) < 1)
				continue;
			at_dc_root = at_dc_root || n->tree.is_root;
			at_host = at_host || !n->tree.is_root;
		}
		if (at_dc_root)
			missing.at_dc_root++;
		else if (at_host)
			missing.at_host++;
		else
			missing.nowhere++;
	}
	/* Stop to send calls, and let those that wait end. */
	void
	stop()
	{
		stopped = true;
		run(1 * SEC_US);
	}
	/*
	 * How many calls fewer were admitted than by one bucket for all
	 * hosts, summed over the organisations that got fewer.
	 */
	unsigned long
	shortfall() const
	{
		unsigned long n = 0;

		for (auto &o : orgs)
			if (o.succeeded < o.inside)
				n += o.inside - o.succeeded;
		return n;
	}
	double
	shortfall_percent() const
	{
		return 100.0 * shortfall() / std::max(1ul, sum(&Org::inside));
	}
	void
	print(const char *what) const
	{
		printf("%s: %lu sent, %lu inside, %lu succeeded, %lu fewer "
		       "(%.2f%%); %lu refused inside, while a token was at "
		       "the pool's root %lu, a data centre's root %lu, another "
		       "host %lu, nowhere %lu\n",
		    what, sum(&Org::sent), sum(&Org::inside),
		    sum(&Org::succeeded), shortfall(), shortfall_percent(),
		    sum(&Org::wrongful), missing.at_pool, missing.at_dc_root,
		    missing.at_host, missing.nowhere);
	}
};

void
on_reply(struct replay *r, void *arg, const struct reply *reply)
{
	Call *c = static_cast<Call *>(arg);
	Org &o = *c->org;

	if (reply->failure.reason == REASON_NONE) {
		o.succeeded++;
		o.admitted_us.push_back(replay_now_us(r));
	} else if (reply->failure.reason == REASON_OVER_RATE) {
		if (c->inside) {
			o.wrongful++;
			o.fleet->locate_tokens(o);
		}
	} else {
		o.fleet->failed_otherwise++;
		o.fleet->last_other_reason = reply->failure.reason;
	}
	delete c;
}

bool
central_take(Org &o, uint64_t now_us)
{
	o.central_tokens = std::min(o.burst,
	    o.central_tokens +
		o.rate * static_cast<double>(now_us - o.central_refilled_us) /
		    SEC_US);
	o.central_refilled_us = now_us;
	if (o.central_tokens < 1)
		return false;
	o.central_tokens -= 1;
	return true;
}

void
send_next_call(struct replay *r, void *arg)
{
	Org *o = static_cast<Org *>(arg);
	struct replay_call call = {};
	double u = static_cast<double>(replay_random(r) % 1000000 + 1) / 1e6;
	Call *c;

	if (o->fleet->stopped)
		return;
	c = new Call{o, central_take(*o, replay_now_us(r))};
	call.host = static_cast<int>(replay_random(r) % o->fleet->hosts);
	call.method = "GET";
	call.path = "/records/1";
	call.key = o->key.c_str();
	call.deadline_ms = 4000;
	call.done = on_reply;
	call.arg = c;
	o->sent++;
	o->inside += c->inside;
	replay_send_call(r, &call);
	replay_at(r,
	    replay_now_us(r) +
		static_cast<uint64_t>(-std::log(u) / o->calls_per_s * SEC_US),
	    send_next_call, o);
}

} // namespace

/*
 * Most organisations call too rarely for any data centre to hold a share that
 * would admit a call.  Their calls fetch tokens over three levels.
 */
TEST(Rates, ManyOrganisationsGetTheirRates)
{
	for (double load : {0.6, 0.9}) {
		Fleet fleet(95, 90, 640 * load, 1 / load, 1);

		fleet.run(8 * SEC_US);
		fleet.start_calls();
		fleet.run(2 * SEC_US);
		fleet.print("first 2 s");
		/* The calls of the last moment are still on their way. */
		EXPECT_LE(fleet.shortfall_percent(), 2);
		fleet.reset_counts();
		fleet.run(40 * SEC_US);
		fleet.stop();
		printf("%.0f%% of the rates, ", 100 * load);
		fleet.print("40 s");
		EXPECT_LE(fleet.shortfall_percent(), 0.1);
		EXPECT_LE(fleet.max_excess(), 0);
		EXPECT_EQ(fleet.failed_otherwise, 0u)
		    << reason_name(fleet.last_other_reason);
	}
}

TEST(Rates, OverloadedOrganisationsGetTheirRatesAndNoMore)
{
	for (double load : {1.0, 1.5}) {
		Fleet fleet(95, 90, 640 * load, 1 / load, 2);

		fleet.run(8 * SEC_US);
		fleet.start_calls();
		fleet.run(10 * SEC_US);
		fleet.reset_counts();
		fleet.run(30 * SEC_US);
		fleet.stop();
		printf("%.0f%% of the rates, ", 100 * load);
		fleet.print("30 s");
		EXPECT_LE(fleet.shortfall_percent(), 2);
		EXPECT_LE(fleet.max_excess(), 0);
		EXPECT_EQ(fleet.failed_otherwise, 0u)
		    << reason_name(fleet.last_other_reason);
	}
}
