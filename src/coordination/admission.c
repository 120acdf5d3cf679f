#include <string.h>

#include "coordination/admission.h"

/* Round-robin state of a route that is split over several services. */
typedef struct {
	uint64_t version; /* of the manifest that the credits belong to */
	GArray *credits;  /* double, one for each target of the route */
} route_split_t;

static void
split_free(void *p)
{
	route_split_t *split = p;

	g_array_free(split->credits, TRUE);
	g_free(split);
}

void
admission_init(admission_state_t *s)
{
	s->manifest = NULL;
	s->splits =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, split_free);
}

void
admission_finish(admission_state_t *s)
{
	manifest_unref(s->manifest);
	g_hash_table_destroy(s->splits);
}

gboolean
admission_set_manifest(admission_state_t *s, manifest_t *m)
{
	if (s->manifest != NULL && m->version <= s->manifest->version)
		return FALSE;
	manifest_unref(s->manifest);
	s->manifest = manifest_ref(m);
	return TRUE;
}

static route_split_t *
get_split(admission_state_t *s, const manifest_route_t *r)
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

/* Smooth weighted round robin: each service gets its share in any short run
 * of requests, too. */
static uint32_t
pick_service(admission_state_t *s, const manifest_route_t *r)
{
	const manifest_target_t *t =
	    (const manifest_target_t *)(void *)r->targets->data;
	double *credits, all = 0;
	guint i, best = 0;

	if (r->targets->len == 1)
		return t[0].service;
	credits = (double *)(void *)get_split(s, r)->credits->data;
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
decide(admission_state_t *s, const admission_request_t *request, admission_t *a)
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
	a->service = g_ptr_array_index(m->services, pick_service(s, a->route));
	return ADMISSION_OK;
}

admission_t
admission_decide(admission_state_t *s, const admission_request_t *request)
{
	admission_t a = {.verdict = ADMISSION_NO_MANIFEST};

	if (s->manifest == NULL)
		return a;
	a.manifest = manifest_ref(s->manifest);
	a.verdict = decide(s, request, &a);
	return a;
}

void
admission_clear(admission_t *a)
{
	manifest_unref(a->manifest);
	memset(a, 0, sizeof(*a));
}
