#ifndef STATE_BUCKET_H
#define STATE_BUCKET_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"

/* Millionths of a token; one token is one request. */
typedef int64_t utoken_t;

#define UTOKEN INT64_C(1000000)

/* Bounds that keep the arithmetic within 64 bits. */
#define LIMIT_RATE_MAX 1e8  /* tokens per second */
#define LIMIT_BURST_MAX 1e9 /* tokens */

/* A rate and a burst. */
typedef struct {
	utoken_t rate; /* per millisecond */
	utoken_t burst;
} limit_t;

/* A token bucket. */
typedef struct {
	limit_t limit;
	utoken_t level;
	msec_t at; /* of the level */
} bucket_t;

/**
 * limit_make() - Convert a workspace's limit, rounding down.
 * @rate: requests per second
 * @burst: requests
 *
 * Values out of bounds, NaN among them, are brought into them.
 */
limit_t limit_make(double rate, double burst);

/* Shares of the whole that all slots hold together, in thousandths. */
typedef struct {
	unsigned floor;	  /* used by the slot's host only */
	unsigned reserve; /* pledged to the lender while it is in reach */
} shares_t;

/* What a lender may lend. */
typedef struct {
	limit_t base;	    /* that belongs to no slot */
	limit_t pledge_max; /* of one host */
} lendable_t;

/**
 * limit_slot() - The part of a limit that belongs to one slot.
 * @limit: the whole
 * @permille: share of the whole that all slots hold together
 * @slots: number of slots
 *
 * Return: the slot's part; nothing where it would not hold a single token.
 */
limit_t limit_slot(limit_t limit, unsigned permille, unsigned slots);

/**
 * limit_lent() - What the slots leave of a limit.
 * @limit: the whole
 * @shares: shares of the slots
 * @slots: number of slots
 * @settled: every host has this configuration in force; until then slots of
 *	another one may hold their full share, so that is left out
 */
lendable_t limit_lent(
    limit_t limit, shares_t shares, unsigned slots, gboolean settled);

limit_t limit_add(limit_t a, limit_t b);
limit_t limit_sub(limit_t a, limit_t b);

/* The lesser rate and the lesser burst of two limits. */
limit_t limit_min(limit_t a, limit_t b);

/**
 * bucket_init() - Start empty.
 *
 * A bucket takes over from another that may just have been used, so it holds
 * nothing at first.
 */
void bucket_init(bucket_t *b, limit_t limit, msec_t now);

/**
 * bucket_refill() - Add what has come since the last call.
 * @b: the bucket
 * @reserved: tokens held elsewhere that count against the burst, unchanged
 *	since the last call
 * @now: present time; an earlier one than before adds nothing
 */
void bucket_refill(bucket_t *b, utoken_t reserved, msec_t now);

/**
 * bucket_set_limit() - Put another limit in force from now on.
 */
void bucket_set_limit(bucket_t *b, limit_t limit, msec_t now);

/**
 * bucket_take() - Take tokens if there are as many.
 *
 * Return: whether they were taken.
 */
gboolean bucket_take(bucket_t *b, utoken_t amount);

/**
 * bucket_ready_at() - When will the bucket hold an amount?
 *
 * Return: the time; INT64_MAX if never.
 */
msec_t bucket_ready_at(const bucket_t *b, utoken_t amount);

#endif
