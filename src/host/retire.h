#ifndef HOST_RETIRE_H
#define HOST_RETIRE_H

#include "host/host.h"

/* Takes hosts that have long been silent out of the roster. */

/**
 * retire_tick() - Delete the rows of hosts that may be retired.
 * @h: the host
 * @now: present time
 */
void retire_tick(host_t *h, msec_t now);

/**
 * retire_listed() - Ask the platform which hosts it knows, when that is due.
 * @h: the host
 * @now: present time
 */
void retire_listed(host_t *h, msec_t now);

#endif
