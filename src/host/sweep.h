#ifndef HOST_SWEEP_H
#define HOST_SWEEP_H

#include "host/host.h"

/*
 * Removes rows of the store that nobody needs any more: those of idempotency
 * keys whose time is over, and those of moves taken back long ago. The host
 * that holds the lease of the moves does it. Each removal checks the row's
 * version, so that nothing is lost by a host that no longer holds it.
 */

/* Most rows that one write removes. */
#define SWEEP_BATCH 64
/* Idempotency keys are looked through by the first digits of their digest. */
#define SWEEP_PARTITION_CHARS 3
#define SWEEP_PARTITIONS 4096
/* Looks and removals in one period of the marks, at most. */
#define SWEEP_PACE 3600

void sweep_init(host_t *h);
void sweep_finish(host_t *h);

/**
 * sweep_tick() - Push marks, look at a part of the rows.
 * @h: the host
 * @now: present time
 */
void sweep_tick(host_t *h, msec_t now);

#endif
