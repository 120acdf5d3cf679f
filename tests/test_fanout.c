#include "coordination/fanout.h"
#include "suite.h"

#define TABLE 1
#define ROWS_BYTES 7500
#define NOTICE_BYTES 100
#define ROWS_PER_DATAGRAM 39
#define TICK_MS 10
#define END_MS 10000
#define BYTES_PER_MBIT 125000.0

/* Changes that reach a collector, and what its hosts get. */
typedef struct {
	const char *name;
	double link_mbps;
	guint hosts;	/* of its domain */
	guint rows;	/* that change */
	msec_t from_ms; /* evenly in this time */
	msec_t to_ms;
	guint copies; /* readers that send each change */
	gboolean all_rows;
} load_t;

static const load_t loads[] = {
    {"one change of a row", 12, 33, 39, 2000, 2010, 1, TRUE},
    {"a fleet starts, weak link", 12, 33, 812, 1000, 4500, 8, FALSE},
    {"a fleet starts, strong link", 200, 33, 812, 1000, 4500, 8, TRUE},
    {"all rows at once, weak link", 12, 33, 812, 2000, 2010, 3, FALSE},
    {"all rows at once, strong link", 200, 33, 812, 2000, 2010, 3, TRUE},
    {"a small fleet", 1000, 4, 60, 1000, 1500, 3, TRUE},
    {"a large domain", 20, 98, 812, 1000, 6000, 8, FALSE},
};

typedef struct {
	double sent[END_MS / TICK_MS];
	uint64_t newest; /* version that the hosts know to exist */
	guint repeats;	 /* versions passed on twice */
	gboolean notices;
} result_t;

static void
pass(fanout_t *f, const load_t *l, uint64_t to, msec_t now, result_t *r)
{
	double *sent = &r->sent[now / TICK_MS];

	if (!fanout_is_due(f, TABLE, to - 1, to, now))
		return;
	switch (fanout_choose(f, ROWS_BYTES, NOTICE_BYTES, l->hosts, now)) {
	case FANOUT_ROWS:
		*sent += (double)ROWS_BYTES * l->hosts;
		break;
	case FANOUT_NOTICE:
		*sent += (double)NOTICE_BYTES * l->hosts;
		r->notices = TRUE;
		break;
	case FANOUT_NOTHING:
		r->notices = TRUE;
		return;
	}
	r->repeats += to <= r->newest;
	r->newest = MAX(r->newest, to);
}

static void
play(const load_t *l, result_t *r)
{
	guint datagrams = (l->rows + ROWS_PER_DATAGRAM - 1) / ROWS_PER_DATAGRAM;
	fanout_t f;
	guint i, k;

	memset(r, 0, sizeof(*r));
	fanout_init(&f, l->link_mbps, 0);
	for (i = 0; i < datagrams; i++) {
		msec_t now =
		    l->from_ms + (l->to_ms - l->from_ms) * i / datagrams;

		for (k = 0; k < l->copies; k++)
			pass(&f, l, i + 1, now, r);
	}
	ck_assert_msg(r->newest > 0 && r->repeats == 0, "%s: %u repeats",
	    l->name, r->repeats);
	/* Half a second later a change of another row shows what is missing. */
	pass(&f, l, datagrams + 1, l->to_ms + 500, r);
	ck_assert_msg(r->newest == datagrams + 1, "%s: hosts know of %u of %u",
	    l->name, (guint)r->newest, datagrams + 1);
}

/* A host whose link is full reaches neither the store nor its callers. */
static void
test_table_changes_leave_link_free(void)
{
	static result_t r;
	size_t i, t, k;

	for (i = 0; i < G_N_ELEMENTS(loads); i++) {
		const load_t *l = &loads[i];
		double second_max = l->link_mbps * BYTES_PER_MBIT / 2;

		play(l, &r);
		for (t = 0; t < G_N_ELEMENTS(r.sent); t++) {
			double second = 0;

			for (k = t; k < t + MSEC_PER_SEC / TICK_MS &&
			     k < G_N_ELEMENTS(r.sent);
			     k++)
				second += r.sent[k];
			ck_assert_msg(second <= second_max,
			    "%s: %.0f bytes in a second, half of the link is "
			    "%.0f",
			    l->name, second, second_max);
		}
		ck_assert_msg(l->all_rows != r.notices,
		    "%s: notices in place of rows", l->name);
	}
}

static void
test_versions(void)
{
	static const struct {
		uint32_t table;
		uint64_t from, to;
		gboolean is_due;
		msec_t now;
	} steps[] = {
	    {TABLE, 3, 5, TRUE, 0},
	    {TABLE, 3, 5, FALSE, 0},	 /* another reader */
	    {TABLE, 4, 5, FALSE, 0},	 /* a part of it */
	    {TABLE, 1, 2, FALSE, 0},	 /* late, with a gap behind it */
	    {TABLE + 1, 3, 4, TRUE, 0},	 /* another table */
	    {TABLE, 3, 6, TRUE, 0},	 /* sent again with a new change */
	    {TABLE, 8, 9, TRUE, 0},	 /* the one before is late or lost */
	    {TABLE, 6, 8, TRUE, 0},	 /* it was late */
	    {TABLE, 6, 8, FALSE, 0},	 /* and comes twice */
	    {TABLE, 8, 9, FALSE, 0},	 /* passed on before it */
	    {TABLE, 12, 12, TRUE, 0},	 /* a notice */
	    {TABLE, 9, 12, TRUE, 0},	 /* the rows after the notice */
	    {TABLE + 1, 0, 0, FALSE, 0}, /* no version */
	    {FANOUT_TABLES_MAX, 8, 9, FALSE, 0},
	    /* An update without changes keeps the other hosts from asking the
	     * store. */
	    {TABLE, 12, 12, FALSE, 500}, {TABLE, 12, 12, TRUE, 800},
	    {TABLE, 12, 12, FALSE, 900}, /* another reader */
	    {TABLE, 9, 12, TRUE, 1600},	 /* with changes sent again */
	    {TABLE, 9, 11, FALSE, 2400}, /* not up to the newest version */
	};
	fanout_t f;
	size_t i;

	fanout_init(&f, 100, 0);
	for (i = 0; i < G_N_ELEMENTS(steps); i++)
		ck_assert_msg(fanout_is_due(&f, steps[i].table, steps[i].from,
				  steps[i].to, steps[i].now) == steps[i].is_due,
		    "step %zu", i);
}

static const suite_case_t cases[] = {
    {"changes of tables leave the link free",
	test_table_changes_leave_link_free},
    {"all changes are passed on once", test_versions},
};

int
main(void)
{
	return suite_run("fanout", cases, G_N_ELEMENTS(cases));
}
