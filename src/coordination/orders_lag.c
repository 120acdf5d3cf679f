#include "coordination/orders_lag.h"

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

gboolean
orders_lag_is_behind(const orders_lag_t *l)
{
	return l->since != 0;
}

msec_t
orders_lag_ms(const orders_lag_t *l, msec_t now)
{
	return l->since != 0 ? now - l->since : 0;
}
