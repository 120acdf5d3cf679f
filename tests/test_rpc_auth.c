#include <string.h>

#include "base/error.h"
#include "fuzz/rpc_oracle.h"
#include "protocol/rpc_auth.h"
#include "protocol/rpc_body.h"
#include "suite.h"

static const rpc_identity_t self = {"host-a", "127.0.0.1:7"};
static const rpc_nonce_t new_session = "a fresh session";
static rpc_key_t key;

static void
sign(rpc_call_t *call, const rpc_nonce_t session, const char *callee,
    uint64_t elapsed, const rpc_key_t *with)
{
	rpc_cred_t cred = {"", "a nonce", "host-b", (char *)callee, elapsed};

	memcpy(cred.session, session, RPC_NONCE_SIZE);
	ck_assert(rpc_call_sign(call, &cred, with, NULL));
}

static const rpc_nonce_t no_session;

typedef enum {
	UNCHANGED,
	OTHER_SECRET,
	OTHER_CALLEE,
	BY_ADDRESS,
	OTHER_SESSION,
	NO_SESSION,
	CALL_REPEATED,
	OLDER_XID,
	DELAYED,
	DELAYED_TO_BOUND,
	ELAPSED_AHEAD,
	BODY_CHANGED,
	BODY_CUT,
	PROC_CHANGED,
	XID_CHANGED,
	CRED_CHANGED,
	MAC_CHANGED,
	NO_CRED,
	PROGRAM_UNKNOWN,
	VERSION_UNKNOWN,
	PROC_UNKNOWN,
} change_t;

static void
change_before_signing(change_t change, rpc_call_t *call)
{
	if (change == PROGRAM_UNKNOWN)
		call->program++;
	if (change == VERSION_UNKNOWN)
		call->version++;
	if (change == PROC_UNKNOWN)
		call->proc = 8;
	if (change == OLDER_XID)
		call->xid = 4;
}

static void
change_after_signing(change_t change, rpc_call_t *call)
{
	if (change == BODY_CHANGED)
		call->body = (const uint8_t *)"ABCD";
	if (change == BODY_CUT)
		call->body_len--;
	if (change == PROC_CHANGED)
		call->proc = RPC_PROC_OPERATE;
	if (change == XID_CHANGED)
		call->xid++;
	if (change == CRED_CHANGED)
		call->cred[RPC_NONCE_SIZE] ^= 1;
	if (change == MAC_CHANGED)
		call->mac[31] ^= 1;
	if (change == NO_CRED)
		call->cred_len = 0;
}

/*
 * Opens a session at 1000 with xid 5, and checks a call that is sent and
 * received at 2000, with the given change.
 */
static rpc_status_t
check_changed(change_t change)
{
	const uint8_t *session = (const uint8_t *)new_session;
	rpc_session_t s = {0};
	rpc_call_t call = {0};
	rpc_key_t other;
	rpc_caller_t caller;
	msec_t now = 2000;

	call.program = HOST_PROGRAM;
	call.version = HOST_VERSION;
	call.xid = 5;
	sign(&call, no_session, self.id, 0, &key);
	ck_assert_int_eq(rpc_session_check(&s, &key, &self, &call, new_session,
			     1000, &caller),
	    RPC_STATUS_OK);
	ck_assert_str_eq(caller.name, "host-b");
	call.xid = 6;
	call.proc = RPC_PROC_BORROW;
	call.body = (const uint8_t *)"abcd";
	call.body_len = 4;
	change_before_signing(change, &call);
	rpc_key_init(&other, "another fleet's secret", 22, NULL);
	if (change == OTHER_SESSION)
		session = (const uint8_t *)"an older session";
	if (change == NO_SESSION)
		session = (const uint8_t *)no_session;
	sign(&call, (const char *)session,
	    change == OTHER_CALLEE     ? "host-c"
		: change == BY_ADDRESS ? self.address
				       : self.id,
	    change == ELAPSED_AHEAD ? 1000 + RPC_DRIFT_MS + 1 : 1000,
	    change == OTHER_SECRET ? &other : &key);
	change_after_signing(change, &call);
	if (change == CALL_REPEATED)
		rpc_session_check(
		    &s, &key, &self, &call, new_session, now, &caller);
	if (change == DELAYED)
		now += RPC_CALL_AGE_MS + 1;
	if (change == DELAYED_TO_BOUND)
		now += RPC_CALL_AGE_MS;
	return rpc_session_check(
	    &s, &key, &self, &call, new_session, now, &caller);
}

static void
calls_are_refused_with_the_right_status(void)
{
	static const rpc_status_t expected[] = {
	    [UNCHANGED] = RPC_STATUS_OK,
	    [OTHER_SECRET] = RPC_STATUS_VERIFIER,
	    [OTHER_CALLEE] = RPC_STATUS_CREDENTIAL,
	    [BY_ADDRESS] = RPC_STATUS_OK,
	    [OTHER_SESSION] = RPC_STATUS_CREDENTIAL,
	    [NO_SESSION] = RPC_STATUS_CREDENTIAL,
	    [CALL_REPEATED] = RPC_STATUS_REPLAYED,
	    [OLDER_XID] = RPC_STATUS_REPLAYED,
	    [DELAYED] = RPC_STATUS_REPLAYED,
	    [DELAYED_TO_BOUND] = RPC_STATUS_OK,
	    [ELAPSED_AHEAD] = RPC_STATUS_REPLAYED,
	    [BODY_CHANGED] = RPC_STATUS_VERIFIER,
	    [BODY_CUT] = RPC_STATUS_VERIFIER,
	    [PROC_CHANGED] = RPC_STATUS_VERIFIER,
	    [XID_CHANGED] = RPC_STATUS_VERIFIER,
	    [CRED_CHANGED] = RPC_STATUS_VERIFIER,
	    [MAC_CHANGED] = RPC_STATUS_VERIFIER,
	    [NO_CRED] = RPC_STATUS_CREDENTIAL,
	    [PROGRAM_UNKNOWN] = RPC_STATUS_PROGRAM,
	    [VERSION_UNKNOWN] = RPC_STATUS_VERSION,
	    [PROC_UNKNOWN] = RPC_STATUS_PROCEDURE,
	};
	size_t i;

	for (i = 0; i < sizeof(expected) / sizeof(expected[0]); i++)
		ck_assert_msg(check_changed((change_t)i) == expected[i],
		    "change %zu: %s", i,
		    rpc_status_name(check_changed((change_t)i)));
}

static void
call_headers_survive_a_round_trip(void)
{
	GByteArray *wire = g_byte_array_new();
	rpc_call_t call = {0}, decoded;
	rpc_reply_t reply;

	call.xid = 9;
	call.program = HOST_PROGRAM;
	call.version = HOST_VERSION;
	call.proc = RPC_PROC_WITHDRAW;
	call.body = (const uint8_t *)"body";
	call.body_len = 4;
	sign(&call, new_session, "host-a", 77, &key);
	rpc_call_encode(wire, &call);
	ck_assert_int_eq(
	    rpc_call_decode(&decoded, wire->data, wire->len), RPC_DECODE_OK);
	ck_assert_uint_eq(decoded.xid, 9);
	ck_assert_uint_eq(decoded.proc, RPC_PROC_WITHDRAW);
	ck_assert_uint_eq(decoded.body_len, 4);
	ck_assert_mem_eq(decoded.mac, call.mac, RPC_MAC_SIZE);
	ck_assert_uint_eq(decoded.cred_len, call.cred_len);
	ck_assert(!rpc_reply_decode(&reply, wire->data, wire->len));
	wire->data[11] = 3;
	ck_assert_int_eq(rpc_call_decode(&decoded, wire->data, wire->len),
	    RPC_DECODE_RPC_VERSION);
	ck_assert_uint_eq(decoded.xid, 9);
	g_byte_array_free(wire, TRUE);
}

static void
check_reply_round_trip(rpc_status_t status, GByteArray *wire)
{
	static const uint8_t mac[RPC_MAC_SIZE] = "of the call";
	static const uint8_t other[RPC_MAC_SIZE] = "of another call";
	rpc_reply_t reply = {0}, decoded;

	reply.xid = 11;
	reply.status = status;
	reply.low = status == RPC_STATUS_VERSION ? 1 : 0;
	reply.body = (const uint8_t *)"abcd";
	reply.body_len = status == RPC_STATUS_OK ? 4 : 0;
	rpc_reply_sign(&reply, mac, &key);
	rpc_reply_encode(wire, &reply);
	ck_assert(rpc_reply_decode(&decoded, wire->data, wire->len));
	ck_assert_uint_eq(decoded.xid, 11);
	ck_assert_int_eq(decoded.status, status);
	ck_assert_uint_eq(decoded.body_len, reply.body_len);
	if (status >= RPC_STATUS_RPC_VERSION)
		return;
	ck_assert(rpc_reply_check(&decoded, mac, &key));
	ck_assert(!rpc_reply_check(&decoded, other, &key));
	decoded.session[0] ^= 1;
	ck_assert(!rpc_reply_check(&decoded, mac, &key));
}

static void
replies_survive_a_round_trip(void)
{
	GByteArray *wire = g_byte_array_new();
	int status;

	for (status = RPC_STATUS_OK; status <= RPC_STATUS_REPLAYED; status++) {
		g_byte_array_set_size(wire, 0);
		check_reply_round_trip((rpc_status_t)status, wire);
	}
	g_byte_array_free(wire, TRUE);
}

static void
short_secrets_are_refused(void)
{
	GError *err = NULL;
	rpc_key_t k;

	ck_assert(!rpc_key_init(&k, "fifteen bytes..", 15, &err));
	ck_assert_int_eq(err->code, ERROR_INVALID);
	g_error_free(err);
}

/*
 * Calls sent at 100 by connection 1. Each row but the first breaks one rule
 * on delivery.
 */
static void
oracle_reports_broken_rules(void)
{
	static const struct {
		int conn;
		msec_t at;
		const char *bytes;
		oracle_verdict_t expected;
	} rows[] = {
	    {1, 100 + RPC_CALL_AGE_MS, "call", ORACLE_OK},
	    {1, 200, "call", ORACLE_TWICE},
	    {2, 200, "other", ORACLE_OTHER_CONN},
	    {1, 100 + ORACLE_AGE_MS + 1, "other", ORACLE_LATE},
	    {1, 200, "forged", ORACLE_NEVER_SENT},
	};
	oracle_t o;
	size_t i;

	oracle_init(&o);
	oracle_sent(&o, 1, 100, "call", 4);
	oracle_sent(&o, 1, 100, "other", 5);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		ck_assert_int_eq(oracle_run(&o, rows[i].conn, rows[i].at,
				     rows[i].bytes, strlen(rows[i].bytes)),
		    rows[i].expected);
	oracle_finish(&o);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"calls are refused with the right status",
		calls_are_refused_with_the_right_status},
	    {"call headers survive a round trip",
		call_headers_survive_a_round_trip},
	    {"replies survive a round trip", replies_survive_a_round_trip},
	    {"the oracle reports broken rules", oracle_reports_broken_rules},
	    {"short secrets are refused", short_secrets_are_refused},
	};

	rpc_key_init(&key, "the fleet's secret", 18, NULL);
	return suite_run("rpc auth", cases, sizeof(cases) / sizeof(cases[0]));
}
