#ifndef GATEWAY_VIEW_H
#define GATEWAY_VIEW_H

#include "coordination/admission.h"
#include "coordination/dispatch.h"
#include "coordination/fleet.h"
#include "coordination/rate_lender.h"
#include "coordination/shifts.h"
#include "gateway/gateway_settings.h"
#include "state/registry.h"

/*
 * What this host believes: configuration, backend servers, moves, hosts. The
 * sources and the beacons bring it up to date, the request path and the
 * look-ups go by it. Nothing here does input or output.
 */
typedef struct {
	const gateway_settings_t *settings;
	registry_t registry;
	fleet_t fleet;
	admission_state_t admission;
	rate_lender_t rates;
	shifts_t shifts;
	dispatch_t dispatch;

	uint64_t incarnation; /* 0 until the store was read */
	uint64_t orders_ver;  /* newest order taken in */
	msec_t orders_at;     /* when the orders were last known to be whole */
	msec_t servers_at;    /* the same of the servers */
	msec_t store_offset;  /* the store's clock less ours */
	gboolean joined;      /* this host's row is written */
	gboolean leaving;     /* a graceful stop has begun */
} view_t;

void view_init(view_t *v, const gateway_settings_t *settings);
void view_finish(view_t *v);

/** view_reconfigure() - The settings' bounds have changed. */
void view_reconfigure(view_t *v);

/** view_is_ready() - May callers be told to come? */
gboolean view_is_ready(const view_t *v);

/** view_store_now() - The store's clock, as far as it is known. */
msec_t view_store_now(const view_t *v, msec_t now);

#endif
