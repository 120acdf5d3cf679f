#ifndef FUZZ_RPC_ORACLE_H
#define FUZZ_RPC_ORACLE_H

#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "protocol/rpc_auth.h"

/*
 * The guarantee: a call runs only if a holder of the secret sent exactly these
 * bytes on this connection since the server was last started, at most
 * ORACLE_AGE_MS ago; and it runs only once.
 */

#define ORACLE_AGE_MS (RPC_CALL_AGE_MS + RPC_DRIFT_MS)

typedef enum {
	ORACLE_OK,
	ORACLE_NEVER_SENT,
	ORACLE_OTHER_CONN,
	ORACLE_LATE,
	ORACLE_TWICE,
} oracle_verdict_t;

typedef struct {
	int conn;
	msec_t at;
	GByteArray *bytes;
	gboolean ran;
} oracle_call_t;

typedef struct {
	GArray *calls; /* oracle_call_t */
} oracle_t;

static inline void
oracle_init(oracle_t *o)
{
	o->calls = g_array_new(FALSE, TRUE, sizeof(oracle_call_t));
}

static inline oracle_call_t *
oracle_call(const oracle_t *o, guint i)
{
	return &g_array_index(o->calls, oracle_call_t, i);
}

static inline void
oracle_finish(oracle_t *o)
{
	guint i;

	for (i = 0; i < o->calls->len; i++)
		g_byte_array_free(oracle_call(o, i)->bytes, TRUE);
	g_array_free(o->calls, TRUE);
}

static inline void
oracle_sent(oracle_t *o, int conn, msec_t at, const void *bytes, size_t len)
{
	oracle_call_t call = {conn, at, g_byte_array_new(), FALSE};

	g_byte_array_append(call.bytes, bytes, (guint)len);
	g_array_append_val(o->calls, call);
}

/* Checks a call that has reached the handler. */
static inline oracle_verdict_t
oracle_run(oracle_t *o, int conn, msec_t now, const void *bytes, size_t len)
{
	oracle_call_t *call;
	guint i;

	for (i = 0; i < o->calls->len; i++) {
		call = oracle_call(o, i);
		if (call->bytes->len != len ||
		    memcmp(call->bytes->data, bytes, len) != 0)
			continue;
		if (call->conn != conn)
			return ORACLE_OTHER_CONN;
		if (call->ran)
			return ORACLE_TWICE;
		if (now - call->at > ORACLE_AGE_MS)
			return ORACLE_LATE;
		call->ran = TRUE;
		return ORACLE_OK;
	}
	return ORACLE_NEVER_SENT;
}

#endif
