#include "coordination/move_plan.h"

static share_t
min_share(share_t a, share_t b)
{
	return a < b ? a : b;
}

static int64_t
soak_end(const move_row_t *row)
{
	int64_t window = row->deadline_wall - row->created_wall;

	if (row->deadline_wall == 0)
		return row->created_wall;
	return row->created_wall + window * MOVE_SOAK_PERCENT / 100;
}

/* Spreads the rest of the move over the time left, except for the time of one
 * step, which is kept in reserve. */
static share_t
spread_rest(const move_row_t *row, const move_pace_t *pace)
{
	share_t rest = row->goal - row->share, add = row->step_cap;
	int64_t left = row->deadline_wall - pace->wall_now - pace->step_ms;
	int64_t steps = pace->step_ms > 0 ? left / pace->step_ms : left;

	if (row->deadline_wall != 0 && steps > 0)
		add = (share_t)((rest + steps - 1) / steps);
	if (add < MOVE_MIN_STEP)
		add = MOVE_MIN_STEP;
	return row->share + min_share(rest, min_share(add, row->step_cap));
}

static share_t
rollout_next(const move_row_t *row, const move_pace_t *pace, gboolean *proven)
{
	share_t next;

	if (row->share < row->cap && !row->proven) {
		if (row->share == 0)
			return min_share(row->cap, MOVE_FIRST_SHARE);
		return row->cap;
	}
	if (pace->verdict != JUDGE_GOOD && !pace->lacks_load)
		return row->share;
	if (!row->proven && pace->wall_now < soak_end(row))
		return row->share;
	*proven = TRUE;
	next = spread_rest(row, pace);
	if (pace->verdict != JUDGE_GOOD)
		next = min_share(next, row->share + row->cap);
	return next;
}

share_t
move_plan_next(const move_row_t *row, const move_pace_t *pace, gboolean *proven)
{
	*proven = row->proven;
	switch (row->kind) {
	case MOVE_ROLLOUT:
		return rollout_next(row, pace, proven);
	case MOVE_SHIFT:
	case MOVE_DRAIN:
		break;
	}
	return spread_rest(row, pace);
}

share_t
move_plan_back(const move_row_t *row)
{
	/* A rollout is taken back at once, other moves in steps. */
	if (row->kind == MOVE_ROLLOUT || row->share <= row->step_cap)
		return 0;
	return row->share - row->step_cap;
}
