#ifndef HOST_PROBE_H
#define HOST_PROBE_H

#include "host/host.h"

/* Asks backend servers for their health and load. */

#define PROBE_PERIOD_MS 1000

/**
 * probe_all() - Ask every endpoint of the catalog in force.
 * @h: the host
 */
void probe_all(host_t *h);

/**
 * probe_endpoint() - Ask one endpoint at once.
 * @h: the host
 * @name: its name; one that is not in the catalog is ignored
 */
void probe_endpoint(host_t *h, const char *name);

#endif
