#include <string.h>

#include "host/control.h"
#include "host/limits.h"
#include "host/peers.h"

#define BORROW_CALL_TIMEOUT_MS 400

static void
on_lent(void *arg, const rpc_result_t *result, const GError *err)
{
	char *workspace = ((gpointer *)arg)[1];
	host_t *h = ((gpointer *)arg)[0];
	limit_share_t *s = g_hash_table_lookup(h->shares, workspace);
	const borrow_result_t *r;
	borrow_answer_t answer;

	if (err == NULL && s != NULL && result->u.borrow.answered) {
		r = &result->u.borrow;
		answer.sequence = r->sequence;
		answer.epoch = r->epoch;
		answer.granted = r->granted;
		answer.excess = r->excess;
		answer.stamp = r->stamp;
		limits_take_answer(s, &answer);
	}
	g_free(workspace);
	g_free(arg);
}

static void
ask_peer(limit_share_t *s, const char *lender, const borrow_request_t *q)
{
	host_t *h = s->host;
	rpc_args_t args = {.proc = RPC_PROC_BORROW};
	borrow_args_t *b = &args.u.borrow;
	gpointer *arg = g_new0(gpointer, 2);

	b->workspace = s->workspace;
	b->borrower = h->settings.id;
	b->incarnation = q->incarnation;
	b->sequence = q->sequence;
	b->epoch = q->epoch;
	b->taken = q->taken;
	b->used = q->used;
	b->returned = q->returned;
	b->demand = q->demand;
	b->wanted = q->wanted;
	b->delegated_rate = q->delegated.rate;
	b->delegated_burst = q->delegated.burst;
	b->echo = q->echo;
	arg[0] = h;
	arg[1] = g_strdup(s->workspace);
	if (peers_call(h, lender, &args, BORROW_CALL_TIMEOUT_MS, on_lent, arg))
		return;
	g_free(arg[1]);
	g_free(arg);
}

void
limits_request_tokens(limit_share_t *s, const borrow_request_t *q, msec_t now)
{
	host_t *h = s->host;
	borrow_answer_t answer;
	uint64_t epoch;
	char *lender;

	if (s->lending != 0) {
		if (lender_borrow(&s->lender, q, s->duty->lease.until, now,
			&answer) == LEND_ANSWERED)
			limits_take_answer(s, &answer);
		return;
	}
	lender = duty_holder(h, s->duty->name, &epoch);
	borrower_epoch(&s->borrower, epoch, now);
	if (lender == NULL)
		control_scan_soon(h, now);
	else if (strcmp(lender, h->settings.id) != 0)
		ask_peer(s, lender, q);
	g_free(lender);
}

void
limits_serve_borrow(host_t *h, rpc_call_id_t call, const char *caller,
    const borrow_args_t *args)
{
	limit_share_t *s = g_hash_table_lookup(h->shares, args->workspace);
	rpc_result_t result = {.proc = RPC_PROC_BORROW};
	borrow_result_t *r = &result.u.borrow;
	const borrow_request_t q = {
	    .host = roster_find(&h->roster, args->borrower),
	    .incarnation = args->incarnation,
	    .sequence = args->sequence,
	    .epoch = args->epoch,
	    .taken = args->taken,
	    .used = args->used,
	    .returned = args->returned,
	    .demand = args->demand,
	    .wanted = args->wanted,
	    .delegated = {args->delegated_rate, args->delegated_burst},
	    .echo = args->echo,
	};
	borrow_answer_t answer;
	msec_t now = clock_now();

	if (s != NULL && s->lending != 0 && q.host != HOST_NONE &&
	    strcmp(caller, args->borrower) == 0 &&
	    lender_borrow(&s->lender, &q, s->duty->lease.until, now, &answer) ==
		LEND_ANSWERED) {
		r->answered = TRUE;
		r->sequence = answer.sequence;
		r->epoch = answer.epoch;
		r->granted = answer.granted;
		r->excess = answer.excess;
		r->stamp = answer.stamp;
	}
	rpc_server_answer(&h->rpc_server, call, &result);
}
