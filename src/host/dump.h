#ifndef HOST_DUMP_H
#define HOST_DUMP_H

#include "host/host.h"

/* The state of this host, for operators. It contains no key and no secret. */

/**
 * dump_text() - The state of this host as JSON.
 * @h: the host
 *
 * Return: text to be freed with free().
 */
char *dump_text(const host_t *h);

/**
 * dump_status_text() - The fleet as this host sees it, as JSON.
 * @h: the host
 *
 * Return: text to be freed with free().
 */
char *dump_status_text(const host_t *h);

/**
 * dump_serve() - Answer on the operators' address: /metrics, /healthz.
 * @arg: the host
 * @x: the exchange; ended by this function
 */
void dump_serve(void *arg, http_exchange_t *x);

#endif
