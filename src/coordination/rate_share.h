#ifndef COORDINATION_RATE_SHARE_H
#define COORDINATION_RATE_SHARE_H

#include "state/bucket.h"

/*
 * A host's part of a workspace's rate and burst. Hosts that hear one another
 * divide what belongs to them by demand; a host that is silent keeps an even
 * part, since it may be cut off and go on serving. So two groups that are
 * cut off from each other never take more than the whole together.
 */

/* One host's demand of a workspace, as this host last heard. */
typedef struct {
	gboolean heard; /* lately; its demand is known */
	double demand;	/* requests a second */
} rate_share_peer_t;

/**
 * rate_share_of() - This host's part of the whole.
 * @own: its demand, requests a second
 * @rate: of the workspace, requests a second
 * @peers: all other hosts
 * @n: how many
 *
 * Return: a part of 0 to 1.
 */
double rate_share_of(
    double own, double rate, const rate_share_peer_t *peers, guint n);

/* So many beacons later every host has heard what was told, also one that is
 * told each second time only. */
#define RATE_TOLD_MAX 3

/*
 * Demand of a workspace at this host, smoothed. When demand rises at all hosts
 * at once, each knows its own rise before it hears of the others'. So a host
 * counts for itself no more than the others have heard by now; else all parts
 * together would be several times the whole until the beacons are through.
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
