#include <string.h>

#include "coordination/fleet.h"
#include "state/registry.h"
#include "fleet_alone.h"
#include "suite.h"

#define NOW 10000

/* A host: name, region, time and content of its last beacon. */
typedef struct {
	const char *name, *region;
	msec_t heard_at;
	gboolean ready, leaving, reaches_store;
} row_t;

static const row_t rows[] = {
    {"a", "north", NOW - 100, TRUE, FALSE, TRUE},
    {"b", "north", NOW - 100, TRUE, FALSE, FALSE},
    {"c", "north", NOW - FLEET_DOMAIN_SILENT_MS, TRUE, FALSE, TRUE},
    {"d", "north", NOW - 100, FALSE, FALSE, TRUE},
    {"e", "south", NOW - 100, TRUE, FALSE, TRUE},
    {"f", "south", NOW - 100, TRUE, TRUE, TRUE},
};

static void
fleet_of(fleet_t *f, const char *self)
{
	size_t i;

	fleet_init(f, self);
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *address = g_strdup_printf("10.0.0.%zu:80", i);
		const fleet_row_t row = {rows[i].name, address, address,
		    rows[i].region, rows[i].name, 1, i + 1, 0, 0};
		fleet_status_t status;

		fleet_put(f, &row, 0);
		fleet_status_init(&status);
		status.host = registry_hash(rows[i].name);
		status.incarnation = 1;
		status.seq = 1;
		status.ready = rows[i].ready;
		status.leaving = rows[i].leaving;
		status.reaches_store = rows[i].reaches_store;
		deliver_alone(f, rows[i].name, &status, rows[i].heard_at);
		fleet_status_finish(&status);
		g_free(address);
	}
}

/* Takes in a summary of host "a", which is alone in its domain. */
static const fleet_domain_t *
receive_status(fleet_t *f, uint64_t incarnation, uint32_t seq, msec_t now)
{
	const fleet_domain_t *d;
	fleet_status_t n;

	fleet_status_init(&n);
	n.host = registry_hash("a");
	n.incarnation = incarnation;
	n.seq = seq;
	d = deliver_alone(f, "a", &n, now);
	fleet_status_finish(&n);
	return d;
}

static void
test_summary_order(void)
{
	static const struct {
		uint64_t incarnation;
		uint32_t seq;
		gboolean taken;
	} summaries[] = {{5, 3, TRUE}, {5, 3, FALSE}, {5, 2, FALSE},
	    {4, 9, FALSE}, {6, 1, TRUE}, {6, 2, TRUE}};
	const fleet_row_t row = {"a", "1", "2", "north", "a", 1, 1, 0, 0};
	const fleet_domain_t *d;
	fleet_t f;
	size_t i;

	fleet_init(&f, "self");
	fleet_put(&f, &row, 0);
	for (i = 0; i < G_N_ELEMENTS(summaries); i++) {
		d = receive_status(
		    &f, summaries[i].incarnation, summaries[i].seq, 1);
		ck_assert_int_eq(d != NULL, summaries[i].taken);
	}
	fleet_finish(&f);
}

/* A restarted collector and one that was cut off: new source, time of silence.
 */
static void
test_silence_and_restart(void)
{
	static const struct {
		uint64_t incarnation;
		uint32_t seq;
		msec_t at;
		gboolean source_changed;
		msec_t silent_ms;
	} summaries[] = {{5, 1, 1000, TRUE, 0}, {5, 2, 1500, FALSE, 500},
	    {5, 9, 8000, FALSE, 6500}, {6, 1, 8400, TRUE, 400}};
	const fleet_row_t row = {"a", "1", "2", "north", "a", 1, 1, 0, 0};
	const fleet_domain_t *d;
	fleet_t f;
	size_t i;

	fleet_init(&f, "self");
	fleet_put(&f, &row, 0);
	for (i = 0; i < G_N_ELEMENTS(summaries); i++) {
		d = receive_status(&f, summaries[i].incarnation,
		    summaries[i].seq, summaries[i].at);
		ck_assert(d != NULL);
		ck_assert_int_eq(
		    d->source_changed, summaries[i].source_changed);
		ck_assert_int_eq(d->silent_ms, summaries[i].silent_ms);
	}
	fleet_finish(&f);
}

/* Each rank belongs to one host, and only eligible hosts have a rank. */
static void
test_ranks(void)
{
	static const char *const duty[] = {"a", "b", "e", "f"};
	static const char *const readers[] = {"a", "b"};
	gboolean taken[8] = {FALSE};
	guint rank;
	fleet_t f;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(duty); i++) {
		fleet_of(&f, duty[i]);
		rank = fleet_rank(&f, NOW);
		ck_assert_uint_lt(rank, G_N_ELEMENTS(duty));
		ck_assert(!taken[rank]);
		taken[rank] = TRUE;
		fleet_finish(&f);
	}
	/* A host without the store doesn't take a reader rank from others. */
	for (i = 0; i < G_N_ELEMENTS(readers); i++) {
		fleet_of(&f, readers[i]);
		rank = fleet_reader_rank(&f, "north", NOW);
		ck_assert_uint_le(rank, strcmp(readers[i], "b") == 0);
		fleet_finish(&f);
	}
}

static void
test_lookup(void)
{
	static const struct {
		const char *region;
		gboolean ready; /* this host, of the north */
		guint addresses;
	} asked[] = {
	    {"north", TRUE, 3},	 /* self, a, b */
	    {"north", FALSE, 2}, /* a, b */
	    {"south", TRUE, 1},	 /* e */
	    {"west", TRUE, 4},	 /* no host there: self, a, b, e */
	    {NULL, TRUE, 4},
	};
	GPtrArray *out = g_ptr_array_new();
	fleet_t f;
	size_t i;

	fleet_of(&f, "self");
	for (i = 0; i < G_N_ELEMENTS(asked); i++) {
		const fleet_self_t self = {
		    "10.0.0.99:80", "north", "d", asked[i].ready};

		g_ptr_array_set_size(out, 0);
		fleet_lookup(&f, &self, asked[i].region, out, NOW);
		ck_assert_uint_eq(out->len, asked[i].addresses);
	}
	g_ptr_array_free(out, TRUE);
	fleet_finish(&f);
}

static void
test_rows(void)
{
	fleet_row_t row = {"a", "1", "2", "north", "d", 1, 5, 0, 0};
	fleet_t f;

	fleet_init(&f, "self");
	fleet_put(&f, &row, 0);
	ck_assert_uint_eq(fleet_size(&f), 2);
	row.callers = "9";
	row.row_ver = 4;
	fleet_put(&f, &row, 0);
	ck_assert_str_eq(
	    ((fleet_host_t *)g_ptr_array_index(f.hosts, 0))->callers, "1");
	row.row_ver = 6;
	fleet_put(&f, &row, 0);
	ck_assert_str_eq(
	    ((fleet_host_t *)g_ptr_array_index(f.hosts, 0))->callers, "9");
	row.name = "self";
	fleet_put(&f, &row, 0);
	ck_assert_uint_eq(fleet_size(&f), 2);
	fleet_remove(&f, "a");
	fleet_remove(&f, "b");
	ck_assert_uint_eq(fleet_size(&f), 1);
	fleet_finish(&f);
}

static const suite_case_t cases[] = {
    {"newer summaries replace older ones", test_summary_order},
    {"collector that restarts or was cut off", test_silence_and_restart},
    {"ranks for duties and for reading", test_ranks},
    {"look-ups name hosts that take callers", test_lookup},
    {"store rows", test_rows},
};

int
main(void)
{
	return suite_run("fleet", cases, G_N_ELEMENTS(cases));
}
