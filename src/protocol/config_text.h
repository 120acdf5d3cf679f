#ifndef PROTOCOL_CONFIG_TEXT_H
#define PROTOCOL_CONFIG_TEXT_H

#include <glib.h>

#include "state/catalog.h"

/* Maximum size of the operators' configuration text in bytes. */
#define CONFIG_TEXT_MAX_BYTES (1024 * 1024)

/**
 * address_is_valid() - Whether a string is a numeric IPv4 "IP:PORT".
 * @address: the string
 */
gboolean address_is_valid(const char *address);

/**
 * config_text_parse() - Build a catalog from the operators' configuration text.
 * @c: initialized and empty; filled in as far as the text is valid
 * @name: name of the text, for error messages
 * @text: the text
 * @errors: one message (char *) with its line number is appended for each error
 *
 * Return: 0 if the text is valid, -1 if errors were appended.
 */
int config_text_parse(
    catalog_t *c, const char *name, const char *text, GPtrArray *errors);

#endif
