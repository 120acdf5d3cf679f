#ifndef COORDINATION_ADMISSION_H
#define COORDINATION_ADMISSION_H

#include "state/manifest.h"

/*
 * Decides whether a request may run: by its route and its key; picks the
 * service of a route that is split. Owns the manifest in force; versions never
 * go back. Rates are another matter, see rate_lender.h.
 */

typedef struct {
	manifest_t *manifest; /* NULL until the first */
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
	const char *host; /* that was asked for, or NULL */
	const char *path;
	const char *key; /* or NULL */
	size_t body_bytes;
} admission_request_t;

/* A decision. What it points to is good as long as the manifest is. */
typedef struct {
	admission_verdict_t verdict;
	manifest_t *manifest; /* a reference; NULL if there is none */
	const manifest_route_t *route;
	const manifest_workspace_t *workspace; /* NULL on open routes */
	const manifest_service_t *service;
} admission_t;

void admission_init(admission_state_t *s);
void admission_finish(admission_state_t *s);

/**
 * admission_take_manifest() - Put a manifest in force.
 * @s: the state
 * @m: the manifest; a reference is taken
 *
 * Return: FALSE if it is not newer than the one in force.
 */
gboolean admission_take_manifest(admission_state_t *s, manifest_t *m);

/**
 * admission_decide() - Decide about a request.
 * @s: the state
 * @request: the request
 *
 * Return: the decision; admission_clear() is due.
 */
admission_t admission_decide(
    admission_state_t *s, const admission_request_t *request);
void admission_clear(admission_t *a);

#endif
