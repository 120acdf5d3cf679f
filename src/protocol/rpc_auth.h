#ifndef PROTOCOL_RPC_AUTH_H
#define PROTOCOL_RPC_AUTH_H

#include "base/clock.h"
#include "protocol/rpc_msg.h"

/*
 * Binds calls and replies to the fleet secret.
 *
 * A client opens a session on its connection by a NULL call with a session of
 * zeros; the reply's verifier holds a session that the server drew for this
 * connection. Each later call carries that session, a nonce of its own, both
 * parties' names, and the time since the session was received. Its keyed hash
 * covers all of this, the xid, the procedure and the body. The reply's hash
 * covers the call's hash, so a reply fits one call only.
 *
 * A call taken from another connection or from before a restart has the wrong
 * session; one sent again on its own connection has an xid that is not above
 * the last; one held back has outlived RPC_CALL_AGE_MS. Both ages are taken
 * from monotonic clocks, so the hosts' times of day do not matter.
 */

#define RPC_KEY_SIZE 32
#define RPC_SECRET_MIN 16	     /* bytes */
#define RPC_CALL_AGE_MS 5000	     /* oldest call that is acted on */
#define RPC_DRIFT_MS 1000	     /* clocks' difference over a session */
#define RPC_SESSION_MS (3600 * 1000) /* a client then opens a new one */

typedef struct {
	uint8_t bytes[RPC_KEY_SIZE];
} rpc_key_t;

/* The names by which a server may be called. */
typedef struct {
	const char *id;
	const char *address;
} rpc_identity_t;

/* A server's side of one connection. */
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
 * @secret: content of the secret file, without its last newline
 * @len: its length
 * @err: ERROR_INVALID where it is shorter than RPC_SECRET_MIN
 */
gboolean rpc_key_init(
    rpc_key_t *key, const void *secret, size_t len, GError **err);

/**
 * rpc_key_load() - Derive the key from the secret file.
 * @key: filled in
 * @path: the file: one line of text
 * @err: ERROR_INVALID where it can't be read or is too short
 */
gboolean rpc_key_load(rpc_key_t *key, const char *path, GError **err);
void rpc_key_finish(rpc_key_t *key);

/**
 * rpc_call_sign() - Set a call's credential and verifier.
 * @call: its other fields are set
 * @cred: the credential
 * @key: the fleet's
 * @err: ERROR_INVALID where a name is too long
 */
gboolean rpc_call_sign(rpc_call_t *call, const rpc_cred_t *cred,
    const rpc_key_t *key, GError **err);

/**
 * rpc_session_check() - Judge a call at the server and advance the session.
 * @s: session of the connection; zeroed before its first call
 * @key: the fleet's
 * @self: names of this server
 * @call: as decoded
 * @fresh: random bytes, the new session if the call opens one
 * @now: milliseconds, read at this moment
 * @caller: set to the caller's name unless the call is denied
 *
 * Return: RPC_STATUS_OK, or why the call is refused.
 */
rpc_status_t rpc_session_check(rpc_session_t *s, const rpc_key_t *key,
    const rpc_identity_t *self, const rpc_call_t *call, const rpc_nonce_t fresh,
    msec_t now, rpc_caller_t *caller);

/**
 * rpc_reply_sign() - Set a reply's verifier.
 * @reply: its other fields are set
 * @of_call: verifier of the call that it answers
 * @key: the fleet's
 */
void rpc_reply_sign(rpc_reply_t *reply, const uint8_t of_call[RPC_MAC_SIZE],
    const rpc_key_t *key);

/**
 * rpc_reply_check() - Whether an accepted reply answers this very call.
 * @reply: as decoded
 * @of_call: verifier of the call
 * @key: the fleet's
 */
gboolean rpc_reply_check(const rpc_reply_t *reply,
    const uint8_t of_call[RPC_MAC_SIZE], const rpc_key_t *key);

#endif
