#ifndef HOST_OPERATE_H
#define HOST_OPERATE_H

#include "host/host.h"
#include "protocol/rpc_body.h"

/*
 * Operators' requests to this host. A repeated request finds its operation by
 * the operation's token, which also serves to query the outcome.
 */

/* How long an operation and its outcome are kept, from its start. */
#define OPERATE_KEEP_MS 600000

typedef struct operation operation_t;

void operate_init(host_t *h);
void operate_finish(host_t *h);

/**
 * operate_serve() - Answer an operator's call.
 * @h: the host
 * @call: handle of the call
 * @args: the operator's request
 */
void operate_serve(host_t *h, rpc_call_id_t call, const operate_args_t *args);

/**
 * operate_tick() - Advance operations under way; drop those older than
 * OPERATE_KEEP_MS.
 * @h: the host
 * @now: present time
 */
void operate_tick(host_t *h, msec_t now);

#endif
