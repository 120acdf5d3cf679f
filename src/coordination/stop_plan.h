#ifndef COORDINATION_STOP_PLAN_H
#define COORDINATION_STOP_PLAN_H

#include <glib.h>

#include "base/clock.h"

/*
 * Which requests a host still takes during a graceful stop. Callers that know
 * this host by an older look-up still come for a while. A request that is taken
 * too late would be cut off at the end; refused, it runs at another host.
 *
 * Load: rolling restarts under traffic, with requests that last nearly as long
 * as the time for a stop, and bodies that arrive slowly.
 */

typedef struct {
	msec_t late_at; /* from then on, only what surely ends in time */
	msec_t ends_at; /* what is still in flight is answered */
	msec_t exit_at;
} stop_plan_t;

/**
 * stop_plan_begin() - Plan a stop.
 * @p: set here
 * @now: time
 * @grace_ms: time until the process is killed
 * @linger_ms: time for which callers come by older look-ups
 */
void stop_plan_begin(
    stop_plan_t *p, msec_t now, msec_t grace_ms, msec_t linger_ms);

/**
 * stop_plan_admits() - Whether a request is taken.
 * @p: the plan
 * @now: when it was read whole
 * @need_ms: time within which it is answered or given up
 */
gboolean stop_plan_admits(const stop_plan_t *p, msec_t now, msec_t need_ms);

#endif
