#include "coordination/poll_schedule.h"
#include "suite.h"

#define EVERY 800

static void
test_next(void)
{
	static const struct {
		const char *name;
		poll_state_t state;
		msec_t next;
	} rows[] = {
	    {"the first, nothing new", {0, 1000, 1600, FALSE, 1600}, 1800},
	    {"the first, something new", {0, 1000, 1100, TRUE, 1100}, 1400},
	    {"the second, the first reads", {1, 0, 0, FALSE, 1600}, 2650},
	    {"the second, it brought something", {1, 0, 0, TRUE, 1600}, 2650},
	    {"the third", {2, 0, 0, FALSE, 1600}, 2900},
	    {"far down", {70, 0, 0, FALSE, 1600}, 3400},
	    {"first since the one before has gone", {0, 200, 300, FALSE, 1600},
		1000},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		ck_assert_msg(
		    poll_schedule_next(&rows[i].state, EVERY) == rows[i].next,
		    "%s", rows[i].name);
}

static void
test_retry(void)
{
	static const msec_t after[] = {150, 300, 600, 1000, 1000, 1000};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(after); i++)
		ck_assert_int_eq(
		    poll_schedule_retry_delay((guint)i + 1), after[i]);
	ck_assert_int_eq(poll_schedule_retry_delay(1000000), 1000);
}

/* A call that was begun while the store was out of reach is given up as soon
 * as another one is answered; one that may be answered yet is not. */
static void
test_stuck(void)
{
	ck_assert(poll_schedule_is_stuck(1000, 1900));
	ck_assert(!poll_schedule_is_stuck(1000, 1200));
}

static const suite_case_t cases[] = {
    {"when a host reads", test_next},
    {"when it tries again", test_retry},
    {"calls that are given up", test_stuck},
};

int
main(void)
{
	return suite_run("reader_pace", cases, G_N_ELEMENTS(cases));
}
