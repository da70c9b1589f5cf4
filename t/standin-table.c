#include <bsd/sys/queue.h>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "t/standin-journal.h"
#include "t/standin-table.h"

#define MAX_ROWS 500 /* of one response */
#define MAX_ENTRIES 100 /* of one transaction */
#define MAX_WAIT_MS 30000

/* A feed request that waits for a change. */
struct waiter {
	TAILQ_ENTRY(waiter) entry;
	struct standin_table *table;
	struct evhttp_request *req;
	struct event *timer;
	gchar *name; /* of the table */
	uint64_t after;
};

struct standin_table {
	struct event_base *base;
	struct journal *journal;
	TAILQ_HEAD(waiter_list, waiter) waiters;
	uint64_t copy_version, era;
	uint64_t stale_versions;
	uint64_t reads, feeds, writes, conflicts, gone;
	bool sends_era, away;
};

static uint64_t
visible_version(const struct standin_table *t)
{
	uint64_t version = journal_version(t->journal);

	return version > t->stale_versions ? version - t->stale_versions : 0;
}

static json_t *
change_json(const struct change *c)
{
	json_t *row = json_pack("{s:s, s:s, s:s, s:I}", "table", c->table,
	    "part", c->part, "key", c->key, "ver", (json_int_t)c->version);

	if (c->value != NULL)
		json_object_set_new(row, "value", json_string(c->value));
	else
		json_object_set_new(row, "tombstone", json_true());
	return row;
}

/* Answer a request; takes over the body, which may be NULL. */
static void
reply(struct standin_table *t, struct evhttp_request *req, int status,
    json_t *body)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	struct evbuffer *buf = evbuffer_new();
	char era[24], *text;

	snprintf(era, sizeof(era), "%" PRIu64, t->era);
	if (t->sends_era)
		evhttp_add_header(headers, "Store-Era", era);
	evhttp_add_header(headers, "Content-Type", "application/json");
	if (body == NULL)
		body = json_object();
	if (json_object_get(body, "ver") == NULL)
		json_object_set_new(body, "ver",
		    json_integer((json_int_t)journal_version(t->journal)));
	json_object_set_new(
	    body, "now_s", json_real((double)standin_now_us() / 1e6));
	text = json_dumps(body, JSON_COMPACT);
	evbuffer_add(buf, text, strlen(text));
	evhttp_send_reply(req, status, NULL, buf);
	evbuffer_free(buf);
	free(text);
	json_decref(body);
}

static gint
key_cmp(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

/* A rows-get request while it is answered. */
struct page {
	const char *part, *from, *to;
	size_t limit;
	GTree *changes; /* by their keys */
	json_t *rows;
	bool has_more;
};

static void
page_collect(const struct change *c, void *arg)
{
	struct page *p = arg;

	if (c->value != NULL && strcmp(c->part, p->part) == 0 &&
	    strcmp(c->key, p->from) >= 0 &&
	    (p->to[0] == '\0' || strcmp(c->key, p->to) < 0))
		g_tree_insert(p->changes, c->key, (gpointer)c);
}

static gboolean
page_add(gpointer key, gpointer value, gpointer data)
{
	struct page *p = data;

	(void)key;
	p->has_more = json_array_size(p->rows) == p->limit;
	if (!p->has_more)
		json_array_append_new(p->rows, change_json(value));
	return p->has_more;
}

static void
get_rows(struct standin_table *t, struct evhttp_request *req)
{
	gchar *table = standin_param(req, "table", "");
	gchar *part = standin_param(req, "part", "");
	gchar *from = standin_param(req, "from", "");
	gchar *to = standin_param(req, "to", "");
	struct page page = {
	    part, from, to, 0, g_tree_new(key_cmp), json_array(), false};
	uint64_t version = visible_version(t);

	t->reads++;
	page.limit = standin_param_number(req, "limit", MAX_ROWS);
	if (page.limit == 0 || page.limit > MAX_ROWS)
		page.limit = MAX_ROWS;
	journal_each(t->journal, table, 0, version, page_collect, &page);
	g_tree_foreach(page.changes, page_add, &page);
	g_tree_destroy(page.changes);
	reply(t, req, 200,
	    json_pack("{s:o, s:b, s:I}", "rows", page.rows, "has_more",
		page.has_more, "ver", (json_int_t)version));
	g_free(table);
	g_free(part);
	g_free(from);
	g_free(to);
}

static void
append_change(const struct change *c, void *arg)
{
	json_array_append_new(arg, change_json(c));
}

/* The rows of a table that changed after a version. */
static json_t *
changed_rows(const struct standin_table *t, const char *table, uint64_t after)
{
	json_t *rows = json_array();

	journal_each(
	    t->journal, table, after, visible_version(t), append_change, rows);
	return rows;
}

static void
waiter_free(struct waiter *w)
{
	TAILQ_REMOVE(&w->table->waiters, w, entry);
	event_free(w->timer);
	g_free(w->name);
	g_free(w);
}

/* Answer a feed request, and end its waiter. */
static void
waiter_answer(struct waiter *w, json_t *rows)
{
	struct standin_table *t = w->table;
	struct evhttp_request *req = w->req;
	uint64_t version = MAX(visible_version(t), w->after);

	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), NULL, NULL);
	waiter_free(w);
	reply(t, req, 200,
	    json_pack("{s:o, s:I}", "rows", rows, "ver", (json_int_t)version));
}

static void
on_wait_over(evutil_socket_t fd, short what, void *arg)
{
	struct waiter *w = arg;

	(void)fd;
	(void)what;
	waiter_answer(w, changed_rows(w->table, w->name, w->after));
}

static void
on_waiter_closed(struct evhttp_connection *conn, void *arg)
{
	struct waiter *w = arg;
	struct evhttp_request *req = w->req;

	(void)conn;
	waiter_free(w);
	/* The connection frees only the requests that it still has. */
	if (evhttp_request_get_connection(req) == NULL)
		evhttp_request_free(req);
}

static void
answer_waiters(struct standin_table *t)
{
	struct waiter *w, *next;
	json_t *rows;

	TAILQ_FOREACH_SAFE (w, &t->waiters, entry, next) {
		rows = changed_rows(t, w->name, w->after);
		if (json_array_size(rows) > 0)
			waiter_answer(w, rows);
		else
			json_decref(rows);
	}
}

static void
follow_rows(struct standin_table *t, struct evhttp_request *req)
{
	uint64_t after = standin_param_number(req, "after", 0);
	uint64_t ms = standin_param_number(req, "wait_ms", 0);
	struct timeval tv;
	struct waiter *w;

	t->feeds++;
	if (after > journal_version(t->journal)) {
		t->gone++;
		reply(t, req, 410, NULL);
		return;
	}
	if (ms > MAX_WAIT_MS)
		ms = MAX_WAIT_MS;
	tv.tv_sec = ms / 1000;
	tv.tv_usec = ms % 1000 * 1000;
	w = g_new0(struct waiter, 1);
	w->table = t;
	w->req = req;
	w->name = standin_param(req, "table", "");
	w->after = after;
	w->timer = evtimer_new(t->base, on_wait_over, w);
	evtimer_add(w->timer, &tv);
	TAILQ_INSERT_TAIL(&t->waiters, w, entry);
	evhttp_connection_set_closecb(
	    evhttp_request_get_connection(req), on_waiter_closed, w);
	answer_waiters(t);
}

static const char *
text_member(const json_t *object, const char *name)
{
	const char *v = json_string_value(json_object_get(object, name));

	return v != NULL ? v : "";
}

/* Whether all rows have the expected versions; adds those that there are. */
static bool
check_precondition(
    const struct standin_table *t, const json_t *precondition, json_t *rows)
{
	bool holds = true;
	uint64_t version;
	const struct change *c;
	json_t *row;
	size_t i;

	json_array_foreach(precondition, i, row)
	{
		c = journal_find(t->journal, journal_version(t->journal),
		    text_member(row, "table"), text_member(row, "part"),
		    text_member(row, "key"));
		version = c != NULL && c->value != NULL ? c->version : 0;
		if (version != 0)
			json_array_append_new(rows, change_json(c));
		if ((uint64_t)json_integer_value(json_object_get(row, "ver")) !=
		    version)
			holds = false;
	}
	return holds;
}

/*
 * Check a list of a transaction: 0, or the status of the refusal.  All entries
 * have the part of the first one, which *part points to.
 */
static int
check_entries(const json_t *list, bool is_write, bool across, const char **part)
{
	const char *table;
	json_t *row;
	size_t i;

	json_array_foreach(list, i, row)
	{
		table = text_member(row, "table");
		if (table[0] == '\0' || text_member(row, "key")[0] == '\0')
			return 400;
		if (is_write &&
		    (strcmp(table, "op") == 0 || strcmp(table, "servers") == 0))
			return 403;
		if (*part == NULL)
			*part = text_member(row, "part");
		if (!across && strcmp(*part, text_member(row, "part")) != 0)
			return 400;
	}
	return 0;
}

static int
check_transaction(const json_t *tx)
{
	const json_t *condition = json_object_get(tx, "precondition");
	const json_t *puts = json_object_get(tx, "puts");
	const json_t *removals = json_object_get(tx, "remove");
	bool across = json_is_true(json_object_get(tx, "across"));
	const char *part = NULL;
	int status;

	if (json_array_size(condition) + json_array_size(puts) +
		json_array_size(removals) >
	    MAX_ENTRIES)
		return 400;
	status = check_entries(condition, false, across, &part);
	if (status == 0)
		status = check_entries(puts, true, across, &part);
	if (status == 0)
		status = check_entries(removals, true, across, &part);
	return status;
}

static void
apply_transaction(struct standin_table *t, const json_t *tx)
{
	json_t *row;
	size_t i;

	journal_begin(t->journal);
	json_array_foreach(json_object_get(tx, "puts"), i, row)
	{
		journal_add(t->journal, text_member(row, "table"),
		    text_member(row, "part"), text_member(row, "key"),
		    text_member(row, "value"));
	}
	json_array_foreach(json_object_get(tx, "remove"), i, row)
	{
		journal_add(t->journal, text_member(row, "table"),
		    text_member(row, "part"), text_member(row, "key"), NULL);
	}
}

static void
write_rows(struct standin_table *t, struct evhttp_request *req)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(req);
	json_t *tx = json_loadb((const char *)evbuffer_pullup(body, -1),
	    evbuffer_get_length(body), 0, NULL);
	int status = json_is_object(tx) ? check_transaction(tx) : 400;
	json_t *rows = json_array();

	t->writes++;
	if (status != 0) {
		reply(t, req, status, NULL);
	} else if (check_precondition(
		       t, json_object_get(tx, "precondition"), rows)) {
		apply_transaction(t, tx);
		reply(t, req, 200, NULL);
		answer_waiters(t);
	} else {
		t->conflicts++;
		reply(t, req, 412, json_pack("{s:O}", "rows", rows));
	}
	json_decref(rows);
	json_decref(tx);
}

void
standin_table_request(struct standin_table *t, struct evhttp_request *req)
{
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));

	if (t->away)
		evhttp_connection_free(evhttp_request_get_connection(req));
	else if (strcmp(path, "/api/rows-get") == 0)
		get_rows(t, req);
	else if (strcmp(path, "/api/rows-feed") == 0)
		follow_rows(t, req);
	else if (strcmp(path, "/api/rows-tx") == 0)
		write_rows(t, req);
	else
		reply(t, req, 404, NULL);
}

static void
reply_position(struct standin_table *t, struct evhttp_request *req)
{
	standin_reply(req, 200, "ver %" PRIu64 " era %" PRIu64 "\n",
	    journal_version(t->journal), t->era);
}

static void
take_copy(struct standin_table *t, struct evhttp_request *req)
{
	t->copy_version = journal_version(t->journal);
	reply_position(t, req);
}

static void
close_waiters(struct standin_table *t)
{
	struct waiter *w;

	while ((w = TAILQ_FIRST(&t->waiters)) != NULL)
		evhttp_connection_free(evhttp_request_get_connection(w->req));
}

static void
go_away(struct standin_table *t, struct evhttp_request *req)
{
	t->away = true;
	close_waiters(t);
	reply_position(t, req);
}

static void
come_back(struct standin_table *t, struct evhttp_request *req)
{
	close_waiters(t);
	journal_truncate(t->journal, t->copy_version);
	t->era++;
	t->away = false;
	reply_position(t, req);
}

static void
put_operators_row(struct standin_table *t, struct evhttp_request *req)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(req);
	gchar *key = standin_param(req, "key", "config");
	gchar *value = g_base64_encode(
	    evbuffer_pullup(body, -1), evbuffer_get_length(body));

	journal_begin(t->journal);
	journal_add(t->journal, "op", "", key, value);
	reply_position(t, req);
	answer_waiters(t);
	g_free(value);
	g_free(key);
}

static void
set_stale(struct standin_table *t, struct evhttp_request *req)
{
	t->stale_versions = standin_param_number(req, "versions", 0);
	reply_position(t, req);
}

static void
print_change(const struct change *c, void *arg)
{
	guchar *value;
	gsize len;

	if (c->value == NULL)
		return;
	value = g_base64_decode(c->value, &len);
	evbuffer_add_printf(arg, "%s/%s %" PRIu64 " %.*s\n", c->part, c->key,
	    c->version, (int)len, (const char *)value);
	g_free(value);
}

static void
list_rows(struct standin_table *t, struct evhttp_request *req)
{
	gchar *table = standin_param(req, "table", "");
	struct evbuffer *lines = evbuffer_new();

	journal_each(t->journal, table, 0, journal_version(t->journal),
	    print_change, lines);
	evhttp_send_reply(req, 200, NULL, lines);
	evbuffer_free(lines);
	g_free(table);
}

static void
print_counters(struct standin_table *t, struct evhttp_request *req)
{
	standin_reply(req, 200,
	    "ver %" PRIu64 "\nera %" PRIu64 "\nreads %" PRIu64
	    "\nfeeds %" PRIu64 "\nwrites %" PRIu64 "\nconflicts %" PRIu64
	    "\ngone %" PRIu64 "\n",
	    journal_version(t->journal), t->era, t->reads, t->feeds, t->writes,
	    t->conflicts, t->gone);
}

bool
standin_table_control(struct standin_table *t, struct evhttp_request *req)
{
	static const struct {
		const char *path;
		void (*handle)(struct standin_table *, struct evhttp_request *);
	} controls[] = {
	    {"/-/copy", take_copy},
	    {"/-/away", go_away},
	    {"/-/return", come_back},
	    {"/-/op", put_operators_row},
	    {"/-/stale", set_stale},
	    {"/-/rows", list_rows},
	    {"/-/table", print_counters},
	};
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(controls); i++) {
		if (strcmp(path, controls[i].path) != 0)
			continue;
		controls[i].handle(t, req);
		return true;
	}
	return false;
}

struct standin_table *
standin_table_create(struct event_base *base, bool sends_era)
{
	struct standin_table *t = g_new0(struct standin_table, 1);

	t->base = base;
	t->sends_era = sends_era;
	t->era = 1;
	t->journal = journal_create();
	TAILQ_INIT(&t->waiters);
	return t;
}
