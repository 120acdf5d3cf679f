#include "coordination/stop_plan.h"

/* The process exits this long before it would be killed. */
#define EXIT_MARGIN_MS 100
/* Time in which the last answers are sent. */
#define ANSWER_MS 200
/* A request that is read this long before callers stop coming was sent in time
 * by the caller's clock. */
#define LATE_MARGIN_MS 100

void
stop_plan_begin(stop_plan_t *p, msec_t now, msec_t grace_ms, msec_t linger_ms)
{
	p->exit_at = now + MAX(grace_ms - EXIT_MARGIN_MS, 0);
	p->ends_at = now + MAX(grace_ms - EXIT_MARGIN_MS - ANSWER_MS, 0);
	p->late_at = now + MAX(linger_ms - LATE_MARGIN_MS, 0);
}

gboolean
stop_plan_admits(const stop_plan_t *p, msec_t now, msec_t need_ms)
{
	return now < MIN(p->late_at, p->ends_at) || now + need_ms <= p->ends_at;
}
