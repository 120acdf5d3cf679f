#ifndef HOST_HEARTBEAT_H
#define HOST_HEARTBEAT_H

#include "host/host.h"
#include "protocol/rpc_body.h"

/* Builds heartbeats: what this host reports about itself in each exchange. */

typedef struct {
	rpc_heartbeat_t message; /* points into the arrays and into the host */
	GArray *leases;		 /* rpc_lease_t */
	GArray *moves;		 /* rpc_move_step_t */
	GArray *loads;		 /* rpc_load_t */
	GArray *counts;		 /* rpc_move_count_t */
} heartbeat_t;

/**
 * heartbeat_init() - Build a heartbeat.
 * @b: memory of the caller
 * @h: the host; must not change until heartbeat_finish()
 *
 * It has no scan age of the keys (store_age_ms is -1): whether that may be
 * passed on depends on the receiver.
 */
void heartbeat_init(heartbeat_t *b, const host_t *h);
void heartbeat_finish(heartbeat_t *b);

#endif
