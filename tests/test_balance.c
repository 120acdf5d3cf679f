#include <math.h>
#include <string.h>

#include "coordination/balance.h"
#include "state/placing.h"
#include "suite.h"

#define SERVERS 12
#define SLOTS 3
#define OBJECTS 600
/* Largest part of a region's requests that may change region in 2 s. */
#define SHIFT_MAX 0.15
#define SHIFT_MS 2000
#define START_MS 6000
#define LATER_MS 40000

typedef struct {
	registry_t registry;
	GHashTable *regions;
	msec_t now;
} fixture_t;

/* Domains of the servers: @small servers in the north, the others split. */
static void
fixture_init(fixture_t *f, guint small)
{
	char id[16];
	guint i;

	f->now = 1;
	f->regions = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(f->regions, "n1", "north");
	g_hash_table_insert(f->regions, "m1", "middle");
	g_hash_table_insert(f->regions, "s1", "south");
	registry_init(&f->registry, f->regions);
	for (i = 0; i < SERVERS; i++) {
		const registry_row_t row = {.id = id,
		    .service = "clips",
		    .address = "10.0.0.1:80",
		    .domain = i < small ? "n1"
			: i % 2 == 0	? "m1"
					: "s1",
		    .version = "v1",
		    .slots = SLOTS,
		    .row_ver = i + 1};

		g_snprintf(id, sizeof(id), "server-%u", i);
		registry_put(&f->registry, &row, 0);
	}
}

static void
fixture_finish(fixture_t *f)
{
	registry_finish(&f->registry);
	g_hash_table_destroy(f->regions);
}

static registry_service_t *
service(const fixture_t *f)
{
	return registry_service(&f->registry, "clips");
}

/* Sets the requests per slot at all servers of a region; NULL: everywhere. */
static void
set_load(fixture_t *f, const char *region, double per_slot)
{
	const GPtrArray *servers = service(f)->servers;
	guint i;

	for (i = 0; i < servers->len; i++) {
		backend_t *b = g_ptr_array_index(servers, i);

		if (region == NULL || strcmp(b->region, region) == 0)
			b->peers = (uint32_t)(per_slot * SLOTS);
	}
}

/* Ticks of a host in @region; each region has one host. */
static void
run(fixture_t *f, const char *region, msec_t ms)
{
	static const char *const names[] = {"north", "middle", "south"};
	msec_t end = f->now + ms;
	fleet_t fleet;
	size_t i;

	fleet_init(&fleet, region);
	fleet_locate(&fleet, region, region, 1);
	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		const fleet_row_t row = {.name = names[i],
		    .region = names[i],
		    .domain = names[i],
		    .row_ver = 1};

		fleet_put(&fleet, &row, f->now);
	}
	for (; f->now < end; f->now += BALANCE_TICK_MS) {
		for (i = 0; i < fleet.hosts->len; i++)
			((fleet_host_t *)g_ptr_array_index(fleet.hosts, i))
			    ->heard_at = f->now;
		balance_tick(&f->registry, &fleet, f->now);
	}
	fleet_finish(&fleet);
}

/* The server of an object; of a workspace bound to @region if @bound. */
static const backend_t *
place(const fixture_t *f, guint i, const char *region, gboolean bound)
{
	const GPtrArray *servers = service(f)->servers;
	const placing_request_t request = {.object = registry_hash("o") + i,
	    .by_object = TRUE,
	    .local_part = service(f)->local_part};
	placing_candidate_t c[SERVERS];
	guint k, n = 0;

	for (k = 0; k < servers->len; k++) {
		backend_t *b = g_ptr_array_index(servers, k);
		gboolean same = strcmp(b->region, region) == 0;

		if (same || !bound)
			c[n++] = (placing_candidate_t){
			    .server = b, .same_region = same};
	}
	return placing_choose(&request, c, n, f->now).server;
}

/* Part of a region's objects that run there. */
static double
part_at_home(const fixture_t *f, const char *region)
{
	guint i, n = 0;

	for (i = 0; i < OBJECTS; i++)
		n += strcmp(place(f, i, region, FALSE)->region, region) == 0;
	return (double)n / OBJECTS;
}

/* Objects leave a region only if it lacks servers. With little load, a region
 * that has more than its share takes all of its objects back. */
static void
test_objects_stay_in_a_region_with_room(void)
{
	static const struct {
		const char *region;
		double min, max;
	} rows[] = {
	    {"middle", 1, 1}, {"south", 1, 1},
	    {"north", 0, 0.3}, /* two of twelve servers, a third of the hosts */
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		fixture_t f;
		double part;

		fixture_init(&f, 2);
		set_load(&f, NULL, 0.34);
		run(&f, rows[i].region, START_MS);
		set_load(&f, "north", 2);
		run(&f, rows[i].region, LATER_MS);
		part = part_at_home(&f, rows[i].region);
		ck_assert_msg(part >= rows[i].min && part <= rows[i].max,
		    "%s: %.2f of the objects at home", rows[i].region, part);
		fixture_finish(&f);
	}
}

/* However fast the load of a region changes, few of its objects change region
 * in 2 s; and a region without capacity spreads them in the end. */
static void
test_traffic_changes_its_region_slowly(void)
{
	static const struct {
		const char *name;
		double before, after; /* requests per slot in the region */
		msec_t later;
		double min, max; /* part at home then */
	} rows[] = {
	    {"burst", 0.34, 3, 30000, 0, 0.4},
	    {"burst ends", 3, 0.34, 60000, 0.9, 1},
	    {"steady", 0.34, 0.34, 30000, 1, 1},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		msec_t end;
		double last, part;
		fixture_t f;

		fixture_init(&f, 4);
		set_load(&f, NULL, 0.34);
		run(&f, "middle", START_MS);
		set_load(&f, "middle", rows[i].before);
		run(&f, "middle", 30000);
		last = part_at_home(&f, "middle");
		set_load(&f, "middle", rows[i].after);
		for (end = f.now + rows[i].later; f.now < end; last = part) {
			run(&f, "middle", SHIFT_MS);
			part = part_at_home(&f, "middle");
			ck_assert_msg(fabs(part - last) <= SHIFT_MAX,
			    "%s: from %.2f to %.2f in 2 s", rows[i].name, last,
			    part);
		}
		ck_assert_msg(last >= rows[i].min && last <= rows[i].max,
		    "%s: %.2f at home", rows[i].name, last);
		fixture_finish(&f);
	}
}

/* In a region where all servers are busy, an object that moves runs cold and
 * finds no more capacity. */
static void
test_bound_objects_keep_their_server_in_a_full_region(void)
{
	const backend_t *before[OBJECTS];
	guint i, moved = 0;
	fixture_t f;

	fixture_init(&f, 2);
	set_load(&f, NULL, 0.34);
	run(&f, "north", START_MS);
	for (i = 0; i < OBJECTS; i++)
		before[i] = place(&f, i, "north", TRUE);
	set_load(&f, "north", 2);
	run(&f, "north", 30000);
	for (i = 0; i < OBJECTS; i++)
		moved += place(&f, i, "north", TRUE) != before[i];
	ck_assert_uint_eq(moved, 0);
	fixture_finish(&f);
}

static const suite_case_t cases[] = {
    {"objects stay in a region with room",
	test_objects_stay_in_a_region_with_room},
    {"traffic changes its region slowly",
	test_traffic_changes_its_region_slowly},
    {"bound objects keep their server in a full region",
	test_bound_objects_keep_their_server_in_a_full_region},
};

int
main(void)
{
	return suite_run("balance", cases, G_N_ELEMENTS(cases));
}
