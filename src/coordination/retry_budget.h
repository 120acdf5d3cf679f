#ifndef COORDINATION_RETRY_BUDGET_H
#define COORDINATION_RETRY_BUDGET_H

#include <stdint.h>

#include <glib.h>

/*
 * Bounds the retries of a service to a fraction of its requests, so that
 * retries cannot multiply the load of a service in trouble.
 */

#define RETRY_PERCENT 10 /* of first tries */
#define RETRY_RESERVE 20 /* retries saved up at most */

typedef struct {
	int32_t percent; /* retries left, in hundredths */
} retry_budget_t;

void retry_budget_init(retry_budget_t *b);

/**
 * retry_budget_first() - Count the first try of a request.
 * @b: the service's budget
 */
void retry_budget_first(retry_budget_t *b);

/**
 * retry_budget_take() - Take one retry.
 * @b: the service's budget
 *
 * Return: whether there was one left.
 */
gboolean retry_budget_take(retry_budget_t *b);

#endif
