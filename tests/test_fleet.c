#include <string.h>

#include "coordination/fleet.h"
#include "state/registry.h"
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
    {"c", "north", NOW - FLEET_SILENT_MS, TRUE, FALSE, TRUE},
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
		    rows[i].region, "d", 1, i + 1};
		fleet_status_t status;

		fleet_put(f, &row);
		fleet_status_init(&status);
		status.host = registry_hash(rows[i].name);
		status.incarnation = 1;
		status.seq = 1;
		status.ready = rows[i].ready;
		status.leaving = rows[i].leaving;
		status.reaches_store = rows[i].reaches_store;
		fleet_receive(f, &status, rows[i].heard_at);
		fleet_status_finish(&status);
		g_free(address);
	}
}

/* Takes in a beacon of host "a". */
static const fleet_host_t *
receive_status(fleet_t *f, uint64_t incarnation, uint32_t seq, msec_t now)
{
	const fleet_host_t *h;
	fleet_status_t n;

	fleet_status_init(&n);
	n.host = registry_hash("a");
	n.incarnation = incarnation;
	n.seq = seq;
	h = fleet_receive(f, &n, now);
	fleet_status_finish(&n);
	return h;
}

static void
test_beacon_order(void)
{
	static const struct {
		uint64_t incarnation;
		uint32_t seq;
		gboolean taken;
	} beacons[] = {{5, 3, TRUE}, {5, 3, FALSE}, {5, 2, FALSE},
	    {4, 9, FALSE}, {6, 1, TRUE}, {6, 2, TRUE}};
	const fleet_row_t row = {"a", "1", "2", "north", "d", 1, 1};
	const fleet_host_t *h;
	fleet_t f;
	size_t i;

	fleet_init(&f, "self");
	fleet_put(&f, &row);
	for (i = 0; i < G_N_ELEMENTS(beacons); i++) {
		h = receive_status(
		    &f, beacons[i].incarnation, beacons[i].seq, 1);
		ck_assert_int_eq(h != NULL, beacons[i].taken);
	}
	fleet_finish(&f);
}

/* A restarted host and one that was cut off: restart flag, time of silence. */
static void
test_silence_and_restart(void)
{
	static const struct {
		uint64_t incarnation;
		uint32_t seq;
		msec_t at;
		gboolean first_beacon;
		msec_t silent_ms;
	} beacons[] = {{5, 1, 1000, TRUE, 0}, {5, 2, 1500, FALSE, 500},
	    {5, 9, 8000, FALSE, 6500}, {6, 1, 8400, TRUE, 400}};
	const fleet_row_t row = {"a", "1", "2", "north", "d", 1, 1};
	const fleet_host_t *h;
	fleet_t f;
	size_t i;

	fleet_init(&f, "self");
	fleet_put(&f, &row);
	for (i = 0; i < G_N_ELEMENTS(beacons); i++) {
		h = receive_status(
		    &f, beacons[i].incarnation, beacons[i].seq, beacons[i].at);
		ck_assert(
		    h != NULL && h->first_beacon == beacons[i].first_beacon);
		ck_assert_int_eq(h->silent_ms, beacons[i].silent_ms);
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
	fleet_row_t row = {"a", "1", "2", "north", "d", 1, 5};
	fleet_t f;

	fleet_init(&f, "self");
	fleet_put(&f, &row);
	ck_assert_uint_eq(fleet_size(&f), 2);
	row.callers = "9";
	row.row_ver = 4;
	fleet_put(&f, &row);
	ck_assert_str_eq(
	    ((fleet_host_t *)g_ptr_array_index(f.hosts, 0))->callers, "1");
	row.row_ver = 6;
	fleet_put(&f, &row);
	ck_assert_str_eq(
	    ((fleet_host_t *)g_ptr_array_index(f.hosts, 0))->callers, "9");
	row.name = "self";
	fleet_put(&f, &row);
	ck_assert_uint_eq(fleet_size(&f), 2);
	fleet_remove(&f, "a");
	fleet_remove(&f, "b");
	ck_assert_uint_eq(fleet_size(&f), 1);
	fleet_finish(&f);
}

static const suite_case_t cases[] = {
    {"newer beacons replace older ones", test_beacon_order},
    {"host that restarts or was cut off", test_silence_and_restart},
    {"ranks for duties and for reading", test_ranks},
    {"look-ups name hosts that take callers", test_lookup},
    {"store rows", test_rows},
};

int
main(void)
{
	return suite_run("fleet", cases, G_N_ELEMENTS(cases));
}
