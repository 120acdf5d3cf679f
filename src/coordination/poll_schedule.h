#ifndef COORDINATION_POLL_SCHEDULE_H
#define COORDINATION_POLL_SCHEDULE_H

#include <glib.h>

#include "base/clock.h"

/*
 * When a host polls the store for changes of a table that one host of a region
 * reads for all hosts there. The first host in rank polls at a fixed interval.
 * The other hosts poll only if they have received nothing for longer; the lower
 * the rank, the later. The result depends only on the times of past events, not
 * on the time of the call, so it may be recomputed at any time.
 */

typedef struct {
	guint rank;	      /* this host's; 0 reads for the region */
	msec_t asked_at;      /* start of this host's last call */
	msec_t answered_at;   /* when that call was answered */
	gboolean had_changes; /* the answer had changes; there may be more */
	msec_t fresh_at;      /* the table was last known to be up to date */
} poll_state_t;

/**
 * poll_schedule_next() - Time of the next poll.
 * @s: times of past events
 * @every_ms: time between the starts of calls at rank 0
 */
msec_t poll_schedule_next(const poll_state_t *s, msec_t every_ms);

/**
 * poll_schedule_retry_delay() - Delay between a failed call and the next call.
 * @failures: number of calls that failed in a row; at least 1
 */
msec_t poll_schedule_retry_delay(guint failures);

/**
 * poll_schedule_is_stuck() - Whether to give up a call now that others succeed.
 * @asked_at: start of the call
 * @now: time
 *
 * A call that started while the store was unreachable may hang until its
 * time-out.
 */
gboolean poll_schedule_is_stuck(msec_t asked_at, msec_t now);

/**
 * poll_schedule_may_be_silent() - Whether to ask again, without having failed.
 * @asked_at: start of a call that waits for changes
 * @lost_at: when another call of this host got no answer
 *
 * Open connections may have fallen silent together, while new ones work.
 */
gboolean poll_schedule_may_be_silent(msec_t asked_at, msec_t lost_at);

/**
 * poll_schedule_must_list() - Whether to read a table whole after failed calls.
 * @lost_at: when the first of them failed
 * @fresh_at: when changes were last read or sent by a peer
 * @now: time
 *
 * After a long gap, the table takes less than all changes since. There is no
 * gap while peers send the changes.
 */
gboolean poll_schedule_must_list(msec_t lost_at, msec_t fresh_at, msec_t now);

#endif
