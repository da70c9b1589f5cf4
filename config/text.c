#include <math.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/ini.h"
#include "config/text.h"

#define MAX_RATE 1e9 /* calls a second */
#define MAX_RETRIES 10
#define MAX_STALE_S 86400

/* A service that is named before it may be declared. */
struct reference {
	TAILQ_ENTRY(reference) entry;
	struct service *from; /* depends on it, or NULL */
	struct route *route; /* leads to it, or NULL */
	char name[NAME_LEN];
	int line;
};

TAILQ_HEAD(reference_list, reference);

struct reader;

/* One kind of section. */
struct section_kind {
	const char *word;
	bool named;
	bool (*begin)(struct ini *, struct reader *, const char *name);
	bool (*value)(
	    struct ini *, struct reader *, const char *name, const char *value);
	const char *words; /* those it knows, for the hint */
};

struct reader {
	struct catalog *catalog;
	struct reference_list references;
	const struct section_kind *kind;
	struct service *service;
	struct organisation *org;
	struct route *route;
	struct datacentre *dc;
};

static bool
unknown_word(struct ini *ini, const struct reader *r, const char *name)
{
	char hint[160];

	snprintf(hint, sizeof(hint), "a %s section knows %s", r->kind->word,
	    r->kind->words);
	return ini_error(ini, ini->line, hint, "unknown word '%s'", name);
}

static bool
parse_number(struct ini *ini, const char *name, const char *value, double min,
    double max, double *out)
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
parse_bool(struct ini *ini, const char *name, const char *value, bool *out)
{
	if (strcmp(value, "yes") != 0 && strcmp(value, "no") != 0)
		return ini_error(ini, ini->line, "say 'yes' or 'no'",
		    "%s: bad value '%s'", name, value);
	*out = strcmp(value, "yes") == 0;
	return true;
}

static bool
policy_value(
    struct ini *ini, struct reader *r, const char *name, const char *value)
{
	double v = 0;

	if (strcmp(name, "weighing") == 0) {
		if (strcmp(value, "recovery") == 0)
			r->catalog->weighing = WEIGHING_RECOVERY;
		else if (strcmp(value, "goodput") == 0)
			r->catalog->weighing = WEIGHING_GOODPUT;
		else
			return ini_error(ini, ini->line,
			    "say 'recovery' or 'goodput'",
			    "weighing: bad value '%s'", value);
		return true;
	}
	if (strcmp(name, "retries") == 0) {
		if (!parse_number(ini, name, value, 0, MAX_RETRIES, &v))
			return false;
		r->catalog->retries = (unsigned int)v;
		return true;
	}
	return unknown_word(ini, r, name);
}

#define LETTERS "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
#define NAME_CHARS LETTERS "0123456789_."

static bool
check_name(struct ini *ini, const char *name, const char *allowed)
{
	if (strlen(name) >= NAME_LEN || name[strspn(name, allowed)] != '\0')
		return ini_error(ini, ini->line,
		    "use at most 63 letters, digits, '_' and '.', and '-' in "
		    "all but data centres",
		    "bad name '%s'", name);
	return true;
}

static bool
twice(struct ini *ini, const char *word, const char *name)
{
	return ini_error(ini, ini->line, "remove one of the two",
	    "%s '%s' stands twice", word, name);
}

static bool
dc_begin(struct ini *ini, struct reader *r, const char *name)
{
	struct catalog *c = r->catalog;
	int i;

	if (!check_name(ini, name, NAME_CHARS))
		return false;
	for (i = 0; i < c->ndcs; i++) {
		if (strcmp(c->dcs[i].name, name) == 0)
			return twice(ini, "datacentre", name);
	}
	if (c->ndcs == CATALOG_MAX_DCS)
		return ini_error(ini, ini->line, "leave some out",
		    "more than %d data centres", CATALOG_MAX_DCS);
	r->dc = &c->dcs[c->ndcs++];
	name_copy(r->dc->name, name, sizeof(r->dc->name));
	r->dc->weight = 1;
	return true;
}

static bool
dc_value(struct ini *ini, struct reader *r, const char *name, const char *value)
{
	if (strcmp(name, "weight") != 0)
		return unknown_word(ini, r, name);
	return parse_number(ini, name, value, 0, 1000, &r->dc->weight);
}

static void
refer(struct reader *r, struct service *from, struct route *route,
    const char *name, int line)
{
	struct reference *ref = xcalloc(1, sizeof(*ref));

	ref->from = from;
	ref->route = route;
	ref->line = line;
	name_copy(ref->name, name, sizeof(ref->name));
	TAILQ_INSERT_TAIL(&r->references, ref, entry);
}

static bool
service_begin(struct ini *ini, struct reader *r, const char *name)
{
	if (!check_name(ini, name, NAME_CHARS "-"))
		return false;
	r->service = catalog_add_service(r->catalog, name);
	if (r->service == NULL)
		return twice(ini, "service", name);
	r->service->line = ini->line;
	return true;
}

static bool
service_value(
    struct ini *ini, struct reader *r, const char *name, const char *value)
{
	char copy[256], *rest = copy, *word;

	if (strcmp(name, "depends") != 0)
		return unknown_word(ini, r, name);
	name_copy(copy, value, sizeof(copy));
	while ((word = strsep(&rest, " ,\t")) != NULL) {
		if (word[0] != '\0')
			refer(r, r->service, NULL, word, ini->line);
	}
	return true;
}

static bool
org_begin(struct ini *ini, struct reader *r, const char *name)
{
	if (!check_name(ini, name, NAME_CHARS "-"))
		return false;
	r->org = catalog_add_organisation(r->catalog, name);
	if (r->org == NULL)
		return twice(ini, "organisation", name);
	r->org->line = ini->line;
	return true;
}

static bool
add_key(struct ini *ini, struct reader *r, const char *value)
{
	uint8_t hash[KEY_HASH_LEN];
	size_t len;

	if (strlen(value) != 2 * KEY_HASH_LEN ||
	    sodium_hex2bin(hash, sizeof(hash), value, strlen(value), NULL, &len,
		NULL) != 0 ||
	    len != sizeof(hash))
		return ini_error(ini, ini->line,
		    "make a key and its hash with 'cranberryway key'",
		    "key: not the hash of a key");
	if (catalog_add_key(r->catalog, r->org, hash) == NULL)
		return ini_error(ini, ini->line, "remove one of the two",
		    "this key stands twice");
	return true;
}

static bool
org_value(
    struct ini *ini, struct reader *r, const char *name, const char *value)
{
	if (strcmp(name, "rate") == 0)
		return parse_number(
		    ini, name, value, 0.001, MAX_RATE, &r->org->rate);
	if (strcmp(name, "burst") == 0)
		return parse_number(
		    ini, name, value, 1, MAX_RATE, &r->org->burst);
	if (strcmp(name, "key") == 0)
		return add_key(ini, r, value);
	return unknown_word(ini, r, name);
}

static bool
route_begin(struct ini *ini, struct reader *r, const char *name)
{
	size_t len = strlen(name);

	if (name[0] != '/' || len >= PATH_LEN || strpbrk(name, "?# ") != NULL ||
	    (len > 1 && name[len - 1] == '/'))
		return ini_error(ini, ini->line,
		    "write the beginning of a path, as in [route /orders]",
		    "bad route '%s'", name);
	r->route = catalog_add_route(r->catalog, name);
	if (r->route == NULL)
		return twice(ini, "route", name);
	r->route->line = ini->line;
	return true;
}

static bool
parse_importance(struct ini *ini, const char *value, enum importance *out)
{
	static const char *const words[] = {"low", "normal", "high"};
	int i;

	for (i = 0; i <= IMPORTANCE_HIGH; i++) {
		if (strcmp(value, words[i]) == 0) {
			*out = i;
			return true;
		}
	}
	return ini_error(ini, ini->line, "say 'low', 'normal' or 'high'",
	    "importance: bad value '%s'", value);
}

static bool
route_value(
    struct ini *ini, struct reader *r, const char *name, const char *value)
{
	double v = 0;

	if (strcmp(name, "service") == 0) {
		refer(r, NULL, r->route, value, ini->line);
		return true;
	}
	if (strcmp(name, "importance") == 0)
		return parse_importance(ini, value, &r->route->importance);
	if (strcmp(name, "idempotent") == 0)
		return parse_bool(ini, name, value, &r->route->idempotent);
	if (strcmp(name, "open") == 0)
		return parse_bool(ini, name, value, &r->route->open);
	if (strcmp(name, "refuse-when-stale") == 0) {
		if (!parse_number(ini, name, value, 1, MAX_STALE_S, &v))
			return false;
		r->route->stale_us = (uint64_t)(v * SEC_US);
		return true;
	}
	return unknown_word(ini, r, name);
}

static const struct section_kind kinds[] = {
    {"policy", false, NULL, policy_value, "'weighing' and 'retries'"},
    {"datacentre", true, dc_begin, dc_value, "'weight'"},
    {"service", true, service_begin, service_value, "'depends'"},
    {"organisation", true, org_begin, org_value, "'rate', 'burst' and 'key'"},
    {"route", true, route_begin, route_value,
	"'service', 'importance', 'idempotent', 'open' and "
	"'refuse-when-stale'"},
};

static bool
on_section(struct ini *ini, const char *section)
{
	struct reader *r = ini->state;
	const struct section_kind *k;
	const char *name;
	size_t i, len;

	for (i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
		k = &kinds[i];
		len = strlen(k->word);
		if (strncmp(section, k->word, len) != 0 ||
		    (section[len] != '\0' && section[len] != ' '))
			continue;
		name = section + len + strspn(section + len, " ");
		if (k->named != (name[0] != '\0'))
			break;
		r->kind = k;
		return !k->named || k->begin(ini, r, name);
	}
	return ini_error(ini, ini->line,
	    "use [policy], [datacentre NAME], [service NAME], "
	    "[organisation NAME] or [route PATH]",
	    "unknown section '[%s]'", section);
}

static bool
on_value(
    struct ini *ini, const char *section, const char *name, const char *value)
{
	struct reader *r = ini->state;

	(void)section;
	if (r->kind == NULL)
		return ini_error(ini, ini->line, "begin with a [section]",
		    "'%s' stands outside of any section", name);
	return r->kind->value(ini, r, name, value);
}

static bool
resolve(struct ini *ini, struct reader *r)
{
	struct reference *ref;
	struct service *s;

	TAILQ_FOREACH (ref, &r->references, entry) {
		s = catalog_service(r->catalog, ref->name);
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

enum mark {
	MARK_NONE,
	MARK_ON_PATH,
	MARK_DONE,
};

/* Depth first; a service that is met on its own path closes a cycle. */
static bool
check_cycle(struct ini *ini, struct service *s)
{
	struct dependency *d;

	if (s->mark == MARK_DONE)
		return true;
	if (s->mark == MARK_ON_PATH)
		return ini_error(ini, s->line,
		    "remove one of the 'depends' that lead back to it",
		    "service '%s' depends on itself in a cycle", s->name);
	s->mark = MARK_ON_PATH;
	TAILQ_FOREACH (d, &s->depends, entry) {
		if (!check_cycle(ini, d->service))
			return false;
	}
	s->mark = MARK_DONE;
	return true;
}

static bool
check_whole(struct ini *ini, struct reader *r)
{
	struct organisation *o;
	struct service *s;
	struct route *rt;

	if (!resolve(ini, r))
		return false;
	RB_FOREACH (s, service_tree, &r->catalog->services) {
		if (!check_cycle(ini, s))
			return false;
	}
	RB_FOREACH (rt, route_tree, &r->catalog->routes) {
		if (rt->service == NULL)
			return ini_error(ini, rt->line, "add 'service = NAME'",
			    "route '%s' leads to no service", rt->prefix);
	}
	RB_FOREACH (o, organisation_tree, &r->catalog->orgs) {
		if (o->rate == 0 || o->burst == 0)
			return ini_error(ini, o->line,
			    "add 'rate = N' and 'burst = N'",
			    "organisation '%s' has no rate or no burst",
			    o->name);
	}
	if (r->catalog->ndcs == 0)
		return ini_error(ini, 1, "add a [datacentre NAME] section",
		    "no data centre is named");
	return true;
}

static void
references_free(struct reader *r)
{
	struct reference *ref;

	while ((ref = TAILQ_FIRST(&r->references)) != NULL) {
		TAILQ_REMOVE(&r->references, ref, entry);
		free(ref);
	}
}

struct catalog *
text_parse(
    const char *name, const char *text, size_t len, char *err, size_t errlen)
{
	struct reader r = {0};
	struct ini ini = {0};

	r.catalog = catalog_create();
	r.catalog->retries = 3;
	TAILQ_INIT(&r.references);
	ini.name = name;
	ini.state = &r;
	ini.section = on_section;
	ini.value = on_value;
	if (!ini_read(&ini, text, len) || !check_whole(&ini, &r)) {
		snprintf(err, errlen, "%s", ini.err);
		catalog_destroy(r.catalog);
		r.catalog = NULL;
	}
	references_free(&r);
	return r.catalog;
}

static struct catalog *
parse_for_core(const char *text, size_t len, char *err, size_t errlen)
{
	return text_parse("configuration", text, len, err, errlen);
}

const struct catalog_parser text_parser = {parse_for_core};
