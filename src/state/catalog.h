#ifndef STATE_CATALOG_H
#define STATE_CATALOG_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"

/*
 * The operators' configuration in force, as tables. A handle is an index into
 * its table. It is valid for one catalog only, so state that outlives a change
 * of configuration refers to names. A catalog never changes once it is built:
 * a new version of the configuration is a new catalog.
 */

typedef uint16_t region_id_t;
typedef uint16_t domain_id_t;
typedef uint16_t service_id_t;
typedef uint16_t endpoint_id_t;
typedef uint16_t route_id_t;
typedef uint16_t workspace_id_t;

/* No row; returned by a look-up by name that finds none. */
#define ID_NONE UINT16_MAX

typedef struct {
	char *name;
} region_t;

typedef struct {
	char *name; /* unique in the fleet, for instance "milano-a" */
	region_id_t region;
} domain_t;

typedef struct {
	region_id_t from, to;
	uint32_t one_way_ms;
	uint64_t bits_per_sec; /* each way; 0: no limit */
} link_t;

typedef struct {
	char *name;
	GArray *depends; /* service_id_t */
	uint32_t timeout_ms;
	uint32_t typical_ms; /* of one request; 0: not stated */
	char *version;	     /* serves all requests while no rollout runs */
} service_t;

typedef struct {
	char *name;
	service_id_t service;
	domain_id_t domain;
	char *address; /* "IP:PORT" */
	char *version;
	uint16_t slots;	      /* concurrent requests */
	uint16_t connections; /* TCP connections from all hosts together */
} endpoint_t;

typedef struct {
	service_id_t service;
	char *method; /* "*" for any */
	char *prefix; /* of the path */
	gboolean open;
	gboolean idempotent;
} route_t;

typedef struct {
	char *name;
	double rate;  /* requests per second across the fleet */
	double burst; /* requests across the fleet */
} workspace_t;

typedef struct {
	uint16_t hosts; /* most entry hosts; a limit is split by this number */
	double shift_cap; /* largest part of a service's traffic moved, 0..1 */
	double rollout_cap;   /* largest share of an unproven version, 0..1 */
	uint32_t rollout_sec; /* default time to finish a rollout */
	uint32_t lookup_ttl_sec; /* how long a look-up may be cached */
	double spill_cap; /* part of a region's slots for other regions, 0..1 */
} caps_t;

typedef struct {
	uint64_t version;   /* of the configuration; 0: none */
	GArray *regions;    /* region_t */
	GArray *domains;    /* domain_t */
	GArray *links;	    /* link_t */
	GArray *services;   /* service_t */
	GArray *endpoints;  /* endpoint_t */
	GArray *routes;	    /* route_t, longest prefix first */
	GArray *workspaces; /* workspace_t */
	caps_t caps;
} catalog_t;

#define CATALOG_ROW(c, table, type, id) (&g_array_index((c)->table, type, id))

void catalog_init(catalog_t *c);
void catalog_finish(catalog_t *c);

const service_t *catalog_service(const catalog_t *c, service_id_t id);
const endpoint_t *catalog_endpoint(const catalog_t *c, endpoint_id_t id);
const workspace_t *catalog_workspace(const catalog_t *c, workspace_id_t id);
const domain_t *catalog_domain(const catalog_t *c, domain_id_t id);
const region_t *catalog_region(const catalog_t *c, region_id_t id);

/* Look-ups by name; each returns ID_NONE where there is no such row. */
region_id_t catalog_find_region(const catalog_t *c, const char *name);
domain_id_t catalog_find_domain(const catalog_t *c, const char *name);
service_id_t catalog_find_service(const catalog_t *c, const char *name);
workspace_id_t catalog_find_workspace(const catalog_t *c, const char *name);
endpoint_id_t catalog_find_endpoint(const catalog_t *c, const char *name);

/**
 * catalog_route() - Find the route of a request.
 * @c: the catalog
 * @service: service asked for
 * @method: HTTP method
 * @path: path within the service, without the query
 *
 * Return: the route with the longest matching prefix, or NULL.
 */
const route_t *catalog_route(const catalog_t *c, service_id_t service,
    const char *method, const char *path);

/**
 * catalog_one_way_ms() - Latency of the link between two regions.
 * @c: the catalog
 * @from: one region
 * @to: the other
 *
 * Return: milliseconds one way; 0 within a region or without such a link.
 */
uint32_t catalog_one_way_ms(
    const catalog_t *c, region_id_t from, region_id_t to);

#endif
