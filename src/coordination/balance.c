#include <string.h>

#include "coordination/balance.h"

/* Weight of a new load in the smoothed load, per tick; the time constant is
 * about a second. */
#define SMOOTHING 0.2
/* Requests per slot above which a server offloads objects, and below which it
 * reclaims them. */
#define OFFLOAD_ABOVE_LOAD 1.3
#define RECLAIM_BELOW_LOAD 0.7
/* An offloaded object runs cold once on its new server. So objects are
 * offloaded only while the whole service has fewer requests per slot. */
#define SERVICE_ROOM_LOAD 0.8
/* Part of a server's objects offloaded or reclaimed in a tick, and the maximum
 * part offloaded. */
#define OFFLOAD_STEP 0.03
#define RECLAIM_STEP 0.005
#define OFFLOADED_MAX 0.9

/* In a region without room, a server that is busier than the region's mean by
 * the first factor offloads objects that stay in the region, and below the
 * second it reclaims them. The steps are small, since each object that moves
 * runs cold. */
#define LEVEL_ABOVE_MEAN 1.15
#define LEVEL_BELOW_MEAN 0.85
#define LEVEL_STEP 0.004
/* A region with less than this ratio of its share of the slots to its share of
 * the hosts keeps no objects at first. */
#define BOUND_RATIO 0.5
/* Requests per slot above which a region spreads objects to other regions, and
 * below which it takes them back. */
#define SPREAD_ABOVE_LOAD 0.5
#define GATHER_BELOW_LOAD 0.4
/* Part of a region's objects that changes region in a tick: 0.12 in 2 s. */
#define SPREAD_STEP 0.015
#define GATHER_STEP 0.005
/* Until this time after the first tick hosts and servers are still being
 * listed. */
#define START_MS 5000
#define REGIONS_MAX 16

typedef struct {
	const char *region;
	double load; /* requests at servers now */
	double busy; /* the same, smoothed */
	double slots;
} sums_t;

/* Sums over the usable servers of a service. */
typedef struct {
	sums_t all;
	sums_t regions[REGIONS_MAX];
	guint n;
} service_sums_t;

/* Return: the sums of a region; further regions share the last entry. */
static sums_t *
sums_of(service_sums_t *sums, const char *region)
{
	guint i;

	for (i = 0; i < sums->n; i++) {
		if (strcmp(sums->regions[i].region, region) == 0)
			return &sums->regions[i];
	}
	if (sums->n == REGIONS_MAX)
		return &sums->regions[REGIONS_MAX - 1];
	sums->regions[sums->n] = (sums_t){.region = region};
	return &sums->regions[sums->n++];
}

static void
add_server(sums_t *sums, const backend_t *b, msec_t now)
{
	sums->load += backend_load(b, now);
	sums->busy += b->busy * b->slots;
	sums->slots += b->slots;
}

static void
sum_servers(service_sums_t *sums, const registry_service_t *s, msec_t now)
{
	guint i;

	memset(sums, 0, sizeof(*sums));
	for (i = 0; i < s->servers->len; i++) {
		const backend_t *b = g_ptr_array_index(s->servers, i);

		if (!backend_usable(b, now))
			continue;
		add_server(&sums->all, b, now);
		add_server(sums_of(sums, b->region), b, now);
	}
}

static gboolean
has_room(const sums_t *sums)
{
	return sums->load < SERVICE_ROOM_LOAD * sums->slots;
}

static void
offload(double *part, double step)
{
	*part = CLAMP(*part + step, 0, OFFLOADED_MAX);
}

/* Objects that run in any region. */
static void
tick_offloaded(backend_t *b, const sums_t *all)
{
	if (b->busy > OFFLOAD_ABOVE_LOAD && has_room(all))
		offload(&b->offloaded, OFFLOAD_STEP);
	else if (b->busy < RECLAIM_BELOW_LOAD)
		offload(&b->offloaded, -RECLAIM_STEP);
}

/* Objects that stay in the server's region. */
static void
tick_offloaded_in_region(backend_t *b, const sums_t *region)
{
	double mean = region->slots > 0 ? region->busy / region->slots : 0;

	if (b->busy > OFFLOAD_ABOVE_LOAD && has_room(region))
		offload(&b->offloaded_in_region, OFFLOAD_STEP);
	else if (b->busy > OFFLOAD_ABOVE_LOAD &&
	    b->busy > LEVEL_ABOVE_MEAN * mean)
		offload(&b->offloaded_in_region, LEVEL_STEP);
	else if (b->busy < RECLAIM_BELOW_LOAD)
		offload(&b->offloaded_in_region, -RECLAIM_STEP);
	else if (b->busy < LEVEL_BELOW_MEAN * mean)
		offload(&b->offloaded_in_region, -LEVEL_STEP / 2);
}

static void
tick_server(backend_t *b, const sums_t *all, const sums_t *region, msec_t now)
{
	b->busy += SMOOTHING * (backend_load(b, now) / b->slots - b->busy);
	tick_offloaded(b, all);
	tick_offloaded_in_region(b, region);
}

/*
 * Part of the objects of this host's region that stay there so that all servers
 * are equally busy, if each host has the same demand. Objects that don't stay
 * are spread evenly over all slots. A few hosts are a rough measure of demand,
 * so this region counts one more. A region that lacks most of the servers for
 * its demand leaves them to workspaces that are bound to it.
 */
static double
even_part(const service_sums_t *sums, const fleet_t *fleet, msec_t now)
{
	double hosts = 0, least = 0, own = 0, per_slot;
	guint i, n = 0;

	for (i = 0; i < sums->n; i++) {
		const sums_t *region = &sums->regions[i];
		guint here = fleet_count_region(fleet, region->region, now);

		hosts += here;
		if (region->slots <= 0)
			continue;
		per_slot = here / region->slots;
		if (n++ == 0 || per_slot < least)
			least = per_slot;
		if (strcmp(region->region, fleet->region) == 0)
			own = (here + 1) / region->slots;
	}
	if (own * BOUND_RATIO * sums->all.slots > hosts)
		return 0;
	return own > 0 ? least / own : 0;
}

static void
tick_local_part(registry_service_t *s, service_sums_t *sums,
    const fleet_t *fleet, msec_t now)
{
	const sums_t *own = sums_of(sums, fleet->region);
	double busy;

	if (own->slots <= 0)
		return;
	busy = own->busy / own->slots;
	if (s->local_since == 0)
		s->local_since = now;
	if (now - s->local_since < START_MS)
		s->local_part = even_part(sums, fleet, now);
	else if (busy > SPREAD_ABOVE_LOAD)
		s->local_part = MAX(s->local_part - SPREAD_STEP, 0);
	else if (busy < GATHER_BELOW_LOAD)
		s->local_part = MIN(s->local_part + GATHER_STEP, 1);
}

void
balance_tick(const registry_t *r, const fleet_t *fleet, msec_t now)
{
	GHashTableIter it;
	gpointer value;
	service_sums_t sums;
	guint i;

	g_hash_table_iter_init(&it, r->services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		registry_service_t *s = value;

		sum_servers(&sums, s, now);
		for (i = 0; i < s->servers->len; i++) {
			backend_t *b = g_ptr_array_index(s->servers, i);

			tick_server(
			    b, &sums.all, sums_of(&sums, b->region), now);
		}
		tick_local_part(s, &sums, fleet, now);
	}
}
