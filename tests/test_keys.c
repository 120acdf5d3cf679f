#include "suite.h"
#include "fuzz/keys_world.h"
#include "fuzz/rule_search.h"

static void
oracle_detects_broken_rules(void)
{
	static const broken_rule_t rows[] = {{BROKEN_PROMISE, 959},
	    {BROKEN_RECEIPT, 484}, {BROKEN_RELAY, 484}, {BROKEN_REQUIRED, 2041},
	    {BROKEN_DONE, 14}, {BROKEN_ROSTER, 57}, {BROKEN_LOST, 37},
	    {BROKEN_DRIFT, 3896}};

	check_broken_rules(rows, G_N_ELEMENTS(rows));
}

/*
 * Hosts 1 and 2 are cut off from the store and from host 0: of its withdrawal
 * they get only its departure notice.
 */
static void
departure_without_store(world_t *w)
{
	withdraw(w, 0, 0);
	w->cut[0][1] = w->cut[1][0] = TRUE;
	w->cut[0][2] = w->cut[2][0] = TRUE;
	w->store_cut[1] = w->store_cut[2] = TRUE;
	run_rounds(w, 40);
	ck_assert(w->done[0]);
	memset(w->cut, 0, sizeof(w->cut));
	proc_leave(w, 0);
	run_rounds(w, 5);
}

/* The paused process of a replaced host resumes without the store. */
static void
replaced_host_resumes(world_t *w)
{
	w->procs[0].paused = TRUE;
	proc_start(w, 0);
	run_rounds(w, 40);
	w->store_cut[0] = TRUE;
	w->procs[0].paused = FALSE;
	run_rounds(w, 2);
	w->procs[0].paused = TRUE;
	withdraw(w, 1, 0);
	run_rounds(w, 4);
	ck_assert(w->done[0]);
	w->procs[0].paused = FALSE;
	check_world(w);
}

/* Faults that random inputs rarely cause, with the rule kept and broken. */
static void
rare_faults_break_no_guarantee(void)
{
	static const struct {
		rules_t rules;
		void (*fault)(world_t *w);
	} rows[] = {{BROKEN_DEPARTURE, departure_without_store},
	    {BROKEN_MEMBER, replaced_host_resumes}};
	world_t *w = g_new(world_t, 1);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		world_init(w, RULES_KEPT);
		rows[i].fault(w);
		ck_assert_msg(w->violation == NULL, "%s", w->violation);
		world_finish(w);
		world_init(w, rows[i].rules);
		rows[i].fault(w);
		ck_assert_msg(w->violation != NULL, "row %d", (int)i);
		world_finish(w);
	}
	g_free(w);
}

static key_verdict_kind_t
verdict(const world_t *w, int p, int key)
{
	const proc_t *h = &w->procs[p];

	return keys_check(
	    &h->sync.keys, &h->sync.fresh, &w->digests[key], clock_of(w, p))
	    .kind;
}

static void
run_ms(world_t *w, msec_t ms)
{
	for (; ms > 0; ms -= 200)
		run_rounds(w, 1);
	ck_assert_msg(w->violation == NULL, "%s", w->violation);
}

static world_t *
world_started(void)
{
	world_t *w = g_new(world_t, 1);

	world_init(w, RULES_KEPT);
	run_ms(w, 2000);
	return w;
}

static void
world_done(world_t *w)
{
	world_finish(w);
	g_free(w);
}

/* What is unreachable for a minute, and which hosts still accept the key. */
static void
outages_affect_only_partitioned_hosts(void)
{
	static const struct {
		gboolean store_up, cut_store_of_0, cut_0_1;
		key_verdict_kind_t of_0, of_1, of_2;
	} rows[] = {
	    {TRUE, FALSE, FALSE, KEY_OK, KEY_OK, KEY_OK},
	    {FALSE, FALSE, FALSE, KEY_OK, KEY_OK, KEY_OK},
	    {TRUE, TRUE, FALSE, KEY_OK, KEY_OK, KEY_OK},
	    {TRUE, TRUE, TRUE, KEY_OK, KEY_OK, KEY_OK},
	    {FALSE, FALSE, TRUE, KEY_NOT_FRESH, KEY_NOT_FRESH, KEY_OK},
	};
	world_t *w;
	size_t i;
	int ms;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		w = world_started();
		w->store_up = rows[i].store_up;
		w->store_cut[0] = rows[i].cut_store_of_0;
		w->cut[0][1] = w->cut[1][0] = rows[i].cut_0_1;
		for (ms = 0; ms < 60000; ms += 200) {
			run_ms(w, 200);
			ck_assert_int_eq(verdict(w, 2, 0), rows[i].of_2);
			if (ms < FRESH_MS)
				continue;
			ck_assert_int_eq(verdict(w, 0, 0), rows[i].of_0);
			ck_assert_int_eq(verdict(w, 1, 0), rows[i].of_1);
		}
		world_done(w);
	}
}

static void
new_host_waits_for_the_keys(void)
{
	world_t *w = world_started();

	w->store_up = FALSE;
	proc_start(w, 0);
	run_ms(w, 10000);
	ck_assert_int_eq(verdict(w, 3, 0), KEY_NOT_FRESH);
	w->store_up = TRUE;
	run_ms(w, 1000);
	ck_assert_int_eq(verdict(w, 3, 0), KEY_OK);
	ck_assert_int_eq(verdict(w, 0, 0), KEY_NOT_FRESH);
	world_done(w);
}

/* A withdrawal at host 0 under faults: its state after 0.6 s and 4.6 s. */
static void
withdrawals_end_in_time(void)
{
	static const struct {
		gboolean store_up, cut_0_1;
		withdrawal_state_t soon, late;
		key_verdict_kind_t of_1;
	} rows[] = {
	    {TRUE, FALSE, WITHDRAWAL_DONE, WITHDRAWAL_DONE, KEY_WITHDRAWN},
	    {TRUE, TRUE, WITHDRAWAL_ACCEPTED, WITHDRAWAL_DONE, KEY_WITHDRAWN},
	    {FALSE, FALSE, WITHDRAWAL_UNAVAILABLE, WITHDRAWAL_UNAVAILABLE,
		KEY_WITHDRAWN},
	    {FALSE, TRUE, WITHDRAWAL_UNAVAILABLE, WITHDRAWAL_UNAVAILABLE,
		KEY_NOT_FRESH},
	};
	world_t *w;
	const withdrawal_t *x;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		w = world_started();
		run_ms(w, 4000);
		w->store_up = rows[i].store_up;
		w->cut[0][1] = w->cut[1][0] = rows[i].cut_0_1;
		withdraw(w, 0, 0);
		x = withdrawals_get(&w->procs[0].sync.withdrawals, 1);
		run_ms(w, 600);
		ck_assert_int_eq(x->state, rows[i].soon);
		run_ms(w, 4000);
		ck_assert_int_eq(x->state, rows[i].late);
		ck_assert_int_eq(verdict(w, 1, 0), rows[i].of_1);
		w->store_up = TRUE;
		run_ms(w, 5000);
		ck_assert(w->done[0]);
		ck_assert_int_eq(verdict(w, 1, 0), KEY_WITHDRAWN);
		ck_assert_int_eq(verdict(w, 1, 1), KEY_OK);
		world_done(w);
	}
}

/* The host that took the withdrawal dies before the write; a peer stores it. */
static void
withdrawal_survives_death_of_its_host(void)
{
	world_t *w = world_started();

	w->store_up = FALSE;
	withdraw(w, 0, 0);
	run_ms(w, 1000);
	w->procs[0].alive = FALSE;
	proc_start(w, 0);
	run_ms(w, 10000);
	ck_assert_int_eq(verdict(w, 1, 0), KEY_WITHDRAWN);
	w->store_up = TRUE;
	run_ms(w, 8000);
	ck_assert(w->done[0]);
	ck_assert_int_eq(verdict(w, 3, 0), KEY_WITHDRAWN);
	ck_assert_int_eq(verdict(w, 3, 1), KEY_OK);
	world_done(w);
}

/* Rows in any order, with duplicates, give the same result and delta. */
static void
merge_is_independent_of_order(void)
{
	static const struct {
		int key;
		uint64_t version;
		gboolean withdrawn;
	} rows[] = {{0, 1, 0}, {1, 2, 0}, {0, 3, 1}, {1, 0, 1}, {2, 4, 0}};
	GRand *rand = g_rand_new_with_seed(1);
	GArray *delta = g_array_new(FALSE, FALSE, sizeof(key_row_t));
	key_row_t row = {.workspace = "w"};
	digest_t digests[3];
	keys_t k;
	int i, n, at, seen;

	for (i = 0; i < 3; i++)
		digest_of(&i, sizeof(i), &digests[i]);
	for (n = 0; n < 200; n++) {
		keys_init(&k);
		for (i = 0, seen = 0; seen != 0x1f || i < 10; i++) {
			at = g_rand_int_range(rand, 0, 5);
			seen |= 1 << at;
			row.digest = digests[rows[at].key];
			row.version = rows[at].version;
			row.withdrawn = rows[at].withdrawn;
			keys_merge(&k, &row);
		}
		keys_merged_range(&k, 1, 4);
		ck_assert_uint_eq(keys_complete(&k), 0);
		keys_merged_range(&k, 0, 4);
		ck_assert(keys_find(&k, &digests[0])->withdrawn);
		ck_assert(!keys_find(&k, &digests[0])->pending);
		ck_assert(keys_find(&k, &digests[1])->pending);
		ck_assert(!keys_find(&k, &digests[2])->withdrawn);
		g_array_set_size(delta, 0);
		ck_assert_uint_eq(keys_delta(&k, 0, 1, delta), 2);
		ck_assert_uint_eq(delta->len, 2);
		ck_assert_uint_eq(keys_delta(&k, 2, 9, delta), 4);
		ck_assert_uint_eq(delta->len, 5);
		keys_finish(&k);
	}
	g_array_free(delta, TRUE);
	g_rand_free(rand);
}

/* Frequent updates of a key don't grow the list of versions without bound. */
static void
version_list_stays_bounded(void)
{
	key_row_t row = {.workspace = "w"};
	char hex[DIGEST_HEX_CHARS + 1];
	digest_t again;
	keys_t k;
	uint64_t i;

	keys_init(&k);
	for (i = 1; i <= 20000; i++) {
		row.version = i;
		digest_of(&(uint64_t){i % 1000}, sizeof(i), &row.digest);
		keys_merge(&k, &row);
	}
	ck_assert_uint_eq(keys_count(&k), 1000);
	ck_assert_uint_le(k.by_version->len, 3000);
	keys_finish(&k);
	digest_to_hex(&row.digest, hex);
	ck_assert(digest_from_hex(hex, &again));
	ck_assert(digest_equal(&again, &row.digest));
	hex[3] = 'x';
	ck_assert(!digest_from_hex(hex, &again));
	ck_assert(!digest_from_hex("00", &again));
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"merge is independent of order", merge_is_independent_of_order},
	    {"version list stays bounded", version_list_stays_bounded},
	    {"outages affect only partitioned hosts",
		outages_affect_only_partitioned_hosts},
	    {"new host waits for the keys", new_host_waits_for_the_keys},
	    {"withdrawals end in time", withdrawals_end_in_time},
	    {"withdrawal survives death of its host",
		withdrawal_survives_death_of_its_host},
	    {"rare faults break no guarantee", rare_faults_break_no_guarantee},
	    {"oracle detects broken rules", oracle_detects_broken_rules},
	};

	return suite_run("keys", cases, sizeof(cases) / sizeof(cases[0]));
}
