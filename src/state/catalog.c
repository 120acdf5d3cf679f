#include <string.h>

#include "state/catalog.h"

static void
region_clear(void *p)
{
	region_t *r = p;

	g_free(r->name);
}

static void
domain_clear(void *p)
{
	domain_t *d = p;

	g_free(d->name);
}

static void
service_clear(void *p)
{
	service_t *s = p;

	g_free(s->name);
	g_free(s->version);
	g_array_free(s->depends, TRUE);
}

static void
endpoint_clear(void *p)
{
	endpoint_t *e = p;

	g_free(e->name);
	g_free(e->address);
	g_free(e->version);
}

static void
route_clear(void *p)
{
	route_t *r = p;

	g_free(r->method);
	g_free(r->prefix);
}

static void
workspace_clear(void *p)
{
	workspace_t *w = p;

	g_free(w->name);
}

static GArray *
table_new(guint size, GDestroyNotify clear)
{
	GArray *a = g_array_new(FALSE, TRUE, size);

	g_array_set_clear_func(a, clear);
	return a;
}

void
catalog_init(catalog_t *c)
{
	memset(c, 0, sizeof(*c));
	c->regions = table_new(sizeof(region_t), region_clear);
	c->domains = table_new(sizeof(domain_t), domain_clear);
	c->links = table_new(sizeof(link_t), NULL);
	c->services = table_new(sizeof(service_t), service_clear);
	c->endpoints = table_new(sizeof(endpoint_t), endpoint_clear);
	c->routes = table_new(sizeof(route_t), route_clear);
	c->workspaces = table_new(sizeof(workspace_t), workspace_clear);
}

void
catalog_finish(catalog_t *c)
{
	g_array_free(c->regions, TRUE);
	g_array_free(c->domains, TRUE);
	g_array_free(c->links, TRUE);
	g_array_free(c->services, TRUE);
	g_array_free(c->endpoints, TRUE);
	g_array_free(c->routes, TRUE);
	g_array_free(c->workspaces, TRUE);
	memset(c, 0, sizeof(*c));
}

const service_t *
catalog_service(const catalog_t *c, service_id_t id)
{
	return CATALOG_ROW(c, services, service_t, id);
}

const endpoint_t *
catalog_endpoint(const catalog_t *c, endpoint_id_t id)
{
	return CATALOG_ROW(c, endpoints, endpoint_t, id);
}

const workspace_t *
catalog_workspace(const catalog_t *c, workspace_id_t id)
{
	return CATALOG_ROW(c, workspaces, workspace_t, id);
}

const domain_t *
catalog_domain(const catalog_t *c, domain_id_t id)
{
	return CATALOG_ROW(c, domains, domain_t, id);
}

const region_t *
catalog_region(const catalog_t *c, region_id_t id)
{
	return CATALOG_ROW(c, regions, region_t, id);
}

/*
 * The rows of every table that is searched begin with the name, so that one
 * search function serves all tables.
 */
static uint16_t
find_name(const GArray *table, const char *name)
{
	guint size = g_array_get_element_size((GArray *)table);
	const char *row;
	guint i;

	for (i = 0; i < table->len; i++) {
		row = table->data + (size_t)i * size;
		if (strcmp(*(char *const *)(const void *)row, name) == 0)
			return (uint16_t)i;
	}
	return ID_NONE;
}

region_id_t
catalog_find_region(const catalog_t *c, const char *name)
{
	return find_name(c->regions, name);
}

domain_id_t
catalog_find_domain(const catalog_t *c, const char *name)
{
	return find_name(c->domains, name);
}

service_id_t
catalog_find_service(const catalog_t *c, const char *name)
{
	return find_name(c->services, name);
}

workspace_id_t
catalog_find_workspace(const catalog_t *c, const char *name)
{
	return find_name(c->workspaces, name);
}

endpoint_id_t
catalog_find_endpoint(const catalog_t *c, const char *name)
{
	return find_name(c->endpoints, name);
}

const route_t *
catalog_route(const catalog_t *c, service_id_t service, const char *method,
    const char *path)
{
	const route_t *r;
	guint i;

	for (i = 0; i < c->routes->len; i++) {
		r = CATALOG_ROW(c, routes, route_t, i);
		if (r->service != service || !g_str_has_prefix(path, r->prefix))
			continue;
		if (strcmp(r->method, "*") == 0 ||
		    strcmp(r->method, method) == 0)
			return r;
	}
	return NULL;
}

uint32_t
catalog_one_way_ms(const catalog_t *c, region_id_t from, region_id_t to)
{
	const link_t *l;
	guint i;

	for (i = 0; i < c->links->len; i++) {
		l = CATALOG_ROW(c, links, link_t, i);
		if ((l->from == from && l->to == to) ||
		    (l->from == to && l->to == from))
			return l->one_way_ms;
	}
	return 0;
}
