#ifndef HOST_PEER_COUNTS_H
#define HOST_PEER_COUNTS_H

#include "host/peers.h"

/* Counts of other hosts' requests in flight at the backend servers, from those
 * hosts' heartbeats. */

/**
 * peer_counts_take() - Record the loads of a heartbeat.
 * @h: the host
 * @beat: the peer's heartbeat
 * @id: the peer
 * @at: time of the counts
 */
void peer_counts_take(
    host_t *h, const rpc_heartbeat_t *beat, host_id_t id, msec_t at);

/**
 * peer_counts_forget() - Drop the reports of incarnations that have ended.
 * @h: the host
 *
 * Call this after each change of the roster. A host that is merely silent may
 * still have requests in flight: its reports stay valid until they expire.
 */
void peer_counts_forget(host_t *h);

#endif
