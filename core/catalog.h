/*
 * catalog - one accepted version of what the operators submitted
 *
 * Services and their dependencies, organisations with rate, burst and key
 * hashes, routes, data centres and the policy.  config/text.h builds one
 * from text; the core only looks things up.  A catalog does not change once
 * it is built: a new version is a new catalog.
 *
 *	struct catalog *c = catalog_create();
 *	struct service *s = catalog_add_service(c, "records");
 *	route = catalog_route(c, "/records/17");
 *	catalog_destroy(c);
 *
 * The catalog owns everything that its lookups return.
 */
#ifndef CORE_CATALOG_H
#define CORE_CATALOG_H

#include <bsd/sys/queue.h>
#include <bsd/sys/tree.h>

#include "core/msg.h"

#define CATALOG_MAX_DCS 32 /* data centres in one configuration */

/* Which outcome a deployment weighs most. */
enum weighing {
	WEIGHING_RECOVERY, /* recovery time and the worst-served */
	WEIGHING_GOODPUT, /* goodput and few wrongful refusals */
};

struct dependency {
	TAILQ_ENTRY(dependency) entry;
	struct service *service;
};

struct service {
	RB_ENTRY(service) entry;
	TAILQ_HEAD(, dependency) depends;
	char name[NAME_LEN];
	int line; /* where the text declares it */
	int mark; /* used by the check for cycles */
};

struct api_key {
	RB_ENTRY(api_key) entry;
	struct organisation *org;
	uint8_t hash[KEY_HASH_LEN];
};

struct organisation {
	RB_ENTRY(organisation) entry;
	char name[NAME_LEN];
	bool has_importance; /* its calls have this one, not the route's */
	enum importance importance;
	double rate; /* calls a second over the whole fleet; 0: no limit */
	double burst; /* calls over the whole fleet */
	int line;
};

/* A service that takes a part of a route's calls. */
struct route_part {
	TAILQ_ENTRY(route_part) entry;
	struct service *service;
	double weight;
};

TAILQ_HEAD(route_parts, route_part);

struct route {
	RB_ENTRY(route) entry;
	char host[HOST_LEN]; /* empty: any */
	char prefix[PATH_LEN];
	struct service *service; /* NULL if parts share the calls */
	struct route_parts parts;
	unsigned int max_targets; /* that one call may reach; 0: no bound */
	uint64_t timeout_us; /* a call is answered by then; 0: no bound */
	uint64_t goal_us; /* an answer is worth most until then; 0: none */
	uint64_t longest_ms; /* deadline that a caller named, so far */
	enum importance importance;
	bool idempotent;
	bool open; /* no key needed */
	uint64_t stale_us; /* refuse when cut off for longer; 0: never */
	int line;
};

struct datacentre {
	char name[NAME_LEN];
	double weight; /* its part of every rate and burst */
};

RB_HEAD(service_tree, service);
RB_HEAD(api_key_tree, api_key);
RB_HEAD(organisation_tree, organisation);
RB_HEAD(route_tree, route);

struct catalog {
	struct service_tree services;
	struct api_key_tree keys;
	struct organisation_tree orgs;
	struct route_tree routes;
	struct datacentre dcs[CATALOG_MAX_DCS];
	int ndcs;
	struct caller_limits limits;
	enum weighing weighing;
	unsigned int retries; /* extra tries that a call tree may use */
};

RB_PROTOTYPE(service_tree, service, entry, service_cmp);
RB_PROTOTYPE(api_key_tree, api_key, entry, api_key_cmp);
RB_PROTOTYPE(organisation_tree, organisation, entry, organisation_cmp);
RB_PROTOTYPE(route_tree, route, entry, route_cmp);

struct catalog *catalog_create(void);
void catalog_destroy(struct catalog *);

/* Each add returns NULL if the name is there already. */
struct service *catalog_add_service(struct catalog *, const char *name);
struct organisation *catalog_add_organisation(
    struct catalog *, const char *name);
struct route *catalog_add_route(struct catalog *, const char *prefix);
struct route *catalog_add_host_route(
    struct catalog *, const char *host, const char *prefix);
void route_add_part(struct route *, struct service *, double weight);
struct api_key *catalog_add_key(
    struct catalog *, struct organisation *, const uint8_t *hash);
void service_add_dependency(struct service *, struct service *on);

struct service *catalog_service(struct catalog *, const char *name);
struct organisation *catalog_organisation(struct catalog *, const char *name);
/* The organisation that a key's hash belongs to, in constant time a key. */
struct organisation *catalog_key_owner(struct catalog *, const uint8_t *hash);
/*
 * The route with the longest prefix of whole path segments, or NULL.  A
 * prefix that ends in a slash matches only paths with that slash.
 */
struct route *catalog_route(struct catalog *, const char *path);
/* The same among the routes of a host. */
struct route *catalog_host_route(
    struct catalog *, const char *host, const char *path);
/* The service of one call of a route; draw is a number in [0, 1). */
struct service *route_service(const struct route *, double draw);
bool service_depends_on(const struct service *, const struct service *);
/*
 * The part of a rate that a data centre holds, from 0 to 1; all of it where
 * the configuration names no data centres.
 */
double catalog_dc_part(const struct catalog *, const char *dc);

#endif
