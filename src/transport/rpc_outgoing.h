#ifndef TRANSPORT_RPC_OUTGOING_H
#define TRANSPORT_RPC_OUTGOING_H

#include "base/error.h"
#include "transport/rpc_peer.h"

/* An outstanding call of an RPC client. */

typedef struct {
	rpc_peer_t *peer;
	rpc_proc_t proc;
	GByteArray *body;	   /* NULL once written */
	uint32_t xid;		   /* set once written */
	uint8_t mac[RPC_MAC_SIZE]; /* verifier; set once written */
	struct event *deadline;
	rpc_answer_t fn;
	void *arg;
} rpc_outgoing_t;

/**
 * rpc_outgoing_fail() - Report that a call failed, and free it.
 * @call: the call, already removed from the peer's queue or table
 * @code: ERROR_UNKNOWN if the call may have had an effect
 * @why: what went wrong
 */
void rpc_outgoing_fail(
    rpc_outgoing_t *call, error_code_t code, const char *why);

/**
 * rpc_outgoing_answer() - Report the result of a call, and free the call.
 * @call: the call, already removed from the peer's queue or table
 * @reply: its authenticated reply
 */
void rpc_outgoing_answer(rpc_outgoing_t *call, const rpc_reply_t *reply);

/**
 * rpc_outgoing_code() - Error code for a reply status.
 * @status: status of a reply, other than RPC_STATUS_OK
 */
error_code_t rpc_outgoing_code(rpc_status_t status);

#endif
