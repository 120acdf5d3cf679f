#include <string.h>

#include "protocol/rpc_msg.h"

#define AUTH_FLEET 0x20676c61U /* authentication flavor */
#define REPLY_VERF_SIZE (RPC_NONCE_SIZE + RPC_MAC_SIZE)
#define HEADER_MAX \
	1024 /* bytes: two of MAX_AUTH_BYTES and the fixed fields \
	      */

const char *
rpc_status_name(rpc_status_t status)
{
	static const char *const names[] = {
	    [RPC_STATUS_OK] = "ok",
	    [RPC_STATUS_PROGRAM] = "unknown program",
	    [RPC_STATUS_VERSION] = "program version not served",
	    [RPC_STATUS_PROCEDURE] = "unknown procedure",
	    [RPC_STATUS_ARGUMENTS] = "undecodable arguments",
	    [RPC_STATUS_BUSY] = "busy",
	    [RPC_STATUS_RPC_VERSION] = "rpc version not served",
	    [RPC_STATUS_CREDENTIAL] = "credential refused",
	    [RPC_STATUS_VERIFIER] = "verifier wrong",
	    [RPC_STATUS_REPLAYED] = "replayed or too old",
	};

	return names[status];
}

static void
append_header(GByteArray *out, struct rpc_msg *msg, gboolean is_call)
{
	char header[HEADER_MAX];
	XDR x;

	xdrmem_create(&x, header, sizeof(header), XDR_ENCODE);
	if (is_call ? xdr_callmsg(&x, msg) : xdr_replymsg(&x, msg))
		g_byte_array_append(
		    out, (guint8 *)header, (guint)xdr_getpos(&x));
	xdr_destroy(&x);
}

void
rpc_call_encode(GByteArray *out, const rpc_call_t *call)
{
	struct rpc_msg msg = {0};

	msg.rm_xid = call->xid;
	msg.rm_direction = CALL;
	msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	msg.rm_call.cb_prog = call->program;
	msg.rm_call.cb_vers = call->version;
	msg.rm_call.cb_proc = call->proc;
	msg.rm_call.cb_cred.oa_flavor = AUTH_FLEET;
	msg.rm_call.cb_cred.oa_base = (char *)call->cred;
	msg.rm_call.cb_cred.oa_length = call->cred_len;
	msg.rm_call.cb_verf.oa_flavor = AUTH_FLEET;
	msg.rm_call.cb_verf.oa_base = (char *)call->mac;
	msg.rm_call.cb_verf.oa_length = RPC_MAC_SIZE;
	append_header(out, &msg, TRUE);
	g_byte_array_append(out, call->body, (guint)call->body_len);
}

static void
fill_call(rpc_call_t *call, const struct rpc_msg *msg)
{
	const struct opaque_auth *verf = &msg->rm_call.cb_verf;

	call->program = msg->rm_call.cb_prog;
	call->version = msg->rm_call.cb_vers;
	call->proc = msg->rm_call.cb_proc;
	call->cred_len = msg->rm_call.cb_cred.oa_length;
	/* A credential of another flavor can't be authenticated. */
	if (msg->rm_call.cb_cred.oa_flavor != (enum_t)AUTH_FLEET ||
	    verf->oa_flavor != (enum_t)AUTH_FLEET ||
	    verf->oa_length != RPC_MAC_SIZE)
		call->cred_len = 0;
	else
		memcpy(call->mac, verf->oa_base, RPC_MAC_SIZE);
}

rpc_decode_t
rpc_call_decode(rpc_call_t *call, const uint8_t *data, size_t len)
{
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg msg = {0};
	rpc_decode_t status = RPC_DECODE_BAD;
	XDR x;

	memset(call, 0, sizeof(*call));
	msg.rm_call.cb_cred.oa_base = (char *)call->cred;
	msg.rm_call.cb_verf.oa_base = verf;
	xdrmem_create(&x, (char *)data, (u_int)len, XDR_DECODE);
	if (xdr_callmsg(&x, &msg)) {
		fill_call(call, &msg);
		call->body = data + xdr_getpos(&x);
		call->body_len = len - xdr_getpos(&x);
		status = RPC_DECODE_OK;
	} else if (len >= 3 * BYTES_PER_XDR_UNIT && msg.rm_direction == CALL &&
	    msg.rm_call.cb_rpcvers != RPC_MSG_VERSION) {
		status = RPC_DECODE_RPC_VERSION;
	}
	call->xid = msg.rm_xid;
	xdr_destroy(&x);
	return status;
}

static bool_t
no_results(XDR *x, ...)
{
	(void)x;
	return TRUE;
}

static enum accept_stat
to_accept_stat(rpc_status_t status)
{
	switch (status) {
	case RPC_STATUS_OK:
		return SUCCESS;
	case RPC_STATUS_PROGRAM:
		return PROG_UNAVAIL;
	case RPC_STATUS_VERSION:
		return PROG_MISMATCH;
	case RPC_STATUS_PROCEDURE:
		return PROC_UNAVAIL;
	case RPC_STATUS_ARGUMENTS:
		return GARBAGE_ARGS;
	default:
		return SYSTEM_ERR;
	}
}

static enum auth_stat
to_auth_stat(rpc_status_t status)
{
	switch (status) {
	case RPC_STATUS_CREDENTIAL:
		return AUTH_REJECTEDCRED;
	case RPC_STATUS_VERIFIER:
		return AUTH_BADVERF;
	default:
		return AUTH_REJECTEDVERF;
	}
}

static void
fill_accepted(struct accepted_reply *a, const rpc_reply_t *reply, char *verf)
{
	memcpy(verf, reply->session, RPC_NONCE_SIZE);
	memcpy(verf + RPC_NONCE_SIZE, reply->mac, RPC_MAC_SIZE);
	a->ar_verf.oa_flavor = AUTH_FLEET;
	a->ar_verf.oa_base = verf;
	a->ar_verf.oa_length = REPLY_VERF_SIZE;
	a->ar_stat = to_accept_stat(reply->status);
	if (reply->status == RPC_STATUS_VERSION) {
		a->ar_vers.low = reply->low;
		a->ar_vers.high = reply->high;
	} else {
		a->ar_results.proc = no_results;
	}
}

void
rpc_reply_encode(GByteArray *out, const rpc_reply_t *reply)
{
	char verf[REPLY_VERF_SIZE];
	struct rpc_msg msg = {0};

	msg.rm_xid = reply->xid;
	msg.rm_direction = REPLY;
	if (reply->status < RPC_STATUS_RPC_VERSION) {
		msg.rm_reply.rp_stat = MSG_ACCEPTED;
		fill_accepted(&msg.acpted_rply, reply, verf);
	} else {
		msg.rm_reply.rp_stat = MSG_DENIED;
		msg.rjcted_rply.rj_stat = AUTH_ERROR;
		msg.rjcted_rply.rj_why = to_auth_stat(reply->status);
		if (reply->status == RPC_STATUS_RPC_VERSION) {
			msg.rjcted_rply.rj_stat = RPC_MISMATCH;
			msg.rjcted_rply.rj_vers.low = RPC_MSG_VERSION;
			msg.rjcted_rply.rj_vers.high = RPC_MSG_VERSION;
		}
	}
	append_header(out, &msg, FALSE);
	if (reply->status == RPC_STATUS_OK)
		g_byte_array_append(out, reply->body, (guint)reply->body_len);
}

static rpc_status_t
accepted_status(const struct accepted_reply *a)
{
	switch (a->ar_stat) {
	case SUCCESS:
		return RPC_STATUS_OK;
	case PROG_UNAVAIL:
		return RPC_STATUS_PROGRAM;
	case PROG_MISMATCH:
		return RPC_STATUS_VERSION;
	case PROC_UNAVAIL:
		return RPC_STATUS_PROCEDURE;
	case GARBAGE_ARGS:
		return RPC_STATUS_ARGUMENTS;
	default:
		return RPC_STATUS_BUSY;
	}
}

static rpc_status_t
denied_status(const struct rejected_reply *r)
{
	if (r->rj_stat == RPC_MISMATCH)
		return RPC_STATUS_RPC_VERSION;
	if (r->rj_why == AUTH_BADVERF)
		return RPC_STATUS_VERIFIER;
	if (r->rj_why == AUTH_REJECTEDVERF)
		return RPC_STATUS_REPLAYED;
	return RPC_STATUS_CREDENTIAL;
}

static gboolean
fill_reply(rpc_reply_t *reply, const struct rpc_msg *msg, const char *verf)
{
	const struct accepted_reply *a = &msg->acpted_rply;

	reply->xid = msg->rm_xid;
	if (msg->rm_reply.rp_stat != MSG_ACCEPTED) {
		reply->status = denied_status(&msg->rjcted_rply);
		return TRUE;
	}
	if (a->ar_verf.oa_flavor != (enum_t)AUTH_FLEET ||
	    a->ar_verf.oa_length != REPLY_VERF_SIZE)
		return FALSE;
	memcpy(reply->session, verf, RPC_NONCE_SIZE);
	memcpy(reply->mac, verf + RPC_NONCE_SIZE, RPC_MAC_SIZE);
	reply->status = accepted_status(a);
	if (reply->status == RPC_STATUS_VERSION) {
		reply->low = a->ar_vers.low;
		reply->high = a->ar_vers.high;
	}
	return TRUE;
}

gboolean
rpc_reply_decode(rpc_reply_t *reply, const uint8_t *data, size_t len)
{
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg msg = {0};
	gboolean ok;
	XDR x;

	memset(reply, 0, sizeof(*reply));
	msg.acpted_rply.ar_verf.oa_base = verf;
	msg.acpted_rply.ar_results.proc = no_results;
	xdrmem_create(&x, (char *)data, (u_int)len, XDR_DECODE);
	ok = xdr_replymsg(&x, &msg) && fill_reply(reply, &msg, verf);
	reply->body = data + xdr_getpos(&x);
	reply->body_len = len - xdr_getpos(&x);
	xdr_destroy(&x);
	return ok;
}
