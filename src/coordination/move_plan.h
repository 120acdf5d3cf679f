#ifndef COORDINATION_MOVE_PLAN_H
#define COORDINATION_MOVE_PLAN_H

#include "coordination/move.h"
#include "state/judge.h"

/* First share of a new version, if its cap allows it. */
#define MOVE_FIRST_SHARE (SHARE_ONE / 100)
/* Minimum step, so that a move with much time ends before its deadline. */
#define MOVE_MIN_STEP (SHARE_ONE / 50)
/* Part of a rollout's time in which it stays unproven, up to its cap. */
#define MOVE_SOAK_PERCENT 80

typedef struct {
	int64_t wall_now;
	msec_t step_ms; /* expected duration of one step */
	judge_verdict_t verdict;
	gboolean lacks_load; /* see judge_lacks_load() */
} move_pace_t;

/**
 * move_plan_next() - The share that the next step should have.
 * @row: a running move whose current step is confirmed
 * @pace: time and judgement
 * @proven: set to TRUE when the new version may pass its cap
 *
 * If a version lacks only the load that its share can't bring it, one step adds
 * at most its cap, and the version is judged again at each step.
 *
 * Steps are spread over the time left, so that each is as small as the
 * deadline allows.
 *
 * Return: a share between the current one and the goal; the current one if the
 * move has to wait.
 */
share_t move_plan_next(
    const move_row_t *row, const move_pace_t *pace, gboolean *proven);

/** move_plan_back() - The share after the next step of backing out. */
share_t move_plan_back(const move_row_t *row);

#endif
