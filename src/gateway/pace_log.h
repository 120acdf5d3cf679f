#ifndef GATEWAY_PACE_LOG_H
#define GATEWAY_PACE_LOG_H

#include "base/metrics.h"
#include "coordination/dispatch_pace.h"

/*
 * Logs and counts the changes of the limits of servers that are new or back.
 */
typedef struct {
	metric_id_t begun, back, opened;
	metrics_t *metrics;
} pace_log_t;

/** pace_log_init() - Follow the limits of @pace, which must not outlive @l. */
void pace_log_init(pace_log_t *l, dispatch_pace_t *pace, metrics_t *metrics);

#endif
