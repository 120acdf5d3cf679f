#ifndef COORDINATION_ADMISSION_H
#define COORDINATION_ADMISSION_H

#include "state/manifest.h"

/*
 * Decides by route and API key whether a request may run, and picks the
 * service if the route is split. Owns the manifest in force, whose version
 * never goes back. Rate limits are not checked here, see rate_lender.h.
 */

typedef struct {
	manifest_t *manifest; /* in force; NULL until the first one arrives */
	GHashTable *splits;   /* route to route_split_t */
} admission_state_t;

typedef enum {
	ADMISSION_OK,
	ADMISSION_NO_MANIFEST,
	ADMISSION_NO_ROUTE,
	ADMISSION_NO_KEY,
	ADMISSION_TOO_LARGE,
} admission_verdict_t;

typedef struct {
	const char *host; /* that the caller asked for, or NULL */
	const char *path;
	const char *key; /* or NULL */
	size_t body_bytes;
} admission_request_t;

/* A decision. Its pointers are valid while it holds the manifest. */
typedef struct {
	admission_verdict_t verdict;
	manifest_t *manifest; /* a reference; NULL if none is in force */
	const manifest_route_t *route;
	const manifest_workspace_t *workspace; /* NULL on open routes */
	const manifest_service_t *service;
} admission_t;

void admission_init(admission_state_t *s);
void admission_finish(admission_state_t *s);

/**
 * admission_set_manifest() - Put a manifest in force.
 * @s: the state
 * @m: the manifest; a reference is taken
 *
 * Return: FALSE if @m is not newer than the manifest in force.
 */
gboolean admission_set_manifest(admission_state_t *s, manifest_t *m);

/**
 * admission_decide() - Decide about a request.
 * @s: the state
 * @request: the request
 *
 * Return: the decision; the caller must pass it to admission_clear().
 */
admission_t admission_decide(
    admission_state_t *s, const admission_request_t *request);
void admission_clear(admission_t *a);

#endif
