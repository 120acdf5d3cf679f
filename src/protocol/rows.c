#include "protocol/rows.h"

static const row_field_t host_fields[] = {
    ROW_FIELD(host_row_t, incarnation, ROW_NUMBER),
    ROW_FIELD(host_row_t, state, ROW_NUMBER),
    ROW_FIELD(host_row_t, token, ROW_NUMBER),
    ROW_FIELD(host_row_t, rpc, ROW_TEXT),
    ROW_FIELD(host_row_t, callers, ROW_TEXT),
    ROW_FIELD(host_row_t, region, ROW_TEXT),
    ROW_FIELD(host_row_t, domain, ROW_TEXT),
};

static const row_field_t incarnation_fields[] = {
    ROW_FIELD(incarnation_row_t, last, ROW_NUMBER),
};

static const row_field_t key_fields[] = {
    ROW_FIELD(key_store_row_t, workspace, ROW_TEXT),
    ROW_FIELD(key_store_row_t, withdrawn, ROW_FLAG),
    ROW_FIELD(key_store_row_t, token, ROW_NUMBER),
};

static const row_field_t config_fields[] = {
    ROW_FIELD(config_row_t, version, ROW_NUMBER),
    ROW_FIELD(config_row_t, digest, ROW_DIGEST),
    ROW_FIELD(config_row_t, token, ROW_NUMBER),
};

static const row_field_t fence_fields[] = {
    ROW_FIELD(fence_row_t, holder, ROW_TEXT),
    ROW_FIELD(fence_row_t, incarnation, ROW_NUMBER),
    ROW_FIELD(fence_row_t, epoch, ROW_NUMBER),
    ROW_FIELD(fence_row_t, released, ROW_FLAG),
};

static const row_field_t renewal_fields[] = {
    ROW_FIELD(renewal_row_t, token, ROW_NUMBER),
};

static const row_field_t slot_fields[] = {
    ROW_FIELD(slot_row_t, host, ROW_TEXT),
    ROW_FIELD(slot_row_t, incarnation, ROW_NUMBER),
};

static const row_field_t marks_fields[] = {
    ROW_FIELD(marks_row_t, versions, ROW_TEXT),
};

static const row_field_t once_fields[] = {
    ROW_FIELD(once_store_row_t, token, ROW_NUMBER),
    ROW_FIELD(once_store_row_t, request, ROW_DIGEST),
    ROW_FIELD(once_store_row_t, state, ROW_NUMBER),
    ROW_FIELD(once_store_row_t, status, ROW_NUMBER),
};

#define ROW_TYPE(fields) \
	{ \
		fields, G_N_ELEMENTS(fields) \
	}

const row_type_t row_host = ROW_TYPE(host_fields);
const row_type_t row_incarnation = ROW_TYPE(incarnation_fields);
const row_type_t row_key = ROW_TYPE(key_fields);
const row_type_t row_config = ROW_TYPE(config_fields);
const row_type_t row_fence = ROW_TYPE(fence_fields);
const row_type_t row_renewal = ROW_TYPE(renewal_fields);
const row_type_t row_slot = ROW_TYPE(slot_fields);
const row_type_t row_marks = ROW_TYPE(marks_fields);
const row_type_t row_once = ROW_TYPE(once_fields);

char *
rows_encode(const row_type_t *type, const void *row)
{
	return row_encode(type->fields, type->n, row);
}

gboolean
rows_decode(const row_type_t *type, const char *text, void *row, GError **err)
{
	return row_decode(type->fields, type->n, text, row, err);
}

void
rows_clear(const row_type_t *type, void *row)
{
	row_clear(type->fields, type->n, row);
}
