#ifndef PROTOCOL_RPC_AUTH_H
#define PROTOCOL_RPC_AUTH_H

#include "base/clock.h"
#include "protocol/rpc_msg.h"

/*
 * Authentication of calls and replies with the fleet secret.
 *
 * A client opens a session on its connection with a NULL call whose session id
 * is all zeros. The verifier of the reply holds a random session id that the
 * server chose for this connection. Each later call carries that session id, a
 * nonce of its own, the names of both parties, and the time since the client
 * received the session id. The keyed hash of a call covers all of this, the
 * xid, the procedure and the body. The hash of the reply covers the hash of the
 * call, so that a reply is valid for one call only.
 *
 * A call copied from another connection or from before a restart has the wrong
 * session id. A call repeated on its own connection has an xid that is not
 * greater than the last one. A delayed call is older than RPC_CALL_AGE_MS. Both
 * hosts measure time since the session's start with monotonic clocks, so their
 * wall clocks do not matter.
 */

#define RPC_KEY_SIZE 32
#define RPC_SECRET_MIN 16	     /* bytes */
#define RPC_CALL_AGE_MS 5000	     /* older calls are refused */
#define RPC_DRIFT_MS 1000	     /* clock drift allowed over a session */
#define RPC_SESSION_MS (3600 * 1000) /* older: the client opens a new one */

typedef struct {
	uint8_t bytes[RPC_KEY_SIZE];
} rpc_key_t;

/* The names by which a caller may address a server. */
typedef struct {
	const char *id;
	const char *address;
} rpc_identity_t;

/* The server's state of the session on one connection. */
typedef struct {
	rpc_nonce_t id;
	msec_t opened_at;
	uint32_t last_xid;
	gboolean open;
} rpc_session_t;

typedef struct {
	char name[RPC_ADDRESS_MAX + 1];
} rpc_caller_t;

/**
 * rpc_key_init() - Derive the key from the fleet secret.
 * @key: filled in
 * @secret: content of the secret file, without the final newline
 * @len: its length in bytes
 * @err: ERROR_INVALID if it is shorter than RPC_SECRET_MIN
 */
gboolean rpc_key_init(
    rpc_key_t *key, const void *secret, size_t len, GError **err);

/**
 * rpc_key_load() - Derive the key from the secret file.
 * @key: filled in
 * @path: path of the file, which holds one line of text
 * @err: ERROR_INVALID if the file can't be read or is too short
 */
gboolean rpc_key_load(rpc_key_t *key, const char *path, GError **err);
void rpc_key_finish(rpc_key_t *key);

/**
 * rpc_call_sign() - Set the credential and verifier of a call.
 * @call: the call; all other fields are already set
 * @cred: the credential
 * @key: key of the fleet
 * @err: ERROR_INVALID if a name is too long
 */
gboolean rpc_call_sign(rpc_call_t *call, const rpc_cred_t *cred,
    const rpc_key_t *key, GError **err);

/**
 * rpc_session_check() - Authenticate a call and update the session.
 * @s: session of the connection; zeroed before its first call
 * @key: key of the fleet
 * @self: names of this server
 * @call: the decoded call
 * @new_session: random bytes; become the session id if the call opens one
 * @now: monotonic time, ms, read just before this function is called
 * @caller: set to the caller's name unless the call is denied
 *
 * Return: RPC_STATUS_OK, or why the call is refused.
 */
rpc_status_t rpc_session_check(rpc_session_t *s, const rpc_key_t *key,
    const rpc_identity_t *self, const rpc_call_t *call,
    const rpc_nonce_t new_session, msec_t now, rpc_caller_t *caller);

/**
 * rpc_reply_sign() - Set the verifier of a reply.
 * @reply: the reply; all other fields are already set
 * @call_verifier: verifier of the call that it answers
 * @key: key of the fleet
 */
void rpc_reply_sign(rpc_reply_t *reply,
    const uint8_t call_verifier[RPC_MAC_SIZE], const rpc_key_t *key);

/**
 * rpc_reply_check() - Whether an accepted reply is authentic and answers a
 * call.
 * @reply: the decoded reply
 * @call_verifier: verifier of the call
 * @key: key of the fleet
 */
gboolean rpc_reply_check(const rpc_reply_t *reply,
    const uint8_t call_verifier[RPC_MAC_SIZE], const rpc_key_t *key);

#endif
