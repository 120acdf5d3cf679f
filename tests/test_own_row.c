#include <sys/queue.h>

#include <signal.h>
#include <string.h>

#include <event2/event.h>

#include "coordination/own_row.h"
#include "gateway/store_sync.h"
#include "soak.h"
#include "suite.h"

/*
 * QUOTA: a write of a stopping host, performed late, replaced the row of its
 * next start. The other hosts forgot it, and both lent the same rates.
 */

#define PORT 22011
#define BOUND_MS 5000 /* limit of a wait for something that must happen */
#define ID "host-0"
#define KEY FLEET_KEY_HOST ID

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

void
soak_broken(world_t *w, const char *fmt, ...)
{
	(void)w;
	ck_abort_msg("%s", fmt);
}

/* One start of the host. */
typedef struct {
	gateway_settings_t settings;
	view_t view;
	http_client_t *http;
	store_sync_t sync;
	char address[32];
} start_t;

static world_t world;

static void
run_loop(msec_t ms)
{
	struct timeval tv = {ms / 1000, (ms % 1000) * 1000};

	event_base_loopexit(world.base, &tv);
	event_base_dispatch(world.base);
}

static void
start_begin(start_t *p)
{
	memset(p, 0, sizeof(*p));
	g_snprintf(
	    p->address, sizeof(p->address), "127.0.0.1:%d", PORT + PORT_STORE);
	p->settings.id = (char *)ID;
	p->settings.region = (char *)"north";
	p->settings.domain = (char *)"n1";
	p->settings.callers = p->settings.peers = (char *)"127.0.0.1:9";
	p->settings.store = p->address;
	p->settings.link_mbps = 100;
	p->settings.cpu_share = 1;
	p->settings.regions = g_hash_table_new(g_str_hash, g_str_equal);
	view_init(&p->view, &p->settings);
	p->http = http_client_new(world.base, 4);
	store_sync_init(&p->sync, &p->view, world.base, p->http);
}

static void
start_end(start_t *p)
{
	store_sync_finish(&p->sync);
	http_client_free(p->http);
	view_finish(&p->view);
	g_hash_table_destroy(p->settings.regions);
}

static gboolean
is_joined(const start_t *p)
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
wait_joined(const start_t *p, const char *when)
{
	msec_t until = clock_now() + BOUND_MS;

	while (!is_joined(p) && clock_now() < until)
		run_loop(20);
	ck_assert_msg(is_joined(p), "%s: the row is %s", when,
	    soak_store_get(&world.store, FLEET_TABLE, KEY));
}

static void
world_begin(void)
{
	memset(&world, 0, sizeof(world));
	world.base = event_base_new();
	world.port = PORT;
	soak_store_init(&world.store, &world);
}

static void
world_end(void)
{
	soak_store_finish(&world.store);
	event_base_free(world.base);
}

static void
leave(start_t *p)
{
	p->view.leaving = TRUE;
	store_sync_leave(&p->sync);
}

static void
late_leave_spares_the_next_start(void)
{
	start_t first, second;

	world_begin();
	start_begin(&first);
	wait_joined(&first, "first start");
	world.store.fault[0] = STORE_LATE;
	leave(&first);
	run_loop(50);
	start_end(&first);
	world.store.fault[0] = STORE_HEALTHY;
	start_begin(&second);
	wait_joined(&second, "second start");
	run_loop(STORE_LATE_MS + 100);
	ck_assert_msg(is_joined(&second), "overwritten by %s",
	    soak_store_get(&world.store, FLEET_TABLE, KEY));
	start_end(&second);
	world_end();
}

/* The next start stops as well before the late write is performed. */
static void
late_leave_spares_the_start_after_next(void)
{
	start_t starts[3];
	int i;

	world_begin();
	for (i = 0; i < 3; i++) {
		start_begin(&starts[i]);
		wait_joined(&starts[i], "start");
		if (i == 0)
			world.store.fault[0] = STORE_LATE;
		if (i < 2)
			leave(&starts[i]);
		run_loop(50);
		world.store.fault[0] = STORE_HEALTHY;
		if (i < 2)
			start_end(&starts[i]);
	}
	run_loop(STORE_LATE_MS + 100);
	ck_assert(is_joined(&starts[2]));
	start_end(&starts[2]);
	world_end();
}

/* A write of the row is under way when the host begins to stop. */
static void
leave_follows_a_join_under_way(void)
{
	const char *row;
	start_t p;

	world_begin();
	start_begin(&p);
	while (p.sync.join_write == NULL)
		run_loop(1);
	/* The join is performed; its answer is not read. */
	leave(&p);
	run_loop(200);
	row = soak_store_get(&world.store, FLEET_TABLE, KEY);
	ck_assert_msg(row != NULL && strstr(row, "\"left_ms\":0") == NULL,
	    "the row is %s", row);
	start_end(&p);
	world_end();
}

/* Another writer, for instance a host of an older build, replaces the row. */
static void
overwritten_row_is_written_again(void)
{
	static const char *const values[] = {NULL,
	    "{\"callers\":\"1.1.1.1:1\",\"peer\":\"1.1.1.1:2\","
	    "\"region\":\"north\",\"domain\":\"n1\",\"incarnation\":1,"
	    "\"strength\":1,\"joined_ms\":1,\"left_ms\":2}"};
	start_t p;
	size_t i;

	world_begin();
	start_begin(&p);
	wait_joined(&p, "start");
	for (i = 0; i < G_N_ELEMENTS(values); i++) {
		run_loop(500); /* the table is listed */
		soak_store_put(&world.store, FLEET_TABLE, KEY, values[i]);
		wait_joined(&p, values[i] != NULL ? values[i] : "removed");
	}
	start_end(&p);
	world_end();
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
