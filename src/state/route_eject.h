#ifndef STATE_ROUTE_EJECT_H
#define STATE_ROUTE_EJECT_H

#include <glib.h>

#include "state/endpoint_stats.h"

/* At most one in this many of a service's endpoints of the same version and
 * region may be ejected. */
#define ROUTE_EJECT_CAP_DIVISOR 2

/**
 * route_eject_cap() - Limit the number of ejected endpoints.
 * @rows: route_candidate_t of one service; none of an endpoint that is leaving
 * @stats: statistics of the endpoints
 *
 * A fault of this host looks like a fault of every endpoint, so only part of
 * the endpoints may be ejected. The cap applies to each version in each
 * region. Above it, the endpoints with the lowest failure rate are made usable
 * again.
 */
void route_eject_cap(GArray *rows, const endpoint_stats_t *stats);

#endif
