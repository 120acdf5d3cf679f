#include <string.h>

#include "base/log.h"
#include "host/config_ops.h"
#include "host/heartbeat.h"
#include "host/key_ops.h"
#include "host/limits.h"
#include "host/moves.h"
#include "host/peer_counts.h"
#include "host/peers.h"

static void
peer_free(void *p)
{
	peer_t *peer = p;

	g_free(peer->name);
	g_free(peer->address);
	g_free(peer->callers);
	g_array_free(peer->steps, TRUE);
	g_free(peer);
}

void
peers_init(host_t *h)
{
	h->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
}

void
peers_finish(host_t *h)
{
	g_hash_table_destroy(h->peers);
}

peer_t *
peers_get(const host_t *h, const char *name)
{
	return g_hash_table_lookup(h->peers, name);
}

/* Finds or adds the record of a host, and sets its current address. */
static peer_t *
peer_at(host_t *h, const char *name, const char *address)
{
	peer_t *peer = peers_get(h, name);
	GError *err = NULL;

	if (peer == NULL) {
		peer = g_new0(peer_t, 1);
		peer->host = h;
		peer->name = g_strdup(name);
		peer->steps = g_array_new(FALSE, TRUE, sizeof(peer_step_t));
		g_hash_table_insert(h->peers, peer->name, peer);
	}
	if (g_strcmp0(peer->address, address) == 0)
		return peer;
	if (!rpc_client_peer(&h->rpc_client, address, &peer->rpc, &err)) {
		log_event(LOG_WARN, "peer.address", "peer", name, "error",
		    err->message, NULL);
		g_error_free(err);
		return NULL;
	}
	g_free(peer->address);
	peer->address = g_strdup(address);
	return peer;
}

gboolean
peers_call(host_t *h, const char *name, const rpc_args_t *args,
    msec_t timeout_ms, rpc_answer_t fn, void *arg)
{
	host_id_t id = roster_find(&h->roster, name);
	GError *err = NULL;
	peer_t *peer;

	if (id == HOST_NONE)
		return FALSE;
	peer = peer_at(h, name, roster_host(&h->roster, id)->rpc_address);
	if (peer == NULL)
		return FALSE;
	if (rpc_client_call(
		&h->rpc_client, peer->rpc, args, timeout_ms, fn, arg, &err))
		return TRUE;
	log_event(LOG_DEBUG, "peer.call.failed", "peer", name, "error",
	    err->message, NULL);
	g_error_free(err);
	return FALSE;
}

static host_state_t
host_state(rpc_host_state_t state)
{
	switch (state) {
	case RPC_HOST_JOINING:
		return HOST_JOINING;
	case RPC_HOST_LIVE:
		return HOST_LIVE;
	case RPC_HOST_LEAVING:
		return HOST_LEAVING;
	case RPC_HOST_GONE:
		break;
	}
	return HOST_GONE;
}

static void
set_steps(peer_t *peer, const rpc_heartbeat_t *beat)
{
	const rpc_move_step_t *in;
	peer_step_t step;
	guint i;

	g_array_set_size(peer->steps, 0);
	for (i = 0; i < beat->moves.moves_len; i++) {
		in = &beat->moves.moves_val[i];
		step.move = g_quark_from_string(in->move);
		step.step = in->step;
		step.stopped = in->stopped;
		g_array_append_val(peer->steps, step);
	}
}

/* Applies a peer's heartbeat, from its request or its answer. */
static void
take_heartbeat(host_t *h, peer_t *peer, host_id_t id,
    const rpc_heartbeat_t *beat, gboolean asked, msec_t at, msec_t now)
{
	g_free(peer->callers);
	peer->callers = g_strdup(beat->host.callers_address);
	peer->config_version = beat->config_version;
	peer->keys_version = beat->keys_version;
	peer->heard_at = now;
	peer->heard_incarnation = beat->host.incarnation;
	set_steps(peer, beat);
	if (id != h->roster.self)
		peer_counts_take(h, beat, id, at);
	config_ops_on_heartbeat(h, id, beat, now);
	if (id != h->roster.self)
		moves_on_heartbeat(h, beat, asked ? at : MOVES_UNSOLICITED);
}

static void
on_reply(void *arg, const rpc_result_t *result, const GError *err)
{
	peer_t *peer = arg;
	host_t *h = peer->host;
	const exchange_result_t *r;
	host_id_t id = roster_find(&h->roster, peer->name);
	msec_t now = clock_now();
	roster_reply_t reply;

	peer->busy = FALSE;
	if (err != NULL || id == HOST_NONE)
		return;
	r = &result->u.exchange;
	if (r->sequence != peer->sequence ||
	    strcmp(r->heartbeat.host.id, peer->name) != 0)
		return;
	reply.incarnation = r->heartbeat.host.incarnation;
	reply.state = host_state(r->heartbeat.host.state);
	reply.promises = r->promises;
	reply.acknowledges = r->knows_incarnation;
	reply.superseded = r->superseded;
	roster_on_reply(&h->roster, id, &reply, peer->sent_at, now);
	peer_counts_forget(h);
	take_heartbeat(h, peer, id, &r->heartbeat, TRUE, peer->sent_at, now);
	key_ops_on_heartbeat(h, peer, &r->heartbeat);
}

static void
start_exchange(host_t *h, peer_t *peer, msec_t now)
{
	rpc_args_t args = {.proc = RPC_PROC_EXCHANGE};
	heartbeat_t beat;

	heartbeat_init(&beat, h);
	args.u.exchange.sequence = ++peer->sequence;
	args.u.exchange.want_promise = TRUE;
	args.u.exchange.heartbeat = beat.message;
	peer->sent_at = now;
	peer->busy = rpc_client_call(&h->rpc_client, peer->rpc, &args,
	    EXCHANGE_TIMEOUT_MS, on_reply, peer, NULL);
	heartbeat_finish(&beat);
}

static void
on_departure_answered(void *arg, const rpc_result_t *result, const GError *err)
{
	host_t *h = arg;

	(void)result;
	(void)err;
	if (--h->pending_departures == 0)
		event_base_loopbreak(h->base);
}

void
peers_send_departure(host_t *h)
{
	rpc_args_t args = {.proc = RPC_PROC_EXCHANGE};
	const replica_t *to;
	heartbeat_t beat;
	guint i;

	heartbeat_init(&beat, h);
	args.u.exchange.heartbeat = beat.message;
	for (i = 0; i < h->key_sync.view.replicas->len; i++) {
		to = &g_array_index(h->key_sync.view.replicas, replica_t, i);
		if (to->host != h->roster.self &&
		    peers_call(h,
			roster_host(&h->roster, (host_id_t)to->host)->name,
			&args, EXCHANGE_TIMEOUT_MS, on_departure_answered, h))
			h->pending_departures++;
	}
	heartbeat_finish(&beat);
	if (h->pending_departures == 0)
		event_base_loopbreak(h->base);
}

void
peers_tick(host_t *h, msec_t now)
{
	const roster_host_t *row;
	peer_t *peer;
	guint i;

	if (h->incarnation == 0 || now < h->exchange_at)
		return;
	h->exchange_at = now + EXCHANGE_PERIOD_MS;
	roster_tick(&h->roster, now);
	for (i = 0; i < h->roster.hosts->len; i++) {
		row = roster_host(&h->roster, (host_id_t)i);
		/* A host that is alone in the roster calls its own address,
		 * where a later incarnation of it would answer. */
		if (row->state == HOST_GONE ||
		    (i == h->roster.self && h->key_sync.view.replicas->len > 1))
			continue;
		peer = peer_at(h, row->name, row->rpc_address);
		if (peer != NULL && !peer->busy)
			start_exchange(h, peer, now);
	}
}

/* Handles the departure notice of a host that has left for good and has
 * notified its peers of all its withdrawals. */
static void
take_departure(host_t *h, const rpc_heartbeat_t *beat, msec_t now)
{
	log_event(LOG_INFO, "host.left", "host", beat->host.id, "incarnation",
	    log_num((long long)beat->host.incarnation), NULL);
	key_sync_peer_departed(&h->key_sync, beat->keys_version);
	roster_gone(&h->roster, beat->host.id, beat->host.incarnation, now);
	peer_counts_forget(h);
	host_update_positions(h);
}

void
peers_answer(host_t *h, rpc_call_id_t call, const char *caller,
    const exchange_args_t *args)
{
	const rpc_host_t *from = &args->heartbeat.host;
	const roster_row_t row = {
	    .name = from->id,
	    .incarnation = from->incarnation,
	    .state = host_state(from->state),
	    .rpc_address = from->rpc_address,
	    .region = from->region,
	    .domain = from->domain,
	};
	rpc_result_t result = {.proc = RPC_PROC_EXCHANGE};
	msec_t now = clock_now();
	roster_reply_t reply;
	key_sync_status_t status;
	heartbeat_t beat;
	host_id_t id;
	peer_t *peer;

	if (h->incarnation == 0 || strcmp(caller, from->id) != 0) {
		rpc_server_refuse(&h->rpc_server, call);
		return;
	}
	if (row.state == HOST_GONE) {
		take_departure(h, &args->heartbeat, now);
		rpc_server_refuse(&h->rpc_server, call);
		return;
	}
	id = roster_find(&h->roster, from->id);
	status = key_sync_answer(
	    &h->key_sync, (replica_t){id, from->incarnation}, now);
	id = roster_on_request(&h->roster, &row, args->sequence,
	    args->want_promise && status.may_promise &&
		!limits_withholds(h, from->id) && !moves_withholds(h, from->id),
	    now, &reply);
	if (id != HOST_NONE && id != h->roster.self) {
		peer = peer_at(h, from->id, from->rpc_address);
		peer_counts_forget(h);
		if (peer != NULL)
			take_heartbeat(
			    h, peer, id, &args->heartbeat, FALSE, now, now);
	}
	heartbeat_init(&beat, h);
	beat.message.keys_version = status.version;
	beat.message.store_age_ms = status.scan_age;
	result.u.exchange.sequence = args->sequence;
	result.u.exchange.promises = reply.promises;
	result.u.exchange.knows_incarnation = reply.acknowledges;
	result.u.exchange.superseded = reply.superseded;
	result.u.exchange.heartbeat = beat.message;
	rpc_server_answer(&h->rpc_server, call, &result);
	heartbeat_finish(&beat);
}

typedef struct {
	host_t *host;
	GArray *replicas; /* replica_t */
	msec_t now;
} roster_scan_t;

static void
apply_row(void *arg, const char *name, const mirror_row_t *row)
{
	roster_scan_t *scan = arg;
	host_row_t value = {0};
	roster_row_t out;
	replica_t replica;

	if (!rows_decode(&row_host, row->value, &value, NULL)) {
		log_event(
		    LOG_ERROR, "roster.row.unreadable", "host", name, NULL);
		return;
	}
	out.name = name;
	out.incarnation = value.incarnation;
	out.state = (host_state_t)MIN(value.state, HOST_GONE);
	out.rpc_address = value.rpc;
	out.region = value.region;
	out.domain = value.domain;
	roster_row(&scan->host->roster, &out, row->version, scan->now);
	replica.host = roster_find(&scan->host->roster, name);
	replica.incarnation = value.incarnation;
	if (replica.host != HOST_NONE)
		g_array_append_val(scan->replicas, replica);
	rows_clear(&row_host, &value);
}

GArray *
peers_scanned(host_t *h)
{
	const mirror_row_t *counter = mirror_get(&h->mirror, ROWS_INCARNATION);
	roster_scan_t scan = {h, NULL, clock_now()};
	incarnation_row_t last = {0};

	scan.replicas = g_array_new(FALSE, FALSE, sizeof(replica_t));
	if (h->incarnation == 0 || h->mirror.version < h->row_version ||
	    counter == NULL ||
	    !rows_decode(&row_incarnation, counter->value, &last, NULL))
		return scan.replicas;
	roster_scan_begin(&h->roster);
	mirror_each(&h->mirror, ROWS_HOST, apply_row, &scan);
	roster_scan_end(&h->roster, last.last, scan.now);
	peer_counts_forget(h);
	return scan.replicas;
}

guint
peers_reached(host_t *h, uint64_t version, guint *hosts, msec_t now)
{
	const roster_host_t *row;
	const peer_t *peer;
	guint i, reached = 0;
	uint64_t theirs;

	*hosts = 0;
	for (i = 0; i < h->roster.hosts->len; i++) {
		row = roster_host(&h->roster, (host_id_t)i);
		if (i != h->roster.self &&
		    !roster_live(&h->roster, (host_id_t)i, now))
			continue;
		peer = peers_get(h, row->name);
		theirs = i == h->roster.self ? keys_complete(&h->key_sync.keys)
		    : peer != NULL	     ? peer->keys_version
					     : 0;
		(*hosts)++;
		if (theirs >= version)
			reached++;
	}
	return reached;
}
