#ifndef TESTS_ROUTING_CATALOG_H
#define TESTS_ROUTING_CATALOG_H

#include "state/catalog.h"

/*
 * A small catalog for tests: regions "r0", "r1" and so on with two failure
 * domains each, and one service "svc" whose endpoints "e0", "e1" and so on are
 * assigned to the domains in turn.
 */
typedef struct {
	unsigned int regions, endpoints, slots;
	double spill_cap;
	uint64_t bits_per_sec;
	const char *second_version; /* each third endpoint; NULL: "v1" */
} catalog_shape_t;

static inline void
catalog_add_regions(catalog_t *c, const catalog_shape_t *shape)
{
	unsigned int i, k;
	region_t r;
	domain_t d;
	link_t l;

	for (i = 0; i < shape->regions; i++) {
		r.name = g_strdup_printf("r%u", i);
		g_array_append_val(c->regions, r);
		for (k = 0; k < 2; k++) {
			d.name = g_strdup_printf("r%u-%u", i, k);
			d.region = i;
			g_array_append_val(c->domains, d);
		}
		for (k = 0; k < i; k++) {
			l.from = k;
			l.to = i;
			l.one_way_ms = 20 * (i - k);
			l.bits_per_sec = shape->bits_per_sec;
			g_array_append_val(c->links, l);
		}
	}
}

static inline void
catalog_build(catalog_t *c, const catalog_shape_t *shape)
{
	service_t s = {0};
	endpoint_t e = {0};
	unsigned int i;

	catalog_init(c);
	c->caps.spill_cap = shape->spill_cap;
	catalog_add_regions(c, shape);
	s.name = g_strdup("svc");
	s.version = g_strdup("v1");
	s.depends = g_array_new(FALSE, FALSE, sizeof(service_id_t));
	g_array_append_val(c->services, s);
	for (i = 0; i < shape->endpoints; i++) {
		e.name = g_strdup_printf("e%u", i);
		e.domain = i % (2 * shape->regions);
		e.address = g_strdup("127.0.0.1:1");
		e.version = g_strdup(shape->second_version && i % 3 == 2
			? shape->second_version
			: "v1");
		e.slots = shape->slots;
		g_array_append_val(c->endpoints, e);
	}
}

#endif
