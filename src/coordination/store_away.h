#ifndef COORDINATION_STORE_AWAY_H
#define COORDINATION_STORE_AWAY_H

#include "coordination/fleet.h"

/*
 * Decides whether the store itself was away. Only then may an entry be missing
 * because its server could not renew it. A host that was cut off from the store
 * learns from the hosts that were not that the store held what it says now; its
 * own silence says nothing.
 *
 * Load: hosts, regions or zones cut off from the store for seconds while
 * servers leave, and a store that is away for all hosts for seconds.
 */

typedef struct {
	msec_t since;	 /* since when no host reaches the store; 0: some do */
	msec_t ended_at; /* when it last was away; 0: never */
} store_away_t;

/**
 * store_away_tick() - Process what is known of the hosts.
 * @a: the state
 * @f: the hosts
 * @reaches: whether this host reaches the store
 * @now: time
 */
void store_away_tick(
    store_away_t *a, const fleet_t *f, gboolean reaches, msec_t now);

/**
 * store_away_lapse_until() - Until when a missing entry may only have lapsed.
 *
 * Return: the time; one that has passed if the store was not away.
 */
msec_t store_away_lapse_until(const store_away_t *a);

#endif
