#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "host/fenced.h"
#include "host/move_duty.h"
#include "protocol/move_json.h"

/* While a call is under way, its callback frees the move; see end_wait(). */
static void
held_free(move_held_t *held)
{
	held->forgotten = TRUE;
	if (held->waiting)
		return;
	judge_feed_finish(&held->feed);
	g_ptr_array_free(held->routes, TRUE);
	g_free(held);
}

void
move_duty_drop(host_t *h)
{
	GPtrArray *all = h->moves->held;
	guint i;

	for (i = 0; i < all->len; i++)
		held_free(g_ptr_array_index(all, i));
	g_ptr_array_set_size(all, 0);
}

static move_held_t *
find(const host_t *h, const char *id)
{
	move_held_t *held;
	guint i;

	for (i = 0; i < h->moves->held->len; i++) {
		held = g_ptr_array_index(h->moves->held, i);
		if (strcmp(held->m.row.id, id) == 0)
			return held;
	}
	return NULL;
}

const move_held_t *
move_duty_find(const host_t *h, const char *id)
{
	return find(h, id);
}

/* Numbers the service's routes; the judge knows a route by its number. */
static void
start_judging(move_held_t *held)
{
	const catalog_t *c = &held->host->catalog;
	const move_row_t *row = &held->m.row;
	service_id_t service = catalog_find_service(c, row->service);
	int64_t window = row->deadline_wall - row->created_wall;
	const route_t *r;
	guint i;

	for (i = 0; i < c->routes->len; i++) {
		r = CATALOG_ROW(c, routes, route_t, i);
		if (r->service == service &&
		    held->routes->len < JUDGE_ROUTES_MAX)
			g_ptr_array_add(held->routes, move_route_name(r));
	}
	judge_feed_init(&held->feed, held->routes->len);
	judge_init(&held->judge, held->routes->len,
	    (uint32_t)MAX(window / MOVE_WINDOW_MS, 1), MOVE_JUDGE_ALPHA);
}

static void
hold_row(host_t *h, const move_row_t *row, uint64_t version, msec_t now)
{
	move_held_t *held = g_new0(move_held_t, 1);

	held->host = h;
	held->routes = g_ptr_array_new_with_free_func(g_free);
	move_holder_init(&held->m, row, version, now);
	held->judged_share = row->share;
	held->step_at = now;
	start_judging(held);
	g_ptr_array_add(h->moves->held, held);
}

static char *
store_key(const char *id)
{
	return g_strconcat(ROWS_MOVE, id, NULL);
}

static void
hold_by_id(host_t *h, const char *id, msec_t now)
{
	char *key = store_key(id);
	const mirror_row_t *row = mirror_get(&h->mirror, key);
	move_row_t value;

	/* An outdated row is harmless: writes check its version. */
	if (row != NULL && move_json_decode(row->value, &value, NULL) &&
	    !move_is_final(&value))
		hold_row(h, &value, row->version, now);
	g_free(key);
}

static void
hold_rows(host_t *h, msec_t now)
{
	const GArray *moves = h->moves->in_force.moves;
	const move_row_t *row;
	guint i;

	for (i = 0; i < moves->len; i++) {
		row = &g_array_index(moves, move_local_t, i).row;
		if (row->step > 0 && !move_is_final(row) &&
		    find(h, row->id) == NULL)
			hold_by_id(h, row->id, now);
	}
}

void
move_duty_on_counts(host_t *h, const char *host, uint64_t incarnation,
    const char *move, const char *route, unsigned int band,
    const judge_sample_t *total)
{
	judge_sample_t totals[JUDGE_ROUTES_MAX][JUDGE_BANDS] = {0};
	move_held_t *held = find(h, move);
	guint i;

	if (held == NULL)
		return;
	for (i = 0; i < held->routes->len; i++) {
		if (strcmp(g_ptr_array_index(held->routes, i), route) == 0)
			break;
	}
	if (i == held->routes->len)
		return;
	totals[i][band] = *total;
	judge_feed_report(&held->feed, host, incarnation,
	    (const judge_sample_t(*)[JUDGE_BANDS])totals);
}

/* Return: whether the move was dropped while the call was under way. */
static gboolean
end_wait(move_held_t *held)
{
	held->waiting = FALSE;
	if (!held->forgotten)
		return FALSE;
	held_free(held);
	return TRUE;
}

static void
on_read(void *arg, const store_result_t *result, const GError *err)
{
	move_held_t *held = arg;
	move_row_t row;
	gboolean ok;

	if (end_wait(held))
		return;
	ok = err == NULL && result->u.row.value != NULL &&
	    move_json_decode(result->u.row.value, &row, NULL);
	move_holder_read(&held->m, ok ? &row : NULL,
	    ok ? result->u.row.version : 0, clock_now());
	if (ok)
		moves_apply(held->host, &row);
}

static move_result_t
result_of(write_result_t result)
{
	switch (result) {
	case WRITE_WON:
		return MOVE_WON;
	case WRITE_CONFLICT:
	case WRITE_FENCED:
	case WRITE_UNREACHABLE:
		return MOVE_CONFLICT;
	case WRITE_LOST:
		break;
	}
	return MOVE_LOST;
}

static void
on_committed(void *arg, write_result_t result, uint64_t version)
{
	move_held_t *held = arg;
	const move_row_t *row = &held->action.row;
	msec_t now = clock_now();

	if (end_wait(held))
		return;
	move_holder_answered(
	    &held->m, &held->action, result_of(result), version, now);
	if (result != WRITE_WON)
		return;
	moves_apply(held->host, row);
	mirror_scan(&held->host->mirror);
	log_event(LOG_INFO, "move.commit", "move", row->id, "step",
	    log_num(row->step), "share", log_num(row->share), "state",
	    move_state_name(row->state), "reason",
	    move_reason_name(row->reason), NULL);
	if (row->share != held->judged_share) {
		judge_step(&held->judge);
		held->step_at = now;
	}
	held->judged_share = row->share;
}

static void
commit(move_held_t *held)
{
	host_t *h = held->host;
	char *key = store_key(held->action.row.id);
	char *text = move_json_encode(&held->action.row);
	const store_check_t checks[] = {
	    {key, held->action.check_version},
	    {ROWS_FENCE MOVES_DUTY, lease_fence(&h->moves->duty->lease)},
	};
	const store_write_t write = {key, text};

	held->waiting = TRUE;
	fenced_write(
	    h, checks, G_N_ELEMENTS(checks), &write, 1, on_committed, held);
	free(text);
	g_free(key);
}

static void
read_row(move_held_t *held)
{
	char *key = store_key(held->m.row.id);

	held->waiting = TRUE;
	store_get(&held->host->store, key, on_read, held);
	g_free(key);
}

static void
stop_version(const move_held_t *held)
{
	const move_row_t *row = &held->action.row;

	log_event(LOG_WARN, "move.stop", "move", row->id, "service",
	    row->service, "version", row->to, NULL);
	move_host_stop(&held->host->moves->in_force, row->id, MOVE_STOP_ORDERED,
	    row->epoch);
}

static void
report(const move_held_t *held)
{
	const move_row_t *row = &held->action.row;

	log_event(LOG_INFO, "move.ended", "move", row->id, "kind",
	    move_kind_name(row->kind), "state", move_state_name(row->state),
	    "reason", move_reason_name(row->reason), "late",
	    row->late ? "yes" : "no", NULL);
}

/* Logs each change of what a move waits for, so that the log shows later why
 * the move did not advance. */
static void
log_wait(move_held_t *held)
{
	if (held->m.wait == held->logged_wait)
		return;
	held->logged_wait = held->m.wait;
	log_event(LOG_INFO, "move.waits", "move", held->m.row.id, "for",
	    move_wait_name(held->m.wait), "step", log_num(held->m.row.step),
	    NULL);
}

static void
advance(move_held_t *held)
{
	move_action_t action;

	if (held->waiting || held->m.reported)
		return;
	action = move_held_decide(held);
	held->action = action;
	log_wait(held);
	switch (action.act) {
	case MOVE_ACT_NONE:
		break;
	case MOVE_ACT_READ:
		read_row(held);
		break;
	case MOVE_ACT_COMMIT:
		commit(held);
		break;
	case MOVE_ACT_STOP:
		stop_version(held);
		break;
	case MOVE_ACT_REPORT:
		report(held);
		break;
	}
}

static void
close_windows(host_t *h, msec_t now)
{
	move_held_t *held;
	guint i;

	if (now < h->moves->window_at)
		return;
	h->moves->window_at = now + MOVE_WINDOW_MS;
	moves_count_own(h);
	for (i = 0; i < h->moves->held->len; i++) {
		held = g_ptr_array_index(h->moves->held, i);
		if (held->m.row.kind == MOVE_ROLLOUT)
			judge_feed_window(&held->feed, &held->judge);
	}
}

void
move_duty_tick(host_t *h, msec_t now)
{
	moves_t *m = h->moves;
	uint64_t epoch;
	guint i;

	if (m->duty == NULL || !duty_held(m->duty, now)) {
		move_duty_drop(h);
		m->epoch = 0;
		return;
	}
	epoch = lease_epoch(&m->duty->lease);
	if (epoch != m->epoch)
		move_duty_drop(h);
	m->epoch = epoch;
	move_host_note_contact(&m->in_force, now);
	hold_rows(h, now);
	close_windows(h, now);
	for (i = 0; i < m->held->len; i++)
		advance(g_ptr_array_index(m->held, i));
}
