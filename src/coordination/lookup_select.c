#include <string.h>

#include "coordination/lookup.h"

/* Minimum number of hosts without a weight that are named as fallbacks. */
#define SPARE_HOSTS (LOOKUP_NAMED_MAX - LOOKUP_WEIGHED_MAX)

/* The hosts of one region, from @at up to @end. */
typedef struct {
	size_t at, end;
	size_t weighed;	 /* number of hosts with a weight */
	uint32_t weight; /* sum over its hosts */
	size_t picks;	 /* number of hosts with a weight that are named */
} group_t;

static GArray *
groups_of(const lookup_host_t *hosts, size_t n)
{
	GArray *groups = g_array_new(FALSE, TRUE, sizeof(group_t));
	group_t *g = NULL;
	size_t i;

	for (i = 0; i < n; i++) {
		if (g == NULL || hosts[g->at].region != hosts[i].region) {
			g_array_set_size(groups, groups->len + 1);
			g = &g_array_index(groups, group_t, groups->len - 1);
			g->at = i;
		}
		g->end = i + 1;
		g->weighed += hosts[i].weight > 0;
		g->weight += hosts[i].weight;
	}
	return groups;
}

/* The group with the most weight for each pick; NULL if all are named. */
static group_t *
least_represented(const GArray *groups)
{
	group_t *g, *most = NULL;
	guint i;

	for (i = 0; i < groups->len; i++) {
		g = &g_array_index(groups, group_t, i);
		if (g->picks < g->weighed &&
		    (most == NULL ||
			(uint64_t)g->weight * (most->picks + 1) >
			    (uint64_t)most->weight * (g->picks + 1)))
			most = g;
	}
	return most;
}

static size_t
share_picks(const GArray *groups)
{
	size_t picks = 0;
	group_t *g;
	guint i;

	for (i = 0; i < groups->len; i++) {
		g = &g_array_index(groups, group_t, i);
		g->picks = g->weighed > 0;
		picks += g->picks;
	}
	for (; picks < LOOKUP_WEIGHED_MAX; picks++) {
		g = least_represented(groups);
		if (g == NULL)
			break;
		g->picks++;
	}
	return picks;
}

/*
 * Systematic sampling. The hosts are laid out on a line, each with its weight
 * as its length. As many equally spaced marks as there are picks select the
 * hosts.
 */
static void
sample(lookup_host_t *hosts, const group_t *g, uint32_t salt)
{
	uint64_t passed = 0, mark = salt % g->weight;
	size_t i, k = 0;
	uint32_t weight;

	for (i = g->at; i < g->end; i++) {
		passed += hosts[i].weight;
		for (weight = 0; k < g->picks && mark < passed * g->picks;
		     k++) {
			weight += (uint32_t)((k + 1) * g->weight / g->picks -
			    k * g->weight / g->picks);
			mark += g->weight;
		}
		hosts[i].weight = weight;
	}
}

/*
 * The first unnamed host that differs from the first named host by @same. NULL
 * if there is none, or if a named host already differs.
 */
static lookup_host_t *
first_different(lookup_host_t *hosts, const gboolean *named, size_t n,
    gboolean (*same)(const lookup_host_t *a, const lookup_host_t *b))
{
	lookup_host_t *first = NULL, *found = NULL;
	size_t i;

	for (i = 0; i < n; i++) {
		if (named[i] && first == NULL)
			first = &hosts[i];
		else if (named[i] && !same(first, &hosts[i]))
			return NULL;
	}
	for (i = 0; i < n && found == NULL; i++) {
		if (first != NULL && !named[i] && !same(first, &hosts[i]))
			found = &hosts[i];
	}
	return found;
}

static gboolean
same_domain(const lookup_host_t *a, const lookup_host_t *b)
{
	return strcmp(a->domain, b->domain) == 0;
}

static gboolean
same_region(const lookup_host_t *a, const lookup_host_t *b)
{
	return a->region == b->region;
}

static void
name_spares(lookup_host_t *hosts, gboolean *named, size_t n, size_t left)
{
	lookup_host_t *other = first_different(hosts, named, n, same_domain);
	size_t i;

	if (other != NULL) {
		named[other - hosts] = TRUE;
		left--;
	}
	other = first_different(hosts, named, n, same_region);
	if (other != NULL) {
		named[other - hosts] = TRUE;
		left--;
	}
	for (i = 0; i < n && left > 0; i++) {
		left -= !named[i];
		named[i] = TRUE;
	}
}

size_t
lookup_select(lookup_host_t *hosts, size_t n, uint32_t salt)
{
	gboolean *named;
	GArray *groups;
	size_t i, kept = 0, chosen = 0;
	const group_t *g;

	if (n <= LOOKUP_NAMED_MAX)
		return n;
	groups = groups_of(hosts, n);
	share_picks(groups);
	for (i = 0; i < groups->len; i++) {
		g = &g_array_index(groups, group_t, i);
		if (g->picks < g->weighed)
			sample(hosts, g, salt);
	}
	named = g_new0(gboolean, n);
	for (i = 0; i < n; i++) {
		named[i] = hosts[i].weight > 0;
		chosen += hosts[i].weight > 0;
	}
	name_spares(hosts, named, n,
	    MAX(LOOKUP_NAMED_MAX - MIN(chosen, LOOKUP_NAMED_MAX), SPARE_HOSTS));
	for (i = 0; i < n; i++) {
		if (named[i])
			hosts[kept++] = hosts[i];
	}
	g_free(named);
	g_array_free(groups, TRUE);
	return kept;
}
