#ifndef HOST_CONTROL_H
#define HOST_CONTROL_H

#include "host/host.h"

/* What this host takes from the platform, and what is due from time to time. */

/**
 * control_changed() - Take in what a scan of the control rows has brought.
 * @h: the host
 * @rows: store_row_t that changed
 * @since: version after which changes were asked for
 * @sent_at: when the scan was sent
 */
void control_changed(
    host_t *h, const GArray *rows, uint64_t since, msec_t sent_at);

/**
 * control_tick() - Do what is due.
 * @h: the host
 * @now: present time
 */
void control_tick(host_t *h, msec_t now);

/**
 * control_scan_soon() - Something is missed that the next scan may bring.
 * @h: the host
 * @now: present time
 */
void control_scan_soon(host_t *h, msec_t now);

#endif
