#ifndef STATE_MANIFEST_H
#define STATE_MANIFEST_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"
#include "state/digest.h"

/*
 * One version of the operators' configuration, for systems in which backend
 * servers register themselves: routes by host name and path prefix, services,
 * and workspaces with their keys. A manifest is built, checked and then never
 * changed. It is freed with its last reference, when the next manifest has
 * replaced it and no request refers to it.
 */

typedef enum {
	MANIFEST_IDEMPOTENT,	 /* may run more than once */
	MANIFEST_NOT_IDEMPOTENT, /* runs at most once */
	MANIFEST_UPLOAD,	 /* runs at most once, with a large body */
} manifest_kind_t;

/* A service that gets part of a route's requests, in proportion to weight. */
typedef struct {
	uint32_t service; /* index into services */
	double weight;
} manifest_target_t;

typedef struct {
	char *name;
	char *host;   /* of the request, in lower case */
	char *prefix; /* of the path; begins and ends with a slash */
	manifest_kind_t kind;
	msec_t timeout_ms;	/* to the final answer; 0: only the caller's */
	msec_t objective_ms;	/* latency objective */
	int64_t priority;	/* 0 is the highest */
	uint32_t max_tries;	/* servers to which one request may be sent */
	gboolean open;		/* needs no key */
	gboolean by_object;	/* a server that has the object is faster */
	GArray *targets;	/* manifest_target_t, at least one */
	char **allowed_regions; /* regions in which it may run; empty: any */
} manifest_route_t;

typedef struct {
	char *name;
	char *health_path;
	uint32_t max_connections; /* of one server, all callers together */
	msec_t warmup_ms; /* time for which a server is cold after its start */
	double warmup_rate; /* most requests per second while cold */
} manifest_service_t;

typedef struct {
	char *name;
	int64_t priority;
	double rate;  /* requests per second, all hosts together; 0: no limit */
	double burst; /* requests */
	char **allowed_regions; /* regions in which its requests may run; empty:
				   any */
} manifest_workspace_t;

/* Largest body of a request, in bytes, if the operators set no limit. */
#define MANIFEST_BODY_MAX_BYTES (64 * 1024 * 1024)

typedef struct {
	uint64_t version;
	gboolean keyed; /* callers need a key, except on open routes */
	uint64_t max_body_bytes;
	GPtrArray *routes;     /* manifest_route_t */
	GPtrArray *services;   /* manifest_service_t */
	GPtrArray *workspaces; /* manifest_workspace_t */
	/* host to GPtrArray of routes, longest prefix first */
	GHashTable *by_host;
	GHashTable *by_key; /* digest_t to manifest_workspace_t */
	guint refs;
} manifest_t;

/** manifest_new() - Create an empty manifest with one reference. */
manifest_t *manifest_new(uint64_t version);
manifest_t *manifest_ref(manifest_t *m);
void manifest_unref(manifest_t *m);

/* Add a row to be filled in; its strings and arrays are freed with @m. */
manifest_route_t *manifest_add_route(manifest_t *m);
manifest_service_t *manifest_add_service(manifest_t *m);
manifest_workspace_t *manifest_add_workspace(manifest_t *m);

/**
 * manifest_add_key() - Add a key of a workspace.
 * @m: the manifest
 * @w: the workspace
 * @key: the key as callers present it; only its digest is kept
 *
 * Return: FALSE if the key already belongs to another workspace.
 */
gboolean manifest_add_key(
    manifest_t *m, manifest_workspace_t *w, const char *key);

/**
 * manifest_service() - Find a service by name.
 *
 * Return: its index, or -1.
 */
int manifest_service(const manifest_t *m, const char *name);

/**
 * manifest_seal() - Check the manifest and build its indexes.
 * @m: the manifest; must not change afterwards
 * @err: set if a route is invalid (host or service missing, prefix without a
 *	slash at either end, no tries, negative time, no weight) or if two
 *	routes have the same host and prefix
 *
 * Return: whether the manifest is valid and can be put in force.
 */
gboolean manifest_seal(manifest_t *m, GError **err);

/**
 * manifest_match() - Find the route of a request.
 * @m: the manifest
 * @host: host name of the request, with or without a port
 * @path: path; a query may follow
 *
 * Return: the route of that host with the longest prefix, or NULL.
 */
const manifest_route_t *manifest_match(
    const manifest_t *m, const char *host, const char *path);

/**
 * manifest_caller() - Find the workspace of a key.
 *
 * Return: the workspace, or NULL for an unknown key.
 */
const manifest_workspace_t *manifest_caller(
    const manifest_t *m, const char *key);

/**
 * manifest_allows() - Whether a request may run in a region.
 * @r: its route
 * @w: its workspace, or NULL
 * @region: the region
 *
 * Both the route and the workspace must allow the region.
 */
gboolean manifest_allows(const manifest_route_t *r,
    const manifest_workspace_t *w, const char *region);

#endif
