#include <string.h>

#include "base/error.h"
#include "state/manifest.h"

static void
route_free(void *p)
{
	manifest_route_t *r = p;

	g_free(r->name);
	g_free(r->host);
	g_free(r->prefix);
	g_strfreev(r->allowed_regions);
	g_array_free(r->targets, TRUE);
	g_free(r);
}

static void
service_free(void *p)
{
	manifest_service_t *s = p;

	g_free(s->name);
	g_free(s->health_path);
	g_free(s);
}

static void
workspace_free(void *p)
{
	manifest_workspace_t *w = p;

	g_free(w->name);
	g_strfreev(w->allowed_regions);
	g_free(w);
}

static guint
key_hash(gconstpointer p)
{
	guint h;

	memcpy(&h, ((const digest_t *)p)->bytes, sizeof(h));
	return h;
}

static gboolean
key_equal(gconstpointer a, gconstpointer b)
{
	return digest_equal(a, b);
}

static void
route_list_free(void *p)
{
	g_ptr_array_free(p, TRUE);
}

manifest_t *
manifest_new(uint64_t version)
{
	manifest_t *m = g_new0(manifest_t, 1);

	m->version = version;
	m->refs = 1;
	m->routes = g_ptr_array_new_with_free_func(route_free);
	m->services = g_ptr_array_new_with_free_func(service_free);
	m->workspaces = g_ptr_array_new_with_free_func(workspace_free);
	m->by_host = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, route_list_free);
	m->by_key = g_hash_table_new_full(key_hash, key_equal, g_free, NULL);
	return m;
}

manifest_t *
manifest_ref(manifest_t *m)
{
	m->refs++;
	return m;
}

void
manifest_unref(manifest_t *m)
{
	if (m == NULL || --m->refs > 0)
		return;
	g_hash_table_destroy(m->by_host);
	g_hash_table_destroy(m->by_key);
	g_ptr_array_free(m->routes, TRUE);
	g_ptr_array_free(m->services, TRUE);
	g_ptr_array_free(m->workspaces, TRUE);
	g_free(m);
}

manifest_route_t *
manifest_add_route(manifest_t *m)
{
	manifest_route_t *r = g_new0(manifest_route_t, 1);

	r->targets = g_array_new(FALSE, TRUE, sizeof(manifest_target_t));
	g_ptr_array_add(m->routes, r);
	return r;
}

manifest_service_t *
manifest_add_service(manifest_t *m)
{
	manifest_service_t *s = g_new0(manifest_service_t, 1);

	g_ptr_array_add(m->services, s);
	return s;
}

manifest_workspace_t *
manifest_add_workspace(manifest_t *m)
{
	manifest_workspace_t *w = g_new0(manifest_workspace_t, 1);

	g_ptr_array_add(m->workspaces, w);
	return w;
}

gboolean
manifest_add_key(manifest_t *m, manifest_workspace_t *w, const char *key)
{
	digest_t *d = g_new(digest_t, 1);
	const manifest_workspace_t *holder;

	digest_of(key, strlen(key), d);
	holder = g_hash_table_lookup(m->by_key, d);
	if (holder != NULL) {
		g_free(d);
		return holder == w;
	}
	g_hash_table_insert(m->by_key, d, w);
	return TRUE;
}

int
manifest_service(const manifest_t *m, const char *name)
{
	guint i;

	for (i = 0; i < m->services->len; i++) {
		const manifest_service_t *s = g_ptr_array_index(m->services, i);

		if (strcmp(s->name, name) == 0)
			return (int)i;
	}
	return -1;
}

static const char *
route_fault(const manifest_route_t *r)
{
	double weights = 0;
	guint i;

	if (r->host == NULL || *r->host == '\0')
		return "host is missing";
	if (r->prefix == NULL || r->prefix[0] != '/' ||
	    r->prefix[strlen(r->prefix) - 1] != '/')
		return "prefix does not begin and end with a slash";
	if (r->max_tries == 0)
		return "number of tries is 0";
	if (r->timeout_ms < 0 || r->objective_ms < 0)
		return "time-out or latency objective is negative";
	if (r->targets->len == 0)
		return "service is missing";
	for (i = 0; i < r->targets->len; i++)
		weights +=
		    g_array_index(r->targets, manifest_target_t, i).weight;
	return weights <= 0 ? "all weights are 0" : NULL;
}

static gint
compare_prefixes(gconstpointer a, gconstpointer b)
{
	const manifest_route_t *x = *(manifest_route_t *const *)a;
	const manifest_route_t *y = *(manifest_route_t *const *)b;
	size_t m = strlen(x->prefix), n = strlen(y->prefix);

	if (m != n)
		return m > n ? -1 : 1;
	return strcmp(x->prefix, y->prefix);
}

/* The routes of one host are sorted, so equal prefixes are adjacent. */
static const manifest_route_t *
find_duplicate(const GPtrArray *routes)
{
	const manifest_route_t *a, *b;
	guint i;

	for (i = 1; i < routes->len; i++) {
		a = g_ptr_array_index(routes, i - 1);
		b = g_ptr_array_index(routes, i);
		if (strcmp(a->prefix, b->prefix) == 0)
			return b;
	}
	return NULL;
}

gboolean
manifest_seal(manifest_t *m, GError **err)
{
	const manifest_route_t *duplicate;
	const char *fault;
	GHashTableIter it;
	gpointer list;
	guint i;

	for (i = 0; i < m->routes->len; i++) {
		manifest_route_t *r = g_ptr_array_index(m->routes, i);

		fault = route_fault(r);
		if (fault != NULL) {
			error_set(err, ERROR_INVALID, "manifest", "-",
			    "route %s: %s", r->name, fault);
			return FALSE;
		}
		list = g_hash_table_lookup(m->by_host, r->host);
		if (list == NULL) {
			list = g_ptr_array_new();
			g_hash_table_insert(m->by_host, r->host, list);
		}
		g_ptr_array_add(list, r);
	}
	g_hash_table_iter_init(&it, m->by_host);
	while (g_hash_table_iter_next(&it, NULL, &list)) {
		g_ptr_array_sort(list, compare_prefixes);
		duplicate = find_duplicate(list);
		if (duplicate != NULL) {
			error_set(err, ERROR_INVALID, "manifest", "-",
			    "route %s: another route has the same host and "
			    "prefix",
			    duplicate->name);
			return FALSE;
		}
	}
	return TRUE;
}

const manifest_route_t *
manifest_match(const manifest_t *m, const char *host, const char *path)
{
	char *name = g_ascii_strdown(host, -1);
	char *port = strrchr(name, ':');
	const GPtrArray *list;
	guint i;

	if (port != NULL)
		*port = '\0';
	list = g_hash_table_lookup(m->by_host, name);
	g_free(name);
	for (i = 0; list != NULL && i < list->len; i++) {
		const manifest_route_t *r = g_ptr_array_index(list, i);

		if (strncmp(path, r->prefix, strlen(r->prefix)) == 0)
			return r;
	}
	return NULL;
}

const manifest_workspace_t *
manifest_caller(const manifest_t *m, const char *key)
{
	digest_t d;

	digest_of(key, strlen(key), &d);
	return g_hash_table_lookup(m->by_key, &d);
}

static gboolean
region_allowed(char **homes, const char *region)
{
	return homes == NULL || homes[0] == NULL ||
	    g_strv_contains((const char *const *)homes, region);
}

gboolean
manifest_allows(const manifest_route_t *r, const manifest_workspace_t *w,
    const char *region)
{
	return region_allowed(r->allowed_regions, region) &&
	    (w == NULL || region_allowed(w->allowed_regions, region));
}
