#ifndef COORDINATION_RATE_SHARE_H
#define COORDINATION_RATE_SHARE_H

#include "state/bucket.h"

/*
 * A region's part of a workspace's rate and burst. Regions that hear one
 * another divide by demand; hosts that are silent keep an even part, since
 * they may be cut off and go on serving. So groups that are cut off from each
 * other never take more than the whole together.
 */

/* A region, as this host sees it. */
typedef struct {
	guint hosts;   /* that are listed there */
	guint heard;   /* of those, heard lately */
	double demand; /* requests a second, as its hosts told */
} rate_region_t;

/**
 * rate_share_of() - A region's part of the whole.
 * @own: the region
 * @rate: of the workspace, requests a second
 * @others: all other regions
 * @n: how many
 *
 * Return: a part of 0 to 1.
 */
double rate_share_of(const rate_region_t *own, double rate,
    const rate_region_t *others, guint n);

/* So many beacons later every host has heard what was told, also one that is
 * told each second time only. */
#define RATE_TOLD_MAX 3

/*
 * Demand of a workspace, smoothed. When demand rises everywhere at once, each
 * region knows its own rise before it hears of the others'. So it counts for
 * itself no more than the others have heard by now; else all parts together
 * would be several times the whole until the beacons are through.
 */
typedef struct {
	uint32_t asked; /* since the last tick */
	double demand;	/* requests a second */
	msec_t at;
	double told[RATE_TOLD_MAX]; /* in the last beacons, newest first */
} rate_demand_t;

void rate_demand_tick(rate_demand_t *d, msec_t now);

/** rate_demand_tell() - The demand for a beacon; remembers it. */
double rate_demand_tell(rate_demand_t *d);

/** rate_demand_known() - The demand that all hosts have heard of. */
double rate_demand_known(const rate_demand_t *d);

#endif
