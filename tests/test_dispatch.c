#include <string.h>

#include "coordination/dispatch.h"
#include "suite.h"

#define EXTRA 40.0

typedef struct {
	GHashTable *regions;
	registry_t registry;
	fleet_t fleet;
	shifts_t shifts;
	dispatch_t dispatch;
} host_t;

static void
host_init(host_t *h)
{
	static const dispatch_bounds_t bounds = {
	    .retry_ratio = 0.1, .retry_extra = EXTRA};

	h->regions = g_hash_table_new(g_str_hash, g_str_equal);
	registry_init(&h->registry, h->regions);
	fleet_init(&h->fleet, "self");
	shifts_init(&h->shifts);
	dispatch_init(&h->dispatch, &h->registry, &h->fleet, &h->shifts,
	    "north", &bounds);
}

static void
host_finish(host_t *h)
{
	dispatch_finish(&h->dispatch);
	shifts_finish(&h->shifts);
	fleet_finish(&h->fleet);
	registry_finish(&h->registry);
	g_hash_table_destroy(h->regions);
}

/* Sets the number of hosts other than this one. */
static void
set_others(host_t *h, guint n)
{
	guint i;

	for (i = 0; i < 20; i++) {
		char *name = g_strdup_printf("host-%u", i);
		const fleet_row_t row = {name, "10.0.0.1:80", "10.0.0.1:81",
		    "north", "n1", 1, 1, 0, 0};

		if (i < n)
			fleet_put(&h->fleet, &row, 0);
		else
			fleet_remove(&h->fleet, name);
		g_free(name);
	}
}

/* Return: retries that the host allows now; a copy of the budget is used */
static guint
retries_left(host_t *h, msec_t now)
{
	retry_budget_t budget = *dispatch_budget(&h->dispatch, "clips", now);
	guint n = 0;

	while (retry_budget_take(&budget))
		n++;
	return n;
}

/*
 * The hosts that share a retry budget change; some only seem gone because of a
 * partition. Together they must never allow more than the whole budget.
 */
static void
test_retry_budget_parts(void)
{
	static const struct {
		const char *name;
		msec_t at;
		guint others;  /* other hosts known to this host */
		guint sharers; /* hosts that may draw on the budget */
	} rows[] = {
	    {"just started, seven others not known yet", -100, 0, 8},
	    {"alone", 0, 0, 1},
	    {"seven join after the first use", 1000, 7, 8},
	    {"cut off from six", 2000, 1, 8},
	    {"still cut off", 30000, 1, 8},
	    {"six are back and twelve more", 31000, 19, 20},
	};
	host_t h;
	size_t i;

	host_init(&h);
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		set_others(&h, rows[i].others);
		if (rows[i].at >= 0)
			fleet_synced(&h.fleet, rows[i].at + 1);
		ck_assert_msg(retries_left(&h, rows[i].at) * rows[i].sharers <=
			(guint)EXTRA,
		    "%s", rows[i].name);
	}
	host_finish(&h);
}

/* Budget parts of hosts that left for good eventually go to the others. */
static void
test_departed_budget_parts(void)
{
	retry_budget_t *b;
	guint i, left;
	host_t h;

	host_init(&h);
	set_others(&h, 19);
	fleet_synced(&h.fleet, 1);
	left = retries_left(&h, 0);
	set_others(&h, 1);
	b = dispatch_budget(&h.dispatch, "clips", 3600000);
	for (i = 0; i < 1000; i++)
		retry_budget_add_request(b);
	ck_assert_uint_ge(retries_left(&h, 3600000), 5 * MAX(left, 1));
	host_finish(&h);
}

/* Lowered bounds apply at once, also to budgets in use. */
static void
test_retry_bounds_reloaded(void)
{
	host_t h;

	host_init(&h);
	fleet_synced(&h.fleet, 1);
	ck_assert_uint_gt(retries_left(&h, 0), 10);
	h.dispatch.bounds.retry_extra = 10;
	ck_assert_uint_le(retries_left(&h, 1), 10);
	host_finish(&h);
}

/*
 * A server that refuses a request gets no more for PLACING_FULL_MS, unless it
 * reports a free slot: then it refuses only some requests.
 */
static void
test_refusing_server(void)
{
	static const struct {
		gboolean has_room;
		placing_verdict_t next;
		msec_t return_max_ms;
	} rows[] = {
	    {FALSE, PLACING_FULL, PLACING_FULL_MS}, {TRUE, PLACING_SEND, 100}};
	manifest_route_t route = {.name = (char *)"r", .objective_ms = 500};
	manifest_service_t service = {.name = (char *)"clips"};
	const admission_t admission = {.route = &route, .service = &service};
	const registry_row_t row = {.id = "i-1",
	    .service = "clips",
	    .address = "10.0.0.1:80",
	    .domain = "n1",
	    .version = "v1",
	    .slots = 3,
	    .row_ver = 1};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		const dispatch_result_t result = {
		    .end = DISPATCH_FULL, .has_room = rows[i].has_room};
		dispatch_job_t first = {.admission = &admission};
		dispatch_job_t second = first;
		placing_t p;
		host_t h;

		host_init(&h);
		registry_put(&h.registry, &row, 0);
		p = dispatch_place(&h.dispatch, &first, 1000, 1000);
		ck_assert_int_eq(p.verdict, PLACING_SEND);
		dispatch_sent(&h.dispatch, &first, p.server, 1000);
		dispatch_ended(
		    &h.dispatch, &first, first.tried[0], &result, 1010);
		p = dispatch_place(&h.dispatch, &second, 1020, 1020);
		ck_assert_int_eq(p.verdict, rows[i].next);
		ck_assert_int_le(
		    dispatch_retry_ms(rows[i].has_room), rows[i].return_max_ms);
		dispatch_job_clear(&first);
		host_finish(&h);
	}
}

/*
 * Two requests are placed on a cold server and wait for tokens of its limit.
 * Only as many are sent then as the cold ramp allows.
 */
static void
test_cold_server_after_wait(void)
{
	static const dispatch_bounds_t bounds = {.cold = {1.5, 5}};
	manifest_route_t route = {.name = (char *)"r"};
	manifest_service_t service = {
	    .name = (char *)"clips", .warmup_rate = 2.5};
	const admission_t admission = {.route = &route, .service = &service};
	const registry_row_t row = {.id = "i-1",
	    .service = "clips",
	    .address = "10.0.0.1:80",
	    .domain = "n1",
	    .version = "v1",
	    .slots = 3,
	    .cold_ms = 20000,
	    .row_ver = 1};
	const msec_t now = MEMBERS_JOIN_MS + 2 * MEMBERS_SETTLE_MS;
	dispatch_job_t first = {.admission = &admission}, second = first;
	backend_t *b;
	host_t h;

	host_init(&h);
	h.dispatch.bounds = bounds;
	set_others(&h, 7);
	fleet_join(&h.fleet, 0);
	fleet_synced(&h.fleet, now);
	dispatch_tick(&h.dispatch, MEMBERS_JOIN_MS);
	dispatch_tick(&h.dispatch, now);
	registry_put(&h.registry, &row, now);
	b = dispatch_place(&h.dispatch, &first, now, now).server;
	ck_assert(dispatch_place(&h.dispatch, &second, now, now).server == b);
	ck_assert(dispatch_may_send(&h.dispatch, &first, b, now + 50));
	dispatch_sent(&h.dispatch, &first, b, now + 50);
	ck_assert(!dispatch_may_send(&h.dispatch, &second, b, now + 60));
	dispatch_job_clear(&first);
	host_finish(&h);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"hosts share a service's retries", test_retry_budget_parts},
	    {"budget parts of hosts that left are reused",
		test_departed_budget_parts},
	    {"lowered bounds apply at once", test_retry_bounds_reloaded},
	    {"servers that refuse requests", test_refusing_server},
	    {"a cold server is not flooded by requests that waited",
		test_cold_server_after_wait},
	};

	return suite_run("dispatch", cases, G_N_ELEMENTS(cases));
}
