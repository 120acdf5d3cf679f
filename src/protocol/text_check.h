#ifndef PROTOCOL_TEXT_CHECK_H
#define PROTOCOL_TEXT_CHECK_H

#include "protocol/ini.h"
#include "state/catalog.h"

/* What can be said of a text only once all of its groups have been read. */

/**
 * text_check() - Resolve dependencies; check them, and the served versions.
 * @ini: the text, takes the errors
 * @c: its rows
 */
void text_check(const ini_t *ini, catalog_t *c);

/**
 * text_warnings() - Judge whether the capacities can carry the load.
 * @c: a catalog that text_parse() took
 * @warnings: takes a line (char *) for each doubt
 *
 * Compares, for each service whose typical request time is stated, the sum of
 * the workspaces' rates with what its slots serve, whole and with the largest
 * failure domain down.
 */
void text_warnings(const catalog_t *c, GPtrArray *warnings);

#endif
