#include <string.h>

#include <sodium.h>

#include "state/key_text.h"

static const char alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
			       "abcdefghijklmnopqrstuvwxyz0123456789-_";

void
key_text_make(const uint8_t *random, char *out)
{
	size_t prefix = strlen(KEY_TEXT_PREFIX);

	g_strlcpy(out, KEY_TEXT_PREFIX, prefix + 1);
	sodium_bin2base64(out + prefix, KEY_RANDOM_CHARS + 1, random,
	    KEY_RANDOM_BYTES, sodium_base64_VARIANT_URLSAFE_NO_PADDING);
}

static gboolean
begins_with_key(const char *data, size_t len)
{
	size_t i;

	if (len < KEY_TEXT_CHARS ||
	    memcmp(data, KEY_TEXT_PREFIX, strlen(KEY_TEXT_PREFIX)) != 0)
		return FALSE;
	for (i = strlen(KEY_TEXT_PREFIX); i < KEY_TEXT_CHARS; i++) {
		if (data[i] == '\0' || strchr(alphabet, data[i]) == NULL)
			return FALSE;
	}
	return TRUE;
}

gboolean
key_text_valid(const char *text)
{
	size_t len = strlen(text);

	return len == KEY_TEXT_CHARS && begins_with_key(text, len);
}

const char *
key_text_find(const char *data, size_t len)
{
	const char *end = data + len;
	const char *at = data;

	while ((at = memmem(at, (size_t)(end - at), KEY_TEXT_PREFIX,
		    strlen(KEY_TEXT_PREFIX))) != NULL) {
		if (begins_with_key(at, (size_t)(end - at)))
			return at;
		at++;
	}
	return NULL;
}
