#include "coordination/caller_retry.h"
#include "suite.h"

#define OBJECTIVE_MS 500
#define BUDGET_MS 3000
/* Callers set their times up to this part shorter. */
#define JITTER 0.18

/* A route whose callers mostly come for the first time. */
static void
learn(caller_retry_t *r, GRand *rand, guint n, double returning)
{
	double left;
	guint i;

	for (i = 0; i < n; i++) {
		left = BUDGET_MS * (1 - JITTER * g_rand_double(rand));
		if (g_rand_double(rand) < returning)
			left -= 1000;
		caller_retry_is_late(r, "watch", OBJECTIVE_MS, (msec_t)left);
	}
}

static void
test_late(void)
{
	static const struct {
		const char *name;
		double returning; /* part of the callers */
		msec_t left_ms;
		gboolean late;
	} rows[] = {
	    {"first", 0, BUDGET_MS, FALSE},
	    {"first, in a hurry", 0, 2470, FALSE},
	    {"came back at once", 0, 2400, FALSE},
	    {"came back after the objective", 0, 2100, TRUE},
	    {"its last moment", 0, 100, TRUE},
	    {"first, half come back", 0.5, 2500, FALSE},
	    {"came back, half do", 0.5, 1900, TRUE},
	};
	GRand *rand = g_rand_new_with_seed(3);
	caller_retry_t r;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		caller_retry_init(&r);
		learn(&r, rand, 1000, rows[i].returning);
		ck_assert_msg(caller_retry_is_late(&r, "watch", OBJECTIVE_MS,
				  rows[i].left_ms) == rows[i].late,
		    "%s", rows[i].name);
		caller_retry_finish(&r);
	}
	g_rand_free(rand);
}

/* One caller that would wait for an hour does not make all others late. */
static void
test_patient_caller(void)
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

/* Routes are apart, and one without an objective has nobody late. */
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
	    {"who has waited too long", test_late},
	    {"a caller with very much time", test_patient_caller},
	    {"routes are apart", test_routes},
	};

	return suite_run("returns", cases, G_N_ELEMENTS(cases));
}
