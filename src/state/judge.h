#ifndef STATE_JUDGE_H
#define STATE_JUDGE_H

#include <stdint.h>

#include <glib.h>

#include "state/split.h"

/*
 * Judges a new version against the old version that it is to replace. In each
 * window the two are compared on the same route and in the same load band, so
 * that a fault which affects both has no influence. If both versions are
 * equally good, the expected share of the new version in the bad requests
 * follows from its share in all requests. A Shiryaev-Roberts statistic of the
 * likelihood ratio detects a change for the worse at any time, also long after
 * the start.
 *
 * Bound: over all planned windows, a version that is no worse than the old one
 * is found bad with probability at most alpha (Doob's inequality; the
 * statistic minus the number of windows is a martingale).
 */

#define JUDGE_ROUTES_MAX 64
#define JUDGE_BANDS 3
#define JUDGE_RATIOS 3

/* The new version needs this many requests before it can be found good. */
#define JUDGE_MIN_REQUESTS 200
/* This many of them must be of the current step. */
#define JUDGE_MIN_STEP_REQUESTS 50
/* It also needs this many requests on each route and in each load band that
 * carries at least 1 / JUDGE_CELL_DIVISOR of the old version's requests. It
 * can't be found good where it was not observed. */
#define JUDGE_MIN_CELL_REQUESTS 20
#define JUDGE_CELL_DIVISOR 50

typedef enum {
	JUDGE_ERRORS,
	JUDGE_SLOW, /* answers that took too long */
	JUDGE_METRICS,
} judge_metric_t;

typedef enum {
	JUDGE_UNDECIDED, /* too few samples, or no clear result */
	JUDGE_GOOD,
	JUDGE_BAD, /* final */
} judge_verdict_t;

/* One side of the comparison, in one window. */
typedef struct {
	uint32_t requests;
	uint32_t bad[JUDGE_METRICS];
} judge_count_t;

/* One route, one load band, one window. */
typedef struct {
	judge_count_t new_version;
	judge_count_t old_version;
} judge_sample_t;

typedef struct {
	double log_stat[JUDGE_METRICS][JUDGE_RATIOS];
	uint32_t new_requests, old_requests;
} judge_cell_t;

typedef struct {
	judge_cell_t cells[JUDGE_ROUTES_MAX + 1]; /* [routes]: all of them */
	uint32_t band_new[JUDGE_BANDS], band_old[JUDGE_BANDS];
	uint32_t step_requests; /* to the new version, in the current step */
	unsigned int routes;
	double log_threshold;
	gboolean bad;		/* final */
	unsigned int bad_route; /* == routes: all routes together */
	judge_metric_t bad_metric;
} judge_t;

/**
 * judge_init() - Start a judgement.
 * @j: memory of the caller; nothing needs to be freed
 * @routes: number of routes, at most JUDGE_ROUTES_MAX
 * @windows: number of windows for which the bound holds
 * @alpha: highest probability of finding a good version bad, 0..1
 */
void judge_init(
    judge_t *j, unsigned int routes, uint32_t windows, double alpha);

/**
 * judge_window() - Add the counts of one window.
 * @j: the judgement
 * @samples: one row of JUDGE_BANDS for each route
 */
void judge_window(judge_t *j, const judge_sample_t (*samples)[JUDGE_BANDS]);

/** judge_step() - Begin a new step; the statistics are kept. */
void judge_step(judge_t *j);

/** judge_verdict() - The verdict as of the windows so far. */
judge_verdict_t judge_verdict(const judge_t *j);

/**
 * judge_lacks_load() - Whether only an unobserved load band prevents
 * JUDGE_GOOD.
 * @j: the judgement
 *
 * With a small share a new version may never be as loaded as the old one. It
 * then can't be found good at that share, however long it runs.
 */
gboolean judge_lacks_load(const judge_t *j);

#endif
