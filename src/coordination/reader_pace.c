#include "coordination/reader_pace.h"

/* After an answer that brought changes the next call may begin so soon. */
#define CHANGED_MS 300
/* The next host in rank reads if nothing came for so much longer, and each
 * further one; from RANK_MAX on all at once. */
#define RANK_MS 250
#define RANK_MAX 4

msec_t
reader_pace_next(const reader_state_t *s, msec_t every_ms)
{
	if (s->rank > 0)
		return s->fresh_at + every_ms +
		    (msec_t)MIN(s->rank, RANK_MAX) * RANK_MS;
	if (s->brought)
		return s->answered_at + CHANGED_MS;
	return s->asked_at + every_ms;
}
