#include <string.h>

#include "coordination/move_holder.h"

void
move_holder_init(
    move_holder_t *m, const move_row_t *row, uint64_t version, msec_t now)
{
	memset(m, 0, sizeof(*m));
	m->row = *row;
	m->version = version;
	m->began_at = now;
	m->tried_at = now - MOVE_RETRY_MS;
	m->confirmed_at = MOVE_UNCONFIRMED;
	/* A row that is final already was reported by the host that wrote it.
	 */
	m->reported = move_is_final(row);
}

static move_action_t
none(void)
{
	return (move_action_t){.act = MOVE_ACT_NONE};
}

static move_action_t
wait_for(move_holder_t *m, move_wait_t wait)
{
	m->wait = wait;
	return none();
}

/* Prepares a write of the row; the caller then changes the row in it. */
static move_action_t
commit(move_holder_t *m, const move_input_t *in)
{
	move_action_t a = {
	    .act = MOVE_ACT_COMMIT, .row = m->row, .check_version = m->version};

	a.row.step++;
	a.row.epoch = in->epoch;
	a.row.token = ++m->last_token;
	m->busy = TRUE;
	m->tried_at = in->now;
	m->wait = MOVE_NOT_WAITING;
	return a;
}

static gboolean
all_confirmed(const move_holder_t *m, const move_input_t *in)
{
	unsigned int i;

	if (!in->members_known || in->n_reports == 0)
		return FALSE;
	for (i = 0; i < in->n_reports; i++) {
		if (in->reports[i].confirmed != m->row.step ||
		    in->now - in->reports[i].heard_at > MOVE_REPORT_MAX_AGE_MS)
			return FALSE;
	}
	return TRUE;
}

/*
 * Whether a host has confirmed a later step than is known here. A commit whose
 * answer was lost may take effect after the row was read back.
 */
static gboolean
any_host_ahead(const move_holder_t *m, const move_input_t *in)
{
	unsigned int i;

	for (i = 0; i < in->n_reports; i++) {
		if (in->reports[i].confirmed > m->row.step)
			return TRUE;
	}
	return FALSE;
}

static gboolean
any_stopped(const move_input_t *in)
{
	unsigned int i;

	for (i = 0; i < in->n_reports; i++) {
		if (in->reports[i].stopped)
			return TRUE;
	}
	return FALSE;
}

static gboolean
past_deadline(const move_holder_t *m, const move_input_t *in)
{
	return m->row.deadline_wall != 0 &&
	    in->wall_now >= m->row.deadline_wall;
}

static move_reason_t
reason_to_back_out(const move_holder_t *m, const move_input_t *in)
{
	gboolean rollout = m->row.kind == MOVE_ROLLOUT;

	if (rollout && in->verdict == JUDGE_BAD)
		return MOVE_REASON_BAD;
	if (in->cancelled)
		return MOVE_REASON_CANCELLED;
	if (rollout && past_deadline(m, in) && !m->row.proven)
		return MOVE_REASON_LATE;
	/* Checked last: the holder's own stop above also stops hosts. */
	return rollout && any_stopped(in) ? MOVE_REASON_BAD : MOVE_REASON_NONE;
}

static move_action_t
back_out(move_holder_t *m, const move_input_t *in, move_reason_t reason)
{
	move_action_t a;

	if (m->row.kind == MOVE_ROLLOUT && !m->stop_sent) {
		/* Needs no write: a host may stop a version at any time. */
		m->stop_sent = TRUE;
		a = none();
		a.act = MOVE_ACT_STOP;
		a.row = m->row;
		a.row.epoch = in->epoch;
		return a;
	}
	if (in->now - m->tried_at < MOVE_RETRY_MS)
		return wait_for(m, MOVE_WAITS_FOR_STORE);
	a = commit(m, in);
	a.row.state = MOVE_BACKING_OUT;
	a.row.reason = reason;
	if (m->row.kind == MOVE_ROLLOUT)
		a.row.share = 0;
	return a;
}

/*
 * Whether the current step is in force on all live hosts and its effect is
 * visible in the measurement of the receiving side.
 */
static gboolean
effect_is_visible(move_holder_t *m, const move_input_t *in)
{
	if (m->confirmed_at == MOVE_UNCONFIRMED) {
		m->wait = MOVE_WAITS_FOR_HOSTS;
		return FALSE;
	}
	m->wait = MOVE_WAITS_FOR_EFFECT;
	return in->now - m->confirmed_at >= in->settle_ms;
}

static share_t
clamp_to_room(const move_input_t *in, share_t from, share_t to)
{
	share_t room = move_room_share(&in->room);

	return to - from > room ? from + room : to;
}

static gboolean
is_measured(move_holder_t *m, const move_input_t *in)
{
	m->wait = MOVE_WAITS_FOR_MEASUREMENT;
	return move_room_fresh(
	    &in->room, m->confirmed_at + in->settle_ms, in->now);
}

static move_action_t
advance(move_holder_t *m, const move_input_t *in)
{
	move_pace_t pace = {.wall_now = in->wall_now,
	    .step_ms = m->step_ms,
	    .verdict = in->verdict,
	    .lacks_load = in->lacks_load};
	gboolean proven;
	move_action_t a;
	share_t next;

	if (pace.step_ms == 0)
		pace.step_ms = in->settle_ms + MOVE_CONFIRM_MS + in->sample_ms;
	next = move_plan_next(&m->row, &pace, &proven);
	if (next <= m->row.share)
		return wait_for(m, MOVE_WAITS_FOR_JUDGEMENT);
	next = clamp_to_room(in, m->row.share, next);
	if (next <= m->row.share)
		return wait_for(m, MOVE_WAITS_FOR_ROOM);
	/* The time for which a version is unproven is no measure for a step. */
	if (m->row.kind != MOVE_ROLLOUT || m->row.proven)
		m->step_ms = in->now - m->began_at;
	a = commit(m, in);
	a.row.share = next;
	a.row.proven = proven;
	return a;
}

static move_action_t
run(move_holder_t *m, const move_input_t *in)
{
	move_reason_t reason = reason_to_back_out(m, in);
	move_action_t a;

	if (reason != MOVE_REASON_NONE)
		return back_out(m, in, reason);
	if (in->now - m->tried_at < MOVE_RETRY_MS)
		return none();
	if (past_deadline(m, in) && !m->row.late) {
		a = commit(m, in);
		a.row.late = TRUE;
		return a;
	}
	if (!effect_is_visible(m, in))
		return none();
	if (m->row.share == m->row.goal) {
		a = commit(m, in);
		a.row.state = MOVE_DONE;
		return a;
	}
	if (!is_measured(m, in))
		return none();
	return advance(m, in);
}

static move_action_t
step_back(move_holder_t *m, const move_input_t *in)
{
	share_t next = move_plan_back(&m->row);
	move_action_t a;

	if (in->now - m->tried_at < MOVE_RETRY_MS)
		return none();
	if (m->confirmed_at == MOVE_UNCONFIRMED)
		return wait_for(m, MOVE_WAITS_FOR_HOSTS);
	if (m->row.share == 0) {
		a = commit(m, in);
		a.row.state = MOVE_TAKEN_BACK;
		return a;
	}
	if (!effect_is_visible(m, in) || !is_measured(m, in))
		return none();
	/* Traffic moved back needs room on the side that it came from. */
	if (m->row.share - next > move_room_share(&in->room))
		next = m->row.share - move_room_share(&in->room);
	if (next >= m->row.share)
		return wait_for(m, MOVE_WAITS_FOR_ROOM);
	a = commit(m, in);
	a.row.share = next;
	return a;
}

/*
 * Writes the row under the epoch of a new holder, before anything else. Once
 * that row is in force on a host, orders of earlier holders have no effect
 * there.
 */
static move_action_t
write_under_epoch(move_holder_t *m, const move_input_t *in)
{
	if (in->now - m->tried_at < MOVE_RETRY_MS)
		return none();
	return commit(m, in);
}

move_action_t
move_holder_tick(move_holder_t *m, const move_input_t *in)
{
	if (!in->held || m->busy)
		return none();
	m->epoch = in->epoch;
	if (m->report_due) {
		m->report_due = FALSE;
		m->reported = TRUE;
		return (move_action_t){.act = MOVE_ACT_REPORT, .row = m->row};
	}
	if (m->stale || any_host_ahead(m, in)) {
		m->wait = MOVE_WAITS_FOR_STORE;
		if (in->now - m->tried_at < MOVE_RETRY_MS)
			return none();
		m->busy = TRUE;
		m->tried_at = in->now;
		return (move_action_t){.act = MOVE_ACT_READ};
	}
	if (!all_confirmed(m, in))
		m->confirmed_at = MOVE_UNCONFIRMED;
	else if (m->confirmed_at == MOVE_UNCONFIRMED)
		m->confirmed_at = in->now;
	if (!move_is_final(&m->row) && m->row.epoch != in->epoch)
		return write_under_epoch(m, in);
	switch (m->row.state) {
	case MOVE_RUNNING:
		return run(m, in);
	case MOVE_BACKING_OUT:
		return step_back(m, in);
	case MOVE_DONE:
	case MOVE_TAKEN_BACK:
		break;
	}
	return none();
}

static void
adopt(move_holder_t *m, const move_row_t *row, uint64_t version, msec_t now)
{
	if (row->step <= m->row.step)
		return;
	m->row = *row;
	m->version = version;
	m->began_at = now;
	m->confirmed_at = MOVE_UNCONFIRMED;
	/* Only the holder of an epoch writes under it: this host wrote it. */
	if (move_is_final(row) && row->epoch == m->epoch && !m->reported)
		m->report_due = TRUE;
}

void
move_holder_read(
    move_holder_t *m, const move_row_t *row, uint64_t version, msec_t now)
{
	m->busy = FALSE;
	if (row == NULL)
		return;
	m->stale = FALSE;
	adopt(m, row, version, now);
}

void
move_holder_answered(move_holder_t *m, const move_action_t *action,
    move_result_t result, uint64_t version, msec_t now)
{
	m->busy = FALSE;
	switch (result) {
	case MOVE_WON:
		adopt(m, &action->row, version, now);
		break;
	case MOVE_CONFLICT:
	case MOVE_LOST:
		m->stale = TRUE;
		break;
	}
}

const char *
move_wait_name(move_wait_t wait)
{
	static const char *const names[] = {"none", "hosts", "effect",
	    "measurement", "room", "judgement", "store"};

	return names[wait];
}
