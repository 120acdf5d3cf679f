#include <stdlib.h>

#include "fuzz/roster_model.h"
#include "fuzz/weighted_ops.h"
#include "suite.h"

/* Runs the model on random bytes until the oracle reports a violation. */
static int
runs_until_violated(model_break_t broken, int runs, int *writes, int *promised)
{
	static const uint8_t ops[] = {0, 0, 0, 1, 1, 2, 2, 2, 2, 2, 2, 3, 4, 5,
	    8, 8, 9, 9, 10, 10, 10, 10, 11, 15, 15, 15};
	static const uint8_t faults[] = {5, 6, 7, 7, 11, 12, 13, 14};
	static const weighted_ops_t events = {
	    ops, G_N_ELEMENTS(ops), faults, G_N_ELEMENTS(faults), 16};
	static model_t m;
	GRand *rand = g_rand_new_with_seed(1);
	uint8_t data[256];
	int i;

	for (i = 0; i < runs; i++) {
		weighted_fill(&events, rand, data, sizeof(data));
		model_run(&m, broken, data, sizeof(data));
		*writes += m.effective;
		*promised += m.promised;
		if (m.violated)
			break;
	}
	g_rand_free(rand);
	return i;
}

static void
oracle_reports_each_broken_rule(void)
{
	static const model_break_t rules[] = {
	    BREAK_CLEAR, BREAK_ELIGIBLE, BREAK_HOLD, BREAK_RETIRE, BREAK_KNOWN};
	int writes = 0, promised = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rules); i++)
		ck_assert_msg(runs_until_violated(
				  rules[i], 3000, &writes, &promised) < 3000,
		    "rule %d", (int)rules[i]);
}

/* A late answer, then a write that the asking host does not learn of. */
static void
promise_counts_from_its_request(void)
{
	static const uint8_t data[] = {15, 7, 1, 0, 2, 0, 2, 0, 2, 0, 0, 125, 2,
	    0, 2, 0, 2, 0, 9, 1, 4, 0, 2, 0, 2, 0, 0, 255, 0, 10, 10, 1, 2, 0};
	static model_t m;

	model_run(&m, BREAK_NONE, data, sizeof(data));
	ck_assert_int_eq(m.effective, 1);
	ck_assert(!m.violated);
	model_run(&m, BREAK_SEND, data, sizeof(data));
	ck_assert(m.violated);
}

/* Fills a roster with the host's own row and those of other hosts. */
static void
join(roster_t *r, const char *self, uint64_t incarnation,
    const char *const *others, size_t n)
{
	roster_row_t row = {
	    self, incarnation, HOST_LIVE, "127.0.0.1:1", "r", "d"};
	size_t i;

	roster_init(r, &row);
	roster_scan_begin(r);
	roster_row(r, &row, 1, 0);
	for (i = 0; i < n; i++) {
		row.name = others[i];
		row.incarnation = i + 1;
		roster_row(r, &row, 1, 0);
	}
	roster_scan_end(r, incarnation, 0);
}

static void
sole_host_promises_itself(void)
{
	roster_row_t row = {"a", 1, HOST_LIVE, "127.0.0.1:1", "r", "d"};
	roster_reply_t reply;
	roster_t r;

	join(&r, "a", 1, NULL, 0);
	ck_assert_int_eq(roster_promised_since(&r), ROSTER_NEVER);
	ck_assert_int_eq(
	    roster_on_request(&r, &row, 1, TRUE, 5000, &reply), r.self);
	roster_on_reply(&r, r.self, &reply, 5000, 5001);
	ck_assert_int_eq(roster_promised_since(&r), 5000);
	ck_assert(roster_eligible(&r, 5000));
	/* A successor at the same address answers instead. */
	reply.incarnation = 2;
	roster_on_reply(&r, r.self, &reply, 5500, 5501);
	ck_assert(roster_superseded(&r));
	ck_assert_int_eq(roster_promised_since(&r), ROSTER_NEVER);
	roster_finish(&r);
}

static void
listed_host_is_retired_after_a_longer_silence(void)
{
	static const char *const others[] = {"a", "b"};
	static const struct {
		gboolean listed;
		msec_t silent;
		gboolean retired;
	} rows[] = {
	    {TRUE, SILENT_MS, FALSE},
	    {TRUE, SILENT_LISTED_MS, TRUE},
	    {FALSE, SILENT_MS - 1, FALSE},
	    {FALSE, SILENT_MS, TRUE},
	};
	roster_reply_t reply = {1, HOST_LIVE, TRUE, TRUE, FALSE};
	roster_row_t row = {"a", 1, HOST_LIVE, "127.0.0.1:1", "r", "d"};
	const msec_t last = 10000;
	roster_t r;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		join(&r, "self", 9, others, 2);
		roster_on_reply(&r, 1, &reply, last, last);
		reply.incarnation = 2;
		roster_on_reply(&r, 2, &reply, last, last);
		reply.incarnation = 1;
		roster_listed(&r, others + 1, 1);
		if (rows[i].listed)
			roster_listed(&r, others, 2);
		roster_on_request(&r, &row, 1, TRUE, last, &reply);
		ck_assert(reply.promises);
		roster_tick(&r, last + rows[i].silent);
		ck_assert_int_eq(
		    roster_may_retire(&r, 1, last + rows[i].silent),
		    rows[i].retired);
		/* Live again before the delete: it may no longer be retired. */
		roster_on_request(
		    &r, &row, 2, TRUE, last + rows[i].silent, &reply);
		ck_assert(reply.promises);
		ck_assert(!roster_may_retire(&r, 1, last + rows[i].silent));
		reply.incarnation = 1;
		roster_finish(&r);
	}
}

static void
deleted_host_is_told_that_it_is_superseded(void)
{
	static const char *const others[] = {"a", "b"};
	roster_row_t row = {"a", 1, HOST_LIVE, "127.0.0.1:1", "r", "d"};
	roster_reply_t reply;
	roster_t r;

	join(&r, "self", 9, others, 2);
	roster_on_request(&r, &row, 1, TRUE, 100, &reply);
	ck_assert(reply.promises && reply.acknowledges && !reply.superseded);
	roster_retire_sent(&r, 1);
	roster_gone(&r, "a", 1, 200);
	ck_assert(!roster_live(&r, 1, 200));
	ck_assert_int_eq(
	    roster_on_request(&r, &row, 2, TRUE, 300, &reply), HOST_NONE);
	ck_assert(reply.superseded && !reply.promises);
	/* An unknown host whose row the scan would have returned. */
	row.name = "old";
	row.incarnation = 8;
	roster_on_request(&r, &row, 1, TRUE, 300, &reply);
	ck_assert(reply.superseded);
	/* A host with a later incarnation is new. */
	row.incarnation = 10;
	ck_assert_int_eq(roster_on_request(&r, &row, 1, TRUE, 300, &reply), 3);
	ck_assert(reply.promises && reply.acknowledges);
	/* The next incarnation of "a", replaced at the same address. */
	row.name = "a";
	row.incarnation = 11;
	ck_assert_int_eq(roster_on_request(&r, &row, 1, TRUE, 400, &reply), 1);
	ck_assert_int_eq(roster_promises_end_at(&r, 1, TRUE),
	    100 + ROSTER_PROMISE_MS + ROSTER_PROMISE_DRIFT_MS);
	ck_assert_int_eq(roster_promises_end_at(&r, 1, FALSE),
	    400 + ROSTER_PROMISE_MS + ROSTER_PROMISE_DRIFT_MS);
	roster_finish(&r);
}

static void
random_runs_violate_nothing_and_have_effects(void)
{
	int writes = 0, promised = 0;

	ck_assert_int_eq(
	    runs_until_violated(BREAK_NONE, 300, &writes, &promised), 300);
	ck_assert_int_gt(writes, 100);
	ck_assert_int_gt(promised, 1000);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"the oracle reports each broken rule",
		oracle_reports_each_broken_rule},
	    {"a promise counts from its request",
		promise_counts_from_its_request},
	    {"a sole host promises itself", sole_host_promises_itself},
	    {"a listed host is retired after a longer silence",
		listed_host_is_retired_after_a_longer_silence},
	    {"a deleted host is told that it is superseded",
		deleted_host_is_told_that_it_is_superseded},
	    {"random runs violate nothing and have effects",
		random_runs_violate_nothing_and_have_effects},
	};

	return suite_run("roster", cases, G_N_ELEMENTS(cases));
}
