#ifndef TRANSPORT_RPC_CLIENT_H
#define TRANSPORT_RPC_CLIENT_H

#include <event2/event.h>

#include "base/metrics.h"
#include "protocol/rpc_auth.h"
#include "protocol/rpc_body.h"

/*
 * RPC calls to other hosts. Each peer has one connection, which is opened for
 * the first call and reopened with backoff after a failure.
 */

#define RPC_CALLS_MAX 256   /* outstanding calls to one peer */
#define RPC_CONNECT_MS 2000 /* to connect, and again to open a session */
#define RPC_BACKOFF_MIN_MS 50
#define RPC_BACKOFF_MAX_MS 1000

typedef uint32_t rpc_peer_id_t;

/**
 * rpc_answer_t - Take the outcome of a call; runs exactly once per call.
 * @arg: as passed with the call
 * @result: the answer, valid only until the function returns; NULL on failure
 * @err: NULL, or: ERROR_UNAVAILABLE, ERROR_DENIED or ERROR_INVALID if the call
 *	had no effect (never written, refused by an authenticated answer, or no
 *	session could be opened); ERROR_UNKNOWN if it may have had one
 *
 * The function may make calls and remove peers, but not finish the client.
 */
typedef void (*rpc_answer_t)(
    void *arg, const rpc_result_t *result, const GError *err);

typedef struct {
	struct event_base *base;
	const rpc_key_t *key;
	const char *id; /* name of this host as the caller */
	metrics_t *metrics;
	uint32_t version; /* of the program; HOST_VERSION */
} rpc_client_config_t;

typedef struct {
	rpc_client_config_t config;
	GHashTable *peers;  /* rpc_peer_id_t to rpc_peer_t */
	GPtrArray *removed; /* rpc_peer_t, to be freed by the reaper */
	struct event *reaper;
	rpc_peer_id_t next_peer;
	metric_id_t late, forged, connects;
} rpc_client_t;

/**
 * rpc_client_init() - Initialize without peers.
 * @c: memory of the caller
 * @config: copied; what it points to must outlive the client
 */
void rpc_client_init(rpc_client_t *c, const rpc_client_config_t *config);

/**
 * rpc_client_finish() - Close all peers; their outstanding calls fail first.
 * @c: the client
 */
void rpc_client_finish(rpc_client_t *c);

/**
 * rpc_client_peer() - Find or add a peer by its address.
 * @c: the client
 * @address: "IP:PORT"
 * @id: set to its handle, valid until the peer is removed
 * @err: ERROR_INVALID if the address can't be parsed
 */
gboolean rpc_client_peer(
    rpc_client_t *c, const char *address, rpc_peer_id_t *id, GError **err);

/**
 * rpc_client_remove_peer() - Close a peer; its outstanding calls fail first.
 * @c: the client
 * @id: its handle; an unknown one is ignored
 */
void rpc_client_remove_peer(rpc_client_t *c, rpc_peer_id_t id);

/**
 * rpc_client_call() - Make a call.
 * @c: the client
 * @id: handle of the peer
 * @args: encoded before this returns
 * @timeout_ms: time after which the call fails
 * @fn: takes the outcome; called from the event loop, never from within this
 *	function
 * @arg: argument of @fn
 * @err: ERROR_INVALID for the arguments or the peer's handle, ERROR_LIMIT for
 *	too many outstanding calls; @fn does not run then
 */
gboolean rpc_client_call(rpc_client_t *c, rpc_peer_id_t id,
    const rpc_args_t *args, msec_t timeout_ms, rpc_answer_t fn, void *arg,
    GError **err);

#endif
