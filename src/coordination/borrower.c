#include <string.h>

#include "coordination/borrower.h"

shares_t
borrower_shares(void)
{
	shares_t shares = {FLOOR_PERMILLE, RESERVE_PERMILLE};

	return shares;
}

void
borrower_init(borrower_t *b, host_id_t host, uint64_t incarnation,
    shares_t shares, msec_t now)
{
	memset(b, 0, sizeof(*b));
	b->host = host;
	b->incarnation = incarnation;
	b->shares = shares;
	b->config.slot = SLOT_NONE;
	b->settle_at = INT64_MAX;
	bucket_init(&b->floor, b->config.limit, now);
	bucket_init(&b->reserve, b->config.limit, now);
	b->reserve_from = now;
	b->asked_at = now - BORROW_PERIOD_MS;
	b->round_trip = WAIT_MAX_MS;
	b->demand_at = now;
}

static slots_t
slots_of(const borrower_config_t *c)
{
	slots_t s = {c->limit, c->slots, c->slots};

	return s;
}

/* A slot's part: the lower of the limits in force here and everywhere. */
static limit_t
slot_part(const borrower_t *b, unsigned permille)
{
	slots_t latest = slots_of(&b->config);
	limit_t none = {0, 0};

	if (b->config.slot >= MIN(latest.slots, b->settled.slots))
		return none;
	return limit_min(limit_slot(latest.limit, permille, latest.parts),
	    limit_slot(b->settled.limit, permille, b->settled.parts));
}

static void
slot_update(borrower_t *b, msec_t now)
{
	bucket_set_limit(&b->floor, slot_part(b, b->shares.floor), now);
	bucket_set_limit(&b->reserve, slot_part(b, b->shares.reserve), now);
}

/* Keeps the reserve empty for as long as the lender may count it as its own. */
static void
reserve_delegate(borrower_t *b, msec_t now)
{
	b->reserve_from =
	    now + DELEGATION_MS + GRANT_TTL_MS + 2 * GRANT_DRIFT_MS;
	bucket_init(&b->reserve, b->reserve.limit, b->reserve_from);
}

/* Raises the buckets' limits when the configuration counts as settled. */
static void
borrower_tick(borrower_t *b, msec_t now)
{
	if (now < b->settle_at)
		return;
	b->settle_at = INT64_MAX;
	b->settled = slots_of(&b->config);
	slot_update(b, now);
}

static gboolean
config_equal(const borrower_config_t *a, const borrower_config_t *c)
{
	return a->limit.rate == c->limit.rate &&
	    a->limit.burst == c->limit.burst && a->slots == c->slots &&
	    a->slot == c->slot;
}

void
borrower_configure(borrower_t *b, const borrower_config_t *config, msec_t now)
{
	borrower_tick(b, now);
	if (config_equal(config, &b->config))
		return;
	if (b->config.slots == 0)
		b->start_until = now + START_WAIT_MS;
	if (config->slot != b->config.slot) {
		/* The slot's last holder may have delegated its reserve. */
		bucket_init(&b->floor, b->floor.limit, now);
		reserve_delegate(b, now);
	}
	/* On another host, a version may be settled that isn't settled here. */
	b->settled.limit = limit_min(b->settled.limit, b->config.limit);
	b->settled.parts = MAX(b->settled.parts, b->config.slots);
	b->settled.slots = MIN(b->settled.slots, b->config.slots);
	b->settle_at = INT64_MAX;
	b->config = *config;
	slot_update(b, now);
}

void
borrower_settled(borrower_t *b, msec_t now)
{
	if (b->settle_at == INT64_MAX)
		b->settle_at = now + GRANT_TTL_MS + GRANT_DRIFT_MS;
}

/* Writes off what has expired; the lender counts it as used. */
static void
holding_expire(holding_t *h, msec_t now)
{
	if (now < h->expires_at)
		return;
	h->used += h->tokens;
	h->tokens = 0;
}

static gboolean
holding_take(holding_t *h, msec_t now)
{
	holding_expire(h, now);
	if (h->tokens == 0)
		return FALSE;
	h->tokens--;
	h->used++;
	return TRUE;
}

void
borrower_epoch(borrower_t *b, uint64_t epoch, msec_t now)
{
	if (epoch <= b->holding.epoch)
		return;
	/* A lender counts the loans of earlier lenders until they expire. */
	holding_expire(&b->holding, now);
	b->prior = b->holding;
	memset(&b->holding, 0, sizeof(b->holding));
	b->holding.epoch = epoch;
	b->asking = FALSE;
	b->asked_at = now - BORROW_PERIOD_MS;
}

static void
demand_decay(borrower_t *b, msec_t now)
{
	while (now - b->demand_at >= DEMAND_STEP_MS && b->demand > 0) {
		b->demand -= (b->demand + 19) / 20;
		b->demand_at += DEMAND_STEP_MS;
	}
	if (b->demand == 0)
		b->demand_at = MAX(b->demand_at, now);
}

static gboolean
token_take(borrower_t *b, msec_t now)
{
	bucket_refill(&b->floor, 0, now);
	bucket_refill(&b->reserve, 0, now);
	if (bucket_take(&b->floor, UTOKEN) || bucket_take(&b->reserve, UTOKEN))
		return TRUE;
	if (holding_take(&b->prior, now))
		return TRUE;
	if (!holding_take(&b->holding, now))
		return FALSE;
	b->unreported = TRUE;
	return TRUE;
}

/* How long a request may wait: about 1.5 round trips to the lender. */
static msec_t
wait_limit(const borrower_t *b)
{
	msec_t wait = b->round_trip + b->round_trip / 2 + WAIT_MIN_MS;

	return MIN(wait, WAIT_MAX_MS);
}

/* Verdict on a request for which there is no token now. */
static admit_t
admit_later(const borrower_t *b, msec_t arrived_at, msec_t now)
{
	msec_t deadline = arrived_at + wait_limit(b);
	msec_t ready_at = MIN(bucket_ready_at(&b->floor, UTOKEN),
	    bucket_ready_at(&b->reserve, UTOKEN));
	admit_t verdict = {ADMIT_REFUSE, MIN(ready_at, now + MSEC_PER_SEC)};
	gboolean hopeless;

	deadline = MAX(deadline, b->start_until);
	hopeless = now >= b->start_until && b->lost >= BORROW_LOST_MAX &&
	    ready_at > deadline;
	if (now >= deadline || hopeless || b->waiting > WAITING_MAX)
		return verdict;
	verdict.kind = ADMIT_WAIT;
	verdict.until = MIN(ready_at, deadline);
	verdict.until = MAX(verdict.until, now + 1);
	return verdict;
}

admit_t
borrower_admit(borrower_t *b, msec_t arrived_at, gboolean again, gboolean fresh,
    msec_t now)
{
	admit_t verdict = {ADMIT, now};

	borrower_tick(b, now);
	if (again)
		borrower_cancel(b);
	else {
		demand_decay(b, now);
		b->demand += MSEC_PER_SEC / 2;
	}
	if (!fresh) {
		verdict.kind = ADMIT_STALE;
		return verdict;
	}
	/* A new request doesn't overtake waiting ones. */
	if ((again || b->waiting == 0) && token_take(b, now))
		return verdict;
	verdict = admit_later(b, arrived_at, now);
	if (verdict.kind == ADMIT_WAIT)
		b->waiting++;
	return verdict;
}

void
borrower_cancel(borrower_t *b)
{
	if (b->waiting > 0)
		b->waiting--;
}

/* Whether the tokens may run out within a round trip and a period. */
static gboolean
holding_low(const borrower_t *b)
{
	uint64_t horizon = (uint64_t)(b->round_trip + BORROW_PERIOD_MS);

	uint64_t need = b->demand * horizon / MSEC_PER_SEC;

	return b->waiting > 0 ||
	    b->holding.tokens * MSEC_PER_SEC + MSEC_PER_SEC / 2 < need;
}

static gboolean
ask_is_due(const borrower_t *b, msec_t now)
{
	msec_t elapsed = now - b->asked_at;

	if (b->asking)
		return elapsed >= BORROW_TIMEOUT_MS;
	/* A low holding is refilled sooner, but the rate is still bounded. */
	if (holding_low(b))
		return elapsed >= BORROW_PERIOD_MS / 4;
	if (b->unreported || b->demand > 0 || b->holding.tokens > 0)
		return elapsed >= BORROW_PERIOD_MS;
	return b->reserve.limit.burst > 0 && elapsed >= DELEGATION_PERIOD_MS;
}

static void
request_delegate(borrower_t *b, msec_t now, borrow_request_t *request)
{
	request->echo = b->holding.stamp;
	if (b->lost > 0 || request->echo == 0)
		return;
	request->delegated = b->reserve.limit;
	reserve_delegate(b, now);
}

gboolean
borrower_ask(
    borrower_t *b, gboolean fresh, msec_t now, borrow_request_t *request)
{
	borrower_tick(b, now);
	demand_decay(b, now);
	holding_expire(&b->holding, now);
	if (!ask_is_due(b, now))
		return FALSE;
	if (b->asking)
		b->lost++;
	b->asking = TRUE;
	b->asked_at = now;
	b->unreported = FALSE;
	memset(request, 0, sizeof(*request));
	request->host = b->host;
	request->incarnation = b->incarnation;
	request->sequence = ++b->sequence;
	request->epoch = b->holding.epoch;
	request->taken = b->holding.taken;
	request->used = b->holding.used;
	request->returned = b->holding.returned;
	request->demand = b->demand;
	request->wanted = b->waiting;
	if (fresh)
		request_delegate(b, now, request);
	return TRUE;
}

gboolean
borrower_answered(borrower_t *b, const borrow_answer_t *answer, msec_t now)
{
	holding_t *h = &b->holding;
	msec_t asked_at = b->asked_at;
	uint64_t excess;

	if (!b->asking || answer->sequence != b->sequence ||
	    answer->epoch < h->epoch)
		return FALSE;
	borrower_epoch(b, answer->epoch, now);
	b->asking = FALSE;
	b->asked_at = asked_at;
	b->lost = 0;
	b->round_trip += (now - asked_at - b->round_trip) / 2;
	/* The answer doesn't extend tokens that have already expired. */
	holding_expire(h, now);
	h->tokens += answer->granted;
	h->taken += answer->granted;
	h->stamp = answer->stamp;
	h->expires_at = asked_at + GRANT_TTL_MS;
	holding_expire(h, now);
	excess = MIN(answer->excess, h->tokens);
	h->tokens -= excess;
	h->returned += excess;
	b->unreported = b->unreported || excess > 0;
	return h->tokens > 0;
}

uint64_t
borrower_tokens(borrower_t *b, msec_t now)
{
	borrower_tick(b, now);
	bucket_refill(&b->floor, 0, now);
	bucket_refill(&b->reserve, 0, now);
	holding_expire(&b->holding, now);
	holding_expire(&b->prior, now);
	return (uint64_t)(b->floor.level / UTOKEN) +
	    (uint64_t)(b->reserve.level / UTOKEN) + b->holding.tokens +
	    b->prior.tokens;
}
