#ifndef STATE_ROUTE_CHOICE_H
#define STATE_ROUTE_CHOICE_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"
#include "state/catalog.h"
#include "state/endpoint_stats.h"
#include "state/route_policy.h"
#include "state/version_mix.h"

/*
 * Chooses the endpoint for a request. The endpoint has the wanted version and
 * is in the host's region as long as that region has a free slot; otherwise it
 * is in another region with spare capacity, within the spill cap and the
 * budget of the link.
 */

typedef enum {
	ROUTE_SENT, /* an endpoint was chosen; the request is counted there */
	ROUTE_FULL, /* no endpoint has a free slot now; waiting may help */
	ROUTE_NONE, /* every endpoint has been tried or is leaving */
} route_kind_t;

typedef struct {
	service_id_t service;
	const endpoint_id_t *tried; /* not chosen again */
	unsigned int n_tried;
	uint64_t bits; /* expected size of the request and its answer */
} route_request_t;

/* A request counted on an endpoint; stays valid when the catalog changes. */
typedef struct {
	stat_id_t stat;
	uint16_t spill; /* row in spills; ID_NONE: own region */
	uint16_t link;	/* row in links; ID_NONE: own region */
	uint64_t bits;	/* charged to the link so far */
} route_ticket_t;

typedef struct {
	route_kind_t kind;
	endpoint_id_t endpoint;
	route_ticket_t ticket;
} route_result_t;

typedef struct {
	version_mix_t mix;
	route_policy_t policy;
} route_service_t;

/* Requests of one service that this host has in flight in another region. */
typedef struct {
	char *service, *region;
	uint16_t in_flight;
} route_spill_t;

/* This host's share of the bandwidth budget of the link to another region. */
typedef struct {
	char *region;
	int64_t bits; /* negative after answers larger than expected */
	gboolean started;
	msec_t filled_at;
} route_link_t;

#define ROUTE_REGIONS_MAX 16

/* Position of this host among the hosts that share a limit. */
typedef struct {
	uint16_t index;
	uint16_t hosts; /* at least 1 */
} route_position_t;

typedef struct {
	domain_id_t domain;    /* this host's, in the catalog in force */
	uint16_t index;	       /* this host's position among live entry hosts */
	uint16_t hosts;	       /* number of live entry hosts; at least 1 */
	uint16_t region_index; /* position among the live hosts of its region */
	uint16_t region_hosts; /* number of these hosts; at least 1 */
	/* by region: position among the live entry hosts outside that region */
	route_position_t spill_position[ROUTE_REGIONS_MAX];
	route_policy_kind_t kind;
	uint64_t seed;
	GHashTable *services; /* name to route_service_t */
	GArray *spills;	      /* route_spill_t */
	GArray *links;	      /* route_link_t */
	GArray *candidates;   /* route_candidate_t: of the current request */
	GArray *eligible;     /* route_candidate_t: those that pass a filter */
} route_choice_t;

/**
 * route_choice_init() - Set up.
 * @rc: the state
 * @kind: policy
 * @seed: seed of the random numbers
 */
void route_choice_init(
    route_choice_t *rc, route_policy_kind_t kind, uint64_t seed);
void route_choice_finish(route_choice_t *rc);

/**
 * route_choice_set_position() - Set this host's position among its peers.
 * @rc: the state
 * @domain: its failure domain in the catalog in force
 * @index: its position among the live entry hosts, from 0
 * @hosts: number of live entry hosts
 * @region_index: its position among the live entry hosts of its region
 * @region_hosts: number of live entry hosts of its region
 *
 * Called after every change of catalog or membership. Spill caps, link budgets
 * and assigned slots are split by these positions. Spill caps are split over
 * all hosts until route_choice_set_spill_position() is called.
 */
void route_choice_set_position(route_choice_t *rc, domain_id_t domain,
    uint16_t index, uint16_t hosts, uint16_t region_index,
    uint16_t region_hosts);

/**
 * route_choice_set_spill_position() - Set how a region's spill cap is shared.
 * @rc: the state, after route_choice_set_position()
 * @region: another region than this host's
 * @position: this host's position among the live entry hosts outside @region
 */
void route_choice_set_spill_position(
    route_choice_t *rc, region_id_t region, route_position_t position);

/**
 * route_choice_versions() - Set the shares of a service's versions.
 * @rc: the state
 * @service: name of the service
 * @shares: versions and shares; none: all versions are treated alike
 * @n: number of shares
 */
void route_choice_versions(route_choice_t *rc, const char *service,
    const version_share_t *shares, unsigned int n);

/**
 * route_choose() - Choose an endpoint and count the request on it.
 * @rc: the state
 * @stats: statistics of the endpoints
 * @c: catalog in force
 * @req: the request
 * @now: time
 *
 * Return: the endpoint and a ticket for route_end(), or why there is none.
 */
route_result_t route_choose(route_choice_t *rc, endpoint_stats_t *stats,
    const catalog_t *c, const route_request_t *req, msec_t now);

/**
 * route_end() - Release the slot of a request and count its outcome.
 * @rc: the state
 * @stats: statistics of the endpoints
 * @ticket: from route_choose(); invalid afterwards
 * @outcome: how the request ended
 * @latency_ms: from sending to the end, milliseconds
 * @bits: actual size of the request and its answer
 * @now: time
 */
void route_end(route_choice_t *rc, endpoint_stats_t *stats,
    const route_ticket_t *ticket, outcome_t outcome, uint32_t latency_ms,
    uint64_t bits, msec_t now);

/**
 * route_part() - Split a whole number into even parts.
 * @total: the number to split
 * @index: index of the part; taken modulo @n
 * @n: number of parts, at least 1
 *
 * Return: the size of part @index. All parts sum up to @total.
 */
uint32_t route_part(uint32_t total, uint32_t index, uint32_t n);

#endif
