#ifndef PROTOCOL_RPC_BODY_H
#define PROTOCOL_RPC_BODY_H

#include <glib.h>

#include "protocol/gen/host_rpc.h"

/*
 * Arguments and results of the RPC procedures, as unions tagged with the
 * procedure. A decoded body owns its memory until it is cleared; a body that is
 * only encoded may point to memory of any owner. No string in a body may be
 * NULL.
 */

typedef enum {
	RPC_PROC_NULL = HOST_NULL,
	RPC_PROC_EXCHANGE = HOST_EXCHANGE,
	RPC_PROC_WITHDRAW = HOST_WITHDRAW,
	RPC_PROC_FETCH_KEYS = HOST_FETCH_KEYS,
	RPC_PROC_FETCH_CONFIG = HOST_FETCH_CONFIG,
	RPC_PROC_BORROW = HOST_BORROW,
	RPC_PROC_SUSPECT = HOST_SUSPECT,
	RPC_PROC_OPERATE = HOST_OPERATE,
} rpc_proc_t;

typedef struct {
	rpc_proc_t proc;
	union {
		exchange_args_t exchange;
		withdraw_args_t withdraw;
		fetch_keys_args_t fetch_keys;
		fetch_config_args_t fetch_config;
		borrow_args_t borrow;
		suspect_args_t suspect;
		operate_args_t operate;
	} u;
} rpc_args_t;

typedef struct {
	rpc_proc_t proc;
	union {
		exchange_result_t exchange;
		withdraw_result_t withdraw;
		fetch_keys_result_t fetch_keys;
		fetch_config_result_t fetch_config;
		borrow_result_t borrow;
		operate_result_t operate;
	} u;
} rpc_result_t;

/**
 * rpc_proc_name() - Name of a procedure for logs; NULL if it is unknown.
 * @proc: procedure number as received
 */
const char *rpc_proc_name(uint32_t proc);

/**
 * rpc_args_encode() - Append arguments in XDR.
 * @out: the arguments are appended here
 * @args: the arguments
 * @err: ERROR_INVALID if a string or array exceeds its bound
 */
gboolean rpc_args_encode(GByteArray *out, const rpc_args_t *args, GError **err);
gboolean rpc_result_encode(
    GByteArray *out, const rpc_result_t *result, GError **err);

/**
 * rpc_args_decode() - Decode arguments. Fails if bytes are left over.
 * @args: filled in; to be cleared only after success
 * @proc: number of a known procedure
 * @data: body of the call
 * @len: its length in bytes
 */
gboolean rpc_args_decode(
    rpc_args_t *args, uint32_t proc, const uint8_t *data, size_t len);
gboolean rpc_result_decode(
    rpc_result_t *result, uint32_t proc, const uint8_t *data, size_t len);

void rpc_args_clear(rpc_args_t *args);
void rpc_result_clear(rpc_result_t *result);

#endif
