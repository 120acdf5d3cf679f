#include <string.h>

#include "base/error.h"
#include "coordination/move_admit.h"

static share_t
share_of(double part)
{
	/* Adds less than a unit, so that 0.3 is not rounded down to 2999. */
	return (share_t)(part * SHARE_ONE + 1e-6);
}

static gboolean
same_or_all(const char *a, const char *b)
{
	return strcmp(a, b) == 0 || strcmp(a, "*") == 0 || strcmp(b, "*") == 0;
}

static gboolean
conflicts(const move_row_t *row, const move_request_t *r)
{
	if (move_is_final(row))
		return FALSE;
	if ((row->scope == MOVE_HOST) != (r->scope == MOVE_HOST))
		return FALSE;
	return same_or_all(row->service, r->service);
}

static gboolean
name_fits(
    const char *step, const char *name, gboolean may_be_empty, GError **err)
{
	size_t len = name != NULL ? strlen(name) : 0;

	if (len < MOVE_NAME_MAX && (len > 0 || may_be_empty))
		return TRUE;
	error_set(err, ERROR_INVALID, step, "-",
	    "a name must have 1 to %d characters, this one has %zu",
	    MOVE_NAME_MAX - 1, len);
	return FALSE;
}

static gboolean
well_formed(const move_request_t *r, const caps_t *caps, GError **err)
{
	gboolean drain = r->kind == MOVE_DRAIN;

	if (!name_fits("move.id", r->id, FALSE, err) ||
	    !name_fits("move.service", r->service, FALSE, err) ||
	    !name_fits("move.from", r->from, FALSE, err) ||
	    !name_fits("move.to", r->to, drain, err))
		return FALSE;
	if (r->to != NULL && strcmp(r->from, r->to) == 0) {
		error_set(err, ERROR_INVALID, "move.to", "-",
		    "the two ends of a move must differ, both are %s", r->to);
		return FALSE;
	}
	if (!drain && strcmp(r->service, "*") == 0) {
		error_set(err, ERROR_INVALID, "move.service", "-",
		    "a %s must name one service, not all",
		    move_kind_name(r->kind));
		return FALSE;
	}
	if (r->kind == MOVE_SHIFT &&
	    (r->goal == 0 || r->goal > share_of(caps->shift_cap))) {
		error_set(err, ERROR_INVALID, "move.share", "-",
		    "share %u of %d must be from 1 to the cap of %u", r->goal,
		    SHARE_ONE, share_of(caps->shift_cap));
		return FALSE;
	}
	return TRUE;
}

static void
row_init(move_row_t *row, const move_request_t *r, const caps_t *caps,
    int64_t wall_now)
{
	uint32_t within = r->within_sec;

	memset(row, 0, sizeof(*row));
	g_strlcpy(row->id, r->id, sizeof(row->id));
	g_strlcpy(row->service, r->service, sizeof(row->service));
	g_strlcpy(row->from, r->from, sizeof(row->from));
	g_strlcpy(row->to, r->to != NULL ? r->to : "", sizeof(row->to));
	row->kind = r->kind;
	row->scope = r->scope;
	row->step = 1;
	row->goal = r->kind == MOVE_SHIFT ? r->goal : SHARE_ONE;
	row->cap =
	    r->kind == MOVE_ROLLOUT ? share_of(caps->rollout_cap) : row->goal;
	row->step_cap = share_of(caps->shift_cap);
	row->state = MOVE_RUNNING;
	row->created_wall = wall_now;
	if (within == 0 && r->kind == MOVE_ROLLOUT)
		within = caps->rollout_sec;
	if (within > 0)
		row->deadline_wall = wall_now + (int64_t)within * MSEC_PER_SEC;
}

gboolean
move_admit(const GArray *rows, const move_request_t *request,
    const caps_t *caps, int64_t wall_now, move_row_t *row, gboolean *existing,
    GError **err)
{
	const move_row_t *other;
	guint i;

	*existing = FALSE;
	if (!well_formed(request, caps, err))
		return FALSE;
	for (i = 0; i < rows->len; i++) {
		other = &g_array_index(rows, move_row_t, i);
		if (strcmp(other->id, request->id) == 0) {
			*row = *other;
			*existing = TRUE;
			return TRUE;
		}
	}
	for (i = 0; i < rows->len; i++) {
		other = &g_array_index(rows, move_row_t, i);
		if (!conflicts(other, request))
			continue;
		error_set(err, ERROR_CONFLICT, "move.start", "-",
		    "move %s of %s is under way", other->id, other->service);
		return FALSE;
	}
	row_init(row, request, caps, wall_now);
	return TRUE;
}
