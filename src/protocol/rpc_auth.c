#include <string.h>

#include <sodium.h>

#include "base/error.h"
#include "protocol/ini.h"
#include "protocol/rpc_auth.h"
#include "protocol/rpc_body.h"

#define SECRET_FILE_MAX 4096 /* bytes */

static const rpc_nonce_t no_session;

static void
hash_word(crypto_generichash_state *h, uint32_t word)
{
	uint32_t be = GUINT32_TO_BE(word);

	crypto_generichash_update(h, (const uint8_t *)&be, sizeof(be));
}

static void
hash_start(crypto_generichash_state *h, const rpc_key_t *key, const char *label)
{
	crypto_generichash_init(
	    h, key->bytes, sizeof(key->bytes), RPC_MAC_SIZE);
	crypto_generichash_update(h, (const uint8_t *)label, strlen(label) + 1);
}

static void
call_mac(const rpc_call_t *call, const rpc_key_t *key, uint8_t *mac)
{
	crypto_generichash_state h;

	hash_start(&h, key, "call");
	hash_word(&h, call->xid);
	hash_word(&h, call->program);
	hash_word(&h, call->version);
	hash_word(&h, call->proc);
	hash_word(&h, call->cred_len);
	crypto_generichash_update(&h, call->cred, call->cred_len);
	crypto_generichash_update(&h, call->body, call->body_len);
	crypto_generichash_final(&h, mac, RPC_MAC_SIZE);
}

static void
reply_mac(const rpc_reply_t *reply, const uint8_t *call_verifier,
    const rpc_key_t *key, uint8_t *mac)
{
	crypto_generichash_state h;

	hash_start(&h, key, "reply");
	crypto_generichash_update(&h, call_verifier, RPC_MAC_SIZE);
	hash_word(&h, (uint32_t)reply->status);
	hash_word(&h, reply->low);
	hash_word(&h, reply->high);
	crypto_generichash_update(
	    &h, (const uint8_t *)reply->session, RPC_NONCE_SIZE);
	if (reply->status == RPC_STATUS_OK)
		crypto_generichash_update(&h, reply->body, reply->body_len);
	crypto_generichash_final(&h, mac, RPC_MAC_SIZE);
}

gboolean
rpc_key_init(rpc_key_t *key, const void *secret, size_t len, GError **err)
{
	static const char label[] = "greengageloom rpc key 1";
	crypto_generichash_state h;

	if (len < RPC_SECRET_MIN) {
		error_set(err, ERROR_INVALID, "rpc.key", "-",
		    "the fleet secret has %zu bytes, the minimum is %d", len,
		    RPC_SECRET_MIN);
		return FALSE;
	}
	crypto_generichash_init(&h, NULL, 0, sizeof(key->bytes));
	crypto_generichash_update(&h, (const uint8_t *)label, sizeof(label));
	crypto_generichash_update(&h, secret, len);
	crypto_generichash_final(&h, key->bytes, sizeof(key->bytes));
	sodium_memzero(&h, sizeof(h));
	return TRUE;
}

gboolean
rpc_key_load(rpc_key_t *key, const char *path, GError **err)
{
	char *text = ini_read_file(path, SECRET_FILE_MAX, err);
	gboolean ok;

	if (text == NULL)
		return FALSE;
	ok = rpc_key_init(key, text, strcspn(text, "\r\n"), err);
	if (!ok)
		g_prefix_error(err, "%s: ", path);
	sodium_memzero(text, strlen(text));
	g_free(text);
	return ok;
}

void
rpc_key_finish(rpc_key_t *key)
{
	sodium_memzero(key, sizeof(*key));
}

gboolean
rpc_call_sign(rpc_call_t *call, const rpc_cred_t *cred, const rpc_key_t *key,
    GError **err)
{
	gboolean ok;
	XDR x;

	xdrmem_create(&x, (char *)call->cred, sizeof(call->cred), XDR_ENCODE);
	ok = xdr_rpc_cred_t(&x, (rpc_cred_t *)cred);
	call->cred_len = (uint32_t)xdr_getpos(&x);
	xdr_destroy(&x);
	if (!ok) {
		error_set(err, ERROR_INVALID, "rpc.sign", cred->callee,
		    "the caller's or the callee's name is too long");
		return FALSE;
	}
	call_mac(call, key, call->mac);
	return TRUE;
}

static gboolean
cred_decode(const rpc_call_t *call, rpc_cred_t *cred)
{
	gboolean ok;
	XDR x;

	memset(cred, 0, sizeof(*cred));
	xdrmem_create(&x, (char *)call->cred, call->cred_len, XDR_DECODE);
	ok = call->cred_len > 0 && xdr_rpc_cred_t(&x, cred) &&
	    xdr_getpos(&x) == call->cred_len;
	xdr_destroy(&x);
	if (!ok)
		xdr_free((xdrproc_t)xdr_rpc_cred_t, (char *)cred);
	return ok;
}

static gboolean
is_self(const rpc_identity_t *self, const char *callee)
{
	return strcmp(callee, self->id) == 0 ||
	    strcmp(callee, self->address) == 0;
}

static gboolean
is_recent(const rpc_session_t *s, uint64_t elapsed, msec_t now)
{
	msec_t age;

	if (elapsed > (uint64_t)INT32_MAX)
		return FALSE;
	age = now - s->opened_at - (msec_t)elapsed;
	return age >= -RPC_DRIFT_MS && age <= RPC_CALL_AGE_MS;
}

static rpc_status_t
check_session(rpc_session_t *s, const rpc_cred_t *cred, const rpc_call_t *call,
    const rpc_nonce_t new_session, msec_t now)
{
	gboolean opens = call->proc == RPC_PROC_NULL &&
	    sodium_memcmp(cred->session, no_session, RPC_NONCE_SIZE) == 0;

	if (s->open && call->xid <= s->last_xid)
		return RPC_STATUS_REPLAYED;
	if (!opens) {
		if (!s->open ||
		    sodium_memcmp(cred->session, s->id, RPC_NONCE_SIZE) != 0)
			return RPC_STATUS_CREDENTIAL;
		if (!is_recent(s, cred->elapsed_ms, now))
			return RPC_STATUS_REPLAYED;
	} else {
		memcpy(s->id, new_session, RPC_NONCE_SIZE);
		s->opened_at = now;
		s->open = TRUE;
	}
	s->last_xid = call->xid;
	return RPC_STATUS_OK;
}

static rpc_status_t
check_target(const rpc_call_t *call)
{
	if (call->program != HOST_PROGRAM)
		return RPC_STATUS_PROGRAM;
	if (call->version != HOST_VERSION)
		return RPC_STATUS_VERSION;
	if (rpc_proc_name(call->proc) == NULL)
		return RPC_STATUS_PROCEDURE;
	return RPC_STATUS_OK;
}

rpc_status_t
rpc_session_check(rpc_session_t *s, const rpc_key_t *key,
    const rpc_identity_t *self, const rpc_call_t *call,
    const rpc_nonce_t new_session, msec_t now, rpc_caller_t *caller)
{
	uint8_t mac[RPC_MAC_SIZE];
	rpc_status_t status;
	rpc_cred_t cred;

	call_mac(call, key, mac);
	if (call->cred_len == 0)
		return RPC_STATUS_CREDENTIAL;
	if (sodium_memcmp(mac, call->mac, sizeof(mac)) != 0)
		return RPC_STATUS_VERIFIER;
	if (!cred_decode(call, &cred))
		return RPC_STATUS_CREDENTIAL;
	status = RPC_STATUS_CREDENTIAL;
	if (is_self(self, cred.callee))
		status = check_session(s, &cred, call, new_session, now);
	g_strlcpy(caller->name, cred.caller, sizeof(caller->name));
	xdr_free((xdrproc_t)xdr_rpc_cred_t, (char *)&cred);
	return status == RPC_STATUS_OK ? check_target(call) : status;
}

void
rpc_reply_sign(rpc_reply_t *reply, const uint8_t call_verifier[RPC_MAC_SIZE],
    const rpc_key_t *key)
{
	reply_mac(reply, call_verifier, key, reply->mac);
}

gboolean
rpc_reply_check(const rpc_reply_t *reply,
    const uint8_t call_verifier[RPC_MAC_SIZE], const rpc_key_t *key)
{
	uint8_t mac[RPC_MAC_SIZE];

	reply_mac(reply, call_verifier, key, mac);
	return sodium_memcmp(mac, reply->mac, sizeof(mac)) == 0;
}
