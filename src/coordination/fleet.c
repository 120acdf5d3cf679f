#include <string.h>

#include "coordination/fleet.h"
#include "state/registry.h"

/* Maximum number of addresses in a look-up answer. */
#define LOOKUP_MAX 64

void
fleet_status_init(fleet_status_t *n)
{
	memset(n, 0, sizeof(*n));
	n->demands = g_array_new(FALSE, TRUE, sizeof(fleet_amount_t));
	n->loads = g_array_new(FALSE, TRUE, sizeof(fleet_amount_t));
}

void
fleet_status_finish(fleet_status_t *n)
{
	g_array_free(n->demands, TRUE);
	g_array_free(n->loads, TRUE);
}

uint32_t
fleet_name(uint64_t hash)
{
	return (uint32_t)(hash & ((UINT32_C(1) << FLEET_NAME_BITS) - 1));
}

static void
host_free(void *p)
{
	fleet_host_t *h = p;

	g_free(h->name);
	g_free(h->callers);
	g_free(h->peer);
	g_free(h->region);
	g_free(h->domain);
	fleet_status_finish(&h->status);
	g_free(h);
}

void
fleet_init(fleet_t *f, const char *self)
{
	f->self = registry_hash(self);
	f->hosts = g_ptr_array_new_with_free_func(host_free);
}

void
fleet_finish(fleet_t *f)
{
	g_ptr_array_free(f->hosts, TRUE);
}

static fleet_host_t *
find(const fleet_t *f, uint64_t seed)
{
	guint i;

	for (i = 0; i < f->hosts->len; i++) {
		fleet_host_t *h = g_ptr_array_index(f->hosts, i);

		if (h->seed == seed)
			return h;
	}
	return NULL;
}

static void
set_text(char **to, const char *from)
{
	if (g_strcmp0(*to, from) == 0)
		return;
	g_free(*to);
	*to = g_strdup(from);
}

void
fleet_put(fleet_t *f, const fleet_row_t *row)
{
	uint64_t seed = registry_hash(row->name);
	fleet_host_t *h = find(f, seed);

	if (seed == f->self || (h != NULL && h->row_ver >= row->row_ver))
		return;
	if (h == NULL) {
		h = g_new0(fleet_host_t, 1);
		h->name = g_strdup(row->name);
		h->seed = seed;
		fleet_status_init(&h->status);
		g_ptr_array_add(f->hosts, h);
	}
	set_text(&h->callers, row->callers);
	set_text(&h->peer, row->peer);
	set_text(&h->region, row->region);
	set_text(&h->domain, row->domain);
	h->incarnation = row->incarnation;
	h->row_ver = row->row_ver;
}

void
fleet_remove(fleet_t *f, const char *name)
{
	fleet_host_t *h = find(f, registry_hash(name));

	if (h == NULL)
		return;
	g_ptr_array_remove(f->hosts, h);
}

static gboolean
is_newer(const fleet_status_t *a, const fleet_status_t *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	return a->seq > b->seq;
}

fleet_host_t *
fleet_receive(fleet_t *f, fleet_status_t *status, msec_t now)
{
	fleet_host_t *h = find(f, status->host);
	fleet_status_t known;

	if (h == NULL || !is_newer(status, &h->status))
		return NULL;
	known = h->status;
	h->status = *status;
	*status = known;
	h->first_beacon = h->status.incarnation != known.incarnation;
	h->silent_ms = h->heard_at != 0 ? now - h->heard_at : 0;
	h->heard_at = now;
	return h;
}

gboolean
fleet_is_live(const fleet_host_t *h, msec_t now)
{
	return h->heard_at != 0 && now - h->heard_at < FLEET_SILENT_MS;
}

guint
fleet_size(const fleet_t *f)
{
	return f->hosts->len + 1;
}

static gboolean
ranks_before(const fleet_t *f, const fleet_host_t *h, msec_t now)
{
	return fleet_is_live(h, now) && h->status.ready && h->seed < f->self;
}

guint
fleet_rank(const fleet_t *f, msec_t now)
{
	guint i, rank = 0;

	for (i = 0; i < f->hosts->len; i++)
		rank += ranks_before(f, g_ptr_array_index(f->hosts, i), now);
	return rank;
}

guint
fleet_reader_rank(const fleet_t *f, const char *region, msec_t now)
{
	guint i, rank = 0;

	for (i = 0; i < f->hosts->len; i++) {
		const fleet_host_t *h = g_ptr_array_index(f->hosts, i);

		rank += ranks_before(f, h, now) && h->status.reaches_store &&
		    strcmp(h->region, region) == 0;
	}
	return rank;
}

uint32_t
fleet_amount(const GArray *amounts, uint64_t hash)
{
	uint32_t name = fleet_name(hash);
	guint i;

	for (i = 0; i < amounts->len; i++) {
		const fleet_amount_t *a =
		    &g_array_index(amounts, fleet_amount_t, i);

		if (a->name == name)
			return a->amount;
	}
	return 0;
}

static void
collect(const fleet_t *f, const fleet_self_t *self, const char *region,
    GPtrArray *out, msec_t now)
{
	guint i;

	if (self->ready &&
	    (region == NULL || strcmp(region, self->region) == 0))
		g_ptr_array_add(out, (char *)self->callers);
	for (i = 0; i < f->hosts->len && out->len < LOOKUP_MAX; i++) {
		const fleet_host_t *h = g_ptr_array_index(f->hosts, i);

		if (fleet_is_live(h, now) && h->status.ready &&
		    !h->status.leaving &&
		    (region == NULL || strcmp(region, h->region) == 0))
			g_ptr_array_add(out, h->callers);
	}
}

void
fleet_lookup(const fleet_t *f, const fleet_self_t *self, const char *region,
    GPtrArray *out, msec_t now)
{
	if (region != NULL)
		collect(f, self, region, out, now);
	if (out->len == 0)
		collect(f, self, NULL, out, now);
}
