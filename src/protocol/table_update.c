#include <string.h>

#include "coordination/store_era.h"
#include "protocol/table_update.h"

#define ROW_MAX_BYTES 4096
#define KEY_MAX_BYTES 256
/* Bound for a row without key and value: lengths, version, kind, padding. */
#define ROW_OVERHEAD_BYTES 32
#define HEAD_BYTES 64
#define ROWS_MAX 512
/* Flag 1 belongs to earlier versions. */
#define FLAG_RELAY 2
/* The other bits: the time for which entries may have lapsed. */
#define LAPSE_SHIFT 8
#define LAPSE_UNIT_MS 10

/* A datagram: rows of an update to encode, or of a page to decode into. */
typedef struct {
	table_update_t *head;
	uint32_t rows;
	guint first;
	table_page_t *page;
} datagram_body_t;

static bool_t
xdr_head(XDR *x, table_update_t *update, uint32_t *rows)
{
	uint32_t kind = PEER_TABLE;
	msec_t lapse_ms = CLAMP(update->lapse_left_ms, 0, TABLE_LAPSE_MAX_MS);
	uint32_t flags = (update->relay ? FLAG_RELAY : 0) |
	    ((uint32_t)(lapse_ms / LAPSE_UNIT_MS) << LAPSE_SHIFT);

	if (!xdr_uint32_t(x, &kind) || kind != PEER_TABLE ||
	    !xdr_uint32_t(x, &update->table) ||
	    !xdr_uint64_t(x, &update->from) || !xdr_uint64_t(x, &update->to) ||
	    !xdr_uint32_t(x, &flags) || !xdr_uint32_t(x, rows) ||
	    *rows > ROWS_MAX)
		return FALSE;
	update->lapse_left_ms = MIN(
	    (msec_t)(flags >> LAPSE_SHIFT) * LAPSE_UNIT_MS, TABLE_LAPSE_MAX_MS);
	update->relay = (flags & FLAG_RELAY) != 0;
	return TRUE;
}

static bool_t
put_row(XDR *x, table_row_t *row)
{
	uint32_t present = row->value != NULL;
	u_int len = (u_int)row->len;

	return xdr_string(x, &row->key, KEY_MAX_BYTES) &&
	    xdr_uint64_t(x, &row->ver) && xdr_uint32_t(x, &present) &&
	    (!present || xdr_bytes(x, &row->value, &len, ROW_MAX_BYTES));
}

static gboolean
get_row(XDR *x, table_row_t *row)
{
	char *key = NULL, *value = NULL;
	uint32_t present = 0;
	u_int len = 0;
	gboolean ok = xdr_string(x, &key, KEY_MAX_BYTES) &&
	    xdr_uint64_t(x, &row->ver) && xdr_uint32_t(x, &present) &&
	    (!present || xdr_bytes(x, &value, &len, ROW_MAX_BYTES));

	row->key = g_strdup(key);
	if (ok && present) {
		row->value = g_malloc(len + 1);
		if (len > 0)
			memcpy(row->value, value, len);
		row->value[len] = '\0';
		row->len = len;
	}
	free(key);
	free(value);
	return ok;
}

/* Bytes of a row, or more than any datagram holds if it can't be sent. */
static size_t
row_size(const table_row_t *row)
{
	size_t key = strlen(row->key);

	if (key > KEY_MAX_BYTES || row->len > ROW_MAX_BYTES)
		return PEER_MSG_MAX_BYTES;
	return key + row->len + ROW_OVERHEAD_BYTES;
}

static uint64_t
row_ver(const GPtrArray *rows, guint i)
{
	return ((const table_row_t *)g_ptr_array_index(rows, i))->ver;
}

/* Whether a datagram that ends between two rows could not say up to which
 * version it leads. */
static gboolean
are_together(const GPtrArray *rows, guint i)
{
	const table_row_t *row = g_ptr_array_index(rows, i);
	const table_row_t *before = g_ptr_array_index(rows, i - 1);

	if (row->value == NULL || before->value == NULL)
		return row->value == before->value;
	return row->ver == before->ver;
}

/* The end of the rows from @first on that fit. */
static guint
fitting_rows_end(const GPtrArray *rows, guint first)
{
	size_t room = PEER_MSG_MAX_BYTES - HEAD_BYTES;
	guint i;

	for (i = first; i < rows->len && i - first < ROWS_MAX; i++) {
		size_t need = row_size(g_ptr_array_index(rows, i));

		if (need > room)
			break;
		room -= need;
	}
	while (i > first && i < rows->len && are_together(rows, i))
		i--;
	return i;
}

/* Skips rows that can't be sent. */
static guint
same_version_end(const GPtrArray *rows, guint first)
{
	guint i = first + 1;

	while (i < rows->len && row_ver(rows, i) == row_ver(rows, first))
		i++;
	return i;
}

static bool_t
xdr_body(XDR *x, void *msg)
{
	datagram_body_t *b = msg;
	uint32_t i;

	if (!xdr_head(x, b->head, &b->rows))
		return FALSE;
	for (i = 0; i < b->rows; i++) {
		if (x->x_op == XDR_ENCODE
			? !put_row(
			      x, g_ptr_array_index(b->head->rows, b->first + i))
			: !get_row(x, table_page_add(b->page)))
			return FALSE;
	}
	return TRUE;
}

guint
table_update_encode(table_update_t *update, guint first,
    const peer_secret_t *secret, uint8_t *out, size_t *len)
{
	guint last = fitting_rows_end(update->rows, first);
	table_update_t head = *update;
	datagram_body_t body = {&head, last - first, first, NULL};
	gboolean too_big = last == first && last < update->rows->len;

	if (too_big) {
		const table_row_t *row = g_ptr_array_index(update->rows, first);

		/* The receivers see that they miss a row and ask the store. */
		last = row->value != NULL
		    ? same_version_end(update->rows, first)
		    : update->rows->len;
		head.from = row->value != NULL ? row->ver : update->to;
		head.to = head.from;
	} else if (last < update->rows->len) {
		head.to = row_ver(update->rows, last) - 1;
	}
	*len = peer_msg_write(xdr_body, &body, secret, out, PEER_MSG_MAX_BYTES);
	update->from = head.to;
	return last;
}

gboolean
table_update_decode(const uint8_t *data, size_t len,
    const peer_secret_t *secret, table_update_t *update, table_page_t *page)
{
	datagram_body_t body = {update, 0, 0, page};
	gboolean ok;

	memset(update, 0, sizeof(*update));
	table_page_init(page);
	ok = peer_msg_read(xdr_body, &body, secret, data, len);
	page->ver = update->to;
	if (!ok)
		table_page_finish(page);
	return ok;
}

table_update_verdict_t
table_update_judge(const table_update_t *update, uint64_t ver)
{
	if (store_era_of(update->to) < store_era_of(ver))
		return TABLE_UPDATE_OLD;
	return update->from > ver ? TABLE_UPDATE_GAP : TABLE_UPDATE_JOINS;
}
