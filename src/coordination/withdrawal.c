#include <string.h>

#include "coordination/withdrawal.h"

static withdrawal_peer_t *
peer_at(const withdrawal_t *w, guint i)
{
	return &g_array_index(w->peers, withdrawal_peer_t, i);
}

static withdrawal_peer_t *
peer_find(const withdrawal_t *w, replica_t replica)
{
	guint i;

	for (i = 0; i < w->peers->len; i++) {
		if (replica_equal(peer_at(w, i)->replica, replica))
			return peer_at(w, i);
	}
	return NULL;
}

static void
notify(const withdrawal_t *w, replica_t replica, GArray *out)
{
	withdrawal_action_t a = {.kind = WITHDRAWAL_NOTIFY, .id = w->id};

	a.u.notify = replica;
	g_array_append_val(out, a);
}

/* Adds the hosts that are new in the view, and notifies them. */
static void
add_new_peers(withdrawal_t *w, const roster_view_t *view, GArray *out)
{
	withdrawal_peer_t p = {{0, 0}, FALSE};
	guint i;

	for (i = 0; i < view->replicas->len; i++) {
		p.replica = g_array_index(view->replicas, replica_t, i);
		if (peer_find(w, p.replica) != NULL)
			continue;
		g_array_append_val(w->peers, p);
		notify(w, p.replica, out);
	}
}

static void
notify_unconfirmed(withdrawal_t *w, msec_t now, GArray *out)
{
	guint i;

	if (now < w->notify_at)
		return;
	w->notify_at = now + WITHDRAWAL_NOTIFY_RETRY_MS;
	for (i = 0; i < w->peers->len; i++) {
		if (!peer_at(w, i)->confirmed)
			notify(w, peer_at(w, i)->replica, out);
	}
}

static void
report(withdrawal_t *w, withdrawal_state_t state, GArray *out)
{
	withdrawal_action_t a = {.kind = WITHDRAWAL_REPORT, .id = w->id};

	if (w->state == state)
		return;
	w->state = state;
	a.u.state = state;
	g_array_append_val(out, a);
}

static withdrawal_state_t
state_of_commit(const commit_t *c)
{
	switch (c->state) {
	case COMMIT_RUNNING:
		return WITHDRAWAL_WRITING;
	case COMMIT_UNKNOWN:
		return WITHDRAWAL_UNKNOWN;
	case COMMIT_WAITING:
		return WITHDRAWAL_UNAVAILABLE;
	case COMMIT_ACCEPTED:
		return WITHDRAWAL_ACCEPTED;
	case COMMIT_CONFLICT:
	case COMMIT_FAILED:
		return WITHDRAWAL_FENCED;
	}
	return WITHDRAWAL_UNKNOWN;
}

static void
apply_commit_action(withdrawal_t *w, commit_action_t action, GArray *out)
{
	withdrawal_action_t a = {.kind = WITHDRAWAL_WRITE, .id = w->id};

	if (action != COMMIT_NOTHING) {
		if (action == COMMIT_READ)
			a.kind = WITHDRAWAL_READ;
		a.u.attempt = w->commit.attempt;
		g_array_append_val(out, a);
	}
	if (w->state != WITHDRAWAL_DONE)
		report(w, state_of_commit(&w->commit), out);
}

void
withdrawal_begin(withdrawal_t *w, uint32_t id, const key_entry_t *entry,
    replica_t self, const roster_view_t *view, msec_t now, GArray *out)
{
	withdrawal_peer_t p = {self, TRUE};
	commit_action_t action;

	memset(w, 0, sizeof(*w));
	w->id = id;
	w->digest = entry->digest;
	w->peers = g_array_new(FALSE, FALSE, sizeof(withdrawal_peer_t));
	g_array_append_val(w->peers, p);
	add_new_peers(w, view, out);
	w->notify_at = now + WITHDRAWAL_NOTIFY_RETRY_MS;
	action = commit_begin(&w->commit, 0);
	if (!entry->pending)
		action = commit_written(&w->commit, w->commit.attempt,
		    WRITE_WON, entry->version, now);
	apply_commit_action(w, action, out);
}

void
withdrawal_finish(withdrawal_t *w)
{
	g_array_free(w->peers, TRUE);
	memset(w, 0, sizeof(*w));
}

void
withdrawal_confirmed(withdrawal_t *w, replica_t replica)
{
	withdrawal_peer_t *p = peer_find(w, replica);

	if (p != NULL)
		p->confirmed = TRUE;
}

void
withdrawal_written(withdrawal_t *w, uint32_t attempt, write_result_t result,
    uint64_t version, msec_t now, GArray *out)
{
	apply_commit_action(
	    w, commit_written(&w->commit, attempt, result, version, now), out);
}

void
withdrawal_read(withdrawal_t *w, uint32_t attempt, commit_target_t target,
    uint64_t version, msec_t now, GArray *out)
{
	apply_commit_action(
	    w, commit_read(&w->commit, attempt, target, version, now), out);
}

guint
withdrawal_hosts(const withdrawal_t *w, guint *confirmed)
{
	guint i;

	*confirmed = 0;
	for (i = 0; i < w->peers->len; i++)
		*confirmed += peer_at(w, i)->confirmed ? 1 : 0;
	return w->peers->len;
}

/*
 * Whether every host that may still accept the key has confirmed. Hosts that
 * were in the roster at the commit, and hosts that left it so shortly before
 * that their keys may still be fresh, are all among the peers.
 */
static gboolean
all_confirmed(const withdrawal_t *w, const roster_view_t *view, msec_t now)
{
	guint confirmed, notified = withdrawal_hosts(w, &confirmed);

	return confirmed == notified &&
	    view->read_sent > w->commit.accepted_at &&
	    view->stable_since <= now - FRESH_LAPSE_MS;
}

void
withdrawal_tick(
    withdrawal_t *w, const roster_view_t *view, msec_t now, GArray *out)
{
	add_new_peers(w, view, out);
	notify_unconfirmed(w, now, out);
	apply_commit_action(w, commit_tick(&w->commit, now), out);
	if (w->state != WITHDRAWAL_ACCEPTED)
		return;
	if (now >= w->commit.accepted_at + FRESH_LAPSE_MS ||
	    all_confirmed(w, view, now))
		report(w, WITHDRAWAL_DONE, out);
}

gboolean
withdrawal_blocks_promise(
    const withdrawal_t *w, replica_t replica, uint64_t complete)
{
	const withdrawal_peer_t *p = peer_find(w, replica);

	if (w->commit.state == COMMIT_ACCEPTED && w->commit.version <= complete)
		return FALSE;
	return p == NULL || !p->confirmed;
}

gboolean
withdrawal_over(const withdrawal_t *w, uint64_t complete)
{
	return w->state == WITHDRAWAL_FENCED ||
	    (w->state == WITHDRAWAL_DONE && w->commit.version <= complete);
}

const char *
withdrawal_state_name(withdrawal_state_t state)
{
	switch (state) {
	case WITHDRAWAL_WRITING:
		return "writing";
	case WITHDRAWAL_UNAVAILABLE:
		return "unavailable";
	case WITHDRAWAL_UNKNOWN:
		return "unknown";
	case WITHDRAWAL_ACCEPTED:
		return "accepted";
	case WITHDRAWAL_DONE:
		return "done";
	case WITHDRAWAL_FENCED:
		return "fenced";
	}
	return "unknown";
}
