#include "suite.h"
#include "fuzz/config_world.h"
#include "fuzz/rule_search.h"

static void
oracle_detects_broken_rules(void)
{
	static const broken_rule_t rows[] = {{BROKEN_LOST, 1427},
	    {BROKEN_READ_BACK, 90}, {BROKEN_LOWER, 0}, {BROKEN_DIGEST, 0},
	    {BROKEN_COUNT, 0}};

	check_broken_rules(rows, G_N_ELEMENTS(rows));
}

static world_t *
world_new(void)
{
	world_t *w = g_new(world_t, 1);

	world_init(w, RULES_KEPT);
	return w;
}

static void
run_ms(world_t *w, msec_t ms)
{
	for (; ms > 0; ms -= 200)
		run_round(w);
	check_world(w);
	ck_assert_msg(w->violation == NULL, "%s", w->violation);
}

static void
world_done(world_t *w)
{
	world_finish(w);
	g_free(w);
}

/* Outcome that is reported to one operator under a fault of store or host. */
static void
reported_outcomes_are_correct(void)
{
	static const struct {
		gboolean store_up, host_1_cut, raced;
		apply_state_t after_1_s, after_15_s, after_heal;
	} rows[] = {
	    {TRUE, FALSE, FALSE, APPLY_IN_FORCE, APPLY_IN_FORCE,
		APPLY_IN_FORCE},
	    {TRUE, TRUE, FALSE, APPLY_ACCEPTED, APPLY_ACCEPTED, APPLY_IN_FORCE},
	    {FALSE, FALSE, FALSE, APPLY_WRITING, APPLY_FAILED, APPLY_FAILED},
	    {TRUE, FALSE, TRUE, APPLY_CONFLICT, APPLY_CONFLICT, APPLY_CONFLICT},
	};
	world_t *w;
	size_t i;
	int task;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		w = world_new();
		w->store_up = rows[i].store_up;
		w->cut[1] = rows[i].host_1_cut;
		if (rows[i].raced)
			apply_new(w, 2, 0, 9);
		apply_new(w, 0, 0, 1);
		task = w->ntasks;
		run_ms(w, 1000);
		ck_assert_int_eq(w->tasks[task].a.state, rows[i].after_1_s);
		run_ms(w, 14000);
		ck_assert_int_eq(w->tasks[task].a.state, rows[i].after_15_s);
		w->store_up = TRUE;
		w->cut[1] = FALSE;
		run_ms(w, 5000);
		ck_assert_int_eq(w->tasks[task].a.state, rows[i].after_heal);
		if (rows[i].raced) {
			ck_assert_uint_eq(w->tasks[task].a.base, 0);
			ck_assert_uint_eq(w->tasks[task].a.head_version, 1);
		}
		world_done(w);
	}
}

/* The store takes the write, its answer is lost, and it becomes unreachable. */
static void
lost_answer_is_unknown_until_read_back(void)
{
	world_t *w = world_new();
	message_t m;

	apply_new(w, 0, 0, 1);
	while (w->nmessages > 0) {
		m = w->messages[0];
		deliver_at(w, 0, FALSE);
		if (m.kind == WRITE)
			break;
	}
	w->nmessages = 0;
	ck_assert_uint_eq(w->head, 1);
	w->store_up = FALSE;
	run_ms(w, 30000);
	ck_assert_int_eq(w->tasks[1].a.state, APPLY_UNKNOWN);
	w->store_up = TRUE;
	apply_new(w, 2, 1, 2);
	run_ms(w, 3000);
	ck_assert_int_eq(w->tasks[1].a.state, APPLY_IN_FORCE);
	ck_assert_uint_eq(w->hosts[1].text, 2);
	world_done(w);
}

/* With the store down, a host that restarted gets the text from a peer. */
static void
peers_supply_the_text(void)
{
	world_t *w = world_new();

	apply_new(w, 0, 0, 1);
	run_ms(w, 2000);
	host_restart(&w->hosts[1]);
	w->store_up = FALSE;
	run_ms(w, 2000);
	ck_assert_uint_eq(w->hosts[1].config_sync.in_force.version, 1);
	ck_assert_uint_eq(w->hosts[1].text, 1);
	world_done(w);
}

static void
unparsable_text_changes_nothing(void)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(config_sync_action_t));
	const uint64_t good = 1, bad = 2;
	config_ref_t one = ref_of(1, good), two = ref_of(2, bad), got;
	config_sync_t s;

	config_sync_init(&s);
	config_sync_learn(&s, &one, 0, out);
	ck_assert(!config_sync_fetched(&s, 1, &bad, sizeof(bad), 0, &got));
	config_sync_tick(&s, CONFIG_SYNC_BACKOFF_MIN_MS, out);
	ck_assert(config_sync_fetched(&s, 2, &good, sizeof(good), 0, &got));
	ck_assert(config_sync_parsed(&s, &got, TRUE));
	config_sync_learn(&s, &two, 0, out);
	ck_assert(config_sync_fetched(&s, 3, &bad, sizeof(bad), 0, &got));
	ck_assert(!config_sync_parsed(&s, &got, FALSE));
	config_sync_tick(&s, 100000, out);
	ck_assert_uint_eq(out->len, 3);
	ck_assert_uint_eq(s.in_force.version, 1);
	ck_assert(
	    !config_sync_learn(&s, &(config_ref_t){1, two.digest}, 0, out));
	g_array_free(out, TRUE);
	config_sync_finish(&s);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"reported outcomes are correct", reported_outcomes_are_correct},
	    {"lost answer is unknown until read back",
		lost_answer_is_unknown_until_read_back},
	    {"peers supply the text", peers_supply_the_text},
	    {"unparsable text changes nothing",
		unparsable_text_changes_nothing},
	    {"oracle detects broken rules", oracle_detects_broken_rules},
	};

	return suite_run("config", cases, sizeof(cases) / sizeof(cases[0]));
}
