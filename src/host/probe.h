#ifndef HOST_PROBE_H
#define HOST_PROBE_H

#include "host/host.h"

/* Probes backend servers for their health and load. */

#define PROBE_PERIOD_MS 1000

void probe_init(host_t *h);
void probe_finish(host_t *h);

/**
 * probe_all() - Probe every endpoint of the catalog in force.
 * @h: the host
 */
void probe_all(host_t *h);

/**
 * probe_health_known() - Whether each endpoint has had time to report its
 * health.
 * @h: the host
 * @now: present time
 */
gboolean probe_health_known(const host_t *h, msec_t now);

/**
 * probe_endpoint() - Probe one endpoint at once, as a crash check.
 * @h: the host
 * @name: its name; one that is not in the catalog is ignored
 */
void probe_endpoint(host_t *h, const char *name);

#endif
