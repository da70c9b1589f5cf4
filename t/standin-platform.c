/*
 * standin-platform - takes the place of the platform's table service
 *
 * The table has rows with versions, which are written by compare-and-set.
 * The first write of a row makes version 1; version 0 means that there is no
 * row.  With --config FILE the row "config" is there from the start.
 *
 *	GET /row?key=K			200, value and header Version, or 404
 *	GET /rows?key=PREFIX		200, "key version value" lines
 *	PUT /row?key=K&if=N		write if the row has version N: 200, or
 *					409, both with the header Version
 *	PUT /row?key=K&if=any		write in any case
 *	GET /-/mode?mode=M&ms=N		change the behaviour:
 *		ok			as described
 *		down			answer no request
 *		slow			handle each request N ms later
 *		lose			do not answer writes that took effect
 *		raw			send the bytes of the parameter "text"
 *					as the response
 *	GET /-/stats			the numbers of reads and writes
 *
 * A write with an empty body removes the row.
 *
 * Beside them it serves the users' protocol under /api/, with rows of its own,
 * and the requests of standin-table.h under /-/; the modes down, slow and raw
 * apply to it too.  With --no-era its responses have no Store-Era.
 */
#include <event2/buffer.h>
#include <event2/http.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/types.h"
#include "t/standin-table.h"
#include "t/standin.h"

enum mode {
	MODE_OK,
	MODE_DOWN,
	MODE_SLOW,
	MODE_LOSE_RESPONSES,
	MODE_RAW,
};

struct row {
	uint64_t version;
	GString *value;
};

struct table {
	struct event_base *base;
	GTree *rows;
	struct standin_table *users_table;
	enum mode mode;
	uint64_t delay_ms; /* for MODE_SLOW */
	gchar *raw_text; /* for MODE_RAW */
	uint64_t reads, writes;
};

struct delayed_request {
	struct table *table;
	struct evhttp_request *req;
};

static void
row_free(gpointer p)
{
	struct row *r = p;

	g_string_free(r->value, TRUE);
	g_free(r);
}

static gint
key_cmp(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

static void
add_version(struct evhttp_request *req, uint64_t version)
{
	char text[24];

	snprintf(text, sizeof(text), "%" PRIu64, version);
	evhttp_add_header(
	    evhttp_request_get_output_headers(req), "Version", text);
}

static void
read_row(struct table *t, struct evhttp_request *req)
{
	gchar *key = standin_param(req, "key", "");
	struct row *r = g_tree_lookup(t->rows, key);
	struct evbuffer *buf = evbuffer_new();

	t->reads++;
	if (r != NULL) {
		add_version(req, r->version);
		evbuffer_add(buf, r->value->str, r->value->len);
	}
	evhttp_send_reply(req, r != NULL ? 200 : 404, NULL, buf);
	evbuffer_free(buf);
	g_free(key);
}

/* The rows whose keys have a prefix, as lines. */
struct scan {
	const char *prefix;
	struct evbuffer *lines;
};

static gboolean
scan_add_row(gpointer key, gpointer value, gpointer data)
{
	struct scan *s = data;
	struct row *r = value;

	if (g_str_has_prefix(key, s->prefix))
		evbuffer_add_printf(s->lines, "%s %" PRIu64 " %s\n",
		    (const char *)key, r->version, r->value->str);
	return FALSE;
}

static void
read_rows(struct table *t, struct evhttp_request *req)
{
	gchar *prefix = standin_param(req, "key", "");
	struct scan s = {prefix, evbuffer_new()};

	t->reads++;
	g_tree_foreach(t->rows, scan_add_row, &s);
	evhttp_send_reply(req, 200, NULL, s.lines);
	evbuffer_free(s.lines);
	g_free(prefix);
}

/* Write the body of a request to a row, which is NULL if there is none. */
static void
row_store(struct table *t, const gchar *key, struct row *r,
    struct evhttp_request *req)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(body);

	if (len == 0) {
		g_tree_remove(t->rows, key);
		return;
	}
	if (r == NULL) {
		r = g_new0(struct row, 1);
		r->value = g_string_new(NULL);
		g_tree_insert(t->rows, g_strdup(key), r);
	}
	g_string_truncate(r->value, 0);
	g_string_append_len(
	    r->value, (const gchar *)evbuffer_pullup(body, -1), len);
	r->version++;
}

static void
write_row(struct table *t, struct evhttp_request *req)
{
	gchar *key = standin_param(req, "key", "");
	gchar *condition = standin_param(req, "if", "any");
	struct row *r = g_tree_lookup(t->rows, key);
	uint64_t version = r != NULL ? r->version : 0;
	bool allowed = strcmp(condition, "any") == 0 ||
		       strtoull(condition, NULL, 10) == version;

	t->writes++;
	if (allowed)
		row_store(t, key, r, req);
	r = g_tree_lookup(t->rows, key);
	add_version(req, r != NULL ? r->version : 0);
	if (!allowed || t->mode != MODE_LOSE_RESPONSES)
		standin_reply(req, allowed ? 200 : 409, "%s\n",
		    allowed ? "written" : "another version");
	g_free(key);
	g_free(condition);
}

static void
handle_request(struct table *t, struct evhttp_request *req)
{
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));

	if (g_str_has_prefix(path, "/api/"))
		standin_table_request(t->users_table, req);
	else if (evhttp_request_get_command(req) == EVHTTP_REQ_PUT)
		write_row(t, req);
	else if (strcmp(path, "/rows") == 0)
		read_rows(t, req);
	else
		read_row(t, req);
}

static void
on_delay_over(evutil_socket_t fd, short what, void *arg)
{
	struct delayed_request *d = arg;

	(void)fd;
	(void)what;
	handle_request(d->table, d->req);
	g_free(d);
}

static void
set_mode(struct table *t, struct evhttp_request *req)
{
	static const char *const names[] = {
	    "ok", "down", "slow", "lose", "raw"};
	gchar *name = standin_param(req, "mode", "ok");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcmp(name, names[i]) == 0)
			t->mode = i;
	}
	t->delay_ms = standin_param_number(req, "ms", 500);
	g_free(t->raw_text);
	t->raw_text = standin_param(req, "text", "");
	standin_reply(req, 200, "mode %s\n", names[t->mode]);
	g_free(name);
}

static void
on_request(struct evhttp_request *req, void *arg)
{
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	struct table *t = arg;
	struct timeval tv = {t->delay_ms / 1000, t->delay_ms % 1000 * 1000};
	struct delayed_request *d;

	if (strcmp(path, "/-/mode") == 0) {
		set_mode(t, req);
	} else if (strcmp(path, "/-/stats") == 0) {
		standin_reply(req, 200,
		    "reads %" PRIu64 "\nwrites %" PRIu64 "\n", t->reads,
		    t->writes);
	} else if (standin_table_control(t->users_table, req)) {
		return;
	} else if (t->mode == MODE_SLOW) {
		d = g_new0(struct delayed_request, 1);
		d->table = t;
		d->req = req;
		event_base_once(t->base, -1, EV_TIMEOUT, on_delay_over, d, &tv);
	} else if (t->mode == MODE_RAW) {
		standin_reply_raw(req, t->raw_text);
	} else if (t->mode != MODE_DOWN) {
		handle_request(t, req);
	}
	/* MODE_DOWN: the request is never answered. */
}

int
main(int argc, char **argv)
{
	static gint port = 7900;
	static gchar *config_path;
	static gboolean no_era;
	const GOptionEntry entries[] = {
	    {"port", 0, 0, G_OPTION_ARG_INT, &port, NULL, NULL},
	    {"config", 0, 0, G_OPTION_ARG_FILENAME, &config_path, NULL, NULL},
	    {"no-era", 0, 0, G_OPTION_ARG_NONE, &no_era, NULL, NULL},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	struct table t = {0};
	struct row *config_row;
	gchar *text;
	gsize len;

	standin_options(entries, argc, argv);
	t.base = standin_base();
	t.rows = g_tree_new_full(key_cmp, NULL, g_free, row_free);
	t.users_table = standin_table_create(t.base, !no_era);
	if (config_path != NULL) {
		if (!g_file_get_contents(config_path, &text, &len, NULL))
			return 128;
		config_row = g_new0(struct row, 1);
		config_row->value = g_string_new_len(text, len);
		config_row->version = 1;
		g_tree_insert(t.rows, g_strdup("config"), config_row);
		g_free(text);
	}
	standin_listen(t.base, port, on_request, &t);
	standin_run(t.base);
	return 0;
}
