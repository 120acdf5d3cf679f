#ifndef GATEWAY_CONTROL_BYTES_H
#define GATEWAY_CONTROL_BYTES_H

#include "base/clock.h"
#include "base/metrics.h"
#include "coordination/fleet.h"

/*
 * Counts the bytes that this host sends to other hosts, by the distance that
 * they go, and logs each second in which they take much of the host's link.
 */
typedef struct {
	double link_mbps;
	metrics_t *metrics;
	metric_id_t domain, region, fleet, table;
	msec_t since; /* start of the second that is counted */
	uint64_t bytes, table_bytes, datagrams;
} control_bytes_t;

void control_bytes_init(control_bytes_t *c, double link_mbps, metrics_t *m);

/**
 * control_bytes_sent() - Count a datagram.
 * @c: the counts
 * @self: this host's view of the fleet
 * @to: the host that it is sent to
 * @len: its length in bytes
 * @is_table: whether it contains changes of a table
 */
void control_bytes_sent(control_bytes_t *c, const fleet_t *self,
    const fleet_host_t *to, size_t len, gboolean is_table);

/** control_bytes_tick() - Call this some times a second. */
void control_bytes_tick(control_bytes_t *c, msec_t now);

#endif
