#include "host/move_duty.h"
#include "host/move_measure.h"

static move_report_t
reported_by(const peer_t *peer, const char *id)
{
	move_report_t r = {.heard_at = peer->heard_at};
	const peer_step_t *step;
	guint i;

	for (i = 0; i < peer->steps->len; i++) {
		step = &g_array_index(peer->steps, peer_step_t, i);
		if (step->move != g_quark_try_string(id))
			continue;
		r.confirmed = step->step;
		r.stopped = step->stopped;
	}
	return r;
}

/* What all hosts of the roster have reported about the move. */
static GArray *
reports_of(const host_t *h, const char *id, msec_t now)
{
	GArray *all = g_array_new(FALSE, TRUE, sizeof(move_report_t));
	const roster_host_t *row;
	const peer_t *peer;
	move_report_t r;
	guint i;

	for (i = 0; i < h->roster.hosts->len; i++) {
		row = roster_host(&h->roster, (host_id_t)i);
		if (row->state == HOST_GONE)
			continue;
		r = (move_report_t){.heard_at = INT64_MIN / 2};
		peer = peers_get(h, row->name);
		if (i == h->roster.self) {
			r.heard_at = now;
			r.confirmed = move_host_step(&h->moves->in_force, id);
			r.stopped = move_host_stopped(&h->moves->in_force, id);
		} else if (peer != NULL &&
		    peer->heard_incarnation == row->incarnation) {
			r = reported_by(peer, id);
		}
		g_array_append_val(all, r);
	}
	return all;
}

static msec_t
settle_ms(const host_t *h, const move_row_t *row)
{
	switch (row->scope) {
	case MOVE_REGION:
	case MOVE_HOST:
		return (msec_t)h->catalog.caps.lookup_ttl_sec * MSEC_PER_SEC;
	case MOVE_DOMAIN:
	case MOVE_ENDPOINT:
	case MOVE_VERSION:
		break;
	}
	return EXCHANGE_PERIOD_MS;
}

static msec_t
sample_ms(const move_held_t *held, msec_t now)
{
	if (held->judge.step_requests == 0)
		return 0;
	return (now - held->step_at) * JUDGE_MIN_STEP_REQUESTS /
	    held->judge.step_requests;
}

static gboolean
is_cancelled(const host_t *h, const char *id)
{
	char *key = g_strconcat(ROWS_MOVE_CANCEL, id, NULL);
	gboolean found = mirror_get(&h->mirror, key) != NULL;

	g_free(key);
	return found;
}

move_action_t
move_held_decide(move_held_t *held)
{
	host_t *h = held->host;
	msec_t now = clock_now();
	GArray *reports = reports_of(h, held->m.row.id, now);
	const move_input_t in = {
	    .now = now,
	    .wall_now = clock_wall(),
	    .held = duty_held(h->moves->duty, now),
	    .epoch = h->moves->epoch,
	    .members_known = roster_eligible(&h->roster, now),
	    .reports = (const move_report_t *)(void *)reports->data,
	    .n_reports = reports->len,
	    .room = move_measure(h, &held->m.row, now),
	    .verdict = judge_verdict(&held->judge),
	    .lacks_load = judge_lacks_load(&held->judge),
	    .sample_ms = sample_ms(held, now),
	    .cancelled = is_cancelled(h, held->m.row.id),
	    .settle_ms = settle_ms(h, &held->m.row),
	};
	move_action_t action = move_holder_tick(&held->m, &in);

	g_array_free(reports, TRUE);
	return action;
}
