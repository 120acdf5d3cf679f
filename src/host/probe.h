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

#endif
