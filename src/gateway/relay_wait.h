#ifndef GATEWAY_RELAY_WAIT_H
#define GATEWAY_RELAY_WAIT_H

#include "base/metrics.h"
#include "coordination/urgency_queue.h"

/* Counters of priority classes. Class 0 is the most urgent one; classes from
 * URGENCY_CLASSES - 1 on are counted together. */

typedef enum {
	CLASS_SENT,
	CLASS_WAITED,
	CLASS_YIELDED,
	CLASS_REJECTED,
	CLASS_EVENTS,
} class_event_t;

typedef struct {
	metric_id_t events[URGENCY_CLASSES][CLASS_EVENTS];
	metric_id_t wait_ms[URGENCY_CLASSES];
} class_counters_t;

/** class_counters_init() - Register the counters. */
void class_counters_init(class_counters_t *c, metrics_t *m);

#endif
