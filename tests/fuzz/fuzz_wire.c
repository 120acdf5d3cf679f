#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include "platform/wire_entries.h"
#include "platform/wire_rows.h"
#include "protocol/beacon.h"
#include "protocol/fleet_rows.h"
#include "protocol/suspect_msg.h"
#include "protocol/summary_msg.h"
#include "protocol/table_update.h"
#include "protocol/token_msg.h"

/*
 * Input from the store or a peer is either refused with a reason or decoded
 * completely. Nothing else is promised, so the sanitizers are the oracle. The
 * first byte selects the decoder.
 */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
try_order(table_row_t *row, const char *key)
{
	GError *err = NULL;
	order_t order;

	row->key = (char *)key;
	if (wire_order_decode(row, &order, &err))
		order_finish(&order);
	else
		g_assert(err != NULL);
	g_clear_error(&err);
}

static void
try_server(table_row_t *row)
{
	wire_server_t *memory;
	registry_row_t entry;
	GError *err = NULL;

	row->key = (char *)"i-1";
	if (wire_server_decode(row, &entry, &memory, &err)) {
		g_assert(entry.slots > 0 && entry.cold_ms >= 0);
		wire_server_free(memory);
	} else {
		g_assert(err != NULL);
	}
	g_clear_error(&err);
}

static void
try_fleet(table_row_t *row, const char *key)
{
	GError *err = NULL;
	fleet_rows_t r;

	row->key = (char *)key;
	if (fleet_rows_decode(row, &r, &err))
		fleet_rows_clear(&r);
	g_clear_error(&err);
}

static void
try_page(const char *text, size_t len)
{
	GError *err = NULL;
	table_page_t page;

	if (wire_rows_decode(text, len, &page, &err))
		table_page_finish(&page);
	g_clear_error(&err);
}

typedef struct {
	const uint8_t *data;
	size_t len;
} bytes_t;

static bool_t
xdr_raw(XDR *x, void *msg)
{
	const bytes_t *b = msg;

	return xdr_opaque(x, (char *)b->data, (u_int)b->len);
}

static void
try_summaries(const uint8_t *data, size_t len, const peer_secret_t *secret)
{
	GArray *summaries = g_array_new(FALSE, FALSE, sizeof(fleet_summary_t));
	summary_msg_t msg;
	guint i;

	(void)summary_msg_decode(data, len, secret, &msg, summaries);
	for (i = 0; i < summaries->len; i++)
		fleet_summary_finish(
		    &g_array_index(summaries, fleet_summary_t, i));
	g_array_free(summaries, TRUE);
}

/* Adds a valid keyed hash, so that the decoders behind the check are reached.
 */
static void
try_datagram(const uint8_t *body, size_t size, int kind)
{
	static const peer_secret_t secret = {{7}};
	uint8_t data[1024];
	table_update_t news;
	table_page_t page;
	fleet_status_t n;
	bytes_t bytes = {body, size};
	suspect_msg_t suspects;
	token_msg_t msg;
	size_t len;

	len = peer_msg_write(xdr_raw, &bytes, &secret, data, sizeof(data));
	if (kind == 0) {
		fleet_status_init(&n);
		(void)beacon_decode(data, len, &secret, &n);
		fleet_status_finish(&n);
	} else if (kind == 1) {
		if (table_update_decode(data, len, &secret, &news, &page))
			table_page_finish(&page);
	} else if (kind == 2) {
		(void)token_msg_decode(data, len, &secret, &msg);
	} else if (kind == 4) {
		try_summaries(data, len, &secret);
	} else {
		(void)suspect_msg_decode(data, len, &secret, &suspects);
	}
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text;
	table_row_t row = {.ver = 1};

	if (size < 1)
		return 0;
	text = g_malloc(size);
	memcpy(text, data + 1, size - 1);
	text[size - 1] = '\0';
	row.value = text;
	row.len = size - 1;
	switch (data[0] % 11) {
	case 0:
		try_order(&row, "config");
		break;
	case 1:
		try_order(&row, "rollout/s");
		break;
	case 2:
		try_server(&row);
		break;
	case 3:
		try_fleet(&row, "host/h");
		break;
	case 4:
		try_fleet(&row, "shift/s");
		break;
	case 5:
		try_page(text, size - 1);
		break;
	default:
		try_datagram(data + 1, size - 1, data[0] % 11 - 6);
		break;
	}
	g_free(text);
	return 0;
}
