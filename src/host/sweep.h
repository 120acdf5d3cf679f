#ifndef HOST_SWEEP_H
#define HOST_SWEEP_H

#include "host/host.h"

/*
 * Removes rows of the store that are no longer needed: expired idempotency
 * keys, and moves that were taken back long ago. The host that holds the lease
 * on moves does it. Each removal checks the row's version, so a host that has
 * lost the lease can't remove a row that has changed.
 */

/* Most rows that one write removes. */
#define SWEEP_BATCH 64
/* Idempotency keys are scanned in partitions, by the first hex digits of their
 * digest. */
#define SWEEP_PARTITION_CHARS 3
#define SWEEP_PARTITIONS 4096
/* Most scans, with their removals, in one period between marks. */
#define SWEEP_SCANS_PER_MARK 3600

void sweep_init(host_t *h);
void sweep_finish(host_t *h);

/**
 * sweep_tick() - Write marks, and scan one partition of the rows.
 * @h: the host
 * @now: present time
 */
void sweep_tick(host_t *h, msec_t now);

#endif
