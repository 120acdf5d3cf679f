#ifndef STATE_KEY_TEXT_H
#define STATE_KEY_TEXT_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/*
 * The text of a caller's key: a fixed prefix and 32 random bytes in the URL
 * alphabet of base64. The prefix makes a key recognisable wherever it stands.
 */

#define KEY_TEXT_PREFIX "ggl_"
#define KEY_RANDOM_BYTES 32
#define KEY_RANDOM_CHARS 43
#define KEY_TEXT_CHARS (sizeof(KEY_TEXT_PREFIX) - 1 + KEY_RANDOM_CHARS)

/**
 * key_text_make() - Write a key.
 * @random: KEY_RANDOM_BYTES of randomness
 * @out: room for KEY_TEXT_CHARS and the closing NUL
 */
void key_text_make(const uint8_t *random, char *out);

/**
 * key_text_valid() - Has this the form of a key?
 * @text: the text
 */
gboolean key_text_valid(const char *text);

/**
 * key_text_find() - Find something that has the form of a key.
 * @data: bytes to search
 * @len: how many
 *
 * Return: where it begins, or NULL.
 */
const char *key_text_find(const char *data, size_t len);

#endif
