/*
 * cranberrywayd: reads the settings, starts the tasks and runs the event loop.
 */
#include <event2/event.h>
#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "config/catalog_ini.h"
#include "daemon/body.h"
#include "daemon/daemon.h"
#include "daemon/dialect.h"
#include "daemon/holdings.h"
#include "daemon/log.h"
#include "daemon/rows.h"
#include "platform/platform.h"

#define EXIT_FATAL 128 /* exit status: a setting, file or port is unusable */
#define EXIT_USAGE 129 /* exit status: wrong command line */
#define DEFAULT_MAX_DESCRIPTORS 1024 /* assumed if the limit is unknown */
#define SECRET_MIN_BYTES 32 /* smallest accepted secret file */

static GQuark
daemon_error_quark(void)
{
	return g_quark_from_static_string("cranberrywayd");
}

static bool
load_settings(const char *path, struct settings *s, GError **error)
{
	gchar *text;
	char err[512];
	gsize len;
	bool ok;

	if (!g_file_get_contents(path, &text, &len, error))
		return false;
	ok = settings_read(s, path, text, len, err, sizeof(err));
	g_free(text);
	if (!ok)
		g_set_error(error, daemon_error_quark(), EXIT_FATAL, "%s",
		    err + (strncmp(err, "error: ", 7) == 0 ? 7 : 0));
	return ok;
}

/*
 * Derive the key for links from the secret file, whose content is wiped.
 * Without such a file links are open to every daemon.
 */
static bool
load_secret(struct daemon *d, GError **error)
{
	gchar *text;
	gsize len;

	if (d->settings->secret_file[0] == '\0') {
		log_line(LOG_WARNING, "links-open",
		    "cause=no-secret-file dialect=%s", d->settings->dialect);
		return true;
	}
	if (!g_file_get_contents(d->settings->secret_file, &text, &len, error))
		return false;
	if (len < SECRET_MIN_BYTES || len > SECRET_MAX_BYTES) {
		g_set_error(error, daemon_error_quark(), EXIT_FATAL,
		    "secret-file: must be %d to %d bytes long\n"
		    "hint: create one with 'head -c 48 /dev/urandom'",
		    SECRET_MIN_BYTES, SECRET_MAX_BYTES);
		sodium_memzero(text, len);
		g_free(text);
		return false;
	}
	crypto_generichash(
	    d->link_key, sizeof(d->link_key), (uint8_t *)text, len, NULL, 0);
	sodium_memzero(text, len);
	g_free(text);
	return true;
}

/* The protocols that each value of the setting "dialect" selects. */
static const struct {
	const struct dialect *dialect;
	const struct row_protocol *row_protocol;
	const struct announce_protocol *announce_protocol; /* or NULL */
	const struct catalog_parser *catalog_parser;
	bool ids_outlive_attempts; /* as in struct node_setup */
	bool needs_secret; /* secret-file must be set */
} interfaces[] = {
    {&dialect_native, &row_protocol_native, NULL, &catalog_parser_native, true,
	true},
    {&dialect_platform, &row_protocol_platform, &announce_protocol_platform,
	&catalog_parser_platform, false, false},
};

static bool
select_interface(struct daemon *d, struct node_setup *setup, GError **error)
{
	const struct settings *s = d->settings;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(interfaces); i++) {
		if (strcmp(s->dialect, interfaces[i].dialect->name) != 0)
			continue;
		d->dialect = interfaces[i].dialect;
		d->row_protocol = interfaces[i].row_protocol;
		d->announce_protocol = interfaces[i].announce_protocol;
		setup->parser = interfaces[i].catalog_parser;
		setup->ids_outlive_attempts =
		    interfaces[i].ids_outlive_attempts;
		if (!interfaces[i].needs_secret || s->secret_file[0] != '\0')
			return true;
		g_set_error(error, daemon_error_quark(), EXIT_FATAL,
		    "setting 'secret-file' is missing\nhint: dialect '%s' "
		    "needs it",
		    s->dialect);
		return false;
	}
	g_set_error(error, daemon_error_quark(), EXIT_FATAL,
	    "dialect: unknown name '%s'\nhint: use native or platform",
	    s->dialect);
	return false;
}

static bool
select_algorithms(
    const struct settings *s, struct node_setup *setup, GError **error)
{
	static const struct balancer *const balancers[] = {
	    &balancer_two_choices, &balancer_random};
	static const struct limiter *const limiters[] = {
	    &limiter_slots, &limiter_gradient, &limiter_aimd, &limiter_fixed};
	static const struct shedder *const shedders[] = {
	    &shedder_recovery, &shedder_goodput, &shedder_fifo, &shedder_goal};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(balancers); i++)
		if (strcmp(s->balancer, balancers[i]->name) == 0)
			setup->balancer = balancers[i];
	for (i = 0; i < G_N_ELEMENTS(limiters); i++)
		if (strcmp(s->limiter, limiters[i]->name) == 0)
			setup->limiter = limiters[i];
	for (i = 0; i < G_N_ELEMENTS(shedders); i++)
		if (strcmp(s->shedder, shedders[i]->name) == 0)
			setup->shedder = shedders[i];
	if (setup->balancer != NULL && setup->limiter != NULL &&
	    (setup->shedder != NULL || strcmp(s->shedder, "policy") == 0))
		return true;
	g_set_error(error, daemon_error_quark(), EXIT_FATAL,
	    "balancer, limiter or shedder: unknown name\nhint: see "
	    "'cranberrywayd --describe'");
	return false;
}

static void
fill_setup(const struct settings *s, struct node_setup *setup)
{
	daemon_fill_reloadable(s, setup);
	setup->self = s->link;
	name_copy(setup->dc, s->datacentre, sizeof(setup->dc));
	setup->incarnation = daemon_now().wall_ms;
	randombytes_buf(&setup->seed, sizeof(setup->seed));
	setup->retrier = &retrier_tree;
	setup->guard = &guard_full;
	name_copy(setup->region, s->region, sizeof(setup->region));
	setup->region_dcs = settings_count_region_dcs(s);
	name_copy(setup->service, s->service, sizeof(setup->service));
	setup->seeds = s->peers;
	setup->nseeds = s->npeers;
	setup->max_queue = s->max_queue;
	setup->max_ids = s->max_ids;
	setup->max_ledger_reply_bytes = s->max_ledger_reply_bytes;
}

/*
 * Read the settings again.  If they are invalid, the error is logged and those
 * in force stay.  Tasks and the node are not created anew: settings that they
 * copy when they are created, such as ports and algorithms, take effect at the
 * next start.
 */
static void
on_reload(evutil_socket_t sig, short what, void *arg)
{
	struct settings *s = settings_create();
	struct daemon *d = arg;
	GError *error = NULL;

	(void)sig;
	(void)what;
	if (load_settings(d->settings_path, s, &error)) {
		log_line(LOG_NOTICE, "reloaded", "platform_changed=%d",
		    !addr_equal(s->platform, d->settings->platform));
		settings_copy(d->settings, s);
		holdings_reload(d->holdings);
		task_send(d->decide, msg_create(MSG_RELOAD));
		task_send(d->platform, msg_create(MSG_RELOAD));
	} else {
		log_line(LOG_ERR, "reload-failed", "error=%s", error->message);
		g_error_free(error);
	}
	settings_destroy(s);
}

/* Drain on the first SIGTERM or SIGINT, exit at once on the second. */
static void
on_signal(evutil_socket_t sig, short what, void *arg)
{
	struct daemon *d = arg;

	(void)what;
	if (d->draining) {
		log_line(LOG_WARNING, "exit-at-once", "signal=%d", (int)sig);
		event_base_loopbreak(d->base);
		return;
	}
	log_line(LOG_NOTICE, "draining", "signal=%d", (int)sig);
	d->draining = true;
	daemon_drain(d);
}

static bool
start_tasks(struct daemon *d, const struct node_setup *setup)
{
	d->decide = decide_task_create(d, setup);
	d->target = target_task_create(d);
	d->platform = platform_task_create(d);
	d->link = link_task_create(d);
	d->operators = operators_task_create(d);
	d->probe = probe_task_create(d);
	if (d->announce_protocol != NULL)
		d->announce = announce_task_create(d);
	d->front = front_task_create(d);
	task_set_account(d->decide, d->memory);
	if (d->link != NULL)
		task_set_account(d->link, d->memory);
	if (d->front != NULL)
		task_set_account(d->front, d->memory);
	return d->link != NULL && d->operators != NULL && d->front != NULL &&
	       d->probe != NULL &&
	       (d->announce_protocol == NULL || d->announce != NULL);
}

static void
stop_tasks(struct daemon *d)
{
	task_destroy(d->front);
	task_destroy(d->announce);
	task_destroy(d->probe);
	task_destroy(d->operators);
	task_destroy(d->link);
	task_destroy(d->platform);
	task_destroy(d->target);
	task_destroy(d->decide);
}

/*
 * Raise the limit of open files to the maximum, as each caller's connection
 * needs a descriptor.
 */
static void
raise_descriptor_limit(struct daemon *d)
{
	struct rlimit lim;

	d->max_descriptors = DEFAULT_MAX_DESCRIPTORS;
	if (getrlimit(RLIMIT_NOFILE, &lim) != 0)
		return;
	lim.rlim_cur = lim.rlim_max;
	setrlimit(RLIMIT_NOFILE, &lim);
	d->max_descriptors = lim.rlim_cur;
}

static int
run(struct daemon *d, struct node_setup *setup)
{
	struct event *term, *intr, *hup;
	int ret = EXIT_FATAL;

	signal(SIGPIPE, SIG_IGN);
	d->base = event_base_new();
	event_base_priority_init(d->base, LOOP_PRIORITIES);
	d->holdings = holdings_create(d);
	setup->memory = d->memory;
	setup->descriptors = d->descriptors;
	term = evsignal_new(d->base, SIGTERM, on_signal, d);
	intr = evsignal_new(d->base, SIGINT, on_signal, d);
	hup = evsignal_new(d->base, SIGHUP, on_reload, d);
	evsignal_add(hup, NULL);
	evsignal_add(term, NULL);
	evsignal_add(intr, NULL);
	if (start_tasks(d, setup)) {
		log_line(LOG_NOTICE, "started", "datacentre=%s port=%u",
		    d->settings->datacentre, d->settings->callers.port);
		event_base_dispatch(d->base);
		ret = 0;
	}
	stop_tasks(d);
	event_free(term);
	event_free(intr);
	event_free(hup);
	holdings_destroy(d->holdings);
	event_base_free(d->base);
	return ret;
}

static int
print_fatal(GError *error, int code)
{
	fprintf(stderr, "fatal: %s\n", error->message);
	g_error_free(error);
	return code;
}

static int
print_settings_page(void)
{
	char page[8192];

	settings_describe(page, sizeof(page));
	fputs(page, stdout);
	return 0;
}

int
main(int argc, char **argv)
{
	static gchar *path;
	static gboolean check_only, describe_only, verbose;
	static const GOptionEntry entries[] = {
	    {"settings", 's', 0, G_OPTION_ARG_FILENAME, &path,
		"read the settings from FILE", "FILE"},
	    {"check", 'c', 0, G_OPTION_ARG_NONE, &check_only,
		"check the settings and exit", NULL},
	    {"describe", 'd', 0, G_OPTION_ARG_NONE, &describe_only,
		"print all settings with units and bounds", NULL},
	    {"verbose", 'v', 0, G_OPTION_ARG_NONE, &verbose,
		"also log debug messages", NULL},
	    {NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	struct daemon d = {0};
	struct node_setup setup = {0};
	struct settings *s;
	GOptionContext *ctx = g_option_context_new("- overload control daemon");
	GError *error = NULL;
	int ret;

	if (sodium_init() < 0)
		return EXIT_FATAL;
	body_setup();
	g_option_context_add_main_entries(ctx, entries, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &error))
		return print_fatal(error, EXIT_USAGE);
	g_option_context_free(ctx);
	if (describe_only)
		return print_settings_page();
	log_set_nonblocking();
	if (path == NULL)
		path = g_strdup(g_getenv(PLATFORM_SETTINGS_ENV));
	if (path == NULL) {
		fputs("usage: cranberrywayd --settings FILE\n", stderr);
		return EXIT_USAGE;
	}
	if (verbose)
		log_set_level(LOG_DEBUG);
	s = settings_create();
	d.settings = s;
	d.settings_path = path;
	randombytes_buf(d.context_key, sizeof(d.context_key));
	raise_descriptor_limit(&d);
	if (!load_settings(path, s, &error) ||
	    !select_interface(&d, &setup, &error) ||
	    !select_algorithms(s, &setup, &error) || !load_secret(&d, &error)) {
		settings_destroy(s);
		return print_fatal(error, EXIT_FATAL);
	}
	fill_setup(s, &setup);
	ret = check_only ? 0 : run(&d, &setup);
	settings_destroy(s);
	return ret;
}
