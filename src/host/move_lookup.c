#include <string.h>

#include "host/moves.h"

static GArray *
weights_of(const host_t *h, const char *service)
{
	GArray *w = g_array_new(FALSE, TRUE, sizeof(move_weight_t));

	move_weights(&h->moves->in_force, service, clock_now(), w);
	return w;
}

/* Share of a host's callers that drains leave it. */
static share_t
remaining_share(const GArray *weights, const char *host)
{
	const move_weight_t *w;
	uint64_t remaining = SHARE_ONE;
	guint i;

	for (i = 0; i < weights->len; i++) {
		w = &g_array_index(weights, move_weight_t, i);
		if (w->scope == MOVE_HOST && strcmp(w->from, host) == 0)
			remaining =
			    remaining * (SHARE_ONE - w->share) / SHARE_ONE;
	}
	return (share_t)remaining;
}

/* Removes drained hosts, but keeps the last host even if it is drained. */
static void
remove_drained(const GArray *weights, GArray *found)
{
	guint i;

	for (i = found->len; i > 0 && found->len > 1; i--) {
		if (remaining_share(weights,
			g_array_index(found, lookup_host_t, i - 1).name) == 0)
			g_array_remove_index(found, i - 1);
	}
}

static void
order(const lookup_query_t *q, GArray *found)
{
	lookup_order(q, (lookup_host_t *)(void *)found->data, found->len);
}

static region_share_t *
share_at(GArray *shares, region_id_t region)
{
	guint i;

	for (i = 0; i < shares->len; i++) {
		if (g_array_index(shares, region_share_t, i).region == region)
			return &g_array_index(shares, region_share_t, i);
	}
	return NULL;
}

/* The regions that have hosts, the nearest first, which gets all callers. */
static GArray *
regions_of(const GArray *found)
{
	GArray *shares = g_array_new(FALSE, TRUE, sizeof(region_share_t));
	region_share_t row = {.share = 1};
	guint i;

	for (i = 0; i < found->len; i++) {
		row.region = g_array_index(found, lookup_host_t, i).region;
		if (share_at(shares, row.region) != NULL)
			continue;
		g_array_append_val(shares, row);
		row.share = 0;
	}
	return shares;
}

/* The region that gets the callers: the one that the move names, or else the
 * nearest other region. */
static region_share_t *
receiver(const host_t *h, GArray *shares, const move_weight_t *w)
{
	region_id_t from = catalog_find_region(&h->catalog, w->from);
	region_share_t *row;
	guint i;

	if (*w->to != '\0')
		return share_at(
		    shares, catalog_find_region(&h->catalog, w->to));
	for (i = 0; i < shares->len; i++) {
		row = &g_array_index(shares, region_share_t, i);
		if (row->region != from)
			return row;
	}
	return NULL;
}

static void
shift(const host_t *h, const GArray *weights, GArray *shares)
{
	region_share_t *from, *to;
	const move_weight_t *w;
	double moved;
	guint i;

	for (i = 0; i < weights->len; i++) {
		w = &g_array_index(weights, move_weight_t, i);
		if (w->scope != MOVE_REGION)
			continue;
		from =
		    share_at(shares, catalog_find_region(&h->catalog, w->from));
		to = receiver(h, shares, w);
		if (from == NULL || to == NULL)
			continue;
		moved = from->share * w->share / SHARE_ONE;
		from->share -= moved;
		to->share += moved;
	}
}

/* Moves the weight that drains take from a host to the next host of its region
 * that no drain affects. */
static void
transfer_weight(const GArray *weights, GArray *found, guint i)
{
	lookup_host_t *host = &g_array_index(found, lookup_host_t, i);
	share_t remaining = remaining_share(weights, host->name);
	uint32_t kept =
	    (uint32_t)((uint64_t)host->weight * remaining / SHARE_ONE);
	lookup_host_t *other;
	guint k;

	for (k = 0; k < found->len && remaining < SHARE_ONE; k++) {
		other = &g_array_index(found, lookup_host_t, k);
		if (other->region != host->region ||
		    remaining_share(weights, other->name) < SHARE_ONE)
			continue;
		other->weight += host->weight - kept;
		host->weight = kept;
		return;
	}
}

void
moves_order_lookup(
    host_t *h, const char *service, lookup_query_t *q, GArray *found)
{
	GArray *weights = weights_of(h, service);
	GArray *shares;
	guint i;

	remove_drained(weights, found);
	order(q, found);
	if (weights->len > 0) {
		shares = regions_of(found);
		shift(h, weights, shares);
		q->shares = (const region_share_t *)(void *)shares->data;
		q->nshares = shares->len;
		order(q, found);
		q->shares = NULL;
		q->nshares = 0;
		g_array_free(shares, TRUE);
		for (i = 0; i < found->len; i++)
			transfer_weight(weights, found, i);
	}
	g_array_free(weights, TRUE);
}
