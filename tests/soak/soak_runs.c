#include <stdlib.h>
#include <string.h>

#include "soak.h"

/* What a server checks of a request that it begins to run. */

static void
check_leaving(const soak_server_t *s, const char *id)
{
	world_t *w = s->world;
	msec_t now = clock_now();

	if (w->lag > 100)
		return;
	if (s->leaving_at != 0 && now > s->leaving_at + DRAIN_BOUND_MS &&
	    soak_all_undisturbed(w, now - s->leaving_at + SETTLE_MS))
		soak_broken(w,
		    "DRAIN request %s reached server %s %lld ms after it "
		    "began to drain or left",
		    id, s->id, (long long)(now - s->leaving_at));
	if (s->drained_at != 0 && now > s->drained_at + DOMAIN_BOUND_MS &&
	    soak_all_undisturbed(w, now - s->drained_at + SETTLE_MS))
		soak_broken(w,
		    "EVAC request %s reached server %s %lld ms after the "
		    "drain of its domain",
		    id, s->id, (long long)(now - s->drained_at));
}

static void
check_quota(world_t *w)
{
	msec_t now = clock_now();
	guint i, n = 0;

	g_array_append_val(w->quota_runs, now);
	for (i = w->quota_runs->len; i > 0; i--) {
		if (g_array_index(w->quota_runs, msec_t, i - 1) <=
		    now - QUOTA_WINDOW_MS)
			break;
		n++;
	}
	if (n > QUOTA_ALLOWED)
		soak_broken(w, "QUOTA %u requests ran in one window", n);
}

static void
check_headers(
    soak_server_t *s, const soak_seen_t *seen, const soak_request_t *r)
{
	static const char *const workspaces[] = {"school", "shop"};
	const char *workspace = seen->workspace, *ms_left = seen->ms_left;

	if (seen->credential != NULL)
		soak_broken(s->world,
		    "UNASKED request %s: its key reached a server", r->id);
	if (g_strcmp0(workspace, workspaces[r->workspace]) != 0)
		soak_broken(s->world, "UNASKED request %s: wrong workspace %s",
		    r->id, workspace);
	if (ms_left == NULL || atoi(ms_left) <= 0 || atoi(ms_left) > BUDGET_MS)
		soak_broken(
		    s->world, "BUDGET request %s: %s ms left", r->id, ms_left);
	if (seen->object == NULL)
		soak_broken(s->world,
		    "UNASKED request %s: X-Affinity-Key is missing", r->id);
	if (r->second_key && s->world->withdrawn &&
	    r->sent_at > s->world->key_changed_at + CONFIG_BOUND_MS &&
	    s->world->lag < 100 &&
	    soak_all_undisturbed(
		s->world, clock_now() - s->world->key_changed_at + SETTLE_MS))
		soak_broken(s->world,
		    "CONFIG request %s ran with a withdrawn key", r->id);
	if (r->service != s->service)
		soak_broken(s->world,
		    "ROUTE request %s ran at server %s of another service",
		    r->id, s->id);
}

void
soak_run_check(soak_server_t *s, soak_request_t *r, const soak_seen_t *seen)
{
	world_t *w = s->world;

	r->runs++;
	if (!r->idempotent && r->runs > 1)
		soak_broken(w, "TWICE request %s ran %u times", r->id, r->runs);
	if (r->status == 503 || r->status == 429)
		soak_broken(
		    w, "REFUSED request %s ran after it was refused", r->id);
	if (!r->idempotent && seen->body_len != strlen(r->id) * 1000)
		soak_broken(w, "UNASKED request %s: wrong body of %zu bytes",
		    r->id, seen->body_len);
	if (r->workspace == 1)
		check_quota(w);
	check_headers(s, seen, r);
	check_leaving(s, r->id);
}
