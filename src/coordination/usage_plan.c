#include "coordination/usage_plan.h"

/* Parts of the time until a report is due, in percent. The collector writes
 * first when the counts of most hosts have come, and once more if some came
 * late. The report is made when the second write is over. The rest is for a new
 * holder: 1 s until it reads the row, 3.3 s until it sees the lease end, and
 * some round trips. */
#define ROW_PERCENT 10
#define ROW_AGAIN_PERCENT 20
#define REPORT_PERCENT 40
#define OVER_PERCENT 150

int64_t
usage_plan_window(int64_t wall_ms, msec_t window_ms)
{
	return wall_ms / window_ms;
}

msec_t
usage_plan_age(int64_t window, int64_t wall_ms, msec_t window_ms)
{
	return wall_ms - (window + 1) * window_ms;
}

gboolean
usage_plan_row_due(const usage_row_state_t *row, guint changes, msec_t age_ms,
    msec_t late_ms, msec_t now)
{
	if (changes == row->changes || age_ms * 100 < late_ms * ROW_PERCENT)
		return FALSE;
	if (row->writes == 0)
		return TRUE;
	return row->writes < USAGE_ROW_WRITES_MAX && age_ms < late_ms &&
	    (now - row->written_at) * 100 >= late_ms * ROW_AGAIN_PERCENT;
}

gboolean
usage_plan_report_due(msec_t age_ms, msec_t late_ms)
{
	return age_ms * 100 >= late_ms * REPORT_PERCENT;
}

gboolean
usage_plan_rows_over(msec_t age_ms, msec_t late_ms)
{
	return age_ms * 100 >= late_ms * OVER_PERCENT;
}

msec_t
usage_plan_start(msec_t took_ms, double waiting, double slots)
{
	if (slots < 1 || waiting <= 0)
		return 0;
	return (msec_t)((double)took_ms * waiting / (waiting + slots));
}
