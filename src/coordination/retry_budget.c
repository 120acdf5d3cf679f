#include "coordination/retry_budget.h"

#define CREDIT_PER_RETRY 100
/* Part of a shared budget that hosts use. The rest covers requests that are
 * counted in another window, and hosts that restart with a full share. */
#define SHARED_USE_RATIO 0.7

void
retry_budget_init(retry_budget_t *b)
{
	b->credit_per_request = RETRY_PERCENT;
	b->credit_max = RETRY_RESERVE * CREDIT_PER_RETRY;
	b->credit = b->credit_max;
}

void
retry_budget_set_share(
    retry_budget_t *b, double ratio, double extra, guint hosts)
{
	b->credit_per_request =
	    (int32_t)(ratio * SHARED_USE_RATIO * CREDIT_PER_RETRY);
	b->credit_max = (int32_t)(extra * SHARED_USE_RATIO / MAX(hosts, 1) *
	    CREDIT_PER_RETRY);
	b->credit = MIN(b->credit, b->credit_max);
}

void
retry_budget_fill(retry_budget_t *b)
{
	b->credit = b->credit_max;
}

void
retry_budget_add_request(retry_budget_t *b)
{
	b->credit = MIN(b->credit + b->credit_per_request, b->credit_max);
}

gboolean
retry_budget_take(retry_budget_t *b)
{
	if (b->credit < CREDIT_PER_RETRY)
		return FALSE;
	b->credit -= CREDIT_PER_RETRY;
	return TRUE;
}
