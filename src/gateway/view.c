#include <string.h>

#include "gateway/view.h"

void
view_init(view_t *v, const gateway_settings_t *settings)
{
	memset(v, 0, sizeof(*v));
	v->settings = settings;
	registry_init(&v->registry, settings->regions);
	fleet_init(&v->fleet, settings->id);
	fleet_locate(&v->fleet, settings->region, settings->domain,
	    fleet_strength(settings->link_mbps, settings->cpu_share));
	admission_init(&v->admission);
	rate_lender_init(
	    &v->rates, &settings->rates, &v->fleet, settings->region);
	server_limits_init(&v->server_limits, &v->fleet, settings->region);
	shifts_init(&v->shifts);
	dispatch_init(&v->dispatch, &v->registry, &v->fleet, &v->shifts,
	    settings->region, &settings->dispatch);
}

void
view_finish(view_t *v)
{
	dispatch_finish(&v->dispatch);
	shifts_finish(&v->shifts);
	server_limits_finish(&v->server_limits);
	rate_lender_finish(&v->rates);
	admission_finish(&v->admission);
	fleet_finish(&v->fleet);
	registry_finish(&v->registry);
}

void
view_apply_bounds(view_t *v)
{
	v->rates.bounds = v->settings->rates;
	v->dispatch.bounds = v->settings->dispatch;
}

gboolean
view_is_ready(const view_t *v)
{
	return !v->leaving && v->joined && v->fleet.synced_at != 0 &&
	    v->servers_synced_at != 0 && v->admission.manifest != NULL;
}

msec_t
view_store_now(const view_t *v, msec_t now)
{
	return now + v->store_offset;
}
