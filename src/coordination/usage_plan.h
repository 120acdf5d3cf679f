#ifndef COORDINATION_USAGE_PLAN_H
#define COORDINATION_USAGE_PLAN_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"

/*
 * When the counts of a window are written and its report is made. Times of day
 * in ms; they differ slightly between hosts.
 */

/* Time between two datagrams with the same host's counts of a window, while it
 * runs and afterwards. The former only limit what a host that is killed loses.
 */
#define USAGE_SEND_RUNNING_MS 2000
#define USAGE_SEND_MS 1000
/* Writes of a domain's counts of one window. */
#define USAGE_ROW_WRITES_MAX 2

/** usage_plan_window() - The window that contains a time of day. */
int64_t usage_plan_window(int64_t wall_ms, msec_t window_ms);

/** usage_plan_age() - Time since the end of a window; negative before it. */
msec_t usage_plan_age(int64_t window, int64_t wall_ms, msec_t window_ms);

/* A domain's counts of a window, as its collector wrote them. */
typedef struct {
	guint changes; /* of the counts, that the row contains */
	guint writes;
	msec_t written_at; /* monotonic */
} usage_row_state_t;

/**
 * usage_plan_row_due() - Whether the collector writes a window's counts.
 * @row: what it wrote
 * @changes: of the counts, as they are now
 * @age_ms: time since the end of the window
 * @late_ms: time after which the report is due
 * @now: monotonic time
 *
 * Counts that were never written are written at any time, others only while
 * the report may still use them.
 */
gboolean usage_plan_row_due(const usage_row_state_t *row, guint changes,
    msec_t age_ms, msec_t late_ms, msec_t now);

/** usage_plan_report_due() - Whether the report of a window is made. */
gboolean usage_plan_report_due(msec_t age_ms, msec_t late_ms);

/** usage_plan_rows_over() - Whether nobody writes a window's counts any more.
 */
gboolean usage_plan_rows_over(msec_t age_ms, msec_t late_ms);

/**
 * usage_plan_start() - When a request began to run at a server, as estimated.
 * @took_ms: time from sending it until the answer
 * @waiting: requests in the server's queue
 * @slots: requests that the server runs at once; 0: unknown
 *
 * A request that found @waiting others in the queue waits for as many of its
 * own run times as there are requests for each slot.
 *
 * Return: ms after it was sent.
 */
msec_t usage_plan_start(msec_t took_ms, double waiting, double slots);

#endif
