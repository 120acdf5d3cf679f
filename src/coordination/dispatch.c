#include <string.h>

#include "coordination/dispatch.h"

/* How long a server is assumed to be cold after the state of its domain shows
 * that it may be. By then its next registry entry says whether it is. */
#define ASSUMED_COLD_MS 3000
/* How long a host that is no longer known keeps its part of the retry
 * budgets: longer than a network partition between hosts usually lasts. */
#define RETRY_SHARE_HOLD_MS 60000
/* The judgement of a shift counts an answer as slow if it takes more than this
 * many times the latency objective. The factor for a cold server is higher: a
 * cold server takes twice the time of a warm one that lacks the object. */
#define SLOW_FACTOR 2.5
#define SLOW_FACTOR_COLD 5.0
/* Delay of a caller's retry if the server has room: no longer than it takes to
 * make a new connection. */
#define RETRY_SOON_MS 50

void
dispatch_init(dispatch_t *d, const registry_t *registry, const fleet_t *fleet,
    shifts_t *shifts, const char *region, const dispatch_bounds_t *bounds)
{
	d->registry = registry;
	d->fleet = fleet;
	fleet_members_init(&d->members);
	d->shifts = shifts;
	d->region = region;
	d->bounds = *bounds;
	caller_retry_init(&d->caller_retry);
	urgency_init(&d->urgency);
	dispatch_pace_init(&d->pace);
	d->retry_hosts = 0;
	d->retry_hosts_until = 0;
	d->drains =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	d->budgets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
dispatch_finish(dispatch_t *d)
{
	fleet_members_finish(&d->members);
	g_hash_table_destroy(d->drains);
	g_hash_table_destroy(d->budgets);
	caller_retry_finish(&d->caller_retry);
	urgency_finish(&d->urgency);
	dispatch_pace_finish(&d->pace);
}

gboolean
dispatch_drain(dispatch_t *d, const char *domain, gboolean drained)
{
	if (drained)
		return g_hash_table_add(d->drains, g_strdup(domain));
	return g_hash_table_remove(d->drains, domain);
}

void
dispatch_assume_cold(dispatch_t *d, const char *domain, msec_t now)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, d->registry->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		backend_t *b = value;

		if (strcmp(b->domain, domain) == 0)
			b->cold_assumed_until =
			    MAX(b->cold_assumed_until, now + ASSUMED_COLD_MS);
	}
}

/*
 * Returns the number of hosts among which the retry budgets are split. A host
 * that is no longer known may only be partitioned from this one and go on
 * using its part, so it is counted for RETRY_SHARE_HOLD_MS more.
 */
static guint
retry_hosts(dispatch_t *d, msec_t now)
{
	guint known = fleet_size(d->fleet);

	/* A host that has just started does not know the others yet. */
	if (d->fleet->synced_at == 0)
		return G_MAXUINT;
	if (known >= d->retry_hosts || now >= d->retry_hosts_until) {
		d->retry_hosts = known;
		d->retry_hosts_until = now + RETRY_SHARE_HOLD_MS;
	}
	return d->retry_hosts;
}

retry_budget_t *
dispatch_budget(dispatch_t *d, const char *service, msec_t now)
{
	retry_budget_t *b = g_hash_table_lookup(d->budgets, service);
	gboolean was_empty;

	if (b == NULL) {
		b = g_new0(retry_budget_t, 1);
		g_hash_table_insert(d->budgets, g_strdup(service), b);
	}
	was_empty = b->credit_max == 0;
	retry_budget_set_share(b, d->bounds.retry_ratio, d->bounds.retry_extra,
	    retry_hosts(d, now));
	if (was_empty)
		retry_budget_fill(b);
	return b;
}

static gboolean
was_tried(const dispatch_job_t *job, const backend_t *b)
{
	guint i;

	for (i = 0; i < job->ntried; i++) {
		if (job->tried[i] == b)
			return TRUE;
	}
	return FALSE;
}

/* Whether orders and the registry let the server run the request at all. */
static gboolean
is_allowed(const dispatch_t *d, const dispatch_job_t *job, const backend_t *b,
    shift_cohort_t cohort, msec_t now)
{
	const admission_t *a = job->admission;

	return b->listed &&
	    manifest_allows(a->route, a->workspace, b->region) &&
	    shifts_allows(d->shifts, b, cohort, now);
}

/* Whether an allowed server can take the request now. */
static gboolean
is_able(const dispatch_t *d, const dispatch_job_t *job, const backend_t *b,
    msec_t now)
{
	return backend_usable(b, now) && !was_tried(job, b) &&
	    !g_hash_table_contains(d->drains, b->domain);
}

void
dispatch_tick(dispatch_t *d, msec_t now)
{
	fleet_members_update(&d->members, d->fleet, now);
	dispatch_pace_tick(&d->pace, d->registry, now);
}

/* This host's rank for a cold server; kept until the members change. */
static guint
ramp_rank(const dispatch_t *d, backend_t *b)
{
	const fleet_members_t *m = &d->members;

	if (b->ramp_generation == m->generation + 1)
		return b->ramp_rank;
	b->ramp_rank = cold_ramp_rank(b->seed, d->fleet->self,
	    (const uint64_t *)(gpointer)m->seeds->data, m->seeds->len);
	b->ramp_generation = m->generation + 1;
	return b->ramp_rank;
}

gboolean
dispatch_ramp(const dispatch_t *d, const manifest_service_t *service,
    backend_t *server, msec_t now, dispatch_ramp_t *out)
{
	if (service->warmup_rate <= 0 || !backend_is_cold(server, now))
		return FALSE;
	out->rank = ramp_rank(d, server);
	out->hosts = d->members.seeds->len;
	out->gap_ms = fleet_members_may_use(&d->members, d->fleet, now)
	    ? cold_ramp_gap(
		  &d->bounds.cold, service->warmup_rate, out->rank, out->hosts)
	    : 0;
	out->since_ms = now - server->sent_at;
	return TRUE;
}

/* Whether the cold ramp forbids this host to send to a cold server now. */
static gboolean
is_throttled(const dispatch_t *d, const manifest_service_t *service,
    backend_t *b, msec_t now)
{
	dispatch_ramp_t ramp;

	return dispatch_ramp(d, service, b, now, &ramp) &&
	    (ramp.gap_ms == 0 || ramp.since_ms < ramp.gap_ms);
}

/* Whether the server is new or back and this host may not send it the request
 * yet. */
static gboolean
is_paced(dispatch_t *d, const dispatch_job_t *job, backend_t *b,
    gboolean others_full, msec_t now)
{
	gboolean warms_up = job->admission->service->warmup_rate > 0;
	pace_request_t request = {.object = job->object,
	    .by_object = job->by_object,
	    .others_full = others_full};

	if (!dispatch_pace_applies(b, warms_up, now))
		return FALSE;
	request.rank = ramp_rank(d, b);
	request.hosts = d->members.seeds->len;
	return !dispatch_pace_allows(&d->pace, b, warms_up, &request, now);
}

gboolean
dispatch_may_send(const dispatch_t *d, const dispatch_job_t *job,
    backend_t *server, msec_t now)
{
	return server->listed && is_able(d, job, server, now) &&
	    !is_throttled(d, job->admission->service, server, now);
}

/* Servers that can take a request, and whether the first in rank of this
 * host's region is one of them. */
typedef struct {
	placing_candidate_t *servers;
	guint n;
	guint paced;	      /* of these, new or back and not to be used yet */
	gboolean others_full; /* only @paced may have room */
	gboolean has_home;
	msec_t pause_ms; /* until the first of the paused ones is back; 0: none
			  */
} candidates_t;

static void
note_pause(candidates_t *out, const backend_t *b, msec_t now)
{
	msec_t left = server_word_pause_left(&b->word, now);

	if (left > 0 && !b->draining && !b->word.leaving &&
	    (out->pause_ms == 0 || left < out->pause_ms))
		out->pause_ms = left;
}

/* @out->servers has room for all servers of the service. */
static void
collect(dispatch_t *d, const registry_service_t *known,
    const dispatch_job_t *job, shift_cohort_t cohort, msec_t now,
    candidates_t *out)
{
	double score, best = 0;
	guint i;

	out->n = 0;
	out->paced = 0;
	out->has_home = FALSE;
	out->pause_ms = 0;
	for (i = 0; i < known->servers->len; i++) {
		backend_t *b = g_ptr_array_index(known->servers, i);
		gboolean same_region = strcmp(b->region, d->region) == 0, able;
		gboolean paced;

		if (!is_allowed(d, job, b, cohort, now))
			continue;
		able = is_able(d, job, b, now);
		score = same_region && job->by_object
		    ? placing_score(b, job->object)
		    : 0;
		if (score > best) {
			best = score;
			out->has_home = able;
		}
		if (!able) {
			note_pause(out, b, now);
			continue;
		}
		paced = is_paced(d, job, b, out->others_full, now);
		out->paced += paced;
		out->servers[out->n++] = (placing_candidate_t){
		    .server = b,
		    .load = backend_load(b, now) *
			server_speed_factor(&b->speed, &known->speed_hold, now),
		    .same_region = same_region,
		    .throttled = now < b->limited_until || paced ||
			is_throttled(d, job->admission->service, b, now),
		};
	}
}

static placing_t
place_once(dispatch_t *d, const registry_service_t *known,
    const dispatch_job_t *job, shift_cohort_t cohort, msec_t now,
    candidates_t *c)
{
	placing_request_t request = {
	    .object = job->object,
	    .by_object = job->by_object,
	    .prefer_region = job->body_bytes >= PLACING_LARGE_BYTES,
	    .late = job->late,
	    .objective_ms = job->admission->route->objective_ms,
	};
	double load, slots;

	collect(d, known, job, cohort, now, c);
	if (c->n > 0) {
		load = placing_load(c->servers, c->n, &slots);
		request.depth_max =
		    urgency_depth(&job->class, load, slots, now);
	}
	/* The others in the region could not take all objects of a drained
	 * domain. */
	request.local_part = c->has_home ? known->local_part : 0;
	return placing_choose(&request, c->servers, c->n, now);
}

/* Servers that are new or back also get requests beyond their pace if no other
 * server of the cohort can take them: a shift keeps its share. */
static placing_t
place(dispatch_t *d, const registry_service_t *known, const dispatch_job_t *job,
    shift_cohort_t cohort, msec_t now, candidates_t *c)
{
	placing_t p;

	c->others_full = FALSE;
	p = place_once(d, known, job, cohort, now, c);
	if (p.verdict != PLACING_FULL || c->paced == 0)
		return p;
	c->others_full = TRUE;
	return place_once(d, known, job, cohort, now, c);
}

void
dispatch_begin(dispatch_t *d, dispatch_job_t *job, msec_t left_ms, msec_t now)
{
	const manifest_route_t *route = job->admission->route;

	job->left_ms = left_ms;
	job->class = urgency_classify(&d->urgency, job->admission, now);
	job->late = caller_retry_is_late(
	    &d->caller_retry, route->name, route->objective_ms, left_ms);
}

placing_t
dispatch_place(
    dispatch_t *d, const dispatch_job_t *job, msec_t now, msec_t store_now)
{
	const char *service = job->admission->service->name;
	const registry_service_t *known =
	    registry_service(d->registry, service);
	placing_t p = {.verdict = PLACING_NONE};
	shift_cohort_t cohort;
	candidates_t c;

	if (known == NULL || known->servers->len == 0)
		return p;
	cohort = shifts_cohort(d->shifts, service, job->object, store_now);
	c.servers = g_new0(placing_candidate_t, known->servers->len);
	p = place(d, known, job, cohort, now, &c);
	/* The old version gets what the new one can't take yet. */
	if (p.verdict != PLACING_SEND && cohort == SHIFT_COHORT_NEW)
		p = place(d, known, job, SHIFT_COHORT_OLD, now, &c);
	g_free(c.servers);
	if (p.verdict == PLACING_NONE)
		p.wait_ms = MAX(p.wait_ms, c.pause_ms);
	if (p.overloaded)
		p.wait_ms = MAX(p.wait_ms, caller_retry_wait_ms(job->left_ms));
	return p;
}

void
dispatch_sent(dispatch_t *d, dispatch_job_t *job, backend_t *server, msec_t now)
{
	if (job->ntried < DISPATCH_TRIES_MAX)
		job->tried[job->ntried++] = backend_ref(server);
	job->sent_load = backend_load(server, now);
	urgency_sent(&job->class, now);
	server->own++;
	server->sent_at = now;
	shifts_sent(d->shifts, server);
}

static gboolean
is_slow(const manifest_route_t *route, const backend_t *server, msec_t took_ms,
    msec_t now)
{
	double factor =
	    backend_is_cold(server, now) ? SLOW_FACTOR_COLD : SLOW_FACTOR;

	return route->objective_ms > 0 &&
	    (double)took_ms > factor * (double)route->objective_ms;
}

static pace_end_t
pace_end(const dispatch_result_t *result)
{
	switch (result->end) {
	case DISPATCH_ANSWERED:
		return result->failed ? PACE_BAD : PACE_GOOD;
	case DISPATCH_FULL:
		/* Some servers reject some requests although they have room. */
		return result->has_room ? PACE_UNKNOWN : PACE_BAD;
	case DISPATCH_ABANDONED:
		return PACE_UNKNOWN;
	default:
		return PACE_BAD;
	}
}

void
dispatch_ended(dispatch_t *d, const dispatch_job_t *job, backend_t *server,
    const dispatch_result_t *result, msec_t now)
{
	const manifest_route_t *route = job->admission->route;
	shift_sample_t sample = {.route = registry_hash(route->name)};
	gboolean judged = TRUE;

	server->own--;
	switch (result->end) {
	case DISPATCH_ANSWERED:
		backend_answered(server, result->took_ms, job->sent_load);
		urgency_ran(&job->class,
		    backend_run_ms(server, result->took_ms, job->sent_load));
		server_word_answered(&server->word, now);
		sample.failed = result->failed;
		sample.slow = is_slow(route, server, result->took_ms, now);
		break;
	case DISPATCH_FULL:
		if (!result->has_room)
			server->full_until = now + PLACING_FULL_MS;
		judged = FALSE;
		break;
	case DISPATCH_WRONG_SERVER:
	case DISPATCH_UNREACHABLE:
		backend_failed(server, TRUE, now);
		judged = FALSE;
		break;
	case DISPATCH_BROKEN:
		backend_failed(server, FALSE, now);
		sample.failed = TRUE;
		break;
	case DISPATCH_TIMED_OUT:
		backend_failed(server, FALSE, now);
		sample.slow = TRUE;
		break;
	case DISPATCH_ABANDONED:
		judged = FALSE;
		break;
	}
	dispatch_pace_ended(&d->pace, server, pace_end(result), route->name,
	    (double)result->took_ms, job->sent_load, now);
	shifts_ended(d->shifts, server, judged ? &sample : NULL);
}

/* Returns after how long a caller may retry a request that a server rejected.
 * Some servers reject part of the requests although they have room. A caller
 * who retries at once may still be answered in time. */
msec_t
dispatch_retry_ms(gboolean has_room)
{
	return has_room ? RETRY_SOON_MS : PLACING_FULL_MS;
}

void
dispatch_job_clear(dispatch_job_t *job)
{
	guint i;

	for (i = 0; i < job->ntried; i++)
		backend_unref(job->tried[i]);
	job->ntried = 0;
}
