#ifndef STATE_JUDGE_H
#define STATE_JUDGE_H

#include <stdint.h>

#include <glib.h>

#include "state/split.h"

/*
 * Judges a new version against the one that it is to replace. In each window
 * the two are compared on the same route, at the same load band, so that
 * whatever hurts both tells nothing. Of the requests that went wrong, the
 * part that fell on the new version is known in advance if both are equally
 * good; a Shiryaev-Roberts statistic of the likelihood ratio finds a change
 * for the worse at any time, also late.
 *
 * Bound: over all the windows planned, a version that is no worse than its
 * peer is called bad with probability at most alpha (Doob's inequality; the
 * statistic less the number of windows is a martingale).
 */

#define JUDGE_ROUTES_MAX 64
#define JUDGE_BANDS 3
#define JUDGE_RATIOS 3

/* Requests to the new version before it can be called good. */
#define JUDGE_MIN_REQUESTS 200
/* How many of them must be of the present step. */
#define JUDGE_MIN_STEP 50
/* The same for each route and load band that carries 1 / JUDGE_PART or more
 * of the peer's requests: what it was not seen at it can't be good at. */
#define JUDGE_MIN_PART 20
#define JUDGE_PART 50

typedef enum {
	JUDGE_ERRORS,
	JUDGE_SLOW, /* answers slower than slow_ms */
	JUDGE_METRICS,
} judge_metric_t;

typedef enum {
	JUDGE_WAIT, /* too few samples, or not clear */
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
	judge_count_t fresh; /* the new version */
	judge_count_t peer;
} judge_sample_t;

typedef struct {
	double log_stat[JUDGE_METRICS][JUDGE_RATIOS];
	uint32_t fresh_requests, peer_requests;
} judge_cell_t;

typedef struct {
	judge_cell_t cells[JUDGE_ROUTES_MAX + 1]; /* last: all routes */
	uint32_t band_fresh[JUDGE_BANDS], band_peer[JUDGE_BANDS];
	uint32_t step_requests; /* to the new version */
	unsigned int routes;
	double log_threshold;
	gboolean bad;		/* once found, stays */
	unsigned int bad_route; /* == routes: all of them together */
	judge_metric_t bad_metric;
} judge_t;

/**
 * judge_init() - Start a judgement.
 * @j: memory of the caller; holds nothing to be freed
 * @routes: number of routes, at most JUDGE_ROUTES_MAX
 * @windows: number of windows over which the bound holds
 * @alpha: most probability of calling a good version bad, 0..1
 */
void judge_init(
    judge_t *j, unsigned int routes, uint32_t windows, double alpha);

/**
 * judge_window() - Take in one window.
 * @j: the judgement
 * @samples: one row of JUDGE_BANDS for each route
 */
void judge_window(judge_t *j, const judge_sample_t (*samples)[JUDGE_BANDS]);

/** judge_step() - A new step begins; what was learnt stays. */
void judge_step(judge_t *j);

/** judge_verdict() - What can be said now. */
judge_verdict_t judge_verdict(const judge_t *j);

/**
 * judge_lacks_load() - Whether only load stands between it and JUDGE_GOOD.
 * @j: the judgement
 *
 * At a small share a new version may never be as busy as its peer; then no
 * time is long enough to call it good at that share.
 */
gboolean judge_lacks_load(const judge_t *j);

#endif
