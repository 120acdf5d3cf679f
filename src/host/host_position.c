#include <string.h>

#include "host/host.h"

static gint
by_name(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

typedef enum {
	REGION_ANY,
	REGION_INSIDE,
	REGION_OUTSIDE,
} region_filter_t;

static gboolean
matches_filter(
    const roster_host_t *row, region_filter_t filter, const char *region)
{
	return filter == REGION_ANY ||
	    (strcmp(row->region, region) == 0) == (filter == REGION_INSIDE);
}

/* This host's position among the live hosts that match the filter. */
static route_position_t
position_among(const host_t *h, region_filter_t filter, const char *region)
{
	GPtrArray *names = g_ptr_array_new();
	route_position_t position = {0, 1};
	const roster_host_t *row;
	msec_t now = clock_now();
	guint i;

	for (i = 0; i < h->roster.hosts->len; i++) {
		row = roster_host(&h->roster, (host_id_t)i);
		if ((i == h->roster.self ||
			roster_live(&h->roster, (host_id_t)i, now)) &&
		    matches_filter(row, filter, region))
			g_ptr_array_add(names, row->name);
	}
	g_ptr_array_sort(names, by_name);
	for (i = 0; i < names->len; i++) {
		if (strcmp(g_ptr_array_index(names, i), h->settings.id) == 0)
			position.index = (uint16_t)i;
	}
	position.hosts = (uint16_t)MAX(names->len, 1);
	g_ptr_array_free(names, TRUE);
	return position;
}

static void
update_spill_positions(host_t *h)
{
	const char *region;
	guint i;

	for (i = 0; i < h->catalog.regions->len; i++) {
		region = catalog_region(&h->catalog, (region_id_t)i)->name;
		if (strcmp(region, h->settings.region) != 0)
			route_choice_set_spill_position(&h->routes,
			    (region_id_t)i,
			    position_among(h, REGION_OUTSIDE, region));
	}
}

void
host_update_positions(host_t *h)
{
	domain_id_t domain =
	    catalog_find_domain(&h->catalog, h->settings.domain);
	route_position_t all, same_region;
	const endpoint_t *e;
	guint i;

	if (h->incarnation == 0)
		return;
	all = position_among(h, REGION_ANY, NULL);
	same_region = position_among(h, REGION_INSIDE, h->settings.region);
	for (i = 0; i < h->catalog.endpoints->len; i++) {
		e = catalog_endpoint(&h->catalog, (endpoint_id_t)i);
		http_client_limit(h->http, e->address,
		    route_part(e->connections, all.index, all.hosts));
	}
	route_choice_set_position(&h->routes, domain, all.index, all.hosts,
	    same_region.index, same_region.hosts);
	update_spill_positions(h);
}
