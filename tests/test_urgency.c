#include <math.h>
#include <stdio.h>
#include <string.h>

#include "coordination/dispatch.h"
#include "coordination/urgency_queue.h"
#include "suite.h"

/*
 * Plays one service of the two workloads of docs/design/OVERLOAD.md, at a third
 * of the size, with and without priorities. Clients send a refused request once
 * more. A server keeps the objects that it handled last.
 */

#define DOMAINS 6
#define WORKSPACES 20
#define CACHED 21
#define HOSTS_MAX 46
#define SERVERS_MAX 44
#define STEP_MS 5
#define PEERS_MS 500
#define ENDED 40
#define BEGIN_MS 8000 /* from then on it is counted */
#define END_MS 40000
#define PERIOD_MS 36000
#define AMPLITUDE 0.55
#define WARM_PART 0.3

typedef struct {
	const char *name;
	gint32 hosts, objects;
	guint servers, slots;
	struct {
		double rate; /* per second */
		msec_t work_ms, objective_ms, client_ms, timeout_ms;
		int64_t priority;
	} types[2]; /* the first is the more urgent one */
	/* Shares in time with priorities compared with none: least gain of the
	 * urgent type, most loss of the other type, and of the worst domain or
	 * workspace. */
	double gain, loss, loss_of_part;
} load_t;

static const load_t loads[] = {
    {"bookings, archived quotes", 28, 500, 31, 6,
	{{78, 600, 400, 3000, 2000, 0}, {51, 3520, 4000, 20000, 8000, 2}}, 0.02,
	0.04, 0.02},
    {"burst of archived quotes", 28, 500, 31, 6,
	{{78, 600, 400, 3000, 2000, 0}, {122, 3520, 4000, 20000, 8000, 2}}, 0.2,
	0.15, 0},
    {"charges, views", 46, 900, 44, 4,
	{{127, 540, 400, 3000, 2000, 1}, {253, 410, 400, 2500, 1500, 2}}, -0.02,
	0.02, 0.02},
};

typedef struct {
	dispatch_job_t job;
	admission_t admission;
	urgency_wait_t wait;
	guint type, host, object;
	gboolean again;
	msec_t first_at, sent_at;
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
	GPtrArray *calls[SERVERS_MAX]; /* call_t; the first ones run */
	GPtrArray *again, *all;
	fleet_t fleet;
	shifts_t shifts;
	GHashTable *regions;
	GRand *rand;
	in_time_t types[2], domains[DOMAINS], workspaces[WORKSPACES];
} p;

static void
call_free(gpointer arg)
{
	call_t *c = arg;

	urgency_queue_remove(&p.queues[c->host], &c->wait);
	dispatch_job_clear(&c->job);
	g_free(c);
}

static void
begin(const load_t *load, gboolean priorities)
{
	static const dispatch_bounds_t bounds = {.retry_ratio = 0.1};
	gint32 i, h;

	memset(&p, 0, sizeof(p));
	p.load = load;
	p.rand = g_rand_new_with_seed(7);
	p.again = g_ptr_array_new();
	p.all = g_ptr_array_new_with_free_func(call_free);
	p.regions = g_hash_table_new(g_str_hash, g_str_equal);
	fleet_init(&p.fleet, "self");
	shifts_init(&p.shifts);
	p.manifest = manifest_new(1);
	manifest_add_service(p.manifest)->name = g_strdup("s");
	for (i = 0; i < WORKSPACES; i++)
		manifest_add_workspace(p.manifest)->name =
		    g_strdup_printf("w%d", i);
	for (i = 0; i < 2; i++) {
		manifest_route_t *r = manifest_add_route(p.manifest);

		r->name = g_strdup_printf("r%d", i);
		r->objective_ms = load->types[i].objective_ms;
		r->priority = priorities ? load->types[i].priority : 0;
	}
	for (i = 0; i < (gint32)load->servers; i++) {
		g_snprintf(p.ids[i], sizeof(p.ids[i]), "%d", i);
		p.calls[i] = g_ptr_array_new();
	}
	for (h = 0; h < load->hosts; h++) {
		registry_init(&p.registries[h], p.regions);
		for (i = 0; i < (gint32)load->servers; i++) {
			const registry_row_t row = {p.ids[i], "s", "10.0.0.1:1",
			    "d", "v", load->slots, FALSE, 0, 0, 1};

			registry_put(&p.registries[h], &row, 0);
		}
		dispatch_init(&p.hosts[h], &p.registries[h], &p.fleet,
		    &p.shifts, "", &bounds);
		urgency_queue_init(&p.queues[h]);
	}
}

static void
end(void)
{
	gint32 i;

	g_ptr_array_free(p.all, TRUE);
	g_ptr_array_free(p.again, TRUE);
	for (i = 0; i < (gint32)p.load->servers; i++)
		g_ptr_array_free(p.calls[i], TRUE);
	for (i = 0; i < p.load->hosts; i++) {
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
	memmove(cached + 1, cached, i * sizeof(*cached));
	cached[0] = c->object;
	return (msec_t)ms;
}

static void
count(const call_t *c, gboolean in_time)
{
	in_time_t *counts[] = {&p.types[c->type], &p.domains[c->host % DOMAINS],
	    &p.workspaces[c->object % WORKSPACES]};
	guint i;

	for (i = 0; c->first_at >= BEGIN_MS && i < 3; i++) {
		counts[i]->all++;
		counts[i]->in_time += in_time;
	}
}

static void
refuse(call_t *c, msec_t wait_ms, msec_t now)
{
	msec_t left = c->first_at + p.load->types[c->type].client_ms - now;

	urgency_refused(&c->job.class, now);
	if (c->again) {
		count(c, FALSE);
		return;
	}
	c->again = TRUE;
	c->due_at = now + CLAMP(wait_ms, 50, left / 3);
	g_ptr_array_add(p.again, c);
}

static void
place(call_t *c, msec_t now)
{
	urgency_queue_t *q = &p.queues[c->host];
	const urgency_times_t times = {
	    now, now + p.load->types[c->type].timeout_ms};
	placing_t to = dispatch_place(&p.hosts[c->host], &c->job, now, now);
	guint s;

	if (to.verdict != PLACING_SEND) {
		if (!c->job.late &&
		    urgency_queue_put(q, &c->wait, &to, &times, now))
			return;
		refuse(c, to.wait_ms, now);
		return;
	}
	urgency_queue_remove(q, &c->wait);
	s = (guint)g_ascii_strtoull(to.server->id, NULL, 10);
	dispatch_sent(&p.hosts[c->host], &c->job, to.server, now);
	c->sent_at = now;
	g_ptr_array_add(p.calls[s], c);
	c->due_at = p.calls[s]->len <= p.load->slots ? now + run_time(s, c) : 0;
}

static void
arrive(call_t *c, msec_t now)
{
	dispatch_begin(&p.hosts[c->host], &c->job,
	    c->first_at + p.load->types[c->type].client_ms - now, now);
	c->wait = (urgency_wait_t){.request = c, .class = c->job.class};
	place(c, now);
}

static void
arrive_first(guint type, guint host, msec_t now)
{
	call_t *c = g_new0(call_t, 1);

	g_ptr_array_add(p.all, c);
	c->type = type;
	c->host = host;
	c->first_at = now;
	c->object = (guint)g_rand_int_range(p.rand, 1, p.load->objects);
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
		gboolean in_time;

		if (c->due_at > now)
			continue;
		g_ptr_array_remove_index(calls, i - 1);
		backend_report(c->job.tried[0], calls->len + 1, now);
		dispatch_ended(
		    &p.hosts[c->host], &c->job, c->job.tried[0], &result, now);
		in_time =
		    now - c->first_at <= p.load->types[c->type].objective_ms;
		urgency_ended(&c->job.class, in_time, now);
		count(c, in_time);
		if (calls->len >= p.load->slots) {
			c = calls->pdata[p.load->slots - 1];
			c->due_at = now + run_time(s, c);
		}
	}
}

static void
wake(urgency_queue_t *q, msec_t now)
{
	urgency_verdict_t verdict;
	urgency_wait_t *w;

	while ((w = urgency_queue_next(q, now, &verdict)) != NULL) {
		if (verdict == URGENCY_PLACE) {
			place(w->request, now);
			continue;
		}
		urgency_queue_remove(q, w);
		refuse(w->request, now - w->looked_at, now);
	}
}

/* Each host reports its requests at each server to the others. */
static void
exchange_loads(void)
{
	backend_t *views[HOSTS_MAX];
	guint s, own;
	gint32 h;

	for (s = 0; s < p.load->servers; s++) {
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
	guint i, t, h;

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

		while (g_rand_double(p.rand) < due) {
			due -= 1;
			h = (guint)g_rand_int_range(p.rand, 0, p.load->hosts);
			if (g_rand_double(p.rand) * (1 + AMPLITUDE) < 1 +
				AMPLITUDE *
				    sin(2 * G_PI *
					((double)(h % 3) / 3 +
					    (double)now / PERIOD_MS)))
				arrive_first(t, h, now);
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
	double urgent, other, domain, workspace;
} result_t;

static result_t
play(const load_t *load, gboolean priorities)
{
	result_t r;
	msec_t now;
	gint32 i;

	begin(load, priorities);
	for (now = STEP_MS; now < END_MS; now += STEP_MS) {
		for (i = 0; i < (gint32)load->servers; i++)
			serve((guint)i, now);
		for (i = 0; i < load->hosts && now % URGENCY_TICK_MS == 0; i++)
			wake(&p.queues[i], now);
		if (now % PEERS_MS == 0)
			exchange_loads();
		clients_act(now);
	}
	r = (result_t){least(&p.types[0], 1), least(&p.types[1], 1),
	    least(p.domains, DOMAINS), least(p.workspaces, WORKSPACES)};
	printf("%s, priorities %d: in time %.3f %.3f, worst domain %.3f, "
	       "workspace %.3f\n",
	    load->name, priorities, r.urgent, r.other, r.domain, r.workspace);
	end();
	return r;
}

static void
test_loads(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(loads); i++) {
		const load_t *load = &loads[i];
		result_t before = play(load, FALSE), after = play(load, TRUE);

		ck_assert_msg(after.urgent >= before.urgent + load->gain &&
			after.other >= before.other - load->loss &&
			after.domain >= before.domain - load->loss_of_part &&
			after.workspace >=
			    before.workspace - load->loss_of_part,
		    "%s", load->name);
	}
}

/*
 * A class gets its minimum however many urgent requests there are, a type that
 * is hardly sent has no bound, and neither have requests of equal priorities.
 */
static void
test_bounds(void)
{
	static const struct {
		const char *name;
		gboolean priorities;
		int urgent, sent, refused; /* the last two of the other type */
		double load, least, most;  /* 0: no bound */
		int urgent_late;	   /* of ENDED */
		double run_ms;		   /* of the other type; 0: 1200 */
	} rows[] = {
	    {"one priority", FALSE, 50, 50, 0, 1, 0, 0, ENDED, 0},
	    {"no urgent requests", TRUE, 0, 50, 0, 1, 0, 0, ENDED, 0},
	    {"few urgent requests", TRUE, 5, 50, 0, 1, 0.7, 1.1, ENDED, 0},
	    {"many", TRUE, 200, 50, 0, 1, 0.5, 0.8, ENDED, 0},
	    {"many, in time as often", TRUE, 200, 50, 0, 1, 0.5, 0.8, 0, 0},
	    {"equal costs, in time as often", TRUE, 200, 50, 0, 1, 0, 0, 0,
		200},
	    {"equal costs, worse off", TRUE, 200, 50, 0, 1, 0.5, 1.5, ENDED,
		200},
	    {"many, at little load", TRUE, 200, 50, 0, 0.2, 1.1, 1.3, ENDED, 0},
	    {"only urgent requests", TRUE, 5000, 1, 0, 1, 0.34, 0.8, ENDED, 0},
	    {"the others are starved", TRUE, 200, 20, 40, 1, 0, 0, ENDED, 0},
	};
	placing_t full = {.verdict = PLACING_FULL, .depth = 1};
	const urgency_times_t times = {BEGIN_MS, END_MS};
	size_t i;
	int k;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		dispatch_job_t jobs[2] = {{0}, {0}};
		urgency_wait_t wait = {0};
		double depth;

		begin(&loads[0], rows[i].priorities);
		for (k = 0; k < 2; k++) {
			const admission_t a = {.manifest = p.manifest,
			    .route = p.manifest->routes->pdata[k],
			    .workspace = p.manifest->workspaces->pdata[0],
			    .service = p.manifest->services->pdata[0]};

			jobs[k].class =
			    urgency_classify(&p.hosts[0].urgency, &a, BEGIN_MS);
			urgency_ran(&jobs[k].class,
			    k == 0		     ? 200
				: rows[i].run_ms > 0 ? rows[i].run_ms
						     : 1200);
		}
		for (k = 0; k < rows[i].urgent; k++)
			urgency_sent(&jobs[0].class, BEGIN_MS);
		for (k = 0; k < rows[i].sent; k++)
			urgency_sent(&jobs[1].class, BEGIN_MS);
		for (k = 0; k < ENDED; k++) {
			urgency_ended(
			    &jobs[0].class, k >= rows[i].urgent_late, BEGIN_MS);
			urgency_ended(&jobs[1].class, TRUE, BEGIN_MS);
		}
		for (k = 0; k < rows[i].refused; k++)
			urgency_refused(&jobs[1].class, BEGIN_MS);
		depth =
		    urgency_depth(&jobs[1].class, rows[i].load, 6, BEGIN_MS);
		ck_assert_msg(depth >= rows[i].least && depth <= rows[i].most,
		    "%s: %g", rows[i].name, depth);
		full.first = g_hash_table_lookup(p.registries[0].servers, "0");
		wait.class = jobs[1].class;
		ck_assert_int_eq(urgency_queue_put(&p.queues[0], &wait, &full,
				     &times, BEGIN_MS),
		    rows[i].priorities);
		urgency_queue_remove(&p.queues[0], &wait);
		end();
	}
}

int
main(void)
{
	static const suite_case_t cases[] = {
	    {"bounds of a class", test_bounds},
	    {"share served in time", test_loads},
	};

	return suite_run("urgency", cases, G_N_ELEMENTS(cases));
}
