#include <math.h>
#include <string.h>

#include "state/judge.h"

/* Hypotheses tested: a bad version fails this many times as often as the old
 * one. */
static const double ratios[JUDGE_RATIOS] = {2.5, 8, 32};

/*
 * A statistic closer than this to the threshold, in nats, gives no clear
 * result. A good version comes that close with a probability of at most
 * exp(3) = 20 times alpha.
 */
#define JUDGE_CLEAR_MARGIN 3.0

void
judge_init(judge_t *j, unsigned int routes, uint32_t windows, double alpha)
{
	unsigned int i, m, r;

	memset(j, 0, sizeof(*j));
	j->routes = routes < JUDGE_ROUTES_MAX ? routes : JUDGE_ROUTES_MAX;
	j->log_threshold =
	    log((double)windows * JUDGE_METRICS * (j->routes + 1) / alpha);
	for (i = 0; i <= j->routes; i++)
		for (m = 0; m < JUDGE_METRICS; m++)
			for (r = 0; r < JUDGE_RATIOS; r++)
				j->cells[i].log_stat[m][r] = -INFINITY;
}

/*
 * Logarithm of the likelihood ratio of one band, between the hypothesis that
 * the new version fails `ratio` times as often as the old one and the
 * hypothesis that both fail equally often.
 */
static double
band_evidence(const judge_sample_t *s, judge_metric_t m, double ratio)
{
	double new_n = s->new_version.requests, old_n = s->old_version.requests;
	double even, worse;

	if (s->new_version.requests == 0 || s->old_version.requests == 0)
		return 0;
	even = new_n / (new_n + old_n);
	worse = ratio * new_n / (ratio * new_n + old_n);
	return s->new_version.bad[m] * log(worse / even) +
	    s->old_version.bad[m] * log((1 - worse) / (1 - even));
}

static double
route_evidence(const judge_sample_t *bands, judge_metric_t m, double ratio)
{
	double sum = 0;
	int b;

	for (b = 0; b < JUDGE_BANDS; b++)
		sum += band_evidence(&bands[b], m, ratio);
	return sum;
}

/* Shiryaev-Roberts step, S = (1 + S) * ratio, in logarithms. */
static void
accumulate(double *log_stat, double evidence)
{
	double s = *log_stat;

	s = s > 0 ? s + log1p(exp(-s)) : log1p(exp(s));
	*log_stat = s + evidence;
}

/* Logarithm of the mean of the statistics over the ratios. */
static double
mixture(const judge_cell_t *c, judge_metric_t m)
{
	double top = -INFINITY, sum = 0;
	int r;

	for (r = 0; r < JUDGE_RATIOS; r++)
		top = fmax(top, c->log_stat[m][r]);
	if (isinf(top))
		return top;
	for (r = 0; r < JUDGE_RATIOS; r++)
		sum += exp(c->log_stat[m][r] - top);
	return top + log(sum / JUDGE_RATIOS);
}

static void
add_counts(judge_t *j, unsigned int route, const judge_sample_t *bands)
{
	judge_cell_t *c = &j->cells[route], *all = &j->cells[j->routes];
	int b;

	for (b = 0; b < JUDGE_BANDS; b++) {
		c->new_requests += bands[b].new_version.requests;
		c->old_requests += bands[b].old_version.requests;
		all->new_requests += bands[b].new_version.requests;
		all->old_requests += bands[b].old_version.requests;
		j->step_requests += bands[b].new_version.requests;
		j->band_new[b] += bands[b].new_version.requests;
		j->band_old[b] += bands[b].old_version.requests;
	}
}

/* Adds the evidence of a window to each route and to all routes together. */
static void
add_evidence(
    judge_t *j, judge_metric_t m, const judge_sample_t (*samples)[JUDGE_BANDS])
{
	double evidence, sum;
	unsigned int i;
	int r;

	for (r = 0; r < JUDGE_RATIOS; r++) {
		sum = 0;
		for (i = 0; i < j->routes; i++) {
			evidence = route_evidence(samples[i], m, ratios[r]);
			accumulate(&j->cells[i].log_stat[m][r], evidence);
			sum += evidence;
		}
		accumulate(&j->cells[j->routes].log_stat[m][r], sum);
	}
}

static void
find_bad(judge_t *j, judge_metric_t m)
{
	unsigned int i;

	for (i = 0; i <= j->routes && !j->bad; i++) {
		if (mixture(&j->cells[i], m) < j->log_threshold)
			continue;
		j->bad = TRUE;
		j->bad_route = i;
		j->bad_metric = m;
	}
}

void
judge_window(judge_t *j, const judge_sample_t (*samples)[JUDGE_BANDS])
{
	unsigned int i;
	int m;

	for (i = 0; i < j->routes; i++)
		add_counts(j, i, samples[i]);
	for (m = 0; m < JUDGE_METRICS; m++) {
		add_evidence(j, (judge_metric_t)m, samples);
		find_bad(j, (judge_metric_t)m);
	}
}

void
judge_step(judge_t *j)
{
	j->step_requests = 0;
}

/*
 * Whether the new version had too few requests in a route or band that carries
 * a notable part of the old version's requests.
 */
static gboolean
is_undersampled(const judge_t *j, uint32_t old_requests, uint32_t new_requests)
{
	uint32_t all = j->cells[j->routes].old_requests;

	return old_requests > 0 &&
	    (uint64_t)old_requests * JUDGE_CELL_DIVISOR >= all &&
	    new_requests < JUDGE_MIN_CELL_REQUESTS;
}

static gboolean
cell_is_clear(const judge_t *j, const judge_cell_t *c)
{
	return mixture(c, JUDGE_ERRORS) <
	    j->log_threshold - JUDGE_CLEAR_MARGIN &&
	    mixture(c, JUDGE_SLOW) < j->log_threshold - JUDGE_CLEAR_MARGIN;
}

/* Whether nothing but undersampled load bands can prevent JUDGE_GOOD. */
static gboolean
is_clear_of_faults(const judge_t *j)
{
	const judge_cell_t *c;
	unsigned int i;

	if (j->bad || j->step_requests < JUDGE_MIN_STEP_REQUESTS ||
	    j->cells[j->routes].new_requests < JUDGE_MIN_REQUESTS)
		return FALSE;
	for (i = 0; i <= j->routes; i++) {
		c = &j->cells[i];
		if (!cell_is_clear(j, c) ||
		    is_undersampled(j, c->old_requests, c->new_requests))
			return FALSE;
	}
	return TRUE;
}

static gboolean
has_undersampled_band(const judge_t *j)
{
	unsigned int i;

	for (i = 0; i < JUDGE_BANDS; i++) {
		if (is_undersampled(j, j->band_old[i], j->band_new[i]))
			return TRUE;
	}
	return FALSE;
}

judge_verdict_t
judge_verdict(const judge_t *j)
{
	if (j->bad)
		return JUDGE_BAD;
	return is_clear_of_faults(j) && !has_undersampled_band(j)
	    ? JUDGE_GOOD
	    : JUDGE_UNDECIDED;
}

gboolean
judge_lacks_load(const judge_t *j)
{
	return is_clear_of_faults(j) && has_undersampled_band(j);
}
