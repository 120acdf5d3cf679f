#include "state/server_speed.h"
#include "suite.h"

#define USUAL 1.0
#define SLOW 2.5
#define REPORTS 200

/* Reports of a server whose machine is slow for @slow of each @period reports,
 * and the factor that is expected after a slow one. */
typedef struct {
	const char *name;
	guint reports;
	msec_t gap_ms;
	guint period, slow;
	msec_t asked_ms; /* after the last report */
	double least, most;
} case_t;

static const case_t rows[] = {
    {"no reports", 0, 0, 1, 0, 0, 1, 1},
    {"far apart, at once", REPORTS, 4000, 7, 1, 0, 1.6, 2.5},
    {"far apart, a while ago", REPORTS, 4000, 7, 1, 1000, 1, 1.1},
    {"within slow intervals, at once", REPORTS, 50, 20, 5, 20, 1.4, 2.5},
    {"within slow intervals, half a second later", REPORTS, 50, 20, 5, 500, 1,
	1.2},
    {"each report differs", REPORTS, 50, 2, 1, 200, 1, 1.05},
    {"slow for good", REPORTS, 500, 1, 1, 100, 1, 1},
};

/* Guards against a report that is used when it no longer holds, or that is not
 * used while it holds. */
static void
test_reports(void)
{
	size_t i;
	guint k;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		const case_t *c = &rows[i];
		speed_hold_t hold = {0};
		server_speed_t s = {0};
		msec_t now = 0;
		double factor;

		for (k = 0; k < c->reports; k++) {
			guint left = (c->reports - 1 - k) % c->period;

			now += c->gap_ms;
			server_speed_report(
			    &s, &hold, left < c->slow ? SLOW : USUAL, now);
		}
		factor = server_speed_factor(&s, &hold, now + c->asked_ms);
		ck_assert_msg(factor >= c->least && factor <= c->most,
		    "%s: %g, held for %d ms", c->name, factor,
		    (int)speed_hold_ms(&hold));
	}
}

/* The time for which reports hold is that of the intervals, not a constant. */
static void
test_hold(void)
{
	static const guint lengths[] = {1, 6, 20};
	msec_t known = 0, ms;
	size_t i;
	guint k;

	for (i = 0; i < G_N_ELEMENTS(lengths); i++) {
		speed_hold_t hold = {0};
		server_speed_t s = {0};

		for (k = 0; k < REPORTS; k++)
			server_speed_report(&s, &hold,
			    k / lengths[i] % 2 == 0 ? USUAL : SLOW,
			    (msec_t)k * 50);
		ms = speed_hold_ms(&hold);
		ck_assert_int_gt(ms, known);
		known = ms;
	}
}

static const suite_case_t cases[] = {
    {"a report holds for a limited time", test_reports},
    {"how long is learned", test_hold},
};

int
main(void)
{
	return suite_run("server_speed", cases, G_N_ELEMENTS(cases));
}
