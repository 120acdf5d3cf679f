#include "routing_catalog.h"
#include "state/route_choice.h"
#include "state/route_eject.h"
#include "suite.h"

#define N_OF(a) (sizeof(a) / sizeof((a)[0]))

typedef struct {
	catalog_t catalog;
	endpoint_stats_t stats;
	route_choice_t rc;
} world_t;

static void
world_init(world_t *w, const catalog_shape_t *shape, route_policy_kind_t kind)
{
	catalog_build(&w->catalog, shape);
	endpoint_stats_init(&w->stats);
	endpoint_stats_bind(&w->stats, &w->catalog, 0);
	route_choice_init(&w->rc, kind, 7);
	route_choice_set_position(&w->rc, 0, 0, 1, 0, 1);
}

static void
world_finish(world_t *w)
{
	route_choice_finish(&w->rc);
	endpoint_stats_finish(&w->stats);
	catalog_finish(&w->catalog);
}

static route_result_t
choose(world_t *w, msec_t now)
{
	route_request_t req = {.service = 0, .bits = 1000};

	return route_choose(&w->rc, &w->stats, &w->catalog, &req, now);
}

static void
report(world_t *w, endpoint_id_t id, gboolean healthy, gboolean draining,
    double load, msec_t at)
{
	endpoint_report_t r = {healthy, draining, load, at};

	endpoint_stats_report(&w->stats, id, &r);
}

static void
all_report_empty(world_t *w, msec_t at)
{
	guint i;

	for (i = 0; i < w->catalog.endpoints->len; i++)
		report(w, i, TRUE, FALSE, 0, at);
}

static void
outcomes(world_t *w, endpoint_id_t id, outcome_t o, int n, msec_t now)
{
	while (n-- > 0)
		endpoint_stats_end(
		    &w->stats, endpoint_stats_begin(&w->stats, id), o, 10, now);
}

static void
states_follow_reports_and_outcomes(void)
{
	static const struct {
		const char *name;
		outcome_t outcome;
		int n;
		gboolean reported, healthy, draining;
		msec_t reported_at, at;
		endpoint_state_t expected;
	} rows[] = {
	    {"nothing known", OUTCOME_OK, 0, 0, 0, 0, 0, 5, ENDPOINT_USABLE},
	    {"healthy", OUTCOME_OK, 0, 1, 1, 0, 0, 5, ENDPOINT_USABLE},
	    {"reports unhealthy", OUTCOME_OK, 0, 1, 0, 0, 0, 5,
		ENDPOINT_EJECTED},
	    {"old report of unhealthy", OUTCOME_OK, 0, 1, 0, 0, 0, 9000,
		ENDPOINT_USABLE},
	    {"reports unhealthy, answered since", OUTCOME_OK, 1, 1, 0, 0, -5, 5,
		ENDPOINT_USABLE},
	    {"reports healthy, errors", OUTCOME_ERROR, 5, 1, 1, 0, 0, 5,
		ENDPOINT_EJECTED},
	    {"four errors", OUTCOME_ERROR, 4, 1, 1, 0, 0, 5, ENDPOINT_USABLE},
	    {"refused once", OUTCOME_REFUSED, 1, 0, 0, 0, 0, 5,
		ENDPOINT_EJECTED},
	    {"ejection over", OUTCOME_REFUSED, 1, 0, 0, 0, 0, 500,
		ENDPOINT_TRIAL},
	    {"sheds are no failures", OUTCOME_SHED, 50, 1, 1, 0, 0, 5,
		ENDPOINT_USABLE},
	    {"cancelled", OUTCOME_CANCELLED, 50, 0, 0, 0, 0, 5,
		ENDPOINT_USABLE},
	    {"draining and healthy", OUTCOME_OK, 9, 1, 1, 1, 0, 90000,
		ENDPOINT_LEAVING},
	};
	catalog_shape_t shape = {1, 1, 3, 0, 0, NULL};
	world_t w;
	size_t i;

	for (i = 0; i < N_OF(rows); i++) {
		world_init(&w, &shape, ROUTE_TWO_CHOICES);
		outcomes(&w, 0, rows[i].outcome, rows[i].n, 0);
		if (rows[i].reported)
			report(&w, 0, rows[i].healthy, rows[i].draining, 0,
			    rows[i].reported_at);
		ck_assert_msg(endpoint_stats_state(&w.stats, 0, rows[i].at) ==
			rows[i].expected,
		    "%s", rows[i].name);
		world_finish(&w);
	}
}

static void
room_counts_reports_peers_and_sheds(void)
{
	static const struct {
		const char *name;
		int own;
		double load; /* < 0: no report */
		int peer;    /* < 0: no status from a peer */
		int sheds;
		msec_t at;
		int expected;
	} rows[] = {
	    {"unknown counts as half full", 0, -1, -1, 0, 5, 3},
	    {"empty report", 0, 0, -1, 0, 5, 6},
	    {"old report is ignored", 0, 0, -1, 0, 6000, 3},
	    {"report counts own requests", 2, 0.5, -1, 0, 5, 3},
	    {"peers take precedence over the report", 1, 0, 4, 0, 5, 1},
	    {"old peer status is ignored", 1, 0, 4, 0, 2500, 5},
	    {"shed takes precedence over an empty report", 0, 0, 0, 1, 2, 0},
	    {"shed expires", 0, 0, 0, 1, 6, 6},
	    {"second shed lasts longer", 0, 0, 0, 2, 6, 0},
	    {"full", 3, 0, 9, 0, 5, 0},
	};
	catalog_shape_t shape = {1, 1, 6, 0, 0, NULL};
	world_t w;
	size_t i;
	int k;

	for (i = 0; i < N_OF(rows); i++) {
		world_init(&w, &shape, ROUTE_TWO_CHOICES);
		for (k = 0; k < rows[i].own; k++)
			endpoint_stats_begin(&w.stats, 0);
		if (rows[i].load >= 0)
			report(&w, 0, TRUE, FALSE, rows[i].load, 0);
		if (rows[i].peer >= 0)
			endpoint_stats_peer(&w.stats, 0, 9, rows[i].peer, 0);
		outcomes(&w, 0, OUTCOME_SHED, rows[i].sheds, 0);
		ck_assert_msg(endpoint_stats_room(&w.stats, 0, rows[i].at) ==
			rows[i].expected,
		    "%s: %d", rows[i].name,
		    endpoint_stats_room(&w.stats, 0, rows[i].at));
		world_finish(&w);
	}
}

static void
statistics_survive_a_change_of_catalog(void)
{
	catalog_shape_t two = {1, 2, 3, 0, 0, NULL},
			one = {1, 1, 3, 0, 0, NULL};
	catalog_t smaller, again;
	stat_id_t held;
	world_t w;

	world_init(&w, &two, ROUTE_TWO_CHOICES);
	endpoint_stats_set_leaving(&w.stats, 0, TRUE);
	held = endpoint_stats_begin(&w.stats, 1);
	catalog_build(&smaller, &one);
	endpoint_stats_bind(&w.stats, &smaller, 5);
	ck_assert_int_eq(
	    endpoint_stats_state(&w.stats, 0, 5), ENDPOINT_LEAVING);
	catalog_build(&again, &two);
	endpoint_stats_bind(&w.stats, &again, 6);
	ck_assert_int_eq(endpoint_stats_row(&w.stats, 1)->in_flight, 1);
	ck_assert(!endpoint_stats_row(&w.stats, 1)->cold);
	endpoint_stats_bind(&w.stats, &smaller, 7);
	endpoint_stats_end(&w.stats, held, OUTCOME_OK, 1, 8);
	endpoint_stats_bind(&w.stats, &again, 9);
	ck_assert(endpoint_stats_row(&w.stats, 1)->cold);
	ck_assert_int_eq(endpoint_stats_ramp(&w.stats, 1, 9), 1);
	ck_assert_int_eq(endpoint_stats_ramp(&w.stats, 1, 9 + 7000), 2);
	ck_assert_int_eq(endpoint_stats_ramp(&w.stats, 1, 9 + 10000), 3);
	catalog_finish(&smaller);
	catalog_finish(&again);
	world_finish(&w);
}

static void
ejection_cannot_empty_a_service(void)
{
	catalog_shape_t shape = {1, 6, 3, 0, 0, NULL};
	route_result_t r;
	gboolean used[6] = {0};
	int i, n = 0;
	world_t w;

	world_init(&w, &shape, ROUTE_TWO_CHOICES);
	all_report_empty(&w, 0);
	for (i = 0; i < 6; i++)
		outcomes(&w, i, OUTCOME_TIMEOUT, 5, 0);
	while ((r = choose(&w, 1)).kind == ROUTE_SENT)
		used[r.endpoint] = TRUE;
	for (i = 0; i < 6; i++)
		n += used[i];
	ck_assert_int_eq(n, 6 - 6 / ROUTE_EJECT_CAP_DIVISOR);
	world_finish(&w);
}

static void
spill_uses_only_spare_room(void)
{
	static const struct {
		const char *name;
		double cap, load;
		uint64_t bits_per_sec;
		uint16_t hosts;
		uint16_t outside; /* hosts outside the other region; 0: all */
		int expected; /* requests beyond the six slots of this region */
	} rows[] = {
	    {"no cap, no spill", 0, 0, 0, 1, 0, 0},
	    {"half of six", 0.5, 0, 0, 1, 0, 3},
	    {"split over hosts", 0.5, 0, 0, 3, 0, 1},
	    {"split over hosts outside the region", 0.5, 0, 0, 3, 1, 3},
	    {"no spare room", 0.5, 1, 0, 1, 0, 0},
	    {"link budget of two requests", 0.5, 0, 10000, 1, 0, 2},
	};
	catalog_shape_t shape = {2, 4, 3, 0, 0, NULL};
	route_result_t r;
	world_t w;
	size_t i;
	int n;

	for (i = 0; i < N_OF(rows); i++) {
		shape.spill_cap = rows[i].cap;
		shape.bits_per_sec = rows[i].bits_per_sec;
		world_init(&w, &shape, ROUTE_TWO_CHOICES);
		route_choice_set_position(&w.rc, 0, 0, rows[i].hosts, 0, 1);
		if (rows[i].outside > 0)
			route_choice_set_spill_position(
			    &w.rc, 1, (route_position_t){0, rows[i].outside});
		all_report_empty(&w, 0);
		report(&w, 2, TRUE, FALSE, rows[i].load, 0);
		report(&w, 3, TRUE, FALSE, rows[i].load, 0);
		for (n = 0; (r = choose(&w, 1)).kind == ROUTE_SENT; n++)
			ck_assert(n >= 6 || r.endpoint < 2);
		ck_assert_int_eq(r.kind, ROUTE_FULL);
		ck_assert_msg(
		    n == 6 + rows[i].expected, "%s: %d", rows[i].name, n);
		world_finish(&w);
	}
}

/* At any time, sent to v2 <= share * sent, also while v1 is full. */
static void
capped_version_never_exceeds_its_share(void)
{
	static const uint32_t shares[] = {10000, 50000, 333333, 1000000};
	catalog_shape_t shape = {1, 8, 3, 0, 0, "v2"};
	route_request_t req = {.service = 0};
	uint64_t sent, second;
	route_result_t r;
	world_t w;
	size_t i;
	int k;

	for (i = 0; i < N_OF(shares); i++) {
		version_share_t mix[] = {{"v1", SHARE_WHOLE - shares[i], FALSE},
		    {"v2", shares[i], TRUE}};

		world_init(&w, &shape, ROUTE_TWO_CHOICES);
		route_choice_versions(&w.rc, "svc", mix, 2);
		all_report_empty(&w, 0);
		sent = second = 0;
		for (k = 0; k < 4000; k++) {
			r = route_choose(&w.rc, &w.stats, &w.catalog, &req, 1);
			if (r.kind != ROUTE_SENT)
				continue;
			sent++;
			second += r.endpoint % 3 == 2;
			ck_assert_uint_le(
			    second * SHARE_WHOLE, sent * shares[i]);
			/* With room for all, v2 gets its whole share. */
			ck_assert(k >= 1000 ||
			    (second + 1) * SHARE_WHOLE > sent * shares[i]);
			if (k < 1000 || k % 100 < 50)
				route_end(&w.rc, &w.stats, &r.ticket,
				    OUTCOME_OK, 5, 0, 1);
		}
		world_finish(&w);
	}
}

static void
assigned_slots_are_split_without_overlap(void)
{
	catalog_shape_t shape = {1, 14, 3, 0, 0, NULL};
	int taken[14] = {0}, i, h, n, hosts = 10, total = 0;
	route_result_t r;
	world_t w;

	for (h = 0; h < hosts; h++) {
		world_init(&w, &shape, ROUTE_ASSIGNED_SLOTS);
		route_choice_set_position(&w.rc, 0, h, hosts, h, hosts);
		for (i = 0; i < 14; i++)
			endpoint_stats_peer(&w.stats, i, 1, 3, 0);
		/* A host uses the slots assigned to it before others. */
		n = route_part(42, h, hosts);
		for (i = 0; i < n; i++) {
			r = choose(&w, 1);
			ck_assert_int_eq(r.kind, ROUTE_SENT);
			taken[r.endpoint]++;
			total++;
		}
		world_finish(&w);
	}
	ck_assert_int_eq(total, 42);
	for (i = 0; i < 14; i++)
		ck_assert_int_eq(taken[i], 3);
}

static void
each_policy_respects_slots_and_exclusions(void)
{
	static const route_policy_kind_t kinds[] = {ROUTE_ROUND_ROBIN,
	    ROUTE_LEAST_LOAD, ROUTE_TWO_CHOICES, ROUTE_ASSIGNED_SLOTS};
	catalog_shape_t shape = {1, 3, 2, 0, 0, NULL};
	endpoint_id_t all[] = {0, 1, 2};
	route_request_t req = {.service = 0, .tried = all, .n_tried = 2};
	route_result_t r;
	world_t w;
	size_t i;
	int n;

	for (i = 0; i < N_OF(kinds); i++) {
		world_init(&w, &shape, kinds[i]);
		all_report_empty(&w, 0);
		r = route_choose(&w.rc, &w.stats, &w.catalog, &req, 1);
		ck_assert_int_eq(r.endpoint, 2);
		for (n = 1; choose(&w, 1).kind == ROUTE_SENT; n++)
			;
		ck_assert_int_eq(n, 6);
		req.n_tried = 3;
		r = route_choose(&w.rc, &w.stats, &w.catalog, &req, 1);
		ck_assert_int_eq(r.kind, ROUTE_NONE);
		req.n_tried = 2;
		world_finish(&w);
	}
}

static void
only_round_robin_ejects_nothing(void)
{
	static const struct {
		route_policy_kind_t kind;
		int sent_to_failing;
	} rows[] = {{ROUTE_ROUND_ROBIN, 2}, {ROUTE_ASSIGNED_SLOTS, 0}};
	catalog_shape_t shape = {1, 4, 4, 0, 0, NULL};
	world_t w;
	size_t i;
	int n, found;

	for (i = 0; i < N_OF(rows); i++) {
		world_init(&w, &shape, rows[i].kind);
		outcomes(&w, 0, OUTCOME_ERROR, 5, 0);
		found = 0;
		for (n = 0; n < 8; n++)
			found += choose(&w, 1).endpoint == 0;
		ck_assert_int_eq(found, rows[i].sent_to_failing);
		world_finish(&w);
	}
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"states follow reports and outcomes",
		states_follow_reports_and_outcomes},
	    {"room counts reports, peers and sheds",
		room_counts_reports_peers_and_sheds},
	    {"statistics survive a change of catalog",
		statistics_survive_a_change_of_catalog},
	    {"ejection cannot empty a service",
		ejection_cannot_empty_a_service},
	    {"spill uses only spare room", spill_uses_only_spare_room},
	    {"capped version never exceeds its share",
		capped_version_never_exceeds_its_share},
	    {"assigned slots are split without overlap",
		assigned_slots_are_split_without_overlap},
	    {"each policy respects slots and exclusions",
		each_policy_respects_slots_and_exclusions},
	    {"only round robin ejects nothing",
		only_round_robin_ejects_nothing},
	};

	return suite_run("routing", cases, N_OF(cases));
}
