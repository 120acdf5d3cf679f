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
#define RATE 90.0      /* requests per second to the service */
#define ARRIVALS_MAX 4 /* in a step */
#define ARRIVAL_PART (RATE * STEP_MS / MSEC_PER_SEC / ARRIVALS_MAX)
#define TIMEOUT_MS 2500
#define FLAP_MS 4000
#define BACK_MS 2000
#define WINDOW_MS 20000
#define EVEN_SHARE 0.8

/* What the servers under test do. */
typedef enum {
	SERVER_GOOD,
	SERVER_FAILS, /* although its probe succeeds */
	SERVER_FLAPS, /* refuses connections for half of the time */
	SERVER_ERRS,  /* 5 of 100 requests */
	SERVER_BACK,  /* refuses connections once, from 4 s to 6 s */
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
	/* Bounds: requests to the servers under test that are rejected, fail or
	 * take too long, and when they have their share; 0: they need not. */
	guint bad_max;
	msec_t even_ms;
} case_t;

static const case_t rows[] = {
    {"8 hosts", 8, 1, SERVER_GOOD, 1, 1, 2000, 3, FALSE, 0, 4000},
    {"85 hosts", 85, 1, SERVER_GOOD, 1, 1, 2000, 3, FALSE, 0, 4000},
    {"300 hosts", 300, 1, SERVER_GOOD, 1, 1, 2000, 3, FALSE, 0, 4000},
    {"rate too low", 85, 1, SERVER_GOOD, 1, 1, 8000, 0.3, FALSE, 0, 11000},
    {"rate too high", 8, 1, SERVER_GOOD, 1, 8, 8000, 30, FALSE, 15, 0},
    {"false probe", 85, 1, SERVER_FAILS, 1, 1, 2000, 3, FALSE, 40, 0},
    {"flapping", 85, 1, SERVER_FLAPS, 1, 1, 2000, 3, FALSE, 55, 0},
    {"slower for good", 85, 1, SERVER_GOOD, 3, 3, 2000, 3, FALSE, 40, 0},
    {"ejected", 85, 1, SERVER_BACK, 1, 1, 0, 0, FALSE, 25, 12000},
    {"ejected, 8 hosts", 8, 1, SERVER_BACK, 1, 1, 0, 3, FALSE, 25, 12000},
    {"5 % errors", 85, 1, SERVER_ERRS, 1, 1, 2000, 3, FALSE, 15, 4000},
    {"a failure domain", 85, 3, SERVER_GOOD, 1, 1, 2000, 3, FALSE, 0, 4000},
    {"all start", 85, SERVERS, SERVER_GOOD, 1, 1, 2000, 3, FALSE, 0, 0},
    {"no objects", 85, 1, SERVER_GOOD, 1, 1, 2000, 3, TRUE, 30, 8000},
};

typedef struct {
	registry_t registry;
	fleet_t fleet;
	shifts_t shifts;
	dispatch_t dispatch;
} host_t;

typedef struct {
	dispatch_job_t job;
	host_t *host;
	guint server;
	msec_t sent_at, ends_at;
	dispatch_result_t result;
} run_t;

typedef struct {
	const case_t *c;
	host_t hosts[HOSTS_MAX];
	GArray *runs; /* run_t */
	double load[SERVERS];
	gboolean cached[SERVERS][OBJECTS];
	admission_t admission;
	GRand *rand;
	guint bad;
	/* To the servers under test and to the others, from @even_ms on. */
	double sent[2];
} play_t;

/* When the servers under test start: hosts are members by then. */
static const msec_t start = MEMBERS_JOIN_MS + 2 * MEMBERS_SETTLE_MS;

#define INDEX_OF(b) ((guint)(b)->row_ver - 1)

static void
put_servers(host_t *h, guint from, guint to, msec_t cold_ms, msec_t now)
{
	char id[16];

	for (; from < to; from++) {
		const registry_row_t row = {id, "clips", id, "n1", "v1", SLOTS,
		    FALSE, cold_ms, 1, from + 1};

		g_snprintf(id, sizeof(id), "i-%u", from);
		registry_put(&h->registry, &row, now);
	}
}

static void
host_init(host_t *h, guint self, const case_t *c, GHashTable *regions)
{
	static const dispatch_bounds_t bounds = {.cold = {1.5, 8}};
	char name[16];
	const fleet_row_t row = {
	    name, "10.0.0.1:80", "10.0.0.1:81", "", "n1", 1, 1, 0, 0};
	guint i;

	g_snprintf(name, sizeof(name), "host-%u", self);
	registry_init(&h->registry, regions);
	fleet_init(&h->fleet, name);
	shifts_init(&h->shifts);
	dispatch_init(
	    &h->dispatch, &h->registry, &h->fleet, &h->shifts, "", &bounds);
	for (i = 0; i < c->hosts; i++) {
		g_snprintf(name, sizeof(name), "host-%u", i);
		if (i != self)
			fleet_put(&h->fleet, &row, 0);
	}
	fleet_join(&h->fleet, 0);
	put_servers(h, c->tested, SERVERS, 0, 0);
}

/* How a request ends and how long it runs. */
static void
run(play_t *p, run_t *r, guint object, msec_t now)
{
	gboolean tested = r->server < p->c->tested, *cached;
	behaviour_t behaviour = tested ? p->c->behaviour : SERVER_GOOD;
	double took;

	r->ends_at = now + STEP_MS;
	r->result.end = DISPATCH_ANSWERED;
	r->result.failed = behaviour == SERVER_FAILS ||
	    (behaviour == SERVER_ERRS && g_rand_double(p->rand) < 0.05);
	if ((behaviour == SERVER_FLAPS && (now - start) / FLAP_MS % 2 == 1) ||
	    (behaviour == SERVER_BACK && now >= start + FLAP_MS &&
		now < start + FLAP_MS + BACK_MS))
		r->result.end = DISPATCH_UNREACHABLE;
	else if (p->load[r->server] >= SLOTS + QUEUE)
		r->result.end = DISPATCH_FULL;
	if (r->result.failed || r->result.end != DISPATCH_ANSWERED)
		return;
	cached = &p->cached[r->server][object];
	took = *cached ? WARM_MS : COLD_OBJECT_MS;
	if (tested)
		took *= now < start + p->c->cold_ms ? p->c->cold_slower
						    : p->c->slower;
	r->ends_at =
	    now + (msec_t)(took * MAX(1, (p->load[r->server] + 1) / SLOTS));
	*cached = TRUE;
}

static void
arrive(play_t *p, msec_t now)
{
	guint object = (guint)g_rand_int_range(p->rand, 0, OBJECTS);
	run_t r = {.job = {.admission = &p->admission,
		       .object = (object + 1) * UINT64_C(0x9e3779b97f4a7c15),
		       .by_object = !p->c->no_objects},
	    .host =
		&p->hosts[g_rand_int_range(p->rand, 0, (gint32)p->c->hosts)],
	    .sent_at = now};
	placing_t placed = dispatch_place(&r.host->dispatch, &r.job, now, now);

	if (placed.verdict != PLACING_SEND)
		return;
	r.server = INDEX_OF(placed.server);
	dispatch_sent(&r.host->dispatch, &r.job, placed.server, now);
	run(p, &r, object, now);
	p->load[r.server]++;
	g_array_append_val(p->runs, r);
	if (now >= start + p->c->even_ms)
		p->sent[r.server >= p->c->tested]++;
	if (r.server < p->c->tested && now < start + WINDOW_MS)
		p->bad += r.result.failed ||
		    r.result.end != DISPATCH_ANSWERED ||
		    r.ends_at > now + TIMEOUT_MS;
}

static void
serve(play_t *p, msec_t now)
{
	guint i;

	for (i = p->runs->len; i > 0; i--) {
		run_t r = g_array_index(p->runs, run_t, i - 1);

		if (r.ends_at > now)
			continue;
		g_array_remove_index_fast(p->runs, i - 1);
		if (r.result.end == DISPATCH_ANSWERED)
			backend_report(r.job.tried[0], p->load[r.server], now);
		p->load[r.server]--;
		r.result.took_ms = now - r.sent_at;
		dispatch_ended(
		    &r.host->dispatch, &r.job, r.job.tried[0], &r.result, now);
		dispatch_job_clear(&r.job);
	}
}

/* Hosts exchange their loads and follow the fleet. */
static void
tick(play_t *p, host_t *h, msec_t now)
{
	GHashTableIter it;
	gpointer value;

	fleet_synced(&h->fleet, now);
	balance_tick(&h->registry, &h->fleet, now);
	dispatch_tick(&h->dispatch, now);
	g_hash_table_iter_init(&it, h->registry.servers);
	while (now % SUMMARY_MS == 0 &&
	    g_hash_table_iter_next(&it, NULL, &value)) {
		backend_t *b = value;

		b->peers = (uint32_t)p->load[INDEX_OF(b)] - b->own;
	}
}

static void
play(play_t *p, msec_t now)
{
	guint i, sent;

	for (i = 0; i < p->c->hosts && now == start; i++)
		put_servers(&p->hosts[i], 0, p->c->tested, p->c->cold_ms, now);
	serve(p, now);
	for (i = 0; i < p->c->hosts && now % BALANCE_TICK_MS == 0; i++)
		tick(p, &p->hosts[i], now);
	for (sent = 0; sent < ARRIVALS_MAX; sent++) {
		if (g_rand_double(p->rand) < ARRIVAL_PART)
			arrive(p, now);
	}
}

/* Guards against servers that are flooded or that stay idle when they start or
 * are back. */
static void
test_cases(void)
{
	manifest_route_t route = {.name = (char *)"r", .objective_ms = 600};
	manifest_service_t service = {.name = (char *)"clips"};
	GHashTable *regions = g_hash_table_new(g_str_hash, g_str_equal);
	static play_t p;
	double share;
	msec_t now;
	size_t i;
	guint k;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		const case_t *c = &rows[i];

		service.warmup_rate = c->warmup_rate;
		p = (play_t){.c = c,
		    .rand = g_rand_new_with_seed(1),
		    .runs = g_array_new(FALSE, FALSE, sizeof(run_t)),
		    .admission = {.route = &route, .service = &service}};
		for (k = 0; k < c->hosts; k++)
			host_init(&p.hosts[k], k, c, regions);
		for (now = 0; now < start + c->even_ms + WINDOW_MS;
		     now += STEP_MS)
			play(&p, now);
		ck_assert_msg(
		    p.bad <= c->bad_max, "%s: %u bad", c->name, p.bad);
		share =
		    p.sent[0] / p.sent[1] * (SERVERS - c->tested) / c->tested;
		ck_assert_msg(c->even_ms == 0 || share >= EVEN_SHARE,
		    "%s: %.2f of its share", c->name, share);
		for (k = 0; k < p.runs->len; k++)
			dispatch_job_clear(
			    &g_array_index(p.runs, run_t, k).job);
		for (k = 0; k < c->hosts; k++) {
			dispatch_finish(&p.hosts[k].dispatch);
			shifts_finish(&p.hosts[k].shifts);
			fleet_finish(&p.hosts[k].fleet);
			registry_finish(&p.hosts[k].registry);
		}
		g_array_free(p.runs, TRUE);
		g_rand_free(p.rand);
	}
	g_hash_table_destroy(regions);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"servers that start or are back", test_cases},
	};

	return suite_run("server_pace", cases, G_N_ELEMENTS(cases));
}
