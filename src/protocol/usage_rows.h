#ifndef PROTOCOL_USAGE_ROWS_H
#define PROTOCOL_USAGE_ROWS_H

#include "coordination/usage_counts.h"
#include "coordination/usage_duty.h"
#include "protocol/table_msg.h"

/* Rows of the usage reports: the duty, and by window the counts of each failure
 * domain and the report. */
#define USAGE_DUTY_TABLE "duty"
#define USAGE_DUTY_KEY "usage"
#define USAGE_TABLE "usage"
#define USAGE_KEY_REPORT "report/"
/* After the reports in the order of keys, so that one read from a window
 * on returns no report. */
#define USAGE_KEY_WINDOW "window/"

/** usage_rows_report_key() - Key of a window's report; free with g_free(). */
char *usage_rows_report_key(int64_t window);

/** usage_rows_window_key() - Key of a domain's counts; @domain NULL: of the
 * first row of the window. */
char *usage_rows_window_key(int64_t window, const char *domain);

typedef enum {
	USAGE_ROW_REPORT,
	USAGE_ROW_COUNTS,
	USAGE_ROW_FOREIGN,
} usage_row_kind_t;

/** usage_rows_kind() - What a key names, and the window in it. */
usage_row_kind_t usage_rows_kind(const char *key, int64_t *window);

/** usage_rows_duty() - Encode the duty's row; free with g_free().
 * @name: of the holder, for operators
 */
char *usage_rows_duty(const usage_duty_row_t *row, const char *name);

/**
 * usage_rows_read_duty() - Decode the duty's row.
 * @page: a read of the table, or the answer to a conflicting write
 * @out: set; its holder is 0 if there is no row or it can't be read
 * @ver: set to its version; 0: there is none
 */
void usage_rows_read_duty(
    const table_page_t *page, usage_duty_row_t *out, uint64_t *ver);

/** usage_rows_counts() - Encode the counts of a window; free with g_free(). */
char *usage_rows_counts(const usage_counts_t *c, int64_t window);

/**
 * usage_rows_merge_counts() - Merge the counts of a row.
 *
 * Return: FALSE if the row can't be read.
 */
gboolean usage_rows_merge_counts(
    const table_row_t *row, int64_t window, usage_counts_t *c);

#endif
