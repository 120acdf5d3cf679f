#ifndef STATE_MANIFEST_H
#define STATE_MANIFEST_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"
#include "state/digest.h"

/*
 * One version of the operators' configuration where backend servers register
 * themselves: routes by host name and path prefix, services, workspaces with
 * their keys. A manifest is built once, checked, and never changed; its owner
 * frees it when the next one has replaced it and no request refers to it.
 */

typedef enum {
	MANIFEST_IDEMPOTENT,	 /* may run more than once */
	MANIFEST_NOT_IDEMPOTENT, /* runs at most once */
	MANIFEST_UPLOAD,	 /* the same, with a large body */
} manifest_kind_t;

/* A service that takes part of a route's requests. */
typedef struct {
	uint32_t service; /* index into services */
	uint32_t weight;
} manifest_target_t;

typedef struct {
	char *name;
	char *host;   /* of the request, in lower case */
	char *prefix; /* of the path; begins and ends with a slash */
	manifest_kind_t kind;
	msec_t timeout_ms;   /* to the final answer; 0: the caller's alone */
	msec_t objective_ms; /* latency objective */
	int64_t priority;    /* 0 is the highest */
	uint32_t
	    max_tries; /* backend servers that one request may be sent to */
	gboolean open; /* needs no key */
	gboolean by_object; /* a server that knows the object is faster */
	GArray *targets;    /* manifest_target_t, at least one */
	char **homes;	    /* regions it may run in; empty: any */
} manifest_route_t;

typedef struct {
	char *name;
	char *health_path;
	uint32_t max_connections; /* of one server, all callers together */
	msec_t warmup_ms;   /* for which a server is cold after its start */
	double warmup_rate; /* requests a second a cold server bears */
} manifest_service_t;

typedef struct {
	char *name;
	int64_t priority;
	double rate;  /* requests a second, all hosts together; 0: no limit */
	double burst; /* requests */
	char **homes; /* regions its requests may run in; empty: any */
} manifest_workspace_t;

/* Largest body of a request where the operators set none, bytes. */
#define MANIFEST_BODY_MAX_BYTES (64 * 1024 * 1024)

typedef struct {
	uint64_t version;
	gboolean keyed; /* callers need a key, but for open routes */
	uint64_t max_body_bytes;
	GPtrArray *routes;     /* manifest_route_t */
	GPtrArray *services;   /* manifest_service_t */
	GPtrArray *workspaces; /* manifest_workspace_t */
	GHashTable *by_host;   /* host to GPtrArray of routes, longest first */
	GHashTable *by_key;    /* digest_t to manifest_workspace_t */
	guint refs;
} manifest_t;

/** manifest_new() - An empty manifest with one reference. */
manifest_t *manifest_new(uint64_t version);
manifest_t *manifest_ref(manifest_t *m);
void manifest_unref(manifest_t *m);

/* Rows for the builder; strings and arrays are theirs until freed with it. */
manifest_route_t *manifest_add_route(manifest_t *m);
manifest_service_t *manifest_add_service(manifest_t *m);
manifest_workspace_t *manifest_add_workspace(manifest_t *m);

/**
 * manifest_add_key() - Give a workspace a key.
 * @m: the manifest
 * @w: the workspace
 * @key: the key as callers present it; only its digest is kept
 *
 * Return: FALSE if another workspace holds the key.
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
 * manifest_seal() - Check the whole and build the indexes.
 * @m: the manifest; must not change afterwards
 * @err: set if a rule is broken: empty or bare prefix, no try, no weight,
 *	two routes in one place
 *
 * Return: whether it can be put in force.
 */
gboolean manifest_seal(manifest_t *m, GError **err);

/**
 * manifest_match() - The route of a request.
 * @m: the manifest
 * @host: name that was asked for, with or without a port
 * @path: path, a query may follow
 *
 * Return: the route of that host with the longest prefix, or NULL.
 */
const manifest_route_t *manifest_match(
    const manifest_t *m, const char *host, const char *path);

/**
 * manifest_caller() - The workspace that holds a key.
 *
 * Return: the workspace, or NULL for an unknown key.
 */
const manifest_workspace_t *manifest_caller(
    const manifest_t *m, const char *key);

/**
 * manifest_allows() - May a request run in a region?
 * @r: its route
 * @w: its workspace, or NULL
 * @region: the region
 */
gboolean manifest_allows(const manifest_route_t *r,
    const manifest_workspace_t *w, const char *region);

#endif
