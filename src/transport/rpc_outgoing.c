#include "base/error.h"
#include "transport/rpc_outgoing.h"

static void
outgoing_free(rpc_outgoing_t *call)
{
	event_free(call->deadline);
	if (call->body != NULL)
		g_byte_array_free(call->body, TRUE);
	g_free(call);
}

void
rpc_outgoing_fail(rpc_outgoing_t *call, error_code_t code, const char *why)
{
	GError *err = NULL;
	char step[32];

	g_snprintf(step, sizeof(step), "rpc.%s", rpc_proc_name(call->proc));
	error_set(&err, code, step, call->peer->address, "%s", why);
	call->fn(call->arg, NULL, err);
	g_error_free(err);
	outgoing_free(call);
}

error_code_t
rpc_outgoing_code(rpc_status_t status)
{
	switch (status) {
	case RPC_STATUS_BUSY:
		return ERROR_UNAVAILABLE;
	case RPC_STATUS_PROGRAM:
	case RPC_STATUS_VERSION:
	case RPC_STATUS_PROCEDURE:
	case RPC_STATUS_ARGUMENTS:
		return ERROR_INVALID;
	default:
		return ERROR_DENIED;
	}
}

void
rpc_outgoing_answer(rpc_outgoing_t *call, const rpc_reply_t *reply)
{
	rpc_result_t result;

	if (reply->status != RPC_STATUS_OK) {
		rpc_outgoing_fail(call, rpc_outgoing_code(reply->status),
		    rpc_status_name(reply->status));
		return;
	}
	if (!rpc_result_decode(
		&result, call->proc, reply->body, reply->body_len)) {
		rpc_outgoing_fail(
		    call, ERROR_UNKNOWN, "the answer can't be read");
		return;
	}
	call->fn(call->arg, &result, NULL);
	rpc_result_clear(&result);
	outgoing_free(call);
}
