#ifndef COORDINATION_CALLER_RETRY_H
#define COORDINATION_CALLER_RETRY_H

#include <glib.h>

#include "base/clock.h"

/*
 * Distinguishes callers who retry after a refusal from those on their first
 * request, by the time for which they will still wait. A caller with much less
 * time left than is usual on the route has waited before. A caller that has
 * waited for longer than the route's objective can't be answered in time any
 * more.
 *
 * The load to handle is a burst of several times what a service can run, in
 * which retrying callers compete with as many first requests.
 */

typedef struct {
	GHashTable *usual; /* route to the usual time budget (ms, a double) */
} caller_retry_t;

void caller_retry_init(caller_retry_t *r);
void caller_retry_finish(caller_retry_t *r);

/**
 * caller_retry_is_late() - Whether a caller has waited too long already.
 * @r: the state; its estimate is updated by each request
 * @route: the route's name
 * @objective_ms: its latency objective; 0: none
 * @left_ms: time for which the caller will still wait
 */
gboolean caller_retry_is_late(
    caller_retry_t *r, const char *route, msec_t objective_ms, msec_t left_ms);

/**
 * caller_retry_wait_ms() - When a caller refused under overload should retry.
 * @left_ms: time for which the caller will still wait
 *
 * Return: the longest time that leaves the caller a second and a third try.
 */
msec_t caller_retry_wait_ms(msec_t left_ms);

#endif
