#include <string.h>

#include "base/log.h"
#include "transport/rpc_refusal.h"

static const struct {
	const char *label, *metric, *help;
} rows[RPC_REFUSAL_COUNT] = {
    [RPC_REFUSAL_TOO_LONG] = {"too long", "rpc_refused_too_long_total",
	"RPC connections closed for a record over the size limit."},
    [RPC_REFUSAL_UNDECODABLE] = {"undecodable", "rpc_refused_undecodable_total",
	"RPC connections closed for a record that is not a call."},
    [RPC_REFUSAL_RPC_VERSION] = {"rpc version", "rpc_refused_rpc_version_total",
	"Calls of another RPC version."},
    [RPC_REFUSAL_CREDENTIAL] = {"credential", "rpc_refused_credential_total",
	"Calls with no credential, or for another host or session."},
    [RPC_REFUSAL_VERIFIER] = {"verifier", "rpc_refused_verifier_total",
	"Calls whose keyed hash is wrong."},
    [RPC_REFUSAL_REPLAYED] = {"replayed", "rpc_refused_replayed_total",
	"Calls seen before or too old."},
    [RPC_REFUSAL_PROGRAM] = {"program", "rpc_refused_program_total",
	"Calls of an unknown program."},
    [RPC_REFUSAL_VERSION] = {"program version", "rpc_refused_version_total",
	"Calls of another program version."},
    [RPC_REFUSAL_PROCEDURE] = {"procedure", "rpc_refused_procedure_total",
	"Calls of an unknown procedure."},
    [RPC_REFUSAL_ARGUMENTS] = {"arguments", "rpc_refused_arguments_total",
	"Calls with undecodable arguments."},
    [RPC_REFUSAL_BUSY] = {"busy", "rpc_refused_busy_total",
	"Calls refused for load or by the handler."},
    [RPC_REFUSAL_SLOW] = {"slow", "rpc_refused_slow_total",
	"RPC connections closed for silence or a slow record."},
    [RPC_REFUSAL_CONNECTIONS] = {"connections", "rpc_refused_connections_total",
	"RPC connections closed for exceeding the connection limit."},
};

void
rpc_refusals_init(rpc_refusals_t *r, metrics_t *metrics)
{
	int i;

	memset(r, 0, sizeof(*r));
	r->metrics = metrics;
	for (i = 0; i < RPC_REFUSAL_COUNT; i++)
		r->ids[i] = metrics_add(
		    metrics, METRIC_COUNTER, rows[i].metric, rows[i].help);
}

void
rpc_refusals_count(
    rpc_refusals_t *r, rpc_refusal_t reason, const char *peer, msec_t now)
{
	metrics_count(r->metrics, r->ids[reason], 1);
	r->unlogged[reason]++;
	if (r->logged_at[reason] != 0 &&
	    now - r->logged_at[reason] < RPC_REFUSAL_LOG_MS)
		return;
	log_event(LOG_WARN, "rpc.refused", "peer", peer, "reason",
	    rows[reason].label, "count", log_num(r->unlogged[reason]), NULL);
	r->logged_at[reason] = now;
	r->unlogged[reason] = 0;
}
