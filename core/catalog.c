#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "core/catalog.h"

static int
service_cmp(struct service *a, struct service *b)
{
	return strcmp(a->name, b->name);
}

/* sodium_compare() takes the same time wherever the hashes differ. */
static int
api_key_cmp(struct api_key *a, struct api_key *b)
{
	return sodium_compare(a->hash, b->hash, KEY_HASH_LEN);
}

static int
organisation_cmp(struct organisation *a, struct organisation *b)
{
	return strcmp(a->name, b->name);
}

static int
route_cmp(struct route *a, struct route *b)
{
	int ret = strcmp(a->host, b->host);

	return ret != 0 ? ret : strcmp(a->prefix, b->prefix);
}

RB_GENERATE(service_tree, service, entry, service_cmp);
RB_GENERATE(api_key_tree, api_key, entry, api_key_cmp);
RB_GENERATE(organisation_tree, organisation, entry, organisation_cmp);
RB_GENERATE(route_tree, route, entry, route_cmp);

struct catalog *
catalog_create(void)
{
	struct catalog *c = xcalloc(1, sizeof(*c));

	RB_INIT(&c->services);
	RB_INIT(&c->keys);
	RB_INIT(&c->orgs);
	RB_INIT(&c->routes);
	return c;
}

static void
service_destroy(struct service *s)
{
	struct dependency *d;

	while ((d = TAILQ_FIRST(&s->depends)) != NULL) {
		TAILQ_REMOVE(&s->depends, d, entry);
		free(d);
	}
	free(s);
}

static void
route_destroy(struct route *r)
{
	struct weighted_service *w;

	while ((w = TAILQ_FIRST(&r->weighted_services)) != NULL) {
		TAILQ_REMOVE(&r->weighted_services, w, entry);
		free(w);
	}
	free(r);
}

void
catalog_destroy(struct catalog *c)
{
	struct service *s;
	struct api_key *k;
	struct organisation *o;
	struct route *r;

	if (c == NULL)
		return;
	while ((s = RB_ROOT(&c->services)) != NULL) {
		RB_REMOVE(service_tree, &c->services, s);
		service_destroy(s);
	}
	while ((k = RB_ROOT(&c->keys)) != NULL) {
		RB_REMOVE(api_key_tree, &c->keys, k);
		free(k);
	}
	while ((o = RB_ROOT(&c->orgs)) != NULL) {
		RB_REMOVE(organisation_tree, &c->orgs, o);
		free(o);
	}
	while ((r = RB_ROOT(&c->routes)) != NULL) {
		RB_REMOVE(route_tree, &c->routes, r);
		route_destroy(r);
	}
	free(c);
}

struct service *
catalog_add_service(struct catalog *c, const char *name)
{
	struct service *s = xcalloc(1, sizeof(*s));

	TAILQ_INIT(&s->depends);
	name_copy(s->name, name, sizeof(s->name));
	if (RB_INSERT(service_tree, &c->services, s) != NULL) {
		free(s);
		return NULL;
	}
	return s;
}

struct organisation *
catalog_add_organisation(struct catalog *c, const char *name)
{
	struct organisation *o = xcalloc(1, sizeof(*o));

	name_copy(o->name, name, sizeof(o->name));
	if (RB_INSERT(organisation_tree, &c->orgs, o) != NULL) {
		free(o);
		return NULL;
	}
	return o;
}

struct route *
catalog_add_route(struct catalog *c, const char *prefix)
{
	return catalog_add_host_route(c, "", prefix);
}

struct route *
catalog_add_host_route(struct catalog *c, const char *host, const char *prefix)
{
	struct route *r = xcalloc(1, sizeof(*r));

	TAILQ_INIT(&r->weighted_services);
	name_copy(r->host, host, sizeof(r->host));
	name_copy(r->prefix, prefix, sizeof(r->prefix));
	r->importance = IMPORTANCE_NORMAL;
	if (RB_INSERT(route_tree, &c->routes, r) != NULL) {
		free(r);
		return NULL;
	}
	return r;
}

struct api_key *
catalog_add_key(struct catalog *c, struct organisation *o, const uint8_t *hash)
{
	struct api_key *k = xcalloc(1, sizeof(*k));

	k->org = o;
	memcpy(k->hash, hash, KEY_HASH_LEN);
	if (RB_INSERT(api_key_tree, &c->keys, k) != NULL) {
		free(k);
		return NULL;
	}
	return k;
}

void
service_add_dependency(struct service *s, struct service *on)
{
	struct dependency *d = xcalloc(1, sizeof(*d));

	d->service = on;
	TAILQ_INSERT_TAIL(&s->depends, d, entry);
}

struct service *
catalog_service(struct catalog *c, const char *name)
{
	struct service want;

	name_copy(want.name, name, sizeof(want.name));
	return RB_FIND(service_tree, &c->services, &want);
}

struct organisation *
catalog_organisation(struct catalog *c, const char *name)
{
	struct organisation want;

	name_copy(want.name, name, sizeof(want.name));
	return RB_FIND(organisation_tree, &c->orgs, &want);
}

struct organisation *
catalog_key_owner(struct catalog *c, const uint8_t *hash)
{
	struct api_key want, *k;

	memcpy(want.hash, hash, KEY_HASH_LEN);
	k = RB_FIND(api_key_tree, &c->keys, &want);
	return k != NULL ? k->org : NULL;
}

void
route_add_weighted_service(
    struct route *r, struct service *service, double weight)
{
	struct weighted_service *w = xcalloc(1, sizeof(*w));

	w->service = service;
	w->weight = weight;
	TAILQ_INSERT_TAIL(&r->weighted_services, w, entry);
}

struct service *
route_service(const struct route *r, double draw)
{
	const struct weighted_service *w, *last = NULL;
	double sum = 0;

	if (r->service != NULL)
		return r->service;
	TAILQ_FOREACH (w, &r->weighted_services, entry)
		sum += w->weight;
	draw *= sum;
	TAILQ_FOREACH (w, &r->weighted_services, entry) {
		if (w->weight <= 0)
			continue;
		last = w;
		if (draw < w->weight)
			break;
		draw -= w->weight;
	}
	return last != NULL ? last->service : NULL;
}

struct route *
catalog_route(struct catalog *c, const char *path)
{
	return catalog_host_route(c, "", path);
}

struct route *
catalog_host_route(struct catalog *c, const char *host, const char *path)
{
	struct route want, *r;
	size_t len;

	name_copy(want.host, host, sizeof(want.host));
	name_copy(want.prefix, path, sizeof(want.prefix));
	want.prefix[strcspn(want.prefix, "?")] = '\0';
	len = strlen(want.prefix);
	/* Shorten the path to each slash: first with it, then without. */
	for (;;) {
		r = RB_FIND(route_tree, &c->routes, &want);
		if (r != NULL || len <= 1)
			return r;
		if (want.prefix[len - 1] == '/')
			len--;
		else
			while (len > 0 && want.prefix[len - 1] != '/')
				len--;
		want.prefix[len] = '\0';
	}
}

struct route *
catalog_request_route(struct catalog *c, const struct request *req)
{
	struct route *r = NULL;

	if (req->host[0] != '\0')
		r = catalog_host_route(c, req->host, req->path);
	return r != NULL ? r : catalog_route(c, req->path);
}

bool
route_may_repeat(const struct route *r)
{
	return r != NULL && r->idempotent;
}

bool
service_depends_on(const struct service *s, const struct service *on)
{
	const struct dependency *d;

	TAILQ_FOREACH (d, &s->depends, entry) {
		if (d->service == on)
			return true;
	}
	return false;
}

double
catalog_dc_fraction(const struct catalog *c, const char *dc)
{
	double sum = 0, own = 0;
	int i;

	for (i = 0; i < c->ndcs; i++) {
		sum += c->dcs[i].weight;
		if (strcmp(c->dcs[i].name, dc) == 0)
			own = c->dcs[i].weight;
	}
	if (c->ndcs == 0)
		return 1;
	return sum > 0 ? own / sum : 0;
}
