#include <string.h>

#include "host/host.h"

static gint
by_name(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Counts the live hosts and finds this one's position among them. */
static uint16_t
position(const host_t *h, const char *region, uint16_t *n)
{
	GPtrArray *names = g_ptr_array_new();
	const roster_host_t *row;
	msec_t now = clock_now();
	uint16_t at = 0;
	guint i;

	for (i = 0; i < h->roster.hosts->len; i++) {
		row = roster_host(&h->roster, (host_id_t)i);
		if ((i == h->roster.self ||
			roster_live(&h->roster, (host_id_t)i, now)) &&
		    (region == NULL || strcmp(row->region, region) == 0))
			g_ptr_array_add(names, row->name);
	}
	g_ptr_array_sort(names, by_name);
	for (i = 0; i < names->len; i++) {
		if (strcmp(g_ptr_array_index(names, i), h->settings.id) == 0)
			at = (uint16_t)i;
	}
	*n = (uint16_t)names->len;
	g_ptr_array_free(names, TRUE);
	return at;
}

void
host_place_routes(host_t *h)
{
	domain_id_t domain =
	    catalog_find_domain(&h->catalog, h->settings.domain);
	uint16_t index, hosts, near_index, near_hosts;
	const endpoint_t *e;
	guint i;

	if (h->incarnation == 0)
		return;
	index = position(h, NULL, &hosts);
	near_index = position(h, h->settings.region, &near_hosts);
	for (i = 0; i < h->catalog.endpoints->len; i++) {
		e = catalog_endpoint(&h->catalog, (endpoint_id_t)i);
		http_client_limit(h->http, e->address,
		    route_part(e->connections, index, MAX(hosts, 1)));
	}
	route_choice_place(
	    &h->routes, domain, index, hosts, near_index, near_hosts);
}
