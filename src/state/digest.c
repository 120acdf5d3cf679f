#include <string.h>

#include <sodium.h>

#include "state/digest.h"

void
digest_of(const void *data, size_t len, digest_t *out)
{
	crypto_generichash(out->bytes, DIGEST_BYTES, data, len, NULL, 0);
}

gboolean
digest_equal(const digest_t *a, const digest_t *b)
{
	return sodium_memcmp(a->bytes, b->bytes, DIGEST_BYTES) == 0;
}

void
digest_to_hex(const digest_t *d, char out[DIGEST_HEX_CHARS + 1])
{
	sodium_bin2hex(out, DIGEST_HEX_CHARS + 1, d->bytes, DIGEST_BYTES);
}

gboolean
digest_from_hex(const char *hex, digest_t *out)
{
	size_t got;

	if (strlen(hex) != DIGEST_HEX_CHARS)
		return FALSE;
	if (sodium_hex2bin(out->bytes, DIGEST_BYTES, hex, DIGEST_HEX_CHARS,
		NULL, &got, NULL) != 0)
		return FALSE;
	return got == DIGEST_BYTES;
}
