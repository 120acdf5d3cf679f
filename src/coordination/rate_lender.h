#ifndef COORDINATION_RATE_LENDER_H
#define COORDINATION_RATE_LENDER_H

#include "coordination/fleet.h"
#include "coordination/rate_share.h"
#include "state/manifest.h"

/*
 * Keeps workspaces to their rates over all hosts. In each region one host
 * lends the region's tokens of a workspace: the first, by a hash, of those
 * that are ready and heard. A host asks it for a token for each request; in
 * a region that is a few milliseconds, and with tens of hosts a part for each
 * would not hold a whole token. The next in rank is its deputy with a small
 * part, for the time until a dead lender is known to be silent.
 *
 * Load: tens of hosts that each see few requests of a workspace; one
 * workspace that sends many times its usual at all hosts at once.
 */

typedef struct {
	double overage; /* part over its rate that a workspace may reach */
	double slack;	/* requests beyond that, in a window */
	msec_t window_ms;
} rate_bounds_t;

typedef struct {
	rate_bounds_t bounds;
	const fleet_t *fleet;
	const char *region; /* of this host */
	GHashTable *limits; /* workspace to its limit here */
	gboolean ready;	    /* this host may lend */
	msec_t first_at;    /* of the first manifest; 0: none yet */
	gboolean young;	    /* that was a moment ago */
} rate_lender_t;

void rate_lender_init(rate_lender_t *l, const rate_bounds_t *bounds,
    const fleet_t *fleet, const char *region);
void rate_lender_finish(rate_lender_t *l);

/** rate_lender_tick() - Divide the rates of a manifest anew. */
void rate_lender_tick(rate_lender_t *l, const manifest_t *m, msec_t now);

/**
 * rate_lender_take() - Lend a token here.
 * @l: the lender
 * @workspace: hash of its name
 * @wait_ms: set to when there may be one, if there is none
 * @now: time
 */
gboolean rate_lender_take(
    rate_lender_t *l, uint64_t workspace, msec_t *wait_ms, msec_t now);

/**
 * rate_lender_of() - Who lends a workspace's tokens in this region?
 * @l: the lender
 * @workspace: hash of its name
 * @rank: 0 for the lender, 1 for its deputy
 * @now: time
 *
 * Return: the host, or NULL for this one.
 */
const fleet_host_t *rate_lender_of(
    const rate_lender_t *l, uint64_t workspace, guint rank, msec_t now);

/** rate_lender_demands() - What was asked for here, for a beacon to all. */
void rate_lender_demands(rate_lender_t *l, GArray *amounts);

#endif
