#include <string.h>

#include <rpc/rpc.h>

#include "protocol/table_news.h"

#define ROW_MAX_BYTES 4096
#define KEY_MAX_BYTES 256
/* Beside key and value: lengths, version, kind and padding. */
#define ROW_SPARE_BYTES 32
#define HEAD_BYTES 64
#define ROWS_MAX 512

static bool_t
xdr_head(XDR *x, table_news_t *n, uint32_t *rows)
{
	uint32_t kind = PEER_TABLE, away = n->away ? 1 : 0;

	if (!xdr_uint32_t(x, &kind) || kind != PEER_TABLE ||
	    !xdr_uint32_t(x, &n->table) || !xdr_uint64_t(x, &n->from) ||
	    !xdr_uint64_t(x, &n->to) || !xdr_uint32_t(x, &away) ||
	    !xdr_uint32_t(x, rows) || *rows > ROWS_MAX)
		return FALSE;
	n->away = away != 0;
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

static guint
fit(const GPtrArray *rows, guint first)
{
	size_t room = BEACON_MAX_BYTES - HEAD_BYTES;
	guint i;

	for (i = first; i < rows->len && i - first < ROWS_MAX; i++) {
		const table_row_t *row = g_ptr_array_index(rows, i);
		size_t need = strlen(row->key) + row->len + ROW_SPARE_BYTES;

		if (need > room)
			break;
		room -= need;
	}
	return i;
}

guint
table_news_encode(table_news_t *news, guint first,
    const beacon_secret_t *secret, uint8_t *out, size_t *len)
{
	guint last = fit(news->rows, first), i;
	uint32_t n = last - first;
	table_news_t head = *news;
	XDR x;
	bool_t ok;

	if (last < news->rows->len && n > 0)
		head.to =
		    ((table_row_t *)g_ptr_array_index(news->rows, last - 1))
			->ver;
	xdrmem_create(
	    &x, (char *)out, BEACON_MAX_BYTES - HEAD_BYTES / 2, XDR_ENCODE);
	ok = xdr_head(&x, &head, &n);
	for (i = first; ok && i < last; i++)
		ok = put_row(&x, g_ptr_array_index(news->rows, i));
	*len = ok ? beacon_seal(out, xdr_getpos(&x), secret) : 0;
	xdr_destroy(&x);
	news->from = head.to;
	/* A row that no datagram holds is left out; who lacks it reads it. */
	return n == 0 && last < news->rows->len ? last + 1 : last;
}

gboolean
table_news_decode(const uint8_t *data, size_t len,
    const beacon_secret_t *secret, table_news_t *news, table_page_t *page)
{
	uint32_t n = 0, i;
	gboolean ok;
	XDR x;

	len = beacon_open(data, len, secret);
	if (len == 0)
		return FALSE;
	memset(news, 0, sizeof(*news));
	table_page_init(page);
	xdrmem_create(&x, (char *)data, (u_int)len, XDR_DECODE);
	ok = xdr_head(&x, news, &n);
	for (i = 0; ok && i < n; i++)
		ok = get_row(&x, table_page_add(page));
	xdr_destroy(&x);
	page->ver = news->to;
	if (!ok)
		table_page_finish(page);
	return ok;
}
