#include "state/manifest.h"
#include "suite.h"

static manifest_route_t *
add_route(manifest_t *m, const char *name, const char *host, const char *prefix)
{
	manifest_route_t *r = manifest_add_route(m);
	manifest_target_t t = {0, 1};

	r->name = g_strdup(name);
	r->host = g_strdup(host);
	r->prefix = g_strdup(prefix);
	r->max_tries = 1;
	g_array_append_val(r->targets, t);
	return r;
}

static void
test_match(void)
{
	static const struct {
		const char *host, *path, *route;
	} rows[] = {
	    {"a.example", "/x/1", "x"},
	    {"A.Example", "/x/1", "x"},
	    {"a.example:80", "/x/1", "x"},
	    {"a.example", "/x/y/1", "xy"},
	    {"a.example", "/x/y/", "xy"},
	    {"a.example", "/x/y", "x"},
	    {"a.example", "/x", NULL},
	    {"a.example", "/", NULL},
	    {"b.example", "/x/1", "b"},
	    {"c.example", "/x/1", NULL},
	    {"", "/x/1", NULL},
	};
	manifest_t *m = manifest_new(1);
	const manifest_route_t *r;
	size_t i;

	add_route(m, "x", "a.example", "/x/");
	add_route(m, "xy", "a.example", "/x/y/");
	add_route(m, "b", "b.example", "/");
	ck_assert(manifest_seal(m, NULL));
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		r = manifest_match(m, rows[i].host, rows[i].path);
		ck_assert_msg(
		    g_strcmp0(r != NULL ? r->name : NULL, rows[i].route) == 0,
		    "%s%s", rows[i].host, rows[i].path);
	}
	manifest_unref(m);
}

static void
break_prefix_start(manifest_route_t *r)
{
	r->prefix[0] = 'x';
}

static void
break_prefix_end(manifest_route_t *r)
{
	g_free(r->prefix);
	r->prefix = g_strdup("/x");
}

static void
break_tries(manifest_route_t *r)
{
	r->max_tries = 0;
}

static void
break_weights(manifest_route_t *r)
{
	g_array_index(r->targets, manifest_target_t, 0).weight = 0;
}

static void
break_targets(manifest_route_t *r)
{
	g_array_set_size(r->targets, 0);
}

static void
break_timeout(manifest_route_t *r)
{
	r->timeout_ms = -1;
}

static void
duplicate_prefix(manifest_route_t *r)
{
	g_free(r->prefix);
	r->prefix = g_strdup("/other/");
}

static void
test_invalid_routes(void)
{
	static const struct {
		const char *name;
		void (*corrupt)(manifest_route_t *r);
	} rows[] = {
	    {"prefix without a leading slash", break_prefix_start},
	    {"prefix without a trailing slash", break_prefix_end},
	    {"zero tries", break_tries},
	    {"zero weight", break_weights},
	    {"no target", break_targets},
	    {"negative time-out", break_timeout},
	    {"duplicate prefix", duplicate_prefix},
	};
	manifest_t *m;
	GError *err;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		err = NULL;
		m = manifest_new(1);
		add_route(m, "other", "a.example", "/other/");
		rows[i].corrupt(add_route(m, "r", "a.example", "/r/"));
		ck_assert_msg(!manifest_seal(m, &err), "%s", rows[i].name);
		ck_assert(err != NULL);
		g_error_free(err);
		manifest_unref(m);
	}
}

static void
test_keys(void)
{
	manifest_t *m = manifest_new(1);
	manifest_workspace_t *a = manifest_add_workspace(m);
	manifest_workspace_t *b = manifest_add_workspace(m);

	ck_assert(manifest_add_key(m, a, "key-of-a"));
	ck_assert(manifest_add_key(m, a, "key-of-a"));
	ck_assert(!manifest_add_key(m, b, "key-of-a"));
	ck_assert(manifest_add_key(m, b, "key-of-b"));
	ck_assert_ptr_eq(manifest_caller(m, "key-of-a"), a);
	ck_assert_ptr_eq(manifest_caller(m, "key-of-b"), b);
	ck_assert_ptr_null(manifest_caller(m, "key-of-c"));
	ck_assert_ptr_null(manifest_caller(m, ""));
	manifest_unref(m);
}

static void
test_allowed_regions(void)
{
	static const struct {
		const char *route, *workspace, *region;
		gboolean allowed;
	} rows[] = {
	    {"", "", "north", TRUE},
	    {"north", "", "north", TRUE},
	    {"north", "", "south", FALSE},
	    {"", "north", "south", FALSE},
	    {"north,south", "south,west", "south", TRUE},
	    {"north,south", "south,west", "west", FALSE},
	    {"north,south", "south,west", "north", FALSE},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		manifest_route_t r = {
		    .allowed_regions = g_strsplit(rows[i].route, ",", -1)};
		manifest_workspace_t w = {
		    .allowed_regions = g_strsplit(rows[i].workspace, ",", -1)};

		ck_assert_int_eq(
		    manifest_allows(&r, &w, rows[i].region), rows[i].allowed);
		g_strfreev(r.allowed_regions);
		g_strfreev(w.allowed_regions);
	}
}

static const suite_case_t cases[] = {
    {"the longest prefix of the host wins", test_match},
    {"invalid routes are refused", test_invalid_routes},
    {"a key belongs to one workspace", test_keys},
    {"allowed regions of route and workspace both apply", test_allowed_regions},
};

int
main(void)
{
	return suite_run("manifest", cases, G_N_ELEMENTS(cases));
}
