#include "coordination/store_away.h"
#include "state/registry.h"

/* A store that is not reached for less time is not away. */
#define AWAY_MS 1000

/* Whether some host reaches the store, or too few hosts are heard to tell: then
 * this host is cut off from them, too. */
static gboolean
is_reached(const fleet_t *f, msec_t now)
{
	guint heard = 0, i;

	for (i = 0; i < f->hosts->len; i++) {
		const fleet_host_t *h = g_ptr_array_index(f->hosts, i);

		if (!fleet_is_live(h, now))
			continue;
		if (h->reaches_store)
			return TRUE;
		heard++;
	}
	return heard * 2 < f->hosts->len;
}

void
store_away_tick(store_away_t *a, const fleet_t *f, gboolean reaches, msec_t now)
{
	if (!reaches && !is_reached(f, now)) {
		if (a->since == 0)
			a->since = now;
		return;
	}
	if (a->since != 0 && now - a->since > AWAY_MS)
		a->ended_at = now;
	a->since = 0;
}

msec_t
store_away_lapse_until(const store_away_t *a)
{
	return a->ended_at != 0 ? a->ended_at + REGISTRY_LAPSE_MS : 0;
}
