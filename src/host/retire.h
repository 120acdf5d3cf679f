#ifndef HOST_RETIRE_H
#define HOST_RETIRE_H

#include "host/host.h"

/* Removes hosts from the roster that have been silent for long. */

/**
 * retire_tick() - Delete the rows of hosts that may be retired.
 * @h: the host
 * @now: present time
 */
void retire_tick(host_t *h, msec_t now);

/**
 * retire_fetch_listed() - Fetch the platform's list of hosts, when that is due.
 * @h: the host
 * @now: present time
 */
void retire_fetch_listed(host_t *h, msec_t now);

#endif
