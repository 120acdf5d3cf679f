#include "state/route_eject.h"
#include "state/route_policy.h"

static route_candidate_t *
row_at(GArray *rows, guint i)
{
	return &g_array_index(rows, route_candidate_t, i);
}

static gboolean
same_group(const route_candidate_t *a, const route_candidate_t *b)
{
	return a->region == b->region && g_strcmp0(a->version, b->version) == 0;
}

static route_candidate_t *
least_failing(
    GArray *rows, const endpoint_stats_t *stats, const route_candidate_t *group)
{
	route_candidate_t *row, *best = NULL;
	double rate, least = 0;
	guint i;

	for (i = 0; i < rows->len; i++) {
		row = row_at(rows, i);
		if (!same_group(row, group) || row->state != ENDPOINT_EJECTED)
			continue;
		rate = endpoint_stats_failure_rate(stats, row->id);
		if (best && rate >= least)
			continue;
		best = row;
		least = rate;
	}
	return best;
}

static void
cap_group(
    GArray *rows, const endpoint_stats_t *stats, const route_candidate_t *group)
{
	unsigned int total = 0, ejected = 0;
	guint i;

	for (i = 0; i < rows->len; i++) {
		if (!same_group(row_at(rows, i), group))
			continue;
		total++;
		ejected += row_at(rows, i)->state == ENDPOINT_EJECTED;
	}
	for (; ejected > total / ROUTE_EJECT_CAP_DIVISOR; ejected--)
		least_failing(rows, stats, group)->state = ENDPOINT_USABLE;
}

void
route_eject_cap(GArray *rows, const endpoint_stats_t *stats)
{
	guint i;

	for (i = 0; i < rows->len; i++) {
		if (row_at(rows, i)->state == ENDPOINT_EJECTED)
			cap_group(rows, stats, row_at(rows, i));
	}
}
