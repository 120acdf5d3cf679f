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
 * Moves as this host has them in force: what they do to look-ups, versions
 * and endpoints, and what it tells of them.
 */

#define MOVES_DUTY "moves"

typedef struct moves {
	move_host_t in_force;
	duty_t *duty;	    /* NULL until this host has joined */
	GHashTable *counts; /* move id to GHashTable of route counts */
	GHashTable *splits; /* endpoint name to split_t, for partial drains */
	GArray *left;	    /* share_t by endpoint: what drains leave to it */
	uint64_t left_version; /* of the catalog that it is for */
	GPtrArray *held;       /* move_held_t; empty unless the lease is held */
	uint64_t epoch;	       /* of the lease under which they are held */
	msec_t tick_at, window_at;
} moves_t;

/* Totals of one rollout on one route. */
typedef struct {
	judge_sample_t bands[JUDGE_BANDS];
} move_count_t;

void moves_init(host_t *h);
void moves_finish(host_t *h);

/**
 * moves_joined() - This process has its place in the roster.
 * @h: the host
 */
void moves_joined(host_t *h);

/**
 * moves_scanned() - Take in the rows of moves that a scan brought.
 * @h: the host
 * @rows: store_row_t that changed
 * @sent_at: when the scan was sent
 */
void moves_scanned(host_t *h, const GArray *rows, msec_t sent_at);

/**
 * moves_apply() - Put a row in force, unless a later step is.
 * @h: the host
 * @row: from the store
 */
void moves_apply(host_t *h, const move_row_t *row);

/**
 * moves_tick() - Put drains in force, and do the duty while it is held.
 * @h: the host
 * @now: present time
 */
void moves_tick(host_t *h, msec_t now);

/**
 * moves_beat() - Add steps, counts and the lease to a heartbeat.
 * @h: the host
 * @b: the heartbeat
 */
void moves_beat(const host_t *h, heartbeat_t *b);

/**
 * moves_heard() - Take in what a peer tells of moves.
 * @h: the host
 * @beat: its heartbeat
 * @sent_at: when this host sent the question that it answers; MOVES_UNASKED if
 *	the peer told it unasked
 */
void moves_heard(host_t *h, const rpc_heartbeat_t *beat, msec_t sent_at);

/* In place of a send time: nothing was asked. */
#define MOVES_UNASKED INT64_MIN

/**
 * moves_route() - Set the shares of a service's versions for the next request.
 * @h: the host
 * @service: its handle in the catalog in force
 */
void moves_route(host_t *h, service_id_t service);

/**
 * moves_excludes() - Whether a partial drain takes the next request away.
 * @h: the host
 * @id: the endpoint that would get it
 *
 * Counts the request, so it is asked once for each endpoint and request.
 */
gboolean moves_excludes(host_t *h, endpoint_id_t id);

/**
 * moves_lookup() - Order the hosts of a look-up as moves want it.
 * @h: the host
 * @service: its name
 * @q: the question, whose shares are set by this
 * @found: lookup_host_t; ordered, with weights; drained hosts are removed
 */
void moves_lookup(
    host_t *h, const char *service, lookup_query_t *q, GArray *found);

/**
 * moves_count() - Count the end of a try for the judgement of rollouts.
 * @pr: the carry, with its endpoint
 * @outcome: how the try ended
 * @latency_ms: from sending to the end
 */
void moves_count(
    const proxy_request_t *pr, outcome_t outcome, msec_t latency_ms);

/**
 * moves_withholds() - Whether a vouch would prolong a lease to be taken over.
 * @h: the host
 * @name: for whom the vouch would be
 */
gboolean moves_withholds(const host_t *h, const char *name);

/**
 * moves_base_version() - The version that serves most of a service.
 * @h: the host
 * @service: its handle in the catalog in force
 */
const char *moves_base_version(const host_t *h, service_id_t service);

#endif
