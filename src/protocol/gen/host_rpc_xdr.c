
#include "host_rpc.h"

bool_t
xdr_rpc_name_t (XDR *xdrs, rpc_name_t *objp)
{
	register int32_t *buf;

	 if (!xdr_string (xdrs, objp, RPC_NAME_MAX))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_rpc_address_t (XDR *xdrs, rpc_address_t *objp)
{
	register int32_t *buf;

	 if (!xdr_string (xdrs, objp, RPC_ADDRESS_MAX))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_rpc_digest_t (XDR *xdrs, rpc_digest_t objp)
{
	register int32_t *buf;

	 if (!xdr_opaque (xdrs, objp, RPC_DIGEST_SIZE))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_rpc_token_t (XDR *xdrs, rpc_token_t objp)
{
	register int32_t *buf;

	 if (!xdr_opaque (xdrs, objp, RPC_TOKEN_SIZE))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_rpc_nonce_t (XDR *xdrs, rpc_nonce_t objp)
{
	register int32_t *buf;

	 if (!xdr_opaque (xdrs, objp, RPC_NONCE_SIZE))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_rpc_cred_t (XDR *xdrs, rpc_cred_t *objp)
{
	register int32_t *buf;

	 if (!xdr_rpc_nonce_t (xdrs, objp->session))
		 return FALSE;
	 if (!xdr_rpc_nonce_t (xdrs, objp->nonce))
		 return FALSE;
	 if (!xdr_rpc_address_t (xdrs, &objp->caller))
		 return FALSE;
	 if (!xdr_rpc_address_t (xdrs, &objp->callee))
		 return FALSE;
	 if (!xdr_u_quad_t (xdrs, &objp->elapsed_ms))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_rpc_host_state_t (XDR *xdrs, rpc_host_state_t *objp)
{
	register int32_t *buf;

	 if (!xdr_enum (xdrs, (enum_t *) objp))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_rpc_host_t (XDR *xdrs, rpc_host_t *objp)
{
	register int32_t *buf;

	 if (!xdr_rpc_name_t (xdrs, &objp->id))
		 return FALSE;
	 if (!xdr_u_quad_t (xdrs, &objp->incarnation))
		 return FALSE;
	 if (!xdr_rpc_name_t (xdrs, &objp->region))
		 return FALSE;
	 if (!xdr_rpc_name_t (xdrs, &objp->domain))
		 return FALSE;
	 if (!xdr_rpc_address_t (xdrs, &objp->rpc_address))
		 return FALSE;
	 if (!xdr_rpc_address_t (xdrs, &objp->callers_address))
		 return FALSE;
	 if (!xdr_rpc_host_state_t (xdrs, &objp->state))
		 return FALSE;
	 if (!xdr_rpc_name_t (xdrs, &objp->build))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_rpc_lease_t (XDR *xdrs, rpc_lease_t *objp)
{
	register int32_t *buf;

	 if (!xdr_rpc_name_t (xdrs, &objp->name))
		 return FALSE;
	 if (!xdr_u_quad_t (xdrs, &objp->epoch))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_rpc_move_step_t (XDR *xdrs, rpc_move_step_t *objp)
{
	register int32_t *buf;

	 if (!xdr_rpc_name_t (xdrs, &objp->move))
		 return FALSE;
	 if (!xdr_u_int (xdrs, &objp->step))
		 return FALSE;
	 if (!xdr_bool (xdrs, &objp->stopped))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_rpc_version_count_t (XDR *xdrs, rpc_version_count_t *objp)
{
	register int32_t *buf;

	 if (!xdr_u_int (xdrs, &objp->requests))
		 return FALSE;
	 if (!xdr_u_int (xdrs, &objp->errors))
		 return FALSE;
	 if (!xdr_u_int (xdrs, &objp->slow))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_rpc_move_count_t (XDR *xdrs, rpc_move_count_t *objp)
{
	register int32_t *buf;

	 if (!xdr_rpc_name_t (xdrs, &objp->move))
		 return FALSE;
	 if (!xdr_rpc_name_t (xdrs, &objp->route))
		 return FALSE;
	 if (!xdr_u_int (xdrs, &objp->band))
		 return FALSE;
	 if (!xdr_rpc_version_count_t (xdrs, &objp->new_version))
		 return FALSE;
	 if (!xdr_rpc_version_count_t (xdrs, &objp->old_version))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_rpc_load_t (XDR *xdrs, rpc_load_t *objp)
{
	register int32_t *buf;

	 if (!xdr_rpc_name_t (xdrs, &objp->endpoint))
		 return FALSE;
	 if (!xdr_u_int (xdrs, &objp->in_flight))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_rpc_heartbeat_t (XDR *xdrs, rpc_heartbeat_t *objp)
{
	register int32_t *buf;

	 if (!xdr_rpc_host_t (xdrs, &objp->host))
		 return FALSE;
	 if (!xdr_u_quad_t (xdrs, &objp->config_version))
		 return FALSE;
	 if (!xdr_rpc_digest_t (xdrs, objp->config_digest))
		 return FALSE;
	 if (!xdr_u_quad_t (xdrs, &objp->keys_version))
		 return FALSE;
	 if (!xdr_quad_t (xdrs, &objp->store_age_ms))
		 return FALSE;
	 if (!xdr_array (xdrs, (char **)&objp->leases.leases_val, (u_int *) &objp->leases.leases_len, RPC_LEASES_MAX,
		sizeof (rpc_lease_t), (xdrproc_t) xdr_rpc_lease_t))
		 return FALSE;
	 if (!xdr_array (xdrs, (char **)&objp->moves.moves_val, (u_int *) &objp->moves.moves_len, RPC_MOVES_MAX,
		sizeof (rpc_move_step_t), (xdrproc_t) xdr_rpc_move_step_t))
		 return FALSE;
	 if (!xdr_array (xdrs, (char **)&objp->loads.loads_val, (u_int *) &objp->loads.loads_len, RPC_LOADS_MAX,
		sizeof (rpc_load_t), (xdrproc_t) xdr_rpc_load_t))
		 return FALSE;
	 if (!xdr_array (xdrs, (char **)&objp->counts.counts_val, (u_int *) &objp->counts.counts_len, RPC_COUNTS_MAX,
		sizeof (rpc_move_count_t), (xdrproc_t) xdr_rpc_move_count_t))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_exchange_args_t (XDR *xdrs, exchange_args_t *objp)
{
	register int32_t *buf;

	 if (!xdr_u_quad_t (xdrs, &objp->sequence))
		 return FALSE;
	 if (!xdr_bool (xdrs, &objp->want_promise))
		 return FALSE;
	 if (!xdr_rpc_heartbeat_t (xdrs, &objp->heartbeat))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_exchange_result_t (XDR *xdrs, exchange_result_t *objp)
{
	register int32_t *buf;


	if (xdrs->x_op == XDR_ENCODE) {
		 if (!xdr_u_quad_t (xdrs, &objp->sequence))
			 return FALSE;
		buf = XDR_INLINE (xdrs, 3 * BYTES_PER_XDR_UNIT);
		if (buf == NULL) {
			 if (!xdr_bool (xdrs, &objp->promises))
				 return FALSE;
			 if (!xdr_bool (xdrs, &objp->knows_incarnation))
				 return FALSE;
			 if (!xdr_bool (xdrs, &objp->superseded))
				 return FALSE;

		} else {
		IXDR_PUT_BOOL(buf, objp->promises);
		IXDR_PUT_BOOL(buf, objp->knows_incarnation);
		IXDR_PUT_BOOL(buf, objp->superseded);
		}
		 if (!xdr_rpc_heartbeat_t (xdrs, &objp->heartbeat))
			 return FALSE;
		return TRUE;
	} else if (xdrs->x_op == XDR_DECODE) {
		 if (!xdr_u_quad_t (xdrs, &objp->sequence))
			 return FALSE;
		buf = XDR_INLINE (xdrs, 3 * BYTES_PER_XDR_UNIT);
		if (buf == NULL) {
			 if (!xdr_bool (xdrs, &objp->promises))
				 return FALSE;
			 if (!xdr_bool (xdrs, &objp->knows_incarnation))
				 return FALSE;
			 if (!xdr_bool (xdrs, &objp->superseded))
				 return FALSE;

		} else {
		objp->promises = IXDR_GET_BOOL(buf);
		objp->knows_incarnation = IXDR_GET_BOOL(buf);
		objp->superseded = IXDR_GET_BOOL(buf);
		}
		 if (!xdr_rpc_heartbeat_t (xdrs, &objp->heartbeat))
			 return FALSE;
	 return TRUE;
	}

	 if (!xdr_u_quad_t (xdrs, &objp->sequence))
		 return FALSE;
	 if (!xdr_bool (xdrs, &objp->promises))
		 return FALSE;
	 if (!xdr_bool (xdrs, &objp->knows_incarnation))
		 return FALSE;
	 if (!xdr_bool (xdrs, &objp->superseded))
		 return FALSE;
	 if (!xdr_rpc_heartbeat_t (xdrs, &objp->heartbeat))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_rpc_withdrawal_t (XDR *xdrs, rpc_withdrawal_t *objp)
{
	register int32_t *buf;

	 if (!xdr_rpc_digest_t (xdrs, objp->digest))
		 return FALSE;
	 if (!xdr_u_quad_t (xdrs, &objp->store_version))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_withdraw_args_t (XDR *xdrs, withdraw_args_t *objp)
{
	register int32_t *buf;

	 if (!xdr_array (xdrs, (char **)&objp->keys.keys_val, (u_int *) &objp->keys.keys_len, RPC_KEYS_MAX,
		sizeof (rpc_withdrawal_t), (xdrproc_t) xdr_rpc_withdrawal_t))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_withdraw_result_t (XDR *xdrs, withdraw_result_t *objp)
{
	register int32_t *buf;

	 if (!xdr_bool (xdrs, &objp->confirmed))
		 return FALSE;
	 if (!xdr_u_quad_t (xdrs, &objp->incarnation))
		 return FALSE;
	 if (!xdr_u_quad_t (xdrs, &objp->keys_version))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_fetch_keys_args_t (XDR *xdrs, fetch_keys_args_t *objp)
{
	register int32_t *buf;

	 if (!xdr_u_quad_t (xdrs, &objp->since))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_rpc_key_row_t (XDR *xdrs, rpc_key_row_t *objp)
{
	register int32_t *buf;

	 if (!xdr_rpc_digest_t (xdrs, objp->digest))
		 return FALSE;
	 if (!xdr_rpc_name_t (xdrs, &objp->workspace))
		 return FALSE;
	 if (!xdr_bool (xdrs, &objp->withdrawn))
		 return FALSE;
	 if (!xdr_u_quad_t (xdrs, &objp->store_version))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_fetch_keys_result_t (XDR *xdrs, fetch_keys_result_t *objp)
{
	register int32_t *buf;

	 if (!xdr_array (xdrs, (char **)&objp->keys.keys_val, (u_int *) &objp->keys.keys_len, RPC_KEYS_MAX,
		sizeof (rpc_key_row_t), (xdrproc_t) xdr_rpc_key_row_t))
		 return FALSE;
	 if (!xdr_u_quad_t (xdrs, &objp->keys_version))
		 return FALSE;
	 if (!xdr_bool (xdrs, &objp->more))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_fetch_config_args_t (XDR *xdrs, fetch_config_args_t *objp)
{
	register int32_t *buf;

	 if (!xdr_u_quad_t (xdrs, &objp->config_version))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_rpc_config_t (XDR *xdrs, rpc_config_t *objp)
{
	register int32_t *buf;

	 if (!xdr_u_quad_t (xdrs, &objp->config_version))
		 return FALSE;
	 if (!xdr_rpc_digest_t (xdrs, objp->digest))
		 return FALSE;
	 if (!xdr_string (xdrs, &objp->text, RPC_TEXT_MAX))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_fetch_config_result_t (XDR *xdrs, fetch_config_result_t *objp)
{
	register int32_t *buf;

	 if (!xdr_bool (xdrs, &objp->present))
		 return FALSE;
	switch (objp->present) {
	case TRUE:
		 if (!xdr_rpc_config_t (xdrs, &objp->fetch_config_result_t_u.config))
			 return FALSE;
		break;
	case FALSE:
		break;
	default:
		return FALSE;
	}
	return TRUE;
}

bool_t
xdr_borrow_args_t (XDR *xdrs, borrow_args_t *objp)
{
	register int32_t *buf;

	 if (!xdr_rpc_name_t (xdrs, &objp->workspace))
		 return FALSE;
	 if (!xdr_rpc_name_t (xdrs, &objp->borrower))
		 return FALSE;
	 if (!xdr_u_quad_t (xdrs, &objp->incarnation))
		 return FALSE;
	 if (!xdr_u_quad_t (xdrs, &objp->sequence))
		 return FALSE;
	 if (!xdr_u_quad_t (xdrs, &objp->epoch))
		 return FALSE;
	 if (!xdr_u_quad_t (xdrs, &objp->taken))
		 return FALSE;
	 if (!xdr_u_quad_t (xdrs, &objp->used))
		 return FALSE;
	 if (!xdr_u_quad_t (xdrs, &objp->returned))
		 return FALSE;
	 if (!xdr_u_quad_t (xdrs, &objp->demand))
		 return FALSE;
	 if (!xdr_u_quad_t (xdrs, &objp->wanted))
		 return FALSE;
	 if (!xdr_quad_t (xdrs, &objp->delegated_rate))
		 return FALSE;
	 if (!xdr_quad_t (xdrs, &objp->delegated_burst))
		 return FALSE;
	 if (!xdr_quad_t (xdrs, &objp->echo))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_borrow_result_t (XDR *xdrs, borrow_result_t *objp)
{
	register int32_t *buf;

	 if (!xdr_bool (xdrs, &objp->answered))
		 return FALSE;
	 if (!xdr_u_quad_t (xdrs, &objp->epoch))
		 return FALSE;
	 if (!xdr_u_quad_t (xdrs, &objp->sequence))
		 return FALSE;
	 if (!xdr_u_quad_t (xdrs, &objp->granted))
		 return FALSE;
	 if (!xdr_u_quad_t (xdrs, &objp->excess))
		 return FALSE;
	 if (!xdr_quad_t (xdrs, &objp->stamp))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_rpc_suspect_t (XDR *xdrs, rpc_suspect_t *objp)
{
	register int32_t *buf;

	 if (!xdr_rpc_digest_t (xdrs, objp->fingerprint))
		 return FALSE;
	 if (!xdr_u_int (xdrs, &objp->kind))
		 return FALSE;
	 if (!xdr_rpc_name_t (xdrs, &objp->endpoint))
		 return FALSE;
	 if (!xdr_u_int (xdrs, &objp->age_ms))
		 return FALSE;
	 if (!xdr_u_int (xdrs, &objp->run_age_ms))
		 return FALSE;
	 if (!xdr_u_int (xdrs, &objp->left_ms))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_suspect_args_t (XDR *xdrs, suspect_args_t *objp)
{
	register int32_t *buf;

	 if (!xdr_array (xdrs, (char **)&objp->suspects.suspects_val, (u_int *) &objp->suspects.suspects_len, RPC_SUSPECTS_MAX,
		sizeof (rpc_suspect_t), (xdrproc_t) xdr_rpc_suspect_t))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_operate_op_t (XDR *xdrs, operate_op_t *objp)
{
	register int32_t *buf;

	 if (!xdr_enum (xdrs, (enum_t *) objp))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_operate_apply_t (XDR *xdrs, operate_apply_t *objp)
{
	register int32_t *buf;

	 if (!xdr_u_quad_t (xdrs, &objp->base_version))
		 return FALSE;
	 if (!xdr_string (xdrs, &objp->text, RPC_TEXT_MAX))
		 return FALSE;
	 if (!xdr_rpc_token_t (xdrs, objp->token))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_operate_key_issue_t (XDR *xdrs, operate_key_issue_t *objp)
{
	register int32_t *buf;

	 if (!xdr_rpc_name_t (xdrs, &objp->workspace))
		 return FALSE;
	 if (!xdr_rpc_digest_t (xdrs, objp->digest))
		 return FALSE;
	 if (!xdr_rpc_token_t (xdrs, objp->token))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_operate_key_withdraw_t (XDR *xdrs, operate_key_withdraw_t *objp)
{
	register int32_t *buf;

	 if (!xdr_rpc_digest_t (xdrs, objp->digest))
		 return FALSE;
	 if (!xdr_rpc_token_t (xdrs, objp->token))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_rpc_move_kind_t (XDR *xdrs, rpc_move_kind_t *objp)
{
	register int32_t *buf;

	 if (!xdr_enum (xdrs, (enum_t *) objp))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_operate_move_start_t (XDR *xdrs, operate_move_start_t *objp)
{
	register int32_t *buf;

	 if (!xdr_rpc_move_kind_t (xdrs, &objp->kind))
		 return FALSE;
	 if (!xdr_rpc_name_t (xdrs, &objp->service))
		 return FALSE;
	 if (!xdr_rpc_name_t (xdrs, &objp->from))
		 return FALSE;
	 if (!xdr_rpc_name_t (xdrs, &objp->to))
		 return FALSE;
	 if (!xdr_u_int (xdrs, &objp->share_permille))
		 return FALSE;
	 if (!xdr_u_int (xdrs, &objp->within_sec))
		 return FALSE;
	 if (!xdr_rpc_token_t (xdrs, objp->token))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_operate_move_cancel_t (XDR *xdrs, operate_move_cancel_t *objp)
{
	register int32_t *buf;

	 if (!xdr_rpc_name_t (xdrs, &objp->move))
		 return FALSE;
	 if (!xdr_rpc_token_t (xdrs, objp->token))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_operate_progress_t (XDR *xdrs, operate_progress_t *objp)
{
	register int32_t *buf;

	 if (!xdr_rpc_token_t (xdrs, objp->token))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_operate_args_t (XDR *xdrs, operate_args_t *objp)
{
	register int32_t *buf;

	 if (!xdr_operate_op_t (xdrs, &objp->op))
		 return FALSE;
	switch (objp->op) {
	case OPERATE_STATUS:
	case OPERATE_DUMP:
		break;
	case OPERATE_APPLY:
		 if (!xdr_operate_apply_t (xdrs, &objp->operate_args_t_u.apply))
			 return FALSE;
		break;
	case OPERATE_KEY_ISSUE:
		 if (!xdr_operate_key_issue_t (xdrs, &objp->operate_args_t_u.key_issue))
			 return FALSE;
		break;
	case OPERATE_KEY_WITHDRAW:
		 if (!xdr_operate_key_withdraw_t (xdrs, &objp->operate_args_t_u.key_withdraw))
			 return FALSE;
		break;
	case OPERATE_MOVE_START:
		 if (!xdr_operate_move_start_t (xdrs, &objp->operate_args_t_u.move_start))
			 return FALSE;
		break;
	case OPERATE_MOVE_CANCEL:
		 if (!xdr_operate_move_cancel_t (xdrs, &objp->operate_args_t_u.move_cancel))
			 return FALSE;
		break;
	case OPERATE_PROGRESS:
		 if (!xdr_operate_progress_t (xdrs, &objp->operate_args_t_u.progress))
			 return FALSE;
		break;
	default:
		return FALSE;
	}
	return TRUE;
}

bool_t
xdr_operate_outcome_t (XDR *xdrs, operate_outcome_t *objp)
{
	register int32_t *buf;

	 if (!xdr_enum (xdrs, (enum_t *) objp))
		 return FALSE;
	return TRUE;
}

bool_t
xdr_operate_result_t (XDR *xdrs, operate_result_t *objp)
{
	register int32_t *buf;

	 if (!xdr_operate_outcome_t (xdrs, &objp->outcome))
		 return FALSE;
	 if (!xdr_u_quad_t (xdrs, &objp->result_version))
		 return FALSE;
	 if (!xdr_u_int (xdrs, &objp->hosts_confirmed))
		 return FALSE;
	 if (!xdr_u_int (xdrs, &objp->hosts_total))
		 return FALSE;
	 if (!xdr_string (xdrs, &objp->text, RPC_TEXT_MAX))
		 return FALSE;
	return TRUE;
}
