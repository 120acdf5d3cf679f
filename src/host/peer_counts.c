#include <string.h>

#include "host/poison_sync.h"
#include "host/peer_counts.h"

void
peer_counts_take(
    host_t *h, const rpc_heartbeat_t *beat, host_id_t id, msec_t at)
{
	const endpoint_stat_t *stat;
	endpoint_id_t endpoint;
	guint i, k;

	for (i = 0; i < h->catalog.endpoints->len; i++) {
		endpoint = (endpoint_id_t)i;
		stat = endpoint_stats_row(&h->stats, endpoint);
		for (k = 0; k < beat->loads.loads_len; k++) {
			if (strcmp(stat->name,
				beat->loads.loads_val[k].endpoint) == 0)
				break;
		}
		endpoint_stats_peer(&h->stats, endpoint, id,
		    k < beat->loads.loads_len
			? (uint16_t)MIN(
			      beat->loads.loads_val[k].in_flight, UINT16_MAX)
			: 0,
		    at);
	}
}

void
peer_counts_forget(host_t *h)
{
	const roster_host_t *row;
	uint64_t present;
	peer_t *peer;
	guint i;

	for (i = 0; i < h->roster.hosts->len; i++) {
		row = roster_host(&h->roster, (host_id_t)i);
		peer = peers_get(h, row->name);
		if (peer == NULL || i == h->roster.self)
			continue;
		present = row->state == HOST_GONE ? 0 : row->incarnation;
		if (peer->counted_incarnation == present)
			continue;
		if (peer->counted_incarnation != 0) {
			endpoint_stats_peer_gone(&h->stats, i);
			poison_peer_gone(
			    &h->poison, poison_sync_peer_id(row->name));
		}
		peer->counted_incarnation = present;
	}
}
