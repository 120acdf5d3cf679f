#include "state/bucket.h"

static double
clamp_to(double value, double max)
{
	if (!(value > 0))
		return 0;
	return MIN(value, max);
}

limit_t
limit_make(double rate, double burst)
{
	limit_t l;

	l.rate = (utoken_t)(clamp_to(rate, LIMIT_RATE_MAX) *
	    (double)(UTOKEN / MSEC_PER_SEC));
	l.burst = (utoken_t)(clamp_to(burst, LIMIT_BURST_MAX) * (double)UTOKEN);
	return l;
}

limit_t
limit_slot(limit_t limit, unsigned permille, unsigned slots)
{
	limit_t part = {0, 0};

	if (slots == 0)
		return part;
	part.rate = limit.rate * permille / 1000 / slots;
	part.burst = limit.burst / 1000 * permille / slots;
	if (part.burst < UTOKEN)
		part.rate = part.burst = 0;
	return part;
}

/* The most that all slots together may hold: the sum of their parts, each
 * rounded down, once every host has this configuration in force (@settled).
 * Until then, their whole share of the limit. */
static limit_t
all_slots(limit_t limit, unsigned permille, unsigned slots, gboolean settled)
{
	limit_t part = limit_slot(limit, permille, slots);

	if (settled) {
		part.rate *= slots;
		part.burst *= slots;
		return part;
	}
	part.rate = limit.rate * permille / 1000;
	part.burst = limit.burst / 1000 * permille;
	return part;
}

lendable_t
limit_lendable(limit_t limit, shares_t shares, unsigned slots, gboolean settled)
{
	limit_t floor = all_slots(limit, shares.floor, slots, settled);
	limit_t reserve = all_slots(limit, shares.reserve, slots, settled);
	lendable_t lendable;

	lendable.base = limit_sub(limit_sub(limit, floor), reserve);
	lendable.delegated_max = limit_slot(limit, shares.reserve, slots);
	return lendable;
}

limit_t
limit_add(limit_t a, limit_t b)
{
	a.rate += b.rate;
	a.burst += b.burst;
	return a;
}

limit_t
limit_sub(limit_t a, limit_t b)
{
	a.rate -= b.rate;
	a.burst -= b.burst;
	return a;
}

limit_t
limit_min(limit_t a, limit_t b)
{
	a.rate = MIN(a.rate, b.rate);
	a.burst = MIN(a.burst, b.burst);
	return a;
}

void
bucket_init(bucket_t *b, limit_t limit, msec_t now)
{
	b->limit = limit;
	b->level = 0;
	b->at = now;
}

void
bucket_refill(bucket_t *b, utoken_t reserved, msec_t now)
{
	utoken_t room = MAX(b->limit.burst - reserved, 0);
	msec_t elapsed = now - b->at;

	if (elapsed > 0) {
		b->at = now;
		if (b->limit.rate > 0 &&
		    elapsed > b->limit.burst / b->limit.rate)
			b->level = b->limit.burst;
		else
			b->level += b->limit.rate * elapsed;
	}
	b->level = MIN(b->level, room);
}

void
bucket_set_limit(bucket_t *b, limit_t limit, msec_t now)
{
	bucket_refill(b, 0, now);
	b->limit = limit;
	b->level = MIN(b->level, limit.burst);
}

gboolean
bucket_take(bucket_t *b, utoken_t amount)
{
	if (b->level < amount)
		return FALSE;
	b->level -= amount;
	return TRUE;
}

msec_t
bucket_ready_at(const bucket_t *b, utoken_t amount)
{
	utoken_t missing = amount - b->level;

	if (missing <= 0)
		return b->at;
	if (amount > b->limit.burst || b->limit.rate == 0)
		return INT64_MAX;
	return b->at + (missing + b->limit.rate - 1) / b->limit.rate;
}
