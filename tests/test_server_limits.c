#include <string.h>

#include "coordination/server_limits.h"
#include "fleet_alone.h"
#include "suite.h"

/*
 * Simulates hosts that learn a server's limit from its answers and ask each
 * other for tokens. Checks that the server gets no more than the platform's
 * rule allows, and that its limit is used.
 */

#define HOSTS_MAX 30
#define STEP_MS 10
#define TICK_MS 250
#define STATUS_MS 500
#define FIRST_AT 6000 /* when the server first names its limit */
#define CONTACT_MS 4000
#define WINDOW_MS 4000
#define TOLD_MS 500 /* a host counts this long after it passed on an answer */
#define ANSWER_MS 300
#define END_MS 30000
#define SEEDS 12

typedef struct {
	const char *name;
	guint hosts, regions;
	double limit, demand; /* requests per second */
	double later;	      /* limit from 15 s on; -1: it names none */
	gboolean replaced;    /* another server has the address from 15 s on */
	gboolean restarts;    /* each host restarts once, 0.8 s apart */
	/* Hosts of the server's region: 1: leave in turn; 2: are all lost. */
	int leaves;
	int cut_off;	 /* without contact to other hosts from 12 s on; -1 */
	double min_used; /* of the limit, from 12 s on */
} scenario_t;

typedef struct {
	fleet_t fleet;
	server_limits_t limits;
	uint32_t seq;
	uint64_t incarnation;
	server_limit_t known; /* at 0: none */
	msec_t told_at;	      /* first answer with a limit; 0: none */
	msec_t wait_until;
} sim_host_t;

typedef struct {
	const scenario_t *scenario;
	sim_host_t hosts[HOSTS_MAX];
	char names[HOSTS_MAX][16];
	char regions[HOSTS_MAX][16];
	GRand *rand;
	uint64_t server; /* its number decides which hosts lend */
	uint32_t counted[END_MS / STEP_MS]; /* from hosts that were told */
	uint32_t got[END_MS / STEP_MS];
	int answers[END_MS / STEP_MS + ANSWER_MS][HOSTS_MAX];
} world_t;

static void
start_host(world_t *w, guint i, uint64_t incarnation)
{
	sim_host_t *h = &w->hosts[i];
	guint k;

	memset(h, 0, sizeof(*h));
	fleet_init(&h->fleet, w->names[i]);
	fleet_locate(&h->fleet, w->regions[i], w->names[i], 1);
	for (k = 0; k < w->scenario->hosts; k++) {
		const fleet_row_t row = {w->names[k], "1.1.1.1:1", "1.1.1.1:2",
		    w->regions[k], w->names[k], 1, k + 1, 0, 0};

		fleet_put(&h->fleet, &row, 0);
	}
	fleet_synced(&h->fleet, 1);
	server_limits_init(&h->limits, &h->fleet, w->regions[i]);
	h->incarnation = incarnation;
}

static void
stop_host(sim_host_t *h)
{
	server_limits_finish(&h->limits);
	fleet_finish(&h->fleet);
}

static void
world_init(world_t *w, const scenario_t *scenario, guint32 seed)
{
	guint i;

	memset(w, 0, sizeof(*w));
	w->scenario = scenario;
	w->rand = g_rand_new_with_seed(seed);
	w->server = seed * UINT64_C(0x9e3779b97f4a7c15);
	for (i = 0; i < scenario->hosts; i++) {
		g_snprintf(w->names[i], sizeof(w->names[i]), "host-%u", i);
		g_snprintf(w->regions[i], sizeof(w->regions[i]), "region-%u",
		    i % scenario->regions);
	}
	for (i = 0; i < scenario->hosts; i++)
		start_host(w, i, 1);
}

static void
world_finish(world_t *w)
{
	guint i;

	for (i = 0; i < w->scenario->hosts; i++)
		stop_host(&w->hosts[i]);
	g_rand_free(w->rand);
}

static gboolean
is_cut_off(const world_t *w, guint i, msec_t now)
{
	return (int)i == w->scenario->cut_off && now >= 12000;
}

/* All but one host of the server's region. */
static gboolean
is_leaving(const world_t *w, guint i, msec_t now)
{
	return w->scenario->leaves == 1 && i % w->scenario->regions == 0 &&
	    i > 0 && now >= 11000 + 500 * (msec_t)i;
}

static gboolean
is_lost(const world_t *w, guint i, msec_t now)
{
	return w->scenario->leaves == 2 && i % w->scenario->regions == 0 &&
	    now >= 12000;
}

static void
send_status(world_t *w, guint from, msec_t now)
{
	sim_host_t *h = &w->hosts[from];
	fleet_status_t status;
	guint i;

	fleet_status_init(&status);
	status.host = h->fleet.self;
	status.incarnation = h->incarnation;
	status.seq = ++h->seq;
	status.ready = !is_leaving(w, from, now);
	status.leaving = !status.ready;
	for (i = 0; i < w->scenario->hosts; i++) {
		if (i != from && !is_cut_off(w, from, now) &&
		    !is_cut_off(w, i, now))
			deliver_alone(
			    &w->hosts[i].fleet, w->names[from], &status, now);
	}
	fleet_status_finish(&status);
}

/* The limit that the server names now; below 0: none. */
static double
limit_at(const scenario_t *p, msec_t now)
{
	return now < FIRST_AT ? -1 : now < 15000 ? p->limit : p->later;
}

static uint64_t
server_at(const world_t *w, msec_t now)
{
	return w->scenario->replaced && now >= 15000 ? ~w->server : w->server;
}

/* The host that lends in the server's region, as @i sees it; itself if it sees
 * none. */
static sim_host_t *
lender_of(world_t *w, guint i, uint64_t server, msec_t now)
{
	const fleet_host_t *h = rate_lender_of(
	    &w->hosts[i].limits.lender, w->regions[0], server, 0, now);
	guint k;

	for (k = 0; h != NULL && k < w->scenario->hosts; k++) {
		if (strcmp(h->name, w->names[k]) == 0)
			return &w->hosts[k];
	}
	return &w->hosts[i];
}

static gboolean
may_send(world_t *w, guint i, msec_t now)
{
	sim_host_t *h = &w->hosts[i];
	server_limit_answer_t answer;

	if (h->known.at == 0 || h->known.server != server_at(w, now))
		return TRUE;
	if (now < h->wait_until)
		return FALSE;
	server_limits_take(&lender_of(w, i, h->known.server, now)->limits,
	    &h->known, &answer, now);
	if (answer.limit.at > h->known.at)
		h->known = answer.limit;
	if (!answer.granted)
		h->wait_until = now + answer.wait_ms;
	return answer.granted;
}

static void
send_requests(world_t *w, msec_t now)
{
	double expected = w->scenario->demand * STEP_MS / MSEC_PER_SEC;

	while (g_rand_double(w->rand) < expected) {
		guint i = (guint)g_rand_int_range(
		    w->rand, 0, (gint32)w->scenario->hosts);
		const sim_host_t *h = &w->hosts[i];

		expected -= 1;
		if (is_lost(w, i, now) || !may_send(w, i, now))
			continue;
		w->got[now / STEP_MS]++;
		w->counted[now / STEP_MS] += h->told_at != 0 &&
		    now - h->told_at >= TOLD_MS && !is_cut_off(w, i, now);
		w->answers[(now + ANSWER_MS) / STEP_MS][i]++;
	}
}

static void
receive_answers(world_t *w, msec_t now)
{
	double limit = limit_at(w->scenario, now);
	guint i;

	for (i = 0; i < w->scenario->hosts; i++) {
		sim_host_t *h = &w->hosts[i];

		if (w->answers[now / STEP_MS][i] == 0)
			continue;
		if (limit < 0) {
			h->known.at = 0;
			continue;
		}
		h->known = (server_limit_t){
		    server_at(w, now), limit, now, w->regions[0]};
		if (h->told_at == 0)
			h->told_at = now;
	}
}

static uint32_t
step_of(const uint32_t *counts, msec_t now)
{
	return counts[now / STEP_MS];
}

/* Checks windows in which the server names one limit all the time. */
static void
check_windows(const world_t *w, guint32 seed)
{
	const scenario_t *p = w->scenario;
	msec_t now, from;
	uint32_t sum;

	for (now = FIRST_AT + CONTACT_MS + WINDOW_MS; now < END_MS;
	     now += STEP_MS) {
		double limit = limit_at(p, now);

		if (limit < 0 || (now >= 15000 && now < 15000 + 2 * WINDOW_MS))
			continue;
		sum = 0;
		for (from = now - WINDOW_MS; from < now; from += STEP_MS)
			sum += step_of(w->counted, from);
		ck_assert_msg(sum <= 1.5 * limit * WINDOW_MS / MSEC_PER_SEC + 5,
		    "%s, seed %u: %u requests in 4 s to %d ms, limit %g",
		    p->name, seed, sum, (int)now, limit);
	}
}

static double
used_part(const world_t *w)
{
	double got = 0, allowed = 0;
	msec_t now;

	for (now = 12000; now < END_MS; now += STEP_MS) {
		double limit = limit_at(w->scenario, now);

		if (limit < 0)
			continue;
		got += step_of(w->got, now);
		allowed += limit * STEP_MS / MSEC_PER_SEC;
	}
	return got / allowed;
}

static void
simulate(const scenario_t *p, guint32 seed)
{
	static world_t w;
	msec_t now;
	guint i;

	world_init(&w, p, seed);
	for (now = STEP_MS; now < END_MS; now += STEP_MS) {
		for (i = 0; i < p->hosts; i++) {
			if (is_lost(&w, i, now))
				continue;
			if (p->restarts && now == 12000 + (msec_t)i * 800) {
				stop_host(&w.hosts[i]);
				start_host(&w, i, 2);
			}
			if ((now + 37 * i) / 10 % (TICK_MS / 10) == 0)
				server_limits_tick(&w.hosts[i].limits,
				    !is_leaving(&w, i, now), now);
			if ((now + 110 * i) % STATUS_MS == 0 ||
			    is_leaving(&w, i, now) !=
				is_leaving(&w, i, now - STEP_MS))
				send_status(&w, i, now);
		}
		receive_answers(&w, now);
		if (now >= 3000)
			send_requests(&w, now);
	}
	check_windows(&w, seed);
	ck_assert_msg(used_part(&w) >= p->min_used,
	    "%s, seed %u: %.2f of the limit used", p->name, seed,
	    used_part(&w));
	world_finish(&w);
}

static const scenario_t scenarios[] = {
    {"ten hosts", 10, 3, 6.3, 30, 6.3, 0, 0, 0, -1, 0.9},
    {"one host", 1, 1, 6.3, 30, 6.3, 0, 0, 0, -1, 0.9},
    {"thirty hosts, a small limit", 30, 3, 1.3, 30, 1.3, 0, 0, 0, -1, 0.9},
    {"a limit of nothing", 10, 3, 0, 10, 0, 0, 0, 0, -1, 0},
    {"a lower limit later", 10, 3, 8, 40, 2, 0, 0, 0, -1, 0.9},
    {"a higher limit later", 10, 3, 2, 40, 8, 0, 0, 0, -1, 0.8},
    {"no limit later", 10, 3, 2, 20, -1, 0, 0, 0, -1, 0.9},
    {"another server at the address", 10, 3, 2, 20, 8, 1, 0, 0, -1, 0.8},
    {"hosts restart in turn", 10, 3, 6.3, 30, 6.3, 0, 1, 0, -1, 0.9},
    {"lenders leave in turn", 10, 3, 6.3, 30, 6.3, 0, 0, 1, -1, 0.9},
    {"all hosts of the server's region are lost", 9, 3, 10, 60, 10, 0, 0, 2, -1,
	0.6},
    {"a host loses contact", 10, 3, 6.3, 30, 6.3, 0, 0, 0, 4, 0.8},
    {"a host of the server's region loses contact", 10, 3, 6.3, 30, 6.3, 0, 0,
	0, 3, 0.8},
};

/* Guards against a server that gets more than the limit that it names. */
static void
test_server_gets_no_more_than_its_limit(void)
{
	guint32 seed;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		for (seed = 1; seed <= SEEDS; seed++)
			simulate(&scenarios[i], seed);
	}
}

/* The lender shows which part of the objects is beyond the limit. */
static void
test_demand_beyond_the_limit_is_offloaded(void)
{
	static const struct {
		double demand, min, max; /* limit: 10 a second */
	} rows[] = {{5, 0, 0}, {10, 0, 0.3}, {40, 0.4, 0.95}};
	const server_limit_t limit = {77, 10, 1, NULL};
	server_limit_answer_t answer = {0};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		server_limits_t s;
		double due = 0;
		fleet_t fleet;
		msec_t now;

		fleet_init(&fleet, "host-0");
		fleet_synced(&fleet, 1);
		fleet_locate(&fleet, "north", "n1", 1);
		server_limits_init(&s, &fleet, "north");
		for (now = STEP_MS; now < END_MS; now += STEP_MS) {
			if (now % TICK_MS == 0)
				server_limits_tick(&s, TRUE, now);
			due += rows[i].demand * (1 - answer.offloaded) *
			    STEP_MS / MSEC_PER_SEC;
			while (due >= 1) {
				due -= 1;
				server_limits_take(&s, &limit, &answer, now);
			}
		}
		ck_assert_msg(answer.offloaded >= rows[i].min &&
			answer.offloaded <= rows[i].max,
		    "demand %g: %.2f offloaded", rows[i].demand,
		    answer.offloaded);
		server_limits_finish(&s);
		fleet_finish(&fleet);
		answer.offloaded = 0;
	}
}

static const suite_case_t cases[] = {
    {"a server gets no more than its limit",
	test_server_gets_no_more_than_its_limit},
    {"demand beyond the limit is offloaded",
	test_demand_beyond_the_limit_is_offloaded},
};

int
main(void)
{
	return suite_run("server_limits", cases, G_N_ELEMENTS(cases));
}
