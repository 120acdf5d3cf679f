#ifndef STATE_SPLIT_H
#define STATE_SPLIT_H

#include <stdint.h>

#include "base/clock.h"

/*
 * Divides requests between a base choice and capped choices by counting.
 * Bound, for every prefix of k picks at fixed shares and for n capped
 * choices: 0 <= share * k - picked < n. So no capped choice is ever over its
 * share, not by one request. Across changes of shares the same holds with the
 * sum of the shares of each pick in place of share * k.
 */

/* Part of a whole, in units of 1 / SHARE_ONE. */
typedef uint32_t share_t;

#define SHARE_ONE 10000
#define SPLIT_CHOICES_MAX 8
#define SPLIT_BASE 0

typedef struct {
	share_t share[SPLIT_CHOICES_MAX]; /* of [SPLIT_BASE]: unused */
	int64_t credit[SPLIT_CHOICES_MAX];
} split_t;

/** split_init() - All picks go to the base choice. */
void split_init(split_t *s);

/**
 * split_set() - Set the share of a capped choice.
 * @s: the split
 * @choice: 1 .. SPLIT_CHOICES_MAX - 1
 * @share: its part; 0 also drops what it had not yet been given. The shares
 *	of all capped choices together are at most SHARE_ONE.
 */
void split_set(split_t *s, unsigned int choice, share_t share);

/**
 * split_pick() - Choose for one request.
 * @s: the split
 *
 * Return: the capped choice whose turn it is, or SPLIT_BASE.
 */
unsigned int split_pick(split_t *s);

#endif
