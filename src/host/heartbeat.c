#include <string.h>

#include "host/heartbeat.h"
#include "host/moves.h"

static rpc_host_state_t
state_of(const host_t *h)
{
	switch (h->phase) {
	case HOST_STARTING:
		return RPC_HOST_JOINING;
	case HOST_SERVING:
		return RPC_HOST_LIVE;
	case HOST_DRAINING:
		return RPC_HOST_LEAVING;
	case HOST_ENDING:
		break;
	}
	return RPC_HOST_GONE;
}

static void
add_loads(heartbeat_t *b, const host_t *h)
{
	const endpoint_stat_t *stat;
	rpc_load_t load;
	guint i;

	for (i = 0; i < h->catalog.endpoints->len; i++) {
		stat = endpoint_stats_row(&h->stats, (endpoint_id_t)i);
		if (stat->in_flight == 0 || b->loads->len == RPC_LOADS_MAX)
			continue;
		load.endpoint =
		    catalog_endpoint(&h->catalog, (endpoint_id_t)i)->name;
		load.in_flight = stat->in_flight;
		g_array_append_val(b->loads, load);
	}
}

static void
add_self(rpc_host_t *self, const host_t *h)
{
	self->id = h->settings.id;
	self->incarnation = h->incarnation;
	self->region = h->settings.region;
	self->domain = h->settings.domain;
	self->rpc_address = h->settings.rpc;
	self->callers_address = h->settings.callers;
	self->state = state_of(h);
	self->build = (char *)(uintptr_t)GREENGAGELOOM_VERSION;
}

void
heartbeat_init(heartbeat_t *b, const host_t *h)
{
	rpc_heartbeat_t *m = &b->message;

	memset(b, 0, sizeof(*b));
	b->leases = g_array_new(FALSE, TRUE, sizeof(rpc_lease_t));
	b->moves = g_array_new(FALSE, TRUE, sizeof(rpc_move_step_t));
	b->loads = g_array_new(FALSE, TRUE, sizeof(rpc_load_t));
	add_self(&m->host, h);
	b->counts = g_array_new(FALSE, TRUE, sizeof(rpc_move_count_t));
	add_loads(b, h);
	moves_fill_heartbeat(h, b);
	m->config_version = h->config_sync.in_force.version;
	memcpy(m->config_digest, h->config_sync.in_force.digest.bytes,
	    RPC_DIGEST_SIZE);
	m->keys_version = keys_complete(&h->key_sync.keys);
	m->store_age_ms = -1;
	m->leases.leases_len = b->leases->len;
	m->leases.leases_val = (rpc_lease_t *)(void *)b->leases->data;
	m->moves.moves_len = b->moves->len;
	m->moves.moves_val = (rpc_move_step_t *)(void *)b->moves->data;
	m->loads.loads_len = b->loads->len;
	m->loads.loads_val = (rpc_load_t *)(void *)b->loads->data;
	m->counts.counts_len = b->counts->len;
	m->counts.counts_val = (rpc_move_count_t *)(void *)b->counts->data;
}

void
heartbeat_finish(heartbeat_t *b)
{
	g_array_free(b->leases, TRUE);
	g_array_free(b->moves, TRUE);
	g_array_free(b->loads, TRUE);
	g_array_free(b->counts, TRUE);
}
