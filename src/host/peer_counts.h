#ifndef HOST_PEER_COUNTS_H
#define HOST_PEER_COUNTS_H

#include "host/peers.h"

/* What other hosts have under way at the backend servers, as they tell it. */

/**
 * peer_counts_take() - Take in the loads of a heartbeat.
 * @h: the host
 * @beat: what a peer says of itself
 * @id: the peer
 * @at: when it was true
 */
void peer_counts_take(
    host_t *h, const rpc_heartbeat_t *beat, host_id_t id, msec_t at);

/**
 * peer_counts_forget() - Drop what incarnations told that have ended.
 * @h: the host
 *
 * To be called after each change of the roster. A host that is silent only may
 * still have its requests under way: its claims stand until they lapse.
 */
void peer_counts_forget(host_t *h);

#endif
