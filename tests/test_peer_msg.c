#include <string.h>

#include "protocol/beacon.h"
#include "protocol/fleet_rows.h"
#include "protocol/suspect_msg.h"
#include "protocol/table_update.h"
#include "protocol/token_msg.h"
#include "state/registry.h"
#include "suite.h"

static const peer_secret_t secret = {{1, 2, 3}};
static const peer_secret_t foreign_secret = {{9}};

static void
add(GArray *amounts, const char *name, uint32_t amount)
{
	const fleet_amount_t a = {fleet_name(registry_hash(name)), amount};

	g_array_append_val(amounts, a);
}

static size_t
write_beacon(uint8_t *data)
{
	fleet_status_t n;
	size_t len;

	fleet_status_init(&n);
	n.host = registry_hash("host-1");
	n.incarnation = 77;
	n.seq = 5;
	n.ready = TRUE;
	n.reaches_store = TRUE;
	n.config = 12;
	n.orders = 13;
	add(n.demands, "school", 40);
	add(n.loads, "i-1", 3);
	add(n.loads, "i-2", 999999);
	n.nshifts = 1;
	n.shifts[0] = (fleet_shift_t){.service = 1, .to = 2, .old_running = 4};
	n.shifts[0].routes[3].new_version = (judge_count_t){20, {2, 1}};
	len = beacon_encode(&n, &secret, data);
	fleet_status_finish(&n);
	return len;
}

static void
test_beacon(void)
{
	uint8_t data[PEER_MSG_MAX_BYTES];
	size_t len = write_beacon(data);
	fleet_status_t n;

	ck_assert_uint_gt(len, 0);
	ck_assert_uint_eq(peer_msg_kind(data, len), PEER_BEACON);
	fleet_status_init(&n);
	ck_assert(beacon_decode(data, len, &secret, &n));
	fleet_amounts_sort(n.loads);
	ck_assert(n.host == registry_hash("host-1"));
	ck_assert_uint_eq(n.incarnation, 77);
	ck_assert(n.ready && !n.leaving && n.reaches_store);
	ck_assert_uint_eq(n.orders, 13);
	ck_assert_uint_eq(fleet_amount(n.demands, registry_hash("school")), 40);
	ck_assert_uint_eq(fleet_amount(n.loads, registry_hash("i-1")), 3);
	ck_assert_uint_eq(
	    fleet_amount(n.loads, registry_hash("i-2")), FLEET_AMOUNT_MAX);
	ck_assert_uint_eq(fleet_amount(n.loads, registry_hash("i-3")), 0);
	ck_assert_uint_eq(n.shifts[0].old_running, 4);
	ck_assert_uint_eq(n.shifts[0].routes[3].new_version.bad[0], 2);
	fleet_status_finish(&n);
}

/* Altered or truncated datagrams and those of another fleet are dropped. */
static void
test_altered_beacons(void)
{
	uint8_t data[PEER_MSG_MAX_BYTES];
	size_t len = write_beacon(data), i;
	fleet_status_t n;

	fleet_status_init(&n);
	ck_assert(!beacon_decode(data, len, &foreign_secret, &n));
	for (i = 0; i < len; i++) {
		data[i] ^= 0x10;
		ck_assert(!beacon_decode(data, len, &secret, &n));
		data[i] ^= 0x10;
		ck_assert(!beacon_decode(data, i, &secret, &n));
	}
	ck_assert(beacon_decode(data, len, &secret, &n));
	fleet_status_finish(&n);
}

static void
test_token(void)
{
	uint8_t data[TOKEN_MSG_BYTES];
	token_msg_t m = {.kind = PEER_TOKEN_ANSWER,
	    .id = 9,
	    .host = 5,
	    .name = 6,
	    .granted = 0,
	    .wait_ms = 120,
	    .is_server = 1,
	    .rate = 4700,
	    .age_ms = 40,
	    .offloaded = 250};
	token_msg_t decoded;
	size_t len = token_msg_encode(&m, &secret, data);

	ck_assert_uint_le(len, sizeof(data));
	ck_assert(token_msg_decode(data, len, &secret, &decoded));
	ck_assert_uint_eq(decoded.id, 9);
	ck_assert_uint_eq(decoded.wait_ms, 120);
	ck_assert_uint_eq(decoded.is_server, 1);
	ck_assert_uint_eq(decoded.rate, 4700);
	ck_assert_uint_eq(decoded.age_ms, 40);
	ck_assert_uint_eq(decoded.offloaded, 250);
	ck_assert(!token_msg_decode(data, len, &foreign_secret, &decoded));
}

/*
 * A row whose endpoint name is too long is dropped. A row without an endpoint
 * is decoded without one.
 */
static void
test_suspects(void)
{
	uint8_t data[PEER_MSG_MAX_BYTES];
	char *longest = g_strnfill(SUSPECT_MSG_NAME_BYTES, 'n');
	char *too_long = g_strnfill(SUSPECT_MSG_NAME_BYTES + 1, 'n');
	suspect_msg_t m = {.host = 7, .count = SUSPECT_MSG_ROWS}, decoded;
	size_t len;
	guint i;

	for (i = 0; i < m.count; i++) {
		m.rows[i].kind = POISON_EVENT_REFUSED;
		m.rows[i].endpoint = longest;
		m.rows[i].left_ms = 1000 + i;
		memset(m.rows[i].fingerprint.bytes, (int)i, POISON_DIGEST_SIZE);
	}
	m.rows[3].endpoint = NULL;
	m.rows[4].endpoint = too_long;
	len = suspect_msg_encode(&m, &secret, data);
	ck_assert(!suspect_msg_decode(data, len, &foreign_secret, &decoded));
	ck_assert(suspect_msg_decode(data, len, &secret, &decoded));
	ck_assert_uint_eq(decoded.count, SUSPECT_MSG_ROWS - 1);
	ck_assert_ptr_null(decoded.rows[3].endpoint);
	ck_assert(strcmp(decoded.rows[4].endpoint, longest) == 0);
	ck_assert(decoded.rows[4].left_ms == 1005);
	ck_assert(memcmp(&decoded.rows[4].fingerprint, &m.rows[4].fingerprint,
		      32) == 0);
	g_free(longest);
	g_free(too_long);
}

static void
check_rows(const table_page_t *page, const table_page_t *from, guint first)
{
	guint i;

	for (i = 0; i < page->rows->len; i++) {
		const table_row_t *a = g_ptr_array_index(page->rows, i);
		const table_row_t *b = g_ptr_array_index(from->rows, first + i);

		ck_assert_str_eq(a->key, b->key);
		ck_assert_uint_eq(a->ver, b->ver);
		ck_assert(g_strcmp0(a->value, b->value) == 0);
	}
}

/*
 * Rows that don't fit in one datagram are sent in several: each starts at the
 * version at which the one before ends.
 */
static void
test_table_update(void)
{
	uint8_t data[PEER_MSG_MAX_BYTES];
	table_page_t from, page;
	table_update_t update = {
	    .table = 1, .from = 10, .to = 400, .lapse_left_ms = 1230};
	table_update_t decoded;
	uint64_t expected_from = 10;
	guint i, next = 0, seen = 0, datagrams = 0;
	size_t len;

	table_page_init(&from);
	for (i = 0; i < 100; i++) {
		table_row_t *row = table_page_add(&from);

		row->key = g_strdup_printf("i-%u", i);
		row->ver = 100 + i;
		if (i % 5 != 0) {
			row->value = g_strnfill(250, 'x');
			row->len = 250;
		}
	}
	update.rows = from.rows;
	do {
		next = table_update_encode(&update, next, &secret, data, &len);
		ck_assert_uint_gt(len, 0);
		ck_assert(
		    table_update_decode(data, len, &secret, &decoded, &page));
		ck_assert_uint_eq(decoded.table, 1);
		ck_assert_int_eq(decoded.lapse_left_ms, 1230);
		ck_assert_uint_eq(decoded.from, expected_from);
		expected_from = decoded.to;
		check_rows(&page, &from, seen);
		seen += page.rows->len;
		table_page_finish(&page);
		datagrams++;
	} while (next < from.rows->len);
	ck_assert_uint_eq(seen, 100);
	ck_assert_uint_eq(expected_from, 400);
	ck_assert_uint_gt(datagrams, 1);
	table_page_finish(&from);
}

/* Rows that no datagram holds, by the bytes of key and value; a removed row has
 * no value. */
static const struct {
	size_t key, value;
} big_rows[] = {
    {3, 2 * PEER_MSG_MAX_BYTES},
    {3, 4097},
    {3, 7000},
    {257, 10},
    {257, 0},
    {5000, 0},
};

/* A host that does not get a row learns that it misses a change. */
static void
check_big_row(size_t key_len, size_t value_len)
{
	uint8_t data[PEER_MSG_MAX_BYTES];
	uint64_t known = 10;
	table_update_t update = {.table = 1, .from = 10, .to = 50};
	table_update_t decoded;
	table_page_t from, page;
	gboolean missed = FALSE;
	guint i, next = 0;
	size_t len;

	table_page_init(&from);
	for (i = 0; i < 3; i++) {
		table_row_t *row = table_page_add(&from);

		row->key = i == 1 ? g_strnfill(key_len, 'k')
				  : g_strdup_printf("i-%u", i);
		row->ver = 20 + i;
		row->len = i == 1 ? value_len : 10;
		if (row->len > 0)
			row->value = g_strnfill(row->len, 'x');
	}
	update.rows = from.rows;
	do {
		next = table_update_encode(&update, next, &secret, data, &len);
		ck_assert_msg(
		    table_update_decode(data, len, &secret, &decoded, &page),
		    "key of %zu, value of %zu", key_len, value_len);
		missed |= decoded.from > known;
		if (decoded.from <= known)
			known = decoded.to;
		table_page_finish(&page);
	} while (next < from.rows->len);
	ck_assert(missed);
	ck_assert_uint_eq(known, 20);
	table_page_finish(&from);
}

static void
test_big_row(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(big_rows); i++)
		check_big_row(big_rows[i].key, big_rows[i].value);
}

static void
test_fleet_rows(void)
{
	static const struct {
		const char *key, *value;
		gboolean ok;
	} rows[] = {
	    {"host/h1",
		"{\"callers\":\"1.1.1.1:1\",\"peer\":\"1.1.1.1:2\","
		"\"region\":\"n\",\"domain\":\"d\",\"incarnation\":5}",
		TRUE},
	    {"host/h1", "{\"callers\":\"1.1.1.1:1\"}", FALSE},
	    {"host/h1", "{", FALSE},
	    {"host/h1", NULL, TRUE},
	    {"shift/s",
		"{\"to\":\"v2\",\"began\":5,\"duration_ms\":9,\"state\":1}",
		TRUE},
	    {"shift/s",
		"{\"to\":\"v2\",\"began\":5,\"duration_ms\":9,\"state\":7}",
		FALSE},
	    {"shift/s",
		"{\"to\":\"v2\",\"began\":5,\"duration_ms\":0,\"state\":1}",
		FALSE},
	    {"secret", "{\"secret\":\"00\"}", FALSE},
	    {"other", "?", TRUE},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		table_row_t row = {.key = (char *)rows[i].key,
		    .value = (char *)rows[i].value,
		    .len = rows[i].value != NULL ? strlen(rows[i].value) : 0};
		GError *err = NULL;
		fleet_rows_t r;
		gboolean ok = fleet_rows_decode(&row, &r, &err);

		ck_assert_msg(
		    ok == rows[i].ok, "%s %s", rows[i].key, rows[i].value);
		if (ok)
			fleet_rows_clear(&r);
		g_clear_error(&err);
	}
}

static void
test_secret_row(void)
{
	char *text = fleet_rows_secret(&secret);
	table_row_t row = {
	    .key = (char *)"secret", .value = text, .len = strlen(text)};
	fleet_rows_t r;

	ck_assert(fleet_rows_decode(&row, &r, NULL));
	ck_assert_mem_eq(r.u.secret.bytes, secret.bytes, sizeof(secret.bytes));
	fleet_rows_clear(&r);
	g_free(text);
}

static const suite_case_t cases[] = {
    {"beacons", test_beacon},
    {"altered and foreign beacons", test_altered_beacons},
    {"token answers", test_token},
    {"requests that crash servers", test_suspects},
    {"updates of a table", test_table_update},
    {"row too big for a datagram", test_big_row},
    {"rows of the fleet", test_fleet_rows},
    {"the secret", test_secret_row},
};

int
main(void)
{
	return suite_run("peer_msg", cases, G_N_ELEMENTS(cases));
}
