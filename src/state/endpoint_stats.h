#ifndef STATE_ENDPOINT_STATS_H
#define STATE_ENDPOINT_STATS_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"
#include "state/catalog.h"

/*
 * What this host knows of each endpoint: its own requests in flight, counts
 * reported by peers, the endpoint's last report, and the outcomes of its own
 * requests. Reports may be old or wrong, so outcomes outweigh them. An
 * endpoint without any report counts as half full.
 *
 * A row keeps its handle while requests are in flight on it, even if the
 * endpoint is removed from the catalog. Rows are found by the endpoint's name.
 */

typedef uint16_t stat_id_t;

typedef enum {
	OUTCOME_OK,
	OUTCOME_ERROR,	 /* an error answer caused by the server */
	OUTCOME_SHED,	 /* refused by the server for lack of room */
	OUTCOME_REFUSED, /* no connection was made */
	OUTCOME_TIMEOUT, /* no answer before the deadline */
	OUTCOME_BROKEN,	 /* connection closed before the answer was complete */
	OUTCOME_CANCELLED, /* given up by the caller; tells nothing of the
			      server */
	OUTCOME_KINDS,
} outcome_t;

typedef enum {
	ENDPOINT_USABLE,
	ENDPOINT_TRIAL,	  /* after an ejection: one request at a time */
	ENDPOINT_EJECTED, /* requests failed, or it reported itself unhealthy */
	ENDPOINT_LEAVING, /* gets no new requests, whatever its health */
} endpoint_state_t;

/* What an endpoint reports about itself. */
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
	gboolean leaving; /* set by the platform or a drain */
	uint16_t in_flight;
	GArray *peers; /* peer_count_t */
	gboolean reported;
	endpoint_report_t report;
	double counts[OUTCOME_KINDS]; /* halved each half-life */
	msec_t decayed_at;
	double latency_ms; /* moving average over OK outcomes; 0: none */
	msec_t ok_at;
	gboolean ok_seen;
	uint16_t failures;    /* in a row */
	msec_t full_until;    /* after a shed answer */
	msec_t freed_at;      /* last OK outcome */
	gboolean freed;	      /* no request was sent since freed_at */
	uint32_t full_ms;     /* length of the time up to full_until */
	msec_t ejected_until; /* valid while eject_ms > 0 */
	uint32_t eject_ms;    /* length of the last ejection; 0: none */
	gboolean was_down;    /* a connection was refused since the last OK */
	gboolean cold;	      /* new or restarted */
	msec_t cold_since;
} endpoint_stat_t;

typedef struct {
	GArray *rows;  /* endpoint_stat_t, by stat_id_t */
	GArray *by_id; /* stat_id_t, by endpoint_id_t of the catalog in force */
	gboolean has_catalog;
} endpoint_stats_t;

void endpoint_stats_init(endpoint_stats_t *s);
void endpoint_stats_finish(endpoint_stats_t *s);

/**
 * endpoint_stats_bind() - Adapt the table to a new catalog.
 * @s: the table
 * @c: catalog now in force
 * @now: time
 *
 * The statistics of an endpoint are kept if its name is in the new catalog. An
 * endpoint that first appears in a later catalog than the first one counts as
 * cold.
 */
void endpoint_stats_bind(endpoint_stats_t *s, const catalog_t *c, msec_t now);

/**
 * endpoint_stats_row() - Get the statistics of an endpoint.
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
 * Return: handle for endpoint_stats_end(), valid across changes of catalog.
 */
stat_id_t endpoint_stats_begin(endpoint_stats_t *s, endpoint_id_t id);

/**
 * endpoint_stats_end() - Count the end of a request.
 * @s: the table
 * @stat: from endpoint_stats_begin(); invalid afterwards
 * @outcome: how it ended
 * @latency_ms: from sending to the end, milliseconds
 * @now: time
 */
void endpoint_stats_end(endpoint_stats_t *s, stat_id_t stat, outcome_t outcome,
    uint32_t latency_ms, msec_t now);

/**
 * endpoint_stats_report() - Record an endpoint's report about itself.
 * @s: the table
 * @id: handle in the catalog in force
 * @r: the report; ignored if it is older than the last one
 */
void endpoint_stats_report(
    endpoint_stats_t *s, endpoint_id_t id, const endpoint_report_t *r);

/**
 * endpoint_stats_peer() - Record a peer's count for an endpoint.
 * @s: the table
 * @id: handle in the catalog in force
 * @peer: the entry host that reports the count
 * @in_flight: its requests on the endpoint
 * @at: time of the count; a count older than the last one is ignored
 */
void endpoint_stats_peer(endpoint_stats_t *s, endpoint_id_t id, uint64_t peer,
    uint16_t in_flight, msec_t at);

/**
 * endpoint_stats_peer_gone() - Discard the counts of a peer.
 * @s: the table
 * @peer: entry host that failed or left
 */
void endpoint_stats_peer_gone(endpoint_stats_t *s, uint64_t peer);

/**
 * endpoint_stats_set_leaving() - Set whether an endpoint is leaving.
 * @s: the table
 * @id: handle in the catalog in force
 * @leaving: whether it gets no new requests
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
 * Uses recent counts of peers. Without any, uses a recent report minus this
 * host's own requests, and without that, half of the slots.
 *
 * Return: number of requests.
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
 * endpoint_stats_freed() - Whether a slot became free a moment ago.
 * @s: the table
 * @id: handle in the catalog in force
 * @now: time
 *
 * Return: TRUE if a request of this host was answered there so recently that
 * its slot is probably still free, whatever the estimate for other hosts is.
 */
gboolean endpoint_stats_freed(
    const endpoint_stats_t *s, endpoint_id_t id, msec_t now);

/**
 * endpoint_stats_ramp() - Slots of an endpoint that may be used by now.
 * @s: the table
 * @id: handle in the catalog in force
 * @now: time
 *
 * Return: for a cold endpoint a number that grows from 1 to all slots; for a
 * warm one all slots.
 */
uint16_t endpoint_stats_ramp(
    const endpoint_stats_t *s, endpoint_id_t id, msec_t now);

/**
 * endpoint_stats_failure_rate() - Fraction of recent outcomes that failed.
 * @s: the table
 * @id: handle in the catalog in force
 *
 * Return: 0..1; 0 without outcomes.
 */
double endpoint_stats_failure_rate(const endpoint_stats_t *s, endpoint_id_t id);

#endif
