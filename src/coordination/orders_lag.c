#include "coordination/orders_lag.h"

/* With the time in which a peer's version arrives, up to a second, less than
 * the shortest time within which orders must take effect, 2.5 s. */
#define OUTDATED_MS 1200
/* A host stands back if at least this fraction of the other hosts is ready and
 * reaches the store. */
#define OTHERS_SHARE 0.75

void
orders_lag_known(orders_lag_t *l, uint64_t ver)
{
	l->known = MAX(l->known, ver);
	if (l->known >= l->heard)
		l->since = 0;
}

void
orders_lag_heard(orders_lag_t *l, uint64_t ver, msec_t now)
{
	l->heard = MAX(l->heard, ver);
	if (l->heard > l->known && l->since == 0)
		l->since = now;
}

msec_t
orders_lag_ms(const orders_lag_t *l, msec_t now)
{
	return l->since != 0 ? now - l->since : 0;
}

static gboolean
others_serve(const fleet_t *f, msec_t now)
{
	guint serve = 0, live = 0, i;

	for (i = 0; i < f->hosts->len; i++) {
		const fleet_host_t *h = g_ptr_array_index(f->hosts, i);

		if (!fleet_is_live(h, now) || h->leaving)
			continue;
		live++;
		serve += h->ready && h->reaches_store;
	}
	return live > 0 && serve >= OTHERS_SHARE * live;
}

orders_state_t
orders_lag_state(const orders_lag_t *l, const fleet_t *fleet, msec_t now)
{
	if (l->since == 0)
		return ORDERS_CURRENT;
	if (now - l->since < OUTDATED_MS || !others_serve(fleet, now))
		return ORDERS_BEHIND;
	return ORDERS_OUTDATED;
}
