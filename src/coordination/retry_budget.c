#include "coordination/retry_budget.h"

#define WHOLE_RETRY 100

void
retry_budget_init(retry_budget_t *b)
{
	b->percent = RETRY_RESERVE * WHOLE_RETRY;
}

void
retry_budget_first(retry_budget_t *b)
{
	b->percent =
	    MIN(b->percent + RETRY_PERCENT, RETRY_RESERVE * WHOLE_RETRY);
}

gboolean
retry_budget_take(retry_budget_t *b)
{
	if (b->percent < WHOLE_RETRY)
		return FALSE;
	b->percent -= WHOLE_RETRY;
	return TRUE;
}
