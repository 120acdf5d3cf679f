#include "coordination/version_shift.h"

/* Share of the new version while it is judged; must stay below a tenth. */
#define TRIAL_SHARE (SHARE_ONE * 7 / 100)
/* Ends of the periods of the shares, in percent of the duration; and from when
 * on a shift may complete. */
#define TRIAL_UNTIL_PERCENT 50
#define THIRD_UNTIL_PERCENT 60
#define TWO_THIRDS_UNTIL_PERCENT 70
#define COMPLETE_FROM_PERCENT 88
/* From here on the shift ends even with requests at the old version. */
#define COMPLETE_LATEST_PERCENT 96
/* Number of good answers of the new version after which its share may grow, and
 * how far the part of its bad answers may exceed the old version's part. Bad
 * answers often come last, as time-outs. */
#define GROW_GOOD_ANSWERS 8
#define GROW_BAD_RATIO 0.15
/* Fewer good answers are enough for a quiet service, which has no more than
 * QUIET_REQUESTS requests in the whole duration. */
#define QUIET_GOOD_ANSWERS 3
#define QUIET_REQUESTS 120
/* The row of a shift reaches the hosts within this time. */
#define ROW_DELAY_MS 2000
/* Time that the next host waits before it acts in place of one that hasn't. */
#define TAKEOVER_MS 700

static gboolean
is_before(const msec_t elapsed, const msec_t duration, int percent)
{
	return elapsed * 100 < duration * percent;
}

share_t
version_shift_share(msec_t elapsed_ms, msec_t duration_ms)
{
	if (is_before(elapsed_ms, duration_ms, TRIAL_UNTIL_PERCENT))
		return TRIAL_SHARE;
	if (is_before(elapsed_ms, duration_ms, THIRD_UNTIL_PERCENT))
		return SHARE_ONE / 3;
	if (is_before(elapsed_ms, duration_ms, TWO_THIRDS_UNTIL_PERCENT))
		return SHARE_ONE * 2 / 3;
	return SHARE_ONE;
}

static double
bad_part(const judge_count_t *c)
{
	uint32_t bad = 0;
	int m;

	for (m = 0; m < JUDGE_METRICS; m++)
		bad += c->bad[m];
	return c->requests == 0 ? 0 : (double)bad / c->requests;
}

static uint32_t
good_of(const judge_count_t *c)
{
	uint32_t bad = 0;
	int m;

	for (m = 0; m < JUDGE_METRICS; m++)
		bad += c->bad[m];
	return c->requests > bad ? c->requests - bad : 0;
}

static gboolean
is_quiet(const shift_seen_t *seen, msec_t duration_ms)
{
	double requests =
	    seen->total.new_version.requests + seen->total.old_version.requests;

	return seen->counted_ms > 0 &&
	    requests / (double)seen->counted_ms * (double)duration_ms <=
	    QUIET_REQUESTS;
}

/* Whether no request has reached the new version, as far as this can be known:
 * a host that has counted for a part of the time only lacks the counts of hosts
 * that have ended before. */
static gboolean
is_unused(const shift_seen_t *seen, msec_t elapsed_ms)
{
	return !seen->had_requests && seen->total.new_version.requests == 0 &&
	    seen->new_running == 0 &&
	    elapsed_ms - seen->counted_ms <= ROW_DELAY_MS;
}

gboolean
version_shift_may_grow(
    const shift_seen_t *seen, msec_t elapsed_ms, msec_t duration_ms)
{
	const judge_count_t *seen_new = &seen->total.new_version;
	uint32_t good = good_of(seen_new);

	if (is_unused(seen, elapsed_ms))
		return !is_before(elapsed_ms, duration_ms, THIRD_UNTIL_PERCENT);
	if (bad_part(seen_new) >
	    bad_part(&seen->total.old_version) + GROW_BAD_RATIO)
		return FALSE;
	return good >= GROW_GOOD_ANSWERS ||
	    (good >= QUIET_GOOD_ANSWERS && is_quiet(seen, duration_ms));
}

shift_decision_t
version_shift_decide(const shift_input_t *in)
{
	if (in->verdict == JUDGE_BAD)
		return SHIFT_ROLL_BACK;
	if (!in->informed ||
	    is_before(in->elapsed_ms, in->duration_ms, COMPLETE_FROM_PERCENT))
		return SHIFT_CONTINUE;
	if (in->may_grow && in->new_slots * 2 >= in->old_slots &&
	    in->new_slots > 0) {
		if (in->old_running == 0 ||
		    !is_before(in->elapsed_ms, in->duration_ms,
			COMPLETE_LATEST_PERCENT))
			return SHIFT_COMPLETE;
		return SHIFT_CONTINUE;
	}
	return is_before(
		   in->elapsed_ms, in->duration_ms, COMPLETE_LATEST_PERCENT)
	    ? SHIFT_CONTINUE
	    : SHIFT_ROLL_BACK;
}

msec_t
version_shift_acts_at(msec_t since, guint rank)
{
	return since + (msec_t)rank * TAKEOVER_MS;
}
