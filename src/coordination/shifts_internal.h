#ifndef COORDINATION_SHIFTS_INTERNAL_H
#define COORDINATION_SHIFTS_INTERNAL_H

#include "coordination/shifts.h"

/*
 * One shift; internal to shifts.c and shifts_judge.c. shifts.c handles orders,
 * rows and the versions that a request may go to. shifts_judge.c counts,
 * reports and decides.
 */
struct shift {
	char *service;
	char *to; /* ordered version; NULL: the order was removed */
	msec_t duration_ms;
	gboolean has_row;
	shift_row_t row;
	uint64_t row_ver;
	char *next_withdrawn;	 /* for the row of the next shift */
	GPtrArray *old_versions; /* versions in use when the shift began */

	judge_t judge;
	judge_feed_t feed;
	msec_t window_at;
	fleet_shift_t own;
	gboolean rejected;     /* judged bad here: send it no requests */
	judge_count_t seen;    /* requests at the new version, of all hosts */
	gboolean had_requests; /* some host had a request at the new version */
	msec_t counted_from;   /* store's clock; 0: not yet */
	gboolean may_grow;     /* enough good answers for the share to grow */

	/* The store lost the row and has another one, or none: it has to be
	 * written again. */
	gboolean rewrite;
	msec_t due_since; /* since when a row has to be written; 0: none */
	msec_t written_at;
};

/** shift_target() - The version that is shifted to, or NULL. */
const char *shift_target(const shift_t *shift);

/** shift_row_holds() - Whether the row belongs to the current order. */
gboolean shift_row_holds(const shift_t *shift);

/** shift_is_withdrawn() - Was a version rolled back before this shift? */
gboolean shift_is_withdrawn(const shift_t *shift, const char *version);

/**
 * shift_next_withdrawn() - Versions that are rolled back when a shift begins.
 *
 * Return: the same as in a row; valid until the next call.
 */
char *shift_next_withdrawn(shift_t *shift);

/** shift_is_new() - Whether a server runs the new version of the row. */
gboolean shift_is_new(const shift_t *shift, const backend_t *b);

#endif
