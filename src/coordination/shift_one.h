#ifndef COORDINATION_SHIFT_ONE_H
#define COORDINATION_SHIFT_ONE_H

#include "coordination/shifts.h"

/*
 * One move, for the files of the moves only: shifts.c knows orders, rows and
 * which version a request may go to; shifts_judge.c counts, tells and decides.
 */
struct shift {
	char *service;
	char *to; /* ordered; NULL: the order is gone */
	msec_t duration_ms;
	gboolean has_row;
	shift_row_t row;
	uint64_t row_ver;
	GPtrArray *old_versions; /* in use when the move began */

	judge_t judge;
	judge_feed_t feed;
	msec_t window_at;
	fleet_shift_t own;
	gboolean bad;	/* found here; no more is sent, whatever the row says */
	gboolean clear; /* seen to be good: the share may grow */

	msec_t due_since; /* a row is to be written since; 0: none */
	msec_t written_at;
};

/** shift_target() - The version that the move is to, or NULL. */
const char *shift_target(const shift_t *m);

/** shift_row_holds() - Does the row speak of the present order? */
gboolean shift_row_holds(const shift_t *m);

/** shift_is_fresh() - Is a server of the new version of the row? */
gboolean shift_is_fresh(const shift_t *m, const backend_t *b);

#endif
