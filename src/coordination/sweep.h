#ifndef COORDINATION_SWEEP_H
#define COORDINATION_SWEEP_H

#include <stdint.h>

#include <glib.h>

/*
 * How old rows of the store are, without anybody's time of day. One host
 * pushes the store's version as a mark at least a period after the last mark
 * was written, by its own steady clock. A row whose version is not over a mark
 * is older than the marks pushed since, times the period. Pauses and changes
 * of the host that pushes only make rows look younger.
 */

/* Periods for which rows are kept after their last write. */
#define SWEEP_ONCE_PERIODS 24
#define SWEEP_MOVE_PERIODS (7 * 24)

#define SWEEP_MARKS_MAX (SWEEP_MOVE_PERIODS + 1)

typedef struct {
	uint64_t versions[SWEEP_MARKS_MAX]; /* oldest first, never falling */
	guint n;
} sweep_marks_t;

/**
 * sweep_push() - Add the mark of a period that has gone by.
 * @m: the marks; the oldest goes where there are too many
 * @version: one that the store had reached before now
 */
void sweep_push(sweep_marks_t *m, uint64_t version);

/**
 * sweep_lapsed() - Version up to which rows are old enough to go.
 * @m: the marks
 * @periods: for how many they are kept
 *
 * Return: 0: none is.
 */
uint64_t sweep_lapsed(const sweep_marks_t *m, guint periods);

/**
 * sweep_format() - Marks as a text.
 * @m: the marks
 *
 * Return: to be freed with g_free().
 */
char *sweep_format(const sweep_marks_t *m);

/**
 * sweep_parse() - Read marks from a text.
 * @m: set to the marks; to none where the text is not right
 * @text: the text
 */
gboolean sweep_parse(sweep_marks_t *m, const char *text);

#endif
