#include <arpa/inet.h>
#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/ini.h"
#include "config/settings.h"

enum setting_kind {
	SETTING_ADDR, /* "IP:PORT" */
	SETTING_PEERS, /* a list of addresses */
	SETTING_NAME, /* text of fewer than NAME_LEN bytes */
	SETTING_PATH, /* text of fewer than SETTINGS_PATH_LEN bytes */
	SETTING_NUMBER, /* an unsigned integer */
	SETTING_SECONDS, /* decimal seconds, stored in microseconds */
};

struct setting {
	const char *name;
	enum setting_kind kind;
	size_t offset; /* of the member in struct settings */
	bool required;
	uint64_t default_number, min, max; /* of a number or of seconds */
	const char *default_text; /* of a name or path */
	const char *unit;
	const char *description;
};

#define FIELD(member) offsetof(struct settings, member)

static const struct setting settings_table[] = {
    {"datacentre", SETTING_NAME, FIELD(datacentre), true, 0, 0, 0, "", "name",
	"the data centre of this host"},
    {"dialect", SETTING_NAME, FIELD(dialect), false, 0, 0, 0, "native", "name",
	"interface to callers, targets and the platform: native or platform"},
    {"secret-file", SETTING_PATH, FIELD(secret_file), false, 0, 0, 0, "",
	"path",
	"file with the fleet's secret, at least 32 bytes; dialect native needs "
	"it"},
    {"service", SETTING_NAME, FIELD(service), false, 0, 0, 0, "", "name",
	"the service of this host's target"},
    {"region", SETTING_NAME, FIELD(region), false, 0, 0, 0, "", "name",
	"data centres of one region share rates; unset: each has a fixed part"},
    {"announce", SETTING_ADDR, FIELD(announce), false, 0, 0, 0, "", "ip:port",
	"where the local target announces itself; unset: at operators"},
    {"ready", SETTING_ADDR, FIELD(ready), false, 0, 0, 0, "", "ip:port",
	"where readiness to take callers is served over HTTP"},
    {"ready-path", SETTING_PATH, FIELD(ready_path), false, 0, 0, 0, "/ready",
	"path", "path of the readiness request"},
    {"metrics", SETTING_ADDR, FIELD(metrics), false, 0, 0, 0, "", "ip:port",
	"where /metrics is served over HTTP"},
    {"target", SETTING_ADDR, FIELD(target), false, 0, 0, 0, "", "ip:port",
	"the local target; unset: 127.0.0.1 and the port that it announces"},
    {"link", SETTING_ADDR, FIELD(link), true, 0, 0, 0, "", "ip:port",
	"where other daemons reach this one"},
    {"link-bind", SETTING_ADDR, FIELD(link_bind), false, 0, 0, 0, "", "ip:port",
	"where it listens for other daemons, if that differs from link"},
    {"callers", SETTING_ADDR, FIELD(callers), true, 0, 0, 0, "", "ip:port",
	"where callers reach this daemon"},
    {"operators", SETTING_ADDR, FIELD(operators), true, 0, 0, 0, "", "ip:port",
	"where operators and the local target reach this daemon"},
    {"platform", SETTING_ADDR, FIELD(platform), true, 0, 0, 0, "", "ip:port",
	"the platform's table service"},
    {"peers", SETTING_PEERS, FIELD(peers), false, 0, 0, 0, "", "ip:port ...",
	"daemons to contact first while the platform is unavailable"},
    {"max-calls", SETTING_NUMBER, FIELD(max_calls), false, 2000, 1, 100000, "",
	"calls", "calls of callers in progress at once"},
    {"max-queue", SETTING_NUMBER, FIELD(max_queue), false, 512, 1, 100000, "",
	"calls", "calls that wait for the local target at once"},
    {"max-ids", SETTING_NUMBER, FIELD(max_ids), false, 50000, 100, 10000000, "",
	"ids", "idempotency ids that the ledger holds"},
    {"max-links", SETTING_NUMBER, FIELD(max_links), false, 1024, 8, 65536, "",
	"links", "links to other daemons at once"},
    {"answer-bytes", SETTING_NUMBER, FIELD(max_ledger_reply_bytes), false,
	4194304, 0, 1073741824, "", "bytes", "responses that the ledger holds"},
    {"max-header-bytes", SETTING_NUMBER, FIELD(max_header_bytes), false, 16384,
	1024, 1048576, "", "bytes", "headers of one request or response"},
    {"max-body-bytes", SETTING_NUMBER, FIELD(max_body_bytes), false, 1048576,
	1024, 1073741824, "", "bytes", "body of one request or response"},
    {"memory-mb", SETTING_NUMBER, FIELD(memory_mb), false, 0, 0, 1048576, "",
	"MB", "memory that the daemon may take; 0: all that the host has"},
    {"max-partial-bytes", SETTING_NUMBER, FIELD(max_partial_bytes), false,
	50331648, 0, 1073741824, "", "bytes",
	"the target's responses that are not complete yet, together; 0: as "
	"the memory allows"},
    {"default-deadline-ms", SETTING_NUMBER, FIELD(default_deadline_ms), false,
	5000, 10, 600000, "", "ms", "deadline of a call that states none"},
    {"max-deadline-ms", SETTING_NUMBER, FIELD(max_deadline_ms), false, 30000,
	10, 600000, "", "ms", "longest deadline of a call"},
    {"caller-idle-s", SETTING_NUMBER, FIELD(caller_idle_s), false, 30, 1, 3600,
	"", "s",
	"a caller's connection is closed after being idle for this time"},
    {"platform-timeout-ms", SETTING_NUMBER, FIELD(platform_timeout_ms), false,
	1000, 10, 60000, "", "ms", "timeout of a request to the platform"},
    {"max-idle", SETTING_NUMBER, FIELD(max_idle_connections), false, 64, 0,
	10000, "", "connections",
	"idle connections to the target that are kept open"},
    {"announce-silent-ms", SETTING_NUMBER, FIELD(announce_silent_ms), false, 0,
	0, 600000, "", "ms",
	"a target that does not announce itself for this time is unavailable; "
	"0: never"},
    {"key-revocation-s", SETTING_SECONDS, FIELD(key_revocation_us), false, 0, 0,
	3600, "", "s",
	"a withdrawn key is refused within this time; 0: no bound"},
    {"grace-s", SETTING_SECONDS, FIELD(grace_us), false, 0, 0, 3600, "", "s",
	"time from the request to leave until the daemon is killed; 0: no "
	"bound"},
    {"headroom-percent", SETTING_NUMBER, FIELD(headroom_percent), false, 0, 0,
	90, "", "percent", "part of the target's slots that is kept free"},
    {"balancer", SETTING_NAME, FIELD(balancer), false, 0, 0, 0, "two-choices",
	"name", "load balancing: two-choices or random"},
    {"limiter", SETTING_NAME, FIELD(limiter), false, 0, 0, 0, "slots", "name",
	"concurrency limit of the local target: slots, gradient, aimd or "
	"fixed"},
    {"shedder", SETTING_NAME, FIELD(shedder), false, 0, 0, 0, "policy", "name",
	"load shedding: policy (as the configuration's weighing says), "
	"recovery, goodput, goal or fifo"},
};

#define NSETTINGS (sizeof(settings_table) / sizeof(settings_table[0]))

/* The state of one settings_read(). */
struct settings_parse {
	struct settings *settings;
	bool seen[NSETTINGS]; /* by index in settings_table */
};

bool
addr_parse(const char *text, struct addr *addr)
{
	char ip[INET_ADDRSTRLEN], *end;
	const char *colon = strrchr(text, ':');
	struct in_addr in;
	unsigned long port;

	if (colon == NULL || (size_t)(colon - text) >= sizeof(ip))
		return false;
	memcpy(ip, text, colon - text);
	ip[colon - text] = '\0';
	port = strtoul(colon + 1, &end, 10);
	if (inet_pton(AF_INET, ip, &in) != 1 || end == colon + 1 ||
	    *end != '\0' || port == 0 || port > UINT16_MAX)
		return false;
	addr->ip = ntohl(in.s_addr);
	addr->port = port;
	return true;
}

/* The member of struct settings that a setting is stored in. */
static void *
setting_value(struct settings *s, const struct setting *t)
{
	return (char *)s + t->offset;
}

struct settings *
settings_create(void)
{
	struct settings *s = xcalloc(1, sizeof(*s));
	size_t i;

	for (i = 0; i < NSETTINGS; i++) {
		if (settings_table[i].kind == SETTING_NUMBER)
			*(uint64_t *)setting_value(s, &settings_table[i]) =
			    settings_table[i].default_number;
		else if (settings_table[i].kind == SETTING_NAME)
			name_copy(setting_value(s, &settings_table[i]),
			    settings_table[i].default_text, NAME_LEN);
		else if (settings_table[i].kind == SETTING_PATH)
			name_copy(setting_value(s, &settings_table[i]),
			    settings_table[i].default_text, SETTINGS_PATH_LEN);
	}
	return s;
}

void
settings_copy(struct settings *dst, const struct settings *src)
{
	*dst = *src;
}

void
settings_destroy(struct settings *s)
{
	free(s);
}

static bool
address_error(struct ini_parser *ini, const char *name, const char *value)
{
	return ini_error(ini, ini->line,
	    "write a numeric address and a port, as in 127.0.0.1:7000",
	    "%s: bad address '%s'", name, value);
}

static bool
set_peers(struct ini_parser *ini, struct settings *s, const char *value)
{
	char copy[256], *rest = copy, *peer;

	name_copy(copy, value, sizeof(copy));
	while ((peer = strsep(&rest, " ,\t")) != NULL) {
		if (peer[0] == '\0')
			continue;
		if (s->npeers == SETTINGS_MAX_PEERS)
			return ini_error(ini, ini->line, "remove some of them",
			    "more than %d peers", SETTINGS_MAX_PEERS);
		if (!addr_parse(peer, &s->peers[s->npeers++]))
			return address_error(ini, "peers", peer);
	}
	return true;
}

static bool
set_number(struct ini_parser *ini, const struct setting *t, const char *value,
    uint64_t *out)
{
	char hint[128], *end;
	uint64_t v = strtoull(value, &end, 10);

	snprintf(hint, sizeof(hint),
	    "give a whole number of %s from %" PRIu64 " to %" PRIu64, t->unit,
	    t->min, t->max);
	if (end == value || *end != '\0' || value[0] == '-' || v < t->min ||
	    v > t->max)
		return ini_error(
		    ini, ini->line, hint, "%s: bad value '%s'", t->name, value);
	*out = v;
	return true;
}

static bool
set_seconds(struct ini_parser *ini, const struct setting *t, const char *value,
    uint64_t *out)
{
	char hint[128], *end;
	double v = strtod(value, &end);

	snprintf(hint, sizeof(hint),
	    "give a number of seconds from %" PRIu64 " to %" PRIu64
	    ", as in 2.5",
	    t->min, t->max);
	if (end == value || *end != '\0' || !(v >= (double)t->min) ||
	    v > (double)t->max)
		return ini_error(
		    ini, ini->line, hint, "%s: bad value '%s'", t->name, value);
	*out = (uint64_t)(v * (double)SEC_US);
	return true;
}

static bool
set_text(struct ini_parser *ini, const struct setting *t, const char *value,
    char *out, size_t len)
{
	if (value[0] == '\0' || strlen(value) >= len)
		return ini_error(ini, ini->line,
		    "write a shorter value, and not an empty one",
		    "%s: empty or too long", t->name);
	name_copy(out, value, len);
	return true;
}

static bool
set_value(struct ini_parser *ini, struct settings *s, const struct setting *t,
    const char *value)
{
	switch (t->kind) {
	case SETTING_ADDR:
		return addr_parse(value, setting_value(s, t)) ||
		       address_error(ini, t->name, value);
	case SETTING_PEERS:
		return set_peers(ini, s, value);
	case SETTING_NAME:
		return set_text(ini, t, value, setting_value(s, t), NAME_LEN);
	case SETTING_PATH:
		return set_text(
		    ini, t, value, setting_value(s, t), SETTINGS_PATH_LEN);
	case SETTING_SECONDS:
		return set_seconds(ini, t, value, setting_value(s, t));
	default:
		return set_number(ini, t, value, setting_value(s, t));
	}
}

static bool
on_section(struct ini_parser *ini, const char *section)
{
	if (strcmp(section, "daemon") == 0 ||
	    strcmp(section, "datacentres") == 0)
		return true;
	return ini_error(ini, ini->line,
	    "put settings in [daemon], 'datacentre = region' in [datacentres]",
	    "unknown section '[%s]'", section);
}

/* Adds a line "DATACENTRE = REGION" of the section [datacentres]. */
static bool
add_datacentre(struct ini_parser *ini, struct settings *s, const char *name,
    const char *region)
{
	struct settings_dc *dc = &s->dcs[s->ndcs];

	if (s->ndcs == SETTINGS_MAX_DCS)
		return ini_error(ini, ini->line, "remove some of them",
		    "more than %d data centres", SETTINGS_MAX_DCS);
	if (region[0] == '\0' || strlen(region) >= sizeof(dc->region) ||
	    strlen(name) >= sizeof(dc->name))
		return ini_error(ini, ini->line, "write 'datacentre = region'",
		    "%s: bad region '%s'", name, region);
	name_copy(dc->name, name, sizeof(dc->name));
	name_copy(dc->region, region, sizeof(dc->region));
	s->ndcs++;
	return true;
}

static bool
on_value(struct ini_parser *ini, const char *section, const char *name,
    const char *value)
{
	struct settings_parse *r = ini->state;
	size_t i;

	if (strcmp(section, "datacentres") == 0)
		return add_datacentre(ini, r->settings, name, value);
	for (i = 0; i < NSETTINGS; i++) {
		if (strcmp(settings_table[i].name, name) != 0)
			continue;
		if (r->seen[i])
			return ini_error(ini, ini->line,
			    "remove one of the two", "duplicate setting '%s'",
			    name);
		r->seen[i] = true;
		return set_value(ini, r->settings, &settings_table[i], value);
	}
	return ini_error(ini, ini->line,
	    "'cranberrywayd --describe' lists the settings",
	    "unknown setting '%s'", name);
}

static bool
check_required(struct ini_parser *ini, const struct settings_parse *r)
{
	size_t i;

	for (i = 0; i < NSETTINGS; i++) {
		if (settings_table[i].required && !r->seen[i])
			return ini_error(ini, 0, settings_table[i].description,
			    "setting '%s' is missing", settings_table[i].name);
	}
	return true;
}

bool
settings_read(struct settings *s, const char *name, const char *text,
    size_t len, char *err, size_t errlen)
{
	struct settings_parse r = {.settings = s};
	struct ini_parser ini = {0};

	ini.name = name;
	ini.state = &r;
	ini.section = on_section;
	ini.value = on_value;
	if (ini_read(&ini, text, len) && check_required(&ini, &r))
		return true;
	snprintf(err, errlen, "%s", ini.err);
	return false;
}

int
settings_count_region_dcs(const struct settings *s)
{
	int i, count = 0;

	for (i = 0; i < s->ndcs; i++)
		count += strcmp(s->dcs[i].region, s->region) == 0;
	return count;
}

size_t
settings_describe(char *buf, size_t len)
{
	const struct setting *t;
	size_t used = 0, i;

	for (i = 0; i < NSETTINGS && used < len; i++) {
		t = &settings_table[i];
		used += snprintf(
		    buf + used, len - used, "%s (%s)", t->name, t->unit);
		if (used < len &&
		    (t->kind == SETTING_NUMBER || t->kind == SETTING_SECONDS))
			used += snprintf(buf + used, len - used,
			    ", default %" PRIu64 ", range %" PRIu64
			    " to %" PRIu64,
			    t->default_number, t->min, t->max);
		else if (used < len && t->required)
			used += snprintf(buf + used, len - used, ", required");
		else if (used < len && t->default_text[0] != '\0')
			used += snprintf(buf + used, len - used,
			    ", default '%s'", t->default_text);
		if (used < len)
			used += snprintf(
			    buf + used, len - used, "\n\t%s\n", t->description);
	}
	return used < len ? used : len - 1;
}
