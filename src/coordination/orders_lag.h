#ifndef COORDINATION_ORDERS_LAG_H
#define COORDINATION_ORDERS_LAG_H

#include "coordination/fleet.h"

/*
 * Whether other hosts have newer orders than this one, and what it may still
 * decide by its own. A host that is behind can't tell whether a route or a key
 * that it lacks was added, and may send requests by a route that was changed.
 *
 * Load: one host or a few that the store does not reach, or that reach it late,
 * while the others go on. If many hosts are cut off from the store, their
 * callers have nobody else to go to, so they serve by what they know.
 */

typedef struct {
	uint64_t known; /* every order up to this version is known here */
	uint64_t heard; /* newest version that a peer has */
	msec_t since;	/* when a peer first had a newer one; 0: not behind */
} orders_lag_t;

typedef enum {
	ORDERS_CURRENT,
	ORDERS_BEHIND,	/* refusals by orders are not certain */
	ORDERS_OUTDATED /* other hosts serve the callers */
} orders_state_t;

/** orders_lag_known() - Every order up to @ver is known here. */
void orders_lag_known(orders_lag_t *l, uint64_t ver);

/** orders_lag_heard() - A peer knows an order of version @ver. */
void orders_lag_heard(orders_lag_t *l, uint64_t ver, msec_t now);

/** orders_lag_ms() - Time since a peer was first ahead; 0 if none is. */
msec_t orders_lag_ms(const orders_lag_t *l, msec_t now);

/**
 * orders_lag_state() - What this host may decide by its orders.
 * @l: the lag
 * @fleet: the hosts, some of which may reach the store
 * @now: time
 */
orders_state_t orders_lag_state(
    const orders_lag_t *l, const fleet_t *fleet, msec_t now);

#endif
