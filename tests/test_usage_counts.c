#include <string.h>

#include <event2/http.h>

#include "coordination/usage_counts.h"
#include "coordination/usage_plan.h"
#include "platform/wire_usage.h"
#include "protocol/usage_msg.h"
#include "protocol/usage_rows.h"
#include "suite.h"

/*
 * Counts of usage, their rows, datagrams and report. The checks guard against
 * counts that grow or shrink when copies come late, twice or in another order.
 */

#define WINDOW 353445120

static const usage_source_t first = {UINT64_MAX - 1, 5},
			    again = {UINT64_MAX - 1, 9}, second = {2, 5};

static void
count(usage_counts_t *c, const usage_source_t *s, const char *name, int n)
{
	int i;

	for (i = 0; i < n; i++)
		usage_counts_add(c, WINDOW, s, name, FALSE);
}

static char *
report(const usage_counts_t *c)
{
	GArray *totals = usage_counts_totals(c, WINDOW);
	char *body = wire_usage_body(WINDOW, totals);

	g_array_free(totals, TRUE);
	return body;
}

static void
expect_report(const usage_counts_t *c, const char *expected)
{
	char *body = report(c);

	ck_assert_str_eq(body, expected);
	g_free(body);
}

static void
counts_are_summed(void)
{
	usage_counts_t c;

	usage_counts_init(&c);
	expect_report(&c, "{\"window_id\":353445120,\"counts\":{}}");
	count(&c, &first, "yefi830", 3);
	count(&c, &again, "yefi830", 2);
	count(&c, &second, "kaxa491", 1);
	count(&c, &second, "all-back", 1);
	usage_counts_add(&c, WINDOW, &second, "all-back", TRUE);
	usage_counts_add(&c, WINDOW, &first, "yefi830", TRUE);
	expect_report(&c,
	    "{\"window_id\":353445120,\"counts\":"
	    "{\"kaxa491\":1,\"yefi830\":4}}");
	usage_counts_finish(&c);
}

static void
merge_row(usage_counts_t *to, const char *value)
{
	const table_row_t row = {.key = (char *)"window/000353445120/n1",
	    .value = (char *)value,
	    .len = strlen(value),
	    .ver = 3};

	ck_assert(usage_rows_merge_counts(&row, WINDOW, to));
}

static void
rows_merge_in_any_order(void)
{
	usage_counts_t a, b, merged;
	char *rows[3], *expected;
	guint order;

	usage_counts_init(&a);
	usage_counts_init(&b);
	count(&a, &first, "yefi830", 3);
	rows[0] = usage_rows_counts(&a, WINDOW);
	count(&a, &first, "yefi830", 4);
	usage_counts_add(&a, WINDOW, &first, "yefi830", TRUE);
	count(&a, &second, "kaxa491", 2);
	rows[1] = usage_rows_counts(&a, WINDOW);
	/* Another collector has an older copy of one host. */
	count(&b, &first, "yefi830", 5);
	count(&b, &again, "kaxa491", 1);
	rows[2] = usage_rows_counts(&b, WINDOW);
	expected = g_strdup("{\"window_id\":353445120,\"counts\":"
			    "{\"kaxa491\":3,\"yefi830\":6}}");
	for (order = 0; order < 27; order++) {
		usage_counts_init(&merged);
		merge_row(&merged, rows[order % 3]);
		merge_row(&merged, rows[order / 3 % 3]);
		merge_row(&merged, rows[order / 9]);
		merge_row(&merged, rows[0]);
		merge_row(&merged, rows[1]);
		merge_row(&merged, rows[2]);
		expect_report(&merged, expected);
		usage_counts_finish(&merged);
	}
	g_free(expected);
	for (order = 0; order < 3; order++)
		g_free(rows[order]);
	usage_counts_finish(&a);
	usage_counts_finish(&b);
}

static void
odd_rows_are_refused(void)
{
	static const char *const values[] = {"", "{}", "[]",
	    "{\"names\":[],\"sources\":[{}]}",
	    "{\"names\":[],\"sources\":[{\"host\":\"1\",\"start\":\"1\","
	    "\"counts\":[[0,1,0]]}]}",
	    "{\"names\":[\"a\"],\"sources\":[{\"host\":\"x\",\"start\":\"1\","
	    "\"counts\":[[0,1,0]]}]}",
	    "{\"names\":[\"a\"],\"sources\":[{\"host\":\"1\",\"start\":\"1\","
	    "\"counts\":[[0,-1,0]]}]}"};
	usage_counts_t c;
	size_t i;

	usage_counts_init(&c);
	for (i = 0; i < G_N_ELEMENTS(values); i++) {
		const table_row_t row = {
		    .value = (char *)values[i], .len = strlen(values[i])};

		ck_assert_msg(!usage_rows_merge_counts(&row, WINDOW, &c), "%s",
		    values[i]);
	}
	usage_counts_finish(&c);
}

/* Memory is bounded whatever peers send. */
static void
counts_are_bounded(void)
{
	usage_source_t source = {1, 1};
	char name[USAGE_NAME_BYTES + 2];
	usage_counts_t c;
	int64_t w;
	guint i;

	usage_counts_init(&c);
	for (w = 0; w < 3 * USAGE_WINDOWS_MAX; w++)
		usage_counts_add(&c, w, &source, "a", FALSE);
	ck_assert_uint_eq(c.windows->len, USAGE_WINDOWS_MAX);
	ck_assert(usage_counts_window(&c, w - USAGE_WINDOWS_MAX) != NULL);
	usage_counts_add(&c, 0, &source, "a", FALSE);
	ck_assert_uint_eq(c.dropped, 1);
	for (i = 0; i < USAGE_CELLS_MAX + 10; i++) {
		source.host = i + 2;
		usage_counts_add(&c, w, &source, "a", FALSE);
	}
	ck_assert_uint_le(c.cells, USAGE_CELLS_MAX);
	memset(name, 'a', sizeof(name));
	name[sizeof(name) - 1] = '\0';
	usage_counts_add(&c, w, &source, name, FALSE);
	ck_assert_uint_gt(c.dropped, 1);
	usage_counts_finish(&c);
}

static void
datagrams_carry_the_longest_names(void)
{
	const peer_secret_t secret = {{1}};
	usage_msg_t *msg = g_new0(usage_msg_t, 1);
	usage_msg_t *got = g_new0(usage_msg_t, 1);
	uint8_t data[PEER_MSG_MAX_BYTES];
	char name[USAGE_NAME_BYTES + 1];
	size_t len;
	guint i;

	memset(name, 'n', USAGE_NAME_BYTES);
	name[USAGE_NAME_BYTES] = '\0';
	*msg = (usage_msg_t){.sender = 3,
	    .window = WINDOW,
	    .revision = 7,
	    .part = 1,
	    .acknowledge = TRUE,
	    .count = USAGE_MSG_CELLS};
	for (i = 0; i < USAGE_MSG_CELLS; i++)
		msg->cells[i] = (usage_cell_t){first, name, i, 1};
	len = usage_msg_encode(msg, &secret, data);
	ck_assert_uint_gt(len, 0);
	ck_assert(usage_msg_decode(data, len, &secret, got));
	ck_assert_uint_eq(got->count, USAGE_MSG_CELLS);
	ck_assert_str_eq(got->cells[49].workspace, name);
	ck_assert_uint_eq(got->cells[49].counted, 49);
	ck_assert(!usage_msg_decode(data, len - 1, &secret, got));
	g_free(msg);
	g_free(got);
}

static void
duty_row_is_read_back(void)
{
	const usage_duty_row_t row = {UINT64_MAX, 20, 1767225600, TRUE, 42};
	usage_duty_row_t got;
	table_page_t page;
	table_row_t *r;
	uint64_t ver;

	table_page_init(&page);
	usage_rows_read_duty(&page, &got, &ver);
	ck_assert_uint_eq(got.holder | ver, 0);
	r = table_page_add(&page);
	r->key = g_strdup(USAGE_DUTY_KEY);
	r->value = usage_rows_duty(&row, "host-1");
	r->len = strlen(r->value);
	r->ver = 8;
	usage_rows_read_duty(&page, &got, &ver);
	ck_assert(got.holder == row.holder && got.start == row.start &&
	    got.epoch == row.epoch && got.quiet && got.sent == row.sent);
	ck_assert_uint_eq(ver, 8);
	/* Its version is needed to replace it. */
	r->value[0] = 'x';
	usage_rows_read_duty(&page, &got, &ver);
	ck_assert_uint_eq(got.holder, 0);
	ck_assert_uint_eq(ver, 8);
	table_page_finish(&page);
}

static void
times_of_a_window(void)
{
	static const struct {
		guint row_changes, writes, changes;
		msec_t age, since_write;
		gboolean due;
	} rows[] = {
	    {0, 0, 1, -1, 0, FALSE}, /* it is not over */
	    {0, 0, 1, 999, 0, FALSE},
	    {0, 0, 1, 1000, 0, TRUE},
	    {0, 0, 0, 1300, 0, FALSE}, /* no counts */
	    {0, 0, 1, 90000, 0, TRUE}, /* the store was not reached */
	    {1, 1, 1, 4000, 3000, FALSE},
	    {1, 1, 2, 4000, 1999, FALSE},
	    {1, 1, 2, 4000, 2000, TRUE},
	    {1, 1, 2, 10000, 5000, FALSE}, /* after the report */
	    {1, 2, 3, 6000, 5000, FALSE},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		const usage_row_state_t state = {
		    rows[i].row_changes, rows[i].writes, 100};

		ck_assert_msg(
		    usage_plan_row_due(&state, rows[i].changes, rows[i].age,
			10000, 100 + rows[i].since_write) == rows[i].due,
		    "row %zu", i);
	}
	ck_assert_int_eq(usage_plan_window(1767225600000, 5000), WINDOW);
	ck_assert_int_eq(usage_plan_age(WINDOW, 1767225600000, 5000), -5000);
	ck_assert(!usage_plan_report_due(3999, 10000));
	ck_assert(usage_plan_report_due(4000, 10000));
	/* A third of the queue's length for each slot: a quarter of the time.
	 */
	ck_assert_int_eq(usage_plan_start(800, 2, 6), 200);
	ck_assert_int_eq(usage_plan_start(800, 0, 6), 0);
	ck_assert_int_eq(usage_plan_start(800, 5, 0), 0);
}

static void
responses_are_judged(void)
{
	static const struct {
		int status;
		wire_usage_result_t result;
	} rows[] = {
	    {200, WIRE_USAGE_ACCEPTED},
	    {409, WIRE_USAGE_OUTRANKED},
	    {429, WIRE_USAGE_BUSY},
	    {503, WIRE_USAGE_BUSY},
	    {404, WIRE_USAGE_BUSY}, /* not the report's fault */
	    {400, WIRE_USAGE_REFUSED},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		ck_assert_msg(
		    wire_usage_result(rows[i].status) == rows[i].result, "%d",
		    rows[i].status);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"counts are summed", counts_are_summed},
	    {"rows merge in any order", rows_merge_in_any_order},
	    {"odd rows are refused", odd_rows_are_refused},
	    {"counts are bounded", counts_are_bounded},
	    {"datagrams carry the longest names",
		datagrams_carry_the_longest_names},
	    {"the duty's row is read back", duty_row_is_read_back},
	    {"times of a window", times_of_a_window},
	    {"responses are judged", responses_are_judged},
	};

	return suite_run("usage_counts", cases, G_N_ELEMENTS(cases));
}
