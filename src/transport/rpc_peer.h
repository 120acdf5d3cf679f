#ifndef TRANSPORT_RPC_PEER_H
#define TRANSPORT_RPC_PEER_H

#include <event2/bufferevent.h>

#include "protocol/record_mark.h"
#include "transport/rpc_client.h"
#include "transport/rpc_stream.h"

/* One peer of an RPC client: its connection, session and calls. */

typedef enum {
	RPC_PEER_IDLE,
	RPC_PEER_CONNECTING,
	RPC_PEER_HELLO, /* waits for the session to open */
	RPC_PEER_OPEN,
	RPC_PEER_BACKOFF,
	RPC_PEER_REMOVED,
} rpc_peer_state_t;

typedef struct {
	rpc_client_t *client;
	rpc_peer_id_t id;
	char *address;
	rpc_addr_t addr;
	rpc_peer_state_t state;
	struct bufferevent *bev;
	struct event *timer; /* time-out of the current state */
	msec_t backoff_ms;
	record_reader_t reader;
	rpc_nonce_t session;
	msec_t session_at; /* when the session was opened */
	uint32_t last_xid;
	uint32_t hello_xid;
	uint8_t hello_mac[RPC_MAC_SIZE];
	GQueue waiting;	  /* calls not yet written */
	GHashTable *sent; /* xid to call */
} rpc_peer_t;

rpc_peer_t *rpc_peer_new(
    rpc_client_t *c, const char *address, const rpc_addr_t *addr);
void rpc_peer_free(rpc_peer_t *p);

/**
 * rpc_peer_close() - Close permanently; outstanding calls fail.
 * @p: the peer
 */
void rpc_peer_close(rpc_peer_t *p);

/**
 * rpc_peer_call() - Queue a call and send it, or connect first.
 * @p: the peer
 * @proc: its procedure
 * @body: encoded arguments; ownership is transferred
 * @timeout_ms: time after which the call fails
 * @fn: called with the outcome
 * @arg: argument of @fn
 */
void rpc_peer_call(rpc_peer_t *p, rpc_proc_t proc, GByteArray *body,
    msec_t timeout_ms, rpc_answer_t fn, void *arg);

/* Number of calls that wait to be written or to be answered. */
guint rpc_peer_outstanding(const rpc_peer_t *p);

#endif
