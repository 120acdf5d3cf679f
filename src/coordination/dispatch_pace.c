#include "coordination/dispatch_pace.h"
#include "state/placing.h"

/* Part by which a response changes the usual time of its route. */
#define USUAL_SMOOTH 0.05

void
dispatch_pace_init(dispatch_pace_t *d)
{
	*d = (dispatch_pace_t){
	    .usual_ms =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
	};
}

void
dispatch_pace_finish(dispatch_pace_t *d)
{
	g_hash_table_destroy(d->usual_ms);
}

static gboolean
is_cold(const backend_t *b, gboolean warms_up, msec_t now)
{
	return warms_up && backend_is_cold(b, now);
}

gboolean
dispatch_pace_applies(const backend_t *b, gboolean warms_up, msec_t now)
{
	return b->pace.state != PACE_OPEN || b->ejected_until != 0 ||
	    is_cold(b, warms_up, now);
}

/* Means over the servers of the service that are not limited. */
static pace_service_t
service_of(const registry_service_t *s, msec_t now)
{
	pace_service_t out = {0};
	guint i, n = 0, timed = 0;

	for (i = 0; i < s->servers->len; i++) {
		const backend_t *b = g_ptr_array_index(s->servers, i);

		if (b->pace.state != PACE_OPEN || !backend_usable(b, now))
			continue;
		out.busy += b->busy;
		n++;
		out.service_ms += b->service_ms;
		timed += b->service_ms > 0;
	}
	out.busy = n > 0 ? out.busy / n : PLACING_DEPTH;
	out.service_ms /= MAX(timed, 1);
	return out;
}

static void
report(const dispatch_pace_t *d, const backend_t *b, pace_state_t before,
    pace_change_t change)
{
	if (d->changed != NULL &&
	    (b->pace.state != before || change == PACE_BACK))
		d->changed(d->arg, b, before, change);
}

static pace_view_t
view_of(const backend_t *b, msec_t now)
{
	const pace_view_t view = {
	    .service = service_of(b->service, now),
	    .seed = b->seed,
	    .slots = b->slots,
	    .load = backend_load(b, now),
	    .busy = b->busy,
	    .cold = is_cold(b, b->pace.warms_up, now),
	    .trial = b->ejected_until != 0 || b->word.returning,
	    .sent_at = b->sent_at,
	};

	return view;
}

gboolean
dispatch_pace_allows(dispatch_pace_t *d, backend_t *b, gboolean warms_up,
    const pace_request_t *request, msec_t now)
{
	pace_state_t before = b->pace.state;
	pace_change_t change;
	pace_view_t view;

	server_pace_begin(&b->pace, now);
	b->pace.warms_up = warms_up;
	view = view_of(b, now);
	view.others_full = request->others_full;
	view.rank = request->rank;
	view.hosts = request->hosts;
	change = server_pace_update(&b->pace, &view, now);
	report(d, b, before, change);
	return server_pace_allows(
	    &b->pace, &view, request->object, request->by_object, now);
}

void
dispatch_pace_tick(dispatch_pace_t *d, const registry_t *r, msec_t now)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, r->servers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		backend_t *b = value;
		pace_state_t before = b->pace.state;
		pace_view_t view;

		if (before == PACE_OPEN || !backend_usable(b, now))
			continue;
		view = view_of(b, now);
		report(d, b, before, server_pace_update(&b->pace, &view, now));
	}
}

/* Return: the time relative to the usual one of the route; 0: unknown */
static double
learn(dispatch_pace_t *d, const backend_t *b, const char *route, double ms)
{
	double *usual = g_hash_table_lookup(d->usual_ms, route);

	if (b->pace.state != PACE_OPEN)
		return usual != NULL ? ms / *usual : 0;
	if (usual == NULL) {
		usual = g_new(double, 1);
		*usual = MAX(ms, 1);
		g_hash_table_insert(d->usual_ms, g_strdup(route), usual);
	}
	*usual += USUAL_SMOOTH * (MAX(ms, 1) - *usual);
	return 1;
}

void
dispatch_pace_ended(dispatch_pace_t *d, backend_t *b, pace_end_t end,
    const char *route, double took_ms, double load, msec_t now)
{
	pace_state_t before = b->pace.state;
	pace_change_t change;
	double ratio = 0;

	/* The requests before this one had to end first. */
	if (end == PACE_GOOD)
		ratio =
		    learn(d, b, route, took_ms / MAX(1, (load + 1) / b->slots));
	change = server_pace_ended(&b->pace, end, ratio, now);
	if (b->ejected_until != 0)
		server_pace_begin(&b->pace, now);
	report(d, b, before, change);
}
