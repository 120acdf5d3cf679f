#include <string.h>

#include "coordination/poison.h"
#include "suite.h"

/*
 * Plays a request that crashes whatever runs it and that its caller sends
 * again and again, at any host, among ordinary traffic. Hosts pass news on to
 * each other, some of which is lost.
 */

#define HOSTS 8
#define SERVERS 30
#define CRASHER 1
#define ORDINARY 4000 /* fingerprints from here on */
#define TICK_MS 10
#define DOWN_MS 4000	/* of a server that crashed */
#define JUDGED_MS 400	/* until a host finds it dead */
#define RETURN_MS 700	/* until the caller comes again */
#define CONTACT_MS 3000 /* for hosts to know what happened */
#define RUN_MS 60
#define PLAY_MS 40000

typedef struct {
	int print, host, server;
	poison_run_id_t run;
	msec_t ends;
} flight_t;

typedef struct {
	poison_t hosts[HOSTS];
	msec_t down_until[SERVERS], died_at[SERVERS];
	gboolean seen[HOSTS][SERVERS]; /* that its last death was found */
	GArray *flights;
	guint rand;
	int loss_percent;
	guint crashes, late, wronged;
	msec_t third_at;
} play_t;

static guint
draw(play_t *p, guint below)
{
	p->rand = p->rand * 1664525 + 1013904223;
	return (p->rand >> 8) % below;
}

static fingerprint_t
print_of(int n)
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
spread(play_t *p, int from, msec_t now)
{
	poison_event_t news;
	int i;

	while (poison_next_event(&p->hosts[from], &news)) {
		for (i = 0; i < HOSTS; i++) {
			if (i != from && news.kind != POISON_EVENT_PROBE &&
			    draw(p, 100) >= (guint)p->loss_percent)
				poison_receive(&p->hosts[i], (uint64_t)from + 1,
				    &news, now);
		}
	}
}

static void
crash(play_t *p, int server, msec_t now)
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
		p->seen[i][server] = FALSE;
}

static gboolean
send(play_t *p, int print, int host, msec_t now)
{
	fingerprint_t f = print_of(print);
	flight_t flight = {print, host, 0, 0, now + RUN_MS};
	int server;

	if (poison_check(&p->hosts[host], &f, now).kind != POISON_RUN)
		return FALSE;
	do {
		server = (int)draw(p, SERVERS);
	} while (now < p->down_until[server]);
	flight.server = server;
	flight.run =
	    poison_begin(&p->hosts[host], &f, server_name(server), now);
	g_array_append_val(p->flights, flight);
	return TRUE;
}

static void
send_crasher(play_t *p, msec_t now)
{
	int host = (int)draw(p, HOSTS), server;

	if (!send(p, CRASHER, host, now))
		return;
	server =
	    g_array_index(p->flights, flight_t, p->flights->len - 1).server;
	crash(p, server, now + 1);
	if (++p->crashes == POISON_DEATHS_ONLY_COMMON)
		p->third_at = now;
	p->late += p->third_at != 0 && now > p->third_at + CONTACT_MS;
}

static void
tick(play_t *p, msec_t now)
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
			if (p->died_at[s] == 0 || p->seen[h][s] ||
			    now < p->died_at[s] + JUDGED_MS)
				continue;
			p->seen[h][s] = TRUE;
			poison_endpoint_seen(
			    &p->hosts[h], server_name(s), FALSE, now);
		}
		spread(p, h, now);
	}
}

/* Each host sends an ordinary request at each tick. */
static void
send_ordinary(play_t *p, guint prints, msec_t now)
{
	int h;

	for (h = 0; h < HOSTS; h++)
		p->wronged += !send(p, ORDINARY + (int)draw(p, prints), h, now);
}

typedef struct {
	const char *name;
	guint prints; /* different ordinary requests */
	int loss_percent;
	msec_t crash_every_ms; /* crashes of servers by themselves; 0: none */
} row_t;

static void
play(const row_t *row, guint seed)
{
	static play_t p;
	msec_t now, again = 1000;
	int h;

	memset(&p, 0, sizeof(p));
	p.rand = seed;
	p.loss_percent = row->loss_percent;
	p.flights = g_array_new(FALSE, TRUE, sizeof(flight_t));
	for (h = 0; h < HOSTS; h++)
		poison_init_counted(&p.hosts[h], (uint64_t)h + 1);
	for (now = TICK_MS; now < PLAY_MS; now += TICK_MS) {
		tick(&p, now);
		send_ordinary(&p, row->prints, now);
		if (row->crash_every_ms > 0 && now % row->crash_every_ms == 0)
			crash(&p, (int)draw(&p, SERVERS), now);
		if (now >= again) {
			send_crasher(&p, now);
			again = now + RETURN_MS;
		}
	}
	ck_assert_msg(p.late <= 3, "%s, seed %u: %u runs after it was known",
	    row->name, seed, p.late);
	ck_assert_msg(p.wronged == 0, "%s, seed %u: %u ordinary ones refused",
	    row->name, seed, p.wronged);
	for (h = 0; h < HOSTS; h++)
		poison_finish(&p.hosts[h]);
	g_array_free(p.flights, TRUE);
}

static void
test_crasher_is_refused(void)
{
	static const row_t rows[] = {
	    {"all requests differ", 1000000, 0, 0},
	    {"requests that many callers send", 40, 0, 0},
	    {"news is lost", 1000000, 20, 0},
	    {"servers crash by themselves", 1000000, 10, 500},
	};
	size_t i;
	guint seed;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		for (seed = 1; seed <= 5; seed++)
			play(&rows[i], seed);
	}
}

/* A caller's requests that differ only in what the digest covers. */
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

/* The host that was started after a refusal learns of it from a peer. */
static void
test_restarted_host(void)
{
	static poison_t old, fresh;
	fingerprint_t f = print_of(CRASHER);
	poison_event_t news;
	int i;

	poison_init_counted(&old, 1);
	poison_init_counted(&fresh, 2);
	for (i = 0; i < POISON_DEATHS_ONLY_COMMON; i++) {
		poison_run_id_t run =
		    poison_begin(&old, &f, server_name(i), 1000);

		poison_end(&old, run, POISON_BROKEN, 1001);
		poison_endpoint_seen(&old, server_name(i), FALSE, 1400);
	}
	ck_assert_int_eq(poison_check(&old, &f, 2000).kind, POISON_REFUSE);
	while (poison_next_event(&old, &news))
		;
	ck_assert_int_eq(poison_check(&fresh, &f, 2000).kind, POISON_RUN);
	poison_resend_refusals(&old, 2000);
	while (poison_next_event(&old, &news))
		poison_receive(&fresh, 1, &news, 2000);
	ck_assert_int_eq(poison_check(&fresh, &f, 2001).kind, POISON_REFUSE);
	poison_finish(&old);
	poison_finish(&fresh);
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"a request that crashes servers is soon refused",
		test_crasher_is_refused},
	    {"a restarted host learns of it", test_restarted_host},
	    {"fingerprints tell requests apart", test_fingerprints},
	};

	return suite_run("poison_counted", cases, G_N_ELEMENTS(cases));
}
