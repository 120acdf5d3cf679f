#ifndef STATE_JUDGE_FEED_H
#define STATE_JUDGE_FEED_H

#include "state/judge.h"

/*
 * Turns the reports of hosts into windows of a judgement. A host reports totals
 * since it began to serve the new version. Lost and duplicated reports
 * therefore do no harm, and a new holder of the lease gets all earlier counts
 * with the first reports.
 */

typedef struct {
	uint64_t incarnation;
	judge_sample_t total[JUDGE_ROUTES_MAX][JUDGE_BANDS];
} judge_host_totals_t;

typedef struct {
	GHashTable *hosts; /* host id to judge_host_totals_t */
	judge_sample_t window[JUDGE_ROUTES_MAX][JUDGE_BANDS];
	unsigned int routes;
} judge_feed_t;

/**
 * judge_feed_init() - Set up a feed without reports.
 * @f: memory of the caller; end with judge_feed_finish()
 * @routes: number of routes, at most JUDGE_ROUTES_MAX
 */
void judge_feed_init(judge_feed_t *f, unsigned int routes);
void judge_feed_finish(judge_feed_t *f);

/**
 * judge_feed_report() - Add the totals of a host.
 * @f: the feed
 * @host: id of the host
 * @incarnation: incarnation of its process; a new one counts from zero
 * @total: one row of JUDGE_BANDS for each route
 *
 * Totals lower than the known ones are of an older report and are ignored.
 */
void judge_feed_report(judge_feed_t *f, const char *host, uint64_t incarnation,
    const judge_sample_t (*total)[JUDGE_BANDS]);

/**
 * judge_feed_rebase() - Another reporter goes on under a host's id.
 * @f: the feed
 * @host: id
 * @total: the new reporter's first totals
 *
 * Where they are lower than the known ones, growth counts from them on.
 */
void judge_feed_rebase(judge_feed_t *f, const char *host,
    const judge_sample_t (*total)[JUDGE_BANDS]);

/** judge_feed_total() - Sum of all reports since the beginning. */
void judge_feed_total(const judge_feed_t *f, judge_sample_t *total);

/** judge_feed_window() - Close the window and pass it to a judgement. */
void judge_feed_window(judge_feed_t *f, judge_t *j);

#endif
