#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/builtin.h"
#include "cli/request.h"
#include "config/settings.h"
#include "daemon/log.h"

#define REQUEST_TIMEOUT_S 20 /* a submission may wait for a slow platform */

/* A request that is being sent; done is set with the response. */
struct exchange {
	struct event_base *base;
	struct daemon_response *response;
	bool done;
};

static GQuark
request_error_quark(void)
{
	return g_quark_from_static_string("cranberryway");
}

static void
on_response(struct evhttp_request *req, void *arg)
{
	struct exchange *x = arg;
	struct evbuffer *body;
	const char *version;

	if (req != NULL && evhttp_request_get_response_code(req) != 0) {
		body = evhttp_request_get_input_buffer(req);
		version = evhttp_find_header(
		    evhttp_request_get_input_headers(req), "Version");
		x->response->status = evhttp_request_get_response_code(req);
		x->response->len = evbuffer_get_length(body);
		x->response->text = g_malloc0(x->response->len + 1);
		evbuffer_copyout(body, x->response->text, x->response->len);
		if (version != NULL)
			x->response->version = strtoull(version, NULL, 10);
		x->done = true;
	}
	event_base_loopexit(x->base, NULL);
}

static enum evhttp_cmd_type
method_command(const char *method)
{
	if (strcmp(method, "PUT") == 0)
		return EVHTTP_REQ_PUT;
	return strcmp(method, "POST") == 0 ? EVHTTP_REQ_POST : EVHTTP_REQ_GET;
}

static void
exchange_run(struct exchange *x, struct addr addr, const char *method,
    const char *uri, const char *body, size_t len)
{
	struct evhttp_connection *conn;
	struct evhttp_request *req;
	char ip[ADDR_TEXT_LEN];

	addr_text(addr, ip);
	*strchr(ip, ':') = '\0';
	conn = evhttp_connection_base_new(x->base, NULL, ip, addr.port);
	evhttp_connection_set_timeout(conn, REQUEST_TIMEOUT_S);
	req = evhttp_request_new(on_response, x);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", ip);
	evhttp_add_header(
	    evhttp_request_get_output_headers(req), "Connection", "close");
	evbuffer_add(evhttp_request_get_output_buffer(req), body, len);
	if (evhttp_make_request(conn, req, method_command(method), uri) == 0)
		event_base_dispatch(x->base);
	evhttp_connection_free(conn);
}

bool
request_send(const char *daemon, const char *method, const char *uri,
    const char *body, size_t len, struct daemon_response *response,
    GError **error)
{
	struct exchange x = {.response = response};
	struct addr addr;

	memset(response, 0, sizeof(*response));
	if (daemon == NULL || !addr_parse(daemon, &addr)) {
		g_set_error(error, request_error_quark(), EXIT_USAGE,
		    "no address of a daemon\nhint: use --daemon IP:PORT or set "
		    "CRANBERRYWAY_DAEMON");
		return false;
	}
	x.base = event_base_new();
	exchange_run(&x, addr, method, uri, body, len);
	event_base_free(x.base);
	if (!x.done)
		g_set_error(error, request_error_quark(), EXIT_FATAL,
		    "daemon '%s' does not answer\nhint: try another daemon",
		    daemon);
	return x.done;
}

void
daemon_response_release(struct daemon_response *resp)
{
	g_free(resp->text);
	resp->text = NULL;
}

const char *
request_daemon_address(const char *option)
{
	return option != NULL ? option : g_getenv("CRANBERRYWAY_DAEMON");
}

int
request_report_error(GError *error)
{
	int code = error->code >= EXIT_FATAL ? error->code : EXIT_FATAL;

	fprintf(stderr, "fatal: %s\n", error->message);
	g_error_free(error);
	return code;
}

int
request_print(const char *daemon, const char *method, const char *uri)
{
	struct daemon_response resp;
	GError *error = NULL;
	int ret;

	if (!request_send(daemon, method, uri, NULL, 0, &resp, &error))
		return request_report_error(error);
	fwrite(resp.text, 1, resp.len, stdout);
	ret = resp.status == 200 ? 0 : EXIT_NEGATIVE;
	daemon_response_release(&resp);
	return ret;
}
