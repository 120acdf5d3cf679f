#ifndef STATE_JUDGE_FEED_H
#define STATE_JUDGE_FEED_H

#include "state/judge.h"

/*
 * Turns what hosts report into windows of a judgement. A host reports totals
 * since it began to serve the new version, so a report that is lost or comes
 * twice costs nothing, and a new holder of the lease learns with the first
 * reports all that was seen before it.
 */

typedef struct {
	uint64_t incarnation;
	judge_sample_t total[JUDGE_ROUTES_MAX][JUDGE_BANDS];
} judge_source_t;

typedef struct {
	GHashTable *sources; /* host id -> judge_source_t */
	judge_sample_t window[JUDGE_ROUTES_MAX][JUDGE_BANDS];
	unsigned int routes;
} judge_feed_t;

/**
 * judge_feed_init() - Start with nothing known.
 * @f: memory of the caller; end with judge_feed_finish()
 * @routes: number of routes, at most JUDGE_ROUTES_MAX
 */
void judge_feed_init(judge_feed_t *f, unsigned int routes);
void judge_feed_finish(judge_feed_t *f);

/**
 * judge_feed_report() - Take in the totals of a host.
 * @f: the feed
 * @host: its id
 * @incarnation: of its process; a new one counts from nothing
 * @total: one row of JUDGE_BANDS for each route
 *
 * Totals that are lower than known ones are of an older report: no effect.
 */
void judge_feed_report(judge_feed_t *f, const char *host, uint64_t incarnation,
    const judge_sample_t (*total)[JUDGE_BANDS]);

/** judge_feed_total() - All that was reported since the beginning. */
void judge_feed_total(const judge_feed_t *f, judge_sample_t *total);

/** judge_feed_window() - Close the window and let it be judged. */
void judge_feed_window(judge_feed_t *f, judge_t *j);

#endif
