#include <sys/queue.h>

#include <signal.h>
#include <string.h>

#include "coordination/own_row.h"
#include "store_world.h"
#include "suite.h"

/*
 * QUOTA: a write of a stopping host, performed late, replaced the row of its
 * next start. The other hosts forgot it, and both lent the same rates.
 */

#define PORT 22011
#define KEY FLEET_KEY_HOST STORE_WORLD_ID

/* ---- the decision ---- */

static const struct {
	const char *name;
	gboolean leaving;
	own_row_seen_t
	    seen; /* this start is number 20, its row known as of 7 */
	own_row_verdict_t verdict;
	uint64_t expected; /* by the next write */
} rows[] = {
    {"its own", FALSE, {FALSE, FALSE, 20, 8}, OWN_ROW_STANDS, 8},
    {"the last start left, late", FALSE, {FALSE, TRUE, 10, 8}, OWN_ROW_WRITE,
	8},
    {"the last start joined, late", FALSE, {FALSE, FALSE, 10, 8}, OWN_ROW_WRITE,
	8},
    {"its own, it left", FALSE, {FALSE, TRUE, 20, 8}, OWN_ROW_WRITE, 8},
    {"removed", FALSE, {TRUE, FALSE, 0, 8}, OWN_ROW_WRITE, 0},
    {"a newer start", FALSE, {FALSE, FALSE, 30, 8}, OWN_ROW_SUPERSEDED, 8},
    {"an old row, left", FALSE, {FALSE, TRUE, 10, 6}, OWN_ROW_STANDS, 7},
    {"an old absence", FALSE, {TRUE, FALSE, 0, 6}, OWN_ROW_STANDS, 7},
    {"leaving, not yet written", TRUE, {FALSE, FALSE, 20, 8}, OWN_ROW_WRITE, 8},
    {"leaving, written", TRUE, {FALSE, TRUE, 20, 8}, OWN_ROW_STANDS, 8},
    {"leaving, not joined", TRUE, {FALSE, FALSE, 10, 8}, OWN_ROW_STANDS, 8},
    {"leaving, removed", TRUE, {TRUE, FALSE, 0, 8}, OWN_ROW_STANDS, 0},
    {"leaving, a newer start", TRUE, {FALSE, FALSE, 30, 8}, OWN_ROW_SUPERSEDED,
	8},
};

static void
rows_are_judged(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		own_row_t o = {.incarnation = 20,
		    .expected = 7,
		    .known_ver = 7,
		    .leaving = rows[i].leaving};

		ck_assert_msg(
		    own_row_seen(&o, &rows[i].seen) == rows[i].verdict, "%s",
		    rows[i].name);
		ck_assert_msg(o.expected == rows[i].expected, "%s: expects %d",
		    rows[i].name, (int)o.expected);
	}
}

/* ---- a host and its store ---- */

static world_t world;

static gboolean
is_joined(const store_host_t *p)
{
	char *text = g_strdup_printf(
	    "\"incarnation\":%" G_GUINT64_FORMAT, p->view.incarnation);
	const char *row = soak_store_get(&world.store, FLEET_TABLE, KEY);
	gboolean joined = p->view.joined && row != NULL &&
	    strstr(row, text) != NULL && strstr(row, "\"left_ms\":0") != NULL;

	g_free(text);
	return joined;
}

static void
wait_joined(const store_host_t *p, const char *when)
{
	msec_t until = clock_now() + STORE_WORLD_BOUND_MS;

	while (!is_joined(p) && clock_now() < until)
		store_world_run(&world, 20);
	ck_assert_msg(is_joined(p), "%s: the row is %s", when,
	    soak_store_get(&world.store, FLEET_TABLE, KEY));
}

static void
leave(store_host_t *p)
{
	p->view.leaving = TRUE;
	store_sync_leave(&p->sync);
}

static void
late_leave_spares_the_next_start(void)
{
	store_host_t first, second;

	store_world_begin(&world, PORT);
	store_host_begin(&first, &world);
	wait_joined(&first, "first start");
	world.store.fault[0] = STORE_LATE;
	leave(&first);
	store_world_run(&world, 50);
	store_host_end(&first);
	world.store.fault[0] = STORE_HEALTHY;
	store_host_begin(&second, &world);
	wait_joined(&second, "second start");
	store_world_run(&world, STORE_LATE_MS + 100);
	ck_assert_msg(is_joined(&second), "overwritten by %s",
	    soak_store_get(&world.store, FLEET_TABLE, KEY));
	store_host_end(&second);
	store_world_end(&world);
}

/* The next start stops as well before the late write is performed. */
static void
late_leave_spares_the_start_after_next(void)
{
	store_host_t starts[3];
	int i;

	store_world_begin(&world, PORT);
	for (i = 0; i < 3; i++) {
		store_host_begin(&starts[i], &world);
		wait_joined(&starts[i], "start");
		if (i == 0)
			world.store.fault[0] = STORE_LATE;
		if (i < 2)
			leave(&starts[i]);
		store_world_run(&world, 50);
		world.store.fault[0] = STORE_HEALTHY;
		if (i < 2)
			store_host_end(&starts[i]);
	}
	store_world_run(&world, STORE_LATE_MS + 100);
	ck_assert(is_joined(&starts[2]));
	store_host_end(&starts[2]);
	store_world_end(&world);
}

/* A write of the row is under way when the host begins to stop. */
static void
leave_follows_a_join_under_way(void)
{
	const char *row;
	store_host_t p;

	store_world_begin(&world, PORT);
	store_host_begin(&p, &world);
	while (p.sync.join_write == NULL)
		store_world_run(&world, 1);
	/* The join is performed; its answer is not read. */
	leave(&p);
	store_world_run(&world, 200);
	row = soak_store_get(&world.store, FLEET_TABLE, KEY);
	ck_assert_msg(row != NULL && strstr(row, "\"left_ms\":0") == NULL,
	    "the row is %s", row);
	store_host_end(&p);
	store_world_end(&world);
}

/* Another writer, for instance a host of an older build, replaces the row. */
static void
overwritten_row_is_written_again(void)
{
	static const char *const values[] = {NULL,
	    "{\"callers\":\"1.1.1.1:1\",\"peer\":\"1.1.1.1:2\","
	    "\"region\":\"north\",\"domain\":\"n1\",\"incarnation\":1,"
	    "\"strength\":1,\"joined_ms\":1,\"left_ms\":2}"};
	store_host_t p;
	size_t i;

	store_world_begin(&world, PORT);
	store_host_begin(&p, &world);
	wait_joined(&p, "start");
	for (i = 0; i < G_N_ELEMENTS(values); i++) {
		store_world_run(&world, 500); /* the table is listed */
		soak_store_put(&world.store, FLEET_TABLE, KEY, values[i]);
		wait_joined(&p, values[i] != NULL ? values[i] : "removed");
	}
	store_host_end(&p);
	store_world_end(&world);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"rows are judged", rows_are_judged},
	    {"a late leave spares the next start",
		late_leave_spares_the_next_start},
	    {"a late leave spares the start after next",
		late_leave_spares_the_start_after_next},
	    {"a leave follows a join under way",
		leave_follows_a_join_under_way},
	    {"an overwritten row is written again",
		overwritten_row_is_written_again},
	};

	signal(SIGPIPE, SIG_IGN);
	return suite_run("own row", cases, G_N_ELEMENTS(cases));
}
