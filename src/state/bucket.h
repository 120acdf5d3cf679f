#ifndef STATE_BUCKET_H
#define STATE_BUCKET_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"

/* Millionths of a token; one token is one request. */
typedef int64_t utoken_t;

#define UTOKEN INT64_C(1000000)

/* Bounds within which the arithmetic does not overflow 64 bits. */
#define LIMIT_RATE_MAX 1e8  /* tokens per second */
#define LIMIT_BURST_MAX 1e9 /* tokens */

/* A rate and a burst. */
typedef struct {
	utoken_t rate; /* micro-tokens per millisecond */
	utoken_t burst;
} limit_t;

/* A token bucket. */
typedef struct {
	limit_t limit;
	utoken_t level;
	msec_t at; /* when the level was computed */
} bucket_t;

/**
 * limit_make() - Convert a workspace's limit, rounding down.
 * @rate: requests per second
 * @burst: requests
 *
 * Values above LIMIT_RATE_MAX or LIMIT_BURST_MAX are cut to it. Negative
 * values and NaN become 0.
 */
limit_t limit_make(double rate, double burst);

/* Shares of a limit that all slots together hold, in thousandths. */
typedef struct {
	unsigned floor;	  /* used only by the host that holds the slot */
	unsigned reserve; /* delegated to the lender while it is reachable */
} shares_t;

/* What a lender may lend. */
typedef struct {
	limit_t base;	       /* the part that belongs to no slot */
	limit_t delegated_max; /* most that one host may delegate */
} lendable_t;

/**
 * limit_slot() - The part of a limit that belongs to one slot.
 * @limit: the whole limit
 * @permille: share of the limit that all slots together hold, thousandths
 * @slots: number of slots
 *
 * Return: the slot's part; 0 if its burst would be less than one token.
 */
limit_t limit_slot(limit_t limit, unsigned permille, unsigned slots);

/**
 * limit_lendable() - The part of a limit that the slots leave to the lender.
 * @limit: the whole limit
 * @shares: shares of the slots
 * @slots: number of slots
 * @settled: every host has this configuration in force. Until then, slots of
 *	another configuration may hold their full share, so none of that share
 *	is lent.
 */
lendable_t limit_lendable(
    limit_t limit, shares_t shares, unsigned slots, gboolean settled);

limit_t limit_add(limit_t a, limit_t b);
limit_t limit_sub(limit_t a, limit_t b);

/* The smaller rate and the smaller burst of two limits. */
limit_t limit_min(limit_t a, limit_t b);

/**
 * bucket_init() - Set up an empty bucket.
 *
 * A new bucket may replace another one whose tokens have just been used, so it
 * starts with no tokens.
 */
void bucket_init(bucket_t *b, limit_t limit, msec_t now);

/**
 * bucket_refill() - Add the tokens that accrued since the last call.
 * @b: the bucket
 * @reserved: tokens held elsewhere that count against the burst, unchanged
 *	since the last call
 * @now: current time; a time before that of the last call adds nothing
 */
void bucket_refill(bucket_t *b, utoken_t reserved, msec_t now);

/**
 * bucket_set_limit() - Apply another limit from now on.
 */
void bucket_set_limit(bucket_t *b, limit_t limit, msec_t now);

/**
 * bucket_take() - Take tokens if the bucket holds that many.
 *
 * Return: whether they were taken.
 */
gboolean bucket_take(bucket_t *b, utoken_t amount);

/**
 * bucket_ready_at() - Compute when the bucket will hold an amount.
 *
 * Return: the time; INT64_MAX if it never will.
 */
msec_t bucket_ready_at(const bucket_t *b, utoken_t amount);

#endif
