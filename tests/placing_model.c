#include <stdlib.h>
#include <string.h>

#include "coordination/balance.h"
#include "coordination/caller_retry.h"
#include "placing_model.h"
#include "state/placing.h"

#define HOSTS 8
#define SERVERS 12
#define SLOTS 3
#define RESTRICTED_SERVERS 2
#define RESTRICTED_OBJECTS 24
#define QUEUE 9
#define OBJECTS 144
#define CACHED_OBJECTS 21 /* objects in a server's cache */
#define WARM_MS 270
#define COLD_MS 900
#define OBJECTIVE_MS 600
#define BUDGET_MS 4000
#define END_MS 40000
#define STEP_MS 5
#define RETRY_MIN_MS 100
#define BEACON_MS 500
/* Value of a late answer; one in time has the value 1. */
#define LATE_VALUE 0.2

typedef struct {
	msec_t first_at; /* of the caller's first attempt */
	uint32_t object;
	uint32_t host;
	gboolean again;	     /* the second attempt */
	gboolean restricted; /* only the first two servers may run it */
	msec_t due_at;	     /* when a refused caller tries again */
} caller_t;

typedef struct {
	caller_t caller;
	msec_t ends_at;
} run_t;

typedef struct {
	char id[16];
	uint32_t cached[CACHED_OBJECTS]; /* most recently used first */
	guint ncached;
	run_t runs[SLOTS];
	guint nruns;
	caller_t queue[QUEUE];
	guint nqueue;
} server_t;

typedef struct {
	registry_t views[HOSTS];
	GHashTable *regions;
	server_t servers[SERVERS];
	GArray *retries; /* caller_t */
	GRand *rand;
	model_setup_t setup;
	model_result_t result;
} world_t;

static void
world_init(world_t *w, const model_setup_t *setup)
{
	guint h, s;

	memset(w, 0, sizeof(*w));
	w->setup = *setup;
	w->rand = g_rand_new_with_seed(setup->seed);
	w->retries = g_array_new(FALSE, FALSE, sizeof(caller_t));
	w->regions = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(w->regions, "n1", "north");
	for (s = 0; s < SERVERS; s++)
		g_snprintf(w->servers[s].id, sizeof(w->servers[s].id),
		    "server-%02u", s);
	for (h = 0; h < HOSTS; h++) {
		registry_init(&w->views[h], w->regions);
		for (s = 0; s < SERVERS; s++) {
			const registry_row_t row = {.id = w->servers[s].id,
			    .service = "clips",
			    .address = "10.0.0.1:80",
			    .domain = "n1",
			    .version = "v1",
			    .slots = SLOTS,
			    .row_ver = s + 1};

			registry_put(&w->views[h], &row, 0);
		}
	}
}

static void
world_finish(world_t *w)
{
	guint h;

	for (h = 0; h < HOSTS; h++)
		registry_finish(&w->views[h]);
	g_array_free(w->retries, TRUE);
	g_hash_table_destroy(w->regions);
	g_rand_free(w->rand);
}

static backend_t *
view_of(world_t *w, guint host, const server_t *s)
{
	return g_hash_table_lookup(w->views[host].servers, s->id);
}

/*
 * Makes the object the most recently used one of the server.
 *
 * Return: whether the server had it cached
 */
static gboolean
touch(server_t *s, uint32_t object)
{
	gboolean cached = FALSE;
	guint i = 0;

	while (i < s->ncached && !cached)
		cached = s->cached[i++] == object;
	if (!cached && s->ncached < CACHED_OBJECTS)
		i = ++s->ncached;
	memmove(s->cached + 1, s->cached, (i - 1) * sizeof(s->cached[0]));
	s->cached[0] = object;
	return cached;
}

static void
run(server_t *s, const caller_t *c, msec_t now)
{
	msec_t took = touch(s, c->object) ? WARM_MS : COLD_MS;

	s->runs[s->nruns++] = (run_t){*c, now + took};
}

static void
refuse(world_t *w, const caller_t *c, msec_t wait_ms, msec_t now)
{
	caller_t again = *c;
	msec_t left = c->first_at + BUDGET_MS - now;

	if (c->again) {
		w->result.refused++;
		return;
	}
	again.again = TRUE;
	again.due_at = now + CLAMP(wait_ms, RETRY_MIN_MS, left / 3);
	g_array_append_val(w->retries, again);
}

/*
 * Return: the server that gets the request, or NULL if the caller is to try
 * again after @wait_ms
 */
static backend_t *
choose(world_t *w, const caller_t *c, msec_t *wait_ms, msec_t now)
{
	placing_candidate_t candidates[SERVERS];
	gboolean with_objective = w->setup.policy == MODEL_PLACING;
	const placing_request_t request = {
	    .object = registry_hash("o") + c->object * UINT64_C(0x9e3779b97f4a),
	    .by_object = w->setup.policy != MODEL_LEAST_LOADED,
	    .late = with_objective && now - c->first_at > OBJECTIVE_MS,
	    .objective_ms = with_objective ? OBJECTIVE_MS : 0,
	};
	guint n = c->restricted ? RESTRICTED_SERVERS : SERVERS, i, best = 0;
	placing_t p;

	if (w->setup.policy == MODEL_RANDOM)
		return view_of(w, c->host,
		    &w->servers[g_rand_int_range(w->rand, 0, (gint32)n)]);
	for (i = 0; i < n; i++) {
		backend_t *b = view_of(w, c->host, &w->servers[i]);

		candidates[i] = (placing_candidate_t){.server = b,
		    .load = backend_load(b, now),
		    .same_region = TRUE};
		if (placing_score(b, request.object) >
		    placing_score(candidates[best].server, request.object))
			best = i;
	}
	if (w->setup.policy == MODEL_HASH)
		return candidates[best].server;
	p = placing_choose(&request, candidates, n, now);
	*wait_ms = p.wait_ms;
	if (p.overloaded)
		*wait_ms = MAX(p.wait_ms,
		    caller_retry_wait_ms(c->first_at + BUDGET_MS - now));
	return p.verdict == PLACING_SEND ? p.server : NULL;
}

static void
place(world_t *w, const caller_t *c, msec_t now)
{
	msec_t wait_ms = 0;
	backend_t *b = choose(w, c, &wait_ms, now);
	server_t *s;

	if (b == NULL) {
		refuse(w, c, wait_ms, now);
		return;
	}
	s = &w->servers[atoi(b->id + strlen("server-"))];
	if (s->nruns < SLOTS) {
		run(s, c, now);
	} else if (s->nqueue < QUEUE) {
		s->queue[s->nqueue++] = *c;
	} else {
		b->full_until = now + PLACING_FULL_MS;
		refuse(w, c, PLACING_FULL_MS, now);
		return;
	}
	b->own++;
}

static void
answer(world_t *w, server_t *s, const caller_t *c, msec_t now)
{
	backend_t *b = view_of(w, c->host, s);

	if (now - c->first_at <= OBJECTIVE_MS)
		w->result.within_objective++;
	else
		w->result.late++;
	backend_report(b, s->nruns + s->nqueue, now);
	b->own--;
	backend_answered(b, WARM_MS, 0);
}

static void
serve(world_t *w, server_t *s, msec_t now)
{
	caller_t done;
	guint i;

	for (i = s->nruns; i > 0; i--) {
		if (s->runs[i - 1].ends_at > now)
			continue;
		done = s->runs[i - 1].caller;
		s->runs[i - 1] = s->runs[--s->nruns];
		answer(w, s, &done, now);
	}
	while (s->nruns < SLOTS && s->nqueue > 0) {
		done = s->queue[0];
		s->nqueue--;
		memmove(s->queue, s->queue + 1, s->nqueue * sizeof(done));
		run(s, &done, now);
	}
}

static void
arrive(world_t *w, msec_t now)
{
	gboolean restricted = w->setup.restricted > 0 &&
	    g_rand_double(w->rand) < w->setup.restricted;
	const caller_t c = {
	    .first_at = now,
	    .restricted = restricted,
	    .object = (uint32_t)g_rand_int_range(
		w->rand, 0, restricted ? RESTRICTED_OBJECTS : OBJECTS),
	    .host = (uint32_t)g_rand_int_range(w->rand, 0, HOSTS),
	};

	w->result.requests++;
	place(w, &c, now);
}

static void
callers_arrive(world_t *w, double rate, msec_t now)
{
	double due = rate * STEP_MS / MSEC_PER_SEC;
	caller_t c;
	guint i;

	for (i = w->retries->len; i > 0; i--) {
		c = g_array_index(w->retries, caller_t, i - 1);
		if (c.due_at > now)
			continue;
		g_array_remove_index_fast(w->retries, i - 1);
		place(w, &c, now);
	}
	for (; due > 0 && g_rand_double(w->rand) < due; due -= 1)
		arrive(w, now);
}

/* Each host reports its requests at each server to the other hosts. */
static void
report_loads(world_t *w)
{
	guint h, k, s;

	for (s = 0; s < SERVERS; s++) {
		for (h = 0; h < HOSTS; h++) {
			backend_t *b = view_of(w, h, &w->servers[s]);

			b->peers = 0;
			for (k = 0; k < HOSTS; k++)
				b->peers += k == h
				    ? 0
				    : view_of(w, k, &w->servers[s])->own;
		}
	}
}

void
placing_model_run(const model_setup_t *setup, model_result_t *result)
{
	static world_t w;
	fleet_t fleet;
	msec_t now;
	guint s;

	fleet_init(&fleet, "host-0");
	fleet_locate(&fleet, "north", "n1", 1);
	world_init(&w, setup);
	for (now = STEP_MS; now < END_MS; now += STEP_MS) {
		for (s = 0; s < SERVERS; s++)
			serve(&w, &w.servers[s], now);
		if (now % BEACON_MS == 0)
			report_loads(&w);
		for (s = 0; setup->offloads && s < HOSTS; s++) {
			if (now % BALANCE_TICK_MS == 0)
				balance_tick(&w.views[s], &fleet, now);
		}
		callers_arrive(&w, setup->rate, now);
	}
	*result = w.result;
	world_finish(&w);
	fleet_finish(&fleet);
}

double
placing_model_value(const model_result_t *r)
{
	return (r->within_objective + LATE_VALUE * r->late) / r->requests;
}

double
placing_model_limit(double rate)
{
	return MIN(1, SERVERS * SLOTS * MSEC_PER_SEC / (WARM_MS * rate));
}
