#ifndef STATE_SPLIT_H
#define STATE_SPLIT_H

#include <stdint.h>

#include "base/clock.h"

/*
 * Divides requests between a base choice and capped choices by counting.
 * With n capped choices at fixed shares, this holds for each of them after any
 * number k of picks: 0 <= share * k - picked < n, where share is a fraction of
 * 1 and picked counts the picks of this choice. No capped choice therefore ever
 * exceeds its share, not even by one request. If shares change, the same holds
 * with the sum of the shares at each pick in place of share * k.
 */

/* A fraction of 1, in units of 1 / SHARE_ONE. */
typedef uint32_t share_t;

#define SHARE_ONE 10000
#define SPLIT_CHOICES_MAX 8
#define SPLIT_BASE 0

typedef struct {
	share_t share[SPLIT_CHOICES_MAX]; /* [SPLIT_BASE] is unused */
	/* Requests due to each choice, in units of 1 / SHARE_ONE. */
	int64_t credit[SPLIT_CHOICES_MAX];
} split_t;

/** split_init() - Set up; all picks go to the base choice. */
void split_init(split_t *s);

/**
 * split_set() - Set the share of a capped choice.
 * @s: the split
 * @choice: 1 .. SPLIT_CHOICES_MAX - 1
 * @share: its share; 0 also clears its credit. The shares of all capped
 *	choices together are at most SHARE_ONE.
 */
void split_set(split_t *s, unsigned int choice, share_t share);

/**
 * split_pick() - Pick a choice for one request.
 * @s: the split
 *
 * Return: the capped choice with the most credit if it has at least one
 * request due, else SPLIT_BASE.
 */
unsigned int split_pick(split_t *s);

#endif
