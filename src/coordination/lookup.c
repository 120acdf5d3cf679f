#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/lookup.h"

/* Minimum number of hosts of a region that get a weight, if it has as many. */
#define MIN_NAMED 2

/* FNV-1a over both names, then a finalizer that separates similar values. */
static uint32_t
rendezvous(const char *affinity, const char *host)
{
	const char *parts[] = {affinity, "/", host};
	uint64_t h = 14695981039346656037U;
	const char *s;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(parts); i++) {
		for (s = parts[i]; *s != '\0'; s++)
			h = (h ^ (unsigned char)*s) * 1099511628211U;
	}
	h ^= h >> 33;
	h *= 0xff51afd7ed558ccdU;
	h ^= h >> 33;
	return (uint32_t)(h >> 32);
}

static int
nearest_first(const void *a, const void *b)
{
	const lookup_host_t *x = a, *y = b;

	if (x->one_way_ms != y->one_way_ms)
		return x->one_way_ms < y->one_way_ms ? -1 : 1;
	if (x->region != y->region)
		return x->region < y->region ? -1 : 1;
	if (x->rank != y->rank)
		return x->rank > y->rank ? -1 : 1;
	return strcmp(x->name, y->name);
}

/* Share of the callers that goes to a region. */
static double
share_of(const lookup_query_t *q, region_id_t region, gboolean nearest)
{
	size_t i;

	if (q->nshares == 0)
		return nearest ? 1 : 0;
	for (i = 0; i < q->nshares; i++) {
		if (q->shares[i].region == region)
			return q->shares[i].share;
	}
	return 0;
}

static size_t
region_size(const lookup_host_t *hosts, size_t n)
{
	size_t i = 1;

	while (i < n && hosts[i].region == hosts[0].region)
		i++;
	return i;
}

static void
spread(lookup_host_t *hosts, size_t n, double share, double part)
{
	size_t named = (size_t)ceil(part * (double)n);
	size_t i;

	named = MIN(n, MAX(named, MIN_NAMED));
	for (i = 0; i < n; i++)
		hosts[i].weight = i < named
		    ? (uint32_t)lround(
			  share * LOOKUP_WEIGHT_SUM / (double)named)
		    : 0;
}

/* Sum of the shares of regions with live hosts; shares are scaled by it. */
static double
present_share(const lookup_query_t *q, const lookup_host_t *hosts, size_t n)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < n; i += region_size(hosts + i, n - i))
		sum += share_of(q, hosts[i].region, i == 0);
	return sum;
}

void
lookup_order(const lookup_query_t *q, lookup_host_t *hosts, size_t n)
{
	double sum, share;
	size_t i, size;

	for (i = 0; i < n; i++) {
		hosts[i].one_way_ms = q->from == ID_NONE
		    ? 0
		    : catalog_one_way_ms(q->catalog, q->from, hosts[i].region);
		hosts[i].rank = rendezvous(q->affinity, hosts[i].name);
	}
	qsort(hosts, n, sizeof(*hosts), nearest_first);
	sum = present_share(q, hosts, n);
	for (i = 0; i < n; i += size) {
		size = region_size(hosts + i, n - i);
		share = sum > 0 ? share_of(q, hosts[i].region, i == 0) / sum
				: (i == 0 ? 1 : 0);
		spread(hosts + i, size, share, q->part);
	}
}
