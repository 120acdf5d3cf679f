#include <string.h>

#include "gateway/status_send.h"

/* Collectors of one's own domain that get this host's status: the acting one,
 * and the first in rank. */
#define OWN_COLLECTORS 2

void
status_send_to(
    status_sync_t *s, const fleet_host_t *h, const uint8_t *data, size_t len)
{
	if (len == 0)
		return;
	control_bytes_sent(&s->bytes, &s->view->fleet, h, len,
	    peer_msg_kind(data, len) == PEER_TABLE);
	datagram_send(&s->socket, h->peer, data, len);
}

/* Sends to the collectors of this host's domain. */
void
status_send_own_collectors(status_sync_t *s, const uint8_t *data, size_t len)
{
	const fleet_t *f = &s->view->fleet;
	msec_t now = clock_now();
	const fleet_host_t *first[OWN_COLLECTORS];
	const fleet_domain_t *d = fleet_domain(f, f->domain);
	const fleet_host_t *source =
	    d != NULL ? fleet_find(f, d->source) : NULL;
	guint n = fleet_collectors(f, f->domain, first, OWN_COLLECTORS, now), i;

	if (source != NULL)
		status_send_to(s, source, data, len);
	for (i = 0; i < n; i++) {
		if (first[i] != source)
			status_send_to(s, first[i], data, len);
	}
}

/*
 * Appends the collectors of the other domains, of this region only or of all:
 * const fleet_host_t pointers.
 */
void
status_append_collectors(const view_t *v, GPtrArray *out, gboolean all_regions)
{
	msec_t now = clock_now();
	const fleet_host_t *targets[FLEET_TARGETS_MAX];
	GHashTableIter it;
	gpointer name, region;
	uint64_t domain;
	guint i, n;

	g_hash_table_iter_init(&it, v->settings->regions);
	while (g_hash_table_iter_next(&it, &name, &region)) {
		domain = registry_hash(name);
		if (domain == v->fleet.domain ||
		    (!all_regions && strcmp(region, v->settings->region) != 0))
			continue;
		n = fleet_targets(&v->fleet, domain, targets, now);
		for (i = 0; i < n; i++)
			g_ptr_array_add(out, (gpointer)targets[i]);
	}
}

void
status_append_domain(const view_t *v, GPtrArray *out)
{
	const fleet_t *f = &v->fleet;
	guint i;

	for (i = 0; i < f->hosts->len; i++) {
		fleet_host_t *h = g_ptr_array_index(f->hosts, i);

		if (h->domain_seed == f->domain)
			g_ptr_array_add(out, h);
	}
}

void
status_send_all(
    status_sync_t *s, const GPtrArray *to, const uint8_t *data, size_t len)
{
	guint i;

	for (i = 0; i < to->len; i++)
		status_send_to(s, g_ptr_array_index(to, i), data, len);
}

void
status_send_domain(status_sync_t *s, const uint8_t *data, size_t len)
{
	GPtrArray *to = g_ptr_array_new();

	status_append_domain(s->view, to);
	status_send_all(s, to, data, len);
	g_ptr_array_free(to, TRUE);
}

/* Sends to the collectors of the other domains of all regions. */
void
status_send_collectors(status_sync_t *s, const uint8_t *data, size_t len)
{
	GPtrArray *to = g_ptr_array_new();

	status_append_collectors(s->view, to, TRUE);
	status_send_all(s, to, data, len);
	g_ptr_array_free(to, TRUE);
}
