#ifndef TRANSPORT_RPC_PEER_H
#define TRANSPORT_RPC_PEER_H

#include <event2/bufferevent.h>

#include "protocol/record_mark.h"
#include "transport/rpc_client.h"
#include "transport/rpc_stream.h"

/* One peer of a client: its connection, session and calls. */

typedef enum {
	RPC_PEER_IDLE,
	RPC_PEER_CONNECTING,
	RPC_PEER_HELLO, /* waits for the session */
	RPC_PEER_OPEN,
	RPC_PEER_BACKOFF,
	RPC_PEER_FORGOTTEN,
} rpc_peer_state_t;

typedef struct {
	rpc_client_t *client;
	rpc_peer_id_t id;
	char *address;
	rpc_addr_t addr;
	rpc_peer_state_t state;
	struct bufferevent *bev;
	struct event *timer; /* of the state */
	msec_t backoff_ms;
	record_reader_t reader;
	rpc_nonce_t session;
	msec_t session_at;
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
 * rpc_peer_close() - Close for good; outstanding calls fail.
 * @p: the peer
 */
void rpc_peer_close(rpc_peer_t *p);

/**
 * rpc_peer_call() - Queue a call and see that it gets sent.
 * @p: the peer
 * @proc: its procedure
 * @body: encoded arguments, taken over
 * @timeout_ms: after which it fails
 * @fn: gets the outcome
 * @arg: passed to it
 */
void rpc_peer_call(rpc_peer_t *p, rpc_proc_t proc, GByteArray *body,
    msec_t timeout_ms, rpc_answer_t fn, void *arg);

guint rpc_peer_outstanding(const rpc_peer_t *p);

#endif
