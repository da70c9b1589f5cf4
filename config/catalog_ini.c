#include <math.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/catalog_ini.h"
#include "config/ini.h"

#define MAX_RATE 1e9 /* calls a second; bounds bursts, in calls, too */
#define MAX_RETRIES 10 /* extra tries of a call tree */
#define DEFAULT_RETRIES 3 /* extra tries, without the option 'retries' */
#define MAX_WEIGHT 1000 /* of a data centre */
#define MAX_STALE_S 86400 /* largest value of 'refuse-when-stale' */

/*
 * The use of a service's name.  It is resolved after the whole text was
 * read, as the service may be declared further down.
 */
struct reference {
	TAILQ_ENTRY(reference) entry;
	/* What uses the name: one of the two, and the other one is NULL. */
	struct service *from; /* depends on the named service */
	struct route *route; /* leads to the named service */
	char name[NAME_LEN];
	int line;
};

TAILQ_HEAD(reference_list, reference);

struct catalog_builder;

/* One kind of section, "[KEYWORD]" or "[KEYWORD NAME]". */
struct section_kind {
	const char *keyword;
	bool named; /* whether it has a name; begin() is called only then */
	bool (*begin)(
	    struct ini_parser *, struct catalog_builder *, const char *name);
	bool (*value)(struct ini_parser *, struct catalog_builder *,
	    const char *name, const char *value);
	const char *options; /* all its options, for the hint */
};

/* The catalog being built, and what the current section declares. */
struct catalog_builder {
	struct catalog *catalog;
	struct reference_list references;
	const struct section_kind *kind;
	struct service *service;
	struct organisation *org;
	struct route *route;
	struct datacentre *dc;
};

static bool
unknown_option(
    struct ini_parser *ini, const struct catalog_builder *b, const char *name)
{
	char hint[160];

	snprintf(hint, sizeof(hint), "a [%s] section allows %s",
	    b->kind->keyword, b->kind->options);
	return ini_error(ini, ini->line, hint, "unknown option '%s'", name);
}

static bool
parse_number(struct ini_parser *ini, const char *name, const char *value,
    double min, double max, double *out)
{
	char hint[96], *end;
	double v = strtod(value, &end);

	snprintf(hint, sizeof(hint), "give a number from %g to %g", min, max);
	if (end == value || *end != '\0' || !isfinite(v) || v < min || v > max)
		return ini_error(
		    ini, ini->line, hint, "%s: bad value '%s'", name, value);
	*out = v;
	return true;
}

static bool
parse_bool(
    struct ini_parser *ini, const char *name, const char *value, bool *out)
{
	if (strcmp(value, "yes") != 0 && strcmp(value, "no") != 0)
		return ini_error(ini, ini->line, "write 'yes' or 'no'",
		    "%s: bad value '%s'", name, value);
	*out = strcmp(value, "yes") == 0;
	return true;
}

static bool
policy_value(struct ini_parser *ini, struct catalog_builder *b,
    const char *name, const char *value)
{
	double v = 0;

	if (strcmp(name, "weighing") == 0) {
		if (strcmp(value, "recovery") == 0)
			b->catalog->weighing = WEIGHING_RECOVERY;
		else if (strcmp(value, "goodput") == 0)
			b->catalog->weighing = WEIGHING_GOODPUT;
		else
			return ini_error(ini, ini->line,
			    "write 'recovery' or 'goodput'",
			    "weighing: bad value '%s'", value);
		return true;
	}
	if (strcmp(name, "retries") == 0) {
		if (!parse_number(ini, name, value, 0, MAX_RETRIES, &v))
			return false;
		b->catalog->retry_allowance = (unsigned int)v;
		return true;
	}
	return unknown_option(ini, b, name);
}

#define LETTERS "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
#define NAME_CHARS LETTERS "0123456789_."

static bool
check_name(struct ini_parser *ini, const char *name, const char *allowed)
{
	if (strlen(name) >= NAME_LEN || name[strspn(name, allowed)] != '\0')
		return ini_error(ini, ini->line,
		    "use at most 63 letters, digits, '_' and '.', and '-' in "
		    "all but data centres",
		    "bad name '%s'", name);
	return true;
}

static bool
duplicate_error(struct ini_parser *ini, const char *keyword, const char *name)
{
	return ini_error(ini, ini->line, "remove one of the two",
	    "duplicate %s '%s'", keyword, name);
}

static bool
dc_begin(struct ini_parser *ini, struct catalog_builder *b, const char *name)
{
	struct catalog *c = b->catalog;
	int i;

	if (!check_name(ini, name, NAME_CHARS))
		return false;
	for (i = 0; i < c->ndcs; i++) {
		if (strcmp(c->dcs[i].name, name) == 0)
			return duplicate_error(ini, "datacentre", name);
	}
	if (c->ndcs == CATALOG_MAX_DCS)
		return ini_error(ini, ini->line, "remove some of them",
		    "more than %d data centres", CATALOG_MAX_DCS);
	b->dc = &c->dcs[c->ndcs++];
	name_copy(b->dc->name, name, sizeof(b->dc->name));
	b->dc->weight = 1;
	return true;
}

static bool
dc_value(struct ini_parser *ini, struct catalog_builder *b, const char *name,
    const char *value)
{
	if (strcmp(name, "weight") != 0)
		return unknown_option(ini, b, name);
	return parse_number(ini, name, value, 0, MAX_WEIGHT, &b->dc->weight);
}

static void
add_reference(struct catalog_builder *b, struct service *from,
    struct route *route, const char *name, int line)
{
	struct reference *ref = xcalloc(1, sizeof(*ref));

	ref->from = from;
	ref->route = route;
	ref->line = line;
	name_copy(ref->name, name, sizeof(ref->name));
	TAILQ_INSERT_TAIL(&b->references, ref, entry);
}

static bool
service_begin(
    struct ini_parser *ini, struct catalog_builder *b, const char *name)
{
	if (!check_name(ini, name, NAME_CHARS "-"))
		return false;
	b->service = catalog_add_service(b->catalog, name);
	if (b->service == NULL)
		return duplicate_error(ini, "service", name);
	b->service->line = ini->line;
	return true;
}

static bool
service_value(struct ini_parser *ini, struct catalog_builder *b,
    const char *name, const char *value)
{
	char copy[256], *rest = copy, *item;

	if (strcmp(name, "depends") != 0)
		return unknown_option(ini, b, name);
	name_copy(copy, value, sizeof(copy));
	while ((item = strsep(&rest, " ,\t")) != NULL) {
		if (item[0] != '\0')
			add_reference(b, b->service, NULL, item, ini->line);
	}
	return true;
}

static bool
org_begin(struct ini_parser *ini, struct catalog_builder *b, const char *name)
{
	if (!check_name(ini, name, NAME_CHARS "-"))
		return false;
	b->org = catalog_add_organisation(b->catalog, name);
	if (b->org == NULL)
		return duplicate_error(ini, "organisation", name);
	b->org->line = ini->line;
	return true;
}

static bool
add_key(struct ini_parser *ini, struct catalog_builder *b, const char *value)
{
	uint8_t hash[KEY_HASH_LEN];
	size_t len;

	if (strlen(value) != 2 * KEY_HASH_LEN ||
	    sodium_hex2bin(hash, sizeof(hash), value, strlen(value), NULL, &len,
		NULL) != 0 ||
	    len != sizeof(hash))
		return ini_error(ini, ini->line,
		    "make a key and its hash with 'cranberryway key'",
		    "key: value is not the hash of a key");
	if (catalog_add_key(b->catalog, b->org, hash) == NULL)
		return ini_error(
		    ini, ini->line, "remove one of the two", "duplicate key");
	return true;
}

static bool
org_value(struct ini_parser *ini, struct catalog_builder *b, const char *name,
    const char *value)
{
	if (strcmp(name, "rate") == 0)
		return parse_number(
		    ini, name, value, 0.001, MAX_RATE, &b->org->rate);
	if (strcmp(name, "burst") == 0)
		return parse_number(
		    ini, name, value, 1, MAX_RATE, &b->org->burst);
	if (strcmp(name, "key") == 0)
		return add_key(ini, b, value);
	return unknown_option(ini, b, name);
}

static bool
route_begin(struct ini_parser *ini, struct catalog_builder *b, const char *name)
{
	size_t len = strlen(name);

	if (name[0] != '/' || len >= PATH_LEN || strpbrk(name, "?# ") != NULL ||
	    (len > 1 && name[len - 1] == '/'))
		return ini_error(ini, ini->line,
		    "write a path prefix without '?', '#', spaces or a slash "
		    "at its end, as in [route /orders]",
		    "bad route '%s'", name);
	b->route = catalog_add_route(b->catalog, name);
	if (b->route == NULL)
		return duplicate_error(ini, "route", name);
	b->route->line = ini->line;
	return true;
}

static bool
parse_importance(
    struct ini_parser *ini, const char *value, enum importance *out)
{
	static const char *const names[] = {"low", "normal", "high"};
	int i;

	for (i = 0; i <= IMPORTANCE_HIGH; i++) {
		if (strcmp(value, names[i]) == 0) {
			*out = i;
			return true;
		}
	}
	return ini_error(ini, ini->line, "write 'low', 'normal' or 'high'",
	    "importance: bad value '%s'", value);
}

static bool
route_value(struct ini_parser *ini, struct catalog_builder *b, const char *name,
    const char *value)
{
	double v = 0;

	if (strcmp(name, "service") == 0) {
		add_reference(b, NULL, b->route, value, ini->line);
		return true;
	}
	if (strcmp(name, "importance") == 0)
		return parse_importance(ini, value, &b->route->importance);
	if (strcmp(name, "idempotent") == 0)
		return parse_bool(ini, name, value, &b->route->idempotent);
	if (strcmp(name, "open") == 0)
		return parse_bool(ini, name, value, &b->route->open);
	if (strcmp(name, "refuse-when-stale") == 0) {
		if (!parse_number(ini, name, value, 1, MAX_STALE_S, &v))
			return false;
		b->route->max_config_age_us = (uint64_t)(v * SEC_US);
		return true;
	}
	return unknown_option(ini, b, name);
}

static const struct section_kind section_kinds[] = {
    {"policy", false, NULL, policy_value, "'weighing' and 'retries'"},
    {"datacentre", true, dc_begin, dc_value, "'weight'"},
    {"service", true, service_begin, service_value, "'depends'"},
    {"organisation", true, org_begin, org_value, "'rate', 'burst' and 'key'"},
    {"route", true, route_begin, route_value,
	"'service', 'importance', 'idempotent', 'open' and "
	"'refuse-when-stale'"},
};

static bool
on_section(struct ini_parser *ini, const char *section)
{
	struct catalog_builder *b = ini->state;
	const struct section_kind *k;
	const char *name;
	size_t i, len;

	for (i = 0; i < sizeof(section_kinds) / sizeof(section_kinds[0]); i++) {
		k = &section_kinds[i];
		len = strlen(k->keyword);
		if (strncmp(section, k->keyword, len) != 0 ||
		    (section[len] != '\0' && section[len] != ' '))
			continue;
		name = section + len + strspn(section + len, " ");
		if (k->named != (name[0] != '\0'))
			break;
		b->kind = k;
		return !k->named || k->begin(ini, b, name);
	}
	return ini_error(ini, ini->line,
	    "use [policy], [datacentre NAME], [service NAME], "
	    "[organisation NAME] or [route PATH]",
	    "unknown section '[%s]'", section);
}

static bool
on_value(struct ini_parser *ini, const char *section, const char *name,
    const char *value)
{
	struct catalog_builder *b = ini->state;

	(void)section;
	if (b->kind == NULL)
		return ini_error(ini, ini->line,
		    "put it below a [section] line",
		    "'%s' is outside of any section", name);
	return b->kind->value(ini, b, name, value);
}

/* Replaces the names of services by the services. */
static bool
resolve_references(struct ini_parser *ini, struct catalog_builder *b)
{
	struct reference *ref;
	struct service *s;

	TAILQ_FOREACH (ref, &b->references, entry) {
		s = catalog_service(b->catalog, ref->name);
		if (s == NULL && ref->route != NULL)
			return ini_error(ini, ref->line,
			    "declare it in a [service NAME] section",
			    "route '%s': unknown service '%s'",
			    ref->route->prefix, ref->name);
		if (s == NULL)
			return ini_error(ini, ref->line,
			    "declare it in a [service NAME] section",
			    "service '%s': unknown service '%s'",
			    ref->from->name, ref->name);
		if (ref->route != NULL)
			ref->route->service = s;
		else
			service_add_dependency(ref->from, s);
	}
	return true;
}

/* The state of a service in the search for cycles. */
enum mark {
	MARK_UNVISITED, /* not visited */
	MARK_ON_PATH, /* its dependencies are being visited */
	MARK_DONE, /* it and its dependencies are free of cycles */
};

/* Depth-first search; a service that is reached from itself closes a cycle. */
static bool
check_cycle(struct ini_parser *ini, struct service *s)
{
	struct dependency *d;

	if (s->cycle_mark == MARK_DONE)
		return true;
	if (s->cycle_mark == MARK_ON_PATH)
		return ini_error(ini, s->line,
		    "remove one of the 'depends' that lead back to it",
		    "dependency cycle through service '%s'", s->name);
	s->cycle_mark = MARK_ON_PATH;
	TAILQ_FOREACH (d, &s->depends, entry) {
		if (!check_cycle(ini, d->service))
			return false;
	}
	s->cycle_mark = MARK_DONE;
	return true;
}

/* The checks that need the whole text. */
static bool
check_catalog(struct ini_parser *ini, struct catalog_builder *b)
{
	struct organisation *o;
	struct service *s;
	struct route *rt;

	if (!resolve_references(ini, b))
		return false;
	RB_FOREACH (s, service_tree, &b->catalog->services) {
		if (!check_cycle(ini, s))
			return false;
	}
	RB_FOREACH (rt, route_tree, &b->catalog->routes) {
		if (rt->service == NULL)
			return ini_error(ini, rt->line, "add 'service = NAME'",
			    "route '%s' has no service", rt->prefix);
	}
	RB_FOREACH (o, organisation_tree, &b->catalog->orgs) {
		if (o->rate == 0 || o->burst == 0)
			return ini_error(ini, o->line,
			    "add 'rate = N' and 'burst = N'",
			    "organisation '%s' has no rate or no burst",
			    o->name);
	}
	if (b->catalog->ndcs == 0)
		return ini_error(ini, 1, "add a [datacentre NAME] section",
		    "no data centre is declared");
	return true;
}

static void
references_free(struct catalog_builder *b)
{
	struct reference *ref;

	while ((ref = TAILQ_FIRST(&b->references)) != NULL) {
		TAILQ_REMOVE(&b->references, ref, entry);
		free(ref);
	}
}

struct catalog *
catalog_ini_parse(
    const char *name, const char *text, size_t len, char *err, size_t errlen)
{
	struct catalog_builder b = {0};
	struct ini_parser ini = {0};

	b.catalog = catalog_create();
	b.catalog->retry_allowance = DEFAULT_RETRIES;
	TAILQ_INIT(&b.references);
	ini.name = name;
	ini.state = &b;
	ini.section = on_section;
	ini.value = on_value;
	if (!ini_read(&ini, text, len) || !check_catalog(&ini, &b)) {
		snprintf(err, errlen, "%s", ini.err);
		catalog_destroy(b.catalog);
		b.catalog = NULL;
	}
	references_free(&b);
	return b.catalog;
}

static struct catalog *
parse_configuration(const char *text, size_t len, char *err, size_t errlen)
{
	return catalog_ini_parse("configuration", text, len, err, errlen);
}

const struct catalog_parser catalog_parser_native = {parse_configuration};
