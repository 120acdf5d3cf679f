#ifndef HOST_LOOKUPS_H
#define HOST_LOOKUPS_H

#include "host/host.h"

/* Answers callers that ask which hosts to use: GET /lookup/SERVICE. */

#define LOOKUPS_PREFIX "/lookup/"

/**
 * lookups_serve() - Answer one look-up.
 * @h: the host
 * @x: the exchange, which this ends
 */
void lookups_serve(host_t *h, http_exchange_t *x);

#endif
