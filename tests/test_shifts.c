#include <string.h>

#include "coordination/shifts.h"
#include "suite.h"

/*
 * Plays hosts that move a service to a new version, with late beacons and a
 * store that answers at once; counts what the new version got. The promise: a
 * good one is completed in time, a bad one gets no more than a tenth and 50,
 * and nothing soon after its 50th bad answer.
 */

#define HOSTS 6
#define STEP_MS 10
#define BEACON_MS 500
#define TICK_MS 250
#define OLD_SERVERS 6
#define FRESH_SERVERS 6
#define ROUTES 3
#define ROLLBACK_MS 5000
#define EXPOSURE_SHARE 0.1
#define EXPOSURE_SLACK 50

typedef struct {
	const char *name;
	msec_t duration_ms;
	double rate;	    /* requests a second, all hosts together */
	double bad;	    /* part of its requests that fail */
	msec_t bad_from_ms; /* since the order */
	int bad_route;	    /* -1: all */
	msec_t slow_ms;	    /* its bad answers come so late, as time-outs */
	double errors;	    /* of the old version */
	int dead;	    /* a host that stops in the middle; -1: none */
	shift_state_t end;
	msec_t herd_at; /* all hosts but the first start anew; 0: never */
} play_t;

typedef struct {
	registry_t registry;
	fleet_t fleet;
	shifts_t shifts;
	uint32_t seq;
	uint64_t incarnation;
} player_t;

/* A request whose answer is late. */
typedef struct {
	guint host;
	backend_t *server;
	shift_sample_t sample;
	msec_t ends_at;
} pending_t;

typedef struct {
	const play_t *play;
	player_t players[HOSTS];
	GHashTable *regions;
	GRand *rand;
	shift_row_t row; /* in the store */
	uint64_t row_ver;
	guint all, fresh, fresh_bad;
	msec_t ended_at, bad_at; /* the 50th bad answer */
	guint late;		 /* sent too long after it */
	GArray *pending;	 /* pending_t, the oldest first */
} world_t;

static void
world_init(world_t *w, const play_t *play)
{
	char name[16], id[16];
	guint h, i;

	memset(w, 0, sizeof(*w));
	w->play = play;
	w->rand = g_rand_new_with_seed(11);
	w->pending = g_array_new(FALSE, TRUE, sizeof(pending_t));
	w->regions = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(w->regions, "n1", "north");
	for (h = 0; h < HOSTS; h++) {
		player_t *p = &w->players[h];

		g_snprintf(name, sizeof(name), "host-%u", h);
		registry_init(&p->registry, w->regions);
		fleet_init(&p->fleet, name);
		shifts_init(&p->shifts);
		p->incarnation = 1;
		for (i = 0; i < HOSTS; i++) {
			char other[16];
			const fleet_row_t row = {other, "1.1.1.1:1",
			    "1.1.1.1:2", "north", "n1", 1, i + 1};

			g_snprintf(other, sizeof(other), "host-%u", i);
			fleet_put(&p->fleet, &row);
		}
		for (i = 0; i < OLD_SERVERS + FRESH_SERVERS; i++) {
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
		shifts_finish(&w->players[h].shifts);
		fleet_finish(&w->players[h].fleet);
		registry_finish(&w->players[h].registry);
	}
	g_free(w->row.to);
	g_array_free(w->pending, TRUE);
	g_hash_table_destroy(w->regions);
	g_rand_free(w->rand);
}

static gboolean
is_dead(const world_t *w, guint h, msec_t now)
{
	return (int)h == w->play->dead && now > w->play->duration_ms / 3;
}

static void
tell(world_t *w, guint from, msec_t now)
{
	player_t *p = &w->players[from];
	guint to;

	p->seq++;
	for (to = 0; to < HOSTS; to++) {
		fleet_status_t news;
		fleet_host_t *h;

		if (to == from)
			continue;
		fleet_status_init(&news);
		news.host = p->fleet.self;
		news.incarnation = p->incarnation;
		news.seq = p->seq;
		news.ready = TRUE;
		shifts_report(&p->shifts, &news);
		h = fleet_receive(&w->players[to].fleet, &news, now);
		if (h != NULL)
			shifts_receive(&w->players[to].shifts, h);
		fleet_status_finish(&news);
	}
}

/* The store: a conditional write, and everybody reads it at once. */
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
		    &w->players[h].shifts, "clips", &w->row, w->row_ver);
}

static void
tick(world_t *w, guint h, msec_t now)
{
	GArray *writes = g_array_new(FALSE, TRUE, sizeof(shift_write_t));
	player_t *p = &w->players[h];
	guint i;

	shifts_tick(&p->shifts, &p->registry, &p->fleet, now, now, writes);
	for (i = 0; i < writes->len; i++)
		write_row(w, &g_array_index(writes, shift_write_t, i), now);
	g_array_free(writes, TRUE);
}

static backend_t *
pick(player_t *p, shift_cohort_t lot, msec_t now)
{
	GPtrArray *servers = registry_service(&p->registry, "clips")->servers;
	guint i;

	for (i = 0; i < servers->len; i++) {
		backend_t *b = g_ptr_array_index(servers, i);

		if (shifts_allows(&p->shifts, b, lot, now))
			return b;
	}
	return NULL;
}

static void
request(world_t *w, msec_t now)
{
	const play_t *p = w->play;
	guint h = (guint)g_rand_int_range(w->rand, 0, HOSTS);
	int route = g_rand_int_range(w->rand, 0, ROUTES);
	uint64_t object = g_rand_int(w->rand) % 150;
	shift_sample_t sample = {.route = (uint64_t)route};
	player_t *host = &w->players[h];
	shift_cohort_t lot;
	backend_t *b;
	gboolean fresh;

	if (is_dead(w, h, now))
		return;
	object = object * UINT64_C(0x9e3779b97f4a7c15) ^ 0x5555;
	lot = shifts_cohort(&host->shifts, "clips", object, now);
	b = pick(host, lot, now);
	ck_assert_msg(b != NULL, "%s: no server", p->name);
	fresh = strcmp(b->version, "v2") == 0;
	sample.failed = fresh ? now >= p->bad_from_ms &&
		(p->bad_route < 0 || p->bad_route == route) &&
		g_rand_double(w->rand) < p->bad
			      : g_rand_double(w->rand) < p->errors;
	shifts_sent(&host->shifts, b);
	if (sample.failed && fresh && p->slow_ms > 0) {
		pending_t late = {h, b, sample, now + p->slow_ms};

		late.sample.failed = FALSE;
		late.sample.slow = TRUE;
		g_array_append_val(w->pending, late);
	} else {
		shifts_ended(&host->shifts, b, &sample);
	}
	w->all++;
	w->fresh += fresh;
	if (fresh && w->bad_at != 0 && now > w->bad_at + ROLLBACK_MS)
		w->late++;
	w->fresh_bad += fresh && sample.failed;
	if (w->fresh_bad == 50 && w->bad_at == 0)
		w->bad_at = now;
}

/* What these hosts have counted and judged is lost. */
static void
restart_hosts(world_t *w, msec_t now)
{
	GHashTableIter it;
	gpointer server;
	guint h;

	g_array_set_size(w->pending, 0);
	for (h = 1; h < HOSTS; h++) {
		player_t *p = &w->players[h];

		shifts_finish(&p->shifts);
		shifts_init(&p->shifts);
		p->incarnation++;
		p->seq = 0;
		g_hash_table_iter_init(&it, p->registry.servers);
		while (g_hash_table_iter_next(&it, NULL, &server))
			shifts_note_version(&p->shifts, server, TRUE, now);
		shifts_order(&p->shifts, "clips", "v2", w->play->duration_ms);
		shifts_apply_row(&p->shifts, "clips", &w->row, w->row_ver);
	}
}

static void
end_late(world_t *w, msec_t now)
{
	pending_t *p;

	while (w->pending->len > 0) {
		p = &g_array_index(w->pending, pending_t, 0);
		if (p->ends_at > now)
			return;
		shifts_ended(
		    &w->players[p->host].shifts, p->server, &p->sample);
		g_array_remove_index(w->pending, 0);
	}
}

static void
play(const play_t *p)
{
	world_t w;
	msec_t now;
	guint h, i, n;
	double due;

	world_init(&w, p);
	for (h = 0; h < HOSTS; h++)
		shifts_order(
		    &w.players[h].shifts, "clips", "v2", p->duration_ms);
	for (now = STEP_MS; now < p->duration_ms + 2000; now += STEP_MS) {
		for (h = 0; h < HOSTS; h++) {
			if (is_dead(&w, h, now))
				continue;
			if ((now + 40 * h) % BEACON_MS == 0)
				tell(&w, h, now);
			if ((now + 30 * h) % TICK_MS == 0)
				tick(&w, h, now);
		}
		end_late(&w, now);
		if (now == p->herd_at)
			restart_hosts(&w, now);
		due = p->rate * STEP_MS / MSEC_PER_SEC;
		n = (guint)due + (g_rand_double(w.rand) < due - (guint)due);
		for (i = 0; i < n; i++)
			request(&w, now);
	}
	ck_assert_msg(
	    w.row.state == p->end, "%s: state %d", p->name, (int)w.row.state);
	ck_assert_msg(w.ended_at <= p->duration_ms, "%s: ended at %lld",
	    p->name, (long long)w.ended_at);
	if (p->end == SHIFT_ROLLED_BACK) {
		ck_assert_msg(
		    w.fresh <= EXPOSURE_SHARE * w.all + EXPOSURE_SLACK,
		    "%s: %u of %u", p->name, w.fresh, w.all);
		ck_assert_msg(w.late == 0, "%s: %u late", p->name, w.late);
	}
	world_finish(&w);
}

static const play_t plays[] = {
    {"good", 16000, 60, 0, 0, -1, 0, 0.001, -1, SHIFT_COMPLETED, 0},
    {"good, short", 12000, 60, 0, 0, -1, 0, 0.001, -1, SHIFT_COMPLETED, 0},
    {"good, its duty's host dies", 16000, 60, 0, 0, -1, 0, 0.001, 0,
	SHIFT_COMPLETED, 0},
    {"good where all fail alike", 16000, 60, 0.1, 0, -1, 0, 0.1, -1,
	SHIFT_COMPLETED, 0},
    {"bad at once", 16000, 60, 0.5, 0, -1, 0, 0.001, -1, SHIFT_ROLLED_BACK, 0},
    {"bad at once, many requests", 16000, 1300, 0.5, 0, -1, 0, 0.001, -1,
	SHIFT_ROLLED_BACK, 0},
    {"slow, few requests", 10000, 25, 1, 0, -1, 2500, 0.001, -1,
	SHIFT_ROLLED_BACK, 0},
    {"slow", 16000, 60, 1, 0, -1, 2500, 0.001, -1, SHIFT_ROLLED_BACK, 0},
    {"bad later", 16000, 60, 0.5, 4000, -1, 0, 0.001, -1, SHIFT_ROLLED_BACK, 0},
    {"bad on one route", 16000, 60, 0.5, 0, 1, 0, 0.001, -1, SHIFT_ROLLED_BACK,
	0},
    {"bad, its duty's host dies", 16000, 60, 0.5, 5000, -1, 0, 0.001, 0,
	SHIFT_ROLLED_BACK, 0},
    {"good, most hosts start anew", 16000, 60, 0, 0, -1, 0, 0.001, -1,
	SHIFT_COMPLETED, 5000},
    {"slow, most hosts start anew", 10000, 25, 1, 0, -1, 2500, 0.001, -1,
	SHIFT_ROLLED_BACK, 2500},
    {"half slow, most hosts start anew", 9000, 25, 0.45, 0, -1, 2500, 0.001, -1,
	SHIFT_ROLLED_BACK, 2000},
    {"half slow", 9000, 25, 0.45, 0, -1, 2500, 0.001, -1, SHIFT_ROLLED_BACK, 0},
    {"bad, most hosts start anew", 16000, 60, 0.5, 0, -1, 0, 0.001, -1,
	SHIFT_ROLLED_BACK, 1000},
    {"good, hardly any requests", 16000, 7, 0, 0, -1, 0, 0.001, -1,
	SHIFT_COMPLETED, 0},
};

static void
test_plays(void)
{
	guint i;

	for (i = 0; i < G_N_ELEMENTS(plays); i++)
		play(&plays[i]);
}

/* Before anybody ordered it a new version is left alone for a while. */
static void
test_unordered(void)
{
	play_t none = {.name = "none"};
	backend_t *old, *fresh;
	player_t *p;
	world_t w;

	world_init(&w, &none);
	p = &w.players[0];
	old = g_hash_table_lookup(p->registry.servers, "s-0");
	fresh = g_hash_table_lookup(p->registry.servers, "s-7");
	ck_assert(shifts_allows(&p->shifts, old, SHIFT_COHORT_ANY, 0));
	ck_assert(!shifts_allows(&p->shifts, fresh, SHIFT_COHORT_ANY, 0));
	ck_assert(shifts_allows(
	    &p->shifts, fresh, SHIFT_COHORT_ANY, SHIFTS_UNORDERED_MS));
	/* Ordered, but nobody has begun: none. */
	shifts_order(&p->shifts, "clips", "v2", 9000);
	ck_assert_int_eq(
	    shifts_cohort(&p->shifts, "clips", 77, 5000), SHIFT_COHORT_OLD);
	ck_assert(!shifts_allows(&p->shifts, fresh, SHIFT_COHORT_OLD, 5000));
	world_finish(&w);
}

static void
test_ended(void)
{
	play_t none = {.name = "none"};
	shift_row_t row = {(char *)"v2", 0, 9000, SHIFT_COMPLETED};
	backend_t *old, *fresh;
	player_t *p;
	world_t w;

	world_init(&w, &none);
	p = &w.players[0];
	old = g_hash_table_lookup(p->registry.servers, "s-0");
	fresh = g_hash_table_lookup(p->registry.servers, "s-7");
	shifts_order(&p->shifts, "clips", "v2", 9000);
	shifts_apply_row(&p->shifts, "clips", &row, 5);
	ck_assert_int_eq(
	    shifts_cohort(&p->shifts, "clips", 77, 1), SHIFT_COHORT_ANY);
	ck_assert(shifts_allows(&p->shifts, fresh, SHIFT_COHORT_ANY, 1));
	ck_assert(!shifts_allows(&p->shifts, old, SHIFT_COHORT_ANY, 1));
	/* An older row changes nothing; a taken back version stays out. */
	row.state = SHIFT_ROLLED_BACK;
	shifts_apply_row(&p->shifts, "clips", &row, 4);
	ck_assert(!shifts_allows(&p->shifts, old, SHIFT_COHORT_ANY, 1));
	shifts_apply_row(&p->shifts, "clips", &row, 6);
	ck_assert_int_eq(
	    shifts_cohort(&p->shifts, "clips", 77, 999999), SHIFT_COHORT_OLD);
	world_finish(&w);
}

static const suite_case_t cases[] = {
    {"good and bad versions", test_plays},
    {"a version without an order", test_unordered},
    {"after the end", test_ended},
};

int
main(void)
{
	return suite_run("shifts", cases, G_N_ELEMENTS(cases));
}
