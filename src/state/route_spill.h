#ifndef STATE_ROUTE_SPILL_H
#define STATE_ROUTE_SPILL_H

#include "state/route_choice.h"

/*
 * Limits the requests that this host sends to other regions. In each region, at
 * most the fraction spill_cap of a service's slots serves requests from other
 * regions. These slots, rounded down to a whole number, are split evenly over
 * the entry hosts outside the region, so that hosts that choose at the same
 * time cannot exceed the cap. The budget of a link is split evenly over all
 * entry hosts.
 */

void route_spill_init(route_choice_t *rc);
void route_spill_finish(route_choice_t *rc);

/**
 * route_spill_slots() - Slots of a region that other regions may use.
 * @c: the catalog
 * @service: the service
 * @region: the region
 *
 * Return: number of slots, rounded down.
 */
uint32_t route_spill_slots(
    const catalog_t *c, service_id_t service, region_id_t region);

/**
 * route_spill_order() - List the other regions that may take a request.
 * @rc: the state, with the candidates of the request
 * @c: catalog in force
 * @service: service of the request
 * @now: time
 * @order: set to the regions, in order of increasing latency
 *
 * Return: number of regions.
 */
unsigned int route_spill_order(route_choice_t *rc, const catalog_t *c,
    service_id_t service, msec_t now, region_id_t order[ROUTE_REGIONS_MAX]);

/**
 * route_spill_charge() - Charge a request to the spill cap and the link.
 * @rc: the state
 * @c: catalog in force
 * @req: the request
 * @id: the chosen endpoint
 * @ticket: its fields spill, link and bits are set
 */
void route_spill_charge(route_choice_t *rc, const catalog_t *c,
    const route_request_t *req, endpoint_id_t id, route_ticket_t *ticket);

/**
 * route_spill_release() - End a request.
 * @rc: the state
 * @ticket: its ticket
 * @bits: actual size; the difference to the expected size is charged to the
 *	link
 */
void route_spill_release(
    route_choice_t *rc, const route_ticket_t *ticket, uint64_t bits);

#endif
