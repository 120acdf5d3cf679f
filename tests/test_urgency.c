#include <math.h>
#include <stdio.h>
#include <string.h>

#include "coordination/dispatch.h"
#include "coordination/urgency_queue.h"
#include "suite.h"

/*
 * Plays one service at which many hosts place requests of two types. Clients
 * send a refused request once more. A server keeps the objects that it handled
 * last; requests for these take WARM_PART of the work.
 */

#define DOMAINS 6
#define WORKSPACES 20
#define OBJECTS 1500
#define CACHED 21
#define HOSTS_MAX 139
#define SERVERS_MAX 132
#define QUEUE 18 /* requests that a server queues */
#define STEP_MS 5
#define PEERS_MS 500
#define BEGIN_MS 8000 /* from then on it is counted */
#define END_MS 40000
#define PERIOD_MS 36000
#define AMPLITUDE 0.55
#define WARM_PART 0.3
#define SLOW_PART 0.03
#define SLOW_FACTOR 7

typedef struct {
	const char *name;
	double rate; /* per second */
	msec_t work_ms, objective_ms, client_ms, timeout_ms;
	int64_t priority;
} load_type_t;

typedef struct {
	const char *name;
	guint hosts, servers, slots;
	gboolean stalls; /* some requests take SLOW_FACTOR times as long */
	load_type_t types[2];
} load_t;

typedef struct {
	dispatch_job_t job;
	admission_t admission;
	urgency_wait_t wait;
	guint type, host, object;
	gboolean again;
	msec_t first_at, came_at, sent_at;
	msec_t due_at; /* of its end, or of its second arrival */
} call_t;

typedef struct {
	double all, in_time;
} in_time_t;

static struct {
	const load_t *load;
	manifest_t *manifest;
	registry_t registries[HOSTS_MAX];
	dispatch_t hosts[HOSTS_MAX];
	urgency_queue_t queues[HOSTS_MAX];
	char ids[SERVERS_MAX][8];
	guint cached[SERVERS_MAX][CACHED];
	GPtrArray *calls[SERVERS_MAX]; /* the first ones run */
	GPtrArray *again;
	fleet_t fleet;
	shifts_t shifts;
	GHashTable *regions;
	GRand *rand;
	gboolean waits;
	in_time_t types[2], domains[DOMAINS], workspaces[WORKSPACES];
	guint held; /* rejected after more than an eighth of the objective */
} p;

static void
make_manifest(gboolean priorities)
{
	guint i;

	p.manifest = manifest_new(1);
	manifest_add_service(p.manifest)->name = g_strdup("s");
	for (i = 0; i < 2; i++) {
		manifest_route_t *r = manifest_add_route(p.manifest);

		r->name = g_strdup(p.load->types[i].name);
		r->objective_ms = p.load->types[i].objective_ms;
		r->priority = priorities ? p.load->types[i].priority : 0;
	}
	for (i = 0; i < WORKSPACES; i++)
		manifest_add_workspace(p.manifest)->name =
		    g_strdup_printf("w%u", i);
}

static void
begin(const load_t *load, gboolean priorities, gboolean waits)
{
	static const dispatch_bounds_t bounds = {.retry_ratio = 0.1};
	guint s, h;

	memset(&p, 0, sizeof(p));
	p.load = load;
	p.waits = waits;
	p.rand = g_rand_new_with_seed(7);
	p.again = g_ptr_array_new();
	p.regions = g_hash_table_new(g_str_hash, g_str_equal);
	fleet_init(&p.fleet, "self");
	shifts_init(&p.shifts);
	make_manifest(priorities);
	for (s = 0; s < load->servers; s++) {
		g_snprintf(p.ids[s], sizeof(p.ids[s]), "%u", s);
		p.calls[s] = g_ptr_array_new();
	}
	for (h = 0; h < load->hosts; h++) {
		registry_init(&p.registries[h], p.regions);
		for (s = 0; s < load->servers; s++) {
			const registry_row_t row = {p.ids[s], "s", "10.0.0.1:1",
			    "d", "v", load->slots, FALSE, 0, 0, 1};

			registry_put(&p.registries[h], &row, 0);
		}
		dispatch_init(&p.hosts[h], &p.registries[h], &p.fleet,
		    &p.shifts, "", &bounds);
		urgency_queue_init(&p.queues[h]);
	}
}

static void
call_free(gpointer arg, gpointer unused)
{
	call_t *c = arg;

	(void)unused;
	urgency_queue_remove(&p.queues[c->host], &c->wait);
	dispatch_job_clear(&c->job);
	g_free(c);
}

static void
end(void)
{
	guint i;

	for (i = 0; i < p.load->servers; i++) {
		g_ptr_array_foreach(p.calls[i], call_free, NULL);
		g_ptr_array_free(p.calls[i], TRUE);
	}
	g_ptr_array_foreach(p.again, call_free, NULL);
	g_ptr_array_free(p.again, TRUE);
	for (i = 0; i < p.load->hosts; i++) {
		while (p.queues[i].waits->len > 0)
			call_free(
			    ((urgency_wait_t *)p.queues[i].waits->pdata[0])
				->request,
			    NULL);
		urgency_queue_finish(&p.queues[i]);
		dispatch_finish(&p.hosts[i]);
		registry_finish(&p.registries[i]);
	}
	manifest_unref(p.manifest);
	shifts_finish(&p.shifts);
	fleet_finish(&p.fleet);
	g_hash_table_destroy(p.regions);
	g_rand_free(p.rand);
}

static msec_t
run_time(guint server, const call_t *c)
{
	guint *cached = p.cached[server], i = 0;
	double ms = (double)p.load->types[c->type].work_ms *
	    g_rand_double_range(p.rand, 0.6, 1.4);

	while (i < CACHED - 1 && cached[i] != c->object)
		i++;
	if (cached[i] == c->object)
		ms *= WARM_PART;
	if (p.load->stalls && g_rand_double(p.rand) < SLOW_PART)
		ms *= SLOW_FACTOR;
	memmove(cached + 1, cached, i * sizeof(*cached));
	cached[0] = c->object;
	return (msec_t)ms;
}

static void
count(const call_t *c, gboolean in_time)
{
	in_time_t *shares[] = {&p.types[c->type], &p.domains[c->host % DOMAINS],
	    &p.workspaces[c->object % WORKSPACES]};
	guint i;

	for (i = 0; c->first_at >= BEGIN_MS && i < 3; i++) {
		shares[i]->all++;
		shares[i]->in_time += in_time;
	}
}

static void
refuse(call_t *c, msec_t wait_ms, msec_t now)
{
	const load_type_t *t = &p.load->types[c->type];

	urgency_refused(&c->job.class, now);
	p.held += 8 * (now - c->came_at) > t->objective_ms + 8 * STEP_MS * 4;
	if (c->again) {
		count(c, FALSE);
		call_free(c, NULL);
		return;
	}
	c->again = TRUE;
	c->due_at =
	    now + CLAMP(wait_ms, 50, (c->first_at + t->client_ms - now) / 3);
	g_ptr_array_add(p.again, c);
}

static void
place(call_t *c, msec_t now)
{
	urgency_queue_t *q = &p.queues[c->host];
	const urgency_times_t times = {
	    c->came_at, c->came_at + p.load->types[c->type].timeout_ms};
	placing_t chosen = dispatch_place(&p.hosts[c->host], &c->job, now, now);
	guint s;

	if (chosen.verdict != PLACING_SEND) {
		if (p.waits && !c->job.late &&
		    urgency_queue_put(q, &c->wait, &chosen, &times, now))
			return;
		urgency_queue_remove(q, &c->wait);
		refuse(c, chosen.wait_ms, now);
		return;
	}
	urgency_queue_remove(q, &c->wait);
	s = (guint)g_ascii_strtoull(chosen.server->id, NULL, 10);
	dispatch_sent(&p.hosts[c->host], &c->job, chosen.server, now);
	c->sent_at = now;
	if (p.calls[s]->len >= p.load->slots + QUEUE) {
		const dispatch_result_t full = {.end = DISPATCH_FULL};

		dispatch_ended(
		    &p.hosts[c->host], &c->job, chosen.server, &full, now);
		dispatch_job_clear(&c->job);
		refuse(c, PLACING_FULL_MS, now);
		return;
	}
	g_ptr_array_add(p.calls[s], c);
	c->due_at = p.calls[s]->len <= p.load->slots ? now + run_time(s, c) : 0;
}

static void
arrive(call_t *c, msec_t now)
{
	c->came_at = now;
	dispatch_begin(&p.hosts[c->host], &c->job,
	    c->first_at + p.load->types[c->type].client_ms - now, now);
	c->wait = (urgency_wait_t){.request = c, .class = c->job.class};
	place(c, now);
}

static void
call_new(guint type, guint host, msec_t now)
{
	call_t *c = g_new0(call_t, 1);

	c->type = type;
	c->host = host;
	c->first_at = now;
	c->object = (guint)g_rand_int_range(p.rand, 1, OBJECTS);
	c->admission = (admission_t){ADMISSION_OK, p.manifest,
	    p.manifest->routes->pdata[type],
	    p.manifest->workspaces->pdata[c->object % WORKSPACES],
	    p.manifest->services->pdata[0]};
	c->job.admission = &c->admission;
	c->job.by_object = TRUE;
	c->job.object = registry_hash("o") + c->object * UINT64_C(0x9e3779b9);
	arrive(c, now);
}

static void
serve(guint s, msec_t now)
{
	GPtrArray *calls = p.calls[s];
	guint i;

	for (i = MIN(calls->len, p.load->slots); i > 0; i--) {
		call_t *c = calls->pdata[i - 1];
		const dispatch_result_t result = {
		    .end = DISPATCH_ANSWERED, .took_ms = now - c->sent_at};
		backend_t *b = c->job.tried[0];

		if (c->due_at > now)
			continue;
		g_ptr_array_remove_index(calls, i - 1);
		backend_report(b, calls->len + 1, now);
		dispatch_ended(&p.hosts[c->host], &c->job, b, &result, now);
		count(c,
		    now - c->first_at <= p.load->types[c->type].objective_ms);
		call_free(c, NULL);
		if (calls->len >= p.load->slots) {
			c = calls->pdata[p.load->slots - 1];
			c->due_at = now + run_time(s, c);
		}
	}
}

static void
wake(guint host, msec_t now)
{
	urgency_queue_t *q = &p.queues[host];
	urgency_verdict_t verdict;
	urgency_wait_t *w;

	while ((w = urgency_queue_next(q, now, &verdict)) != NULL) {
		call_t *c = w->request;

		if (verdict == URGENCY_PLACE) {
			place(c, now);
			continue;
		}
		urgency_queue_remove(q, w);
		refuse(c, 100, now);
	}
}

/* Each host reports its requests at each server to the others. */
static void
exchange_loads(void)
{
	guint h, s, own;

	for (s = 0; s < p.load->servers; s++) {
		backend_t *views[HOSTS_MAX];

		for (own = 0, h = 0; h < p.load->hosts; h++) {
			views[h] = g_hash_table_lookup(
			    p.registries[h].servers, p.ids[s]);
			own += views[h]->own;
		}
		for (h = 0; h < p.load->hosts; h++)
			views[h]->peers = own - views[h]->own;
	}
}

static void
clients_act(msec_t now)
{
	guint i, t;

	for (i = p.again->len; i > 0; i--) {
		call_t *c = p.again->pdata[i - 1];

		if (c->due_at <= now) {
			g_ptr_array_remove_index_fast(p.again, i - 1);
			arrive(c, now);
		}
	}
	for (t = 0; t < 2; t++) {
		double due = p.load->types[t].rate * (1 + AMPLITUDE) * STEP_MS /
		    MSEC_PER_SEC;

		for (; g_rand_double(p.rand) < due; due -= 1) {
			guint h = (guint)g_rand_int_range(
			    p.rand, 0, (gint32)p.load->hosts);
			double phase =
			    (double)(h % 3) / 3 + (double)now / PERIOD_MS;

			if (g_rand_double(p.rand) * (1 + AMPLITUDE) <
			    1 + AMPLITUDE * sin(2 * G_PI * phase))
				call_new(t, h, now);
		}
	}
}

static double
least(const in_time_t *s, guint n)
{
	double worst = 1;
	guint i;

	for (i = 0; i < n; i++)
		worst = MIN(worst, s[i].in_time / MAX(s[i].all, 1));
	return worst;
}

typedef struct {
	double types[2], domain, workspace;
	guint held;
} result_t;

static result_t
play(const load_t *load, gboolean priorities, gboolean waits)
{
	result_t r;
	msec_t now;
	guint i;

	begin(load, priorities, waits);
	for (now = STEP_MS; now < END_MS; now += STEP_MS) {
		for (i = 0; i < load->servers; i++)
			serve(i, now);
		for (i = 0; i < load->hosts && now % URGENCY_TICK_MS == 0; i++)
			wake(i, now);
		if (now % PEERS_MS == 0)
			exchange_loads();
		clients_act(now);
	}
	r = (result_t){{least(&p.types[0], 1), least(&p.types[1], 1)},
	    least(p.domains, DOMAINS), least(p.workspaces, WORKSPACES), p.held};
	printf("%s: priorities %d waits %d: %.3f %.3f domain %.3f workspace "
	       "%.3f held %u of %.0f\n",
	    load->name, priorities, waits, r.types[0], r.types[1], r.domain,
	    r.workspace, r.held, p.types[0].all + p.types[1].all);
	end();
	return r;
}

static const load_t loads[] = {
    {"B", 85, 92, 6, FALSE,
	{{"booking", 234, 600, 400, 3000, 2000, 0},
	    {"archived", 153, 3520, 4000, 20000, 8000, 2}}},
    {"B, archived quotes burst", 85, 92, 6, FALSE,
	{{"booking", 234, 600, 400, 3000, 2000, 0},
	    {"archived", 367, 3520, 4000, 20000, 8000, 2}}},
    {"C", 139, 132, 4, TRUE,
	{{"charge", 380, 540, 400, 3000, 2000, 1},
	    {"view", 760, 410, 400, 2500, 1500, 2}}},
};

/* Of the shares in time with priorities and without. */
static const struct {
	double urgent; /* least gain of the urgent type */
	double other;  /* most loss of the other type */
	double parts;  /* most loss of the worst domain or workspace */
} bounds[G_N_ELEMENTS(loads)] = {
    {0.02, 0.05, 0.02},
    {0.2, 0.15, 0.02},
    {-0.02, 0.02, 0.02},
};

static void
test_loads(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(loads); i++) {
		result_t before = play(&loads[i], FALSE, TRUE);
		guint waits;

		for (waits = 0; waits < 2; waits++) {
			result_t after = play(&loads[i], TRUE, waits);

			ck_assert_msg(after.types[0] >=
				    before.types[0] + bounds[i].urgent &&
				after.types[1] >=
				    before.types[1] - bounds[i].other &&
				after.domain >=
				    before.domain - bounds[i].parts &&
				after.workspace >=
				    before.workspace - bounds[i].parts,
			    "%s", loads[i].name);
		}
	}
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"share served in time", test_loads},
	};

	return suite_run("urgency", cases, G_N_ELEMENTS(cases));
}
