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
lender_start(lender_t *l, uint64_t epoch, lendable_t limit, msec_t now)
{
	gboolean first = epoch == LEASE_FIRST_EPOCH && l->newest_epoch == 0;

	lender_stop(l);
	l->epoch = l->newest_epoch = epoch;
	l->limit = limit;
	bucket_init(&l->bucket, limit.base, now);
	l->prior_until = now + GRANT_TTL_MS + GRANT_DRIFT_MS;
	if (first) {
		l->prior_until = now - 1;
		l->bucket.level = limit.base.burst;
	}
}

void
lender_stop(lender_t *l)
{
	l->epoch = 0;
	l->lent = 0;
	g_array_set_size(l->loans, 0);
}

/* Refills the bucket up to @at. Nothing else may have changed before @at. */
static void
refill(lender_t *l, msec_t at)
{
	utoken_t reserved = (utoken_t)l->lent * UTOKEN;

	if (at <= l->prior_until)
		reserved = l->bucket.limit.burst;
	bucket_refill(&l->bucket, reserved, at);
}

/* When the lent tokens or the delegated reserve expire, whichever is first. */
static msec_t
loan_ends_at(const loan_t *loan)
{
	msec_t at = INT64_MAX;

	if (loan->lent > 0)
		at = loan->expires_at;
	if (loan->delegated.burst > 0)
		at = MIN(at, loan->delegated_until);
	/* An empty loan is kept until it expires, for its sequence number. */
	return at == INT64_MAX ? loan->expires_at : at;
}

/* Drops what has expired by @at. Returns TRUE if the loan can be removed. */
static gboolean
loan_expire(lender_t *l, loan_t *loan, msec_t at)
{
	if (loan->expires_at <= at) {
		l->lent -= loan->lent;
		loan->lent = 0;
	}
	if (loan->delegated_until <= at) {
		l->bucket.limit = limit_sub(l->bucket.limit, loan->delegated);
		memset(&loan->delegated, 0, sizeof(loan->delegated));
	}
	return loan->expires_at <= at && loan->delegated.burst == 0;
}

/* Index of the loan that ends first; the number of loans if there are none. */
static guint
first_to_end(const lender_t *l)
{
	guint i, first = l->loans->len;

	for (i = 0; i < l->loans->len; i++) {
		if (first == l->loans->len ||
		    loan_ends_at(loan_at(l, i)) <
			loan_ends_at(loan_at(l, first)))
			first = i;
	}
	return first;
}

/*
 * Brings the state up to date. Expired tokens make room in the bucket, which
 * refills only from the time of the expiry on, so expiries are processed in
 * order of time.
 */
static void
advance(lender_t *l, msec_t now)
{
	msec_t next;
	guint i;

	for (;;) {
		i = first_to_end(l);
		next = now;
		if (l->prior_until > l->bucket.at)
			next = MIN(next, l->prior_until);
		if (i < l->loans->len)
			next = MIN(next, loan_ends_at(loan_at(l, i)));
		refill(l, next);
		if (i < l->loans->len && loan_ends_at(loan_at(l, i)) <= next) {
			if (loan_expire(l, loan_at(l, i), next))
				g_array_remove_index_fast(l->loans, i);
		} else if (next == now) {
			break;
		}
	}
	refill(l, now);
}

void
lender_configure(lender_t *l, lendable_t limit, msec_t now)
{
	loan_t *loan;
	guint i;

	if (l->epoch == 0)
		return;
	advance(l, now);
	l->limit = limit;
	l->bucket.limit = limit.base;
	for (i = 0; i < l->loans->len; i++) {
		loan = loan_at(l, i);
		loan->delegated =
		    limit_min(loan->delegated, limit.delegated_max);
		l->bucket.limit = limit_add(l->bucket.limit, loan->delegated);
	}
	refill(l, now);
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
 * Updates a loan from the borrower's counts. Tokens that the borrower neither
 * holds nor has used go back to the bucket: it returned them, or it never
 * received the answer that granted them and will not accept it any more. If the
 * borrower claims more than the loan, the excess has expired.
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

/* Adds the reserve that the borrower delegates, as of our last answer. */
static void
loan_delegate(
    lender_t *l, loan_t *loan, const borrow_request_t *request, msec_t now)
{
	msec_t until = request->echo + DELEGATION_MS;
	limit_t delegated = {0, 0};

	if (request->epoch == l->epoch && request->echo <= now && until > now &&
	    request->delegated.rate >= 0 && request->delegated.burst > 0)
		delegated =
		    limit_min(request->delegated, l->limit.delegated_max);
	l->bucket.limit =
	    limit_add(limit_sub(l->bucket.limit, loan->delegated), delegated);
	loan->delegated = delegated;
	loan->delegated_until = until;
}

/* A borrower's part of the burst, in proportion to its part of the demand. */
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

/*
 * Tokens that the borrower is asked to return. A target below the loan is not
 * enough reason while the bucket holds enough for other hosts.
 */
static uint64_t
loan_excess(const lender_t *l, const loan_t *loan, uint64_t target)
{
	utoken_t burst = l->bucket.limit.burst;
	utoken_t enough = burst / 2000 * (1000 - LEND_PERMILLE);
	uint64_t most = (uint64_t)(burst / UTOKEN);
	uint64_t over = l->lent > most ? l->lent - most : 0;

	over = MIN(over, loan->lent);
	if (loan->lent <= target)
		return over;
	if (target > 0 && l->bucket.level >= MAX(enough, UTOKEN))
		return over;
	return MAX(over, loan->lent - target);
}

/*
 * Tokens that the borrower may use in a loan's lifetime at its present demand.
 * More would only be idle.
 */
static uint64_t
loan_max(const loan_t *loan)
{
	return loan->demand * GRANT_TTL_MS / MSEC_PER_SEC / MSEC_PER_SEC +
	    LOAN_SPARE_TOKENS;
}

static void
loan_grant(lender_t *l, loan_t *loan, const borrow_request_t *request,
    borrow_answer_t *answer)
{
	uint64_t level = (uint64_t)(l->bucket.level / UTOKEN);
	uint64_t target = MIN(loan_target(l, loan), loan_max(loan));

	target = MAX(target, request->wanted);
	answer->excess = loan_excess(l, loan, target);
	answer->granted = target > loan->lent ? target - loan->lent : 0;
	answer->granted = MIN(answer->granted, level);
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
	loan_delegate(l, loan, request, now);
	/* Reduces the level if the burst has been lowered meanwhile. */
	refill(l, now);
	memset(answer, 0, sizeof(*answer));
	answer->sequence = request->sequence;
	answer->epoch = l->epoch;
	answer->stamp = now;
	loan_grant(l, loan, request, answer);
	return LEND_ANSWERED;
}

utoken_t
lender_level(lender_t *l, msec_t now)
{
	advance(l, now);
	return l->bucket.level;
}
