#include <string.h>

#include "coordination/fleet.h"

/* Maximum number of addresses in a look-up answer. */
#define LOOKUP_MAX 64
/* An unchanged list of hosts is sent with each of this number of summaries. */
#define LIST_EVERY 4
/* A changed list is sent this many times in a row. */
#define LIST_REPEATS 3

gboolean
fleet_is_live(const fleet_host_t *h, msec_t now)
{
	return h->heard_at != 0 && now - h->heard_at < FLEET_DOMAIN_SILENT_MS;
}

gboolean
fleet_is_fresh(const fleet_domain_t *d, msec_t now)
{
	return d->heard_at != 0 && now - d->heard_at < FLEET_DOMAIN_SILENT_MS;
}

guint
fleet_size(const fleet_t *f)
{
	return f->hosts->len + 1;
}

static gboolean
ranks_before(const fleet_t *f, const fleet_host_t *h, msec_t now)
{
	return fleet_is_live(h, now) && h->ready &&
	    fleet_precedes(h->strength, h->seed, f->strength, f->self);
}

guint
fleet_count_region(const fleet_t *f, const char *region, msec_t now)
{
	guint n = strcmp(region, f->region) == 0, i;

	for (i = 0; i < f->hosts->len; i++) {
		const fleet_host_t *h = g_ptr_array_index(f->hosts, i);

		n += fleet_is_live(h, now) && strcmp(h->region, region) == 0;
	}
	return n;
}

guint
fleet_rank(const fleet_t *f, msec_t now)
{
	guint i, rank = 0;

	for (i = 0; i < f->hosts->len; i++)
		rank += ranks_before(f, g_ptr_array_index(f->hosts, i), now);
	return rank;
}

/* While a fleet starts, no summary has listed its hosts yet. */
static gboolean
may_read(const fleet_host_t *h, msec_t now)
{
	if (h->heard_at == 0)
		return now - h->known_at < FLEET_SILENT_MS;
	return fleet_is_live(h, now) && h->ready && h->reaches_store;
}

guint
fleet_reader_rank(const fleet_t *f, const char *region, msec_t now)
{
	guint i, rank = 0;

	for (i = 0; i < f->hosts->len; i++) {
		const fleet_host_t *h = g_ptr_array_index(f->hosts, i);

		rank += (region == NULL || strcmp(h->region, region) == 0) &&
		    may_read(h, now) &&
		    fleet_precedes(h->strength, h->seed, f->strength, f->self);
	}
	return rank;
}

/* A host that has just started may be live though no summary lists it. */
static gboolean
may_collect(const fleet_host_t *h, msec_t now)
{
	if (h->heard_at != 0)
		return fleet_is_live(h, now) && !h->leaving;
	return now - h->known_at < FLEET_SILENT_MS;
}

guint
fleet_collector_rank(const fleet_t *f, msec_t now)
{
	guint i, rank = 0;

	for (i = 0; i < f->hosts->len; i++) {
		const fleet_host_t *h = g_ptr_array_index(f->hosts, i);

		rank += h->domain_seed == f->domain && may_collect(h, now) &&
		    fleet_precedes(h->strength, h->seed, f->strength, f->self);
	}
	return rank;
}

static guint
first_in_rank(const fleet_t *f, uint64_t domain, gboolean all,
    const fleet_host_t **out, guint max, msec_t now)
{
	guint i, k, n = 0;

	for (i = 0; i < f->hosts->len; i++) {
		const fleet_host_t *h = g_ptr_array_index(f->hosts, i);

		if (h->domain_seed != domain || (!all && !may_collect(h, now)))
			continue;
		for (k = MIN(n, max); k > 0 &&
		     fleet_precedes(h->strength, h->seed, out[k - 1]->strength,
			 out[k - 1]->seed);
		     k--) {
			if (k < max)
				out[k] = out[k - 1];
		}
		if (k < max) {
			out[k] = h;
			n = MIN(n + 1, max);
		}
	}
	return n;
}

guint
fleet_collectors(const fleet_t *f, uint64_t domain, const fleet_host_t **out,
    guint max, msec_t now)
{
	guint n = first_in_rank(f, domain, FALSE, out, max, now);

	/* All seem silent: either they or this host were cut off. */
	return n > 0 ? n : first_in_rank(f, domain, TRUE, out, max, now);
}

guint
fleet_targets(
    const fleet_t *f, uint64_t domain, const fleet_host_t **out, msec_t now)
{
	const fleet_domain_t *d = fleet_domain(f, domain);
	const fleet_host_t *source =
	    d != NULL ? fleet_find(f, d->source) : NULL;
	guint n, i;

	if (source != NULL && now - d->heard_at < FLEET_DOMAIN_SILENT_MS) {
		out[0] = source;
		return 1;
	}
	n = fleet_collectors(f, domain, out, FLEET_TARGETS_MAX - 1, now);
	for (i = 0; i < n && out[i] != source; i++)
		;
	if (i == n && source != NULL)
		out[n++] = source;
	return n;
}

gboolean
fleet_list_is_due(fleet_domain_t *d)
{
	if (!d->summary.has_list)
		return FALSE;
	if (d->summary.list_ver != d->listed_ver)
		d->list_sends = 0;
	d->listed_ver = d->summary.list_ver;
	d->list_sends++;
	return d->list_sends <= LIST_REPEATS || d->list_sends % LIST_EVERY == 0;
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

		if (fleet_is_live(h, now) && h->ready && !h->leaving &&
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
