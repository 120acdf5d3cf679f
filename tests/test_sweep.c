#include "coordination/move_host.h"
#include "coordination/sweep.h"
#include "suite.h"

#define N_OF(a) (sizeof(a) / sizeof((a)[0]))

static void
malformed_marks_are_refused(void)
{
	static const struct {
		const char *text;
		guint n; /* 0 if refused */
		gboolean ok;
	} rows[] = {
	    {"", 0, TRUE},
	    {"7", 1, TRUE},
	    {"7 7 9", 3, TRUE},
	    {"9 7", 0, FALSE},
	    {"7  9", 0, FALSE},
	    {"7 x", 0, FALSE},
	    {"7 -1", 0, FALSE},
	    {"7 0", 0, FALSE},
	    {"99999999999999999999", 0, FALSE},
	};
	sweep_marks_t m;
	char *text;
	size_t i;

	for (i = 0; i < N_OF(rows); i++) {
		ck_assert_msg(sweep_parse(&m, rows[i].text) == rows[i].ok, "%s",
		    rows[i].text);
		ck_assert_uint_eq(m.n, rows[i].n);
		text = sweep_format(&m);
		ck_assert_str_eq(text, rows[i].ok ? rows[i].text : "");
		g_free(text);
	}
}

/* The marks of successive periods are versions 10, 20, 30 and so on. */
static void
rows_lapse_after_their_periods(void)
{
	static const struct {
		guint marks, periods;
		uint64_t lapsed;
	} rows[] = {
	    {0, 24, 0},
	    {24, 24, 0},
	    {25, 24, 10},
	    {26, 24, 20},
	    {25, SWEEP_MOVE_PERIODS, 0},
	    {SWEEP_MARKS_MAX, SWEEP_MOVE_PERIODS, 10},
	    {SWEEP_MARKS_MAX + 5, SWEEP_MOVE_PERIODS, 60},
	    {SWEEP_MARKS_MAX + 5, 24, (SWEEP_MARKS_MAX + 5 - 24) * 10},
	};
	sweep_marks_t m;
	size_t i;
	guint k;

	for (i = 0; i < N_OF(rows); i++) {
		m.n = 0;
		for (k = 0; k < rows[i].marks; k++)
			sweep_push(&m, (k + 1) * 10);
		ck_assert_uint_eq(
		    sweep_lapsed(&m, rows[i].periods), rows[i].lapsed);
	}
	/* A host with an outdated view of the store pushes a version below the
	 * last mark. The new mark repeats the last mark, so that no row counts
	 * as older than it is. */
	sweep_push(&m, 1);
	ck_assert_uint_eq(sweep_lapsed(&m, 0), (SWEEP_MARKS_MAX + 5) * 10);
}

static void
only_moves_taken_back_are_forgotten(void)
{
	static const struct {
		move_state_t state;
		gboolean kept;
	} rows[] = {
	    {MOVE_RUNNING, TRUE},
	    {MOVE_BACKING_OUT, TRUE},
	    {MOVE_DONE, TRUE},
	    {MOVE_TAKEN_BACK, FALSE},
	};
	move_row_t row = {.id = "m", .service = "s", .step = 3};
	move_host_t h;
	size_t i;

	for (i = 0; i < N_OF(rows); i++) {
		move_host_init(&h);
		row.state = rows[i].state;
		move_host_apply(&h, &row);
		move_host_forget(&h, "other");
		move_host_forget(&h, "m");
		ck_assert_int_eq(move_host_step(&h, "m") > 0, rows[i].kept);
		move_host_finish(&h);
	}
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"malformed marks are refused", malformed_marks_are_refused},
	    {"rows lapse after their periods", rows_lapse_after_their_periods},
	    {"only moves taken back are forgotten",
		only_moves_taken_back_are_forgotten},
	};

	return suite_run("sweep", cases, N_OF(cases));
}
