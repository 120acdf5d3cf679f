#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <popt.h>

#include "coordination/borrower.h"

/*
 * Measures how ten hosts admit one workspace's requests, with a lender at a
 * fixed one-way delay. A request that is refused although one shared bucket
 * would have admitted it is a wrongful refusal.
 */

#define HOSTS 10
#define CUT_OFF_HOSTS 3 /* hosts of the region that is cut off */
#define RUN_MS 60000
#define MEASURE_FROM_MS 20000 /* the buckets are full from then on */
#define FAULT_FROM_MS 20000
#define FAULT_TO_MS 50000
#define MESSAGES_MAX 256
#define QUEUE_MAX 128
#define WAITS (WAIT_MAX_MS + 2)
#define FREE_SLOTS 2
#define LENDER 0  /* the host with the lease */
#define BUSIEST 1 /* the host that gets most requests under uneven load */
#define DEAD 2

typedef enum {
	FAULT_NONE,
	FAULT_LENDER, /* no host holds the lease */
	FAULT_REGION, /* some hosts cannot reach the lender */
	FAULT_FREE,   /* no host holds two of the slots, during the whole run */
	FAULT_HOST,   /* one host is dead; its callers go to the others */
} fault_t;

typedef struct {
	const char *name;
	double rate, burst, load; /* load as a multiple of the rate */
	double busiest_part; /* part of the callers at one host; 0: even load */
	msec_t one_way;
	fault_t fault;
} scenario_t;

/* A policy is a fixed split, or lending with a floor for each host. */
typedef struct {
	const char *name;
	gboolean fixed;
	shares_t shares;
} policy_t;

typedef struct {
	msec_t arrived_at, until;
	gboolean ideal; /* one shared bucket would have admitted it */
} waiting_request_t;

typedef struct {
	borrower_t borrower;
	bucket_t split;
	waiting_request_t queue[QUEUE_MAX];
	int n_queue;
	double next_at; /* next arrival, milliseconds */
} sim_host_t;

typedef struct {
	gboolean used, answer;
	int host;
	msec_t due;
	borrow_request_t request;
	borrow_answer_t reply;
} message_t;

typedef struct {
	int runs;
	long offered, ideal, wrongful, admitted, waited, requests_sent, over;
	long waits[WAITS];
} result_t;

typedef struct {
	const scenario_t *scenario;
	const policy_t *policy;
	GRand *rand;
	msec_t now;
	sim_host_t hosts[HOSTS];
	lender_t lender;
	uint64_t epoch;
	message_t messages[MESSAGES_MAX];
	bucket_t ideal;
	bucket_t upper_bound; /* admitted requests may not exceed this bucket */
	result_t *result;
} sim_t;

static gboolean
fault_active(const sim_t *s, fault_t fault)
{
	return s->scenario->fault == fault && s->now >= FAULT_FROM_MS &&
	    s->now < FAULT_TO_MS;
}

static gboolean
reaches_lender(const sim_t *s, int host)
{
	if (fault_active(s, FAULT_LENDER))
		return FALSE;
	return !fault_active(s, FAULT_REGION) || host < HOSTS - CUT_OFF_HOSTS;
}

static gboolean
host_dead(const sim_t *s, int host)
{
	if (s->scenario->fault == FAULT_FREE && host >= HOSTS - FREE_SLOTS)
		return TRUE;
	return host == DEAD && fault_active(s, FAULT_HOST);
}

/* Requests per millisecond at a host while all hosts are live. */
static double
host_rate(const sim_t *s, int host)
{
	double all = s->scenario->rate * s->scenario->load / MSEC_PER_SEC;

	double busiest_part = s->scenario->busiest_part;

	if (busiest_part == 0)
		return all / HOSTS;
	return host == BUSIEST ? all * busiest_part
			       : all * (1 - busiest_part) / (HOSTS - 1);
}

static double
next_arrival(sim_t *s, int host, double after)
{
	double u = g_rand_double_range(s->rand, 1e-12, 1);
	double sum = 0, term;
	int i, halvings = 0;

	/* -log(u) without libm: doubles u to 0.5..1, then sums a series. */
	while (u < 0.5) {
		u *= 2;
		halvings++;
	}
	for (i = 1, term = 1 - u; i < 60; i++, term *= 1 - u)
		sum += term / i;
	sum += halvings * 0.69314718055994531;
	return after + sum / MAX(host_rate(s, host), 1e-9);
}

static void
sim_init(sim_t *s, const scenario_t *scenario, const policy_t *policy,
    guint32 seed, result_t *result)
{
	limit_t limit = limit_make(scenario->rate, scenario->burst);
	borrower_config_t config = {limit, HOSTS, 0};
	sim_host_t *h;
	int i;

	memset(s, 0, sizeof(*s));
	s->scenario = scenario;
	s->policy = policy;
	s->result = result;
	s->rand = g_rand_new_with_seed(seed);
	bucket_init(&s->ideal, limit, 0);
	bucket_init(&s->upper_bound, limit, 0);
	s->ideal.level = s->upper_bound.level = limit.burst;
	lender_init(&s->lender);
	for (i = 0; i < HOSTS; i++) {
		h = &s->hosts[i];
		borrower_init(&h->borrower, (host_id_t)i, 1, policy->shares, 0);
		config.slot = (uint16_t)i;
		borrower_configure(&h->borrower, &config, 0);
		borrower_settled(&h->borrower, 0);
		bucket_init(&h->split, limit_slot(limit, 1000, HOSTS), 0);
		h->next_at = next_arrival(s, i, 0);
	}
}

static void
sim_lend(sim_t *s)
{
	if (s->epoch != 0 && s->now != FAULT_TO_MS)
		return;
	if (s->epoch != 0 && s->scenario->fault != FAULT_LENDER)
		return;
	lender_start(&s->lender, ++s->epoch,
	    limit_lendable(limit_make(s->scenario->rate, s->scenario->burst),
		s->policy->shares, HOSTS, TRUE),
	    s->now);
}

static void
sim_decided(sim_t *s, const waiting_request_t *w, gboolean admitted)
{
	result_t *r = s->result;
	msec_t waited = MIN(s->now - w->arrived_at, WAITS - 1);

	if (admitted) {
		bucket_refill(&s->upper_bound, 0, s->now);
		r->over += !bucket_take(&s->upper_bound, UTOKEN);
	}
	if (w->arrived_at < MEASURE_FROM_MS)
		return;
	r->wrongful += !admitted && w->ideal;
	r->admitted += admitted;
	r->waited += admitted && waited > 0;
	r->waits[waited] += admitted;
}

/* Tries to admit a request; FALSE if it has to go on waiting. */
static gboolean
sim_try(sim_t *s, sim_host_t *h, waiting_request_t *w, gboolean again)
{
	admit_t v;

	if (s->policy->fixed) {
		bucket_refill(&h->split, 0, s->now);
		sim_decided(s, w, bucket_take(&h->split, UTOKEN));
		return TRUE;
	}
	v = borrower_admit(&h->borrower, w->arrived_at, again, TRUE, s->now);
	w->until = v.until;
	if (v.kind == ADMIT_WAIT)
		return FALSE;
	sim_decided(s, w, v.kind == ADMIT);
	return TRUE;
}

static void
sim_retry(sim_t *s, sim_host_t *h, gboolean all)
{
	waiting_request_t w;
	int i, n = h->n_queue, kept = 0;

	for (i = 0; i < n; i++) {
		w = h->queue[i];
		if ((all || w.until <= s->now) && sim_try(s, h, &w, TRUE))
			continue;
		h->queue[kept++] = w;
	}
	h->n_queue = kept;
}

static int
caller_target(sim_t *s, int host)
{
	while (host_dead(s, host))
		host = g_rand_int_range(s->rand, 0, HOSTS);
	return host;
}

static void
sim_arrivals(sim_t *s, int host)
{
	sim_host_t *h = &s->hosts[host], *target;
	waiting_request_t w;

	while (h->next_at <= (double)s->now) {
		h->next_at = next_arrival(s, host, h->next_at);
		target = &s->hosts[caller_target(s, host)];
		bucket_refill(&s->ideal, 0, s->now);
		w.arrived_at = s->now;
		w.ideal = bucket_take(&s->ideal, UTOKEN);
		if (s->now >= MEASURE_FROM_MS) {
			s->result->offered++;
			s->result->ideal += w.ideal;
		}
		if (!sim_try(s, target, &w, FALSE)) {
			if (target->n_queue == QUEUE_MAX)
				abort();
			target->queue[target->n_queue++] = w;
		}
	}
}

static void
sim_send(sim_t *s, const message_t *m)
{
	int i;

	for (i = 0; s->messages[i].used; i++) {
		if (i == MESSAGES_MAX - 1)
			abort();
	}
	s->messages[i] = *m;
	s->messages[i].used = TRUE;
	s->messages[i].due =
	    s->now + (m->host == LENDER ? 0 : s->scenario->one_way);
}

static void
sim_ask(sim_t *s, int host)
{
	message_t m = {.host = host};

	if (s->policy->fixed || host_dead(s, host) ||
	    !borrower_ask(&s->hosts[host].borrower, TRUE, s->now, &m.request))
		return;
	s->result->requests_sent++;
	if (reaches_lender(s, host))
		sim_send(s, &m);
}

static void
sim_receive(sim_t *s, message_t *m)
{
	sim_host_t *h = &s->hosts[m->host];

	m->used = FALSE;
	if (!reaches_lender(s, m->host) || host_dead(s, m->host))
		return;
	if (m->answer) {
		borrower_answered(&h->borrower, &m->reply, s->now);
		sim_retry(s, h, TRUE);
		return;
	}
	if (lender_borrow(&s->lender, &m->request, INT64_MAX, s->now,
		&m->reply) != LEND_ANSWERED)
		return;
	m->answer = TRUE;
	sim_send(s, m);
}

static void
sim_step(sim_t *s)
{
	int i, again = TRUE;

	sim_lend(s);
	for (i = 0; i < HOSTS; i++) {
		sim_retry(s, &s->hosts[i], FALSE);
		sim_arrivals(s, i);
	}
	for (i = 0; i < HOSTS; i++)
		sim_ask(s, i);
	while (again) {
		again = FALSE;
		for (i = 0; i < MESSAGES_MAX; i++) {
			if (!s->messages[i].used || s->messages[i].due > s->now)
				continue;
			sim_receive(s, &s->messages[i]);
			again = TRUE;
		}
	}
}

static void
sim_run(const scenario_t *scenario, const policy_t *policy, guint32 seed,
    result_t *result)
{
	static sim_t s;

	result->runs++;
	sim_init(&s, scenario, policy, seed, result);
	for (s.now = 0; s.now < RUN_MS; s.now++)
		sim_step(&s);
	lender_finish(&s.lender);
	g_rand_free(s.rand);
}

static int
wait_percentile(const result_t *r, double part)
{
	long seen = 0;
	int i;

	for (i = 0; i < WAITS - 1; i++) {
		seen += r->waits[i];
		if ((double)seen >= part * (double)r->admitted)
			break;
	}
	return i;
}

static void
print_result(const scenario_t *scenario, const policy_t *policy,
    const result_t *r, int json)
{
	double missed =
	    100.0 * (double)(r->ideal - r->admitted) / (double)r->ideal;
	double wrongful = 100.0 * (double)r->wrongful / (double)r->ideal;
	double waited = 100.0 * (double)r->waited / (double)r->admitted;
	double requests_sent =
	    (double)r->requests_sent / HOSTS / r->runs / (RUN_MS / 1000.0);
	const char *format = json
	    ? "{\"scene\":\"%s\",\"policy\":\"%s\",\"offered\":%ld,"
	      "\"wrongful_percent\":%.3f,\"missed_percent\":%.3f,\"waited_"
	      "percent\":%.2f,"
	      "\"p99_wait_ms\":%d,\"questions_per_host_sec\":%.1f,"
	      "\"over\":%ld}\n"
	    : "%-24s %-12s %8ld %9.3f %8.2f %8.2f %8d %8.1f %5ld\n";

	printf(format, scenario->name, policy->name, r->offered, wrongful,
	    missed, waited, wait_percentile(r, 0.99), requests_sent, r->over);
}

/* Processor time of one decision in nanoseconds. */
static double
decision_ns(void)
{
	const int n = 1000000;
	borrower_config_t config = {limit_make(1e6, 1e6), 1, 0};
	borrower_t b;
	clock_t from;
	int i, admitted = 0;

	borrower_init(&b, 0, 1, borrower_shares(), 0);
	borrower_configure(&b, &config, 0);
	borrower_settled(&b, 0);
	borrower_tokens(&b, 5000);
	from = clock();
	for (i = 0; i < n; i++)
		admitted += borrower_admit(&b, 10000 + i / 100, FALSE, TRUE,
				10000 + i / 100)
				.kind == ADMIT;
	if (admitted == 0)
		abort();
	return (double)(clock() - from) * 1e9 / CLOCKS_PER_SEC / n;
}

int
main(int argc, const char **argv)
{
	static const scenario_t scenarios[] = {
	    {"even 1 ms", 100, 50, 0.8, 0, 1, FAULT_NONE},
	    {"even 20 ms", 100, 50, 0.8, 0, 20, FAULT_NONE},
	    {"even 55 ms", 100, 50, 0.8, 0, 55, FAULT_NONE},
	    {"lopsided 1 ms", 100, 50, 0.8, 0.5, 1, FAULT_NONE},
	    {"lopsided 20 ms", 100, 50, 0.8, 0.5, 20, FAULT_NONE},
	    {"lopsided 55 ms", 100, 50, 0.8, 0.5, 55, FAULT_NONE},
	    {"all at one host, 20 ms", 100, 50, 0.8, 1, 20, FAULT_NONE},
	    {"small lopsided 20 ms", 10, 10, 0.8, 0.5, 20, FAULT_NONE},
	    {"light lopsided 55 ms", 100, 50, 0.3, 0.5, 55, FAULT_NONE},
	    {"five times, 20 ms", 100, 50, 5, 0.5, 20, FAULT_NONE},
	    {"one host dead, 20 ms", 100, 50, 0.8, 0.5, 20, FAULT_HOST},
	    {"two slots free, 20 ms", 100, 50, 0.8, 0.5, 20, FAULT_FREE},
	    {"region cut, 20 ms", 100, 50, 0.8, 0, 20, FAULT_REGION},
	    {"lender away, even", 100, 50, 0.8, 0, 20, FAULT_LENDER},
	    {"lender away, lopsided", 100, 50, 0.8, 0.5, 20, FAULT_LENDER},
	    {"lender away, light", 100, 50, 0.3, 0, 20, FAULT_LENDER},
	};
	static const policy_t policies[] = {
	    {"fixed split", TRUE, {1000, 0}},
	    {"floor 0", FALSE, {0, 0}},
	    {"floor .2", FALSE, {200, 0}},
	    {"floor .5", FALSE, {500, 0}},
	    {"floor .2+.6", FALSE, {200, 600}},
	    {"floor .2+.8", FALSE, {200, 800}},
	};
	int seed = 1, seeds = 5, json = 0, k;
	const char *only = NULL;
	long over = 0;
	const struct poptOption options[] = {
	    {"seed", 0, POPT_ARG_INT, &seed, 0, "first seed", "N"},
	    {"seeds", 0, POPT_ARG_INT, &seeds, 0, "number of runs", "N"},
	    {"policy", 0, POPT_ARG_STRING, &only, 0, "this one only", "NAME"},
	    {"json", 0, POPT_ARG_NONE, &json, 0, "one object a line", NULL},
	    POPT_AUTOHELP POPT_TABLEEND};
	poptContext context = poptGetContext(NULL, argc, argv, options, 0);
	result_t r;
	size_t i, j;

	if (poptGetNextOpt(context) != -1)
		return 2;
	poptFreeContext(context);
	if (!json)
		printf("seeds %d to %d, %d hosts, %d s each, faults from %d "
		       "to %d s\n%-24s %-12s %8s %9s %8s %8s %8s %8s %5s\n",
		    seed, seed + seeds - 1, HOSTS, RUN_MS / 1000,
		    FAULT_FROM_MS / 1000, FAULT_TO_MS / 1000, "scene", "policy",
		    "offered", "wrongful%", "missed%", "waited%", "p99 wait",
		    "asks/s", "over");
	for (i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		for (j = 0; j < G_N_ELEMENTS(policies); j++) {
			if (only != NULL && strcmp(only, policies[j].name) != 0)
				continue;
			memset(&r, 0, sizeof(r));
			for (k = 0; k < seeds; k++)
				sim_run(&scenarios[i], &policies[j],
				    (guint32)(seed + k), &r);
			print_result(&scenarios[i], &policies[j], &r, json);
			over += r.over;
		}
	}
	printf(json ? "{\"decision_ns\":%.1f}\n" : "one decision: %.1f ns\n",
	    decision_ns());
	printf(json ? "{\"borrower_bytes\":%zu,\"loan_bytes\":%zu}\n"
		    : "a workspace at a host: %zu bytes; a host at a lender: "
		      "%zu bytes\n",
	    sizeof(borrower_t), sizeof(loan_t));
	return over == 0 ? 0 : 1;
}
