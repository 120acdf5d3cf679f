#ifndef TRANSPORT_RPC_CLIENT_H
#define TRANSPORT_RPC_CLIENT_H

#include <event2/event.h>

#include "base/metrics.h"
#include "protocol/rpc_auth.h"
#include "protocol/rpc_body.h"

/*
 * Calls to other hosts: one connection for each peer, opened when there is a
 * call, opened again with backoff after a failure.
 */

#define RPC_CALLS_MAX 256   /* outstanding calls of a peer */
#define RPC_CONNECT_MS 2000 /* to connect and open a session */
#define RPC_BACKOFF_MIN_MS 50
#define RPC_BACKOFF_MAX_MS 1000

typedef uint32_t rpc_peer_id_t;

/**
 * rpc_answer_t - Take the outcome of one call; runs exactly once for each.
 * @arg: as given with the call
 * @result: the answer, valid during this call of the function only; NULL on
 *	failure
 * @err: NULL, or: ERROR_UNAVAILABLE, ERROR_DENIED or ERROR_INVALID where the
 *	call had no effect (never written, refused by an authenticated answer,
 *	or no session could be opened); ERROR_UNKNOWN where it may have had one
 *
 * It may make calls and forget peers, but not finish the client.
 */
typedef void (*rpc_answer_t)(
    void *arg, const rpc_result_t *result, const GError *err);

typedef struct {
	struct event_base *base;
	const rpc_key_t *key;
	const char *id; /* this caller's name */
	metrics_t *metrics;
	uint32_t version; /* of the program; HOST_VERSION */
} rpc_client_config_t;

typedef struct {
	rpc_client_config_t config;
	GHashTable *peers; /* rpc_peer_id_t to rpc_peer_t */
	GPtrArray *forgotten;
	struct event *reaper;
	rpc_peer_id_t next_peer;
	metric_id_t late, forged, connects;
} rpc_client_t;

/**
 * rpc_client_init() - Start with no peers.
 * @c: memory of the caller
 * @config: copied; what it points to must outlive the client
 */
void rpc_client_init(rpc_client_t *c, const rpc_client_config_t *config);

/**
 * rpc_client_finish() - Close all; outstanding calls fail first.
 * @c: the client
 */
void rpc_client_finish(rpc_client_t *c);

/**
 * rpc_client_peer() - Find a peer by its address, or add it.
 * @c: the client
 * @address: "IP:PORT"
 * @id: set to its handle, good until it is forgotten
 * @err: ERROR_INVALID
 */
gboolean rpc_client_peer(
    rpc_client_t *c, const char *address, rpc_peer_id_t *id, GError **err);

/**
 * rpc_client_forget() - Close a peer; its outstanding calls fail first.
 * @c: the client
 * @id: its handle; an unknown one is ignored
 */
void rpc_client_forget(rpc_client_t *c, rpc_peer_id_t id);

/**
 * rpc_client_call() - Make a call.
 * @c: the client
 * @id: the peer
 * @args: encoded before this returns
 * @timeout_ms: after which it fails
 * @fn: gets the outcome, from the loop, never from within this function
 * @arg: passed to it
 * @err: ERROR_INVALID for arguments or the peer's handle, ERROR_LIMIT for too
 *	many calls; then @fn does not run
 */
gboolean rpc_client_call(rpc_client_t *c, rpc_peer_id_t id,
    const rpc_args_t *args, msec_t timeout_ms, rpc_answer_t fn, void *arg,
    GError **err);

#endif
