#include "coordination/version_shift.h"

/* Share of the new version while it is judged, under the bound of a tenth. */
#define TRIAL_SHARE (SHARE_ONE * 7 / 100)
/* Parts of the duration, in hundredths, from which on each share holds. */
#define TRIAL_UNTIL 50
#define THIRD_UNTIL 60
#define TWO_THIRDS_UNTIL 70
#define COMPLETE_FROM 88
/* After this the shift ends, also with requests at the old version. */
#define COMPLETE_LATEST 96
/* Good answers of the new version after which its share may grow, and the part
 * of all its answers that may be bad beyond the old version's part. Bad ones
 * often come last, as time-outs. */
#define CLEAR_GOOD 8
#define CLEAR_BAD 0.15
/* Of a quiet service, fewer: one that has no more requests than this in the
 * whole time. */
#define QUIET_GOOD 3
#define QUIET_REQUESTS 120
/* For the next host to act in place of one that has not. */
#define TAKEOVER_MS 700

static gboolean
before(const msec_t elapsed, const msec_t duration, int hundredths)
{
	return elapsed * 100 < duration * hundredths;
}

share_t
version_shift_share(msec_t elapsed_ms, msec_t duration_ms)
{
	if (before(elapsed_ms, duration_ms, TRIAL_UNTIL))
		return TRIAL_SHARE;
	if (before(elapsed_ms, duration_ms, THIRD_UNTIL))
		return SHARE_ONE / 3;
	if (before(elapsed_ms, duration_ms, TWO_THIRDS_UNTIL))
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
is_quiet(const shift_seen_t *seen, msec_t elapsed_ms, msec_t duration_ms)
{
	double requests =
	    seen->total.fresh.requests + seen->total.peer.requests;

	return elapsed_ms > 0 &&
	    requests / (double)elapsed_ms * (double)duration_ms <=
	    QUIET_REQUESTS;
}

gboolean
version_shift_clear(
    const shift_seen_t *seen, msec_t elapsed_ms, msec_t duration_ms)
{
	const judge_count_t *fresh = &seen->total.fresh;
	uint32_t good = good_of(fresh);

	if (fresh->requests == 0 && seen->fresh_running == 0)
		return !before(elapsed_ms, duration_ms, THIRD_UNTIL);
	if (bad_part(fresh) > bad_part(&seen->total.peer) + CLEAR_BAD)
		return FALSE;
	return good >= CLEAR_GOOD ||
	    (good >= QUIET_GOOD && is_quiet(seen, elapsed_ms, duration_ms));
}

shift_decision_t
version_shift_decide(const shift_input_t *in)
{
	if (in->verdict == JUDGE_BAD)
		return SHIFT_TAKE_BACK;
	if (before(in->elapsed_ms, in->duration_ms, COMPLETE_FROM))
		return SHIFT_GO_ON;
	if (in->clear && in->fresh_slots * 2 >= in->peer_slots &&
	    in->fresh_slots > 0) {
		if (in->old_running == 0 ||
		    !before(in->elapsed_ms, in->duration_ms, COMPLETE_LATEST))
			return SHIFT_COMPLETE;
		return SHIFT_GO_ON;
	}
	return before(in->elapsed_ms, in->duration_ms, COMPLETE_LATEST)
	    ? SHIFT_GO_ON
	    : SHIFT_TAKE_BACK;
}

msec_t
version_shift_acts_at(msec_t since, guint rank)
{
	return since + (msec_t)rank * TAKEOVER_MS;
}
