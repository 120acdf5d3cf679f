#include "coordination/stop_plan.h"
#include "suite.h"

#define LINGER_MS 3000

/* A request that comes late in a stop is not taken and then cut off. */
static void
test_late_requests(void)
{
	static const struct {
		const char *name;
		msec_t grace_ms, read_at, need_ms;
		gboolean taken;
	} rows[] = {
	    {"right after the signal", 6000, 10, 6000, TRUE},
	    {"callers still come", 6000, 2400, 6000, TRUE},
	    {"late, may last too long", 6000, 2900, 4000, FALSE},
	    {"late, surely ends in time", 6000, 2900, 2500, TRUE},
	    {"its body took long, may last too long", 6000, 4000, 4000, FALSE},
	    {"its body took long, ends in time", 10000, 4000, 5000, TRUE},
	    {"at the end", 6000, 5650, 60, FALSE},
	    {"a short stop", 1000, 750, 4000, FALSE},
	    {"a short stop, in time", 1000, 100, 4000, TRUE},
	    {"no time at all", 0, 0, 1000, FALSE},
	};
	stop_plan_t p;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		stop_plan_begin(&p, 50000, rows[i].grace_ms, LINGER_MS);
		ck_assert_msg(stop_plan_admits(&p, 50000 + rows[i].read_at,
				  rows[i].need_ms) == rows[i].taken,
		    "%s", rows[i].name);
		ck_assert_msg(p.ends_at <= p.exit_at &&
			p.exit_at <= 50000 + rows[i].grace_ms,
		    "%s", rows[i].name);
	}
}

static const suite_case_t cases[] = {
    {"late requests are refused, not cut off", test_late_requests},
};

int
main(void)
{
	return suite_run("stop_plan", cases, G_N_ELEMENTS(cases));
}
