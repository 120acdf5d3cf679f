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
 * Chooses the endpoint for a request: of the wanted version, in the host's
 * region while it has room, else in another region that has spare room within
 * the spill cap and the link's budget.
 */

typedef enum {
	ROUTE_SENT, /* booked on an endpoint */
	ROUTE_FULL, /* none has room now; waiting may help */
	ROUTE_NONE, /* no endpoint that has not been tried or left */
} route_kind_t;

typedef struct {
	service_id_t service;
	const endpoint_id_t *tried; /* not to be chosen again */
	unsigned int n_tried;
	uint64_t bits; /* expected on the way there and back */
} route_request_t;

/* A request's place on an endpoint; good over changes of catalog. */
typedef struct {
	stat_id_t stat;
	uint16_t spill; /* row of spill counts; ID_NONE: own region */
	uint16_t link;	/* row of link budgets; ID_NONE: own region */
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

/* Requests of one service that this host has in another region. */
typedef struct {
	char *service, *region;
	uint16_t in_flight;
} route_spill_t;

/* This host's part of the budget of the link to another region. */
typedef struct {
	char *region;
	int64_t bits; /* may fall below 0 by the size of answers */
	gboolean started;
	msec_t filled_at;
} route_link_t;

#define ROUTE_REGIONS_MAX 16

/* Of the hosts that share something, this one is number @index. */
typedef struct {
	uint16_t index;
	uint16_t hosts; /* at least 1 */
} route_place_t;

typedef struct {
	domain_id_t domain;  /* this host's, in the catalog in force */
	uint16_t index;	     /* its position among the live entry hosts */
	uint16_t hosts;	     /* how many there are; at least 1 */
	uint16_t near_index; /* the same among those of its region */
	uint16_t near_hosts;
	route_place_t away[ROUTE_REGIONS_MAX]; /* by region: hosts outside it */
	route_policy_kind_t kind;
	uint64_t seed;
	GHashTable *services; /* name to route_service_t */
	GArray *spills;	      /* route_spill_t */
	GArray *links;	      /* route_link_t */
	GArray *scratch;      /* route_candidate_t */
	GArray *picked;	      /* route_candidate_t */
} route_choice_t;

/**
 * route_choice_init() - Set up.
 * @rc: the state
 * @kind: policy
 * @seed: for random numbers
 */
void route_choice_init(
    route_choice_t *rc, route_policy_kind_t kind, uint64_t seed);
void route_choice_finish(route_choice_t *rc);

/**
 * route_choice_place() - Tell where this host stands.
 * @rc: the state
 * @domain: its failure domain in the catalog in force
 * @index: its position among the live entry hosts, from 0
 * @hosts: how many there are
 * @near_index: its position among those of its region
 * @near_hosts: how many those are
 *
 * Called after every change of catalog or membership. Spill caps, link budgets
 * and held slots are split by these positions; spill caps over all hosts until
 * route_choice_away() tells more.
 */
void route_choice_place(route_choice_t *rc, domain_id_t domain, uint16_t index,
    uint16_t hosts, uint16_t near_index, uint16_t near_hosts);

/**
 * route_choice_away() - Tell who shares the spill cap of a region.
 * @rc: the state, after route_choice_place()
 * @region: another region than this host's
 * @place: this host's place among the live entry hosts outside of it
 */
void route_choice_away(
    route_choice_t *rc, region_id_t region, route_place_t place);

/**
 * route_choice_versions() - Set the shares of a service's versions.
 * @rc: the state
 * @service: name of the service
 * @shares: versions and shares; none: every version alike
 * @n: how many
 */
void route_choice_versions(route_choice_t *rc, const char *service,
    const version_share_t *shares, unsigned int n);

/**
 * route_choose() - Choose an endpoint and book a place on it.
 * @rc: the state
 * @stats: what is known of endpoints
 * @c: catalog in force
 * @req: what is wanted
 * @now: time
 *
 * Return: the endpoint with a ticket for route_end(), or why there is none.
 */
route_result_t route_choose(route_choice_t *rc, endpoint_stats_t *stats,
    const catalog_t *c, const route_request_t *req, msec_t now);

/**
 * route_end() - Give a place back.
 * @rc: the state
 * @stats: what is known of endpoints
 * @ticket: from route_choose(); used up
 * @outcome: how the request ended
 * @latency_ms: from sending to the end, milliseconds
 * @bits: carried in fact
 * @now: time
 */
void route_end(route_choice_t *rc, endpoint_stats_t *stats,
    const route_ticket_t *ticket, outcome_t outcome, uint32_t latency_ms,
    uint64_t bits, msec_t now);

/**
 * route_part() - One of the even parts of a whole number.
 * @total: what is split
 * @index: position of the part; taken modulo @n
 * @n: number of parts, at least 1
 *
 * Return: the part; all of them sum up to @total.
 */
uint32_t route_part(uint32_t total, uint32_t index, uint32_t n);

#endif
