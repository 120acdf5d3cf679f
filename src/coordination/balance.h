#ifndef COORDINATION_BALANCE_H
#define COORDINATION_BALANCE_H

#include "coordination/fleet.h"
#include "state/registry.h"

/*
 * Decides how much of the load stays where it is placed first. Each host
 * decides from loads that all hosts know and changes little at a time, so hosts
 * agree well enough on the server of an object.
 *
 * A server that stays busier than the others offloads part of its objects to
 * the servers that come next in the rank of these objects. Loads that need
 * this: many popular objects that rank the same server first; a server that is
 * slower than the others. Objects that stay in a region without room move
 * slowly, since no server there has capacity for those that run cold.
 *
 * Objects stay in the region of their callers while it has capacity, and are
 * spread over all regions else. At first each region keeps as many as leave the
 * servers of all regions equally busy if hosts have equal demand. The load that
 * needs this: hundreds of servers in regions that are far apart, some with few
 * servers to which workspaces are bound. Only few objects change region at a
 * time, so that the traffic of a region never moves all at once.
 */

/**
 * balance_tick() - Update the loads, and offload or reclaim objects.
 * @r: the servers
 * @fleet: the hosts
 * @now: time; must be called every BALANCE_TICK_MS
 */
void balance_tick(const registry_t *r, const fleet_t *fleet, msec_t now);

#define BALANCE_TICK_MS 250

#endif
