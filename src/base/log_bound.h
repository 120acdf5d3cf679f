#ifndef BASE_LOG_BOUND_H
#define BASE_LOG_BOUND_H

#include "base/clock.h"

/*
 * Bounds the lines of an event that any client can cause, so that they neither
 * fill a disk nor push out other lines.
 */

#define LOG_BOUND_LINES_PER_SEC 10

/* Of one event. Zeroed before its first use. */
typedef struct {
	msec_t second; /* to which @lines belongs */
	unsigned int lines;
	long long left_out; /* since the last line */
} log_bound_t;

/**
 * log_bound_take() - Ask whether a line may be written.
 * @b: of the event
 * @now: current time
 *
 * Return: the number of lines that were left out before this one, to be written
 * with it; -1: this one is left out.
 */
long long log_bound_take(log_bound_t *b, msec_t now);

#endif
