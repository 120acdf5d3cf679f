#include <string.h>

#include "state/judge_feed.h"

void
judge_feed_init(judge_feed_t *f, unsigned int routes)
{
	memset(f, 0, sizeof(*f));
	f->routes = MIN(routes, JUDGE_ROUTES_MAX);
	f->hosts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
judge_feed_finish(judge_feed_t *f)
{
	g_hash_table_destroy(f->hosts);
	f->hosts = NULL;
}

static judge_host_totals_t *
totals_of(judge_feed_t *f, const char *host, uint64_t incarnation)
{
	judge_host_totals_t *s = g_hash_table_lookup(f->hosts, host);

	if (s == NULL) {
		s = g_new0(judge_host_totals_t, 1);
		s->incarnation = incarnation;
		g_hash_table_insert(f->hosts, g_strdup(host), s);
	}
	if (incarnation > s->incarnation) {
		memset(s, 0, sizeof(*s));
		s->incarnation = incarnation;
	}
	return s;
}

static void
add_growth(
    judge_count_t *window, judge_count_t *known, const judge_count_t *total)
{
	int m;

	if (total->requests <= known->requests)
		return;
	window->requests += total->requests - known->requests;
	for (m = 0; m < JUDGE_METRICS; m++) {
		if (total->bad[m] > known->bad[m])
			window->bad[m] += total->bad[m] - known->bad[m];
	}
	*known = *total;
}

void
judge_feed_report(judge_feed_t *f, const char *host, uint64_t incarnation,
    const judge_sample_t (*total)[JUDGE_BANDS])
{
	judge_host_totals_t *s = totals_of(f, host, incarnation);
	unsigned int r;
	int b;

	if (incarnation < s->incarnation)
		return;
	for (r = 0; r < f->routes; r++) {
		for (b = 0; b < JUDGE_BANDS; b++) {
			add_growth(&f->window[r][b].new_version,
			    &s->total[r][b].new_version,
			    &total[r][b].new_version);
			add_growth(&f->window[r][b].old_version,
			    &s->total[r][b].old_version,
			    &total[r][b].old_version);
		}
	}
}

static void
lower(judge_count_t *known, const judge_count_t *total)
{
	int m;

	known->requests = MIN(known->requests, total->requests);
	for (m = 0; m < JUDGE_METRICS; m++)
		known->bad[m] = MIN(known->bad[m], total->bad[m]);
}

void
judge_feed_rebase(judge_feed_t *f, const char *host,
    const judge_sample_t (*total)[JUDGE_BANDS])
{
	judge_host_totals_t *s = g_hash_table_lookup(f->hosts, host);
	unsigned int r;
	int b;

	for (r = 0; s != NULL && r < f->routes; r++) {
		for (b = 0; b < JUDGE_BANDS; b++) {
			lower(&s->total[r][b].new_version,
			    &total[r][b].new_version);
			lower(&s->total[r][b].old_version,
			    &total[r][b].old_version);
		}
	}
}

static void
add_count(judge_count_t *to, const judge_count_t *from)
{
	int m;

	to->requests += from->requests;
	for (m = 0; m < JUDGE_METRICS; m++)
		to->bad[m] += from->bad[m];
}

void
judge_feed_total(const judge_feed_t *f, judge_sample_t *total)
{
	GHashTableIter it;
	gpointer value;
	unsigned int r;
	int b;

	memset(total, 0, sizeof(*total));
	g_hash_table_iter_init(&it, f->hosts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const judge_host_totals_t *s = value;

		for (r = 0; r < f->routes; r++) {
			for (b = 0; b < JUDGE_BANDS; b++) {
				add_count(&total->new_version,
				    &s->total[r][b].new_version);
				add_count(&total->old_version,
				    &s->total[r][b].old_version);
			}
		}
	}
}

void
judge_feed_window(judge_feed_t *f, judge_t *j)
{
	judge_window(j, (const judge_sample_t(*)[JUDGE_BANDS])f->window);
	memset(f->window, 0, sizeof(f->window));
}
