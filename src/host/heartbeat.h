#ifndef HOST_HEARTBEAT_H
#define HOST_HEARTBEAT_H

#include "host/host.h"
#include "protocol/rpc_body.h"

/* What this host tells others of itself in each exchange. */

typedef struct {
	rpc_heartbeat_t message; /* points into the rest and into the host */
	GArray *leases;		 /* rpc_lease_t */
	GArray *moves;		 /* rpc_move_step_t */
	GArray *loads;		 /* rpc_load_t */
	GArray *counts;		 /* rpc_move_count_t */
} heartbeat_t;

/**
 * heartbeat_init() - Make a heartbeat.
 * @b: memory of the caller
 * @h: the host; must not change until heartbeat_finish()
 *
 * It holds no basis of the keys: who may pass that on depends on the receiver.
 */
void heartbeat_init(heartbeat_t *b, const host_t *h);
void heartbeat_finish(heartbeat_t *b);

#endif
