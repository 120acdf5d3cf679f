#include "coordination/caller_retry.h"
#include "suite.h"

#define OBJECTIVE_MS 500
#define BUDGET_MS 3000
/* The budgets of callers are shorter by up to this fraction. */
#define JITTER 0.18

/* Learns n callers of a route, a fraction of whom retry. */
static void
learn(caller_retry_t *r, GRand *rand, guint n, double retrying)
{
	double left;
	guint i;

	for (i = 0; i < n; i++) {
		left = BUDGET_MS * (1 - JITTER * g_rand_double(rand));
		if (g_rand_double(rand) < retrying)
			left -= 1000;
		caller_retry_is_late(r, "watch", OBJECTIVE_MS, (msec_t)left);
	}
}

static void
test_late(void)
{
	static const struct {
		const char *name;
		double retrying; /* fraction of the callers who retry */
		msec_t left_ms;
		gboolean late;
	} rows[] = {
	    {"first", 0, BUDGET_MS, FALSE},
	    {"first, short budget", 0, 2470, FALSE},
	    {"retried at once", 0, 2400, FALSE},
	    {"retried after the objective", 0, 2100, TRUE},
	    {"budget almost used up", 0, 100, TRUE},
	    {"first, half of them retry", 0.5, 2500, FALSE},
	    {"retried, half of them retry", 0.5, 1900, TRUE},
	};
	GRand *rand = g_rand_new_with_seed(3);
	caller_retry_t r;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		caller_retry_init(&r);
		learn(&r, rand, 1000, rows[i].retrying);
		ck_assert_msg(caller_retry_is_late(&r, "watch", OBJECTIVE_MS,
				  rows[i].left_ms) == rows[i].late,
		    "%s", rows[i].name);
		caller_retry_finish(&r);
	}
	g_rand_free(rand);
}

/* A caller with a budget of an hour does not make all others late. */
static void
test_long_budget(void)
{
	GRand *rand = g_rand_new_with_seed(4);
	caller_retry_t r;
	guint i;

	caller_retry_init(&r);
	learn(&r, rand, 1000, 0);
	for (i = 0; i < 100; i++) {
		caller_retry_is_late(&r, "watch", OBJECTIVE_MS, 3600000);
		learn(&r, rand, 20, 0);
	}
	ck_assert(!caller_retry_is_late(&r, "watch", OBJECTIVE_MS, 2600));
	caller_retry_finish(&r);
	g_rand_free(rand);
}

/* Routes are independent; without an objective no caller is late. */
static void
test_routes(void)
{
	caller_retry_t r;

	caller_retry_init(&r);
	ck_assert(!caller_retry_is_late(&r, "long", OBJECTIVE_MS, 30000));
	ck_assert(!caller_retry_is_late(&r, "short", OBJECTIVE_MS, 1000));
	ck_assert(!caller_retry_is_late(&r, "none", 0, 30000));
	ck_assert(!caller_retry_is_late(&r, "none", 0, 1000));
	ck_assert(caller_retry_is_late(&r, "long", OBJECTIVE_MS, 10000));
	caller_retry_finish(&r);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"callers past their objective", test_late},
	    {"a caller with a very long budget", test_long_budget},
	    {"routes are independent", test_routes},
	};

	return suite_run("caller_retry", cases, G_N_ELEMENTS(cases));
}
