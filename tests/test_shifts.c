#include <string.h>

#include "coordination/shifts.h"
#include "coordination/store_era.h"
#include "fleet_alone.h"
#include "suite.h"

/*
 * Simulates hosts that shift a service to a new version, with late beacons and
 * a store that answers at once, and counts the requests to the new version.
 * Checks that a good version is completed in time, and that a bad one gets at
 * most a tenth of the requests plus 50, and none later than ROLLBACK_MS after
 * its 50th bad answer.
 */

#define HOSTS 6
#define STEP_MS 10
#define BEACON_MS 500
#define TICK_MS 250
#define OLD_SERVERS 6
#define NEW_SERVERS 6
#define ROUTES 3
#define ROLLBACK_MS 5000
#define EXPOSURE_SHARE 0.1
#define EXPOSURE_SLACK 50

typedef struct {
	const char *name;
	msec_t duration_ms;
	double rate; /* requests per second, all hosts together */
	double bad;  /* fraction of the new version's requests that fail */
	msec_t bad_from_ms; /* start of these failures, since the order */
	int bad_route;	    /* route whose requests fail; -1: all */
	msec_t slow_ms;	    /* these failures time out after it; 0: errors */
	double errors;	    /* the same for the old version */
	int stopped;	    /* host that stops after duration / 3; -1: none */
	shift_state_t end;
	msec_t restart_at; /* all hosts but the first restart; 0: never */
} scenario_t;

typedef struct {
	registry_t registry;
	fleet_t fleet;
	shifts_t shifts;
	uint32_t seq;
	uint64_t incarnation;
} sim_host_t;

/* A request that ends with a time-out. */
typedef struct {
	guint host;
	backend_t *server;
	shift_sample_t sample;
	msec_t ends_at;
} pending_t;

typedef struct {
	const scenario_t *scenario;
	sim_host_t sim_hosts[HOSTS];
	GHashTable *regions;
	GRand *rand;
	shift_row_t row; /* in the store */
	uint64_t row_ver;
	guint all, new_requests, new_failed; /* requests */
	msec_t ended_at, bad_at;	     /* time of the 50th bad answer */
	guint late_requests; /* to the new version too long after bad_at */
	GArray *pending;     /* pending_t, the oldest first */
} world_t;

static void
fleet_fill(fleet_t *f)
{
	char other[16];
	guint i;

	for (i = 0; i < HOSTS; i++) {
		const fleet_row_t row = {other, "1.1.1.1:1", "1.1.1.1:2",
		    "north", other, 1, i + 1, 0, 0};

		g_snprintf(other, sizeof(other), "host-%u", i);
		fleet_put(f, &row, 0);
	}
}

static void
world_init(world_t *w, const scenario_t *scenario)
{
	char name[16], id[16];
	guint h, i;

	memset(w, 0, sizeof(*w));
	w->scenario = scenario;
	w->rand = g_rand_new_with_seed(11);
	w->pending = g_array_new(FALSE, TRUE, sizeof(pending_t));
	w->regions = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(w->regions, "n1", "north");
	for (h = 0; h < HOSTS; h++) {
		sim_host_t *p = &w->sim_hosts[h];

		g_snprintf(name, sizeof(name), "host-%u", h);
		registry_init(&p->registry, w->regions);
		fleet_init(&p->fleet, name);
		shifts_init(&p->shifts);
		p->incarnation = 1;
		fleet_fill(&p->fleet);
		for (i = 0; i < OLD_SERVERS + NEW_SERVERS; i++) {
			registry_row_t row = {.id = id,
			    .service = "clips",
			    .address = "10.0.0.1:80",
			    .domain = "n1",
			    .version = i < OLD_SERVERS ? "v1" : "v2",
			    .slots = 3,
			    .row_ver = i + 1};

			g_snprintf(id, sizeof(id), "s-%u", i);
			registry_put(&p->registry, &row, 0);
			shifts_note_version(&p->shifts,
			    g_hash_table_lookup(p->registry.servers, id),
			    i < OLD_SERVERS, 0);
		}
	}
}

static void
world_finish(world_t *w)
{
	guint h;

	for (h = 0; h < HOSTS; h++) {
		shifts_finish(&w->sim_hosts[h].shifts);
		fleet_finish(&w->sim_hosts[h].fleet);
		registry_finish(&w->sim_hosts[h].registry);
	}
	g_free(w->row.to);
	g_array_free(w->pending, TRUE);
	g_hash_table_destroy(w->regions);
	g_rand_free(w->rand);
}

static gboolean
is_stopped(const world_t *w, guint h, msec_t now)
{
	return (int)h == w->scenario->stopped &&
	    now > w->scenario->duration_ms / 3;
}

static void
send_beacon(world_t *w, guint from, msec_t now)
{
	sim_host_t *p = &w->sim_hosts[from];
	guint to;

	p->seq++;
	for (to = 0; to < HOSTS; to++) {
		fleet_status_t status;
		const fleet_domain_t *d;
		char name[16];

		if (to == from)
			continue;
		fleet_status_init(&status);
		status.host = p->fleet.self;
		status.incarnation = p->incarnation;
		status.seq = p->seq;
		status.ready = TRUE;
		shifts_report(&p->shifts, &status);
		g_snprintf(name, sizeof(name), "host-%u", from);
		d = deliver_alone(&w->sim_hosts[to].fleet, name, &status, now);
		if (d != NULL)
			shifts_receive(&w->sim_hosts[to].shifts, d);
		fleet_status_finish(&status);
	}
}

/* A conditional write to the store, which all hosts read at once. */
static void
write_row(world_t *w, const shift_write_t *write, msec_t now)
{
	guint h;

	if (write->expected != w->row_ver)
		return;
	g_free(w->row.to);
	w->row = write->row;
	w->row.to = g_strdup(write->row.to);
	w->row_ver++;
	if (w->row.state != SHIFT_RUNNING && w->ended_at == 0)
		w->ended_at = now;
	for (h = 0; h < HOSTS; h++)
		shifts_apply_row(
		    &w->sim_hosts[h].shifts, "clips", &w->row, w->row_ver);
}

static void
tick(world_t *w, guint h, msec_t now)
{
	GArray *writes = g_array_new(FALSE, TRUE, sizeof(shift_write_t));
	sim_host_t *p = &w->sim_hosts[h];
	guint i;

	shifts_tick(&p->shifts, &p->registry, &p->fleet, now, now, writes);
	for (i = 0; i < writes->len; i++)
		write_row(w, &g_array_index(writes, shift_write_t, i), now);
	g_array_free(writes, TRUE);
}

static backend_t *
pick(sim_host_t *p, shift_cohort_t cohort, msec_t now)
{
	GPtrArray *servers = registry_service(&p->registry, "clips")->servers;
	guint i;

	for (i = 0; i < servers->len; i++) {
		backend_t *b = g_ptr_array_index(servers, i);

		if (shifts_allows(&p->shifts, b, cohort, now))
			return b;
	}
	return NULL;
}

static void
request(world_t *w, msec_t now)
{
	const scenario_t *p = w->scenario;
	guint h = (guint)g_rand_int_range(w->rand, 0, HOSTS);
	int route = g_rand_int_range(w->rand, 0, ROUTES);
	uint64_t object = g_rand_int(w->rand) % 150;
	shift_sample_t sample = {.route = (uint64_t)route};
	sim_host_t *host = &w->sim_hosts[h];
	shift_cohort_t cohort;
	backend_t *b;
	gboolean to_new;

	if (is_stopped(w, h, now))
		return;
	object = object * UINT64_C(0x9e3779b97f4a7c15) ^ 0x5555;
	cohort = shifts_cohort(&host->shifts, "clips", object, now);
	b = pick(host, cohort, now);
	ck_assert_msg(b != NULL, "%s: no server", p->name);
	to_new = strcmp(b->version, "v2") == 0;
	sample.failed = to_new ? now >= p->bad_from_ms &&
		(p->bad_route < 0 || p->bad_route == route) &&
		g_rand_double(w->rand) < p->bad
			       : g_rand_double(w->rand) < p->errors;
	shifts_sent(&host->shifts, b);
	if (sample.failed && to_new && p->slow_ms > 0) {
		pending_t timed_out = {h, b, sample, now + p->slow_ms};

		timed_out.sample.failed = FALSE;
		timed_out.sample.slow = TRUE;
		g_array_append_val(w->pending, timed_out);
	} else {
		shifts_ended(&host->shifts, b, &sample);
	}
	w->all++;
	w->new_requests += to_new;
	if (to_new && w->bad_at != 0 && now > w->bad_at + ROLLBACK_MS)
		w->late_requests++;
	w->new_failed += to_new && sample.failed;
	if (w->new_failed == 50 && w->bad_at == 0)
		w->bad_at = now;
}

/* Restarts all hosts but the first; their counts and judgements are lost, and
 * they have not heard the others. */
static void
restart_hosts(world_t *w, msec_t now)
{
	GHashTableIter it;
	gpointer server;
	char name[16];
	guint h;

	g_array_set_size(w->pending, 0);
	for (h = 1; h < HOSTS; h++) {
		sim_host_t *p = &w->sim_hosts[h];

		g_snprintf(name, sizeof(name), "host-%u", h);
		fleet_finish(&p->fleet);
		fleet_init(&p->fleet, name);
		fleet_fill(&p->fleet);
		fleet_synced(&p->fleet, now);
		shifts_finish(&p->shifts);
		shifts_init(&p->shifts);
		p->incarnation++;
		p->seq = 0;
		g_hash_table_iter_init(&it, p->registry.servers);
		while (g_hash_table_iter_next(&it, NULL, &server))
			shifts_note_version(&p->shifts, server, TRUE, now);
		shifts_order(
		    &p->shifts, "clips", "v2", w->scenario->duration_ms);
		shifts_apply_row(&p->shifts, "clips", &w->row, w->row_ver);
	}
}

static void
end_pending(world_t *w, msec_t now)
{
	pending_t *p;

	while (w->pending->len > 0) {
		p = &g_array_index(w->pending, pending_t, 0);
		if (p->ends_at > now)
			return;
		shifts_ended(
		    &w->sim_hosts[p->host].shifts, p->server, &p->sample);
		g_array_remove_index(w->pending, 0);
	}
}

static void
simulate(const scenario_t *p)
{
	world_t w;
	msec_t now;
	guint h, i, n;
	double expected;

	world_init(&w, p);
	for (h = 0; h < HOSTS; h++)
		shifts_order(
		    &w.sim_hosts[h].shifts, "clips", "v2", p->duration_ms);
	for (now = STEP_MS; now < p->duration_ms + 2000; now += STEP_MS) {
		for (h = 0; h < HOSTS; h++) {
			if (is_stopped(&w, h, now))
				continue;
			if ((now + 40 * h) % BEACON_MS == 0)
				send_beacon(&w, h, now);
			if ((now + 30 * h) % TICK_MS == 0)
				tick(&w, h, now);
		}
		end_pending(&w, now);
		if (now == p->restart_at)
			restart_hosts(&w, now);
		expected = p->rate * STEP_MS / MSEC_PER_SEC;
		n = (guint)expected +
		    (g_rand_double(w.rand) < expected - (guint)expected);
		for (i = 0; i < n; i++)
			request(&w, now);
	}
	ck_assert_msg(
	    w.row.state == p->end, "%s: state %d", p->name, (int)w.row.state);
	ck_assert_msg(w.ended_at <= p->duration_ms, "%s: ended at %lld",
	    p->name, (long long)w.ended_at);
	if (p->end == SHIFT_ROLLED_BACK) {
		ck_assert_msg(
		    w.new_requests <= EXPOSURE_SHARE * w.all + EXPOSURE_SLACK,
		    "%s: %u of %u", p->name, w.new_requests, w.all);
		ck_assert_msg(w.late_requests == 0, "%s: %u late", p->name,
		    w.late_requests);
	}
	world_finish(&w);
}

static const scenario_t scenarios[] = {
    {"good", 16000, 60, 0, 0, -1, 0, 0.001, -1, SHIFT_COMPLETED, 0},
    {"good, short", 12000, 60, 0, 0, -1, 0, 0.001, -1, SHIFT_COMPLETED, 0},
    {"good, the host with the duty stops", 16000, 60, 0, 0, -1, 0, 0.001, 0,
	SHIFT_COMPLETED, 0},
    {"good, both versions fail equally often", 16000, 60, 0.1, 0, -1, 0, 0.1,
	-1, SHIFT_COMPLETED, 0},
    {"bad at once", 16000, 60, 0.5, 0, -1, 0, 0.001, -1, SHIFT_ROLLED_BACK, 0},
    {"bad at once, many requests", 16000, 1300, 0.5, 0, -1, 0, 0.001, -1,
	SHIFT_ROLLED_BACK, 0},
    {"slow, few requests", 10000, 25, 1, 0, -1, 2500, 0.001, -1,
	SHIFT_ROLLED_BACK, 0},
    {"slow", 16000, 60, 1, 0, -1, 2500, 0.001, -1, SHIFT_ROLLED_BACK, 0},
    {"bad later", 16000, 60, 0.5, 4000, -1, 0, 0.001, -1, SHIFT_ROLLED_BACK, 0},
    {"bad on one route", 16000, 60, 0.5, 0, 1, 0, 0.001, -1, SHIFT_ROLLED_BACK,
	0},
    {"bad, the host with the duty stops", 16000, 60, 0.5, 5000, -1, 0, 0.001, 0,
	SHIFT_ROLLED_BACK, 0},
    {"good, most hosts restart", 16000, 60, 0, 0, -1, 0, 0.001, -1,
	SHIFT_COMPLETED, 5000},
    {"slow, most hosts restart", 10000, 25, 1, 0, -1, 2500, 0.001, -1,
	SHIFT_ROLLED_BACK, 2500},
    {"half slow, most hosts restart", 9000, 25, 0.45, 0, -1, 2500, 0.001, -1,
	SHIFT_ROLLED_BACK, 2000},
    {"half slow", 9000, 25, 0.45, 0, -1, 2500, 0.001, -1, SHIFT_ROLLED_BACK, 0},
    {"bad, most hosts restart", 16000, 60, 0.5, 0, -1, 0, 0.001, -1,
	SHIFT_ROLLED_BACK, 1000},
    /* EXPOSURE: a host that had just started completed a bad version. */
    {"bad, most hosts restart at the end", 16000, 60, 0.5, 0, -1, 0, 0.001, -1,
	SHIFT_ROLLED_BACK, 14300},
    {"bad, few requests, most hosts restart at the end", 16000, 25, 0.5, 0, -1,
	0, 0.001, -1, SHIFT_ROLLED_BACK, 14300},
    {"bad, most hosts restart before the share grows", 16000, 25, 0.5, 0, -1, 0,
	0.001, -1, SHIFT_ROLLED_BACK, 9500},
    {"good, most hosts restart at the end", 16000, 60, 0, 0, -1, 0, 0.001, -1,
	SHIFT_COMPLETED, 14300},
    {"good, hardly any requests", 16000, 7, 0, 0, -1, 0, 0.001, -1,
	SHIFT_COMPLETED, 0},
};

static void
test_scenarios(void)
{
	guint i;

	for (i = 0; i < G_N_ELEMENTS(scenarios); i++)
		simulate(&scenarios[i]);
}

/* A new version without an order gets no requests for a while. */
static void
test_unordered(void)
{
	scenario_t none = {.name = "none"};
	backend_t *old_server, *new_server;
	sim_host_t *p;
	world_t w;

	world_init(&w, &none);
	p = &w.sim_hosts[0];
	old_server = g_hash_table_lookup(p->registry.servers, "s-0");
	new_server = g_hash_table_lookup(p->registry.servers, "s-7");
	ck_assert(shifts_allows(&p->shifts, old_server, SHIFT_COHORT_ANY, 0));
	ck_assert(!shifts_allows(&p->shifts, new_server, SHIFT_COHORT_ANY, 0));
	ck_assert(shifts_allows(
	    &p->shifts, new_server, SHIFT_COHORT_ANY, SHIFTS_UNORDERED_MS));
	/* Ordered, but no host has begun the shift: still none. */
	shifts_order(&p->shifts, "clips", "v2", 9000);
	ck_assert_int_eq(
	    shifts_cohort(&p->shifts, "clips", 77, 5000), SHIFT_COHORT_OLD);
	ck_assert(
	    !shifts_allows(&p->shifts, new_server, SHIFT_COHORT_OLD, 5000));
	world_finish(&w);
}

static void
test_ended(void)
{
	scenario_t none = {.name = "none"};
	shift_row_t row = {(char *)"v2", 0, 9000, SHIFT_COMPLETED, NULL};
	backend_t *old_server, *new_server;
	sim_host_t *p;
	world_t w;

	world_init(&w, &none);
	p = &w.sim_hosts[0];
	old_server = g_hash_table_lookup(p->registry.servers, "s-0");
	new_server = g_hash_table_lookup(p->registry.servers, "s-7");
	shifts_order(&p->shifts, "clips", "v2", 9000);
	shifts_apply_row(&p->shifts, "clips", &row, 5);
	ck_assert_int_eq(
	    shifts_cohort(&p->shifts, "clips", 77, 1), SHIFT_COHORT_ANY);
	ck_assert(shifts_allows(&p->shifts, new_server, SHIFT_COHORT_ANY, 1));
	ck_assert(!shifts_allows(&p->shifts, old_server, SHIFT_COHORT_ANY, 1));
	/* An older row is ignored; a rolled back version gets no requests. */
	row.state = SHIFT_ROLLED_BACK;
	shifts_apply_row(&p->shifts, "clips", &row, 4);
	ck_assert(!shifts_allows(&p->shifts, old_server, SHIFT_COHORT_ANY, 1));
	shifts_apply_row(&p->shifts, "clips", &row, 6);
	ck_assert_int_eq(
	    shifts_cohort(&p->shifts, "clips", 77, 999999), SHIFT_COHORT_OLD);
	world_finish(&w);
}

static gboolean
allows(const sim_host_t *p, const char *id, shift_cohort_t cohort)
{
	return shifts_allows(&p->shifts,
	    g_hash_table_lookup(p->registry.servers, id), cohort, 9999);
}

/* Ticks until the host writes a row. Return: the write. */
static shift_write_t *
await_write(sim_host_t *p, GArray *writes)
{
	msec_t now;

	g_array_set_size(writes, 0);
	for (now = 0; writes->len == 0 && now < 20000; now += TICK_MS)
		shifts_tick(
		    &p->shifts, &p->registry, &p->fleet, now, now, writes);
	ck_assert_uint_eq(writes->len, 1);
	return &g_array_index(writes, shift_write_t, 0);
}

/* Guards against requests to a version that was rolled back, once the next one
 * is ordered (review/9) and after a restart of hosts. */
static void
test_rolled_back_stays_out(void)
{
	scenario_t none = {.name = "none"};
	shift_row_t row = {(char *)"v2", 0, 9000, SHIFT_ROLLED_BACK, NULL};
	GArray *writes = g_array_new(FALSE, TRUE, sizeof(shift_write_t));
	shift_write_t *write;
	sim_host_t *p, *next;
	world_t w;

	world_init(&w, &none);
	p = &w.sim_hosts[0];
	next = &w.sim_hosts[1];
	shifts_order(&p->shifts, "clips", "v2", 9000);
	shifts_apply_row(&p->shifts, "clips", &row, 5);
	shifts_order(&p->shifts, "clips", "v3", 9000);
	ck_assert(allows(p, "s-0", SHIFT_COHORT_OLD));
	ck_assert(!allows(p, "s-7", SHIFT_COHORT_OLD));
	write = await_write(p, writes);
	ck_assert_str_eq(write->row.to, "v3");
	ck_assert_str_eq(write->row.withdrawn, "v2");
	/* A host that has just started knows the row only. */
	shifts_order(&next->shifts, "clips", "v3", 9000);
	shifts_apply_row(&next->shifts, "clips", &write->row, 6);
	ck_assert(allows(next, "s-0", SHIFT_COHORT_OLD));
	ck_assert(!allows(next, "s-7", SHIFT_COHORT_OLD));
	ck_assert(!allows(next, "s-7", SHIFT_COHORT_ANY));
	g_array_free(writes, TRUE);
	world_finish(&w);
}

/* Guards against a version that stays out although it is ordered again. */
static void
test_ordered_again(void)
{
	scenario_t none = {.name = "none"};
	shift_row_t later = {
	    (char *)"v3", 0, 9000, SHIFT_RUNNING, (char *)"v2"};
	shift_row_t running = {(char *)"v2", 0, 9000, SHIFT_RUNNING, NULL};
	GArray *writes = g_array_new(FALSE, TRUE, sizeof(shift_write_t));
	sim_host_t *p;
	world_t w;

	world_init(&w, &none);
	p = &w.sim_hosts[0];
	shifts_order(&p->shifts, "clips", "v3", 9000);
	shifts_apply_row(&p->shifts, "clips", &later, 6);
	ck_assert(!allows(p, "s-7", SHIFT_COHORT_OLD));
	shifts_order(&p->shifts, "clips", "v2", 9000);
	ck_assert_ptr_null(await_write(p, writes)->row.withdrawn);
	shifts_apply_row(&p->shifts, "clips", &running, 7);
	ck_assert(allows(p, "s-7", SHIFT_COHORT_NEW));
	g_array_free(writes, TRUE);
	world_finish(&w);
}

/* Decisions that an older copy of the store does not have. */
static void
test_copies(void)
{
	static const struct {
		const char *name;
		const char *to;
		shift_state_t known, copy;
		uint64_t number;
		gboolean kept;
	} copies[] = {
	    {"rolled back since", "v2", SHIFT_ROLLED_BACK, SHIFT_RUNNING, 4,
		TRUE},
	    {"rolled back, begun again by a host that did not know", "v2",
		SHIFT_ROLLED_BACK, SHIFT_RUNNING, 40, TRUE},
	    {"completed since", "v2", SHIFT_COMPLETED, SHIFT_RUNNING, 4, TRUE},
	    {"the shift before", "v1", SHIFT_RUNNING, SHIFT_COMPLETED, 4, TRUE},
	    {"a decision that this host did not know", "v2", SHIFT_RUNNING,
		SHIFT_ROLLED_BACK, 4, FALSE},
	};
	scenario_t none = {.name = "none"};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(copies); i++) {
		GArray *writes =
		    g_array_new(FALSE, TRUE, sizeof(shift_write_t));
		shift_row_t known = {
		    (char *)"v2", 0, 90000, copies[i].known, NULL};
		shift_row_t copy = {
		    (char *)copies[i].to, 0, 90000, copies[i].copy, NULL};
		sim_host_t *p;
		uint64_t ver;
		msec_t now;
		world_t w;

		world_init(&w, &none);
		p = &w.sim_hosts[0];
		shifts_order(&p->shifts, "clips", "v2", 90000);
		shifts_apply_row(&p->shifts, "clips", &known, 8);
		ck_assert(store_era_compose(1, 9, &p->shifts.copy_end));
		ck_assert(store_era_compose(1, copies[i].number, &ver));
		shifts_apply_row(&p->shifts, "clips", &copy, ver);
		for (now = 0; writes->len == 0 && now < 5000; now += TICK_MS)
			shifts_tick(&p->shifts, &p->registry, &p->fleet, now,
			    now, writes);
		ck_assert_msg(
		    (writes->len == 1) == copies[i].kept, "%s", copies[i].name);
		if (writes->len == 1) {
			const shift_write_t *write =
			    &g_array_index(writes, shift_write_t, 0);

			ck_assert_str_eq(write->row.to, "v2");
			ck_assert_int_eq(write->row.state, copies[i].known);
			ck_assert(write->expected == ver);
		}
		g_array_free(writes, TRUE);
		world_finish(&w);
	}
}

static const suite_case_t cases[] = {
    {"a rolled back version stays out", test_rolled_back_stays_out},
    {"a rolled back version is ordered again", test_ordered_again},
    {"an older copy of the store", test_copies},
    {"good and bad versions", test_scenarios},
    {"a new version without an order", test_unordered},
    {"after the end of a shift", test_ended},
};

int
main(void)
{
	return suite_run("shifts", cases, G_N_ELEMENTS(cases));
}
