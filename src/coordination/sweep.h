#ifndef COORDINATION_SWEEP_H
#define COORDINATION_SWEEP_H

#include <stdint.h>

#include <glib.h>

/*
 * Determines the age of rows in the store without wall-clock time. One host
 * records the store's version as a mark, at least one period after the previous
 * mark was written, by its own monotonic clock. A row whose version is not
 * higher than a mark is older than the number of later marks times the period.
 * If the host pauses, or another host takes over, rows only look younger than
 * they are.
 */

/* Number of periods for which rows are kept after their last write. */
#define SWEEP_ONCE_PERIODS 24
#define SWEEP_MOVE_PERIODS (7 * 24)

#define SWEEP_MARKS_MAX (SWEEP_MOVE_PERIODS + 1)

typedef struct {
	uint64_t versions[SWEEP_MARKS_MAX]; /* oldest first; never decreasing */
	guint n;
} sweep_marks_t;

/**
 * sweep_push() - Add the mark of an elapsed period.
 * @m: the marks; when full, the oldest one is dropped
 * @version: a version that the store has already reached
 */
void sweep_push(sweep_marks_t *m, uint64_t version);

/**
 * sweep_lapsed() - Version up to which rows are old enough to be deleted.
 * @m: the marks
 * @periods: number of periods for which rows are kept
 *
 * Return: the version, or 0 if no row is old enough.
 */
uint64_t sweep_lapsed(const sweep_marks_t *m, guint periods);

/**
 * sweep_format() - Convert marks to text.
 * @m: the marks
 *
 * Return: to be freed with g_free().
 */
char *sweep_format(const sweep_marks_t *m);

/**
 * sweep_parse() - Parse marks.
 * @m: set to the marks; empty if the text is malformed
 * @text: the text
 *
 * Return: whether the text is well formed.
 */
gboolean sweep_parse(sweep_marks_t *m, const char *text);

#endif
