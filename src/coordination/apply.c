#include <string.h>

#include "coordination/apply.h"

static void
emit(const apply_t *a, apply_action_kind_t kind, GArray *out)
{
	apply_action_t action = {.kind = kind, .id = a->id};

	if (kind == APPLY_REPORT)
		action.u.state = a->state;
	else
		action.u.attempt = a->commit.attempt;
	g_array_append_val(out, action);
}

static void
report(apply_t *a, apply_state_t state, GArray *out)
{
	if (a->state == state)
		return;
	a->state = state;
	emit(a, APPLY_REPORT, out);
}

static apply_state_t
state_of_commit(const commit_t *c)
{
	switch (c->state) {
	case COMMIT_RUNNING:
	case COMMIT_WAITING:
		return APPLY_WRITING;
	case COMMIT_UNKNOWN:
		return APPLY_UNKNOWN;
	case COMMIT_ACCEPTED:
		return APPLY_ACCEPTED;
	case COMMIT_CONFLICT:
		return APPLY_CONFLICT;
	case COMMIT_FAILED:
		return APPLY_FAILED;
	}
	return APPLY_UNKNOWN;
}

static void
follow(apply_t *a, commit_action_t action, GArray *out)
{
	if (action == COMMIT_WRITE)
		emit(a, APPLY_WRITE, out);
	else if (action == COMMIT_READ)
		emit(a, APPLY_READ, out);
	if (a->state != APPLY_IN_FORCE)
		report(a, state_of_commit(&a->commit), out);
}

static void
upload(apply_t *a, GArray *out)
{
	a->uploading = TRUE;
	emit(a, APPLY_PUT, out);
}

void
apply_begin(apply_t *a, uint32_t id, uint64_t base, const digest_t *digest,
    uint64_t token, msec_t now, GArray *out)
{
	memset(a, 0, sizeof(*a));
	a->id = id;
	a->base = base;
	a->version = base + 1;
	a->digest = *digest;
	a->token = token;
	a->give_up_at = now + APPLY_GIVE_UP_MS;
	upload(a, out);
}

void
apply_put_done(apply_t *a, gboolean stored, msec_t now, GArray *out)
{
	if (a->uploaded || !a->uploading)
		return;
	a->uploading = FALSE;
	a->uploaded = stored;
	if (stored)
		follow(a, commit_begin(&a->commit, a->give_up_at), out);
	else if (now >= a->give_up_at)
		report(a, APPLY_FAILED, out);
	else
		a->upload_at = now + APPLY_PUT_RETRY_MS;
}

void
apply_written(apply_t *a, uint32_t attempt, write_result_t result, msec_t now,
    GArray *out)
{
	follow(a, commit_written(&a->commit, attempt, result, a->version, now),
	    out);
}

/*
 * The row of version base + 1 never changes once it exists. Its token therefore
 * decides, also if later versions exist.
 */
static commit_target_t
place_of(const apply_t *a, const apply_rows_t *rows)
{
	if (rows == NULL)
		return COMMIT_TARGET_UNREAD;
	if (rows->taken)
		return rows->token == a->token ? COMMIT_TARGET_OURS
					       : COMMIT_TARGET_OTHERS;
	return COMMIT_TARGET_UNCHANGED;
}

void
apply_read(apply_t *a, uint32_t attempt, const apply_rows_t *rows, msec_t now,
    GArray *out)
{
	if (rows != NULL)
		a->head_version = rows->head;
	follow(a,
	    commit_read(
		&a->commit, attempt, place_of(a, rows), a->version, now),
	    out);
}

static void
upload_tick(apply_t *a, msec_t now, GArray *out)
{
	if (a->uploading || now < a->upload_at)
		return;
	if (now >= a->give_up_at)
		report(a, APPLY_FAILED, out);
	else
		upload(a, out);
}

void
apply_tick(apply_t *a, guint in_force, guint hosts, msec_t now, GArray *out)
{
	if (a->state == APPLY_FAILED)
		return;
	if (!a->uploaded) {
		upload_tick(a, now, out);
		return;
	}
	follow(a, commit_tick(&a->commit, now), out);
	a->hosts = hosts;
	a->hosts_in_force = in_force;
	if (a->state == APPLY_ACCEPTED && in_force == hosts)
		report(a, APPLY_IN_FORCE, out);
}

const char *
apply_state_name(apply_state_t state)
{
	switch (state) {
	case APPLY_WRITING:
		return "writing";
	case APPLY_UNKNOWN:
		return "unknown";
	case APPLY_ACCEPTED:
		return "accepted";
	case APPLY_IN_FORCE:
		return "in force";
	case APPLY_CONFLICT:
		return "conflict";
	case APPLY_FAILED:
		return "failed";
	}
	return "unknown";
}
