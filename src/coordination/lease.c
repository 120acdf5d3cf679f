#include <string.h>

#include "coordination/lease.h"

const lease_terms_t lease_default_terms = {
    .lease_ms = 4 * MSEC_PER_SEC,
    .promise_ms = 3 * MSEC_PER_SEC,
    .margin_ms = 250,
    .renew_ms = 1200,
    .poll_ms = 1 * MSEC_PER_SEC,
    .retry_ms = 250,
};

static msec_t
later(msec_t a, msec_t b)
{
	return a > b ? a : b;
}

void
lease_init(lease_t *l, const lease_terms_t *terms, const char *self,
    uint64_t incarnation)
{
	size_t i;

	memset(l, 0, sizeof(*l));
	l->terms = *terms;
	g_strlcpy(l->self, self, sizeof(l->self));
	l->incarnation = incarnation;
	l->until = LEASE_NEVER;
	l->seen_at = LEASE_NEVER;
	l->read_sent_at = LEASE_NEVER;
	for (i = 0; i < G_N_ELEMENTS(l->tried_at); i++)
		l->tried_at[i] = LEASE_NEVER;
}

static gboolean
row_is_free(const lease_row_t *r)
{
	return r->fence_version == 0 || r->released;
}

static gboolean
row_is_ours(const lease_t *l)
{
	return l->known && !row_is_free(&l->row) &&
	    l->row.incarnation == l->incarnation &&
	    strcmp(l->row.holder, l->self) == 0;
}

/* Send time of one of our writes, identified by the token in the row. */
static msec_t
sent_time(const lease_t *l, uint64_t token)
{
	const lease_sent_t *s = &l->sent[token % LEASE_SENT_MAX];

	return token != 0 && s->token == token ? s->sent_at : LEASE_NEVER;
}

static void
extend(lease_t *l, msec_t sent_at)
{
	if (!l->releasing && sent_at != LEASE_NEVER)
		l->until = later(l->until, sent_at + l->terms.lease_ms);
}

/*
 * Promises extend a lease that is still valid. They never make a lapsed lease
 * valid again: a promise may have been requested before the lapse and given
 * after another host took the lease over.
 */
static void
extend_by_promise(lease_t *l, const lease_input_t *in)
{
	if (!lease_valid(l, in->now) || in->promised_since == LEASE_NEVER)
		return;
	l->until = later(l->until, in->promised_since + l->terms.promise_ms);
}

static gboolean
due(const lease_t *l, lease_op_t op, msec_t every, msec_t now)
{
	return now - l->tried_at[op] >= every;
}

static lease_action_t
start(lease_t *l, lease_op_t op, msec_t now)
{
	lease_action_t a = {.op = op,
	    .check_fence = l->row.fence_version,
	    .check_renewal = LEASE_ANY_VERSION,
	    .epoch = l->row.epoch};

	l->busy = op;
	l->sent_at = now;
	l->tried_at[op] = now;
	if (op == LEASE_TAKE) {
		a.check_renewal = l->row.renewal_version;
		a.epoch = l->row.epoch + 1;
	}
	if (op == LEASE_TAKE || op == LEASE_RENEW) {
		a.token = ++l->last_token;
		l->sent[a.token % LEASE_SENT_MAX] =
		    (lease_sent_t){.token = a.token, .sent_at = now};
	}
	return a;
}

static lease_action_t
keep_or_release(lease_t *l, const lease_input_t *in)
{
	lease_action_t none = {.op = LEASE_NONE};

	if (!in->eligible || l->releasing) {
		/* Another host may take it once the write takes effect. */
		l->until = LEASE_NEVER;
		l->releasing = TRUE;
		if (due(l, LEASE_RELEASE, l->terms.retry_ms, in->now))
			return start(l, LEASE_RELEASE, in->now);
		return none;
	}
	if (due(l, LEASE_RENEW, l->terms.renew_ms, in->now) &&
	    due(l, LEASE_TAKE, l->terms.renew_ms, in->now))
		return start(l, LEASE_RENEW, in->now);
	return none;
}

/* Whether the rows were unchanged for longer than a holder may rely on them. */
static gboolean
holder_expired(const lease_t *l)
{
	msec_t wait = l->terms.lease_ms + l->terms.margin_ms;

	return l->read_sent_at - l->seen_at >= wait;
}

static lease_action_t
watch_or_take(lease_t *l, const lease_input_t *in)
{
	lease_action_t none = {.op = LEASE_NONE};
	gboolean unclaimed = l->known && row_is_free(&l->row);

	l->withholding =
	    in->eligible && l->known && !unclaimed && holder_expired(l);
	if (!in->eligible)
		return none;
	if (!l->known || due(l, LEASE_READ, l->terms.poll_ms, in->now)) {
		if (due(l, LEASE_READ, l->terms.retry_ms, in->now))
			return start(l, LEASE_READ, in->now);
		return none;
	}
	if (!unclaimed && (!l->withholding || in->now < in->promises_end_at))
		return none;
	if (!due(l, LEASE_TAKE, l->terms.retry_ms, in->now))
		return none;
	return start(l, LEASE_TAKE, in->now);
}

lease_action_t
lease_tick(lease_t *l, const lease_input_t *in)
{
	lease_action_t none = {.op = LEASE_NONE};

	extend_by_promise(l, in);
	if (l->busy != LEASE_NONE)
		return none;
	if (l->stale) {
		if (due(l, LEASE_READ, l->terms.retry_ms, in->now))
			return start(l, LEASE_READ, in->now);
		return none;
	}
	if (row_is_ours(l)) {
		l->withholding = FALSE;
		return keep_or_release(l, in);
	}
	return watch_or_take(l, in);
}

/* Adopts rows unless they are older than the known ones. */
static void
adopt(lease_t *l, const lease_row_t *row, msec_t now)
{
	gboolean moved;

	if (l->known &&
	    (row->fence_version < l->row.fence_version ||
		row->renewal_version < l->row.renewal_version))
		return;
	moved = !l->known || row->fence_version != l->row.fence_version ||
	    row->renewal_version != l->row.renewal_version;
	if (row->fence_version != l->row.fence_version) {
		l->releasing = FALSE;
		l->until = LEASE_NEVER;
	}
	if (moved)
		l->seen_at = now;
	l->row = *row;
	l->known = TRUE;
	if (row_is_ours(l))
		extend(l, sent_time(l, row->token));
}

void
lease_read(lease_t *l, const lease_row_t *row, msec_t now)
{
	l->busy = LEASE_NONE;
	l->stale = FALSE;
	l->read_sent_at = later(l->read_sent_at, l->sent_at);
	adopt(l, row, now);
}

/* The rows after a write that took effect. */
static lease_row_t
written(
    const lease_t *l, const lease_action_t *a, uint64_t fence, uint64_t renewal)
{
	lease_row_t row = l->row;

	row.fence_version = fence;
	row.epoch = a->epoch;
	row.released = a->op == LEASE_RELEASE;
	if (a->op != LEASE_RELEASE) {
		row.renewal_version = renewal;
		row.token = a->token;
	}
	g_strlcpy(row.holder, l->self, sizeof(row.holder));
	row.incarnation = l->incarnation;
	return row;
}

void
lease_answered(lease_t *l, const lease_action_t *action, lease_result_t result,
    uint64_t fence, uint64_t renewal, msec_t now)
{
	lease_row_t row;

	l->busy = LEASE_NONE;
	switch (result) {
	case LEASE_WON:
		row = written(l, action, fence, renewal);
		adopt(l, &row, now);
		break;
	case LEASE_CONFLICT:
	case LEASE_LOST:
		l->stale = TRUE;
		break;
	}
}

gboolean
lease_valid(const lease_t *l, msec_t now)
{
	return now < l->until;
}

uint64_t
lease_epoch(const lease_t *l)
{
	return l->row.epoch;
}

uint64_t
lease_fence(const lease_t *l)
{
	return l->row.fence_version;
}

const char *
lease_withholds(const lease_t *l)
{
	return l->withholding ? l->row.holder : NULL;
}
