#include <string.h>

#include "coordination/lender.h"

static loan_t *
loan_at(const lender_t *l, guint i)
{
	return &g_array_index(l->loans, loan_t, i);
}

void
lender_init(lender_t *l)
{
	memset(l, 0, sizeof(*l));
	l->loans = g_array_new(FALSE, TRUE, sizeof(loan_t));
}

void
lender_finish(lender_t *l)
{
	g_array_free(l->loans, TRUE);
}

void
lender_start(lender_t *l, uint64_t epoch, limit_t limit, msec_t now)
{
	lender_stop(l);
	l->epoch = epoch;
	bucket_init(&l->bucket, limit, now);
	l->prior = limit.burst;
	l->prior_until = now + GRANT_TTL_MS + GRANT_DRIFT_MS;
}

void
lender_stop(lender_t *l)
{
	l->epoch = 0;
	l->lent = 0;
	g_array_set_size(l->loans, 0);
}

/* What counts against the burst besides the level. */
static utoken_t
reserved(const lender_t *l)
{
	return (utoken_t)l->lent * UTOKEN + l->prior;
}

static void
loan_expire(lender_t *l, guint i)
{
	l->lent -= loan_at(l, i)->lent;
	g_array_remove_index_fast(l->loans, i);
}

/* Index of the loan that expires first; the table's length if there is none. */
static guint
first_to_expire(const lender_t *l)
{
	guint i, first = l->loans->len;

	for (i = 0; i < l->loans->len; i++) {
		if (first == l->loans->len ||
		    loan_at(l, i)->expires_at < loan_at(l, first)->expires_at)
			first = i;
	}
	return first;
}

/*
 * Brings the state to the present. Room that an expiry makes is refilled only
 * from that moment on, so expiries are taken in their order.
 */
static void
advance(lender_t *l, msec_t now)
{
	msec_t next;
	guint i;

	for (;;) {
		i = first_to_expire(l);
		next = l->prior > 0 ? l->prior_until : INT64_MAX;
		if (i < l->loans->len)
			next = MIN(next, loan_at(l, i)->expires_at);
		if (next > now)
			break;
		bucket_refill(&l->bucket, reserved(l), next);
		if (l->prior > 0 && l->prior_until == next)
			l->prior = 0;
		else
			loan_expire(l, i);
	}
	bucket_refill(&l->bucket, reserved(l), now);
}

void
lender_configure(lender_t *l, limit_t limit, msec_t now)
{
	if (l->epoch == 0)
		return;
	advance(l, now);
	l->prior = l->prior > 0 ? MAX(l->prior, limit.burst) : 0;
	l->bucket.limit = limit;
	bucket_refill(&l->bucket, reserved(l), now);
}

static loan_t *
loan_find(lender_t *l, const borrow_request_t *request)
{
	loan_t loan = {.host = request->host,
	    .incarnation = request->incarnation,
	    .epoch = request->epoch};
	guint i;

	for (i = 0; i < l->loans->len; i++) {
		if (loan_at(l, i)->host == request->host &&
		    loan_at(l, i)->incarnation == request->incarnation)
			return loan_at(l, i);
	}
	g_array_append_val(l->loans, loan);
	return loan_at(l, l->loans->len - 1);
}

/*
 * Takes in what the borrower says of the loan. What it neither holds nor has
 * used goes back to the level: it returned it, or it never got the answer and
 * will not take it any more. A claim beyond the loan is one that has expired.
 */
static void
loan_settle(lender_t *l, loan_t *loan, const borrow_request_t *request)
{
	gboolean ours = request->epoch == l->epoch;
	uint64_t used = ours ? request->used : 0;
	uint64_t gone = ours ? request->used + request->returned : 0;
	uint64_t held =
	    ours && request->taken > gone ? request->taken - gone : 0;
	uint64_t freed, spent;

	held = MIN(held, loan->lent);
	spent = used > loan->used ? used - loan->used : 0;
	freed = loan->lent - held;
	l->lent -= freed;
	loan->lent = held;
	loan->used = MAX(loan->used, used);
	if (freed > spent)
		l->bucket.level += (utoken_t)(freed - spent) * UTOKEN;
}

/* A borrower's part of the burst, by its part of the demand. */
static uint64_t
loan_target(const lender_t *l, const loan_t *loan)
{
	double total = 0, lendable;
	guint i;

	for (i = 0; i < l->loans->len; i++)
		total += (double)loan_at(l, i)->demand;
	if (total <= 0)
		return 0;
	lendable = (double)l->bucket.limit.burst / (double)UTOKEN *
	    LEND_PERMILLE / 1000;
	return (uint64_t)(lendable * (double)loan->demand / total);
}

static void
loan_grant(lender_t *l, loan_t *loan, const borrow_request_t *request,
    borrow_answer_t *answer)
{
	uint64_t level = (uint64_t)(l->bucket.level / UTOKEN);
	uint64_t target = MAX(loan_target(l, loan), request->wanted);
	uint64_t burst = (uint64_t)(l->bucket.limit.burst / UTOKEN);
	uint64_t over = l->lent > burst ? l->lent - burst : 0;

	answer->granted = target > loan->lent ? target - loan->lent : 0;
	answer->granted = MIN(answer->granted, level);
	answer->excess = loan->lent > target ? loan->lent - target : 0;
	answer->excess = MAX(answer->excess, MIN(over, loan->lent));
	l->bucket.level -= (utoken_t)answer->granted * UTOKEN;
	loan->lent += answer->granted;
	l->lent += answer->granted;
}

lend_verdict_t
lender_borrow(lender_t *l, const borrow_request_t *request, msec_t valid_until,
    msec_t now, borrow_answer_t *answer)
{
	loan_t *loan;

	if (l->epoch == 0 || now >= valid_until || request->epoch > l->epoch)
		return LEND_NOT_HOLDER;
	advance(l, now);
	loan = loan_find(l, request);
	if (request->sequence <= loan->sequence)
		return LEND_STALE;
	loan->sequence = request->sequence;
	loan->demand = request->demand;
	loan->expires_at = now + GRANT_TTL_MS + GRANT_DRIFT_MS;
	loan_settle(l, loan, request);
	/* Cuts the level where the burst has been lowered meanwhile. */
	bucket_refill(&l->bucket, reserved(l), now);
	memset(answer, 0, sizeof(*answer));
	answer->sequence = request->sequence;
	answer->epoch = l->epoch;
	loan_grant(l, loan, request, answer);
	return LEND_ANSWERED;
}

utoken_t
lender_level(lender_t *l, msec_t now)
{
	advance(l, now);
	return l->bucket.level;
}
