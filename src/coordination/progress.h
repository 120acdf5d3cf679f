#ifndef COORDINATION_PROGRESS_H
#define COORDINATION_PROGRESS_H

#include "coordination/roster_view.h"

/*
 * How far each host has come, as it tells in exchanges: the version that it
 * has in force. A replica's version never moves back, so late and doubled
 * messages do no harm; a restarted host is another replica and begins at 0.
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
 * progress_told() - A host has told its version.
 * @p: the table
 * @replica: which host
 * @version: what it has in force
 *
 * An incarnation older than the newest heard is ignored.
 */
void progress_told(progress_t *p, replica_t replica, uint64_t version);

/**
 * progress_version() - The version that a host has told.
 * @p: the table
 * @replica: which host
 *
 * Return: the version; 0 if this incarnation hasn't told any.
 */
uint64_t progress_version(const progress_t *p, replica_t replica);

/**
 * progress_count() - How many of some hosts have reached a version.
 * @p: the table
 * @replicas: the hosts
 * @n: how many
 * @version: the version
 */
guint progress_count(
    const progress_t *p, const replica_t *replicas, guint n, uint64_t version);

#endif
