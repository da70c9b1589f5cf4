/*
 * catalog - one accepted version of the operators' configuration
 *
 * It holds the services with their dependencies, the organisations with their
 * rates, bursts and key hashes, the routes, the data centres and the policy.
 * config/catalog_ini.h and platform/manifest.c build a catalog from text; the
 * core only looks things up.  A new version of the configuration is a new
 * catalog.  A finished one is not changed, except for max_seen_deadline_ms of
 * its routes.
 *
 *	struct catalog *c = catalog_create();
 *	struct service *s = catalog_add_service(c, "records");
 *	catalog_add_route(c, "/records")->service = s;
 *	route = catalog_route(c, "/records/17");
 *	catalog_destroy(c);
 *
 * The catalog owns everything that its functions return.
 */
#ifndef CORE_CATALOG_H
#define CORE_CATALOG_H

#include <bsd/sys/queue.h>
#include <bsd/sys/tree.h>

#include "core/msg.h"

#define CATALOG_MAX_DCS 32 /* data centres in one configuration */

/* Which results a deployment optimises for. */
enum weighing {
	WEIGHING_RECOVERY, /* short recovery, and the worst-served callers */
	WEIGHING_GOODPUT, /* goodput and few wrongful refusals */
};

/* A service that another one may call. */
struct dependency {
	TAILQ_ENTRY(dependency) entry;
	struct service *service;
};

struct service {
	RB_ENTRY(service) entry;
	TAILQ_HEAD(, dependency) depends; /* owned */
	char name[NAME_LEN];
	int line; /* number of the text's line that declares it */
	int cycle_mark; /* state of the parser's search for cycles */
};

/* An API key, of which only the hash is known. */
struct api_key {
	RB_ENTRY(api_key) entry;
	struct organisation *org;
	uint8_t hash[KEY_HASH_LEN];
};

struct organisation {
	RB_ENTRY(organisation) entry;
	char name[NAME_LEN];
	/* With has_importance, calls rank by it first, then by the route's. */
	bool has_importance;
	enum importance importance;
	double rate; /* calls a second over all daemons; 0: no limit */
	double burst; /* calls over all daemons */
	int line; /* number of the text's line that declares it */
};

/* One of several services that share a route's calls. */
struct weighted_service {
	TAILQ_ENTRY(weighted_service) entry;
	struct service *service;
	double weight; /* its part of the sum of all weights */
};

TAILQ_HEAD(weighted_services, weighted_service);

/* How calls to one host and path prefix are handled. */
struct route {
	RB_ENTRY(route) entry;
	char host[HOST_LEN]; /* empty: any host */
	char prefix[PATH_LEN]; /* of the path; see catalog_route() */
	struct service *service; /* NULL: one of weighted_services */
	struct weighted_services weighted_services;
	/* How many targets may receive bytes of one call; 0: no bound. */
	unsigned int max_targets;
	uint64_t timeout_us; /* bound on a call's deadline; 0: none */
	uint64_t goal_us; /* an answer later than this is worth less; 0: none */
	uint64_t max_seen_deadline_ms; /* longest that callers sent so far */
	enum importance importance;
	bool idempotent; /* its calls may safely run more than once */
	bool open; /* no API key needed */
	/* Refuse calls after this long without confirmation; 0: never. */
	uint64_t max_config_age_us;
	int line; /* number of the text's line that declares it */
};

/* A data centre and the part of each rate and burst that it holds. */
struct datacentre {
	char name[NAME_LEN];
	double weight; /* relative to the sum of all weights */
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
	unsigned int retry_allowance; /* extra tries that a call tree may use */
	/*
	 * The version that the text states of itself, which rises with each
	 * change by the operators; 0: the format or the text states none.
	 */
	uint64_t revision;
};

RB_PROTOTYPE(service_tree, service, entry, service_cmp);
RB_PROTOTYPE(api_key_tree, api_key, entry, api_key_cmp);
RB_PROTOTYPE(organisation_tree, organisation, entry, organisation_cmp);
RB_PROTOTYPE(route_tree, route, entry, route_cmp);

/* Create an empty catalog. */
struct catalog *catalog_create(void);
/* Destroy a catalog and everything in it; NULL is ignored. */
void catalog_destroy(struct catalog *);

/*
 * Each of these adds an object and returns it, or NULL if there is already one
 * of that name, prefix or hash.
 */
struct service *catalog_add_service(struct catalog *, const char *name);
struct organisation *catalog_add_organisation(
    struct catalog *, const char *name);
struct route *catalog_add_route(struct catalog *, const char *prefix);
struct route *catalog_add_host_route(
    struct catalog *, const char *host, const char *prefix);
struct api_key *catalog_add_key(
    struct catalog *, struct organisation *, const uint8_t *hash);

/*
 * Let a service take a part of the route's calls, by its weight; only for a
 * route whose service is NULL.
 */
void route_add_weighted_service(
    struct route *, struct service *, double weight);
/* Allow the service to call another one. */
void service_add_dependency(struct service *, struct service *on);

/* These look up an object by name; NULL if there is none. */
struct service *catalog_service(struct catalog *, const char *name);
struct organisation *catalog_organisation(struct catalog *, const char *name);
/*
 * The organisation of a key's hash, or NULL.  Each comparison of hashes takes
 * the same time wherever they differ.
 */
struct organisation *catalog_key_owner(struct catalog *, const uint8_t *hash);
/*
 * The route for any host with the longest prefix of whole path segments, or
 * NULL.  A prefix that ends in a slash matches only paths with that slash.
 */
struct route *catalog_route(struct catalog *, const char *path);
/* The same among the routes of a host. */
struct route *catalog_host_route(
    struct catalog *, const char *host, const char *path);
/*
 * The route of a request, or NULL: those of its host take precedence over those
 * of any host.
 */
struct route *catalog_request_route(struct catalog *, const struct request *);
/*
 * Whether a call of the route may run more than once.  The route alone says so,
 * whatever the method of the request is.  A call that has no route (NULL) may
 * not.
 */
bool route_may_repeat(const struct route *);
/*
 * The service of one call of a route, or NULL if it has none; draw is a
 * random number in [0, 1).
 */
struct service *route_service(const struct route *, double draw);
/* Whether the first service may call the second. */
bool service_depends_on(const struct service *, const struct service *on);
/*
 * The part of each rate that a data centre holds, from 0 to 1: by weight, or
 * all of it if the configuration names no data centres.
 */
double catalog_dc_fraction(const struct catalog *, const char *dc);

#endif
