#ifndef PROTOCOL_TEXT_H
#define PROTOCOL_TEXT_H

#include <glib.h>

#include "state/catalog.h"

/* Most bytes of an operators' text. */
#define TEXT_MAX_BYTES (1024 * 1024)

/**
 * text_is_address() - Is this an "IP:PORT" with a numeric IPv4 address?
 * @address: the text
 */
gboolean text_is_address(const char *address);

/**
 * text_parse() - Build a catalog from the operators' text.
 * @c: initialised, empty; filled as far as the text allows
 * @name: name of the text, for messages
 * @text: the text
 * @errors: takes a line (char *) for each mistake, with its place
 *
 * Return: 0 if the whole text is right, -1 if @errors grew.
 */
int text_parse(
    catalog_t *c, const char *name, const char *text, GPtrArray *errors);

#endif
