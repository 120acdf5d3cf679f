#include "coordination/rate_share.h"

/* Fraction of the rate that all regions together are assumed to demand at
 * least, divided by their numbers of hosts. A region whose demand begins finds
 * tokens, and a region that has all of a usual demand still gets 0.7 of the
 * rate. */
#define FLOOR_PART 0.5
/* Weight of the last tick in the smoothed demand. */
#define SMOOTHING 0.06

double
rate_share_of(
    const rate_region_t *own, double rate, const rate_region_t *others, guint n)
{
	guint hosts = own->hosts, live = own->live, i;
	double floor, mine, all;

	for (i = 0; i < n; i++)
		hosts += others[i].hosts;
	if (hosts == 0)
		return 1;
	floor = FLOOR_PART * rate / hosts;
	mine = own->demand + floor * own->hosts;
	all = mine;
	for (i = 0; i < n; i++) {
		if (others[i].live == 0)
			continue;
		live += others[i].live;
		all += others[i].demand + floor * others[i].hosts;
	}
	return all <= 0 ? (double)own->live / hosts : mine / all * live / hosts;
}

void
rate_demand_tick(rate_demand_t *d, msec_t now)
{
	double present;

	if (d->at == 0 || now <= d->at) {
		d->at = d->at == 0 ? now : d->at;
		return;
	}
	present = d->requests * (double)MSEC_PER_SEC / (double)(now - d->at);
	d->demand += SMOOTHING * (present - d->demand);
	d->requests = 0;
	d->at = now;
}

double
rate_demand_report(rate_demand_t *d, msec_t now)
{
	guint i;

	if (d->reported_at != 0 && now - d->reported_at < RATE_REPORT_MS)
		return d->demand;
	d->reported_at = now;
	for (i = RATE_REPORTED_MAX - 1; i > 0; i--)
		d->reported[i] = d->reported[i - 1];
	d->reported[0] = d->demand;
	return d->demand;
}

double
rate_demand_known(const rate_demand_t *d)
{
	double known = d->demand;
	guint i;

	for (i = 0; i < RATE_REPORTED_MAX; i++)
		known = MIN(known, d->reported[i]);
	return known;
}
