#include <string.h>

#include "coordination/admission.h"
#include "state/registry.h"

/* Of the overage and slack that rules leave, what hosts use: the rest covers
 * parts that two hosts see differently for a moment. */
#define SLACK_PART 0.5
/* Demands are told in tenths of a request a second. */
#define DEMAND_UNIT 10
/* Least wait of a caller over its rate, and the longest. */
#define WAIT_MIN_MS 100
#define WAIT_MAX_MS 2000

/* A workspace at this host. */
typedef struct {
	uint64_t hash; /* of its name */
	bucket_t bucket;
	rate_demand_t demand;
} workspace_limit_t;

/* Of a route that is split: what each service is owed, by counting. */
typedef struct {
	uint64_t version; /* of the manifest that it is for */
	GArray *credits;  /* double */
} route_split_t;

static void
split_free(void *p)
{
	route_split_t *split = p;

	g_array_free(split->credits, TRUE);
	g_free(split);
}

void
admission_init(admission_state_t *s, const admission_bounds_t *bounds)
{
	s->bounds = *bounds;
	s->manifest = NULL;
	s->limits =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->splits =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, split_free);
}

void
admission_finish(admission_state_t *s)
{
	manifest_unref(s->manifest);
	g_hash_table_destroy(s->limits);
	g_hash_table_destroy(s->splits);
}

gboolean
admission_take_manifest(admission_state_t *s, manifest_t *m)
{
	if (s->manifest != NULL && m->version <= s->manifest->version)
		return FALSE;
	manifest_unref(s->manifest);
	s->manifest = manifest_ref(m);
	return TRUE;
}

static workspace_limit_t *
limit_of(admission_state_t *s, const manifest_workspace_t *w, msec_t now)
{
	workspace_limit_t *l = g_hash_table_lookup(s->limits, w->name);

	if (l != NULL)
		return l;
	l = g_new0(workspace_limit_t, 1);
	l->hash = registry_hash(w->name);
	bucket_init(&l->bucket, limit_make(0, 0), now);
	g_hash_table_insert(s->limits, g_strdup(w->name), l);
	return l;
}

static gboolean
take_token(admission_state_t *s, admission_t *a, msec_t now)
{
	workspace_limit_t *l;
	msec_t at;

	if (a->workspace == NULL || a->workspace->rate <= 0)
		return TRUE;
	l = limit_of(s, a->workspace, now);
	l->demand.asked++;
	bucket_refill(&l->bucket, 0, now);
	if (bucket_take(&l->bucket, UTOKEN)) {
		a->counted = TRUE;
		return TRUE;
	}
	at = bucket_ready_at(&l->bucket, UTOKEN);
	a->wait_ms = at == INT64_MAX ? WAIT_MAX_MS : at - now;
	a->wait_ms = CLAMP(a->wait_ms, WAIT_MIN_MS, WAIT_MAX_MS);
	return FALSE;
}

void
admission_return(admission_state_t *s, admission_t *a)
{
	workspace_limit_t *l;

	if (!a->counted)
		return;
	a->counted = FALSE;
	l = g_hash_table_lookup(s->limits, a->workspace->name);
	if (l != NULL)
		l->bucket.level =
		    MIN(l->bucket.level + UTOKEN, l->bucket.limit.burst);
}

static route_split_t *
split_of(admission_state_t *s, const manifest_route_t *r)
{
	route_split_t *split = g_hash_table_lookup(s->splits, r->name);

	if (split == NULL) {
		split = g_new0(route_split_t, 1);
		split->credits = g_array_new(FALSE, TRUE, sizeof(double));
		g_hash_table_insert(s->splits, g_strdup(r->name), split);
	}
	if (split->version != s->manifest->version) {
		split->version = s->manifest->version;
		g_array_set_size(split->credits, 0);
		g_array_set_size(split->credits, r->targets->len);
	}
	return split;
}

/* Smooth weighted round robin: each service's share holds for any stretch. */
static uint32_t
pick_service(admission_state_t *s, const manifest_route_t *r)
{
	const manifest_target_t *t =
	    (const manifest_target_t *)(void *)r->targets->data;
	double *credits, all = 0;
	guint i, best = 0;

	if (r->targets->len == 1)
		return t[0].service;
	credits = (double *)(void *)split_of(s, r)->credits->data;
	for (i = 0; i < r->targets->len; i++) {
		credits[i] += t[i].weight;
		all += t[i].weight;
		if (credits[i] > credits[best])
			best = i;
	}
	credits[best] -= all;
	return t[best].service;
}

static admission_verdict_t
decide(admission_state_t *s, const admission_request_t *request, admission_t *a,
    msec_t now)
{
	const manifest_t *m = s->manifest;

	if (request->host != NULL)
		a->route = manifest_match(m, request->host, request->path);
	if (a->route == NULL)
		return ADMISSION_NO_ROUTE;
	if (m->keyed && request->key != NULL)
		a->workspace = manifest_caller(m, request->key);
	if (m->keyed && !a->route->open && a->workspace == NULL)
		return ADMISSION_NO_KEY;
	if (request->body_bytes > m->max_body_bytes)
		return ADMISSION_TOO_LARGE;
	if (!take_token(s, a, now))
		return ADMISSION_OVER_RATE;
	a->service = g_ptr_array_index(m->services, pick_service(s, a->route));
	return ADMISSION_OK;
}

admission_t
admission_decide(
    admission_state_t *s, const admission_request_t *request, msec_t now)
{
	admission_t a = {.verdict = ADMISSION_NO_MANIFEST};

	if (s->manifest == NULL)
		return a;
	a.manifest = manifest_ref(s->manifest);
	a.verdict = decide(s, request, &a, now);
	return a;
}

void
admission_clear(admission_t *a)
{
	manifest_unref(a->manifest);
	memset(a, 0, sizeof(*a));
}

static double
part_of(const workspace_limit_t *l, const manifest_workspace_t *w,
    const fleet_t *f, msec_t now)
{
	rate_share_peer_t *peers = g_newa(rate_share_peer_t, f->hosts->len + 1);
	guint i;

	for (i = 0; i < f->hosts->len; i++) {
		const fleet_host_t *h = g_ptr_array_index(f->hosts, i);

		peers[i].heard = fleet_is_heard(h, now);
		peers[i].demand =
		    (double)fleet_amount(h->news.demands, l->hash) /
		    DEMAND_UNIT;
	}
	return rate_share_of(
	    rate_demand_known(&l->demand), w->rate, peers, f->hosts->len);
}

void
admission_tick(admission_state_t *s, const fleet_t *f, msec_t now)
{
	double rate, burst, part;
	guint i;

	for (i = 0; s->manifest != NULL && i < s->manifest->workspaces->len;
	     i++) {
		const manifest_workspace_t *w =
		    g_ptr_array_index(s->manifest->workspaces, i);
		workspace_limit_t *l = limit_of(s, w, now);

		rate_demand_tick(&l->demand, now);
		part = part_of(l, w, f, now);
		rate = w->rate * (1 + SLACK_PART * s->bounds.rate_overage);
		burst = w->burst + SLACK_PART * s->bounds.rate_slack;
		bucket_set_limit(
		    &l->bucket, limit_make(rate * part, burst * part), now);
	}
}

void
admission_demands(admission_state_t *s, GArray *amounts)
{
	workspace_limit_t *l;
	fleet_amount_t a;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->limits);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		l = value;
		a.name = fleet_name(l->hash);
		a.amount = (uint32_t)CLAMP(
		    rate_demand_tell(&l->demand) * DEMAND_UNIT, 0,
		    FLEET_AMOUNT_MAX);
		if (a.amount > 0)
			g_array_append_val(amounts, a);
	}
}
