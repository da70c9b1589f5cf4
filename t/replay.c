#include <inttypes.h>
#include <math.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/catalog_ini.h"
#include "core/hash.h"
#include "core/retry.h"
#include "t/replay.h"

/* What the clocks of all nodes show at the start of the replay. */
#define START_WALL_MS UINT64_C(1700000000000)
#define START_MONO_US (1000 * SEC_US)
#define INTRA_DC_DELAY_US 300 /* one way, between hosts of one dc */
#define INTER_DC_DELAY_US 500 /* one way, between two dcs */
#define DEPENDENCY_CALL_DELAY_US 50 /* from a target to its daemon */
#define ANNOUNCE_DELAY_US 1000 /* from the start of a host */
#define PLATFORM_ROUND_TRIP_US 2000
#define PLATFORM_TIMEOUT_US (1 * SEC_US)
#define MAX_ROWS 1024 /* that the platform stores; one more aborts */

struct event {
	RB_ENTRY(event) entry;
	uint64_t at_us;
	uint64_t schedule_number;
	void (*fn)(struct replay *, void *arg);
	void *arg;
};

RB_HEAD(event_tree, event);

struct stored_row {
	char key[256];
	uint64_t version;
	struct buffer value;
};

/* A call that a target runs or has queued. */
struct run {
	LIST_ENTRY(run) entry;
	TAILQ_ENTRY(run) queue_entry;
	struct replay *replay; /* unused */
	int host;
	uint64_t generation;
	uint64_t seq;
	struct call_context context;
	char id[ID_LEN];
	bool started;
	const struct replay_work *work; /* NULL: as the host's spec says */
	int calls_left; /* that it still makes one after the other */
	bool cancelled; /* the work goes on, but the answer is dropped */
	uint64_t remaining_us; /* run time after the dependency has replied */
	int status; /* HTTP status of the answer */
};

LIST_HEAD(run_list, run);
TAILQ_HEAD(run_queue, run);

/* A call that its caller waits for. */
struct pending_call {
	LIST_ENTRY(pending_call) entry;
	uint64_t token;
	int host;
	struct replay_call call;
};

LIST_HEAD(pending_call_list, pending_call);

/* A submitted configuration that has no reply yet. */
struct pending_submit {
	LIST_ENTRY(pending_submit) entry;
	uint64_t token;
	void (*done)(struct replay *, void *, int, uint64_t);
	void *arg;
};

LIST_HEAD(pending_submit_list, pending_submit);

struct host {
	struct replay_host_spec spec;
	struct node *node; /* NULL while it is down */
	struct addr addr;
	uint64_t generation; /* raised by each kill, to ignore older events */
	uint64_t frozen_until_us;
	bool platform_partitioned;
	struct msg_list frozen_msgs; /* unused */
	struct run_list runs;
	struct run_queue queue;
	uint32_t running;
	double run_time_factor;
	int answers_to_truncate;
	bool tick_scheduled;
	uint64_t tick_at_us;
};

/* How many runs had one idempotency id. */
struct id_count {
	RB_ENTRY(id_count) entry;
	char id[ID_LEN];
	uint64_t runs;
};

RB_HEAD(id_tree, id_count);

struct replay {
	struct event_tree events;
	struct host hosts[REPLAY_MAX_HOSTS];
	bool partitioned[REPLAY_MAX_HOSTS][REPLAY_MAX_HOSTS];
	uint64_t extra_delay_us[REPLAY_MAX_HOSTS][REPLAY_MAX_HOSTS];
	int nhosts;
	struct stored_row rows[MAX_ROWS];
	int nrows;
	struct stored_row copied_rows[MAX_ROWS];
	int ncopied_rows;
	uint64_t platform_era;
	enum replay_platform_mode platform_mode;
	struct pending_call_list calls;
	struct pending_submit_list submits;
	struct id_tree runs_by_id;
	uint64_t now_us;
	uint64_t schedule_number;
	uint64_t rng;
	uint64_t next_token;
	uint64_t runs, max_runs_of_id, message_count;
};

static int
event_cmp(struct event *a, struct event *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us ? -1 : 1;
	return a->schedule_number < b->schedule_number
		   ? -1
		   : a->schedule_number > b->schedule_number;
}

static int
id_count_cmp(struct id_count *a, struct id_count *b)
{
	return strcmp(a->id, b->id);
}

RB_PROTOTYPE(event_tree, event, entry, event_cmp);
RB_GENERATE(event_tree, event, entry, event_cmp);
RB_PROTOTYPE(id_tree, id_count, entry, id_count_cmp);
RB_GENERATE(id_tree, id_count, entry, id_count_cmp);

static void host_tick(struct replay *, int host);
static void run_start(struct replay *, struct run *);

struct replay *
replay_create(uint64_t seed)
{
	struct replay *r = xcalloc(1, sizeof(*r));

	RB_INIT(&r->events);
	RB_INIT(&r->runs_by_id);
	LIST_INIT(&r->calls);
	LIST_INIT(&r->submits);
	r->rng = hash_mix(seed + 1);
	return r;
}

static void
host_release(struct host *h)
{
	struct run *run;

	while ((run = LIST_FIRST(&h->runs)) != NULL) {
		LIST_REMOVE(run, entry);
		free(run);
	}
	TAILQ_INIT(&h->queue);
	h->running = 0;
	msg_list_clear(&h->frozen_msgs);
	if (h->node != NULL)
		node_destroy(h->node);
	h->node = NULL;
}

/* A message on its way, and the state of both hosts when it was sent. */
struct delivery {
	struct msg *msg;
	int from, to;
	uint64_t generation;
	uint64_t from_generation; /* unused */
};

static void on_delivery(struct replay *, void *);
static void on_finished(struct replay *, void *);
static void on_half_done(struct replay *, void *);
static void on_dependency_reply(struct replay *, void *, const struct reply *);

void
replay_destroy(struct replay *r)
{
	struct event *e;
	struct pending_call *p;
	struct pending_submit *o;
	struct id_count *c;
	int i;

	while ((e = RB_MIN(event_tree, &r->events)) != NULL) {
		RB_REMOVE(event_tree, &r->events, e);
		if (e->fn == on_delivery) {
			msg_destroy(((struct delivery *)e->arg)->msg);
			free(e->arg);
		} else if (e->fn == on_finished || e->fn == on_half_done) {
			free(e->arg);
		}
		free(e);
	}
	for (i = 0; i < r->nhosts; i++)
		host_release(&r->hosts[i]);
	for (i = 0; i < r->nrows; i++)
		buffer_release(&r->rows[i].value);
	for (i = 0; i < r->ncopied_rows; i++)
		buffer_release(&r->copied_rows[i].value);
	while ((p = LIST_FIRST(&r->calls)) != NULL) {
		LIST_REMOVE(p, entry);
		if (p->call.done == on_dependency_reply)
			free(p->call.arg);
		free(p);
	}
	while ((o = LIST_FIRST(&r->submits)) != NULL) {
		LIST_REMOVE(o, entry);
		free(o);
	}
	while ((c = RB_ROOT(&r->runs_by_id)) != NULL) {
		RB_REMOVE(id_tree, &r->runs_by_id, c);
		free(c);
	}
	free(r);
}

uint64_t
replay_now_us(const struct replay *r)
{
	return r->now_us;
}

struct instant
replay_instant(const struct replay *r)
{
	struct instant now = {
	    START_MONO_US + r->now_us, START_WALL_MS + r->now_us / MSEC_US};

	return now;
}

uint64_t
replay_random(struct replay *r)
{
	return rng_next(&r->rng);
}

void
replay_at(struct replay *r, uint64_t at_us,
    void (*fn)(struct replay *, void *arg), void *arg)
{
	struct event *e = xcalloc(1, sizeof(*e));

	e->at_us = at_us < r->now_us ? r->now_us : at_us;
	e->schedule_number = ++r->schedule_number;
	e->fn = fn;
	e->arg = arg;
	RB_INSERT(event_tree, &r->events, e);
}

static void
schedule_after(struct replay *r, uint64_t us,
    void (*fn)(struct replay *, void *), void *arg)
{
	replay_at(r, r->now_us + us, fn, arg);
}

void
replay_run_until(struct replay *r, uint64_t until_us)
{
	struct event *e;

	while ((e = RB_MIN(event_tree, &r->events)) != NULL &&
	       e->at_us <= until_us) {
		RB_REMOVE(event_tree, &r->events, e);
		r->now_us = e->at_us;
		e->fn(r, e->arg);
		free(e);
	}
	r->now_us = until_us;
}

/* The rows that the simulated platform stores. */

static struct stored_row *
row_find(struct replay *r, const char *key)
{
	int i;

	for (i = 0; i < r->nrows; i++) {
		if (strcmp(r->rows[i].key, key) == 0)
			return &r->rows[i];
	}
	return NULL;
}

static struct stored_row *
row_find_or_add(struct replay *r, const char *key)
{
	struct stored_row *s = row_find(r, key);

	if (s != NULL)
		return s;
	if (r->nrows == MAX_ROWS)
		abort();
	s = &r->rows[r->nrows++];
	name_copy(s->key, key, sizeof(s->key));
	return s;
}

void
replay_set_row(struct replay *r, const char *key, const char *value)
{
	struct stored_row *s = row_find_or_add(r, key);

	buffer_set(&s->value, value, strlen(value));
	s->version++;
}

void
replay_set_config(struct replay *r, const char *text)
{
	replay_set_row(r, "config", text);
}

/* Replace the rows of dst by those of src. */
static void
rows_copy(
    struct stored_row *dst, int *ndst, const struct stored_row *src, int nsrc)
{
	int i;

	for (i = 0; i < *ndst; i++)
		buffer_release(&dst[i].value);
	memset(dst, 0, *ndst * sizeof(*dst));
	for (i = 0; i < nsrc; i++) {
		name_copy(dst[i].key, src[i].key, sizeof(dst[i].key));
		dst[i].version = src[i].version;
		buffer_set(&dst[i].value, src[i].value.data, src[i].value.len);
	}
	*ndst = nsrc;
}

void
replay_copy_platform(struct replay *r)
{
	rows_copy(r->copied_rows, &r->ncopied_rows, r->rows, r->nrows);
}

void
replay_return_platform(struct replay *r)
{
	rows_copy(r->rows, &r->nrows, r->copied_rows, r->ncopied_rows);
	r->platform_era++;
}

void
replay_set_platform_mode(struct replay *r, enum replay_platform_mode mode)
{
	r->platform_mode = mode;
}

static void
rows_read_prefix(struct replay *r, struct row *row)
{
	size_t room = 1, used = 0;
	char *text;
	int i;

	for (i = 0; i < r->nrows; i++)
		room += r->rows[i].value.len + 300;
	text = xcalloc(1, room);
	for (i = 0; i < r->nrows; i++) {
		if (r->rows[i].value.len > 0 &&
		    strncmp(r->rows[i].key, row->key, strlen(row->key)) == 0)
			used += snprintf(text + used, room - used,
			    "%s %" PRIu64 " %s\n", r->rows[i].key,
			    r->rows[i].version, r->rows[i].value.data);
	}
	row->status = ROW_FOUND;
	buffer_set(&row->value, text, used);
	free(text);
}

static void
row_read(struct replay *r, struct row *row)
{
	struct stored_row *s = row_find(r, row->key);

	row->version = s != NULL ? s->version : 0;
	row->status = s != NULL && s->value.len > 0 ? ROW_FOUND : ROW_ABSENT;
	if (row->status == ROW_FOUND)
		buffer_set(&row->value, s->value.data, s->value.len);
}

static void
row_write(struct replay *r, struct row *row)
{
	struct stored_row *s = row_find_or_add(r, row->key);

	if (row->version != UINT64_MAX && row->version != s->version) {
		row->status = ROW_CONFLICT;
		row->version = s->version;
		buffer_set(&row->value, s->value.data, s->value.len);
		return;
	}
	buffer_set(&s->value, row->value.data, row->value.len);
	row->version = ++s->version;
	row->status = ROW_WRITTEN;
}

/* Links. */

static int
host_find(struct replay *r, struct addr a)
{
	int i;

	for (i = 0; i < r->nhosts; i++) {
		if (addr_equal(r->hosts[i].addr, a))
			return i;
	}
	return -1;
}

static uint64_t
link_delay_us(struct replay *r, int a, int b)
{
	uint64_t min_us = strcmp(r->hosts[a].spec.dc, r->hosts[b].spec.dc) == 0
			      ? INTRA_DC_DELAY_US
			      : INTER_DC_DELAY_US;

	return min_us + rng_below(&r->rng, min_us / 4);
}

static void
deliver_after(
    struct replay *r, int from, int to, struct msg *m, uint64_t delay_us)
{
	struct delivery *d = xcalloc(1, sizeof(*d));

	d->msg = m;
	d->from = from;
	d->to = to;
	d->generation = r->hosts[to].generation;
	d->from_generation = r->hosts[from].generation;
	schedule_after(r, delay_us, on_delivery, d);
}

static void
report_link_down(
    struct replay *r, int host, int peer, bool may_have_sent, uint64_t delay_us)
{
	struct msg *m = msg_create(MSG_LINK_DOWN);

	m->peer = r->hosts[peer].addr;
	m->may_have_sent = may_have_sent;
	deliver_after(r, host, host, m, delay_us);
}

static void
send_over_link(struct replay *r, int from, struct msg *m)
{
	int to = host_find(r, m->peer);

	r->message_count++;
	if (to < 0) {
		msg_destroy(m);
		return;
	}
	if (r->partitioned[from][to]) {
		report_link_down(r, from, to, true, REPLAY_LINK_TIMEOUT_US);
		msg_destroy(m);
		return;
	}
	if (r->hosts[to].node == NULL) {
		report_link_down(r, from, to, false, 2 * INTRA_DC_DELAY_US);
		msg_destroy(m);
		return;
	}
	m->peer = r->hosts[from].addr;
	deliver_after(r, from, to, m,
	    link_delay_us(r, from, to) + r->extra_delay_us[from][to]);
}

void
replay_set_platform_partition(struct replay *r, int host, bool partitioned)
{
	r->hosts[host].platform_partitioned = partitioned;
}

static void
handle_row_request(struct replay *r, int from, struct msg *m)
{
	bool write = m->kind == MSG_ROW_WRITE;
	struct row *row = &m->u.row;

	m->kind = MSG_ROW;
	if (r->platform_mode == REPLAY_PLATFORM_DOWN ||
	    r->hosts[from].platform_partitioned) {
		row->status = ROW_UNKNOWN;
		deliver_after(r, from, from, m, PLATFORM_TIMEOUT_US);
		return;
	}
	if (write)
		row_write(r, row);
	else if (row->key_is_prefix)
		rows_read_prefix(r, row);
	else
		row_read(r, row);
	row->era = r->platform_era;
	if (write && r->platform_mode == REPLAY_PLATFORM_LOSES_ANSWERS) {
		row->status = ROW_UNKNOWN;
		deliver_after(r, from, from, m, PLATFORM_TIMEOUT_US);
		return;
	}
	deliver_after(r, from, from, m, PLATFORM_ROUND_TRIP_US);
}

/* Targets. */

static void
run_reply(struct replay *r, struct run *run, const struct reply *reply)
{
	struct host *h = &r->hosts[run->host];
	struct msg *m = msg_create(MSG_RUN_DONE);
	struct run *next;

	m->seq = run->seq;
	m->u.reply = *reply;
	memset(&m->u.reply.headers, 0, sizeof(m->u.reply.headers));
	memset(&m->u.reply.body, 0, sizeof(m->u.reply.body));
	buffer_set(
	    &m->u.reply.headers, reply->headers.data, reply->headers.len);
	buffer_set(&m->u.reply.body, reply->body.data, reply->body.len);
	LIST_REMOVE(run, entry);
	if (run->started)
		h->running--;
	else
		TAILQ_REMOVE(&h->queue, run, queue_entry);
	deliver_after(r, run->host, run->host, m, 1);
	free(run);
	next = TAILQ_FIRST(&h->queue);
	if (next != NULL && h->running < h->spec.slots) {
		TAILQ_REMOVE(&h->queue, next, queue_entry);
		run_start(r, next);
	}
}

static void
run_finish(struct replay *r, struct run *run)
{
	struct host *h = &r->hosts[run->host];
	struct reply reply = {0};
	char body[ID_LEN + 16];

	if (run->cancelled || h->answers_to_truncate > 0) {
		if (!run->cancelled)
			h->answers_to_truncate--;
		reply_fail(&reply, failure_make(VERDICT_MAY_HAVE_RUN,
				       run->cancelled ? REASON_CANCELLED
						      : REASON_TARGET_FAILED));
	} else {
		reply.status = run->status;
		snprintf(
		    body, sizeof(body), "did %s", run->id[0] ? run->id : "it");
		buffer_set(&reply.body, body, strlen(body));
	}
	run_reply(r, run, &reply);
	reply_release(&reply);
}

/* Refers to a run that may end before the event that uses this. */
struct run_ref {
	struct run *run;
	uint64_t generation;
	int host;
	uint64_t seq;
};

/* Returns NULL if the run was cancelled or killed meanwhile. */
static struct run *
run_find(struct replay *r, const struct run_ref *ref)
{
	struct run *run;

	if (r->hosts[ref->host].generation != ref->generation)
		return NULL;
	LIST_FOREACH (run, &r->hosts[ref->host].runs, entry) {
		if (run == ref->run && run->seq == ref->seq)
			return run;
	}
	return NULL;
}

static struct run_ref *
run_ref_create(struct replay *r, struct run *run)
{
	struct run_ref *ref = xcalloc(1, sizeof(*ref));

	ref->run = run;
	ref->host = run->host;
	ref->generation = r->hosts[run->host].generation;
	ref->seq = run->seq;
	return ref;
}

static void
on_finished(struct replay *r, void *arg)
{
	struct run *run = run_find(r, arg);

	free(arg);
	if (run != NULL)
		run_finish(r, run);
}

static void on_half_done(struct replay *, void *);

static void
on_dependency_reply(struct replay *r, void *arg, const struct reply *reply)
{
	struct run *run = run_find(r, arg);
	bool ok = reply->failure.reason == REASON_NONE && reply->status == 200;

	if (run == NULL) {
		free(arg);
		return;
	}
	if (ok && --run->calls_left > 0) {
		if (run->work->together)
			free(arg);
		else
			on_half_done(r, arg);
		return;
	}
	if (!ok)
		run->status = 502;
	schedule_after(r, ok ? run->remaining_us : 1, on_finished, arg);
}

static void
call_dependency(struct replay *r, struct run *run, struct run_ref *ref)
{
	struct replay_call c = {0};
	struct msg *m;
	struct pending_call *p;

	c.host = run->host;
	c.done = on_dependency_reply;
	c.arg = ref;
	p = xcalloc(1, sizeof(*p));
	p->token = ++r->next_token;
	p->host = run->host;
	p->call = c;
	LIST_INSERT_HEAD(&r->calls, p, entry);
	m = msg_create(MSG_CALL);
	m->seq = p->token;
	name_copy(m->u.call.request.method, "GET", METHOD_LEN);
	if (run->work != NULL) {
		name_copy(
		    m->u.call.request.path, run->work->calls_path, PATH_LEN);
		name_copy(m->u.call.request.host, "x", HOST_LEN);
		m->u.call.context.deadline_ms = run->work->calls_deadline_ms;
	} else {
		m->u.call.has_context = true;
		m->u.call.context.tree_id = run->context.tree_id;
		m->u.call.context.job = run->seq;
		name_copy(m->u.call.request.path,
		    r->hosts[run->host].spec.dependency_path, PATH_LEN);
	}
	deliver_after(r, run->host, run->host, m, DEPENDENCY_CALL_DELAY_US);
}

/* The first half of a run is over, and it calls its dependency. */
static void
on_half_done(struct replay *r, void *arg)
{
	struct run *run = run_find(r, arg);
	int i;

	if (run == NULL || run->cancelled) {
		free(arg);
		if (run != NULL)
			run_finish(r, run);
		return;
	}
	call_dependency(r, run, arg);
	if (run->work == NULL || !run->work->together)
		return;
	for (i = 1; i < run->work->calls; i++)
		call_dependency(r, run, run_ref_create(r, run));
}

static void
run_count(struct replay *r, const char *id)
{
	struct id_count *c, *old;

	r->runs++;
	if (id[0] == '\0')
		return;
	c = xcalloc(1, sizeof(*c));
	name_copy(c->id, id, sizeof(c->id));
	old = RB_INSERT(id_tree, &r->runs_by_id, c);
	if (old != NULL) {
		free(c);
		c = old;
	}
	if (++c->runs > r->max_runs_of_id)
		r->max_runs_of_id = c->runs;
}

static void
run_start(struct replay *r, struct run *run)
{
	struct host *h = &r->hosts[run->host];
	double u = (double)(rng_next(&r->rng) >> 11) / (1ull << 53);
	uint64_t work_us;
	bool makes_calls = run->work != NULL ? run->calls_left > 0
					     : h->spec.dependency_path != NULL;

	if (run->work != NULL)
		work_us = (uint64_t)((0.5 + u) * run->work->mean_us *
				     h->run_time_factor);
	else
		work_us = (uint64_t)(-log(1 - u) * h->spec.mean_run_us *
				     h->run_time_factor);
	run->started = true;
	h->running++;
	run_count(r, run->id);
	if (!makes_calls) {
		schedule_after(
		    r, work_us + 1, on_finished, run_ref_create(r, run));
		return;
	}
	run->remaining_us = work_us / 2 + 1;
	schedule_after(
	    r, work_us / 2 + 1, on_half_done, run_ref_create(r, run));
}

static void
target_accept(struct replay *r, int host, struct msg *m)
{
	struct host *h = &r->hosts[host];
	struct run *run = xcalloc(1, sizeof(*run));

	run->replay = r;
	run->host = host;
	run->seq = m->seq;
	run->status = 200;
	run->context = m->u.forward.context;
	if (h->spec.work != NULL) {
		run->work = h->spec.work(m->u.forward.request.path);
		run->calls_left = run->work->calls;
	}
	name_copy(run->id, m->u.forward.id, sizeof(run->id));
	LIST_INSERT_HEAD(&h->runs, run, entry);
	if (h->running < h->spec.slots)
		run_start(r, run);
	else
		TAILQ_INSERT_TAIL(&h->queue, run, queue_entry);
}

static void
target_cancel(struct replay *r, int host, uint64_t seq)
{
	struct reply reply = {0};
	struct run *run;

	if (r->hosts[host].spec.ignores_cancel)
		return;
	LIST_FOREACH (run, &r->hosts[host].runs, entry) {
		if (run->seq != seq)
			continue;
		if (run->started) {
			/* The target works on, but nobody waits for it. */
			run->cancelled = true;
			return;
		}
		reply_fail(&reply,
		    failure_make(VERDICT_MAY_HAVE_RUN, REASON_CANCELLED));
		run_reply(r, run, &reply);
		return;
	}
}

/* Nodes. */

static void
answer_caller(struct replay *r, struct msg *m)
{
	struct pending_call *p;

	LIST_FOREACH (p, &r->calls, entry) {
		if (p->token != m->seq)
			continue;
		LIST_REMOVE(p, entry);
		if (p->call.done != NULL)
			p->call.done(r, p->call.arg, &m->u.reply);
		free(p);
		return;
	}
}

static void
answer_operator(struct replay *r, struct msg *m)
{
	struct pending_submit *o;

	LIST_FOREACH (o, &r->submits, entry) {
		if (o->token != m->seq)
			continue;
		LIST_REMOVE(o, entry);
		o->done(r, o->arg, m->u.ops.status, m->u.ops.version);
		free(o);
		return;
	}
}

static void
route_msg(struct replay *r, int host, struct msg *m)
{
	switch (m->kind) {
	case MSG_ANSWER:
		answer_caller(r, m);
		break;
	case MSG_OPS_REPLY:
		answer_operator(r, m);
		break;
	case MSG_RUN:
		target_accept(r, host, m);
		break;
	case MSG_RUN_CANCEL:
		target_cancel(r, host, m->seq);
		break;
	case MSG_ROW_READ:
	case MSG_ROW_WRITE:
		handle_row_request(r, host, m);
		return;
	default:
		send_over_link(r, host, m);
		return;
	}
	msg_destroy(m);
}

static void
route_msgs(struct replay *r, int host, struct msg_list *out)
{
	struct msg *m;

	while ((m = TAILQ_FIRST(out)) != NULL) {
		TAILQ_REMOVE(out, m, entry);
		route_msg(r, host, m);
	}
}

static void
on_tick(struct replay *r, void *arg)
{
	host_tick(r, (int)(intptr_t)arg);
}

/* Schedule the next tick, earlier if the node has become busy. */
static void
schedule_tick(struct replay *r, int host)
{
	struct host *h = &r->hosts[host];
	uint64_t at_us;

	if (h->node == NULL)
		return;
	at_us = r->now_us + node_tick_interval_us(h->node);
	if (h->tick_scheduled && h->tick_at_us <= at_us)
		return;
	h->tick_scheduled = true;
	h->tick_at_us = at_us;
	replay_at(r, at_us, on_tick, (void *)(intptr_t)host);
}

static void
host_tick(struct replay *r, int host)
{
	struct msg_list out = TAILQ_HEAD_INITIALIZER(out);
	struct host *h = &r->hosts[host];

	/* This tick was replaced by an earlier one. */
	if (!h->tick_scheduled || h->tick_at_us != r->now_us)
		return;
	h->tick_scheduled = false;
	if (h->node == NULL)
		return;
	if (r->now_us < h->frozen_until_us) {
		h->tick_scheduled = true;
		h->tick_at_us = h->frozen_until_us;
		replay_at(
		    r, h->frozen_until_us, on_tick, (void *)(intptr_t)host);
		return;
	}
	node_tick(h->node, replay_instant(r), &out);
	route_msgs(r, host, &out);
	schedule_tick(r, host);
}

static void
on_delivery(struct replay *r, void *arg)
{
	struct msg_list out = TAILQ_HEAD_INITIALIZER(out);
	struct delivery *d = arg;
	struct host *h = &r->hosts[d->to];

	if (h->node == NULL || h->generation != d->generation) {
		/* replay_kill() told the sender that the link broke. */
		msg_destroy(d->msg);
	} else if (r->partitioned[d->from][d->to]) {
		msg_destroy(d->msg);
		report_link_down(
		    r, d->from, d->to, true, REPLAY_LINK_TIMEOUT_US);
	} else if (r->now_us < h->frozen_until_us) {
		replay_at(r, h->frozen_until_us, on_delivery, d);
		return;
	} else {
		node_handle(h->node, d->msg, replay_instant(r), &out);
		route_msgs(r, d->to, &out);
		schedule_tick(r, d->to);
	}
	free(d);
}

static void
announce_target(struct replay *r, int host)
{
	struct host *h = &r->hosts[host];
	struct msg *m;

	if (h->spec.service == NULL || h->spec.silent)
		return;
	m = msg_create(MSG_ANNOUNCE);
	name_copy(m->u.announce.service, h->spec.service, NAME_LEN);
	m->u.announce.slots =
	    h->spec.announced_slots ? h->spec.announced_slots : h->spec.slots;
	deliver_after(r, host, host, m, ANNOUNCE_DELAY_US);
}

void
replay_announce(struct replay *r, int host, const struct announce *a)
{
	struct msg *m = msg_create(MSG_ANNOUNCE);

	m->u.announce = *a;
	deliver_after(r, host, host, m, 0);
}

void
replay_start(struct replay *r, int host)
{
	struct host *h = &r->hosts[host];
	struct node_setup setup = {0};

	if (h->node != NULL)
		return;
	setup.self = h->addr;
	name_copy(setup.dc, h->spec.dc, sizeof(setup.dc));
	if (h->spec.region != NULL)
		name_copy(setup.region, h->spec.region, sizeof(setup.region));
	setup.region_dcs = h->spec.region_dcs;
	setup.incarnation = replay_instant(r).wall_ms;
	setup.seed = rng_next(&r->rng);
	setup.balancer =
	    h->spec.balancer ? h->spec.balancer : &balancer_two_choices;
	setup.limiter = h->spec.limiter ? h->spec.limiter : &limiter_slots;
	setup.shedder = h->spec.shedder;
	setup.retrier = h->spec.retrier ? h->spec.retrier : &retrier_tree;
	setup.guard = h->spec.guard ? h->spec.guard : &guard_full;
	setup.ids_outlive_attempts = h->spec.work == NULL;
	setup.headroom_fraction = h->spec.headroom;
	setup.memory = h->spec.memory;
	setup.parser = h->spec.parser ? h->spec.parser : &catalog_parser_native;
	setup.max_calls = 100000;
	setup.max_queue = h->spec.max_queue ? h->spec.max_queue : 512;
	setup.max_ids = 100000;
	setup.max_ledger_reply_bytes = 1 << 20;
	setup.default_deadline_us = 5 * SEC_US;
	setup.max_deadline_us = 30 * SEC_US;
	h->node = node_create(&setup);
	h->run_time_factor = 1;
	h->frozen_until_us = 0;
	h->tick_scheduled = false;
	announce_target(r, host);
	schedule_tick(r, host);
}

int
replay_add_host(struct replay *r, const struct replay_host_spec *spec)
{
	int i = r->nhosts++;
	struct host *h = &r->hosts[i];

	h->spec = *spec;
	h->addr.ip = 0x0a000001 + i;
	h->addr.port = 7000;
	TAILQ_INIT(&h->frozen_msgs);
	TAILQ_INIT(&h->queue);
	LIST_INIT(&h->runs);
	replay_start(r, i);
	return i;
}

/* When a host dies, the connections of its callers break. */
static void
fail_calls_of_host(struct replay *r, int host)
{
	struct pending_call *p, *next;
	struct reply reply = {0};

	reply_fail(
	    &reply, failure_make(VERDICT_MAY_HAVE_RUN, REASON_LINK_LOST));
	for (p = LIST_FIRST(&r->calls); p != NULL; p = next) {
		next = LIST_NEXT(p, entry);
		if (p->host != host)
			continue;
		LIST_REMOVE(p, entry);
		if (p->call.done == on_dependency_reply)
			free(p->call.arg);
		else if (p->call.done != NULL)
			p->call.done(r, p->call.arg, &reply);
		free(p);
	}
}

void
replay_kill(struct replay *r, int host)
{
	struct host *h = &r->hosts[host];
	int i;

	if (h->node == NULL)
		return;
	h->generation++;
	host_release(h);
	h->tick_scheduled = false;
	fail_calls_of_host(r, host);
	for (i = 0; i < r->nhosts; i++) {
		if (i != host && r->hosts[i].node != NULL &&
		    !r->partitioned[i][host])
			report_link_down(r, i, host, true, INTRA_DC_DELAY_US);
	}
}

void
replay_kill_target(struct replay *r, int host)
{
	struct reply reply = {0};
	struct run *run;

	reply_fail(
	    &reply, failure_make(VERDICT_MAY_HAVE_RUN, REASON_TARGET_FAILED));
	while ((run = LIST_FIRST(&r->hosts[host].runs)) != NULL)
		run_reply(r, run, &reply);
}

void
replay_freeze(struct replay *r, int host, uint64_t duration_us)
{
	r->hosts[host].frozen_until_us = r->now_us + duration_us;
}

void
replay_set_partition(struct replay *r, int a, int b, bool partitioned)
{
	r->partitioned[a][b] = r->partitioned[b][a] = partitioned;
}

void
replay_set_extra_delay(struct replay *r, int a, int b, uint64_t extra_us)
{
	r->extra_delay_us[a][b] = extra_us;
}

void
replay_break_link(struct replay *r, int a, int b)
{
	r->extra_delay_us[a][b] = r->extra_delay_us[b][a] = 0;
	if (r->hosts[a].node != NULL)
		report_link_down(r, a, b, true, 1);
	if (r->hosts[b].node != NULL)
		report_link_down(r, b, a, true, 1);
}

void
replay_set_run_time_factor(struct replay *r, int host, double factor)
{
	r->hosts[host].run_time_factor = factor;
}

void
replay_truncate_answers(struct replay *r, int host, int answers)
{
	r->hosts[host].answers_to_truncate = answers;
}

void
replay_drain(struct replay *r, int host)
{
	struct msg *m = msg_create(MSG_OPS);

	m->u.ops.verb = OPS_DRAIN;
	deliver_after(r, host, host, m, 1);
}

void
replay_submit(struct replay *r, int host, uint64_t base_version,
    const char *text, void (*done)(struct replay *, void *, int, uint64_t),
    void *arg)
{
	struct pending_submit *o = xcalloc(1, sizeof(*o));
	struct msg *m = msg_create(MSG_OPS);

	o->token = ++r->next_token;
	o->done = done;
	o->arg = arg;
	LIST_INSERT_HEAD(&r->submits, o, entry);
	m->seq = o->token;
	m->u.ops.verb = OPS_SUBMIT;
	m->u.ops.version = base_version;
	name_copy(m->u.ops.who, "tester", NAME_LEN);
	buffer_set(&m->u.ops.text, text, strlen(text));
	deliver_after(r, host, host, m, 1);
}

uint64_t
replay_send_call(struct replay *r, const struct replay_call *c)
{
	struct pending_call *p;
	struct msg *m;
	struct reply reply = {0};

	if (r->hosts[c->host].node == NULL) {
		reply_fail(
		    &reply, failure_make(VERDICT_NOT_RUN, REASON_LINK_LOST));
		c->done(r, c->arg, &reply);
		return 0;
	}
	p = xcalloc(1, sizeof(*p));
	p->token = ++r->next_token;
	p->host = c->host;
	p->call = *c;
	LIST_INSERT_HEAD(&r->calls, p, entry);
	m = msg_create(MSG_CALL);
	m->seq = p->token;
	if (c->key != NULL) {
		crypto_generichash(m->u.call.key_hash, KEY_HASH_LEN,
		    (const uint8_t *)c->key, strlen(c->key), NULL, 0);
		m->u.call.has_key = true;
	}
	if (c->id != NULL)
		name_copy(m->u.call.id, c->id, ID_LEN);
	m->u.call.context.deadline_ms = c->deadline_ms;
	name_copy(m->u.call.request.method, c->method, METHOD_LEN);
	name_copy(m->u.call.request.path, c->path, PATH_LEN);
	if (c->request_host != NULL)
		name_copy(m->u.call.request.host, c->request_host, HOST_LEN);
	deliver_after(r, c->host, c->host, m, INTRA_DC_DELAY_US);
	return p->token;
}

void
replay_abort_call(struct replay *r, int host, uint64_t token)
{
	struct pending_call *p;
	struct msg *m;

	LIST_FOREACH (p, &r->calls, entry) {
		if (p->token == token)
			break;
	}
	if (p == NULL)
		return;
	LIST_REMOVE(p, entry);
	free(p);
	m = msg_create(MSG_CALL_GONE);
	m->seq = token;
	deliver_after(r, host, host, m, INTRA_DC_DELAY_US);
}

struct node *
replay_node(struct replay *r, int host)
{
	return r->hosts[host].node;
}

bool
replay_host_is_up(struct replay *r, int host)
{
	return r->hosts[host].node != NULL;
}

uint64_t
replay_count_runs(const struct replay *r)
{
	return r->runs;
}

uint64_t
replay_count_runs_of_id(struct replay *r, const char *id)
{
	struct id_count want, *c;

	name_copy(want.id, id, sizeof(want.id));
	c = RB_FIND(id_tree, &r->runs_by_id, &want);
	return c != NULL ? c->runs : 0;
}

uint64_t
replay_max_runs_of_id(const struct replay *r)
{
	return r->max_runs_of_id;
}

uint64_t
replay_count_messages(const struct replay *r)
{
	return r->message_count;
}

void
replay_key_hash(const char *key, char *hex, size_t len)
{
	uint8_t hash[KEY_HASH_LEN];

	crypto_generichash(
	    hash, sizeof(hash), (const uint8_t *)key, strlen(key), NULL, 0);
	sodium_bin2hex(hex, len, hash, sizeof(hash));
}
