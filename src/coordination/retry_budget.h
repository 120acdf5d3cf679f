#ifndef COORDINATION_RETRY_BUDGET_H
#define COORDINATION_RETRY_BUDGET_H

#include <stdint.h>

#include <glib.h>

/*
 * Limits the retries of a service to a fraction of its requests, so that
 * retries cannot multiply the load of an overloaded service.
 */

#define RETRY_PERCENT 10 /* retries per 100 first tries */
#define RETRY_RESERVE 20 /* maximum number of saved retries */

typedef struct {
	int32_t credit;		    /* retries left, in hundredths of a retry */
	int32_t credit_per_request; /* hundredths added by a first try */
	int32_t credit_max;	    /* maximum of @credit */
} retry_budget_t;

/** retry_budget_init() - Use RETRY_PERCENT and RETRY_RESERVE; starts full. */
void retry_budget_init(retry_budget_t *b);

/**
 * retry_budget_set_share() - Make it one host's share of a common budget.
 * @b: the service's budget
 * @ratio: retries for each first try
 * @extra: retries beyond those, of all hosts together
 * @hosts: number of hosts that share the budget
 *
 * Saved retries are kept up to the maximum of the new share.
 */
void retry_budget_set_share(
    retry_budget_t *b, double ratio, double extra, guint hosts);

/** retry_budget_fill() - Set the saved retries to their maximum. */
void retry_budget_fill(retry_budget_t *b);

/**
 * retry_budget_add_request() - Count the first try of a request.
 * @b: the service's budget
 */
void retry_budget_add_request(retry_budget_t *b);

/**
 * retry_budget_take() - Use one retry.
 * @b: the service's budget
 *
 * Return: FALSE if none was left.
 */
gboolean retry_budget_take(retry_budget_t *b);

#endif
