#ifndef TRANSPORT_RPC_REFUSAL_H
#define TRANSPORT_RPC_REFUSAL_H

#include "base/clock.h"
#include "base/metrics.h"

/* Counts refusals at the RPC port and logs each reason at a limited rate. */

/* Minimum time between two log lines of one reason. */
#define RPC_REFUSAL_LOG_MS 10000

typedef enum {
	RPC_REFUSAL_TOO_LONG,
	RPC_REFUSAL_UNDECODABLE,
	RPC_REFUSAL_RPC_VERSION,
	RPC_REFUSAL_CREDENTIAL,
	RPC_REFUSAL_VERIFIER,
	RPC_REFUSAL_REPLAYED,
	RPC_REFUSAL_PROGRAM,
	RPC_REFUSAL_VERSION,
	RPC_REFUSAL_PROCEDURE,
	RPC_REFUSAL_ARGUMENTS,
	RPC_REFUSAL_BUSY,
	RPC_REFUSAL_SLOW,
	RPC_REFUSAL_CONNECTIONS,
	RPC_REFUSAL_COUNT,
} rpc_refusal_t;

typedef struct {
	metrics_t *metrics;
	metric_id_t ids[RPC_REFUSAL_COUNT];
	msec_t logged_at[RPC_REFUSAL_COUNT]; /* 0: never */
	int64_t unlogged[RPC_REFUSAL_COUNT]; /* since the last log line */
} rpc_refusals_t;

void rpc_refusals_init(rpc_refusals_t *r, metrics_t *metrics);

/**
 * rpc_refusals_count() - Count one refusal, and log it if a line is due.
 * @r: the counters
 * @reason: the reason
 * @peer: address of the other end
 * @now: current time, ms
 */
void rpc_refusals_count(
    rpc_refusals_t *r, rpc_refusal_t reason, const char *peer, msec_t now);

#endif
