#ifndef TRANSPORT_PORTS_WAIT_H
#define TRANSPORT_PORTS_WAIT_H

#include <glib.h>

#include "base/clock.h"

/* Waits for ports that the process before this one may still hold. */

/* Time beyond that of a stop for which a port is waited for. */
#define PORTS_WAIT_MARGIN_MS 2000

typedef struct {
	const char *address; /* "IP:PORT" */
	gboolean udp;
} port_t;

/**
 * ports_wait() - Wait until no process holds any of some ports.
 * @ports: the ports
 * @n: their number
 * @drain_ms: the time that a stop may take
 * @err: set if one is still held PORTS_WAIT_MARGIN_MS after @drain_ms
 *
 * Blocks; meant for a process that has no event loop yet. Anything else that is
 * wrong with a port is left to those who open it. The ports are not reserved.
 *
 * Return: whether all were free.
 */
gboolean ports_wait(
    const port_t *ports, size_t n, msec_t drain_ms, GError **err);

#endif
