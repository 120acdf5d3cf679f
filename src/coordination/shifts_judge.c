#include <string.h>

#include "coordination/shift_one.h"

/* Time of a window of the judgement. */
#define WINDOW_MS 500
/* For the store to answer before the same is written again. */
#define REWRITE_MS 1500

static void
report(shift_t *m, const char *host, uint64_t incarnation,
    const fleet_shift_t *told)
{
	judge_sample_t total[JUDGE_ROUTES_MAX][JUDGE_BANDS];
	guint i;

	memset(total, 0, sizeof(total));
	for (i = 0; i < FLEET_SHIFT_ROUTES; i++)
		total[i][0] = told->routes[i];
	judge_feed_report(&m->feed, host, incarnation,
	    (const judge_sample_t(*)[JUDGE_BANDS])total);
}

static const fleet_shift_t *
told_by(const fleet_host_t *h, const shift_t *m)
{
	guint i;

	for (i = 0; i < h->news.nshifts; i++) {
		if (h->news.shifts[i].service == m->own.service &&
		    h->news.shifts[i].to == m->own.to)
			return &h->news.shifts[i];
	}
	return NULL;
}

void
shifts_hear(shifts_t *s, const fleet_host_t *h)
{
	const fleet_shift_t *told;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->by_service);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		told = told_by(h, value);
		if (told != NULL)
			report(value, h->name, h->news.incarnation, told);
	}
}

static gboolean
is_over(const shift_t *m)
{
	return shift_target(m) == NULL ||
	    (shift_row_holds(m) && m->row.state != SHIFT_RUNNING);
}

void
shifts_tell(const shifts_t *s, fleet_news_t *news)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->by_service);
	while (news->nshifts < FLEET_SHIFTS_MAX &&
	    g_hash_table_iter_next(&it, NULL, &value)) {
		const shift_t *m = value;

		if (!is_over(m))
			news->shifts[news->nshifts++] = m->own;
	}
}

static void
sum_running(
    const shift_t *m, const fleet_t *f, msec_t now, guint *old, guint *fresh)
{
	const fleet_shift_t *told;
	guint i;

	*old = m->own.old_running;
	*fresh = m->own.fresh_running;
	for (i = 0; i < f->hosts->len; i++) {
		const fleet_host_t *h = g_ptr_array_index(f->hosts, i);

		told = fleet_is_heard(h, now) ? told_by(h, m) : NULL;
		if (told != NULL) {
			*old += told->old_running;
			*fresh += told->fresh_running;
		}
	}
}

static void
judge_on(shift_t *m, const fleet_t *f, msec_t now, msec_t store_now)
{
	shift_seen_t seen;
	guint old;

	if (now - m->window_at < WINDOW_MS)
		return;
	m->window_at = now;
	report(m, "", 0, &m->own);
	judge_feed_total(&m->feed, &seen.total);
	sum_running(m, f, now, &old, &seen.fresh_running);
	m->clear = version_shift_clear(
	    &seen, store_now - m->row.began, m->row.duration_ms);
	judge_feed_window(&m->feed, &m->judge);
	if (judge_verdict(&m->judge) == JUDGE_BAD)
		m->bad = TRUE;
}

static void
count_slots(
    const shift_t *m, const registry_t *r, shift_input_t *in, msec_t now)
{
	const registry_service_t *service = registry_service(r, m->service);
	guint i;

	for (i = 0; service != NULL && i < service->servers->len; i++) {
		const backend_t *b = g_ptr_array_index(service->servers, i);

		if (!backend_usable(b, now))
			continue;
		if (shift_is_fresh(m, b))
			in->fresh_slots += b->slots;
		else
			in->peer_slots += b->slots;
	}
}

static shift_decision_t
decide(const shift_t *m, const registry_t *r, const fleet_t *f, msec_t now,
    msec_t store_now)
{
	shift_input_t in = {
	    .elapsed_ms = store_now - m->row.began,
	    .duration_ms = m->row.duration_ms,
	    .verdict = m->bad ? JUDGE_BAD : JUDGE_WAIT,
	    .clear = m->clear,
	};
	guint fresh_running;

	count_slots(m, r, &in, now);
	sum_running(m, f, now, &in.old_running, &fresh_running);
	return version_shift_decide(&in);
}

/* Return: whether a row is due. */
static gboolean
next_row(const shift_t *m, const registry_t *r, const fleet_t *f, msec_t now,
    msec_t store_now, shift_row_t *row)
{
	if (m->to != NULL && !shift_row_holds(m)) {
		*row = (shift_row_t){
		    .to = m->to,
		    .began = store_now,
		    .duration_ms = m->duration_ms,
		    .state = SHIFT_RUNNING,
		};
		return TRUE;
	}
	if (is_over(m))
		return FALSE;
	*row = m->row;
	switch (decide(m, r, f, now, store_now)) {
	case SHIFT_COMPLETE:
		row->state = SHIFT_COMPLETED;
		return TRUE;
	case SHIFT_TAKE_BACK:
		row->state = SHIFT_ROLLED_BACK;
		return TRUE;
	case SHIFT_GO_ON:
		break;
	}
	return FALSE;
}

void
shifts_tick(shifts_t *s, const registry_t *r, const fleet_t *f, msec_t now,
    msec_t store_now, GArray *writes)
{
	shift_write_t write;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->by_service);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		shift_t *m = value;

		memset(&write, 0, sizeof(write));
		if (!is_over(m) && shift_row_holds(m))
			judge_on(m, f, now, store_now);
		if (!next_row(m, r, f, now, store_now, &write.row)) {
			m->due_since = 0;
			continue;
		}
		if (m->due_since == 0)
			m->due_since = now;
		if (now < version_shift_acts_at(
			      m->due_since, fleet_rank(f, now)) ||
		    (m->written_at != 0 && now - m->written_at < REWRITE_MS))
			continue;
		m->written_at = now;
		write.service = m->service;
		write.expected = m->has_row ? m->row_ver : 0;
		write.verdict = judge_verdict(&m->judge);
		g_array_append_val(writes, write);
	}
}
