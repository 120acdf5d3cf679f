#ifndef COORDINATION_COLLECTOR_H
#define COORDINATION_COLLECTOR_H

#include "coordination/fleet.h"

/*
 * Collects the statuses of the hosts of a failure domain and sums them up. In
 * each domain one host acts as collector: the first in rank from which its
 * domain hears. The others take over if they hear none for a time that grows
 * with their rank. Each host sends its status to the acting collector and to
 * the next in rank, so that a successor has most statuses when it takes over.
 *
 * Expected load: some tens of hosts in a domain, hundreds in the fleet, which
 * may all start, stop or lose power at once.
 */

/* Time between two statuses of a host, and between two summaries. */
#define COLLECTOR_PERIOD_MS 500
/* Time between two of them if something changed that others act on at once. */
#define COLLECTOR_URGENT_MS 200
/* Without a summary of its domain for this long, the first in rank acts. */
#define COLLECTOR_WAIT_MS 1000
/* The same for a host that has just started. */
#define COLLECTOR_START_WAIT_MS 700
/* Additional time for each rank. */
#define COLLECTOR_RANK_MS 300
/* A host that did not run for this long acts no longer: another may have taken
 * over. */
#define COLLECTOR_PAUSE_MS 900

typedef struct {
	const fleet_t *fleet;
	GHashTable *members; /* seed to collector_member_t */
	gboolean acting;
	gboolean urgent;    /* a member's report has to be passed on at once */
	gboolean heard_any; /* a collector of the domain, since the start */
	msec_t ticked_at;   /* 0: never */
	msec_t heard_at;    /* last summary of another collector */
	msec_t acting_since;
	msec_t made_at; /* last summary */
	uint32_t seq, list_ver;
	guint listed; /* hosts in the last summary */
	guint32 list_hash;
	fleet_summary_t inherited; /* in use when this host took over */
	guint64 takeovers, handovers;
} collector_t;

void collector_init(collector_t *c, const fleet_t *fleet);
void collector_finish(collector_t *c);

/* What receiving a status showed. */
typedef enum {
	COLLECTOR_OLD,	   /* outdated or of a host of another domain */
	COLLECTOR_NEWER,   /* a newer status of a known host */
	COLLECTOR_STARTED, /* the first status of a host since its start */
	COLLECTOR_BACK,	   /* the first one after a silence */
} collector_received_t;

/**
 * collector_receive() - Take in a host's status; also while not acting.
 * @c: the collector
 * @status: the status; swapped with the host's earlier one
 * @now: time
 */
collector_received_t collector_receive(
    collector_t *c, fleet_status_t *status, msec_t now);

/**
 * collector_hear() - Another host of the domain acts as collector.
 * @c: the collector
 * @other: its claim
 * @stopping: it has sent its last summary
 * @now: time
 */
void collector_hear(
    collector_t *c, const fleet_claim_t *other, gboolean stopping, msec_t now);

/**
 * collector_tick() - Decide whether this host acts as collector.
 * @c: the collector
 * @may_act: this host can be reached by others and is not leaving
 * @now: time; call it several times in COLLECTOR_URGENT_MS
 *
 * Return: whether a summary is due.
 */
gboolean collector_tick(collector_t *c, gboolean may_act, msec_t now);

/**
 * collector_sum() - Make the summary of the domain.
 * @c: the collector, which acts
 * @incarnation: of this host
 * @out: set; initialized by the caller
 * @now: time
 */
void collector_sum(
    collector_t *c, uint64_t incarnation, fleet_summary_t *out, msec_t now);

/** collector_ack() - Which status of a host is in the summaries. */
fleet_ack_t collector_ack(const collector_t *c, uint64_t host);

/**
 * collector_is_urgent() - Whether a status or summary has to be sent at once.
 * @known: as last sent
 * @next: its successor
 *
 * Others act at once on flags, new orders and bad answers of a new version.
 */
gboolean collector_is_urgent(
    const fleet_status_t *known, const fleet_status_t *next);

#endif
