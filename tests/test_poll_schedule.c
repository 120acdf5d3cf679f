#include "coordination/poll_schedule.h"
#include "suite.h"

#define POLL_INTERVAL_MS 800

static void
test_next(void)
{
	static const struct {
		const char *name;
		poll_state_t state;
		msec_t next;
	} rows[] = {
	    {"first, no changes", {0, 1000, 1600, FALSE, 1600}, 1800},
	    {"first, with changes", {0, 1000, 1100, TRUE, 1100}, 1400},
	    {"second, while the first polls", {1, 0, 0, FALSE, 1600}, 2650},
	    {"second, after changes", {1, 0, 0, TRUE, 1600}, 2650},
	    {"third", {2, 0, 0, FALSE, 1600}, 2900},
	    {"far back in the order", {70, 0, 0, FALSE, 1600}, 3400},
	    {"first since its predecessor left", {0, 200, 300, FALSE, 1600},
		1000},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		ck_assert_msg(poll_schedule_next(&rows[i].state,
				  POLL_INTERVAL_MS) == rows[i].next,
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

/*
 * A call started while the store was unreachable is given up as soon as another
 * call is answered. A call that may still be answered is kept.
 */
static void
test_stuck(void)
{
	ck_assert(poll_schedule_is_stuck(1000, 1900));
	ck_assert(!poll_schedule_is_stuck(1000, 1200));
}

/* A host that the store does not reach follows the changes that peers send. */
static void
test_peers_keep_table_complete(void)
{
	static const struct {
		const char *name;
		msec_t lost_at, fresh_at, now;
		gboolean must_list;
	} rows[] = {
	    {"the first call failed", 5000, 4500, 5000, FALSE},
	    {"failed for long, peers send nothing", 5000, 4500, 6100, TRUE},
	    {"failed for long, peers send changes", 5000, 9000, 9500, FALSE},
	    {"peers sent changes until a while ago", 5000, 9000, 10100, TRUE},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		ck_assert_msg(
		    poll_schedule_must_list(rows[i].lost_at, rows[i].fresh_at,
			rows[i].now) == rows[i].must_list,
		    "%s", rows[i].name);
}

static const suite_case_t cases[] = {
    {"when a host polls", test_next},
    {"when it retries", test_retry},
    {"stuck calls are given up", test_stuck},
    {"peers keep a table complete", test_peers_keep_table_complete},
};

int
main(void)
{
	return suite_run("poll_schedule", cases, G_N_ELEMENTS(cases));
}
