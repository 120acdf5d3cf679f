#include <string.h>

#include "coordination/poison.h"
#include "suite.h"

/*
 * Simulates a request that crashes each server that runs it and that its caller
 * repeats at any host, among ordinary traffic. Hosts send each other events,
 * some of which are lost. Checks that the request is refused soon after enough
 * crashes and that no ordinary request is refused.
 */

#define HOSTS 8
#define SERVERS 30
#define CRASHING_REQUEST 1
#define ORDINARY 4000 /* requests from this number on */
#define TICK_MS 10
#define DOWN_MS 4000	/* downtime of a server that crashed */
#define DETECT_MS 400	/* until a host detects the crash */
#define REPEAT_MS 700	/* until the caller repeats the request */
#define CONTACT_MS 3000 /* until all hosts know of a crash */
#define RUN_MS 60
#define DURATION_MS 40000

typedef struct {
	int request, host, server;
	poison_run_id_t run;
	msec_t ends;
} flight_t;

typedef struct {
	poison_t hosts[HOSTS];
	msec_t down_until[SERVERS], died_at[SERVERS];
	gboolean detected[HOSTS][SERVERS]; /* its last crash */
	GArray *flights;
	guint rand;
	int loss_percent;
	guint crashes, late_runs, refused_ordinary;
	msec_t third_at;
} simulation_t;

static guint
random_below(simulation_t *p, guint below)
{
	p->rand = p->rand * 1664525 + 1013904223;
	return (p->rand >> 8) % below;
}

static fingerprint_t
fingerprint_of(int n)
{
	fingerprint_t f;

	memset(&f, 0, sizeof(f));
	memcpy(f.bytes, &n, sizeof(n));
	return f;
}

static const char *
server_name(int n)
{
	static char name[16];

	g_snprintf(name, sizeof(name), "server-%d", n);
	return name;
}

static void
send_events(simulation_t *p, int from, msec_t now)
{
	poison_event_t event;
	int i;

	while (poison_next_event(&p->hosts[from], &event)) {
		for (i = 0; i < HOSTS; i++) {
			if (i != from && event.kind != POISON_EVENT_PROBE &&
			    random_below(p, 100) >= (guint)p->loss_percent)
				poison_receive(&p->hosts[i], (uint64_t)from + 1,
				    &event, now);
		}
	}
}

static void
crash(simulation_t *p, int server, msec_t now)
{
	guint i;

	p->down_until[server] = now + DOWN_MS;
	p->died_at[server] = now;
	for (i = p->flights->len; i > 0; i--) {
		flight_t *f = &g_array_index(p->flights, flight_t, i - 1);

		if (f->server != server)
			continue;
		poison_end(&p->hosts[f->host], f->run, POISON_BROKEN, now);
		g_array_remove_index_fast(p->flights, i - 1);
	}
	for (i = 0; i < HOSTS; i++)
		p->detected[i][server] = FALSE;
}

static gboolean
send(simulation_t *p, int request, int host, msec_t now)
{
	fingerprint_t f = fingerprint_of(request);
	flight_t flight = {request, host, 0, 0, now + RUN_MS};
	int server;

	if (poison_check(&p->hosts[host], &f, now).kind != POISON_RUN)
		return FALSE;
	do {
		server = (int)random_below(p, SERVERS);
	} while (now < p->down_until[server]);
	flight.server = server;
	flight.run =
	    poison_begin(&p->hosts[host], &f, server_name(server), now);
	g_array_append_val(p->flights, flight);
	return TRUE;
}

static void
send_crashing(simulation_t *p, msec_t now)
{
	int host = (int)random_below(p, HOSTS), server;

	if (!send(p, CRASHING_REQUEST, host, now))
		return;
	server =
	    g_array_index(p->flights, flight_t, p->flights->len - 1).server;
	crash(p, server, now + 1);
	if (++p->crashes == POISON_DEATHS_ONLY_COMMON)
		p->third_at = now;
	p->late_runs += p->third_at != 0 && now > p->third_at + CONTACT_MS;
}

static void
tick(simulation_t *p, msec_t now)
{
	guint i;
	int h, s;

	for (i = p->flights->len; i > 0; i--) {
		flight_t f = g_array_index(p->flights, flight_t, i - 1);

		if (now < f.ends)
			continue;
		poison_end(&p->hosts[f.host], f.run, POISON_ANSWERED, now);
		poison_endpoint_answered(
		    &p->hosts[f.host], server_name(f.server), f.ends - RUN_MS);
		g_array_remove_index_fast(p->flights, i - 1);
	}
	for (h = 0; h < HOSTS; h++) {
		for (s = 0; s < SERVERS; s++) {
			if (p->died_at[s] == 0 || p->detected[h][s] ||
			    now < p->died_at[s] + DETECT_MS)
				continue;
			p->detected[h][s] = TRUE;
			poison_endpoint_seen(
			    &p->hosts[h], server_name(s), FALSE, now);
		}
		send_events(p, h, now);
	}
}

/* Each host sends an ordinary request at each tick. */
static void
send_ordinary(simulation_t *p, guint n_requests, msec_t now)
{
	int h;

	for (h = 0; h < HOSTS; h++)
		p->refused_ordinary += !send(
		    p, ORDINARY + (int)random_below(p, n_requests), h, now);
}

typedef struct {
	const char *name;
	guint n_requests; /* number of different ordinary requests */
	int loss_percent;
	msec_t crash_every_ms; /* unrelated server crashes; 0: none */
} row_t;

static void
simulate(const row_t *row, guint seed)
{
	static simulation_t p;
	msec_t now, again = 1000;
	int h;

	memset(&p, 0, sizeof(p));
	p.rand = seed;
	p.loss_percent = row->loss_percent;
	p.flights = g_array_new(FALSE, TRUE, sizeof(flight_t));
	for (h = 0; h < HOSTS; h++)
		poison_init_counted(&p.hosts[h], (uint64_t)h + 1);
	for (now = TICK_MS; now < DURATION_MS; now += TICK_MS) {
		tick(&p, now);
		send_ordinary(&p, row->n_requests, now);
		if (row->crash_every_ms > 0 && now % row->crash_every_ms == 0)
			crash(&p, (int)random_below(&p, SERVERS), now);
		if (now >= again) {
			send_crashing(&p, now);
			again = now + REPEAT_MS;
		}
	}
	ck_assert_msg(p.late_runs <= 3,
	    "%s, seed %u: %u runs after it was due to be refused", row->name,
	    seed, p.late_runs);
	ck_assert_msg(p.refused_ordinary == 0,
	    "%s, seed %u: %u ordinary requests refused", row->name, seed,
	    p.refused_ordinary);
	for (h = 0; h < HOSTS; h++)
		poison_finish(&p.hosts[h]);
	g_array_free(p.flights, TRUE);
}

static void
test_crashing_request_is_refused(void)
{
	static const row_t rows[] = {
	    {"all requests differ", 1000000, 0, 0},
	    {"many callers send the same requests", 40, 0, 0},
	    {"events are lost", 1000000, 20, 0},
	    {"unrelated server crashes", 1000000, 10, 500},
	};
	size_t i;
	guint seed;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		for (seed = 1; seed <= 5; seed++)
			simulate(&rows[i], seed);
	}
}

/* Requests that differ in one of the fields that the digest covers. */
static void
test_fingerprints(void)
{
	static const char *const rows[][5] = {
	    {"w", "s", "GET", "/a", "00"},
	    {NULL, "s", "GET", "/a", "00"},
	    {"w", "t", "GET", "/a", "00"},
	    {"w", "s", "PUT", "/a", "00"},
	    {"w", "s", "GET", "/b", "00"},
	    {"w", "s", "GET", "/a", "01"},
	};
	fingerprint_t got[G_N_ELEMENTS(rows)];
	size_t i, k;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		poison_fingerprint(rows[i][0], rows[i][1], rows[i][2],
		    rows[i][3], rows[i][4], &got[i]);
		for (k = 0; k < i; k++)
			ck_assert(memcmp(&got[i], &got[k], sizeof(got[i])));
	}
}

/* A host started after a refusal receives it from a peer. */
static void
test_restarted_host(void)
{
	static poison_t old, restarted;
	fingerprint_t f = fingerprint_of(CRASHING_REQUEST);
	poison_event_t event;
	int i;

	poison_init_counted(&old, 1);
	poison_init_counted(&restarted, 2);
	for (i = 0; i < POISON_DEATHS_ONLY_COMMON; i++) {
		poison_run_id_t run =
		    poison_begin(&old, &f, server_name(i), 1000);

		poison_end(&old, run, POISON_BROKEN, 1001);
		poison_endpoint_seen(&old, server_name(i), FALSE, 1400);
	}
	ck_assert_int_eq(poison_check(&old, &f, 2000).kind, POISON_REFUSE);
	while (poison_next_event(&old, &event))
		;
	ck_assert_int_eq(poison_check(&restarted, &f, 2000).kind, POISON_RUN);
	poison_resend_refusals(&old, 2000);
	while (poison_next_event(&old, &event))
		poison_receive(&restarted, 1, &event, 2000);
	ck_assert_int_eq(
	    poison_check(&restarted, &f, 2001).kind, POISON_REFUSE);
	poison_finish(&old);
	poison_finish(&restarted);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"a request that crashes servers is soon refused",
		test_crashing_request_is_refused},
	    {"a restarted host receives refusals", test_restarted_host},
	    {"different requests have different fingerprints",
		test_fingerprints},
	};

	return suite_run("poison_counted", cases, G_N_ELEMENTS(cases));
}
