#include "coordination/rate_share.h"

/* Of the rate, what each host is taken to want at least, all together: a
 * host whose demand begins finds some tokens. */
#define FLOOR_PART 0.25
/* Part of the last tick in the smoothed demand when it falls. */
#define FALL 0.3
/* And when it rises: a host in need tells so at once. */
#define RISE 0.7

double
rate_share_of(double own, double rate, const rate_share_peer_t *peers, guint n)
{
	double floor = FLOOR_PART * rate / (n + 1);
	double mine = own + floor, all = mine;
	guint i, heard = 1;

	for (i = 0; i < n; i++) {
		if (!peers[i].heard)
			continue;
		heard++;
		all += peers[i].demand + floor;
	}
	if (all <= 0)
		return 1.0 / (n + 1);
	return mine / all * heard / (n + 1);
}

void
rate_demand_tick(rate_demand_t *d, msec_t now)
{
	double present, part;

	if (d->at == 0 || now <= d->at) {
		d->at = d->at == 0 ? now : d->at;
		return;
	}
	present = d->asked * (double)MSEC_PER_SEC / (double)(now - d->at);
	part = present > d->demand ? RISE : FALL;
	d->demand += part * (present - d->demand);
	d->asked = 0;
	d->at = now;
}

double
rate_demand_tell(rate_demand_t *d)
{
	guint i;

	for (i = RATE_TOLD_MAX - 1; i > 0; i--)
		d->told[i] = d->told[i - 1];
	d->told[0] = d->demand;
	return d->demand;
}

double
rate_demand_known(const rate_demand_t *d)
{
	double known = d->demand;
	guint i;

	for (i = 0; i < RATE_TOLD_MAX; i++)
		known = MIN(known, d->told[i]);
	return known;
}
