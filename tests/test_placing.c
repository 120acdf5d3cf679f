#include <string.h>

#include "state/placing.h"
#include "suite.h"

#define SERVERS 12
#define OBJECTS 600

typedef struct {
	registry_t registry;
	GHashTable *regions;
	char ids[SERVERS][16];
} fixture_t;

static void
fixture_init(fixture_t *f, guint n)
{
	guint i;

	f->regions = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(f->regions, "n1", "north");
	g_hash_table_insert(f->regions, "s1", "south");
	registry_init(&f->registry, f->regions);
	for (i = 0; i < n; i++) {
		registry_row_t row = {.service = "clips",
		    .address = "10.0.0.1:80",
		    .domain = i % 3 == 0 ? "n1" : "s1",
		    .version = "v1",
		    .slots = 3,
		    .row_ver = i + 1};

		g_snprintf(f->ids[i], sizeof(f->ids[i]), "server-%u", i);
		row.id = f->ids[i];
		registry_put(&f->registry, &row, 0);
	}
}

static void
fixture_finish(fixture_t *f)
{
	registry_finish(&f->registry);
	g_hash_table_destroy(f->regions);
}

static guint
candidates(const fixture_t *f, placing_candidate_t *c)
{
	const GPtrArray *servers =
	    registry_service(&f->registry, "clips")->servers;
	guint i;

	for (i = 0; i < servers->len; i++) {
		backend_t *b = g_ptr_array_index(servers, i);

		c[i] = (placing_candidate_t){.server = b,
		    .load = backend_load(b, 1000),
		    .same_region = strcmp(b->region, "north") == 0};
	}
	return servers->len;
}

static uint64_t
object(guint i)
{
	char name[16];

	g_snprintf(name, sizeof(name), "object-%u", i);
	return registry_hash(name);
}

static const char *
place(const fixture_t *f, guint i)
{
	placing_candidate_t c[SERVERS];
	guint n = candidates(f, c);
	const placing_request_t request = {
	    .object = object(i), .by_object = TRUE};
	placing_t p = placing_choose(&request, c, n, 1000);

	return p.verdict == PLACING_SEND ? p.server->id : NULL;
}

/* Removing a server moves only its own objects, and spreads them. */
static void
test_server_removal(void)
{
	const char *before[OBJECTS];
	GHashTable *new_servers = g_hash_table_new(g_str_hash, g_str_equal);
	guint i, moved = 0;
	fixture_t f;

	fixture_init(&f, SERVERS);
	for (i = 0; i < OBJECTS; i++)
		before[i] = g_intern_string(place(&f, i));
	registry_remove(&f.registry, "server-4", 1000, 0, 0);
	for (i = 0; i < OBJECTS; i++) {
		const char *now = place(&f, i);

		if (strcmp(before[i], "server-4") != 0) {
			ck_assert_str_eq(now, before[i]);
			continue;
		}
		moved++;
		g_hash_table_add(new_servers, (char *)g_intern_string(now));
	}
	ck_assert_uint_gt(moved, OBJECTS / SERVERS / 2);
	ck_assert_uint_lt(moved, OBJECTS / SERVERS * 2);
	ck_assert_uint_gt(g_hash_table_size(new_servers), 5);
	g_hash_table_destroy(new_servers);
	fixture_finish(&f);
}

static void
test_shares(void)
{
	guint count = 0, i;
	fixture_t f;

	fixture_init(&f, 4);
	((backend_t *)g_hash_table_lookup(f.registry.servers, "server-1"))
	    ->slots = 9;
	for (i = 0; i < OBJECTS; i++)
		count += strcmp(place(&f, i), "server-1") == 0;
	/*
	 * Half of all slots: 300 objects expected, with a margin of four
	 * standard deviations of 12.
	 */
	ck_assert_uint_gt(count, 250);
	ck_assert_uint_lt(count, 350);
	fixture_finish(&f);
}

/* Placement by the load of an object's first server and of the others. */
static void
test_load(void)
{
	static const struct {
		const char *name;
		uint32_t first, others; /* requests at each of them */
		gboolean full, throttled;
		placing_verdict_t verdict;
		gboolean at_first;
	} rows[] = {
	    {"idle", 0, 0, FALSE, FALSE, PLACING_SEND, TRUE},
	    {"all slots taken", 3, 0, FALSE, FALSE, PLACING_SEND, TRUE},
	    {"all slots taken, with this one twice as many queued", 8, 3, FALSE,
		FALSE, PLACING_SEND, TRUE},
	    {"queue too long, service half idle", 9, 0, FALSE, FALSE,
		PLACING_SEND, FALSE},
	    {"queue too long, service busy", 9, 1, FALSE, FALSE, PLACING_FULL,
		FALSE},
	    {"queue too long, others full", 9, 3, FALSE, FALSE, PLACING_FULL,
		FALSE},
	    {"first reported full, others busy", 2, 2, TRUE, FALSE,
		PLACING_FULL, FALSE},
	    {"first cold and throttled", 0, 2, FALSE, TRUE, PLACING_SEND,
		FALSE},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		placing_candidate_t c[SERVERS];
		const placing_request_t request = {
		    .object = object(1), .by_object = TRUE};
		const char *first;
		placing_t p;
		guint n, k;
		fixture_t f;

		fixture_init(&f, 6);
		first = place(&f, 1);
		n = candidates(&f, c);
		for (k = 0; k < n; k++) {
			gboolean is_first = strcmp(c[k].server->id, first) == 0;

			c[k].load = is_first ? rows[i].first : rows[i].others;
			c[k].throttled = is_first && rows[i].throttled;
			if (is_first && rows[i].full)
				c[k].server->full_until = 1200;
		}
		p = placing_choose(&request, c, n, 1000);
		ck_assert_msg(
		    p.verdict == rows[i].verdict, "%s: verdict", rows[i].name);
		if (p.verdict == PLACING_SEND)
			ck_assert_msg((strcmp(p.server->id, first) == 0) ==
				rows[i].at_first,
			    "%s: %s", rows[i].name, p.server->id);
		else
			ck_assert_int_gt(p.wait_ms, 0);
		fixture_finish(&f);
	}
}

static void
test_same_region(void)
{
	placing_candidate_t c[SERVERS];
	placing_request_t request = {.by_object = TRUE, .prefer_region = TRUE};
	guint i, k, n;
	placing_t p;
	fixture_t f;

	fixture_init(&f, SERVERS);
	for (i = 0; i < OBJECTS; i++) {
		request.object = object(i);
		n = candidates(&f, c);
		p = placing_choose(&request, c, n, 1000);
		ck_assert_str_eq(p.server->region, "north");
	}
	/* The region is full: the request goes to another region. */
	n = candidates(&f, c);
	for (k = 0; k < n; k++)
		c[k].load = c[k].same_region ? 9 : 0;
	p = placing_choose(&request, c, n, 1000);
	ck_assert_int_eq(p.verdict, PLACING_SEND);
	ck_assert_str_eq(p.server->region, "south");
	fixture_finish(&f);
}

/* Without an object, the least loaded server of the region is chosen. */
static void
test_without_object(void)
{
	placing_candidate_t c[SERVERS];
	const placing_request_t request = {.object = 5};
	placing_t p;
	guint k, n;
	fixture_t f;

	fixture_init(&f, SERVERS);
	n = candidates(&f, c);
	for (k = 0; k < n; k++)
		c[k].load = strcmp(c[k].server->id, "server-6") == 0 ? 0 : 1;
	p = placing_choose(&request, c, n, 1000);
	ck_assert_str_eq(p.server->id, "server-6");
	fixture_finish(&f);
}

static void
test_no_server(void)
{
	const placing_request_t request = {.by_object = TRUE};

	ck_assert_int_eq(
	    placing_choose(&request, NULL, 0, 0).verdict, PLACING_NONE);
}

static const suite_case_t cases[] = {
    {"removing a server moves only its own objects", test_server_removal},
    {"a server gets objects in proportion to its slots", test_shares},
    {"room at the first server, at others, nowhere", test_load},
    {"large bodies stay in the region while it has room", test_same_region},
    {"requests without object", test_without_object},
    {"no server", test_no_server},
};

int
main(void)
{
	return suite_run("placing", cases, G_N_ELEMENTS(cases));
}
