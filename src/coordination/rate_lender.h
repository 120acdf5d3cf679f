#ifndef COORDINATION_RATE_LENDER_H
#define COORDINATION_RATE_LENDER_H

#include "coordination/fleet.h"
#include "coordination/rate_share.h"
#include "state/manifest.h"

/*
 * Enforces the workspaces' rate limits across all hosts. In each region one
 * host lends the region's tokens of a workspace: the first, by a hash, of the
 * hosts that are ready and live. The other hosts ask it for one token for each
 * request. Within a region this takes a few milliseconds; if the tokens were
 * divided among tens of hosts, a host's part would not hold a whole token. The
 * second host by the hash is the deputy. It lends a small part, for the time
 * until a dead lender is known to be silent.
 *
 * The limits that backend servers name have one lender for all regions
 * (server_limits.h).
 *
 * Expected load: tens of hosts that each see few requests of a workspace, or
 * one workspace that sends many times its usual rate to all hosts at once.
 */

/* The lender of a workspace and its deputy. */
#define RATE_LENDERS 2

typedef struct {
	double overage; /* fraction by which a workspace may exceed its rate */
	double slack;	/* requests beyond that, in each window */
	msec_t window_ms;
	double lent_part; /* part of overage and slack that is lent, 0..1 */
	/* Besides its burst, a part holds the tokens of this time, and at least
	 * one, so that a small part lends any; 0: its burst only. */
	msec_t hold_ms;
} rate_bounds_t;

/* A limit that the hosts share. */
typedef struct {
	uint64_t name; /* hash */
	double rate;   /* per second */
	double burst;
	const char *region; /* of its lenders; NULL: this host's */
} rate_limit_t;

typedef struct {
	rate_bounds_t bounds;
	const fleet_t *fleet;
	const char *region;	  /* of this host */
	GHashTable *limits;	  /* workspace hash to its limit on this host */
	gboolean all_regions;	  /* one lender for the hosts of all regions */
	gboolean ready;		  /* this host may lend */
	msec_t first_manifest_at; /* 0: no manifest yet */
	gboolean starting;	  /* shortly after @first_manifest_at */
} rate_lender_t;

void rate_lender_init(rate_lender_t *l, const rate_bounds_t *bounds,
    const fleet_t *fleet, const char *region);
void rate_lender_finish(rate_lender_t *l);

/** rate_lender_tick() - Recompute this host's parts of a manifest's rates. */
void rate_lender_tick(rate_lender_t *l, const manifest_t *m, msec_t now);

/** rate_lender_tick_limits() - Recompute this host's parts of some limits. */
void rate_lender_tick_limits(
    rate_lender_t *l, const rate_limit_t *limits, guint n, msec_t now);

/** rate_lender_forget() - Drop a limit. */
void rate_lender_forget(rate_lender_t *l, uint64_t name);

/** rate_lender_demand() - Tokens asked of this host, per second; smoothed. */
double rate_lender_demand(const rate_lender_t *l, uint64_t name);

/** rate_lender_part() - Tokens that this host lends, per second. */
double rate_lender_part(const rate_lender_t *l, uint64_t name);

/**
 * rate_lender_take() - Lend a token from this host's part.
 * @l: the lender
 * @workspace: hash of its name
 * @wait_ms: if there is no token, set to the time until there may be one
 * @now: time
 *
 * Return: whether a token was lent.
 */
gboolean rate_lender_take(
    rate_lender_t *l, uint64_t workspace, msec_t *wait_ms, msec_t now);

/**
 * rate_lender_of() - Find the host of a region that lends the tokens of a
 * limit. If there is one lender for all regions and no host of the region may
 * lend, the hosts of all regions take its place, in one rank.
 * @l: the lender
 * @region: the region
 * @name: hash of the limit's name
 * @rank: 0 for the lender, 1 for its deputy
 * @now: time
 *
 * Return: the host, or NULL for this host.
 */
const fleet_host_t *rate_lender_of(const rate_lender_t *l, const char *region,
    uint64_t name, guint rank, msec_t now);

/** rate_lender_demands() - Append this host's demands, for its status. */
void rate_lender_demands(rate_lender_t *l, GArray *amounts, msec_t now);

#endif
