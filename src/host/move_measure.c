#include <string.h>

#include "host/move_measure.h"
#include "state/route_spill.h"

/* Which end of a move an endpoint belongs to. */
typedef enum {
	END_NONE,
	END_SOURCE,
	END_TARGET,
} move_end_t;

typedef struct {
	const host_t *h;
	const move_row_t *row;
	region_id_t home_region;   /* of what is drained, or ID_NONE */
	gboolean target_elsewhere; /* home region has no other target */
	msec_t now;
} measure_t;

static region_id_t
region_of(const host_t *h, const endpoint_t *e)
{
	return catalog_domain(&h->catalog, e->domain)->region;
}

static gboolean
is_named(const measure_t *m, const endpoint_t *e, const char *name)
{
	const catalog_t *c = &m->h->catalog;

	switch (m->row->scope) {
	case MOVE_VERSION:
		return strcmp(e->version, name) == 0;
	case MOVE_REGION:
		return strcmp(catalog_region(c, region_of(m->h, e))->name,
			   name) == 0;
	case MOVE_DOMAIN:
		return strcmp(catalog_domain(c, e->domain)->name, name) == 0;
	case MOVE_ENDPOINT:
		return strcmp(e->name, name) == 0;
	case MOVE_HOST:
		break;
	}
	return FALSE;
}

static move_end_t
forward_end(const measure_t *m, const endpoint_t *e)
{
	if (is_named(m, e, m->row->from))
		return END_SOURCE;
	if (*m->row->to != '\0')
		return is_named(m, e, m->row->to) ? END_TARGET : END_NONE;
	if (m->home_region == ID_NONE || m->target_elsewhere)
		return END_TARGET;
	return region_of(m->h, e) == m->home_region ? END_TARGET : END_NONE;
}

static move_end_t
end_of(const measure_t *m, const endpoint_t *e)
{
	move_end_t end = forward_end(m, e);

	if (m->row->state != MOVE_BACKING_OUT || end == END_NONE)
		return end;
	return end == END_SOURCE ? END_TARGET : END_SOURCE;
}

static const peer_count_t *
reported_by(const endpoint_stat_t *stat, host_id_t host)
{
	const peer_count_t *p;
	guint i;

	for (i = 0; i < stat->peers->len; i++) {
		p = &g_array_index(stat->peers, peer_count_t, i);
		if (p->peer == host)
			return p;
	}
	return NULL;
}

/* Sums the requests of all hosts on an endpoint. A host that has not reported
 * on it makes the measurement unknown. */
static uint32_t
busy(const measure_t *m, endpoint_id_t id, move_room_t *room)
{
	const roster_t *r = &m->h->roster;
	const endpoint_stat_t *stat = endpoint_stats_row(&m->h->stats, id);
	const peer_count_t *p;
	uint32_t sum = stat->in_flight;
	guint i;

	for (i = 0; i < r->hosts->len; i++) {
		if (i == r->self ||
		    roster_host(r, (host_id_t)i)->state == HOST_GONE)
			continue;
		p = reported_by(stat, (host_id_t)i);
		if (p == NULL) {
			room->known = FALSE;
			continue;
		}
		sum += p->in_flight;
		room->measured_at = MIN(room->measured_at, p->at);
	}
	return sum;
}

static void
add_endpoint(
    const measure_t *m, endpoint_id_t id, move_end_t end, move_room_t *room)
{
	uint32_t n = busy(m, id, room);

	if (end == END_TARGET) {
		room->busy += n;
		if (endpoint_stats_state(&m->h->stats, id, m->now) ==
		    ENDPOINT_USABLE)
			room->slots +=
			    catalog_endpoint(&m->h->catalog, id)->slots;
	}
	if (end == END_SOURCE || m->row->scope == MOVE_VERSION)
		room->demand += n;
}

/* Measures both ends of a service in one region or, with ID_NONE, in all. */
static move_room_t
measure_part(const measure_t *m, service_id_t service, region_id_t region)
{
	move_room_t room = {.known = TRUE,
	    .measured_at = m->now,
	    .cold_percent = MOVE_COLD_PERCENT};
	share_t stays = SHARE_ONE - MIN(m->row->share, SHARE_ONE - 1);
	const endpoint_t *e;
	move_end_t end;
	guint i;

	for (i = 0; i < m->h->catalog.endpoints->len; i++) {
		e = catalog_endpoint(&m->h->catalog, (endpoint_id_t)i);
		end = end_of(m, e);
		if (e->service == service && end != END_NONE &&
		    (region == ID_NONE || region_of(m->h, e) == region))
			add_endpoint(m, (endpoint_id_t)i, end, &room);
	}
	/* A running move has taken part of the demand from the source already:
	 * computes the full demand from the rest. */
	if (m->row->scope != MOVE_VERSION && m->row->state == MOVE_RUNNING)
		room.demand =
		    (uint32_t)((uint64_t)room.demand * SHARE_ONE / stays);
	return room;
}

static void
take_tighter(move_room_t *least, const move_room_t *room)
{
	gboolean known = least->known && room->known;
	msec_t at = MIN(least->measured_at, room->measured_at);

	if (room->demand > 0 && move_room_share(room) < move_room_share(least))
		*least = *room;
	least->known = known;
	least->measured_at = at;
}

/* Number of entry hosts inside or outside a region. */
static uint32_t
hosts_in(const host_t *h, region_id_t region, gboolean inside)
{
	const char *name = catalog_region(&h->catalog, region)->name;
	const roster_host_t *row;
	uint32_t n = 0;
	guint i;

	for (i = 0; i < h->roster.hosts->len; i++) {
		row = roster_host(&h->roster, (host_id_t)i);
		if (row->state != HOST_GONE &&
		    (strcmp(row->region, name) == 0) == inside)
			n++;
	}
	return n;
}

/* Whether the move takes requests from an endpoint of the service. */
static gboolean
is_touched(const measure_t *m, service_id_t service)
{
	const endpoint_t *e;
	guint i;

	for (i = 0; i < m->h->catalog.endpoints->len; i++) {
		e = catalog_endpoint(&m->h->catalog, (endpoint_id_t)i);
		if (e->service == service && end_of(m, e) == END_SOURCE)
			return TRUE;
	}
	return FALSE;
}

/*
 * Once the home region has no target, its hosts have only their parts of the
 * spill into other regions. A host whose part is 0 would refuse all requests.
 */
static move_room_t
measure_spill(const measure_t *m, service_id_t service, const move_room_t *all)
{
	const catalog_t *c = &m->h->catalog;
	uint32_t home_hosts = hosts_in(m->h, m->home_region, TRUE),
		 outside_hosts;
	move_room_t room = *all;
	guint i;

	room.slots = 0;
	for (i = 0; i < c->regions->len; i++) {
		outside_hosts = hosts_in(m->h, (region_id_t)i, FALSE);
		if (i != m->home_region && outside_hosts > 0)
			room.slots +=
			    route_spill_slots(c, service, (region_id_t)i) /
			    outside_hosts * home_hosts;
	}
	room.busy =
	    (uint32_t)((uint64_t)room.demand * m->row->share / SHARE_ONE);
	if (room.slots == 0)
		room.demand = MAX(room.demand, 1);
	return room;
}

static void
measure_service(measure_t *m, service_id_t service, move_room_t *least)
{
	move_room_t room, spill;
	guint i;

	m->target_elsewhere = FALSE;
	room = measure_part(m, service, ID_NONE);
	if (room.slots == 0 && m->home_region != ID_NONE) {
		m->target_elsewhere = TRUE;
		room = measure_part(m, service, ID_NONE);
		spill = measure_spill(m, service, &room);
		if (hosts_in(m->h, m->home_region, TRUE) > 0 &&
		    is_touched(m, service))
			take_tighter(least, &spill);
	}
	take_tighter(least, &room);
	if (m->row->scope != MOVE_VERSION)
		return;
	/* If a region has the new version, the region's requests stay there. */
	for (i = 0; i < m->h->catalog.regions->len; i++) {
		room = measure_part(m, service, (region_id_t)i);
		if (room.slots > 0)
			take_tighter(least, &room);
	}
}

static region_id_t
home_of(const host_t *h, const move_row_t *row)
{
	const catalog_t *c = &h->catalog;
	endpoint_id_t e;
	domain_id_t d = ID_NONE;

	if (row->scope == MOVE_DOMAIN)
		d = catalog_find_domain(c, row->from);
	if (row->scope == MOVE_ENDPOINT) {
		e = catalog_find_endpoint(c, row->from);
		if (e != ID_NONE)
			d = catalog_endpoint(c, e)->domain;
	}
	return d != ID_NONE ? catalog_domain(c, d)->region : ID_NONE;
}

move_room_t
move_measure(const host_t *h, const move_row_t *row, msec_t now)
{
	move_room_t least = {.known = TRUE,
	    .measured_at = now,
	    .slots = 1,
	    .cold_percent = MOVE_COLD_PERCENT};
	measure_t m = {h, row, home_of(h, row), FALSE, now};
	const char *name;
	guint i;

	/* The drain of an entry host needs no slots of backend servers. */
	if (row->scope == MOVE_HOST)
		return least;
	for (i = 0; i < h->catalog.services->len; i++) {
		name = catalog_service(&h->catalog, (service_id_t)i)->name;
		if (strcmp(row->service, "*") == 0 ||
		    strcmp(row->service, name) == 0)
			measure_service(&m, (service_id_t)i, &least);
	}
	return least;
}
