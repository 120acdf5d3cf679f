#include <string.h>

#include "coordination/move_host.h"

void
move_host_init(move_host_t *h)
{
	h->moves = g_array_new(FALSE, TRUE, sizeof(move_local_t));
	h->contact_at = INT64_MIN / 2;
}

void
move_host_finish(move_host_t *h)
{
	g_array_free(h->moves, TRUE);
	h->moves = NULL;
}

static move_local_t *
local_at(const move_host_t *h, guint i)
{
	return &g_array_index(h->moves, move_local_t, i);
}

static move_local_t *
find(const move_host_t *h, const char *id)
{
	guint i;

	for (i = 0; i < h->moves->len; i++) {
		if (strcmp(local_at(h, i)->row.id, id) == 0)
			return local_at(h, i);
	}
	return NULL;
}

static gboolean
created_before(const move_row_t *a, const move_row_t *b)
{
	if (a->created_wall != b->created_wall)
		return a->created_wall < b->created_wall;
	return strcmp(a->id, b->id) < 0;
}

static void
insert(move_host_t *h, const move_row_t *row, gboolean stopped)
{
	move_local_t new_move = {.row = *row, .stopped = stopped};
	guint at = 0;

	while (at < h->moves->len && created_before(&local_at(h, at)->row, row))
		at++;
	g_array_insert_val(h->moves, at, new_move);
}

/* Whether a stop stays in force under a new row. */
static gboolean
stays_stopped(const move_local_t *l, const move_row_t *row)
{
	return l->stopped && row->kind == MOVE_ROLLOUT &&
	    row->state != MOVE_DONE;
}

gboolean
move_host_apply(move_host_t *h, const move_row_t *row)
{
	move_local_t *l = find(h, row->id);
	gboolean stopped;

	if (l == NULL) {
		insert(h, row, FALSE);
		return TRUE;
	}
	if (row->step <= l->row.step)
		return FALSE;
	stopped = stays_stopped(l, row);
	if (l->row.step == 0) {
		/* Its creation time, and so its position, is known only now. */
		g_array_remove_index(h->moves, (guint)(l - local_at(h, 0)));
		insert(h, row, stopped);
		return TRUE;
	}
	l->row = *row;
	l->stopped = stopped;
	return TRUE;
}

static gboolean
may_stop(const move_local_t *l, move_stop_t by, uint64_t epoch)
{
	if (l->row.step == 0)
		return TRUE;
	if (l->row.kind != MOVE_ROLLOUT || l->row.state == MOVE_DONE)
		return FALSE;
	if (by == MOVE_STOP_ORDERED)
		return epoch >= l->row.epoch;
	return l->row.share < l->row.goal;
}

void
move_host_stop(move_host_t *h, const char *id, move_stop_t by, uint64_t epoch)
{
	move_local_t *l = find(h, id);
	move_row_t unknown = {0};

	if (l == NULL) {
		if (h->moves->len >= MOVE_LOCAL_MAX)
			return;
		g_strlcpy(unknown.id, id, sizeof(unknown.id));
		insert(h, &unknown, TRUE);
		return;
	}
	if (may_stop(l, by, epoch))
		l->stopped = TRUE;
}

void
move_host_forget(move_host_t *h, const char *id)
{
	move_local_t *l = find(h, id);

	if (l != NULL && l->row.step > 0 && l->row.state == MOVE_TAKEN_BACK)
		g_array_remove_index(h->moves, (guint)(l - local_at(h, 0)));
}

gboolean
move_host_stopped(const move_host_t *h, const char *id)
{
	const move_local_t *l = find(h, id);

	return l != NULL && l->stopped;
}

uint32_t
move_host_step(const move_host_t *h, const char *id)
{
	const move_local_t *l = find(h, id);

	return l != NULL ? l->row.step : 0;
}

void
move_host_note_contact(move_host_t *h, msec_t basis)
{
	if (basis > h->contact_at)
		h->contact_at = basis;
}

static share_t
share_here(const move_host_t *h, const move_local_t *l, msec_t now)
{
	gboolean unproven = l->row.kind == MOVE_ROLLOUT && !l->row.proven &&
	    l->row.state == MOVE_RUNNING;

	if (l->stopped)
		return 0;
	if (unproven && now - h->contact_at >= MOVE_CONTACT_MAX_AGE_MS)
		return 0;
	return move_share(&l->row);
}

void
move_weights(const move_host_t *h, const char *service, msec_t now, GArray *out)
{
	const move_local_t *l;
	move_weight_t w;
	guint i;

	for (i = 0; i < h->moves->len; i++) {
		l = local_at(h, i);
		if (strcmp(l->row.service, "*") != 0 &&
		    strcmp(l->row.service, service) != 0)
			continue;
		w = (move_weight_t){.scope = l->row.scope,
		    .id = l->row.id,
		    .from = l->row.from,
		    .to = l->row.to,
		    .share = share_here(h, l, now)};
		if (w.share > 0)
			g_array_append_val(out, w);
	}
}
