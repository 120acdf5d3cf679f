#ifndef PROTOCOL_RPC_MSG_H
#define PROTOCOL_RPC_MSG_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "protocol/gen/host_rpc.h"

/*
 * Calls and replies of ONC RPC version 2 (RFC 5531) with the fleet's own
 * authentication flavor. The credential of a call is an rpc_cred_t in XDR, and
 * its verifier a keyed hash. The verifier of an accepted reply holds the
 * server's session and a keyed hash. A denied reply has no verifier.
 */

#define RPC_CRED_MAX 400
#define RPC_MAC_SIZE 32
/* Maximum size of a call or reply in bytes: the longest text and all else. */
#define RPC_RECORD_MAX (RPC_TEXT_MAX + 64 * 1024)

typedef struct {
	uint32_t xid;
	uint32_t program;
	uint32_t version;
	uint32_t proc;
	uint32_t cred_len;
	uint8_t cred[RPC_CRED_MAX];
	uint8_t mac[RPC_MAC_SIZE];
	const uint8_t *body; /* owned by the creator or decoder of the call */
	size_t body_len;
} rpc_call_t;

typedef enum {
	RPC_STATUS_OK,
	/* accepted and authenticated, but not run */
	RPC_STATUS_PROGRAM,
	RPC_STATUS_VERSION,
	RPC_STATUS_PROCEDURE,
	RPC_STATUS_ARGUMENTS,
	RPC_STATUS_BUSY,
	/* denied; the reply itself is not authenticated */
	RPC_STATUS_RPC_VERSION,
	RPC_STATUS_CREDENTIAL, /* of another flavor, callee or session */
	RPC_STATUS_VERIFIER,   /* the hash is wrong */
	RPC_STATUS_REPLAYED,   /* repeated or too old */
} rpc_status_t;

typedef struct {
	uint32_t xid;
	rpc_status_t status;
	uint32_t low, high; /* versions served, with RPC_STATUS_VERSION */
	rpc_nonce_t session;
	uint8_t mac[RPC_MAC_SIZE];
	const uint8_t *body;
	size_t body_len;
} rpc_reply_t;

typedef enum {
	RPC_DECODE_OK,
	RPC_DECODE_RPC_VERSION, /* xid is set; RPC_STATUS_RPC_VERSION is due */
	RPC_DECODE_BAD,		/* not a message of this kind */
} rpc_decode_t;

const char *rpc_status_name(rpc_status_t status);

/**
 * rpc_call_encode() - Append a call with its header.
 * @out: the call is appended here
 * @call: the call, including its verifier
 */
void rpc_call_encode(GByteArray *out, const rpc_call_t *call);

/**
 * rpc_call_decode() - Decode the header of a call; the body stays in XDR.
 * @call: filled in; its body points into @data
 * @data: one record
 * @len: its length in bytes
 */
rpc_decode_t rpc_call_decode(rpc_call_t *call, const uint8_t *data, size_t len);

void rpc_reply_encode(GByteArray *out, const rpc_reply_t *reply);

/**
 * rpc_reply_decode() - Decode the header of a reply; the body stays in XDR.
 * @reply: filled in; its body points into @data
 * @data: one record
 * @len: its length in bytes
 */
gboolean rpc_reply_decode(rpc_reply_t *reply, const uint8_t *data, size_t len);

#endif
