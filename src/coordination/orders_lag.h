#ifndef COORDINATION_ORDERS_LAG_H
#define COORDINATION_ORDERS_LAG_H

#include <glib.h>

#include "base/clock.h"

/*
 * Whether other hosts have newer orders than this one. A host that is behind
 * can't tell whether a route or a key that it lacks was added. It goes on
 * serving by what it has: a third of the hosts may be cut off from the store at
 * a time, and the others could not take their callers.
 *
 * Load: hosts that the store does not reach, or that it reaches late, while the
 * others go on.
 */

typedef struct {
	uint64_t known; /* every order up to this version is known here */
	uint64_t heard; /* newest version that a peer has */
	msec_t since;	/* when a peer first had a newer one; 0: not behind */
} orders_lag_t;

/** orders_lag_known() - Every order up to @ver is known here. */
void orders_lag_known(orders_lag_t *l, uint64_t ver);

/** orders_lag_heard() - A peer knows an order of version @ver. */
void orders_lag_heard(orders_lag_t *l, uint64_t ver, msec_t now);

/** orders_lag_is_behind() - Whether a peer has newer orders. */
gboolean orders_lag_is_behind(const orders_lag_t *l);

/** orders_lag_ms() - Time since a peer was first ahead; 0 if none is. */
msec_t orders_lag_ms(const orders_lag_t *l, msec_t now);

#endif
