#ifndef COORDINATION_ROSTER_VIEW_H
#define COORDINATION_ROSTER_VIEW_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"

/*
 * The set of roster hosts, from complete reads of the roster, and the time
 * since which no other host can have been in it.
 */

/* A process of an entry host. Each incarnation is a different replica. */
typedef struct {
	uint32_t host; /* the caller's handle */
	uint64_t incarnation;
} replica_t;

/*
 * Longest gap between two reads in which no host can join and be retired
 * without being seen. Must be shorter than the time for which a retirement
 * waits.
 */
#define ROSTER_VIEW_GAP_MS 1500

typedef struct {
	GArray *replicas;    /* replica_t, sorted */
	msec_t read_sent;    /* when the latest read was sent */
	msec_t stable_since; /* since then, only these were in the roster */
} roster_view_t;

void roster_view_init(roster_view_t *v);
void roster_view_finish(roster_view_t *v);

/**
 * roster_view_read() - Apply a complete read of the roster rows.
 * @v: the view
 * @replicas: every row, in any order
 * @n: number of rows
 * @sent: when the read was sent
 * @now: time of the answer
 *
 * A read that is older than the latest one is ignored.
 */
void roster_view_read(roster_view_t *v, const replica_t *replicas, guint n,
    msec_t sent, msec_t now);

/* Whether this incarnation was in the roster at the latest read. */
gboolean roster_view_has(const roster_view_t *v, replica_t replica);

gboolean replica_equal(replica_t a, replica_t b);

#endif
