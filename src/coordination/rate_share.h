#ifndef COORDINATION_RATE_SHARE_H
#define COORDINATION_RATE_SHARE_H

#include "state/bucket.h"

/*
 * A region's part of a workspace's rate and burst. Regions that are in contact
 * divide the limit by demand. Each silent host is left an even part, since it
 * may be partitioned off and still serve requests. So partitions together never
 * take more than the whole limit.
 */

/* A region, as known to this host. */
typedef struct {
	guint hosts;   /* listed hosts */
	guint live;    /* listed hosts that are live */
	double demand; /* requests per second, as reported by its hosts */
} rate_region_t;

/**
 * rate_share_of() - Compute a region's part of the limit.
 * @own: the region
 * @rate: the workspace's rate, requests per second
 * @others: all other regions
 * @n: number of other regions
 *
 * Return: a fraction from 0 to 1.
 */
double rate_share_of(const rate_region_t *own, double rate,
    const rate_region_t *others, guint n);

/* After this many statuses every host has received a reported demand: by way
 * of its collector, the other collectors, and theirs to their hosts. */
#define RATE_REPORTED_MAX 3
/* A status that is sent sooner after the last one does not count as one. */
#define RATE_REPORT_MS 400

/*
 * Smoothed demand of a workspace. When demand rises everywhere at the same
 * time, each region knows its own rise before it learns of the others'. A
 * region therefore counts no more of its own demand than the others have
 * received by now. Otherwise all parts together would be several times the
 * whole until the reports have arrived.
 */
typedef struct {
	uint32_t requests; /* number since the last tick */
	double demand;	   /* requests per second */
	msec_t at;
	msec_t reported_at;
	double reported[RATE_REPORTED_MAX]; /* latest statuses; newest first */
} rate_demand_t;

void rate_demand_tick(rate_demand_t *d, msec_t now);

/** rate_demand_report() - Return the demand for a status and record it. */
double rate_demand_report(rate_demand_t *d, msec_t now);

/** rate_demand_known() - The demand that every host has received. */
double rate_demand_known(const rate_demand_t *d);

#endif
