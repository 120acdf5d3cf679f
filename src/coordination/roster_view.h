#ifndef COORDINATION_ROSTER_VIEW_H
#define COORDINATION_ROSTER_VIEW_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"

/*
 * The set of roster hosts as whole reads of the roster have shown it, and for
 * how long it is certain that no other host was in it.
 */

/* One process of an entry host: another incarnation is another replica. */
typedef struct {
	uint32_t host; /* the caller's handle */
	uint64_t incarnation;
} replica_t;

/*
 * Longest gap between two reads within which no host can have joined and been
 * retired unseen. Less than the time that a retirement waits.
 */
#define ROSTER_VIEW_GAP_MS 1500

typedef struct {
	GArray *replicas;    /* replica_t, in order */
	msec_t read_sent;    /* when the latest read was sent */
	msec_t stable_since; /* no other host was in the roster after this */
} roster_view_t;

void roster_view_init(roster_view_t *v);
void roster_view_finish(roster_view_t *v);

/**
 * roster_view_read() - A whole read of the roster rows has been answered.
 * @v: the view
 * @replicas: every row, in any order
 * @n: how many
 * @sent: when the read was sent
 * @now: time of the answer
 *
 * Reads older than the latest one are ignored.
 */
void roster_view_read(roster_view_t *v, const replica_t *replicas, guint n,
    msec_t sent, msec_t now);

/* Was this incarnation in the roster at the latest read? */
gboolean roster_view_has(const roster_view_t *v, replica_t replica);

gboolean replica_equal(replica_t a, replica_t b);

#endif
