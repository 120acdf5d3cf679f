#ifndef STATE_ROUTE_EJECT_H
#define STATE_ROUTE_EJECT_H

#include <glib.h>

#include "state/endpoint_stats.h"

/* Of a service's endpoints of one version in one region, one in this many. */
#define ROUTE_EJECT_CAP_DIVISOR 2

/**
 * route_eject_cap() - Hold ejections to their cap.
 * @rows: route_candidate_t of one service, leaving endpoints left out
 * @stats: what is known of endpoints
 *
 * A fault of this host's own looks like a fault of every endpoint. The cap
 * holds for each version in each region. Above it, the endpoints with the
 * lowest failure rate are made usable again.
 */
void route_eject_cap(GArray *rows, const endpoint_stats_t *stats);

#endif
