#ifndef HOST_LOOKUPS_H
#define HOST_LOOKUPS_H

#include "host/host.h"

/* Answers callers that ask which hosts to use: GET /lookup/SERVICE. */

#define LOOKUPS_PREFIX "/lookup/"

void lookups_init(host_t *h);
void lookups_finish(host_t *h);

/**
 * lookups_scanned() - Take in that rows of hosts may have changed.
 * @h: the host
 * @rows: store_row_t that a scan brought
 */
void lookups_scanned(host_t *h, const GArray *rows);

/**
 * lookups_serve() - Answer one look-up.
 * @h: the host
 * @x: the exchange; ended by this function
 */
void lookups_serve(host_t *h, http_exchange_t *x);

#endif
