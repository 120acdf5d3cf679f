#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "host/config_ops.h"
#include "host/dump.h"
#include "host/key_ops.h"
#include "host/move_ops.h"
#include "host/operate.h"
#include "host/operate_describe.h"
#include "protocol/config_text.h"

typedef enum {
	OPERATION_APPLY,
	OPERATION_ISSUE,
	OPERATION_WITHDRAW,
	OPERATION_MOVE,
} operation_kind_t;

struct operation {
	rpc_token_t token;
	operation_kind_t kind;
	msec_t began_at;
	union {
		config_apply_t *apply;
		key_issue_t *issue;
		uint32_t withdrawal; /* id */
		move_op_t *move;
	} u;
};

static void
operation_free(void *p)
{
	operation_t *op = p;

	switch (op->kind) {
	case OPERATION_APPLY:
		config_ops_apply_free(op->u.apply);
		break;
	case OPERATION_ISSUE:
		key_ops_issue_free(op->u.issue);
		break;
	case OPERATION_MOVE:
		move_ops_free(op->u.move);
		break;
	case OPERATION_WITHDRAW:
		break;
	}
	g_free(op);
}

void
operate_init(host_t *h)
{
	h->operations = g_ptr_array_new_with_free_func(operation_free);
}

void
operate_finish(host_t *h)
{
	g_ptr_array_free(h->operations, TRUE);
}

static operation_t *
find(const host_t *h, const rpc_token_t token)
{
	operation_t *op;
	guint i;

	for (i = 0; i < h->operations->len; i++) {
		op = g_ptr_array_index(h->operations, i);
		if (memcmp(op->token, token, RPC_TOKEN_SIZE) == 0)
			return op;
	}
	return NULL;
}

static operation_t *
add(host_t *h, operation_kind_t kind, const rpc_token_t token)
{
	operation_t *op = g_new0(operation_t, 1);

	op->kind = kind;
	op->began_at = clock_now();
	memcpy(op->token, token, RPC_TOKEN_SIZE);
	g_ptr_array_add(h->operations, op);
	return op;
}

/* The part of a token that is written to rows. The shift keeps it within the
 * range of the store's numbers. */
static uint64_t
row_token(const rpc_token_t token)
{
	uint64_t n;

	memcpy(&n, token, sizeof(n));
	return n >> 1;
}

static void
describe(const host_t *h, const operation_t *op, operate_result_t *r)
{
	const withdrawal_t *w;

	switch (op->kind) {
	case OPERATION_APPLY:
		operate_describe_apply(&op->u.apply->apply, r);
		return;
	case OPERATION_ISSUE:
		operate_describe_issue(&op->u.issue->issue, r);
		return;
	case OPERATION_MOVE:
		move_ops_describe(op->u.move, r);
		return;
	case OPERATION_WITHDRAW:
		break;
	}
	w = withdrawals_get(&h->key_sync.withdrawals, op->u.withdrawal);
	if (w != NULL)
		operate_describe_withdrawal(w, r);
}

static void
refuse(operate_result_t *r, operate_outcome_t outcome, const char *why)
{
	r->outcome = outcome;
	r->text = g_strdup(why);
}

static gboolean
text_is_valid(const char *text, operate_result_t *r)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	catalog_t c;
	gboolean ok;

	catalog_init(&c);
	ok = config_text_parse(&c, "text", text, errors) == 0;
	if (!ok)
		refuse(r, OPERATE_REFUSED, g_ptr_array_index(errors, 0));
	catalog_finish(&c);
	g_ptr_array_free(errors, TRUE);
	return ok;
}

static operation_t *
start_apply(host_t *h, const operate_apply_t *a, operate_result_t *r)
{
	operation_t *op;

	if (!text_is_valid(a->text, r))
		return NULL;
	op = add(h, OPERATION_APPLY, a->token);
	op->u.apply =
	    config_ops_apply(h, a->base_version, a->text, row_token(a->token));
	return op;
}

static operation_t *
start_issue(host_t *h, const operate_key_issue_t *a, operate_result_t *r)
{
	operation_t *op;
	digest_t digest;

	if (catalog_find_workspace(&h->catalog, a->workspace) == ID_NONE) {
		refuse(r, OPERATE_REFUSED,
		    "the configuration in force has no such workspace");
		return NULL;
	}
	memcpy(digest.bytes, a->digest, DIGEST_BYTES);
	op = add(h, OPERATION_ISSUE, a->token);
	op->u.issue =
	    key_ops_issue(h, &digest, a->workspace, row_token(a->token));
	return op;
}

static operation_t *
start_withdraw(host_t *h, const operate_key_withdraw_t *a)
{
	operation_t *op = add(h, OPERATION_WITHDRAW, a->token);
	digest_t digest;

	memcpy(digest.bytes, a->digest, DIGEST_BYTES);
	op->u.withdrawal = key_ops_withdraw(h, &digest);
	return op;
}

static operation_t *
start_move(host_t *h, const operate_move_start_t *a)
{
	operation_t *op = add(h, OPERATION_MOVE, a->token);
	char *id = g_strdup_printf(
	    "%016" G_GINT64_MODIFIER "x", (guint64)row_token(a->token));

	op->u.move = move_ops_start(h, a, id);
	g_free(id);
	return op;
}

static operation_t *
start_cancel(host_t *h, const operate_move_cancel_t *a)
{
	operation_t *op = add(h, OPERATION_MOVE, a->token);

	op->u.move = move_ops_cancel(h, a->move);
	return op;
}

static const uint8_t *
token_of(const operate_args_t *args)
{
	switch (args->op) {
	case OPERATE_APPLY:
		return (const uint8_t *)args->operate_args_t_u.apply.token;
	case OPERATE_KEY_ISSUE:
		return (const uint8_t *)args->operate_args_t_u.key_issue.token;
	case OPERATE_KEY_WITHDRAW:
		return (
		    const uint8_t *)args->operate_args_t_u.key_withdraw.token;
	case OPERATE_PROGRESS:
		return (const uint8_t *)args->operate_args_t_u.progress.token;
	case OPERATE_MOVE_START:
		return (const uint8_t *)args->operate_args_t_u.move_start.token;
	case OPERATE_MOVE_CANCEL:
		return (
		    const uint8_t *)args->operate_args_t_u.move_cancel.token;
	case OPERATE_STATUS:
	case OPERATE_DUMP:
		break;
	}
	return NULL;
}

static void
show_state(host_t *h, operate_op_t op, operate_result_t *r)
{
	char *text = op == OPERATE_DUMP ? dump_text(h) : dump_status_text(h);

	r->outcome = OPERATE_DONE;
	r->result_version = h->config_sync.in_force.version;
	r->text = g_strdup(text);
	free(text);
}

/* Starts the operation, unless it has been started before, and describes it. */
static void
run(host_t *h, const operate_args_t *args, operate_result_t *r)
{
	const uint8_t *token = token_of(args);
	operation_t *op = token != NULL ? find(h, (const char *)token) : NULL;

	if (op == NULL) {
		switch (args->op) {
		case OPERATE_STATUS:
		case OPERATE_DUMP:
			show_state(h, args->op, r);
			return;
		case OPERATE_PROGRESS:
			refuse(r, OPERATE_UNKNOWN,
			    "this host knows no operation with this token");
			return;
		case OPERATE_APPLY:
			op = start_apply(h, &args->operate_args_t_u.apply, r);
			break;
		case OPERATE_KEY_ISSUE:
			op = start_issue(
			    h, &args->operate_args_t_u.key_issue, r);
			break;
		case OPERATE_KEY_WITHDRAW:
			op = start_withdraw(
			    h, &args->operate_args_t_u.key_withdraw);
			break;
		case OPERATE_MOVE_START:
			op = start_move(h, &args->operate_args_t_u.move_start);
			break;
		case OPERATE_MOVE_CANCEL:
			op = start_cancel(
			    h, &args->operate_args_t_u.move_cancel);
			break;
		}
	}
	if (op != NULL)
		describe(h, op, r);
}

/* A host that may not write refuses the call, so that another host does it. */
static gboolean
may_operate(const host_t *h, const operate_args_t *args)
{
	if (args->op == OPERATE_STATUS || args->op == OPERATE_DUMP ||
	    args->op == OPERATE_PROGRESS)
		return TRUE;
	return h->phase != HOST_DRAINING && h->incarnation != 0 &&
	    roster_eligible(&h->roster, clock_now());
}

void
operate_serve(host_t *h, rpc_call_id_t call, const operate_args_t *args)
{
	rpc_result_t result = {.proc = RPC_PROC_OPERATE};
	operate_result_t *r = &result.u.operate;

	if (!may_operate(h, args)) {
		rpc_server_refuse(&h->rpc_server, call);
		return;
	}
	run(h, args, r);
	if (r->text == NULL)
		r->text = g_strdup("");
	rpc_server_answer(&h->rpc_server, call, &result);
	g_free(r->text);
}

void
operate_tick(host_t *h, msec_t now)
{
	operation_t *op;
	guint i;

	for (i = h->operations->len; i > 0; i--) {
		op = g_ptr_array_index(h->operations, i - 1);
		if (now - op->began_at > OPERATE_KEEP_MS) {
			g_ptr_array_remove_index_fast(h->operations, i - 1);
			continue;
		}
		switch (op->kind) {
		case OPERATION_APPLY:
			config_ops_apply_tick(op->u.apply, now);
			break;
		case OPERATION_ISSUE:
			key_ops_issue_tick(op->u.issue, now);
			break;
		case OPERATION_MOVE:
			move_ops_tick(op->u.move);
			break;
		case OPERATION_WITHDRAW:
			break;
		}
	}
}
