#ifndef STATE_ENDPOINT_STATS_H
#define STATE_ENDPOINT_STATS_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"
#include "state/catalog.h"

/*
 * What this host knows of each endpoint: requests of its own, counts told by
 * peers, the endpoint's last report, and outcomes seen here. Reports lag and
 * lie, so outcomes seen here outweigh them, and an endpoint of which nothing
 * is known counts as half full.
 *
 * A row keeps its handle while requests are in flight on it, also when its
 * endpoint leaves the catalog; rows are found again by the endpoint's name.
 */

typedef uint16_t stat_id_t;

typedef enum {
	OUTCOME_OK,
	OUTCOME_ERROR,	   /* an answer that is the server's fault */
	OUTCOME_SHED,	   /* refused by the server for want of room */
	OUTCOME_REFUSED,   /* no connection was made */
	OUTCOME_TIMEOUT,   /* no answer before the deadline */
	OUTCOME_BROKEN,	   /* connection ended without a whole answer */
	OUTCOME_CANCELLED, /* given up by the caller: says nothing */
	OUTCOME_KINDS,
} outcome_t;

typedef enum {
	ENDPOINT_USABLE,
	ENDPOINT_TRIAL,	  /* ejection is over; one request at a time */
	ENDPOINT_EJECTED, /* failing as seen here, or reported unhealthy */
	ENDPOINT_LEAVING, /* nothing new, whatever its health */
} endpoint_state_t;

/* What an endpoint says of itself. */
typedef struct {
	gboolean healthy;
	gboolean draining;
	double load;	 /* part of its slots in use, 0..1 */
	msec_t taken_at; /* when the probe was sent */
} endpoint_report_t;

typedef struct {
	uint64_t peer; /* entry host */
	uint16_t in_flight;
	msec_t at;
} peer_count_t;

typedef struct {
	char *name; /* NULL: free row */
	uint16_t slots;
	gboolean present; /* in the catalog in force */
	gboolean leaving; /* as told by the platform or a drain */
	uint16_t in_flight;
	GArray *peers; /* peer_count_t */
	gboolean reported;
	endpoint_report_t report;
	double counts[OUTCOME_KINDS]; /* halved each half-life */
	msec_t decayed_at;
	double latency_ms; /* moving average of whole answers; 0: none */
	msec_t ok_at;
	gboolean ok_seen;
	uint16_t failures;    /* in a row */
	msec_t full_until;    /* after a shed answer */
	msec_t freed_at;      /* last own request that ended here */
	gboolean freed;	      /* and none was sent since */
	uint32_t full_ms;     /* length of the last such time */
	msec_t ejected_until; /* meaningful while eject_ms > 0 */
	uint32_t eject_ms;    /* length of the last ejection; 0: none */
	gboolean was_down;    /* a connection was refused since the last OK */
	gboolean cold;	      /* new or restarted */
	msec_t cold_since;
} endpoint_stat_t;

typedef struct {
	GArray *rows;  /* endpoint_stat_t, by stat_id_t */
	GArray *by_id; /* stat_id_t, by endpoint_id_t of the catalog in force */
	gboolean bound;
} endpoint_stats_t;

void endpoint_stats_init(endpoint_stats_t *s);
void endpoint_stats_finish(endpoint_stats_t *s);

/**
 * endpoint_stats_bind() - Take over a catalog.
 * @s: the table
 * @c: catalog now in force
 * @now: time
 *
 * What is known of an endpoint is kept if its name is in the new catalog. An
 * endpoint that appears in a later catalog than the first counts as cold.
 */
void endpoint_stats_bind(endpoint_stats_t *s, const catalog_t *c, msec_t now);

/**
 * endpoint_stats_row() - What is known of an endpoint.
 * @s: the table
 * @id: handle in the catalog in force
 */
const endpoint_stat_t *endpoint_stats_row(
    const endpoint_stats_t *s, endpoint_id_t id);

/**
 * endpoint_stats_begin() - Count a request sent to an endpoint.
 * @s: the table
 * @id: handle in the catalog in force
 *
 * Return: handle for endpoint_stats_end(), good over changes of catalog.
 */
stat_id_t endpoint_stats_begin(endpoint_stats_t *s, endpoint_id_t id);

/**
 * endpoint_stats_end() - Count the end of a request.
 * @s: the table
 * @stat: what endpoint_stats_begin() returned; used up
 * @outcome: how it ended
 * @latency_ms: from sending to the end, milliseconds
 * @now: time
 */
void endpoint_stats_end(endpoint_stats_t *s, stat_id_t stat, outcome_t outcome,
    uint32_t latency_ms, msec_t now);

/**
 * endpoint_stats_report() - Take in what an endpoint says of itself.
 * @s: the table
 * @id: handle in the catalog in force
 * @r: the report; ignored if an older one than the last
 */
void endpoint_stats_report(
    endpoint_stats_t *s, endpoint_id_t id, const endpoint_report_t *r);

/**
 * endpoint_stats_peer() - Take in a peer's count for an endpoint.
 * @s: the table
 * @id: handle in the catalog in force
 * @peer: the entry host that says so
 * @in_flight: its requests on the endpoint
 * @at: when the count was true; an older one than the last is ignored
 */
void endpoint_stats_peer(endpoint_stats_t *s, endpoint_id_t id, uint64_t peer,
    uint16_t in_flight, msec_t at);

/**
 * endpoint_stats_peer_gone() - Forget what a peer told.
 * @s: the table
 * @peer: entry host that died or left
 */
void endpoint_stats_peer_gone(endpoint_stats_t *s, uint64_t peer);

/**
 * endpoint_stats_set_leaving() - Mark an endpoint as leaving, or back.
 * @s: the table
 * @id: handle in the catalog in force
 * @leaving: whether it is to get nothing new
 */
void endpoint_stats_set_leaving(
    endpoint_stats_t *s, endpoint_id_t id, gboolean leaving);

endpoint_state_t endpoint_stats_state(
    const endpoint_stats_t *s, endpoint_id_t id, msec_t now);

/**
 * endpoint_stats_others() - Estimate other hosts' requests on an endpoint.
 * @s: the table
 * @id: handle in the catalog in force
 * @now: time
 *
 * Peers' fresh counts come first, then a fresh report less the own requests;
 * without either, half of the slots.
 *
 * Return: requests.
 */
uint16_t endpoint_stats_others(
    const endpoint_stats_t *s, endpoint_id_t id, msec_t now);

/**
 * endpoint_stats_room() - Estimate the free slots of an endpoint.
 * @s: the table
 * @id: handle in the catalog in force
 * @now: time
 *
 * Return: free slots; 0 also for a while after a shed answer.
 */
uint16_t endpoint_stats_room(
    const endpoint_stats_t *s, endpoint_id_t id, msec_t now);

/**
 * endpoint_stats_freed() - Whether a slot came free a moment ago.
 * @s: the table
 * @id: handle in the catalog in force
 * @now: time
 *
 * Return: TRUE if a request of this host was answered there and its slot is
 * likely free still, whatever is thought of other hosts.
 */
gboolean endpoint_stats_freed(
    const endpoint_stats_t *s, endpoint_id_t id, msec_t now);

/**
 * endpoint_stats_ramp() - Slots that a cold endpoint should be given by now.
 * @s: the table
 * @id: handle in the catalog in force
 * @now: time
 *
 * Return: 1 up to all slots; all of them once warm.
 */
uint16_t endpoint_stats_ramp(
    const endpoint_stats_t *s, endpoint_id_t id, msec_t now);

/**
 * endpoint_stats_failure_rate() - Part of recent outcomes that failed.
 * @s: the table
 * @id: handle in the catalog in force
 *
 * Return: 0..1; 0 where nothing was seen.
 */
double endpoint_stats_failure_rate(const endpoint_stats_t *s, endpoint_id_t id);

#endif
