/*
 * A stand-in for the platform's table service: rows with versions, written
 * by compare-and-set.
 *
 *	GET /row?key=K			200 and Version, or 404
 *	GET /rows?prefix=P		200, "key version value" lines
 *	PUT /row?key=K&if=N|any		200 and Version, or 409 and Version
 *	GET /-/mode?mode=M&ms=N		ok, down, slow (N ms), lose (writes
 *					take effect and are not answered)
 *	GET /-/stats			reads and writes so far
 */
#include <event2/buffer.h>
#include <event2/http.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/types.h"
#include "t/standin.h"

enum mode {
	MODE_OK,
	MODE_DOWN,
	MODE_SLOW,
	MODE_LOSE,
};

struct row {
	uint64_t version;
	GString *value;
};

struct table {
	struct event_base *base;
	GTree *rows;
	enum mode mode;
	uint64_t slow_ms;
	uint64_t reads, writes;
};

struct delayed {
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

struct scan {
	const char *prefix;
	struct evbuffer *buf;
};

static gboolean
scan_row(gpointer key, gpointer value, gpointer data)
{
	struct scan *s = data;
	struct row *r = value;

	if (g_str_has_prefix(key, s->prefix))
		evbuffer_add_printf(s->buf, "%s %" PRIu64 " %s\n",
		    (const char *)key, r->version, r->value->str);
	return FALSE;
}

static void
read_rows(struct table *t, struct evhttp_request *req)
{
	gchar *prefix = standin_param(req, "key", "");
	struct scan s = {prefix, evbuffer_new()};

	t->reads++;
	g_tree_foreach(t->rows, scan_row, &s);
	evhttp_send_reply(req, 200, NULL, s.buf);
	evbuffer_free(s.buf);
	g_free(prefix);
}

static void
store(struct table *t, const gchar *key, struct row *r,
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
	gchar *want = standin_param(req, "if", "any");
	struct row *r = g_tree_lookup(t->rows, key);
	uint64_t version = r != NULL ? r->version : 0;
	bool ok =
	    strcmp(want, "any") == 0 || strtoull(want, NULL, 10) == version;

	t->writes++;
	if (ok)
		store(t, key, r, req);
	r = g_tree_lookup(t->rows, key);
	add_version(req, r != NULL ? r->version : 0);
	if (!ok || t->mode != MODE_LOSE)
		standin_reply(req, ok ? 200 : 409, "%s\n",
		    ok ? "written" : "another version");
	g_free(key);
	g_free(want);
}

static void
serve(struct table *t, struct evhttp_request *req)
{
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));

	if (evhttp_request_get_command(req) == EVHTTP_REQ_PUT)
		write_row(t, req);
	else if (strcmp(path, "/rows") == 0)
		read_rows(t, req);
	else
		read_row(t, req);
}

static void
on_delayed(evutil_socket_t fd, short what, void *arg)
{
	struct delayed *d = arg;

	(void)fd;
	(void)what;
	serve(d->table, d->req);
	g_free(d);
}

static void
set_mode(struct table *t, struct evhttp_request *req)
{
	static const char *const names[] = {"ok", "down", "slow", "lose"};
	gchar *name = standin_param(req, "mode", "ok");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcmp(name, names[i]) == 0)
			t->mode = i;
	}
	t->slow_ms = standin_param_number(req, "ms", 500);
	standin_reply(req, 200, "mode %s\n", names[t->mode]);
	g_free(name);
}

static void
on_request(struct evhttp_request *req, void *arg)
{
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	struct table *t = arg;
	struct timeval tv = {t->slow_ms / 1000, t->slow_ms % 1000 * 1000};
	struct delayed *d;

	if (strcmp(path, "/-/mode") == 0) {
		set_mode(t, req);
	} else if (strcmp(path, "/-/stats") == 0) {
		standin_reply(req, 200,
		    "reads %" PRIu64 "\nwrites %" PRIu64 "\n", t->reads,
		    t->writes);
	} else if (t->mode == MODE_SLOW) {
		d = g_new0(struct delayed, 1);
		d->table = t;
		d->req = req;
		event_base_once(t->base, -1, EV_TIMEOUT, on_delayed, d, &tv);
	} else if (t->mode != MODE_DOWN) {
		serve(t, req);
	}
	/* When down, nothing is ever answered. */
}

int
main(int argc, char **argv)
{
	static gint port = 7900;
	static gchar *config;
	const GOptionEntry entries[] = {
	    {"port", 0, 0, G_OPTION_ARG_INT, &port, NULL, NULL},
	    {"config", 0, 0, G_OPTION_ARG_FILENAME, &config, NULL, NULL},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	struct table t = {0};
	struct row *r;
	gchar *text;
	gsize len;

	standin_options(entries, argc, argv);
	t.base = standin_base();
	t.rows = g_tree_new_full(key_cmp, NULL, g_free, row_free);
	if (config != NULL) {
		if (!g_file_get_contents(config, &text, &len, NULL))
			return 128;
		r = g_new0(struct row, 1);
		r->value = g_string_new_len(text, len);
		r->version = 1;
		g_tree_insert(t.rows, g_strdup("config"), r);
		g_free(text);
	}
	standin_listen(t.base, port, on_request, &t);
	standin_run(t.base);
	return 0;
}
