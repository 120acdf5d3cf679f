#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "state/fair_queue.h"
#include "state/route_choice.h"

/*
 * Measures the choice of an endpoint: ten hosts choose among the endpoints of
 * one service at the same time. Their load reports and their peers' counts are
 * as old as the lag. Simulated endpoints run as many requests as they have
 * slots and shed the rest. Times are milliseconds of the simulated clock.
 */

#define HOSTS 10
#define WORKSPACES 8
#define ENDPOINTS 18
#define SERVICE_MS 100 /* mean, exponentially distributed */
#define ONE_WAY_MS 1
#define TRIES_MAX 3
#define RUN_MS 45000
#define WARM_UP_MS 5000
#define WAIT_MAX_MS 500
#define QUEUE_MAX 64
#define RETRY_MS 5 /* interval at which a host serves its queue again */
#define RING_MS 4096
#define FLOOD_FACTOR 5
#define WAITS_MAX (RUN_MS + 1) /* one bin for each millisecond */

typedef struct {
	const char *name;
	unsigned int endpoints, slots;
} shape_t;

typedef struct {
	const char *name;
	route_policy_kind_t kind;
	gboolean queue;
} variant_t;

typedef struct {
	const shape_t *shape;
	const variant_t *variant;
	double load;
	msec_t lag;
	gboolean flood; /* workspace 0 sends FLOOD_FACTOR times its rate */
} setting_t;

typedef struct {
	int host, workspace;
	msec_t arrived;
	unsigned int tries;
	endpoint_id_t tried[TRIES_MAX];
	route_ticket_t ticket;
	endpoint_id_t endpoint;
	msec_t sent;
	gboolean shed;
} request_t;

typedef enum {
	EVENT_REACH,  /* the request reaches its endpoint */
	EVENT_FINISH, /* the endpoint finishes it */
	EVENT_ANSWER, /* its answer reaches the host */
} event_kind_t;

typedef struct {
	event_kind_t kind;
	uint32_t request;
} event_t;

typedef struct {
	endpoint_stats_t stats;
	route_choice_t rc;
	fair_queue_t queue;
} host_t;

typedef struct {
	uint64_t sent, refused, waits_n;
	uint32_t *waits; /* histogram */
} score_t;

typedef struct {
	const setting_t *setting;
	catalog_t catalog;
	GRand *random;
	host_t hosts[HOSTS];
	unsigned int running[ENDPOINTS];
	GArray *requests; /* request_t */
	GArray *free;	  /* uint32_t */
	GArray *ring[RING_MS];
	score_t scores[WORKSPACES];
	uint64_t sheds;
	msec_t now;
} bench_t;

static void
catalog_fill(catalog_t *c, const shape_t *shape)
{
	region_t r = {g_strdup("here")};
	domain_t d = {g_strdup("here-a"), 0};
	service_t s = {0};
	endpoint_t e = {0};
	unsigned int i;

	catalog_init(c);
	g_array_append_val(c->regions, r);
	g_array_append_val(c->domains, d);
	s.name = g_strdup("service");
	s.version = g_strdup("v1");
	s.depends = g_array_new(FALSE, FALSE, sizeof(service_id_t));
	g_array_append_val(c->services, s);
	for (i = 0; i < shape->endpoints; i++) {
		e.name = g_strdup_printf("e%u", i);
		e.address = g_strdup("127.0.0.1:1");
		e.version = g_strdup("v1");
		e.slots = shape->slots;
		g_array_append_val(c->endpoints, e);
	}
}

static void
host_init(bench_t *b, int i, uint32_t seed)
{
	host_t *h = &b->hosts[i];
	int w;

	endpoint_stats_init(&h->stats);
	endpoint_stats_bind(&h->stats, &b->catalog, 0);
	route_choice_init(&h->rc, b->setting->variant->kind, seed + i);
	route_choice_set_position(&h->rc, 0, i, HOSTS, i, HOSTS);
	fair_queue_init(&h->queue, QUEUE_MAX, WAIT_MAX_MS);
	for (w = 0; w < WORKSPACES; w++) {
		char name[] = {(char)('a' + w), 0};

		fair_queue_row(&h->queue, name, 1);
	}
}

static void
bench_init(bench_t *b, const setting_t *setting, uint32_t seed)
{
	int i;

	memset(b, 0, sizeof(*b));
	b->setting = setting;
	catalog_fill(&b->catalog, setting->shape);
	b->random = g_rand_new_with_seed(seed);
	b->requests = g_array_new(FALSE, TRUE, sizeof(request_t));
	b->free = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	for (i = 0; i < RING_MS; i++)
		b->ring[i] = g_array_new(FALSE, FALSE, sizeof(event_t));
	for (i = 0; i < HOSTS; i++)
		host_init(b, i, seed);
	for (i = 0; i < WORKSPACES; i++)
		b->scores[i].waits = g_new0(uint32_t, WAITS_MAX);
}

static void
bench_finish(bench_t *b)
{
	int i;

	for (i = 0; i < HOSTS; i++) {
		route_choice_finish(&b->hosts[i].rc);
		endpoint_stats_finish(&b->hosts[i].stats);
		fair_queue_finish(&b->hosts[i].queue);
	}
	for (i = 0; i < RING_MS; i++)
		g_array_free(b->ring[i], TRUE);
	for (i = 0; i < WORKSPACES; i++)
		g_free(b->scores[i].waits);
	g_array_free(b->requests, TRUE);
	g_array_free(b->free, TRUE);
	g_rand_free(b->random);
	catalog_finish(&b->catalog);
}

static request_t *
request_at(const bench_t *b, uint32_t id)
{
	return &g_array_index(b->requests, request_t, id);
}

static void
schedule(bench_t *b, msec_t in, event_kind_t kind, uint32_t request)
{
	event_t e = {kind, request};

	g_array_append_val(
	    b->ring[(b->now + CLAMP(in, 1, RING_MS - 1)) % RING_MS], e);
}

/* -ln(u) by doubling u and a series, because libm is not linked. */
static double
negative_log(double u)
{
	double x, sum = 0, term;
	int i, halvings = 0;

	while (u < 0.5) {
		u *= 2;
		halvings++;
	}
	x = 1 - u;
	for (i = 1, term = x; i < 60; i++, term *= x)
		sum += term / i;
	return sum + halvings * 0.693147180559945;
}

static double
exponential(bench_t *b, double mean)
{
	return mean * negative_log(1 - g_rand_double(b->random));
}

static gboolean
is_counted(const bench_t *b, const request_t *r)
{
	return r->arrived >= WARM_UP_MS && b->now < RUN_MS;
}

static void
release_request(bench_t *b, uint32_t id)
{
	g_array_append_val(b->free, id);
}

static void
refuse(bench_t *b, uint32_t id)
{
	request_t *r = request_at(b, id);

	if (is_counted(b, r))
		b->scores[r->workspace].refused++;
	release_request(b, id);
}

/* Sends a request if an endpoint is found; TRUE if it was sent. */
static gboolean
try_send(bench_t *b, uint32_t id)
{
	request_t *r = request_at(b, id);
	host_t *h = &b->hosts[r->host];
	route_request_t req = {0, r->tried, r->tries, 0};
	route_result_t result;

	result = route_choose(&h->rc, &h->stats, &b->catalog, &req, b->now);
	if (result.kind != ROUTE_SENT)
		return FALSE;
	r->ticket = result.ticket;
	r->endpoint = result.endpoint;
	r->sent = b->now;
	schedule(b, ONE_WAY_MS, EVENT_REACH, id);
	return TRUE;
}

static void
wait_or_refuse(bench_t *b, uint32_t id)
{
	request_t *r = request_at(b, id);
	uint64_t dropped;

	if (!b->setting->variant->queue) {
		refuse(b, id);
		return;
	}
	r->tries = 0;
	fair_queue_put(&b->hosts[r->host].queue, r->workspace, id,
	    r->arrived + WAIT_MAX_MS, b->now, &dropped);
	if (dropped != QUEUE_NONE)
		refuse(b, (uint32_t)dropped);
}

static void
serve_queue(bench_t *b, host_t *h)
{
	queue_handle_t handle;
	uint64_t id;

	while (fair_queue_expired(&h->queue, b->now, &id))
		refuse(b, (uint32_t)id);
	for (;;) {
		handle = fair_queue_head(&h->queue, &id);
		if (handle == QUEUE_NONE || !try_send(b, (uint32_t)id))
			return;
		fair_queue_serve(&h->queue, handle);
	}
}

static void
arrive(bench_t *b, int workspace)
{
	request_t r = {.workspace = workspace, .arrived = b->now};
	uint32_t id = b->requests->len;
	host_t *h;

	r.host = g_rand_int_range(b->random, 0, HOSTS);
	if (b->free->len > 0) {
		id = g_array_index(b->free, uint32_t, b->free->len - 1);
		g_array_set_size(b->free, b->free->len - 1);
		*request_at(b, id) = r;
	} else {
		g_array_append_val(b->requests, r);
	}
	if (is_counted(b, &r))
		b->scores[workspace].sent++;
	h = &b->hosts[r.host];
	/* A new request does not overtake queued ones. */
	if (h->queue.len > 0 || !try_send(b, id))
		wait_or_refuse(b, id);
	else
		fair_queue_charge(&h->queue, workspace);
}

static void
reach(bench_t *b, uint32_t id)
{
	request_t *r = request_at(b, id);
	score_t *s = &b->scores[r->workspace];

	r->shed = b->running[r->endpoint] >= b->setting->shape->slots;
	if (r->shed) {
		b->sheds += is_counted(b, r);
		schedule(b, ONE_WAY_MS, EVENT_ANSWER, id);
		return;
	}
	b->running[r->endpoint]++;
	if (is_counted(b, r)) {
		s->waits[MIN(b->now - r->arrived, WAITS_MAX - 1)]++;
		s->waits_n++;
	}
	schedule(b, (msec_t)exponential(b, SERVICE_MS), EVENT_FINISH, id);
}

static void
answer(bench_t *b, uint32_t id)
{
	request_t *r = request_at(b, id);
	host_t *h = &b->hosts[r->host];

	route_end(&h->rc, &h->stats, &r->ticket,
	    r->shed ? OUTCOME_SHED : OUTCOME_OK, b->now - r->sent, 0, b->now);
	if (!r->shed) {
		release_request(b, id);
	} else {
		r->tried[r->tries++] = r->endpoint;
		if (r->tries >= TRIES_MAX || !try_send(b, id))
			wait_or_refuse(b, id);
	}
	serve_queue(b, h);
}

/*
 * A host gets the report of each endpoint, and the counts of each peer, once in
 * each lag.
 */
static void
exchange_reports(bench_t *b, int host)
{
	host_t *h = &b->hosts[host];
	endpoint_report_t r = {.healthy = TRUE, .taken_at = b->now};
	unsigned int e, n = b->setting->shape->endpoints;
	const host_t *from;
	int peer;

	for (e = 0; e < n; e++) {
		r.load = (double)b->running[e] / b->setting->shape->slots;
		if ((b->now + host * 7 + e * 3) % b->setting->lag == 0)
			endpoint_stats_report(&h->stats, e, &r);
	}
	for (peer = 0; peer < HOSTS; peer++) {
		if (peer == host || (b->now + peer * 11) % b->setting->lag != 0)
			continue;
		from = &b->hosts[peer];
		for (e = 0; e < n; e++)
			endpoint_stats_peer(&h->stats, e, peer + 1,
			    endpoint_stats_row(&from->stats, e)->in_flight,
			    b->now);
	}
}

static void
handle_event(bench_t *b, const event_t *e)
{
	switch (e->kind) {
	case EVENT_REACH:
		reach(b, e->request);
		break;
	case EVENT_FINISH:
		b->running[request_at(b, e->request)->endpoint]--;
		schedule(b, ONE_WAY_MS, EVENT_ANSWER, e->request);
		break;
	case EVENT_ANSWER:
		answer(b, e->request);
		break;
	}
}

static void
tick(bench_t *b, double next[WORKSPACES], const double gaps[WORKSPACES])
{
	GArray *due = b->ring[b->now % RING_MS];
	guint i;
	int k;

	for (i = 0; i < due->len; i++)
		handle_event(b, &g_array_index(due, event_t, i));
	g_array_set_size(due, 0);
	for (k = 0; k < HOSTS; k++) {
		exchange_reports(b, k);
		if (b->now % RETRY_MS == 0)
			serve_queue(b, &b->hosts[k]);
	}
	for (k = 0; k < WORKSPACES; k++) {
		for (; next[k] < b->now; next[k] += exponential(b, gaps[k]))
			arrive(b, k);
	}
}

static void
run(bench_t *b)
{
	const setting_t *s = b->setting;
	double rate = s->load * s->shape->endpoints * s->shape->slots /
	    SERVICE_MS / WORKSPACES;
	double next[WORKSPACES], gaps[WORKSPACES];
	int k;

	for (k = 0; k < WORKSPACES; k++) {
		gaps[k] = 1 / rate;
		if (k == 0 && s->flood)
			gaps[k] /= FLOOD_FACTOR;
		next[k] = exponential(b, gaps[k]);
	}
	for (b->now = 0; b->now < RUN_MS; b->now++)
		tick(b, next, gaps);
}

typedef struct {
	double refused, sheds, worst_refused;
	int p50, p99, worst_p99;
} measure_t;

static int
quantile(const score_t *scores, int from, int to, double part)
{
	uint64_t n = 0, seen = 0;
	int i, k;

	for (k = from; k < to; k++)
		n += scores[k].waits_n;
	for (i = 0; i < WAITS_MAX; i++) {
		for (k = from; k < to; k++)
			seen += scores[k].waits[i];
		if (seen >= part * n)
			return i;
	}
	return WAITS_MAX;
}

/* The worst-served workspace is sought among those that keep to their rate. */
static measure_t
measure(const bench_t *b)
{
	uint64_t sent = 0, lost = 0;
	const score_t *s;
	measure_t m = {0};
	double part;
	int k;

	for (k = 0; k < WORKSPACES; k++) {
		s = &b->scores[k];
		sent += s->sent;
		lost += s->refused;
		if (k == 0 && b->setting->flood)
			continue;
		part = (double)s->refused / MAX(s->sent, 1);
		m.worst_refused = MAX(m.worst_refused, part);
		m.worst_p99 =
		    MAX(m.worst_p99, quantile(b->scores, k, k + 1, 0.99));
	}
	m.refused = (double)lost / MAX(sent, 1);
	m.sheds = (double)b->sheds / MAX(sent, 1);
	m.p50 = quantile(b->scores, 0, WORKSPACES, 0.5);
	m.p99 = quantile(b->scores, 0, WORKSPACES, 0.99);
	return m;
}

static void
print(const setting_t *s, const measure_t *m, gboolean json)
{
	const char *format =
	    "%-6s %-18s %4.2f %-5s %4d %8.2f %8.2f %5d %5d %8.2f %6d\n";

	if (json)
		format = "{\"shape\":\"%s\",\"way\":\"%s\",\"load\":%.2f,"
			 "\"flood\":\"%s\",\"lag_ms\":%d,"
			 "\"refused_percent\":%.3f,\"sheds_percent\":%.3f,"
			 "\"wait_p50_ms\":%d,\"wait_p99_ms\":%d,"
			 "\"worst_refused_percent\":%.3f,"
			 "\"worst_wait_p99_ms\":%d}\n";
	printf(format, s->shape->name, s->variant->name, s->load,
	    s->flood ? "yes" : "no", (int)s->lag, m->refused * 100,
	    m->sheds * 100, m->p50, m->p99, m->worst_refused * 100,
	    m->worst_p99);
}

static void
measure_one(const setting_t *s, uint32_t seed, gboolean json)
{
	static bench_t b;
	measure_t m;

	bench_init(&b, s, seed);
	run(&b);
	m = measure(&b);
	print(s, &m, json);
	bench_finish(&b);
}

static void
measure_all(uint32_t seed, gboolean json)
{
	static const shape_t shapes[] = {
	    {"14x3", 14, 3}, {"18x6", 18, 6}, {"12x5", 12, 5}};
	static const variant_t variants[] = {
	    {"round-robin", ROUTE_ROUND_ROBIN, FALSE},
	    {"least-load", ROUTE_LEAST_LOAD, FALSE},
	    {"two-choices", ROUTE_TWO_CHOICES, FALSE},
	    {"held-slots", ROUTE_ASSIGNED_SLOTS, FALSE},
	    {"round-robin+queue", ROUTE_ROUND_ROBIN, TRUE},
	    {"two-choices+queue", ROUTE_TWO_CHOICES, TRUE},
	    {"held-slots+queue", ROUTE_ASSIGNED_SLOTS, TRUE}};
	static const struct {
		double load;
		gboolean flood;
	} loads[] = {{0.7, FALSE}, {0.85, FALSE}, {0.7, TRUE}};
	static const msec_t lags[] = {100, 500};
	unsigned int a, b, c, d;
	setting_t s;

	for (a = 0; a < G_N_ELEMENTS(shapes); a++)
		for (b = 0; b < G_N_ELEMENTS(loads); b++)
			for (c = 0; c < G_N_ELEMENTS(lags); c++)
				for (d = 0; d < G_N_ELEMENTS(variants); d++) {
					s = (setting_t){&shapes[a],
					    &variants[d], loads[b].load,
					    lags[c], loads[b].flood};
					measure_one(&s, seed, json);
				}
}

int
main(int argc, const char **argv)
{
	int json = 0, seed = 1, rc;
	struct poptOption options[] = {
	    {"json", 0, POPT_ARG_NONE, &json, 0, "one JSON object a line", 0},
	    {"seed", 0, POPT_ARG_INT, &seed, 0, "of the random numbers", "N"},
	    POPT_AUTOHELP POPT_TABLEEND};
	poptContext ctx = poptGetContext(NULL, argc, argv, options, 0);

	rc = poptGetNextOpt(ctx);
	poptFreeContext(ctx);
	if (rc < -1) {
		fprintf(stderr, "%s\n", poptStrerror(rc));
		return 2;
	}
	if (!json) {
		printf("seed %d, service time %d ms, %d hosts\n", seed,
		    SERVICE_MS, HOSTS);
		printf("%-6s %-18s %4s %-5s %4s %8s %8s %5s %5s %8s %6s\n",
		    "shape", "way", "load", "flood", "lag", "refused%",
		    "sheds%", "p50", "p99", "worst%", "worstp");
	}
	measure_all(seed, json);
	return 0;
}
