#include <algorithm>
#include <cmath>
#include <cstring>
#include <fstream>
#include <map>
#include <memory>
#include <set>
#include <sstream>

#include "t/overload.h"
#include "t/config-text.h"

namespace {

constexpr uint64_t END_US = 30 * SEC_US;
constexpr int MAX_TRIES = 4;
constexpr uint64_t PAUSE_US = 100 * MSEC_US;
constexpr int BINS = 60; /* of half a second */
constexpr uint64_t BIN_US = 500 * MSEC_US;
const char *const DCS[] = {"a", "b", "c"};

struct Service {
	std::string name, below;
	int hosts = 0;
	uint32_t slots = 0;
	uint64_t work_us = 0;
	std::vector<int> ids;
};

struct Org {
	std::string name;
	double rate = 0, offer = 0;
	double ideal = 0; /* one bucket for the whole fleet */
	uint64_t ideal_us = 0;
	unsigned long wrongful = 0; /* refused for its rate while inside */
	bool floods = false; /* offers more than its rate */
	unsigned long asked = 0, whole = 0; /* inside its rate, in trigger */
	uint64_t generation = 0;
};

struct Change {
	uint64_t at_us;
	std::string what, who;
	double value;
};

struct Play;

struct Call {
	Play *play;
	Org *org;
	int kind; /* importance */
	int tries = 0;
	bool inside;
	uint64_t begun_us;
	std::string key;
};

struct Arrival {
	Play *play;
	Org *org;
	uint64_t generation;
};

} // namespace

struct Trace {
	std::string weighing = "recovery";
	std::vector<std::unique_ptr<Service>> services;
	std::vector<std::unique_ptr<Org>> orgs;
	std::vector<Change> changes;
	uint64_t from_us = 0, to_us = 0;
	uint64_t deadline_us = 2 * SEC_US;
};

namespace {

struct Play {
	Trace trace;
	Policy policy;
	struct replay *r;
	int hosts = 0;
	unsigned long bins[BINS] = {};
	unsigned long class_asked[IMPORTANCE_COUNT] = {};
	unsigned long class_whole[IMPORTANCE_COUNT] = {};
	unsigned long whole = 0, whole_runs = 0, asked_inside = 0;
	unsigned long offered = 0;
	std::set<Call *> open; /* calls that have no outcome yet */
	Outcome out;
};

Trace
read_trace(const std::string &file)
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
			    skip >> ms >> skip >> v->below;
			v->work_us = static_cast<uint64_t>(ms * 1000);
			t.services.push_back(std::move(v));
		} else if (word == "org") {
			auto o = std::make_unique<Org>();

			s >> o->name >> skip >> o->rate >> skip >> o->offer;
			t.orgs.push_back(std::move(o));
		} else if (word == "at") {
			Change c;

			s >> c.at_us >> c.what >> c.who >> c.value;
			c.at_us *= MSEC_US;
			t.changes.push_back(c);
		} else if (word == "deadline-ms") {
			s >> t.deadline_us;
			t.deadline_us *= MSEC_US;
		} else if (word == "trigger") {
			s >> t.from_us >> t.to_us;
			t.from_us *= MSEC_US;
			t.to_us *= MSEC_US;
		}
	}
	return t;
}

/* Only our policy knows the organisations' rates. */
std::string
make_text(const Trace &t, Policy policy)
{
	std::string s =
	    "[policy]\nweighing = " + t.weighing +
	    "\nretries = 3\n[datacentre a]\n[datacentre b]\n[datacentre c]\n";

	for (auto &v : t.services) {
		s += "[service " + v->name + "]\n";
		if (!v->below.empty())
			s += "depends = " + v->below + "\n";
	}
	for (auto &o : t.orgs) {
		double k = policy == Policy::ours ? 1 : 1000;

		s += "[organisation " + o->name +
		     "]\nrate = " + std::to_string(o->rate * k) +
		     "\nburst = " + std::to_string(o->rate * k / 2) +
		     "\nkey = " + hash_of(("key-" + o->name).c_str()) + "\n";
	}
	return s + "[route /low]\nservice = records\nimportance = low\n"
		   "idempotent = yes\n"
		   "[route /normal]\nservice = records\nidempotent = yes\n"
		   "[route /book]\nservice = bookings\nimportance = high\n";
}

void
add_hosts(Play &p)
{
	for (auto &v : p.trace.services) {
		for (int i = 0; i < v->hosts; i++) {
			struct replay_spec spec = {};

			spec.dc = DCS[i % 3];
			spec.service = v->name.c_str();
			spec.dependency_path = v->below.empty() ? nullptr : "/normal";
			spec.slots = v->slots;
			spec.work_us = v->work_us;
			if (p.policy != Policy::ours) {
				spec.balancer = &balancer_random;
				spec.limiter = &limiter_fixed;
				spec.shedder = &shedder_fifo;
				spec.ignores_cancel = true;
				spec.retrier = p.policy == Policy::off
						   ? &retrier_none
						   : &retrier_per_hop;
			}
			if (p.policy == Policy::off) {
				spec.announced_slots = 100000;
				spec.max_queue = 100000;
			}
			v->ids.push_back(replay_host(p.r, &spec));
			p.hosts++;
		}
	}
}

void send_call(struct replay *r, void *arg);

bool
in_trigger(const Play &p, uint64_t us)
{
	return us >= p.trace.from_us && us < p.trace.to_us;
}

void
finish(Play &p, Call *c, bool whole)
{
	bool counts = in_trigger(p, c->begun_us);

	if (counts && c->inside) {
		c->org->asked++;
		c->org->whole += whole;
	}
	if (counts) {
		p.class_asked[c->kind]++;
		p.class_whole[c->kind] += whole;
	}
	p.open.erase(c);
	delete c;
}

/* A whole answer counts at the time when the caller has it. */
void
on_answer(struct replay *r, void *arg, const struct reply *reply)
{
	Call *c = static_cast<Call *>(arg);
	Play &p = *c->play;
	uint64_t now = replay_now(r);
	unsigned int calls = c->kind == IMPORTANCE_HIGH ? 2 : 1;
	bool ok = reply->failure.reason == REASON_NONE && reply->status == 200;

	if (reply->tries > calls)
		p.out.most_tries_over =
		    std::max(p.out.most_tries_over, reply->tries - calls);
	if (ok && now <= c->begun_us + c->play->trace.deadline_us) {
		if (now / BIN_US < BINS)
			p.bins[now / BIN_US]++;
		p.whole++;
		p.whole_runs += calls;
		finish(p, c, true);
		return;
	}
	if (reply->failure.reason == REASON_SHED && c->kind == IMPORTANCE_HIGH)
		p.out.shed_high++;
	if (reply->failure.reason == REASON_OVER_RATE && c->inside &&
	    c->tries == 1 && in_trigger(p, c->begun_us))
		c->org->wrongful++;
	if (c->tries < MAX_TRIES && !ok &&
	    now + PAUSE_US < c->begun_us + c->play->trace.deadline_us)
		replay_at(r, now + PAUSE_US / 2 + replay_random(r) % PAUSE_US,
		    send_call, c);
	else
		finish(p, c, false);
}

void
send_call(struct replay *r, void *arg)
{
	static const char *const paths[] = {"/low", "/normal", "/book"};
	Call *c = static_cast<Call *>(arg);
	struct replay_call rc = {};
	uint64_t left =
	    c->begun_us + c->play->trace.deadline_us - replay_now(r);

	c->tries++;
	rc.host = static_cast<int>(replay_random(r) % c->play->hosts);
	rc.method = c->kind == IMPORTANCE_HIGH ? "POST" : "GET";
	rc.path = paths[c->kind];
	rc.key = c->key.c_str();
	rc.deadline_ms = left / MSEC_US + 1;
	rc.done = on_answer;
	rc.arg = c;
	replay_send(r, &rc);
}

bool
take_ideal(Org &o, uint64_t now)
{
	o.ideal = std::min(o.rate / 2,
	    o.ideal + o.rate * static_cast<double>(now - o.ideal_us) / SEC_US);
	o.ideal_us = now;
	if (o.ideal < 1)
		return false;
	o.ideal -= 1;
	return true;
}

void
on_arrival(struct replay *r, void *arg)
{
	Arrival *a = static_cast<Arrival *>(arg);
	Org &o = *a->org;
	uint64_t now = replay_now(r), n;
	double u;

	if (a->generation != o.generation || now > END_US - 3 * SEC_US) {
		delete a;
		return;
	}
	Call *c = new Call();

	a->play->open.insert(c);

	n = replay_random(r) % 10;
	c->play = a->play;
	c->org = &o;
	c->kind = n < 3	  ? IMPORTANCE_LOW
		  : n < 8 ? IMPORTANCE_NORMAL
			  : IMPORTANCE_HIGH;
	c->inside = take_ideal(o, now);
	c->begun_us = now;
	c->key = "key-" + o.name;
	if (in_trigger(*a->play, now)) {
		a->play->offered++;
		a->play->asked_inside += c->inside;
	}
	send_call(r, c);
	u = (replay_random(r) % 1000000 + 1) / 1e6;
	replay_at(r, now + static_cast<uint64_t>(-std::log(u) / o.offer * 1e6),
	    on_arrival, a);
}

void
start_org(Play &p, Org &o)
{
	o.generation++;
	replay_at(p.r, replay_now(p.r) + replay_random(p.r) % 10000, on_arrival,
	    new Arrival{&p, &o, o.generation});
}

struct Step {
	Play *play;
	Change change;
};

void
on_change(struct replay *r, void *arg)
{
	std::unique_ptr<Step> s(static_cast<Step *>(arg));

	if (s->change.what == "slow") {
		for (auto &v : s->play->trace.services) {
			if (v->name != s->change.who)
				continue;
			for (int id : v->ids)
				replay_slow(r, id, s->change.value);
		}
		return;
	}
	for (auto &o : s->play->trace.orgs) {
		if (o->name == s->change.who) {
			o->offer = s->change.value;
			o->floods = o->floods || o->offer > o->rate;
			start_org(*s->play, *o);
		}
	}
}

double
bin_rate(const Play &p, uint64_t from_us, uint64_t to_us)
{
	unsigned long sum = 0;
	uint64_t i;

	for (i = from_us / BIN_US; i < to_us / BIN_US && i < BINS; i++)
		sum += p.bins[i];
	return static_cast<double>(sum) * SEC_US / (to_us - from_us);
}

/* What records can do in the trigger, each booking taking one of them. */
double
capacity_during(const Play &p)
{
	const Service &v = *p.trace.services[0];
	double slow = 1;

	for (auto &c : p.trace.changes) {
		if (c.what == "slow" && c.at_us == p.trace.from_us)
			slow = c.value;
	}
	return v.hosts * v.slots * 1e6 / (v.work_us * slow);
}

void
measure(Play &p)
{
	Outcome &o = p.out;
	uint64_t from = p.trace.from_us, to = p.trace.to_us, at;
	double len = static_cast<double>(to - from) / SEC_US;
	unsigned long inside = 0, wrongful = 0;

	o.before = bin_rate(p, 5 * SEC_US, from);
	o.during = bin_rate(p, from + SEC_US, to);
	/* What is over a rate has to be refused and is not missed. */
	o.offered =
	    (p.policy == Policy::ours ? p.asked_inside : p.offered) / len;
	o.capacity = capacity_during(p);
	for (at = to; at + SEC_US <= END_US - 3 * SEC_US; at += BIN_US) {
		if (bin_rate(p, at, at + SEC_US) >= 0.95 * o.before) {
			o.recovery_s = static_cast<double>(at - to) / SEC_US;
			break;
		}
	}
	for (auto &g : p.trace.orgs) {
		if (g->asked == 0 || g->floods)
			continue;
		inside += g->asked;
		wrongful += g->wrongful;
		o.worst_part = std::min(
		    o.worst_part, static_cast<double>(g->whole) / g->asked);
	}
	o.wrongful_part = inside ? static_cast<double>(wrongful) / inside : 0;
	for (int i = 0; i < IMPORTANCE_COUNT; i++)
		o.by_class[i] = p.class_asked[i]
				    ? static_cast<double>(p.class_whole[i]) /
					  p.class_asked[i]
				    : 1;
	o.wasted_part =
	    1 - static_cast<double>(p.whole_runs) / replay_runs(p.r);
}

} // namespace

const char *
policy_name(Policy p)
{
	return p == Policy::off ? "off" : p == Policy::usual ? "usual" : "ours";
}

Outcome
overload_play(
    const std::string &file, Policy policy, uint64_t seed, const char *weighing)
{
	Play p;

	p.trace = read_trace(file);
	if (weighing != nullptr)
		p.trace.weighing = weighing;
	p.policy = policy;
	p.r = replay_create(seed);
	replay_config(p.r, make_text(p.trace, policy).c_str());
	add_hosts(p);
	replay_run(p.r, 3 * SEC_US);
	for (auto &o : p.trace.orgs)
		start_org(p, *o);
	for (auto &c : p.trace.changes)
		replay_at(p.r, c.at_us, on_change, new Step{&p, c});
	replay_run(p.r, END_US);
	measure(p);
	replay_destroy(p.r);
	for (Call *c : p.open)
		delete c;
	return p.out;
}
