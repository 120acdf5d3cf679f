#include <jansson.h>

#include "base/error.h"
#include "protocol/row_codec.h"
#include "state/digest.h"

static void *
field_of(const row_field_t *f, const void *row)
{
	return (char *)(uintptr_t)row + f->offset;
}

static json_t *
encode_field(const row_field_t *f, const void *row)
{
	char hex[DIGEST_HEX_CHARS + 1];
	void *p = field_of(f, row);

	switch (f->kind) {
	case ROW_TEXT:
		return json_string(*(char **)p != NULL ? *(char **)p : "");
	case ROW_NUMBER:
		return json_integer((json_int_t) * (uint64_t *)p);
	case ROW_DECIMAL:
		return json_real(*(double *)p);
	case ROW_FLAG:
		return json_boolean(*(gboolean *)p);
	case ROW_DIGEST:
		digest_to_hex(p, hex);
		return json_string(hex);
	}
	return json_null();
}

char *
row_encode(const row_field_t *fields, size_t n, const void *row)
{
	json_t *root = json_object();
	char *text;
	size_t i;

	for (i = 0; i < n; i++)
		json_object_set_new(
		    root, fields[i].name, encode_field(&fields[i], row));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static gboolean
decode_field(const row_field_t *f, const json_t *value, void *row)
{
	void *p = field_of(f, row);

	switch (f->kind) {
	case ROW_TEXT:
		if (!json_is_string(value))
			return FALSE;
		*(char **)p = g_strdup(json_string_value(value));
		return TRUE;
	case ROW_NUMBER:
		*(uint64_t *)p = (uint64_t)json_integer_value(value);
		return json_is_integer(value);
	case ROW_DECIMAL:
		*(double *)p = json_number_value(value);
		return json_is_number(value);
	case ROW_FLAG:
		*(gboolean *)p = json_is_true(value);
		return json_is_boolean(value);
	case ROW_DIGEST:
		return json_is_string(value) &&
		    digest_from_hex(json_string_value(value), p);
	}
	return FALSE;
}

gboolean
row_decode(const row_field_t *fields, size_t n, const char *text, void *row,
    GError **err)
{
	json_t *root = json_loads(text, JSON_REJECT_DUPLICATES, NULL);
	size_t i;

	for (i = 0; root != NULL && i < n; i++) {
		if (!decode_field(
			&fields[i], json_object_get(root, fields[i].name), row))
			break;
	}
	if (root != NULL && i == n) {
		json_decref(root);
		return TRUE;
	}
	error_set(err, ERROR_INVALID, "row.decode", "store", "expected %s",
	    root == NULL ? "an object" : fields[i].name);
	row_clear(fields, i, row);
	json_decref(root);
	return FALSE;
}

void
row_clear(const row_field_t *fields, size_t n, void *row)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (fields[i].kind == ROW_TEXT)
			g_clear_pointer(
			    (char **)field_of(&fields[i], row), g_free);
	}
}
