/*
 * standin-server - takes the place of an application server of the platform
 *
 * It announces itself in the platform's manner to the local daemon at port
 * --announce, and answers each request with the service and the id of this
 * instance.  A request for another instance gets 421.
 *
 *	/-/mode?mode=M		change the behaviour:
 *		ok		as described
 *		lossy		run each request and close its connection
 *without an answer silent		send no heartbeats draining	announce
 *that it leaves, and go on serving
 *		left		announce once that it has left, then no more,
 *				and go on serving
 *		late		the same, but a last heartbeat of before is
 *				sent now
 *	/-/stats		the numbers of requests that arrived, ran and
 *				were for another instance
 *
 * With --log FILE a line "MS run ID SERVICE INSTANCE TENANT PATH" is appended
 * when a request runs, and "MS misdirected ..." for a 421; MS is the wall clock
 * in milliseconds.
 */
#include <event2/buffer.h>
#include <event2/http.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "t/standin.h"

enum mode {
	MODE_OK,
	MODE_LOSSY,
	MODE_SILENT,
	MODE_DRAINING,
	MODE_LEFT,
	MODE_LATE,
};

static const char *const mode_names[] = {
    "ok", "lossy", "silent", "draining", "left", "late"};

struct server {
	struct event_base *base;
	enum mode mode;
	uint64_t born_ms, seq;
	uint64_t arrived, runs, misdirected;
	int log_fd; /* -1 without --log */
};

static gint port = 7800, slots = 64, heartbeat_ms = 1000, announce_port;
static gchar *service = "service", *instance = "i-1", *zone = "zone", *log_path;

static const char *
request_header(struct evhttp_request *req, const char *name)
{
	const char *value =
	    evhttp_find_header(evhttp_request_get_input_headers(req), name);

	return value != NULL ? value : "-";
}

static void
record(struct server *s, struct evhttp_request *req, const char *event)
{
	char line[512];
	int len;

	if (s->log_fd < 0)
		return;
	len = snprintf(line, sizeof(line), "%" PRId64 " %s %s %s %s %s %s\n",
	    g_get_real_time() / 1000, event, request_header(req, "Request-Id"),
	    service, instance, request_header(req, "Tenant-Id"),
	    evhttp_request_get_uri(req));
	if (write(s->log_fd, line, len) != len)
		abort();
}

static void
answer(struct server *s, struct evhttp_request *req)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);
	const char *id = request_header(req, "Request-Id");
	const char *wanted = request_header(req, "Target-Instance");

	s->arrived++;
	evhttp_add_header(out, "Instance-Id", instance);
	evhttp_add_header(out, "Response-Signature", "1f.07");
	if (strcmp(id, "-") != 0)
		evhttp_add_header(out, "Request-Id", id);
	if (strcmp(wanted, "-") != 0 && strcmp(wanted, instance) != 0) {
		s->misdirected++;
		record(s, req, "misdirected");
		standin_reply(req, 421, "%s is here\n", instance);
		return;
	}
	s->runs++;
	record(s, req, "run");
	if (s->mode == MODE_LOSSY) {
		evhttp_connection_free(evhttp_request_get_connection(req));
		return;
	}
	standin_reply(req, 200, "%s %s\n", service, instance);
}

static void
on_announce_answer(struct evhttp_request *req, void *arg)
{
	int status = req != NULL ? evhttp_request_get_response_code(req) : 0;

	(void)arg;
	if (status != 200)
		fprintf(stderr, "announcement: status %d\n", status);
}

static void
send_announcement(struct server *s, enum evhttp_cmd_type method, gchar *body)
{
	struct evhttp_connection *conn = evhttp_connection_base_new(
	    s->base, NULL, STANDIN_IP, announce_port);
	struct evhttp_request *req = evhttp_request_new(on_announce_answer, s);
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);
	char len[24], uri[128];

	evhttp_connection_free_on_completion(conn);
	evhttp_connection_set_timeout(conn, 1);
	snprintf(len, sizeof(len), "%zu", strlen(body));
	snprintf(uri, sizeof(uri), "/api/instances/%s", instance);
	evhttp_add_header(out, "Host", STANDIN_IP);
	evhttp_add_header(out, "Connection", "close");
	evhttp_add_header(out, "Content-Type", "application/json");
	evhttp_add_header(out, "Content-Length", len);
	evbuffer_add(evhttp_request_get_output_buffer(req), body, strlen(body));
	evhttp_make_request(conn, req, method, uri);
	g_free(body);
}

static void
send_heartbeat(struct server *s)
{
	send_announcement(s, EVHTTP_REQ_PUT,
	    g_strdup_printf("{\"upstream\":\"%s\",\"address\":\"" STANDIN_IP
			    ":%d\",\"zone\":\"%s\",\"version\":\"v1\","
			    "\"slots\":%d,\"state\":\"%s\",\"warmup_left_s\":0,"
			    "\"seq\":%" PRIu64 ",\"born\":%" PRIu64 "}",
		service, port, zone, slots,
		s->mode == MODE_DRAINING ? "draining" : "ready", s->seq++,
		s->born_ms));
}

static void
on_heartbeat_timer(evutil_socket_t fd, short what, void *arg)
{
	struct server *s = arg;

	(void)fd;
	(void)what;
	if (s->mode == MODE_OK || s->mode == MODE_LOSSY ||
	    s->mode == MODE_DRAINING)
		send_heartbeat(s);
}

static void
set_mode(struct server *s, struct evhttp_request *req)
{
	gchar *name = standin_param(req, "mode", "ok");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(mode_names); i++) {
		if (strcmp(name, mode_names[i]) == 0)
			s->mode = i;
	}
	if (s->mode == MODE_LEFT)
		send_announcement(s, EVHTTP_REQ_DELETE,
		    g_strdup_printf("{\"born\":%" PRIu64 "}", s->born_ms));
	else if (s->mode != MODE_SILENT)
		send_heartbeat(s);
	standin_reply(req, 200, "mode %s\n", mode_names[s->mode]);
	g_free(name);
}

static void
on_request(struct evhttp_request *req, void *arg)
{
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	struct server *s = arg;

	if (strcmp(path, "/-/mode") == 0)
		set_mode(s, req);
	else if (strcmp(path, "/-/stats") == 0)
		standin_reply(req, 200,
		    "arrived %" PRIu64 "\nruns %" PRIu64
		    "\nmisdirected %" PRIu64 "\n",
		    s->arrived, s->runs, s->misdirected);
	else
		answer(s, req);
}

int
main(int argc, char **argv)
{
	const GOptionEntry entries[] = {
	    {"port", 0, 0, G_OPTION_ARG_INT, &port, NULL, NULL},
	    {"service", 0, 0, G_OPTION_ARG_STRING, &service, NULL, NULL},
	    {"id", 0, 0, G_OPTION_ARG_STRING, &instance, NULL, NULL},
	    {"zone", 0, 0, G_OPTION_ARG_STRING, &zone, NULL, NULL},
	    {"slots", 0, 0, G_OPTION_ARG_INT, &slots, NULL, NULL},
	    {"announce", 0, 0, G_OPTION_ARG_INT, &announce_port, NULL, NULL},
	    {"heartbeat-ms", 0, 0, G_OPTION_ARG_INT, &heartbeat_ms, NULL, NULL},
	    {"log", 0, 0, G_OPTION_ARG_FILENAME, &log_path, NULL, NULL},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	struct server s = {0};
	struct timeval interval;
	struct event *timer;

	standin_options(entries, argc, argv);
	s.base = standin_base();
	s.born_ms = (uint64_t)g_get_real_time() / 1000;
	s.log_fd = log_path != NULL
		       ? open(log_path, O_WRONLY | O_CREAT | O_APPEND, 0644)
		       : -1;
	standin_listen(s.base, port, on_request, &s);
	if (announce_port != 0) {
		interval.tv_sec = heartbeat_ms / 1000;
		interval.tv_usec = heartbeat_ms % 1000 * 1000;
		timer =
		    event_new(s.base, -1, EV_PERSIST, on_heartbeat_timer, &s);
		event_add(timer, &interval);
		send_heartbeat(&s);
	}
	standin_run(s.base);
	return 0;
}
