#ifndef TESTS_RPC_SAMPLES_H
#define TESTS_RPC_SAMPLES_H

#include "protocol/rpc_body.h"

/* One message for each procedure, all fields set. Nothing is to be freed. */

static rpc_lease_t sample_leases[] = {{"moves", 4}, {"lender/w1", 9}};
static rpc_move_step_t sample_steps[] = {{"m-1", 3, TRUE}};
static rpc_load_t sample_loads[] = {{"lettore-1", 2}, {"lettore-2", 1}};
static rpc_move_count_t sample_counts[] = {
    {"m-1", "GET /clip", 1, {5, 2, 1}, {90, 4, 3}}};
static rpc_withdrawal_t sample_withdrawals[] = {{"digest one", 7}, {"d2", 0}};
static rpc_key_row_t sample_keys[] = {{"digest one", "w1", TRUE, 7}};
static rpc_suspect_t sample_suspects[] = {
    {"fingerprint", 2, "till-1", 5, 6, 60000}};

static inline rpc_heartbeat_t
sample_heartbeat(void)
{
	rpc_heartbeat_t h = {{"host-a", 12, "milano", "milano-a", "127.0.0.1:1",
				 "127.0.0.1:2", RPC_HOST_LIVE, "0.1.0"},
	    5, "d", 6, -1, {2, sample_leases}, {1, sample_steps},
	    {2, sample_loads}, {1, sample_counts}};

	return h;
}

/* The procedures up to OPERATE by number, then the operations of OPERATE. */
static inline size_t
sample_args_count(void)
{
	return RPC_PROC_OPERATE + OPERATE_PROGRESS + 1;
}

static inline void
sample_operate(operate_op_t op, operate_args_t *o)
{
	static const operate_apply_t apply = {41, "[service lettore]\n", "t"};
	static const operate_key_issue_t issue = {"w1", "digest", "t"};
	static const operate_key_withdraw_t withdraw = {"digest", "t"};
	static const operate_move_start_t move = {
	    RPC_MOVE_SHIFT, "lettore", "milano", "torino", 250, 600, "t"};
	static const operate_move_cancel_t cancel = {"m-1", "t"};

	o->op = op;
	if (op == OPERATE_APPLY)
		o->operate_args_t_u.apply = apply;
	if (op == OPERATE_KEY_ISSUE)
		o->operate_args_t_u.key_issue = issue;
	if (op == OPERATE_KEY_WITHDRAW)
		o->operate_args_t_u.key_withdraw = withdraw;
	if (op == OPERATE_MOVE_START)
		o->operate_args_t_u.move_start = move;
	if (op == OPERATE_MOVE_CANCEL)
		o->operate_args_t_u.move_cancel = cancel;
}

static inline void
sample_args(size_t i, rpc_args_t *a)
{
	static const borrow_args_t borrow = {
	    "w1", "host-a", 12, 99, 3, 150, 20, 5, 70, 2, 8, 9, 10};

	memset(a, 0, sizeof(*a));
	a->proc = i < RPC_PROC_OPERATE ? (rpc_proc_t)i : RPC_PROC_OPERATE;
	if (i >= RPC_PROC_OPERATE)
		sample_operate(
		    (operate_op_t)(i - RPC_PROC_OPERATE), &a->u.operate);
	else if (i == RPC_PROC_EXCHANGE)
		a->u.exchange = (exchange_args_t){17, TRUE, sample_heartbeat()};
	else if (i == RPC_PROC_WITHDRAW)
		a->u.withdraw = (withdraw_args_t){{2, sample_withdrawals}};
	else if (i == RPC_PROC_FETCH_KEYS)
		a->u.fetch_keys.since = 3;
	else if (i == RPC_PROC_FETCH_CONFIG)
		a->u.fetch_config.config_version = 4;
	else if (i == RPC_PROC_BORROW)
		a->u.borrow = borrow;
	else if (i == RPC_PROC_SUSPECT)
		a->u.suspect = (suspect_args_t){{1, sample_suspects}};
}

static inline size_t
sample_result_count(void)
{
	return RPC_PROC_OPERATE + 1;
}

static inline void
sample_result(size_t i, rpc_result_t *r)
{
	memset(r, 0, sizeof(*r));
	r->proc = (rpc_proc_t)i;
	if (i == RPC_PROC_EXCHANGE)
		r->u.exchange = (exchange_result_t){
		    17, TRUE, FALSE, TRUE, sample_heartbeat()};
	else if (i == RPC_PROC_WITHDRAW)
		r->u.withdraw = (withdraw_result_t){TRUE, 12, 7};
	else if (i == RPC_PROC_FETCH_KEYS)
		r->u.fetch_keys =
		    (fetch_keys_result_t){{1, sample_keys}, 7, FALSE};
	else if (i == RPC_PROC_FETCH_CONFIG)
		r->u.fetch_config = (fetch_config_result_t){
		    TRUE, {{4, "digest", "[region milano]\n"}}};
	else if (i == RPC_PROC_BORROW)
		r->u.borrow = (borrow_result_t){TRUE, 3, 99, 500, 4, 11};
	else if (i == RPC_PROC_OPERATE)
		r->u.operate =
		    (operate_result_t){OPERATE_IN_FORCE, 42, 3, 3, "{}"};
}

#endif
