#ifndef TRANSPORT_RPC_OUTGOING_H
#define TRANSPORT_RPC_OUTGOING_H

#include "base/error.h"
#include "transport/rpc_peer.h"

/* One call of a client, from its start to its outcome. */

typedef struct {
	rpc_peer_t *peer;
	rpc_proc_t proc;
	GByteArray *body; /* NULL once written */
	uint32_t xid;	  /* once written */
	uint8_t mac[RPC_MAC_SIZE];
	struct event *deadline;
	rpc_answer_t fn;
	void *arg;
} rpc_outgoing_t;

/**
 * rpc_outgoing_fail() - Tell that a call failed, and free it.
 * @call: the call, already in no table
 * @code: whether it may have had an effect
 * @why: what went wrong
 */
void rpc_outgoing_fail(
    rpc_outgoing_t *call, error_code_t code, const char *why);

/**
 * rpc_outgoing_answer() - Tell what an authenticated reply says, and free it.
 * @call: the call, already in no table
 * @reply: the reply
 */
void rpc_outgoing_answer(rpc_outgoing_t *call, const rpc_reply_t *reply);

/**
 * rpc_outgoing_code() - What a status other than OK means to the caller.
 * @status: of a reply
 */
error_code_t rpc_outgoing_code(rpc_status_t status);

#endif
