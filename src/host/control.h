#ifndef HOST_CONTROL_H
#define HOST_CONTROL_H

#include "host/host.h"

/* What this host takes from the platform: roster, keys, configuration. */

/**
 * control_changed() - Take in what a scan of the control rows has brought.
 * @h: the host
 * @rows: store_row_t that changed
 * @sent_at: when the scan was sent
 */
void control_changed(host_t *h, const GArray *rows, msec_t sent_at);

/**
 * control_tick() - Do what is due: join the roster, scan, probe.
 * @h: the host
 * @now: present time
 */
void control_tick(host_t *h, msec_t now);

#endif
