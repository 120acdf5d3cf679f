#ifndef STATE_DIGEST_H
#define STATE_DIGEST_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* BLAKE2b-256 digest of a caller's key or of a configuration text. */

#define DIGEST_BYTES 32
#define DIGEST_HEX_CHARS (2 * DIGEST_BYTES)

typedef struct {
	uint8_t bytes[DIGEST_BYTES];
} digest_t;

/**
 * digest_of() - Hash some bytes.
 * @data: the bytes
 * @len: number of bytes
 * @out: set to their digest
 */
void digest_of(const void *data, size_t len, digest_t *out);

/**
 * digest_equal() - Compare in constant time.
 * @a: a digest
 * @b: a digest
 */
gboolean digest_equal(const digest_t *a, const digest_t *b);

/**
 * digest_to_hex() - Format a digest in lower-case hexadecimal.
 * @d: the digest
 * @out: buffer for DIGEST_HEX_CHARS and the terminating NUL
 */
void digest_to_hex(const digest_t *d, char out[DIGEST_HEX_CHARS + 1]);

/**
 * digest_from_hex() - Parse the output of digest_to_hex().
 * @hex: the text; nothing may follow the digits
 * @out: set on success
 *
 * Return: FALSE for any other text.
 */
gboolean digest_from_hex(const char *hex, digest_t *out);

#endif
