#ifndef COORDINATION_BALANCE_H
#define COORDINATION_BALANCE_H

#include "state/registry.h"

/*
 * Offloads part of the objects of a server that stays busier than the others to
 * the servers that come next in the rank of these objects. Each host decides
 * from loads that all hosts know and changes little at a time, so hosts agree
 * well enough on the server of an object.
 *
 * Loads that need this: a region with few servers to which workspaces are
 * bound, while objects that may run anywhere are spread over all servers; many
 * popular objects that rank the same server first; a server that is slower
 * than the others.
 */

/**
 * balance_tick() - Update the loads, and offload or reclaim objects.
 * @r: the servers
 * @now: time; must be called every BALANCE_TICK_MS
 */
void balance_tick(const registry_t *r, msec_t now);

#define BALANCE_TICK_MS 250

#endif
