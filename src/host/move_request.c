#include <string.h>

#include "host/move_request.h"

#define PERMILLE 1000

static gboolean
has_version(const catalog_t *c, service_id_t service, const char *version)
{
	const endpoint_t *e;
	guint i;

	for (i = 0; i < c->endpoints->len; i++) {
		e = catalog_endpoint(c, (endpoint_id_t)i);
		if (e->service == service && strcmp(e->version, version) == 0)
			return TRUE;
	}
	return FALSE;
}

/* Sets the scope of a drain from the name of what is drained. */
static const char *
drain_scope(const host_t *h, const char *name, move_request_t *q)
{
	const catalog_t *c = &h->catalog;
	endpoint_id_t endpoint = catalog_find_endpoint(c, name);

	q->service = g_strdup("*");
	if (endpoint != ID_NONE) {
		g_free((char *)(uintptr_t)q->service);
		q->scope = MOVE_ENDPOINT;
		q->service = g_strdup(
		    catalog_service(c, catalog_endpoint(c, endpoint)->service)
			->name);
	} else if (catalog_find_domain(c, name) != ID_NONE) {
		q->scope = MOVE_DOMAIN;
	} else if (catalog_find_region(c, name) != ID_NONE) {
		q->scope = MOVE_REGION;
	} else if (roster_find(&h->roster, name) != HOST_NONE) {
		q->scope = MOVE_HOST;
	} else {
		return "no endpoint, failure domain, region or host has "
		       "this name";
	}
	q->from = g_strdup(name);
	return NULL;
}

const char *
move_request_fill(
    const host_t *h, const operate_move_start_t *a, move_request_t *q)
{
	const catalog_t *c = &h->catalog;
	service_id_t service = catalog_find_service(c, a->service);

	q->within_sec = a->within_sec;
	q->goal = (share_t)((uint64_t)a->share_permille * SHARE_ONE / PERMILLE);
	q->to = g_strdup(a->to);
	if (a->kind == RPC_MOVE_DRAIN) {
		q->kind = MOVE_DRAIN;
		return drain_scope(h, a->from, q);
	}
	q->service = g_strdup(a->service);
	if (service == ID_NONE)
		return "the configuration in force has no such service";
	if (a->kind == RPC_MOVE_SHIFT) {
		q->kind = MOVE_SHIFT;
		q->scope = MOVE_REGION;
		q->from = g_strdup(a->from);
		return catalog_find_region(c, a->from) == ID_NONE ||
			catalog_find_region(c, a->to) == ID_NONE
		    ? "the configuration in force has no such region"
		    : NULL;
	}
	q->kind = MOVE_ROLLOUT;
	q->scope = MOVE_VERSION;
	return has_version(c, service, a->to)
	    ? NULL
	    : "no endpoint of the service has this version";
}

void
move_request_set_base(const host_t *h, move_request_t *q)
{
	service_id_t service;

	if (q->kind != MOVE_ROLLOUT)
		return;
	service = catalog_find_service(&h->catalog, q->service);
	if (service == ID_NONE)
		return;
	g_free((char *)(uintptr_t)q->from);
	q->from = g_strdup(moves_base_version(h, service));
}

void
move_request_finish(move_request_t *q)
{
	g_free((char *)(uintptr_t)q->service);
	g_free((char *)(uintptr_t)q->from);
	g_free((char *)(uintptr_t)q->to);
}
