#ifndef COORDINATION_DISPATCH_H
#define COORDINATION_DISPATCH_H

#include "coordination/admission.h"
#include "coordination/cold_ramp.h"
#include "coordination/dispatch_pace.h"
#include "coordination/fleet_members.h"
#include "coordination/retry_budget.h"
#include "coordination/caller_retry.h"
#include "coordination/shifts.h"
#include "coordination/urgency.h"
#include "state/placing.h"

/*
 * Chooses a backend server for an admitted request: first the servers that may
 * run it (region, failure domain, version, health, cold ramp), then one of
 * them. It keeps no state for single requests; the servers that a request has
 * tried are in its job. The registry, the hosts and the shifts belong to the
 * owner.
 */

typedef struct {
	cold_bound_t cold;
	double retry_ratio; /* retries per request, of all hosts together */
	double retry_extra; /* retries beyond that ratio, in a window */
} dispatch_bounds_t;

typedef struct {
	const registry_t *registry;
	const fleet_t *fleet;
	fleet_members_t members; /* among which the cold ramp is divided */
	shifts_t *shifts;
	const char *region; /* of this host */
	dispatch_bounds_t bounds;
	GHashTable *drains;  /* set of failure domains that get no requests */
	GHashTable *budgets; /* service to retry_budget_t */
	caller_retry_t caller_retry;
	urgency_t urgency;
	dispatch_pace_t pace;
	guint retry_hosts; /* hosts among which the budgets are split */
	msec_t retry_hosts_until;
} dispatch_t;

/* Maximum number of servers that a request is sent to. */
#define DISPATCH_TRIES_MAX 3

/* One request. */
typedef struct {
	const admission_t *admission;
	uint64_t object; /* hash; of the request's id if it has no object */
	gboolean by_object;
	size_t body_bytes;
	msec_t left_ms; /* time for which the caller waits, at the start */
	gboolean late;	/* it can't be answered within its objective */
	urgency_class_t class;
	double sent_load; /* load of the current try's server when sent */
	backend_t *tried[DISPATCH_TRIES_MAX]; /* references */
	guint ntried;
} dispatch_job_t;

void dispatch_init(dispatch_t *d, const registry_t *registry,
    const fleet_t *fleet, shifts_t *shifts, const char *region,
    const dispatch_bounds_t *bounds);
void dispatch_finish(dispatch_t *d);

/**
 * dispatch_drain() - Start or end the drain of a failure domain.
 * @d: the state
 * @domain: the failure domain
 * @drained: TRUE: send no requests there; FALSE: send requests again
 *
 * Return: whether this changed the state.
 */
gboolean dispatch_drain(dispatch_t *d, const char *domain, gboolean drained);

/**
 * dispatch_assume_cold() - Treat the servers of a domain as cold for a while.
 * @d: the state
 * @domain: the failure domain
 * @now: time
 */
void dispatch_assume_cold(dispatch_t *d, const char *domain, msec_t now);

/**
 * dispatch_budget() - This host's part of a service's retry budget.
 * @d: the state
 * @service: the service's name
 * @now: time
 */
retry_budget_t *dispatch_budget(dispatch_t *d, const char *service, msec_t now);

/**
 * dispatch_tick() - Follow the fleet.
 * @d: the state
 * @now: time; to be called at least each MEMBERS_UPDATE_MS
 */
void dispatch_tick(dispatch_t *d, msec_t now);

/**
 * dispatch_begin() - Record how long a request's caller still waits, and find
 * its priority class.
 */
void dispatch_begin(
    dispatch_t *d, dispatch_job_t *job, msec_t left_ms, msec_t now);

/**
 * dispatch_place() - Choose a server.
 * @d: the state
 * @job: the request
 * @now: time
 * @store_now: the store's clock
 */
placing_t dispatch_place(
    dispatch_t *d, const dispatch_job_t *job, msec_t now, msec_t store_now);

/** dispatch_may_send() - Whether a server from dispatch_place() is still
 * usable.
 */
gboolean dispatch_may_send(const dispatch_t *d, const dispatch_job_t *job,
    backend_t *server, msec_t now);

/* This host's part of the requests to a cold server. */
typedef struct {
	guint rank;	 /* of this host, from 0 */
	guint hosts;	 /* among which the bound is divided */
	msec_t gap_ms;	 /* 0: it may not send */
	msec_t since_ms; /* since this host's last request to the server */
} dispatch_ramp_t;

/**
 * dispatch_ramp() - This host's part of the requests to a server, for logs.
 * @d: the state
 * @service: the service of the request
 * @server: the server
 * @now: time
 * @out: set if the result is TRUE
 *
 * Return: whether the server is cold and its service has a bound.
 */
gboolean dispatch_ramp(const dispatch_t *d, const manifest_service_t *service,
    backend_t *server, msec_t now, dispatch_ramp_t *out);

/** dispatch_sent() - Record that the request is sent to a server. */
void dispatch_sent(
    dispatch_t *d, dispatch_job_t *job, backend_t *server, msec_t now);

/* How a try ended. */
typedef enum {
	DISPATCH_ANSWERED,     /* a complete answer of the server's program */
	DISPATCH_FULL,	       /* rejected for lack of room */
	DISPATCH_WRONG_SERVER, /* another server has the address */
	DISPATCH_UNREACHABLE,  /* no connection */
	DISPATCH_BROKEN,       /* the connection ended, or an unusable answer */
	DISPATCH_TIMED_OUT,    /* no answer in time */
	DISPATCH_ABANDONED,    /* abandoned by this host */
} dispatch_end_t;

typedef struct {
	dispatch_end_t end;
	gboolean failed;   /* the answer reports a failure */
	gboolean has_room; /* rejected although it reports a free slot */
	msec_t took_ms;
} dispatch_result_t;

/** dispatch_ended() - Record how a try of the request ended. */
void dispatch_ended(dispatch_t *d, const dispatch_job_t *job, backend_t *server,
    const dispatch_result_t *result, msec_t now);

/**
 * dispatch_retry_ms() - When a caller whom the servers rejected may retry.
 * @has_room: whether the last of them reported a free slot
 */
msec_t dispatch_retry_ms(gboolean has_room);

void dispatch_job_clear(dispatch_job_t *job);

#endif
