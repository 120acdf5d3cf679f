#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "coordination/move_admit.h"
#include "coordination/move_holder.h"
#include "coordination/move_host.h"
#include "protocol/move_json.h"
#include "suite.h"

static const caps_t caps = {
    .shift_cap = 0.3, .rollout_cap = 0.05, .rollout_sec = 100};

static const move_request_t rollout = {
    "m1", MOVE_ROLLOUT, MOVE_VERSION, "till", "1", "2", 0, 100};

static move_row_t
admitted(const move_request_t *request)
{
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(move_row_t));
	gboolean again;
	move_row_t row;

	ck_assert(move_admit(rows, request, &caps, 0, &row, &again, NULL));
	g_array_free(rows, TRUE);
	return row;
}

static void
conflicting_and_invalid_moves_are_refused(void)
{
	static const struct {
		move_request_t request;
		int code; /* -1: admitted */
		const char *message;
	} rows[] = {
	    {{"m2", MOVE_SHIFT, MOVE_REGION, "till", "a", "b", 3000, 0},
		ERROR_CONFLICT, "move m1 of till is under way"},
	    {{"m2", MOVE_DRAIN, MOVE_REGION, "*", "a", NULL, 0, 0},
		ERROR_CONFLICT, "move m1 of till"},
	    {{"m2", MOVE_DRAIN, MOVE_HOST, "*", "h1", NULL, 0, 0}, -1, ""},
	    {{"m2", MOVE_SHIFT, MOVE_REGION, "shop", "a", "b", 3000, 0}, -1,
		""},
	    {{"m2", MOVE_SHIFT, MOVE_REGION, "shop", "a", "b", 3001, 0},
		ERROR_INVALID, "cap of 3000"},
	    {{"m2", MOVE_SHIFT, MOVE_REGION, "shop", "a", "a", 10, 0},
		ERROR_INVALID, "ends of a move must differ"},
	    {{"m2", MOVE_SHIFT, MOVE_REGION, "*", "a", "b", 10, 0},
		ERROR_INVALID, "one service"},
	    {{"m2", MOVE_ROLLOUT, MOVE_VERSION, "shop", "1", "", 0, 0},
		ERROR_INVALID, "characters"},
	    {{"m1", MOVE_ROLLOUT, MOVE_VERSION, "till", "1", "2", 0, 100}, -1,
		""},
	};
	GArray *known = g_array_new(FALSE, FALSE, sizeof(move_row_t));
	move_row_t first = admitted(&rollout), row;
	GError *err = NULL;
	gboolean again, ok;
	size_t i;

	g_array_append_val(known, first);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		ok = move_admit(
		    known, &rows[i].request, &caps, 0, &row, &again, &err);
		ck_assert_int_eq(ok, rows[i].code < 0);
		ck_assert_int_eq(ok && again, i == 8);
		if (ok)
			continue;
		ck_assert_int_eq(err->code, rows[i].code);
		ck_assert_msg(strstr(err->message, rows[i].message) != NULL,
		    "%s", err->message);
		g_clear_error(&err);
	}
	g_array_free(known, TRUE);
}

static void
room_counts_unmeasured_load(void)
{
	static const struct {
		move_room_t room;
		share_t share;
	} rows[] = {
	    {{.slots = 100, .busy = 40, .demand = 100}, 4000},
	    {{.slots = 100, .busy = 40, .unmeasured = 30, .demand = 100}, 1000},
	    {{.slots = 100, .busy = 40, .demand = 100, .cold_percent = 200},
		2000},
	    {{.slots = 100, .busy = 90, .demand = 100}, 0},
	    {{.slots = 100, .busy = 0, .demand = 0}, SHARE_ONE},
	    {{.slots = 0, .busy = 0, .demand = 100}, 0},
	    {{.slots = 100,
		 .demand = 10,
		 .link_free = 1000,
		 .link_demand = 8000},
		1000},
	    {{.slots = 100, .demand = 10, .link_demand = 8000}, 0},
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		ck_assert_uint_eq(
		    move_room_share(&rows[i].room), rows[i].share);
}

static void
plan_spreads_steps_over_the_remaining_time(void)
{
	static const struct {
		share_t share;
		gboolean proven;
		int64_t wall;
		judge_verdict_t verdict;
		share_t next;
		gboolean lacks_load;
	} rows[] = {
	    {0, FALSE, 0, JUDGE_UNDECIDED, 100, FALSE},
	    {100, FALSE, 5000, JUDGE_UNDECIDED, 500, FALSE},
	    {500, FALSE, 79999, JUDGE_GOOD, 500,
		FALSE}, /* held for 80 s of 100 s */
	    {500, FALSE, 80000, JUDGE_UNDECIDED, 500, FALSE},
	    {500, FALSE, 80000, JUDGE_GOOD, 3500, FALSE}, /* at most one step */
	    {500, FALSE, 79999, JUDGE_UNDECIDED, 500, TRUE},
	    {500, FALSE, 80000, JUDGE_UNDECIDED, 1000,
		TRUE}, /* up to the cap */
	    {1000, TRUE, 80000, JUDGE_UNDECIDED, 1500, TRUE},
	    {5000, TRUE, 70000, JUDGE_GOOD, 6000, FALSE}, /* 5 steps left */
	    {5000, TRUE, 90000, JUDGE_UNDECIDED, 5000, FALSE},
	    {5000, TRUE, 90000, JUDGE_GOOD, 8000, FALSE},
	    {9900, TRUE, 50000, JUDGE_GOOD, 10000, FALSE},
	};
	move_row_t row = admitted(&rollout);
	move_pace_t pace = {.step_ms = 5000};
	gboolean proven;
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		row.share = rows[i].share;
		row.proven = rows[i].proven;
		pace.wall_now = rows[i].wall;
		pace.verdict = rows[i].verdict;
		pace.lacks_load = rows[i].lacks_load;
		ck_assert_uint_eq(
		    move_plan_next(&row, &pace, &proven), rows[i].next);
		ck_assert_int_eq(
		    proven, rows[i].proven || rows[i].next > row.cap);
	}
}

static share_t
weight(const move_host_t *h, msec_t now)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(move_weight_t));
	share_t share = 0;

	move_weights(h, "till", now, out);
	if (out->len > 0)
		share = g_array_index(out, move_weight_t, 0).share;
	g_array_free(out, TRUE);
	return share;
}

static void
weight_is_zero_without_contact_or_after_a_stop(void)
{
	move_row_t row = admitted(&rollout), old;
	move_host_t h;

	move_host_init(&h);
	row.share = 500;
	row.step = 3;
	old = row;
	move_host_apply(&h, &row);
	ck_assert_uint_eq(weight(&h, 0), 0);
	move_host_note_contact(&h, 1000);
	ck_assert_uint_eq(weight(&h, 3999), 500);
	ck_assert_uint_eq(weight(&h, 4000), 0);
	row.step = 4;
	row.proven = TRUE;
	move_host_apply(&h, &row);
	ck_assert(!move_host_apply(&h, &old));
	ck_assert_uint_eq(weight(&h, 4000), 500);
	move_host_stop(&h, "m1", MOVE_STOP_BY_HOST, 0);
	row.step = 5;
	row.share = 900;
	move_host_apply(&h, &row);
	ck_assert_uint_eq(weight(&h, 4000), 0);
	ck_assert_uint_eq(move_host_step(&h, "m1"), 5);
	move_host_finish(&h);
	/* The stop arrives before the row. */
	move_host_init(&h);
	move_host_stop(&h, "m1", MOVE_STOP_ORDERED, 1);
	move_host_apply(&h, &row);
	ck_assert_uint_eq(weight(&h, 4000), 0);
	move_host_finish(&h);
}

typedef struct {
	move_holder_t m;
	move_report_t report;
	move_input_t in;
	int reports, stops;
	share_t largest;
} scenario_t;

/*
 * Runs the move until a time, with one host that confirms each step at once
 * and a store that always answers.
 */
static void
scenario_run(scenario_t *sc, msec_t until)
{
	move_action_t a;

	sc->in.held = sc->in.members_known = TRUE;
	sc->in.epoch = 1;
	sc->in.reports = &sc->report;
	sc->in.n_reports = 1;
	sc->in.settle_ms = 500;
	for (; sc->in.now < until; sc->in.now += 100) {
		sc->in.wall_now = sc->in.now;
		sc->report.confirmed = sc->m.row.step;
		sc->report.heard_at = sc->in.now;
		sc->in.room.measured_at = sc->in.now;
		a = move_holder_tick(&sc->m, &sc->in);
		if (a.act == MOVE_ACT_COMMIT)
			move_holder_answered(&sc->m, &a, MOVE_WON,
			    sc->m.version + 1, sc->in.now);
		sc->reports += a.act == MOVE_ACT_REPORT;
		sc->stops += a.act == MOVE_ACT_STOP;
		sc->largest = MAX(sc->largest, sc->m.row.share);
	}
}

static void
scenario_init(scenario_t *sc, const move_request_t *request)
{
	move_row_t row = admitted(request);

	memset(sc, 0, sizeof(*sc));
	move_holder_init(&sc->m, &row, 1, 0);
	sc->in.room = (move_room_t){.known = TRUE, .slots = 100, .demand = 50};
	sc->in.verdict = JUDGE_GOOD;
}

static void
good_rollout_ends_on_time(void)
{
	scenario_t sc;

	scenario_init(&sc, &rollout);
	scenario_run(&sc, 79000);
	ck_assert_uint_eq(sc.largest, 500);
	scenario_run(&sc, 101000);
	ck_assert_int_eq(sc.m.row.state, MOVE_DONE);
	ck_assert(!sc.m.row.late);
	ck_assert_int_eq(sc.reports, 1);
}

static void
bad_rollout_is_taken_back(void)
{
	scenario_t sc;

	scenario_init(&sc, &rollout);
	scenario_run(&sc, 20000);
	sc.in.verdict = JUDGE_BAD;
	scenario_run(&sc, 23000);
	ck_assert_int_eq(sc.m.row.state, MOVE_TAKEN_BACK);
	ck_assert_int_eq(sc.m.row.reason, MOVE_REASON_BAD);
	ck_assert_uint_eq(sc.largest, 500);
	ck_assert_int_eq(sc.stops, 1);
	ck_assert_int_eq(sc.reports, 1);
	sc.in.verdict = JUDGE_GOOD;
	scenario_run(&sc, 200000);
	ck_assert_int_eq(sc.m.row.state, MOVE_TAKEN_BACK);
	ck_assert_int_eq(sc.reports, 1);
}

static void
unproven_rollout_is_taken_back_at_the_deadline(void)
{
	scenario_t sc;

	scenario_init(&sc, &rollout);
	sc.in.verdict = JUDGE_UNDECIDED;
	scenario_run(&sc, 103000);
	ck_assert_int_eq(sc.m.row.state, MOVE_TAKEN_BACK);
	ck_assert_int_eq(sc.m.row.reason, MOVE_REASON_LATE);
	ck_assert_uint_eq(sc.largest, 500);
}

static void
drain_without_room_waits_and_is_marked_late(void)
{
	static const move_request_t drain = {
	    "m1", MOVE_DRAIN, MOVE_REGION, "*", "a", NULL, 0, 30};
	scenario_t sc;

	scenario_init(&sc, &drain);
	sc.in.room.slots = 50; /* 80 % of these hold 0.8 of the demand */
	sc.in.room.busy = 40;
	scenario_run(&sc, 31000);
	ck_assert_uint_eq(sc.largest, 0);
	ck_assert(sc.m.row.late);
	ck_assert_int_eq(sc.m.wait, MOVE_WAITS_FOR_ROOM);
	sc.in.room.busy = 0;
	sc.in.room.known = FALSE;
	scenario_run(&sc, 40000);
	ck_assert_uint_eq(sc.largest, 0);
	ck_assert_int_eq(sc.m.wait, MOVE_WAITS_FOR_MEASUREMENT);
	sc.in.room.known = TRUE;
	scenario_run(&sc, 60000);
	ck_assert_int_eq(sc.m.row.state, MOVE_DONE);
	ck_assert(sc.m.row.late);
	ck_assert_int_eq(sc.reports, 1);
}

static void
rows_survive_json_round_trip(void)
{
	static const struct {
		const char *from, *to, *field;
	} rows[] = {
	    {"\"step\":1", "\"step\":-1", "step"},
	    {"\"share\":0", "\"share\":10001", "share"},
	    {"\"kind\":\"rollout\"", "\"kind\":\"rollup\"", "kind"},
	    {"\"late\":false", "\"late\":0", "late"},
	    {"\"service\":\"till\"", "\"x\":1", "service"},
	};
	move_row_t row = admitted(&rollout), decoded;
	char *text = move_json_encode(&row), *again;
	GError *err = NULL;
	GString *altered;
	size_t i;

	ck_assert(move_json_decode(text, &decoded, NULL));
	again = move_json_encode(&decoded);
	ck_assert_str_eq(again, text);
	free(again);
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		altered = g_string_new(text);
		ck_assert_uint_eq(
		    g_string_replace(altered, rows[i].from, rows[i].to, 0), 1);
		ck_assert(!move_json_decode(altered->str, &decoded, &err));
		ck_assert_msg(strstr(err->message, rows[i].field) != NULL, "%s",
		    err->message);
		g_clear_error(&err);
		g_string_free(altered, TRUE);
	}
	ck_assert(!move_json_decode("[1", &decoded, &err));
	g_clear_error(&err);
	free(text);
}

static void
lease_rows_survive_json_round_trip(void)
{
	lease_row_t row = {
	    .holder = "h1", .incarnation = 3, .epoch = 4, .token = 5};
	lease_row_t decoded;
	char *fence = lease_json_fence(&row);
	char *renewal = lease_json_renewal(&row);

	ck_assert(lease_json_decode(fence, renewal, &decoded, NULL));
	ck_assert_str_eq(decoded.holder, row.holder);
	ck_assert_uint_eq(decoded.incarnation, row.incarnation);
	ck_assert_uint_eq(decoded.epoch, row.epoch);
	ck_assert_uint_eq(decoded.token, row.token);
	ck_assert(!decoded.released);
	/* A renewal written in another epoch is ignored. */
	free(renewal);
	row.epoch = 3;
	renewal = lease_json_renewal(&row);
	ck_assert(lease_json_decode(fence, renewal, &decoded, NULL));
	ck_assert_uint_eq(decoded.token, 0);
	free(renewal);
	free(fence);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"conflicting and invalid moves are refused",
		conflicting_and_invalid_moves_are_refused},
	    {"room counts unmeasured load", room_counts_unmeasured_load},
	    {"plan spreads steps over the remaining time",
		plan_spreads_steps_over_the_remaining_time},
	    {"weight is zero without contact or after a stop",
		weight_is_zero_without_contact_or_after_a_stop},
	    {"good rollout ends on time", good_rollout_ends_on_time},
	    {"bad rollout is taken back", bad_rollout_is_taken_back},
	    {"unproven rollout is taken back at the deadline",
		unproven_rollout_is_taken_back_at_the_deadline},
	    {"drain without room waits and is marked late",
		drain_without_room_waits_and_is_marked_late},
	    {"rows survive a JSON round trip", rows_survive_json_round_trip},
	    {"lease rows survive a JSON round trip",
		lease_rows_survive_json_round_trip},
	};

	return suite_run("move", cases, sizeof(cases) / sizeof(cases[0]));
}
