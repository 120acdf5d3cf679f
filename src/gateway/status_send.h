#ifndef GATEWAY_STATUS_SEND_H
#define GATEWAY_STATUS_SEND_H

#include "gateway/status_sync.h"

/* To whom a host sends datagrams, and the sending, which is counted. */

void status_send_to(
    status_sync_t *s, const fleet_host_t *h, const uint8_t *data, size_t len);

/** status_send_own_collectors() - Send to the collectors of this host's domain.
 */
void status_send_own_collectors(
    status_sync_t *s, const uint8_t *data, size_t len);

/**
 * status_append_collectors() - The collectors of the other domains.
 * @v: this host's view
 * @out: const fleet_host_t pointers are appended
 * @all_regions: FALSE: of this host's region only
 */
void status_append_collectors(
    const view_t *v, GPtrArray *out, gboolean all_regions);

/** status_append_domain() - The other hosts of this host's domain. */
void status_append_domain(const view_t *v, GPtrArray *out);

/** status_send_all() - Send to each of @to, fleet_host_t pointers. */
void status_send_all(
    status_sync_t *s, const GPtrArray *to, const uint8_t *data, size_t len);

/** status_send_domain() - Send to the other hosts of this host's domain. */
void status_send_domain(status_sync_t *s, const uint8_t *data, size_t len);

/** status_send_collectors() - Send to the collectors of all other domains. */
void status_send_collectors(status_sync_t *s, const uint8_t *data, size_t len);

#endif
