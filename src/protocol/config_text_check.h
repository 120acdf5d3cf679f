#ifndef PROTOCOL_CONFIG_TEXT_CHECK_H
#define PROTOCOL_CONFIG_TEXT_CHECK_H

#include "protocol/ini.h"
#include "state/catalog.h"

/* Checks of a configuration text for which all its groups must be known. */

/**
 * config_text_check() - Resolve the services' dependencies; report cycles, and
 * services whose version no endpoint serves.
 * @ini: the text, to which errors are reported
 * @c: the catalog read from it
 */
void config_text_check(const ini_t *ini, catalog_t *c);

/**
 * config_text_warnings() - Warn about services whose capacity is below the
 * load.
 * @c: a catalog from a successful config_text_parse()
 * @warnings: one message (char *) is appended for each such service
 *
 * For each service with a configured typical request time, compares the sum of
 * the workspaces' rates with the rate that its slots can serve, both in total
 * and without the failure domain that has most of its slots.
 */
void config_text_warnings(const catalog_t *c, GPtrArray *warnings);

#endif
