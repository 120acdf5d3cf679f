#ifndef PROTOCOL_ROW_CODEC_H
#define PROTOCOL_ROW_CODEC_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/*
 * Values of the store's rows: JSON objects, converted from and to a struct by a
 * table of its fields. Unknown members are ignored, so that a row written by a
 * later build can be read.
 */

typedef enum {
	ROW_TEXT,    /* char *, allocated */
	ROW_NUMBER,  /* uint64_t */
	ROW_DECIMAL, /* double */
	ROW_FLAG,    /* gboolean */
	ROW_DIGEST,  /* digest_t, in hexadecimal */
} row_kind_t;

typedef struct {
	const char *name;
	row_kind_t kind;
	size_t offset;
} row_field_t;

#define ROW_FIELD(type, member, kind) \
	{ \
#member, kind, offsetof(type, member) \
	}

/**
 * row_encode() - Encode a struct as the value of a row.
 * @fields: table of its fields
 * @n: length of the table
 * @row: the struct
 *
 * Return: JSON text, to be freed with free().
 */
char *row_encode(const row_field_t *fields, size_t n, const void *row);

/**
 * row_decode() - Decode a struct from the value of a row.
 * @fields: table of its fields
 * @n: length of the table
 * @text: the value
 * @row: zeroed struct; on failure it owns no memory
 * @err: ERROR_INVALID, with the name of the invalid field
 */
gboolean row_decode(const row_field_t *fields, size_t n, const char *text,
    void *row, GError **err);

/**
 * row_clear() - Free the memory that row_decode() allocated.
 * @fields: table of its fields
 * @n: length of the table
 * @row: the struct
 */
void row_clear(const row_field_t *fields, size_t n, void *row);

#endif
