#ifndef HOST_OPERATE_H
#define HOST_OPERATE_H

#include "host/host.h"
#include "protocol/rpc_body.h"

/*
 * What operators ask of this host. Each operation has a token under which a
 * repeat finds it again, and its outcome can be asked for.
 */

/* For how long the outcome of an operation is kept. */
#define OPERATE_KEEP_MS 600000

typedef struct operation operation_t;

void operate_init(host_t *h);
void operate_finish(host_t *h);

/**
 * operate_serve() - Answer an operators' call.
 * @h: the host
 * @call: its handle
 * @args: what is asked
 */
void operate_serve(host_t *h, rpc_call_id_t call, const operate_args_t *args);

/**
 * operate_tick() - Go on with what is under way; forget what is long over.
 * @h: the host
 * @now: present time
 */
void operate_tick(host_t *h, msec_t now);

#endif
