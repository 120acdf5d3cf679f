#include "coordination/poll_schedule.h"

/* Delay of the next call after an answer that had changes. */
#define CHANGED_MS 300
/* A host polls if nothing arrived for the interval plus this time, multiplied
 * by its rank. From RANK_MAX on, all hosts wait for the same time. */
#define RANK_MS 250
#define RANK_MAX 4
/* Delay after a failed call; doubled with each further failure. */
#define RETRY_MS 150
#define RETRY_MAX_MS 1000
/* A reachable store answers within this time. It is longer than a round trip
 * between regions plus the time to connect. */
#define STUCK_MS 400
/* Gap after which a table is read whole. */
#define GAP_MS 1000

msec_t
poll_schedule_next(const poll_state_t *s, msec_t every_ms)
{
	if (s->rank > 0)
		return s->fresh_at + every_ms +
		    (msec_t)MIN(s->rank, RANK_MAX) * RANK_MS;
	if (s->had_changes)
		return s->answered_at + CHANGED_MS;
	return s->asked_at + every_ms;
}

msec_t
poll_schedule_retry_delay(guint failures)
{
	return MIN(RETRY_MS << MIN(failures - 1, 4), RETRY_MAX_MS);
}

gboolean
poll_schedule_is_stuck(msec_t asked_at, msec_t now)
{
	return now - asked_at >= STUCK_MS;
}

gboolean
poll_schedule_may_be_silent(msec_t asked_at, msec_t lost_at)
{
	return asked_at <= lost_at;
}

gboolean
poll_schedule_must_list(msec_t lost_at, msec_t fresh_at, msec_t now)
{
	return now - MAX(lost_at, fresh_at) > GAP_MS;
}
