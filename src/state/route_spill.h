#ifndef STATE_ROUTE_SPILL_H
#define STATE_ROUTE_SPILL_H

#include "state/route_choice.h"

/*
 * What this host sends to other regions. A region gives at most spill_cap of a
 * service's slots to other regions; that many whole slots are split evenly
 * over the entry hosts outside of it, so hosts that choose at once cannot
 * exceed it. A link's budget is split evenly over all entry hosts.
 */

void route_spill_init(route_choice_t *rc);
void route_spill_finish(route_choice_t *rc);

/**
 * route_spill_slots() - Whole slots that a region gives to other regions.
 * @c: the catalog
 * @service: whose endpoints count
 * @region: that gives them
 */
uint32_t route_spill_slots(
    const catalog_t *c, service_id_t service, region_id_t region);

/**
 * route_spill_order() - List the other regions that may take a request.
 * @rc: the state, candidates in its scratch table
 * @c: catalog in force
 * @service: service of the request
 * @now: time
 * @order: set to the regions, nearest first
 *
 * Return: how many.
 */
unsigned int route_spill_order(route_choice_t *rc, const catalog_t *c,
    service_id_t service, msec_t now, region_id_t order[ROUTE_REGIONS_MAX]);

/**
 * route_spill_book() - Charge a request to spill cap and link.
 * @rc: the state
 * @c: catalog in force
 * @req: the request
 * @id: endpoint chosen
 * @ticket: its spill, link and bits are set
 */
void route_spill_book(route_choice_t *rc, const catalog_t *c,
    const route_request_t *req, endpoint_id_t id, route_ticket_t *ticket);

/**
 * route_spill_release() - End a request.
 * @rc: the state
 * @ticket: its ticket
 * @bits: carried in fact; what was not expected is charged to the link
 */
void route_spill_release(
    route_choice_t *rc, const route_ticket_t *ticket, uint64_t bits);

#endif
