#include "coordination/caller_retry.h"

/* The usual time budget is this quantile of the budgets of a route's callers.
 * The maximum would let one caller raise it for all. */
#define USUAL_QUANTILE 0.9
/* Part of the estimate by which one request may change it. */
#define USUAL_STEP 0.02
/* The time budgets that callers set differ by up to this part. */
#define SPREAD_RATIO 0.2
/* Callers obey a retry time of up to a third of the time they have left. */
#define RETRY_AFTER_RATIO 0.28

void
caller_retry_init(caller_retry_t *r)
{
	r->usual =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
caller_retry_finish(caller_retry_t *r)
{
	g_hash_table_destroy(r->usual);
}

/* Running estimate of the quantile: each sample moves it a step up or down. */
static double
update_usual(caller_retry_t *r, const char *route, double left)
{
	double *usual = g_hash_table_lookup(r->usual, route);

	if (usual == NULL) {
		usual = g_new(double, 1);
		*usual = left;
		g_hash_table_insert(r->usual, g_strdup(route), usual);
	}
	if (left > *usual)
		*usual += *usual * USUAL_STEP * USUAL_QUANTILE;
	else
		*usual -= *usual * USUAL_STEP * (1 - USUAL_QUANTILE);
	return *usual;
}

gboolean
caller_retry_is_late(
    caller_retry_t *r, const char *route, msec_t objective_ms, msec_t left_ms)
{
	double usual = update_usual(r, route, (double)left_ms);
	double spread = usual * SPREAD_RATIO;

	return objective_ms > 0 &&
	    usual - (double)left_ms > MAX((double)objective_ms, spread);
}

msec_t
caller_retry_wait_ms(msec_t left_ms)
{
	return (msec_t)(RETRY_AFTER_RATIO * (double)left_ms);
}
