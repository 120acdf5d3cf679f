#ifndef STATE_KEY_TEXT_H
#define STATE_KEY_TEXT_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/*
 * The text form of a caller's key: a fixed prefix and 32 random bytes in
 * URL-safe base64. The prefix makes a key recognisable in any text.
 */

#define KEY_TEXT_PREFIX "ggl_"
#define KEY_RANDOM_BYTES 32
#define KEY_RANDOM_CHARS 43
#define KEY_TEXT_CHARS (sizeof(KEY_TEXT_PREFIX) - 1 + KEY_RANDOM_CHARS)

/**
 * key_text_make() - Format a key.
 * @random: KEY_RANDOM_BYTES random bytes
 * @out: buffer for KEY_TEXT_CHARS and the terminating NUL
 */
void key_text_make(const uint8_t *random, char *out);

/**
 * key_text_valid() - Whether a text has the form of a key.
 * @text: the text
 */
gboolean key_text_valid(const char *text);

/**
 * key_text_find() - Find the first text that has the form of a key.
 * @data: bytes to search
 * @len: number of bytes
 *
 * Return: the first character of the key, or NULL.
 */
const char *key_text_find(const char *data, size_t len);

#endif
