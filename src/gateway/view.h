#ifndef GATEWAY_VIEW_H
#define GATEWAY_VIEW_H

#include "coordination/admission.h"
#include "coordination/dispatch.h"
#include "coordination/fleet.h"
#include "coordination/orders_lag.h"
#include "coordination/server_limits.h"
#include "coordination/shifts.h"
#include "coordination/stop_plan.h"
#include "gateway/gateway_settings.h"
#include "state/registry.h"

/*
 * What this host currently knows of configuration, backend servers, shifts and
 * hosts. The store sync and the status sync update it; the request path and the
 * look-ups read it. Nothing here does input or output.
 */
typedef struct {
	const gateway_settings_t *settings;
	registry_t registry;
	fleet_t fleet;
	admission_state_t admission;
	rate_lender_t rates;
	server_limits_t server_limits;
	shifts_t shifts;
	dispatch_t dispatch;

	uint64_t incarnation; /* 0 until the first answer of the store */
	uint64_t orders_ver;  /* version of the newest order applied */
	orders_lag_t orders_lag;
	msec_t orders_synced_at;  /* when the orders were last complete */
	msec_t servers_synced_at; /* when the servers were last complete */
	msec_t store_offset;	  /* the store's clock minus this host's, ms */
	gboolean joined;	  /* this host's row is in the store */
	gboolean leaving;	  /* a graceful stop has begun */
	stop_plan_t stop;	  /* while leaving */
} view_t;

void view_init(view_t *v, const gateway_settings_t *settings);
void view_finish(view_t *v);

/** view_apply_bounds() - Take over bounds that were changed in the settings. */
void view_apply_bounds(view_t *v);

/** view_is_ready() - May look-ups answer with this host? */
gboolean view_is_ready(const view_t *v);

/** view_store_now() - The store's clock at @now, as estimated here. */
msec_t view_store_now(const view_t *v, msec_t now);

#endif
