#ifndef COORDINATION_PROGRESS_H
#define COORDINATION_PROGRESS_H

#include "coordination/roster_view.h"

/*
 * The version that each host has in force, as it reports in exchanges. A
 * replica is one incarnation of a host. Its version never goes back, so late
 * and duplicate messages have no effect. A restarted host is a new replica and
 * starts at 0.
 */

typedef struct {
	replica_t replica;
	uint64_t version;
} progress_row_t;

typedef struct {
	GArray *rows; /* progress_row_t, one for each host */
} progress_t;

void progress_init(progress_t *p);
void progress_finish(progress_t *p);

/**
 * progress_report() - Record the version that a host reports.
 * @p: the table
 * @replica: the host
 * @version: the version that it has in force
 *
 * A report of an incarnation older than the newest known one is ignored.
 */
void progress_report(progress_t *p, replica_t replica, uint64_t version);

/**
 * progress_version() - The version that a host has reported.
 * @p: the table
 * @replica: the host
 *
 * Return: the version; 0 if this incarnation hasn't reported any.
 */
uint64_t progress_version(const progress_t *p, replica_t replica);

/**
 * progress_count() - Count the hosts that have reached a version.
 * @p: the table
 * @replicas: the hosts to check
 * @n: number of @replicas
 * @version: the version
 */
guint progress_count(
    const progress_t *p, const replica_t *replicas, guint n, uint64_t version);

#endif
