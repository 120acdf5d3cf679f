#include <stdlib.h>
#include <string.h>

#include "protocol/config_text_check.h"

static void
read_depends(const ini_t *ini, catalog_t *c)
{
	service_t *s;
	char **names;
	char *group, *value;
	service_id_t id;
	guint i, k;

	for (i = 0; i < c->services->len; i++) {
		s = CATALOG_ROW(c, services, service_t, i);
		group = g_strconcat("service ", s->name, NULL);
		value =
		    g_key_file_get_string(ini->file, group, "depends", NULL);
		names = g_strsplit(value != NULL ? value : "", " ", -1);
		for (k = 0; names[k] != NULL; k++) {
			if (*names[k] == '\0')
				continue;
			id = catalog_find_service(c, names[k]);
			if (id == ID_NONE)
				ini_error(ini, group, "depends",
				    "depends: no [service %s] in this text",
				    names[k]);
			else
				g_array_append_val(s->depends, id);
		}
		g_strfreev(names);
		g_free(value);
		g_free(group);
	}
}

/* Depth-first search. Marks: 0 not visited, 1 on the current path, 2 done. */
static gboolean
has_cycle(const catalog_t *c, service_id_t id, char *marks)
{
	const GArray *depends = catalog_service(c, id)->depends;
	service_id_t next;
	guint i;

	if (marks[id] != 0)
		return marks[id] == 1;
	marks[id] = 1;
	for (i = 0; i < depends->len; i++) {
		next = g_array_index(depends, service_id_t, i);
		if (has_cycle(c, next, marks))
			return TRUE;
	}
	marks[id] = 2;
	return FALSE;
}

static void
check_cycles(const ini_t *ini, const catalog_t *c)
{
	char *marks = g_malloc0(c->services->len + 1);
	char *group;
	guint i;

	for (i = 0; i < c->services->len; i++) {
		if (!has_cycle(c, (service_id_t)i, marks))
			continue;
		group = g_strconcat("service ",
		    catalog_service(c, (service_id_t)i)->name, NULL);
		ini_error(ini, group, "depends",
		    "depends: \"%s\" depends on itself through this list",
		    catalog_service(c, (service_id_t)i)->name);
		g_free(group);
		break;
	}
	g_free(marks);
}

static void
check_served(const ini_t *ini, const catalog_t *c)
{
	const service_t *s;
	const endpoint_t *e;
	char *group;
	guint i, k;

	for (i = 0; i < c->services->len; i++) {
		s = catalog_service(c, (service_id_t)i);
		for (k = 0; k < c->endpoints->len; k++) {
			e = catalog_endpoint(c, (endpoint_id_t)k);
			if (e->service == i &&
			    g_strcmp0(e->version, s->version) == 0)
				break;
		}
		if (k < c->endpoints->len)
			continue;
		group = g_strconcat("service ", s->name, NULL);
		ini_error(ini, group, "version",
		    "no [endpoint] serves version \"%s\" of \"%s\"",
		    s->version != NULL ? s->version : "-", s->name);
		g_free(group);
	}
}

void
config_text_check(const ini_t *ini, catalog_t *c)
{
	read_depends(ini, c);
	check_cycles(ini, c);
	check_served(ini, c);
}

/* Requests/s that a service's slots can serve without one failure domain. */
static double
capacity(const catalog_t *c, service_id_t id, domain_id_t without)
{
	const service_t *s = catalog_service(c, id);
	const endpoint_t *e;
	double slots = 0;
	guint i;

	for (i = 0; i < c->endpoints->len; i++) {
		e = catalog_endpoint(c, (endpoint_id_t)i);
		if (e->service == id && e->domain != without &&
		    strcmp(e->version, s->version) == 0)
			slots += e->slots;
	}
	return slots * MSEC_PER_SEC / s->typical_ms;
}

void
config_text_warnings(const catalog_t *c, GPtrArray *warnings)
{
	const service_t *s;
	double load = 0, whole, least;
	guint i, d;

	for (i = 0; i < c->workspaces->len; i++)
		load += catalog_workspace(c, (workspace_id_t)i)->rate;
	for (i = 0; i < c->services->len; i++) {
		s = catalog_service(c, (service_id_t)i);
		if (s->typical_ms == 0)
			continue;
		whole = capacity(c, (service_id_t)i, ID_NONE);
		least = whole;
		for (d = 0; d < c->domains->len; d++)
			least = MIN(least,
			    capacity(c, (service_id_t)i, (domain_id_t)d));
		if (load > whole)
			g_ptr_array_add(warnings,
			    g_strdup_printf(
				"service %s: the workspaces may "
				"send %.0f/s, its slots serve %.0f/s",
				s->name, load, whole));
		else if (load > least)
			g_ptr_array_add(warnings,
			    g_strdup_printf(
				"service %s: the workspaces may "
				"send %.0f/s, its slots serve %.0f/s "
				"if one failure domain is down",
				s->name, load, least));
	}
}
