#include <sys/queue.h>

#include <signal.h>
#include <string.h>

#include "platform/wire_entries.h"
#include "platform/wire_rows.h"
#include "store_world.h"
#include "suite.h"

/*
 * LOST, CONFIG: another writer leaves an odd entry in a table that the hosts
 * follow, and they end or stop following the table.
 */

#define PORT 22013
#define QUIET_MS 700 /* some ticks of the host */
#define DEPTH 15000  /* of nested values, within the store's 64 KB a row */
#define LONG 40000   /* characters of a long text */

#define SERVER(slots, warmup, address, more) \
	"{\"service\":\"clips\",\"address\":\"" address "\",\"zone\":\"n1\"," \
	"\"version\":\"v1\",\"slots\":" slots ",\"state\":\"ready\"," \
	"\"warmup_left_ms\":" warmup ",\"sequence\":1" more "}"
#define GOOD SERVER("4", "0", "10.0.0.9:80", "")
#define PLAIN "10.0.0.1:80"
#define INT64_LARGEST "9223372036854775807"
#define HOST(callers, peer, numbers) \
	"{\"callers\":\"" callers "\",\"peer\":\"" peer "\"," \
	"\"region\":\"north\",\"domain\":\"n1\"," numbers "}"
#define SHIFT(began, duration) \
	"{\"to\":\"v2\",\"began\":" began ",\"duration_ms\":" duration "," \
	"\"state\":0}"

/* A row; '%' stands for @filler, DEPTH or LONG times. */
static const struct {
	const char *table, *key, *value;
	const char *filler;
	guint times;
} odd[] = {
    {"servers", "nested-list", "%", "[", DEPTH},
    {"servers", "nested-closed", "%1", "[", DEPTH},
    {"servers", "nested-objects", "%", "{\"a\":", DEPTH / 5},
    {"servers", "nested-member", SERVER("4", "0", PLAIN, ",\"x\":%"), "[",
	DEPTH},
    {"servers", "slots-real", SERVER("1e300", "0", PLAIN, ""), NULL, 0},
    {"servers", "slots-over", SERVER("1e999", "0", PLAIN, ""), NULL, 0},
    {"servers", "slots-digits", SERVER("%", "0", PLAIN, ""), "9", LONG},
    {"servers", "slots-64", SERVER(INT64_LARGEST, "0", PLAIN, ""), NULL, 0},
    {"servers", "slots-32", SERVER("2147483647", "0", PLAIN, ""), NULL, 0},
    {"servers", "slots-0", SERVER("0", "0", PLAIN, ""), NULL, 0},
    {"servers", "slots-negative", SERVER("-1", "0", PLAIN, ""), NULL, 0},
    {"servers", "slots-text", SERVER("\"4\"", "0", PLAIN, ""), NULL, 0},
    {"servers", "slots-null", SERVER("null", "0", PLAIN, ""), NULL, 0},
    {"servers", "warmup-64", SERVER("4", INT64_LARGEST, PLAIN, ""), NULL, 0},
    {"servers", "warmup-real", SERVER("4", "1e300", PLAIN, ""), NULL, 0},
    {"servers", "born-digits",
	SERVER("4", "0", PLAIN, ",\"born\":99999999999999999999"), NULL, 0},
    {"servers", "born-real", SERVER("4", "0", PLAIN, ",\"born\":1.5"), NULL, 0},
    {"servers", "port-over", SERVER("4", "0", "10.0.0.1:65536", ""), NULL, 0},
    {"servers", "port-digits", SERVER("4", "0", "10.0.0.1:%", ""), "9", LONG},
    {"servers", "port-0", SERVER("4", "0", "10.0.0.1:0", ""), NULL, 0},
    {"servers", "port-negative", SERVER("4", "0", "10.0.0.1:-80", ""), NULL, 0},
    {"servers", "port-plus", SERVER("4", "0", "10.0.0.1:+80", ""), NULL, 0},
    {"servers", "port-none", SERVER("4", "0", "10.0.0.1", ""), NULL, 0},
    {"servers", "address-name", SERVER("4", "0", "host:80", ""), NULL, 0},
    {"servers", "address-none", SERVER("4", "0", "", ""), NULL, 0},
    {"servers", "no-object", "7", NULL, 0},
    {"servers", "no-json", "\x01\xff\xfe", NULL, 0},
    {"servers", "empty", "", NULL, 0},
    {"servers", "twice", "{\"slots\":1,\"slots\":2}", NULL, 0},
    {"fleet", "host/nested", "%", "[", DEPTH},
    {"fleet", "host/port",
	HOST("1.1.1.1:99999", "1.1.1.1:99999", "\"incarnation\":1"), NULL, 0},
    {"fleet", "host/no-address", HOST("x", "y", "\"incarnation\":1"), NULL, 0},
    {"fleet", "host/numbers",
	HOST("1.1.1.1:1", "1.1.1.1:2",
	    "\"incarnation\":" INT64_LARGEST ",\"strength\":2147483647,"
	    "\"joined_ms\":" INT64_LARGEST),
	NULL, 0},
    {"fleet", "host/left",
	HOST("1.1.1.1:1", "1.1.1.1:2",
	    "\"incarnation\":1,\"joined_ms\":1,\"left_ms\":" INT64_LARGEST),
	NULL, 0},
    {"fleet", "host/negative",
	HOST("1.1.1.1:1", "1.1.1.1:2", "\"incarnation\":-5"), NULL, 0},
    {"fleet", "shift/duration", SHIFT("1", INT64_LARGEST), NULL, 0},
    {"fleet", "shift/began", SHIFT("-" INT64_LARGEST, "9000"), NULL, 0},
    {"fleet", "shift/nested", "%", "[", DEPTH},
    {"fleet", "secret", "{\"secret\":\"%\"}", "00", LONG / 2},
    {"op", "rollout/clips", "{\"to\":\"v2\",\"duration_s\":1e300}", NULL, 0},
    {"op", "rollout/nested", "%", "[", DEPTH},
    {"op", "config", "%", "[", DEPTH},
    {"op", "evacuate/nested", "%", "[", DEPTH},
};

static world_t world;
static store_host_t host;

static void
put_odd(size_t i)
{
	GString *value = g_string_new(NULL);
	const char *c;
	guint n;

	for (c = odd[i].value; *c != '\0'; c++) {
		if (*c != '%')
			g_string_append_c(value, *c);
		for (n = 0; *c == '%' && n < odd[i].times; n++)
			g_string_append(value, odd[i].filler);
	}
	soak_store_put(&world.store, odd[i].table, odd[i].key, value->str);
	g_string_free(value, TRUE);
}

/* A good entry is read, and the host reads each table. */
static void
check_follows(const char *id, const char *after)
{
	msec_t until = clock_now() + STORE_WORLD_BOUND_MS;

	soak_store_put(&world.store, WIRE_TABLE_SERVERS, id, GOOD);
	while (g_hash_table_lookup(host.view.registry.servers, id) == NULL &&
	    clock_now() < until)
		store_world_run(&world, 20);
	ck_assert_msg(
	    g_hash_table_lookup(host.view.registry.servers, id) != NULL,
	    "does not follow the servers after %s", after);
	ck_assert_msg(
	    store_sync_is_reachable(&host.sync), "calls fail after %s", after);
}

static void
check_unused(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(odd); i++) {
		const backend_t *b =
		    g_hash_table_lookup(host.view.registry.servers, odd[i].key);

		ck_assert_msg(strcmp(odd[i].table, "servers") != 0 || b == NULL,
		    "%s is used", odd[i].key);
	}
}

static void
odd_entries_are_passed_over(void)
{
	char id[24];
	size_t i;

	store_world_begin(&world, PORT);
	store_host_begin(&host, &world);
	check_follows("first", "nothing");
	store_world_run(&world, QUIET_MS); /* the hosts are listed */
	for (i = 0; i < G_N_ELEMENTS(odd); i++) {
		put_odd(i);
		g_snprintf(id, sizeof(id), "good-%zu", i);
		check_follows(id, odd[i].key);
		store_world_run(&world, 20);
	}
	store_world_run(&world, QUIET_MS);
	check_follows("last", "all of them");
	check_unused();
	store_host_end(&host);
	store_world_end(&world);
}

/* They are there when a host starts. */
static void
odd_entries_in_a_listing_are_passed_over(void)
{
	size_t i;

	store_world_begin(&world, PORT);
	for (i = 0; i < G_N_ELEMENTS(odd); i++)
		put_odd(i);
	store_host_begin(&host, &world);
	check_follows("first", "all of them");
	store_world_run(&world, QUIET_MS);
	check_unused();
	ck_assert(host.view.joined);
	store_host_end(&host);
	store_world_end(&world);
}

/* Rows of an answer of the store; the one that is not odd has to be read. */
static const struct {
	const char *name, *row;
} cells[] = {
    {"value is no text", "{\"key\":\"odd\",\"ver\":4,\"value\":7}"},
    {"value is an object", "{\"key\":\"odd\",\"ver\":4,\"value\":{\"a\":1}}"},
    {"no value", "{\"key\":\"odd\",\"ver\":4}"},
    {"value is no base64", "{\"key\":\"odd\",\"ver\":4,\"value\":\"*&^\"}"},
    {"no key", "{\"ver\":4,\"value\":\"e30=\"}"},
    {"key is no text", "{\"key\":5,\"ver\":4,\"value\":\"e30=\"}"},
    {"no version", "{\"key\":\"odd\",\"value\":\"e30=\"}"},
    {"no row", "null"},
};

static void
odd_rows_do_not_spoil_a_page(void)
{
	static const char good[] =
	    "{\"key\":\"good\",\"ver\":5,\"value\":\"e30=\"}";
	table_page_t page;
	GError *err = NULL;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cells); i++) {
		char *text =
		    g_strdup_printf("{\"rows\":[%s,%s],\"ver\":5,\"now_ms\":1}",
			cells[i].row, good);
		const table_row_t *last;

		ck_assert_msg(wire_rows_decode(text, strlen(text), &page, &err),
		    "%s: %s", cells[i].name, err != NULL ? err->message : "");
		ck_assert_uint_ge(page.rows->len, 1);
		last = g_ptr_array_index(page.rows, page.rows->len - 1);
		ck_assert_str_eq(last->key, "good");
		table_page_finish(&page);
		g_free(text);
	}
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"odd entries are passed over", odd_entries_are_passed_over},
	    {"odd entries in a listing are passed over",
		odd_entries_in_a_listing_are_passed_over},
	    {"odd rows do not spoil a page", odd_rows_do_not_spoil_a_page},
	};

	signal(SIGPIPE, SIG_IGN);
	return suite_run("odd entries", cases, G_N_ELEMENTS(cases));
}
