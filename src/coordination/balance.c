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

/* Requests per slot over all usable servers of a service. */
static double
service_load_of(const registry_service_t *s, msec_t now)
{
	double load = 0, slots = 0;
	guint i;

	for (i = 0; i < s->servers->len; i++) {
		const backend_t *b = g_ptr_array_index(s->servers, i);

		if (!backend_usable(b, now))
			continue;
		load += backend_load(b, now);
		slots += b->slots;
	}
	return slots > 0 ? load / slots : 0;
}

static void
tick_server(backend_t *b, double service_load, msec_t now)
{
	b->busy += SMOOTHING * (backend_load(b, now) / b->slots - b->busy);
	if (b->busy > OFFLOAD_ABOVE_LOAD && service_load < SERVICE_ROOM_LOAD)
		b->offloaded = MIN(b->offloaded + OFFLOAD_STEP, OFFLOADED_MAX);
	else if (b->busy < RECLAIM_BELOW_LOAD)
		b->offloaded = MAX(b->offloaded - RECLAIM_STEP, 0);
}

void
balance_tick(const registry_t *r, msec_t now)
{
	GHashTableIter it;
	gpointer value;
	double load;
	guint i;

	g_hash_table_iter_init(&it, r->services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const registry_service_t *s = value;

		load = service_load_of(s, now);
		for (i = 0; i < s->servers->len; i++)
			tick_server(
			    g_ptr_array_index(s->servers, i), load, now);
	}
}
