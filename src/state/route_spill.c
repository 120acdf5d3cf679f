#include <string.h>

#include "state/route_spill.h"

/* An idle link saves up the budget of this time. */
#define LINK_BURST_MS 200
/* A region takes spills while more than one in this many slots is free. */
#define SPARE_ROOM_DIVISOR 5

static void
spill_clear(void *p)
{
	route_spill_t *s = p;

	g_free(s->service);
	g_free(s->region);
}

static void
link_clear(void *p)
{
	route_link_t *l = p;

	g_free(l->region);
}

void
route_spill_init(route_choice_t *rc)
{
	rc->spills = g_array_new(FALSE, TRUE, sizeof(route_spill_t));
	g_array_set_clear_func(rc->spills, spill_clear);
	rc->links = g_array_new(FALSE, TRUE, sizeof(route_link_t));
	g_array_set_clear_func(rc->links, link_clear);
}

void
route_spill_finish(route_choice_t *rc)
{
	g_array_free(rc->spills, TRUE);
	g_array_free(rc->links, TRUE);
}

static uint16_t
spill_row(route_choice_t *rc, const char *service, const char *region)
{
	route_spill_t *s, row;
	guint i;

	for (i = 0; i < rc->spills->len; i++) {
		s = &g_array_index(rc->spills, route_spill_t, i);
		if (strcmp(s->service, service) == 0 &&
		    strcmp(s->region, region) == 0)
			return i;
	}
	row.service = g_strdup(service);
	row.region = g_strdup(region);
	row.in_flight = 0;
	g_array_append_val(rc->spills, row);
	return rc->spills->len - 1;
}

static uint16_t
link_row(route_choice_t *rc, const char *region)
{
	route_link_t row = {0};
	guint i;

	for (i = 0; i < rc->links->len; i++) {
		if (strcmp(g_array_index(rc->links, route_link_t, i).region,
			region) == 0)
			return i;
	}
	row.region = g_strdup(region);
	g_array_append_val(rc->links, row);
	return rc->links->len - 1;
}

static uint64_t
link_rate(const catalog_t *c, region_id_t a, region_id_t b)
{
	const link_t *l;
	guint i;

	for (i = 0; i < c->links->len; i++) {
		l = CATALOG_ROW(c, links, link_t, i);
		if ((l->from == a && l->to == b) ||
		    (l->from == b && l->to == a))
			return l->bits_per_sec;
	}
	return 0;
}

/* A link counts as idle, with a full budget, when it is first used. */
static void
link_fill(route_link_t *l, int64_t rate, msec_t now)
{
	int64_t burst = rate * LINK_BURST_MS / MSEC_PER_SEC;
	msec_t passed;

	if (!l->started) {
		l->started = TRUE;
		l->bits += burst;
		l->filled_at = now;
		return;
	}
	passed = CLAMP(now - l->filled_at, 0, MSEC_PER_SEC);
	if (passed == 0)
		return;
	l->bits = MIN(burst, l->bits + rate * passed / MSEC_PER_SEC);
	l->filled_at = now;
}

static gboolean
link_has_budget(
    route_choice_t *rc, const catalog_t *c, region_id_t to, msec_t now)
{
	region_id_t own = catalog_domain(c, rc->domain)->region;
	uint64_t rate = link_rate(c, own, to);
	route_link_t *l;
	uint16_t row;

	if (rate == 0)
		return TRUE;
	row = link_row(rc, catalog_region(c, to)->name);
	l = &g_array_index(rc->links, route_link_t, row);
	link_fill(l, (int64_t)(rate / rc->hosts), now);
	return l->bits > 0;
}

uint32_t
route_spill_slots(const catalog_t *c, service_id_t service, region_id_t region)
{
	const endpoint_t *e;
	uint32_t slots = 0;
	guint i;

	for (i = 0; i < c->endpoints->len; i++) {
		e = catalog_endpoint(c, (endpoint_id_t)i);
		if (e->service == service &&
		    catalog_domain(c, e->domain)->region == region)
			slots += e->slots;
	}
	return (uint32_t)(c->caps.spill_cap * slots);
}

/* Whether this host may still use a spill slot of the region. */
static gboolean
under_cap(route_choice_t *rc, const catalog_t *c, service_id_t service,
    region_id_t region)
{
	const char *name = catalog_service(c, service)->name;
	route_position_t position = {rc->index, rc->hosts};
	route_spill_t *s;
	uint32_t part;
	uint16_t row;

	/* Hosts of a region don't spill into it and have no share of its cap.
	 */
	if (region < ROUTE_REGIONS_MAX)
		position = rc->spill_position[region];
	part = route_part(route_spill_slots(c, service, region),
	    position.index + region, position.hosts);
	row = spill_row(rc, name, catalog_region(c, region)->name);
	s = &g_array_index(rc->spills, route_spill_t, row);
	return s->in_flight < part;
}

/* Whether enough slots stay free for the region's own callers. */
static gboolean
has_spare_room(const route_choice_t *rc, region_id_t region)
{
	const route_candidate_t *row;
	uint32_t room = 0, slots = 0;
	guint i;

	for (i = 0; i < rc->candidates->len; i++) {
		row = &g_array_index(rc->candidates, route_candidate_t, i);
		if (row->region != region || row->state == ENDPOINT_EJECTED)
			continue;
		room += row->room;
		slots += row->slots;
	}
	return room * SPARE_ROOM_DIVISOR > slots;
}

unsigned int
route_spill_order(route_choice_t *rc, const catalog_t *c, service_id_t service,
    msec_t now, region_id_t order[ROUTE_REGIONS_MAX])
{
	region_id_t own = catalog_domain(c, rc->domain)->region, r;
	unsigned int k, n = 0;

	for (r = 0; r < c->regions->len && n < ROUTE_REGIONS_MAX; r++) {
		if (r == own || !has_spare_room(rc, r) ||
		    !under_cap(rc, c, service, r) ||
		    !link_has_budget(rc, c, r, now))
			continue;
		for (k = n++; k > 0; k--) {
			if (catalog_one_way_ms(c, own, order[k - 1]) <=
			    catalog_one_way_ms(c, own, r))
				break;
			order[k] = order[k - 1];
		}
		order[k] = r;
	}
	return n;
}

void
route_spill_charge(route_choice_t *rc, const catalog_t *c,
    const route_request_t *req, endpoint_id_t id, route_ticket_t *ticket)
{
	region_id_t own = catalog_domain(c, rc->domain)->region, to;
	const char *name;

	to = catalog_domain(c, catalog_endpoint(c, id)->domain)->region;
	ticket->spill = ID_NONE;
	ticket->link = ID_NONE;
	ticket->bits = req->bits;
	if (to == own)
		return;
	name = catalog_region(c, to)->name;
	ticket->spill =
	    spill_row(rc, catalog_service(c, req->service)->name, name);
	g_array_index(rc->spills, route_spill_t, ticket->spill).in_flight++;
	ticket->link = link_row(rc, name);
	g_array_index(rc->links, route_link_t, ticket->link).bits -=
	    (int64_t)req->bits;
}

void
route_spill_release(
    route_choice_t *rc, const route_ticket_t *ticket, uint64_t bits)
{
	if (ticket->spill != ID_NONE)
		g_array_index(rc->spills, route_spill_t, ticket->spill)
		    .in_flight--;
	if (ticket->link != ID_NONE)
		g_array_index(rc->links, route_link_t, ticket->link).bits -=
		    (int64_t)bits - (int64_t)ticket->bits;
}
