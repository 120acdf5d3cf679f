#ifndef HOST_CONTROL_H
#define HOST_CONTROL_H

#include "host/host.h"

/* Passes changed control rows to the modules, and runs periodic work. */

/**
 * control_rows_changed() - Take in the control rows that a scan brought.
 * @h: the host
 * @rows: store_row_t that changed
 * @since: version after which changes were asked for
 * @sent_at: when the scan was sent
 */
void control_rows_changed(
    host_t *h, const GArray *rows, uint64_t since, msec_t sent_at);

/**
 * control_tick() - Run the periodic work that is due.
 * @h: the host
 * @now: present time
 */
void control_tick(host_t *h, msec_t now);

/**
 * control_scan_soon() - Scan earlier, for a row that is missing here.
 * @h: the host
 * @now: present time
 */
void control_scan_soon(host_t *h, msec_t now);

#endif
