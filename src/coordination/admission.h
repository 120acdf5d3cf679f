#ifndef COORDINATION_ADMISSION_H
#define COORDINATION_ADMISSION_H

#include "coordination/fleet.h"
#include "coordination/rate_share.h"
#include "state/manifest.h"

/*
 * Decides whether a request may run: by its route, its key, its workspace's
 * rate and burst, and picks the service of a route that is split. Owns the
 * manifest in force; versions never go back.
 */

typedef struct {
	double rate_overage; /* part over its rate that a workspace may reach */
	double rate_slack;   /* requests beyond that, in a window */
} admission_bounds_t;

typedef struct {
	admission_bounds_t bounds;
	manifest_t *manifest; /* NULL until the first */
	GHashTable *limits;   /* workspace to workspace_limit_t */
	GHashTable *splits;   /* route to route_split_t */
} admission_state_t;

typedef enum {
	ADMISSION_OK,
	ADMISSION_NO_MANIFEST,
	ADMISSION_NO_ROUTE,
	ADMISSION_NO_KEY,
	ADMISSION_TOO_LARGE,
	ADMISSION_OVER_RATE,
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
	gboolean counted; /* a token of the workspace was taken */
	msec_t wait_ms;	  /* of ADMISSION_OVER_RATE */
} admission_t;

void admission_init(admission_state_t *s, const admission_bounds_t *bounds);
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
 * @now: time
 *
 * Return: the decision; admission_clear() is due.
 */
admission_t admission_decide(
    admission_state_t *s, const admission_request_t *request, msec_t now);
void admission_clear(admission_t *a);

/** admission_return() - The request did not run: give its token back. */
void admission_return(admission_state_t *s, admission_t *a);

/**
 * admission_tick() - Divide rates anew and measure demand.
 * @s: the state
 * @f: the hosts
 * @now: time
 */
void admission_tick(admission_state_t *s, const fleet_t *f, msec_t now);

/** admission_demands() - This host's demands, for a beacon to all. */
void admission_demands(admission_state_t *s, GArray *amounts);

#endif
