#include <algorithm>
#include <cmath>
#include <cstring>
#include <fstream>
#include <map>
#include <memory>
#include <set>
#include <sstream>

#include "t/config-text.h"
#include "t/overload.h"

namespace {

constexpr uint64_t END_US = 30 * SEC_US;
/* No call starts later, so that the last ones can finish. */
constexpr uint64_t LAST_CALL_US = END_US - 3 * SEC_US;
constexpr int MAX_TRIES = 4; /* of a caller for one call */
/* A caller retries after this delay on average, between half and 1.5 of it. */
constexpr uint64_t RETRY_DELAY_US = 100 * MSEC_US;
/* Complete answers are counted in bins, which cover the replay. */
constexpr int BINS = 60;
constexpr uint64_t BIN_US = 500 * MSEC_US;
const char *const DCS[] = {"a", "b", "c"};

struct Service {
	std::string name, dependency; /* an empty dependency: none */
	int hosts = 0;
	uint32_t slots = 0;
	uint64_t mean_run_us = 0;
	std::vector<int> host_ids;
};

struct Org {
	std::string name;
	double rate = 0, offered_rate = 0; /* calls a second */
	/* A token bucket for all hosts; it defines what is inside the rate. */
	double central_tokens = 0;
	uint64_t central_refilled_us = 0;
	/*
	 * First tries during the trigger that were refused for the rate,
	 * although the central bucket admits them.
	 */
	unsigned long wrongful_refusals = 0;
	bool exceeds_rate = false; /* offers more than its rate */
	/* Calls inside its rate during the trigger, and those answered. */
	unsigned long calls = 0, complete = 0;
	uint64_t generation = 0; /* raised when the offered rate changes */
};

/* A line "at" of a trace. */
struct Change {
	uint64_t at_us;
	std::string kind; /* "slow" or "offer" */
	std::string name; /* of the service or organisation */
	double value; /* factor of the run time, or calls a second */
};

struct Simulation;

/* A call of a caller, with all its tries. */
struct Call {
	Simulation *simulation;
	Org *org;
	int importance;
	int tries = 0;
	bool is_inside_rate; /* the central bucket admits it */
	uint64_t started_us;
	std::string key;
};

/* The next call of an organisation, void once its generation has changed. */
struct Arrival {
	Simulation *simulation;
	Org *org;
	uint64_t generation;
};

} // namespace

struct Trace {
	std::string weighing = "recovery";
	std::vector<std::unique_ptr<Service>> services;
	std::vector<std::unique_ptr<Org>> orgs;
	std::vector<Change> changes;
	uint64_t trigger_start_us = 0, trigger_end_us = 0;
	uint64_t deadline_us = 2 * SEC_US; /* of a call, from its start */
};

namespace {

struct Simulation {
	Trace trace;
	Policy policy;
	struct replay *r;
	int hosts = 0;
	unsigned long complete_per_bin[BINS] = {};
	/* All calls that started during the trigger, and those answered. */
	unsigned long class_calls[IMPORTANCE_COUNT] = {};
	unsigned long class_complete[IMPORTANCE_COUNT] = {};
	/* Over the whole replay; a booking makes two runs. */
	unsigned long complete = 0, useful_runs = 0;
	/* Calls during the trigger inside a rate, and all of them. */
	unsigned long calls_inside_rate = 0, offered = 0;
	std::set<Call *> open_calls; /* calls that have no outcome yet */
	Outcome out;
};

Trace
trace_read(const std::string &file)
{
	std::ifstream in(file);
	std::string line, word, skip;
	Trace t;

	while (std::getline(in, line)) {
		std::istringstream s(line);

		if (line.empty() || line[0] == '#')
			continue;
		s >> word;
		if (word == "weighing") {
			s >> t.weighing;
		} else if (word == "service") {
			auto v = std::make_unique<Service>();
			double ms;

			s >> v->name >> skip >> v->hosts >> skip >> v->slots >>
			    skip >> ms >> skip >> v->dependency;
			v->mean_run_us = static_cast<uint64_t>(ms * 1000);
			t.services.push_back(std::move(v));
		} else if (word == "org") {
			auto o = std::make_unique<Org>();

			s >> o->name >> skip >> o->rate >> skip >>
			    o->offered_rate;
			t.orgs.push_back(std::move(o));
		} else if (word == "at") {
			Change c;

			s >> c.at_us >> c.kind >> c.name >> c.value;
			c.at_us *= MSEC_US;
			t.changes.push_back(c);
		} else if (word == "deadline-ms") {
			s >> t.deadline_us;
			t.deadline_us *= MSEC_US;
		} else if (word == "trigger") {
			s >> t.trigger_start_us >> t.trigger_end_us;
			t.trigger_start_us *= MSEC_US;
			t.trigger_end_us *= MSEC_US;
		}
	}
	return t;
}

/* Under the other policies the rates are too high to ever refuse a call. */
std::string
make_config(const Trace &t, Policy policy)
{
	std::string s =
	    "[policy]\nweighing = " + t.weighing +
	    "\nretries = 3\n[datacentre a]\n[datacentre b]\n[datacentre c]\n";

	for (auto &v : t.services) {
		s += "[service " + v->name + "]\n";
		if (!v->dependency.empty())
			s += "depends = " + v->dependency + "\n";
	}
	for (auto &o : t.orgs) {
		double rate_factor = policy == Policy::adaptive ? 1 : 1000;

		s += "[organisation " + o->name +
		     "]\nrate = " + std::to_string(o->rate * rate_factor) +
		     "\nburst = " + std::to_string(o->rate * rate_factor / 2) +
		     "\nkey = " + key_hash_hex(("key-" + o->name).c_str()) +
		     "\n";
	}
	return s + "[route /low]\nservice = records\nimportance = low\n"
		   "idempotent = yes\n"
		   "[route /normal]\nservice = records\nidempotent = yes\n"
		   "[route /book]\nservice = bookings\nimportance = high\n";
}

void
add_hosts(Simulation &p)
{
	for (auto &v : p.trace.services) {
		for (int i = 0; i < v->hosts; i++) {
			struct replay_host_spec spec = {};

			spec.dc = DCS[i % 3];
			spec.service = v->name.c_str();
			spec.dependency_path =
			    v->dependency.empty() ? nullptr : "/normal";
			spec.slots = v->slots;
			spec.mean_run_us = v->mean_run_us;
			if (p.policy != Policy::adaptive) {
				spec.balancer = &balancer_random;
				spec.limiter = &limiter_fixed;
				spec.shedder = &shedder_fifo;
				spec.ignores_cancel = true;
				spec.retrier = p.policy == Policy::none
						   ? &retrier_none
						   : &retrier_per_hop;
			}
			if (p.policy == Policy::none) {
				spec.announced_slots = 100000;
				spec.max_queue = 100000;
			}
			v->host_ids.push_back(replay_add_host(p.r, &spec));
			p.hosts++;
		}
	}
}

void send_call(struct replay *r, void *arg);

bool
is_in_trigger(const Simulation &p, uint64_t us)
{
	return us >= p.trace.trigger_start_us && us < p.trace.trigger_end_us;
}

void
finish_call(Simulation &p, Call *c, bool complete)
{
	bool counts = is_in_trigger(p, c->started_us);

	if (counts && c->is_inside_rate) {
		c->org->calls++;
		c->org->complete += complete;
	}
	if (counts) {
		p.class_calls[c->importance]++;
		p.class_complete[c->importance] += complete;
	}
	p.open_calls.erase(c);
	delete c;
}

/* A complete answer counts at the time when the caller receives it. */
void
on_answer(struct replay *r, void *arg, const struct reply *reply)
{
	Call *c = static_cast<Call *>(arg);
	Simulation &p = *c->simulation;
	uint64_t now = replay_now_us(r);
	unsigned int calls = c->importance == IMPORTANCE_HIGH ? 2 : 1;
	bool ok = reply->failure.reason == REASON_NONE && reply->status == 200;

	if (reply->tries > calls)
		p.out.max_extra_tries =
		    std::max(p.out.max_extra_tries, reply->tries - calls);
	if (ok && now <= c->started_us + c->simulation->trace.deadline_us) {
		if (now / BIN_US < BINS)
			p.complete_per_bin[now / BIN_US]++;
		p.complete++;
		p.useful_runs += calls;
		finish_call(p, c, true);
		return;
	}
	if (reply->failure.reason == REASON_SHED &&
	    c->importance == IMPORTANCE_HIGH)
		p.out.shed_high_calls++;
	if (reply->failure.reason == REASON_OVER_RATE && c->is_inside_rate &&
	    c->tries == 1 && is_in_trigger(p, c->started_us))
		c->org->wrongful_refusals++;
	if (c->tries < MAX_TRIES && !ok &&
	    now + RETRY_DELAY_US <
		c->started_us + c->simulation->trace.deadline_us)
		replay_at(r,
		    now + RETRY_DELAY_US / 2 +
			replay_random(r) % RETRY_DELAY_US,
		    send_call, c);
	else
		finish_call(p, c, false);
}

void
send_call(struct replay *r, void *arg)
{
	static const char *const paths[] = {"/low", "/normal", "/book"};
	Call *c = static_cast<Call *>(arg);
	struct replay_call rc = {};
	uint64_t left =
	    c->started_us + c->simulation->trace.deadline_us - replay_now_us(r);

	c->tries++;
	rc.host = static_cast<int>(replay_random(r) % c->simulation->hosts);
	rc.method = c->importance == IMPORTANCE_HIGH ? "POST" : "GET";
	rc.path = paths[c->importance];
	rc.key = c->key.c_str();
	rc.deadline_ms = left / MSEC_US + 1;
	rc.done = on_answer;
	rc.arg = c;
	replay_send_call(r, &rc);
}

/* The bucket has the rate and burst that make_config() sets for adaptive. */
bool
take_central_token(Org &o, uint64_t now)
{
	o.central_tokens = std::min(o.rate / 2,
	    o.central_tokens +
		o.rate * static_cast<double>(now - o.central_refilled_us) /
		    SEC_US);
	o.central_refilled_us = now;
	if (o.central_tokens < 1)
		return false;
	o.central_tokens -= 1;
	return true;
}

void
on_arrival(struct replay *r, void *arg)
{
	Arrival *a = static_cast<Arrival *>(arg);
	Org &o = *a->org;
	uint64_t now = replay_now_us(r), n;
	double u;

	if (a->generation != o.generation || now > LAST_CALL_US) {
		delete a;
		return;
	}
	Call *c = new Call();

	a->simulation->open_calls.insert(c);

	n = replay_random(r) % 10;
	c->simulation = a->simulation;
	c->org = &o;
	c->importance = n < 3	? IMPORTANCE_LOW
			: n < 8 ? IMPORTANCE_NORMAL
				: IMPORTANCE_HIGH;
	c->is_inside_rate = take_central_token(o, now);
	c->started_us = now;
	c->key = "key-" + o.name;
	if (is_in_trigger(*a->simulation, now)) {
		a->simulation->offered++;
		a->simulation->calls_inside_rate += c->is_inside_rate;
	}
	send_call(r, c);
	u = (replay_random(r) % 1000000 + 1) / 1e6;
	replay_at(r,
	    now + static_cast<uint64_t>(-std::log(u) / o.offered_rate * 1e6),
	    on_arrival, a);
}

void
start_org(Simulation &p, Org &o)
{
	o.generation++;
	replay_at(p.r, replay_now_us(p.r) + replay_random(p.r) % 10000,
	    on_arrival, new Arrival{&p, &o, o.generation});
}

struct ScheduledChange {
	Simulation *simulation;
	Change change;
};

void
on_change(struct replay *r, void *arg)
{
	std::unique_ptr<ScheduledChange> s(static_cast<ScheduledChange *>(arg));

	if (s->change.kind == "slow") {
		for (auto &v : s->simulation->trace.services) {
			if (v->name != s->change.name)
				continue;
			for (int id : v->host_ids)
				replay_set_run_time_factor(
				    r, id, s->change.value);
		}
		return;
	}
	for (auto &o : s->simulation->trace.orgs) {
		if (o->name == s->change.name) {
			o->offered_rate = s->change.value;
			o->exceeds_rate =
			    o->exceeds_rate || o->offered_rate > o->rate;
			start_org(*s->simulation, *o);
		}
	}
}

double
goodput(const Simulation &p, uint64_t from_us, uint64_t to_us)
{
	unsigned long sum = 0;
	uint64_t i;

	for (i = from_us / BIN_US; i < to_us / BIN_US && i < BINS; i++)
		sum += p.complete_per_bin[i];
	return static_cast<double>(sum) * SEC_US / (to_us - from_us);
}

/*
 * The calls a second that the service records can run during the trigger.  A
 * booking takes one of them.
 */
double
trigger_capacity(const Simulation &p)
{
	const Service &v = *p.trace.services[0];
	double slow = 1;

	for (auto &c : p.trace.changes) {
		if (c.kind == "slow" && c.at_us == p.trace.trigger_start_us)
			slow = c.value;
	}
	return v.hosts * v.slots * 1e6 / (v.mean_run_us * slow);
}

void
measure_outcome(Simulation &p)
{
	Outcome &o = p.out;
	uint64_t from = p.trace.trigger_start_us, to = p.trace.trigger_end_us,
		 at;
	double len = static_cast<double>(to - from) / SEC_US;
	unsigned long calls = 0, wrongful_refusals = 0;

	o.goodput_before = goodput(p, 5 * SEC_US, from);
	o.goodput_during = goodput(p, from + SEC_US, to);
	/* Calls over a rate have to be refused, so they do not count. */
	o.offered =
	    (p.policy == Policy::adaptive ? p.calls_inside_rate : p.offered) /
	    len;
	o.capacity = trigger_capacity(p);
	for (at = to; at + SEC_US <= LAST_CALL_US; at += BIN_US) {
		if (goodput(p, at, at + SEC_US) >= 0.95 * o.goodput_before) {
			o.recovery_s = static_cast<double>(at - to) / SEC_US;
			break;
		}
	}
	for (auto &g : p.trace.orgs) {
		if (g->calls == 0 || g->exceeds_rate)
			continue;
		calls += g->calls;
		wrongful_refusals += g->wrongful_refusals;
		o.worst_org_ratio = std::min(o.worst_org_ratio,
		    static_cast<double>(g->complete) / g->calls);
	}
	o.wrongful_ratio =
	    calls ? static_cast<double>(wrongful_refusals) / calls : 0;
	for (int i = 0; i < IMPORTANCE_COUNT; i++)
		o.ratio_by_class[i] =
		    p.class_calls[i]
			? static_cast<double>(p.class_complete[i]) /
			      p.class_calls[i]
			: 1;
	o.wasted_ratio =
	    1 - static_cast<double>(p.useful_runs) / replay_count_runs(p.r);
}

} // namespace

const char *
policy_name(Policy p)
{
	return p == Policy::none    ? "none"
	       : p == Policy::fixed ? "fixed"
				    : "adaptive";
}

Outcome
overload_replay(
    const std::string &file, Policy policy, uint64_t seed, const char *weighing)
{
	Simulation p;

	p.trace = trace_read(file);
	if (weighing != nullptr)
		p.trace.weighing = weighing;
	p.policy = policy;
	p.r = replay_create(seed);
	replay_set_config(p.r, make_config(p.trace, policy).c_str());
	add_hosts(p);
	replay_run_until(p.r, 3 * SEC_US);
	for (auto &o : p.trace.orgs)
		start_org(p, *o);
	for (auto &c : p.trace.changes)
		replay_at(p.r, c.at_us, on_change, new ScheduledChange{&p, c});
	replay_run_until(p.r, END_US);
	measure_outcome(p);
	replay_destroy(p.r);
	for (Call *c : p.open_calls)
		delete c;
	return p.out;
}
