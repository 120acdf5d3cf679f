#include <string.h>

#include "coordination/balance.h"
#include "coordination/dispatch.h"
#include "suite.h"

#define HOSTS_MAX 300
#define SERVERS 12
#define SLOTS 6
#define QUEUE 18
#define OBJECTS 480
#define STEP_MS 10
#define SUMMARY_MS 500
#define WARM_MS 270 /* with the object cached; without it COLD_OBJECT_MS */
#define COLD_OBJECT_MS 880
#define RATE 90.0 /* requests per second to the service */
#define TIMEOUT_MS 2500
#define FLAP_MS 4000

/* What the servers under test do. */
typedef enum {
	SERVER_GOOD,
	SERVER_FAILS, /* although its probe succeeds */
	SERVER_FLAPS, /* refuses connections for half of the time */
	SERVER_ERRS,  /* 5 of 100 requests */
} behaviour_t;

typedef struct {
	const char *name;
	guint hosts, tested; /* servers under test, which start */
	behaviour_t behaviour;
	double slower;	    /* factor of their times */
	double cold_slower; /* the same while they are cold */
	msec_t cold_ms;
	double warmup_rate;
	gboolean no_objects;
	/* Bounds: requests to the servers under test that are rejected or
	 * fail, and the time to the even share; 0: they need not get it. */
	guint bad_max;
	msec_t even_max_ms;
} case_t;

static const case_t rows[] = {
    {"healthy, 8 hosts", 8, 1, SERVER_GOOD, 1, 1, 2000, 3, FALSE, 0, 7000},
    {"healthy, 85 hosts", 85, 1, SERVER_GOOD, 1, 1, 2000, 3, FALSE, 0, 7000},
    {"healthy, 300 hosts", 300, 1, SERVER_GOOD, 1, 1, 2000, 3, FALSE, 0, 7000},
    {"rate far under the real one", 85, 1, SERVER_GOOD, 1, 1, 8000, 0.3, FALSE,
	0, 14000},
    {"rate far over the real one", 8, 1, SERVER_GOOD, 1, 8, 8000, 30, FALSE, 15,
	0},
    {"false health probe", 85, 1, SERVER_FAILS, 1, 1, 2000, 3, FALSE, 40, 0},
    {"flapping", 85, 1, SERVER_FLAPS, 1, 1, 2000, 3, FALSE, 45, 0},
    {"slower for good", 85, 1, SERVER_GOOD, 3, 3, 2000, 3, FALSE, 40, 0},
    {"5 % errors", 85, 1, SERVER_ERRS, 1, 1, 2000, 3, FALSE, 10, 8000},
    {"a failure domain", 85, 3, SERVER_GOOD, 1, 1, 2000, 3, FALSE, 0, 7000},
    {"no objects", 85, 1, SERVER_GOOD, 1, 1, 2000, 3, TRUE, 10, 10000},
};

#define END_MS 40000
#define OPENING_MS 20000

typedef struct {
	registry_t registry;
	fleet_t fleet;
	shifts_t shifts;
	dispatch_t dispatch;
} host_t;

typedef struct {
	dispatch_job_t job;
	host_t *host;
	msec_t sent_at, ends_at;
	dispatch_end_t end;
	gboolean failed;
} run_t;

typedef struct {
	const case_t *c;
	GHashTable *regions;
	host_t hosts[HOSTS_MAX];
	GArray *runs[SERVERS]; /* run_t */
	msec_t free_at[SERVERS][SLOTS];
	gboolean cached[SERVERS][OBJECTS];
	manifest_route_t route;
	manifest_service_t service;
	admission_t admission;
	GRand *rand;
	msec_t start; /* of the servers under test */
	guint bad;
	guint served[END_MS / 1000 + 1][SERVERS];
} play_t;

static void
put_server(host_t *h, guint s, msec_t cold_ms, msec_t now)
{
	char id[16], address[32];
	const registry_row_t row = {
	    id, "clips", address, "n1", "v1", SLOTS, FALSE, cold_ms, 1, s + 1};

	g_snprintf(id, sizeof(id), "i-%02u", s);
	g_snprintf(address, sizeof(address), "10.0.0.1:%u", 80 + s);
	registry_put(&h->registry, &row, now);
}

static void
play_init(play_t *p, const case_t *c)
{
	static const dispatch_bounds_t bounds = {.cold = {1.5, 8}};
	guint i, k;

	memset(p, 0, sizeof(*p));
	p->c = c;
	p->rand = g_rand_new_with_seed(1);
	p->regions = g_hash_table_new(g_str_hash, g_str_equal);
	p->start = MEMBERS_JOIN_MS + 2 * MEMBERS_SETTLE_MS;
	p->route = (manifest_route_t){
	    .name = (char *)"r", .objective_ms = 600, .by_object = TRUE};
	p->service = (manifest_service_t){
	    .name = (char *)"clips", .warmup_rate = c->warmup_rate};
	p->admission =
	    (admission_t){.route = &p->route, .service = &p->service};
	for (i = 0; i < SERVERS; i++)
		p->runs[i] = g_array_new(FALSE, FALSE, sizeof(run_t));
	for (i = 0; i < c->hosts; i++) {
		host_t *h = &p->hosts[i];
		char name[16];

		registry_init(&h->registry, p->regions);
		g_snprintf(name, sizeof(name), "host-%u", i);
		fleet_init(&h->fleet, name);
		shifts_init(&h->shifts);
		dispatch_init(&h->dispatch, &h->registry, &h->fleet, &h->shifts,
		    "", &bounds);
		for (k = 0; k < c->hosts; k++) {
			const fleet_row_t row = {name, "10.0.0.1:80",
			    "10.0.0.1:81", "north", "n1", 1, 1, 0, 0};

			g_snprintf(name, sizeof(name), "host-%u", k);
			if (k != i)
				fleet_put(&h->fleet, &row, 0);
		}
		fleet_join(&h->fleet, 0);
		for (k = c->tested; k < SERVERS; k++)
			put_server(h, k, 0, 0);
	}
}

static void
play_finish(play_t *p)
{
	guint i, k;

	for (i = 0; i < SERVERS; i++) {
		for (k = 0; k < p->runs[i]->len; k++)
			dispatch_job_clear(
			    &g_array_index(p->runs[i], run_t, k).job);
		g_array_free(p->runs[i], TRUE);
	}
	for (i = 0; i < p->c->hosts; i++) {
		dispatch_finish(&p->hosts[i].dispatch);
		shifts_finish(&p->hosts[i].shifts);
		fleet_finish(&p->hosts[i].fleet);
		registry_finish(&p->hosts[i].registry);
	}
	g_hash_table_destroy(p->regions);
	g_rand_free(p->rand);
}

/* How a request ends and how long it runs. */
static void
run(play_t *p, run_t *r, guint s, guint object, msec_t now)
{
	gboolean tested = s < p->c->tested, cold;
	msec_t took = p->cached[s][object] ? WARM_MS : COLD_OBJECT_MS;
	msec_t *slot = &p->free_at[s][0];
	guint i;

	cold = now < p->start + p->c->cold_ms;
	r->end = DISPATCH_ANSWERED;
	r->ends_at = now + STEP_MS;
	if (tested && p->c->behaviour == SERVER_FLAPS &&
	    (now - p->start) / FLAP_MS % 2 == 1) {
		r->end = DISPATCH_UNREACHABLE;
		return;
	}
	if (p->runs[s]->len >= SLOTS + QUEUE) {
		r->end = DISPATCH_FULL;
		return;
	}
	r->failed = tested &&
	    (p->c->behaviour == SERVER_FAILS ||
		(p->c->behaviour == SERVER_ERRS &&
		    g_rand_double(p->rand) < 0.05));
	if (r->failed)
		return;
	p->cached[s][object] = TRUE;
	if (tested)
		took = (msec_t)((double)took *
		    (cold ? p->c->cold_slower : p->c->slower));
	for (i = 1; i < SLOTS; i++) {
		if (p->free_at[s][i] < *slot)
			slot = &p->free_at[s][i];
	}
	*slot = MAX(*slot, now) + took;
	r->ends_at = *slot;
}

static void
arrive(play_t *p, msec_t now)
{
	guint object = (guint)g_rand_int_range(p->rand, 0, OBJECTS), s;
	host_t *h =
	    &p->hosts[g_rand_int_range(p->rand, 0, (gint32)p->c->hosts)];
	run_t r = {.job = {.admission = &p->admission,
		       .object = (object + 1) * UINT64_C(0x9e3779b97f4a7c15),
		       .by_object = !p->c->no_objects},
	    .host = h,
	    .sent_at = now};
	placing_t placed = dispatch_place(&h->dispatch, &r.job, now, now);

	if (placed.verdict != PLACING_SEND)
		return;
	s = (guint)g_ascii_strtoull(placed.server->id + 2, NULL, 10);
	dispatch_sent(&h->dispatch, &r.job, placed.server, now);
	run(p, &r, s, object, now);
	if (now >= p->start)
		p->served[(now - p->start) / 1000][s]++;
	if (s < p->c->tested && now < p->start + OPENING_MS)
		p->bad += r.failed || r.end != DISPATCH_ANSWERED ||
		    r.ends_at > now + TIMEOUT_MS;
	g_array_append_val(p->runs[s], r);
}

static void
serve(play_t *p, guint s, msec_t now)
{
	guint i;

	for (i = p->runs[s]->len; i > 0; i--) {
		run_t r = g_array_index(p->runs[s], run_t, i - 1);
		const dispatch_result_t result = {.end = r.end,
		    .failed = r.failed,
		    .took_ms = now - r.sent_at};

		if (r.ends_at > now)
			continue;
		g_array_remove_index_fast(p->runs[s], i - 1);
		if (r.end == DISPATCH_ANSWERED)
			backend_report(
			    r.job.tried[0], p->runs[s]->len + 1, now);
		dispatch_ended(
		    &r.host->dispatch, &r.job, r.job.tried[0], &result, now);
		dispatch_job_clear(&r.job);
	}
}

/* What hosts do at intervals: exchange their loads, and update the set. */
static void
tick(play_t *p, msec_t now)
{
	guint h, s;

	for (h = 0; h < p->c->hosts; h++) {
		host_t *host = &p->hosts[h];
		GHashTableIter it;
		gpointer value;

		fleet_synced(&host->fleet, now);
		dispatch_tick(&host->dispatch, now);
		balance_tick(&host->registry, &host->fleet, now);
		g_hash_table_iter_init(&it, host->registry.servers);
		while (g_hash_table_iter_next(&it, NULL, &value)) {
			backend_t *b = value;

			s = (guint)g_ascii_strtoull(b->id + 2, NULL, 10);
			if (now % SUMMARY_MS == 0)
				b->peers = p->runs[s]->len > b->own
				    ? p->runs[s]->len - b->own
				    : 0;
		}
	}
}

/* Return: the time from which on the servers under test have their share, for
 * three seconds */
static msec_t
even_at(const play_t *p)
{
	guint t, s, tested = 0, others = 0;

	for (t = 0; t + 3 < END_MS / 1000; t++) {
		tested = others = 0;
		for (s = 0; s < SERVERS * 3; s++)
			*(s % SERVERS < p->c->tested ? &tested : &others) +=
			    p->served[t + s / SERVERS][s % SERVERS];
		if (tested * (SERVERS - p->c->tested) * 10 >=
		    others * p->c->tested * 7)
			return (msec_t)t * 1000;
	}
	return END_MS;
}

static void
test_cases(void)
{
	static play_t p;
	size_t i;
	guint k;
	msec_t now;
	double due;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		const case_t *c = &rows[i];

		play_init(&p, c);
		for (now = 0; now < p.start + END_MS; now += STEP_MS) {
			for (k = 0; k < c->hosts && now == p.start; k++) {
				for (guint s = 0; s < c->tested; s++)
					put_server(
					    &p.hosts[k], s, c->cold_ms, now);
			}
			for (k = 0; k < SERVERS; k++)
				serve(&p, k, now);
			if (now % BALANCE_TICK_MS == 0)
				tick(&p, now);
			for (due = RATE * STEP_MS / 1000; due > 0; due--) {
				if (g_rand_double(p.rand) < due)
					arrive(&p, now);
			}
		}
		if (0)
			ck_assert_msg(
			    p.bad <= c->bad_max, "%s: %u bad", c->name, p.bad);
		if (0)
			ck_assert_msg(c->even_max_ms == 0 ||
				even_at(&p) <= c->even_max_ms,
			    "%s: %d ms", c->name, (int)even_at(&p));
		play_finish(&p);
	}
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"servers that start or are back", test_cases},
	};

	return suite_run("server_pace", cases, G_N_ELEMENTS(cases));
}
