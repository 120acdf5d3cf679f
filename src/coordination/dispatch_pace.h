#ifndef COORDINATION_DISPATCH_PACE_H
#define COORDINATION_DISPATCH_PACE_H

#include "coordination/server_pace.h"

/*
 * Applies server_pace to the servers of the registry: what is known of the rest
 * of a service, and how long responses of a route usually take.
 */

/* Called after the state of a server's limit changed, or a step back. */
typedef void (*dispatch_pace_changed_t)(
    void *arg, const backend_t *b, pace_state_t before, pace_change_t change);

typedef struct {
	GHashTable *usual_ms;		 /* route to double; smoothed */
	dispatch_pace_changed_t changed; /* NULL: none */
	void *arg;
} dispatch_pace_t;

/* One request, and what this host knows of the server's hosts. */
typedef struct {
	uint64_t object;
	gboolean by_object;
	gboolean others_full; /* no other server can take it */
	guint rank, hosts;
} pace_request_t;

void dispatch_pace_init(dispatch_pace_t *d);
void dispatch_pace_finish(dispatch_pace_t *d);

/**
 * dispatch_pace_applies() - Whether the server is or becomes limited.
 * @b: the server
 * @warms_up: its service has a warm-up
 * @now: time
 */
gboolean dispatch_pace_applies(
    const backend_t *b, gboolean warms_up, msec_t now);

/**
 * dispatch_pace_allows() - Whether a server to which the pace applies may get a
 * request.
 * @d: the state
 * @b: the server; its limit is updated
 * @warms_up: its service has a warm-up
 * @request: the request
 * @now: time
 */
gboolean dispatch_pace_allows(dispatch_pace_t *d, backend_t *b,
    gboolean warms_up, const pace_request_t *request, msec_t now);

/**
 * dispatch_pace_tick() - Update the limits of all servers.
 *
 * A host of a large fleet gets too few requests to do so with each of them.
 */
void dispatch_pace_tick(dispatch_pace_t *d, const registry_t *r, msec_t now);

/**
 * dispatch_pace_ended() - Count the end of a request.
 * @d: the state
 * @b: the server
 * @end: how it ended
 * @route: name of the request's route
 * @took_ms: time since the request was sent; 0: no response
 * @load: requests at the server when the request was sent
 * @now: time
 */
void dispatch_pace_ended(dispatch_pace_t *d, backend_t *b, pace_end_t end,
    const char *route, double took_ms, double load, msec_t now);

#endif
