#include <string.h>

#include "host/move_duty.h"
#include "host/moves.h"

/* An answer is slow if it takes more than this many typical times of its
 * service. */
#define SLOW_FACTOR 4

static msec_t
slow_ms(const service_t *s)
{
	return s->typical_ms > 0 ? (msec_t)s->typical_ms * SLOW_FACTOR
				 : (msec_t)s->timeout_ms / SLOW_FACTOR;
}

static move_count_t *
count_of(const host_t *h, const char *move, const char *route)
{
	GHashTable *routes = g_hash_table_lookup(h->moves->counts, move);
	move_count_t *count;

	if (routes == NULL) {
		routes = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free);
		g_hash_table_insert(h->moves->counts, g_strdup(move), routes);
	}
	count = g_hash_table_lookup(routes, route);
	if (count == NULL) {
		count = g_new0(move_count_t, 1);
		g_hash_table_insert(routes, g_strdup(route), count);
	}
	return count;
}

static void
count_one(judge_count_t *n, outcome_t outcome, gboolean slow)
{
	n->requests++;
	if (outcome != OUTCOME_OK)
		n->bad[JUDGE_ERRORS]++;
	if (slow)
		n->bad[JUDGE_SLOW]++;
}

static void
count_for(const host_t *h, const move_row_t *row, const char *route,
    const endpoint_t *e, const move_try_t *t)
{
	judge_sample_t *sample;
	gboolean slow;

	if (row->kind != MOVE_ROLLOUT || row->state != MOVE_RUNNING ||
	    strcmp(row->service,
		catalog_service(&h->catalog, e->service)->name) != 0)
		return;
	slow =
	    t->latency_ms > slow_ms(catalog_service(&h->catalog, e->service));
	sample = &count_of(h, row->id, route)->bands[t->band];
	if (strcmp(e->version, row->to) == 0)
		count_one(&sample->new_version, t->outcome, slow);
	else if (strcmp(e->version, row->from) == 0)
		count_one(&sample->old_version, t->outcome, slow);
}

void
moves_count(const proxy_request_t *pr, outcome_t outcome, msec_t latency_ms)
{
	const host_t *h = pr->host;
	const GArray *moves = h->moves->in_force.moves;
	const move_try_t t = {outcome, latency_ms, pr->band};
	endpoint_id_t id =
	    catalog_find_endpoint(&h->catalog, g_quark_to_string(pr->endpoint));
	const endpoint_t *e;
	const route_t *r;
	char *route;
	guint i;

	/* A cancelled or shed attempt says nothing about the version. */
	if (outcome == OUTCOME_CANCELLED || outcome == OUTCOME_SHED ||
	    id == ID_NONE || moves->len == 0)
		return;
	e = catalog_endpoint(&h->catalog, id);
	r = catalog_route(
	    &h->catalog, e->service, pr->request.method_name, pr->request.path);
	if (r == NULL)
		return;
	route = move_route_name(r);
	for (i = 0; i < moves->len; i++)
		count_for(h, &g_array_index(moves, move_local_t, i).row, route,
		    e, &t);
	g_free(route);
}

char *
move_route_name(const route_t *r)
{
	char *name = g_strconcat(r->method, " ", r->prefix, NULL);

	if (strlen(name) > RPC_NAME_MAX)
		name[RPC_NAME_MAX] = '\0';
	return name;
}

static rpc_version_count_t
rpc_count(const judge_count_t *n)
{
	return (rpc_version_count_t){
	    n->requests, n->bad[JUDGE_ERRORS], n->bad[JUDGE_SLOW]};
}

static judge_count_t
judge_count(const rpc_version_count_t *n)
{
	return (judge_count_t){n->requests, {n->errors, n->slow}};
}

typedef void (*count_fn_t)(void *arg, const char *move, const char *route,
    unsigned int band, const judge_sample_t *total);

static void
each_count(const host_t *h, count_fn_t fn, void *arg)
{
	GHashTableIter moves, routes;
	gpointer move, table, route, count;
	unsigned int band;

	g_hash_table_iter_init(&moves, h->moves->counts);
	while (g_hash_table_iter_next(&moves, &move, &table)) {
		g_hash_table_iter_init(&routes, table);
		while (g_hash_table_iter_next(&routes, &route, &count)) {
			for (band = 0; band < JUDGE_BANDS; band++)
				fn(arg, move, route, band,
				    &((move_count_t *)count)->bands[band]);
		}
	}
}

static void
add_count(void *arg, const char *move, const char *route, unsigned int band,
    const judge_sample_t *total)
{
	heartbeat_t *b = arg;
	const rpc_move_count_t row = {(char *)(uintptr_t)move,
	    (char *)(uintptr_t)route, band, rpc_count(&total->new_version),
	    rpc_count(&total->old_version)};

	if (row.new_version.requests + row.old_version.requests > 0 &&
	    b->counts->len < RPC_COUNTS_MAX)
		g_array_append_val(b->counts, row);
}

static void
add_steps(const host_t *h, heartbeat_t *b, gboolean final)
{
	const GArray *moves = h->moves->in_force.moves;
	rpc_move_step_t step;
	move_local_t *l;
	guint i;

	for (i = moves->len; i > 0 && b->moves->len < RPC_MOVES_MAX; i--) {
		l = &g_array_index(moves, move_local_t, i - 1);
		step.move = l->row.id;
		step.step = l->row.step;
		step.stopped = l->stopped;
		if (move_is_final(&l->row) == final)
			g_array_append_val(b->moves, step);
	}
}

void
moves_fill_heartbeat(const host_t *h, heartbeat_t *b)
{
	const duty_t *duty = h->moves->duty;
	rpc_lease_t lease;

	/* A heartbeat may not hold all moves: running moves go first, and
	 * newer ones before older ones. */
	add_steps(h, b, FALSE);
	add_steps(h, b, TRUE);
	if (duty != NULL && duty_held(duty, clock_now())) {
		lease.name = duty->name;
		lease.epoch = lease_epoch(&duty->lease);
		g_array_append_val(b->leases, lease);
	}
	each_count(h, add_count, b);
}

static gboolean
holds_duty(const rpc_heartbeat_t *beat)
{
	u_int i;

	for (i = 0; i < beat->leases.leases_len; i++) {
		if (strcmp(beat->leases.leases_val[i].name, MOVES_DUTY) == 0)
			return TRUE;
	}
	return FALSE;
}

void
moves_on_heartbeat(host_t *h, const rpc_heartbeat_t *beat, msec_t sent_at)
{
	move_host_t *m = &h->moves->in_force;
	const rpc_move_count_t *c;
	const rpc_move_step_t *step;
	judge_sample_t sample;
	u_int i;

	for (i = 0; i < beat->moves.moves_len; i++) {
		step = &beat->moves.moves_val[i];
		if (step->stopped)
			move_host_stop(m, step->move, MOVE_STOP_BY_HOST, 0);
	}
	if (sent_at != MOVES_UNSOLICITED && holds_duty(beat))
		move_host_note_contact(m, sent_at);
	for (i = 0; i < beat->counts.counts_len; i++) {
		c = &beat->counts.counts_val[i];
		sample.new_version = judge_count(&c->new_version);
		sample.old_version = judge_count(&c->old_version);
		if (c->band < JUDGE_BANDS)
			move_duty_on_counts(h, beat->host.id,
			    beat->host.incarnation, c->move, c->route, c->band,
			    &sample);
	}
}

static void
pass_own_count(void *arg, const char *move, const char *route,
    unsigned int band, const judge_sample_t *total)
{
	host_t *h = arg;

	move_duty_on_counts(
	    h, h->settings.id, h->incarnation, move, route, band, total);
}

void
moves_count_own(host_t *h)
{
	each_count(h, pass_own_count, h);
}
