#ifndef HOST_MOVES_H
#define HOST_MOVES_H

#include "coordination/lookup.h"
#include "coordination/move_host.h"
#include "host/proxy.h"
#include "host/duty.h"
#include "host/heartbeat.h"
#include "host/peers.h"
#include "state/judge.h"

/*
 * The moves in force at this host: their effect on look-ups, versions and
 * endpoints, and what this host reports about them to its peers.
 */

#define MOVES_DUTY "moves"

typedef struct moves {
	move_host_t in_force;
	duty_t *duty;	    /* NULL until this host has joined */
	GHashTable *counts; /* move id to route name to move_count_t */
	GHashTable *splits; /* endpoint name to split_t, for partial drains */
	GArray *remaining;  /* share_t by endpoint, left to it by drains */
	uint64_t remaining_version; /* catalog version of these */
	GPtrArray
	    *held; /* move_held_t; empty unless this host holds the lease */
	uint64_t epoch; /* of the lease under which they are advanced */
	msec_t tick_at, window_at;
} moves_t;

/* Request totals of one rollout on one route. */
typedef struct {
	judge_sample_t bands[JUDGE_BANDS];
} move_count_t;

void moves_init(host_t *h);
void moves_finish(host_t *h);

/**
 * moves_joined() - Create the duty, once this process is in the roster.
 * @h: the host
 */
void moves_joined(host_t *h);

/**
 * moves_scanned() - Apply the move rows of a scan.
 * @h: the host
 * @rows: store_row_t that changed
 * @sent_at: when the scan request was sent
 */
void moves_scanned(host_t *h, const GArray *rows, msec_t sent_at);

/**
 * moves_apply() - Put a row in force, unless a later step of the move is in
 * force.
 * @h: the host
 * @row: from the store
 */
void moves_apply(host_t *h, const move_row_t *row);

/**
 * moves_tick() - Put drains in force, and advance moves while the duty is held.
 * @h: the host
 * @now: present time
 */
void moves_tick(host_t *h, msec_t now);

/**
 * moves_fill_heartbeat() - Add steps, counts and the lease to a heartbeat.
 * @h: the host
 * @b: the heartbeat
 */
void moves_fill_heartbeat(const host_t *h, heartbeat_t *b);

/**
 * moves_on_heartbeat() - Apply what a peer's heartbeat reports about moves.
 * @h: the host
 * @beat: its heartbeat
 * @sent_at: when this host sent the exchange that the peer answers;
 *	MOVES_UNSOLICITED if the heartbeat isn't an answer
 */
void moves_on_heartbeat(host_t *h, const rpc_heartbeat_t *beat, msec_t sent_at);

/* Instead of a send time: the heartbeat isn't an answer. */
#define MOVES_UNSOLICITED INT64_MIN

/**
 * moves_set_version_shares() - Set the shares of a service's versions for the
 * next request.
 * @h: the host
 * @service: its handle in the catalog in force
 */
void moves_set_version_shares(host_t *h, service_id_t service);

/**
 * moves_excludes() - Whether a drain excludes an endpoint from the next
 * request.
 * @h: the host
 * @id: the endpoint that would get the request
 *
 * Counts the request, so call this once for each endpoint and request.
 */
gboolean moves_excludes(host_t *h, endpoint_id_t id);

/**
 * moves_order_lookup() - Order and weight the hosts of a look-up by the moves
 * in force.
 * @h: the host
 * @service: its name
 * @q: the query; its shares are used while this runs
 * @found: lookup_host_t; is ordered and weighted, and drained hosts are removed
 */
void moves_order_lookup(
    host_t *h, const char *service, lookup_query_t *q, GArray *found);

/**
 * moves_count() - Count the end of an attempt for the judgement of rollouts.
 * @pr: the proxied request, with its endpoint
 * @outcome: how the attempt ended
 * @latency_ms: from the sending of the attempt to its end
 */
void moves_count(
    const proxy_request_t *pr, outcome_t outcome, msec_t latency_ms);

/**
 * moves_withholds() - Whether a promise would delay the take-over of a lease.
 * @h: the host
 * @name: host that the promise would be made to
 */
gboolean moves_withholds(const host_t *h, const char *name);

/**
 * moves_base_version() - The version that serves the largest share of a
 * service.
 * @h: the host
 * @service: its handle in the catalog in force
 */
const char *moves_base_version(const host_t *h, service_id_t service);

#endif
