#include <string.h>

#include "coordination/store_era.h"
#include "state/registry.h"
#include "suite.h"

static GHashTable *regions;

static void
setup(registry_t *r)
{
	regions = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(regions, "n1", "north");
	registry_init(r, regions);
}

static void
teardown(registry_t *r)
{
	registry_finish(r);
	g_hash_table_destroy(regions);
}

static registry_row_t
row_of(const char *id, uint64_t ver)
{
	return (registry_row_t){.id = id,
	    .service = "clips",
	    .address = "10.0.0.1:80",
	    .domain = "n1",
	    .version = "v1",
	    .slots = 3,
	    .born = 100,
	    .row_ver = ver};
}

static backend_t *
find(const registry_t *r, const char *id)
{
	return g_hash_table_lookup(r->servers, id);
}

static void
test_changes(void)
{
	registry_t r;
	registry_row_t row = row_of("a", 5);

	setup(&r);
	ck_assert_int_eq(registry_put(&r, &row, 1000), REGISTRY_NEW);
	ck_assert_str_eq(find(&r, "a")->region, "north");
	row.row_ver = 6;
	ck_assert_int_eq(registry_put(&r, &row, 1000), REGISTRY_SAME);
	row.row_ver = 4;
	row.draining = TRUE;
	ck_assert_int_eq(registry_put(&r, &row, 1000), REGISTRY_STALE);
	ck_assert(!find(&r, "a")->draining);
	row.row_ver = 7;
	ck_assert_int_eq(registry_put(&r, &row, 1000), REGISTRY_CHANGED);
	ck_assert(!backend_usable(find(&r, "a"), 1000));
	teardown(&r);
}

/* What is known of a server is discarded when it restarts. */
static void
test_restart(void)
{
	registry_t r;
	registry_row_t row = row_of("a", 5);
	backend_t *old;

	setup(&r);
	registry_put(&r, &row, 1000);
	old = backend_ref(find(&r, "a"));
	backend_failed(old, TRUE, 1000);
	row.row_ver = 9;
	row.born = 200;
	row.cold_ms = 3000;
	ck_assert_int_eq(registry_put(&r, &row, 2000), REGISTRY_RESTART);
	ck_assert(!old->listed);
	ck_assert(!backend_usable(old, 9000));
	ck_assert(backend_usable(find(&r, "a"), 2000));
	ck_assert(backend_is_cold(find(&r, "a"), 4999));
	ck_assert(!backend_is_cold(find(&r, "a"), 5000));
	ck_assert_int_eq(registry_service(&r, "clips")->servers->len, 1);
	backend_unref(old);
	teardown(&r);
}

static void
test_removal(void)
{
	static const struct {
		const char *name;
		uint64_t ver;
		gboolean store_unreachable, draining;
		gboolean listed_at_once, listed_later;
	} rows[] = {
	    {"removed", 9, FALSE, FALSE, FALSE, FALSE},
	    {"an older removal", 3, FALSE, FALSE, TRUE, TRUE},
	    {"lapsed while the store was unreachable", 9, TRUE, FALSE, TRUE,
		FALSE},
	    {"drained while the store was unreachable", 9, TRUE, TRUE, FALSE,
		FALSE},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		registry_row_t row = row_of("a", 5);
		registry_t r;

		setup(&r);
		row.draining = rows[i].draining;
		registry_put(&r, &row, 1000);
		registry_remove(&r, "a", rows[i].ver,
		    rows[i].store_unreachable ? 2000 + REGISTRY_LAPSE_MS : 0,
		    2000);
		registry_expire(&r, 2000 + REGISTRY_LAPSE_MS - 1);
		ck_assert_msg((find(&r, "a") != NULL) == rows[i].listed_at_once,
		    "%s", rows[i].name);
		registry_expire(&r, 2000 + REGISTRY_LAPSE_MS);
		ck_assert_msg((find(&r, "a") != NULL) == rows[i].listed_later,
		    "%s", rows[i].name);
		/* An older row does not restore a removed server. */
		row.row_ver = rows[i].ver;
		if (!rows[i].listed_later)
			ck_assert_int_eq(
			    registry_put(&r, &row, 9000), REGISTRY_STALE);
		teardown(&r);
	}
}

static void
test_registered_again(void)
{
	registry_t r;
	registry_row_t row = row_of("a", 5);

	setup(&r);
	registry_put(&r, &row, 1000);
	registry_remove(&r, "a", 9, 2000 + REGISTRY_LAPSE_MS, 2000);
	row.row_ver = 12;
	registry_put(&r, &row, 3000);
	registry_expire(&r, 20000);
	ck_assert(find(&r, "a") != NULL);
	teardown(&r);
}

static void
test_ejection(void)
{
	static const struct {
		const char *name;
		int unreachable, broken;
		msec_t usable_at; /* after the last failure */
	} rows[] = {
	    {"one broken answer", 0, 1, 0},
	    {"three broken answers", 0, 3, 0},
	    {"four broken answers", 0, 4, 1000},
	    {"unreachable", 1, 0, 1000},
	    {"unreachable again", 2, 0, 2000},
	    {"unreachable for long", 9, 0, 4000},
	};
	size_t i;
	int n;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		registry_row_t row = row_of("a", 5);
		registry_t r;
		backend_t *b;

		setup(&r);
		registry_put(&r, &row, 0);
		b = find(&r, "a");
		for (n = 0; n < rows[i].unreachable; n++)
			backend_failed(b, TRUE, 100);
		for (n = 0; n < rows[i].broken; n++)
			backend_failed(b, FALSE, 100);
		ck_assert_msg(backend_usable(b, 100 + rows[i].usable_at),
		    "%s: not usable again", rows[i].name);
		if (rows[i].usable_at > 0)
			ck_assert_msg(
			    !backend_usable(b, 99 + rows[i].usable_at),
			    "%s: usable too soon", rows[i].name);
		/* Usable for one request at a time until one is answered. */
		b->own = 1;
		if (rows[i].usable_at > 0)
			ck_assert(!backend_usable(b, 100000));
		backend_answered(b, 10, 0);
		ck_assert(backend_usable(b, 100000));
		teardown(&r);
	}
}

static void
test_load(void)
{
	registry_row_t row = row_of("a", 5);
	registry_t r;
	backend_t *b;

	setup(&r);
	registry_put(&r, &row, 0);
	b = find(&r, "a");
	b->own = 2;
	ck_assert_double_eq(backend_load(b, 1000), 2);
	backend_report(b, 6, 1000);
	ck_assert_double_eq(backend_load(b, 1000), 6);
	ck_assert_double_eq(backend_load(b, 1500), 4);
	ck_assert_double_eq(backend_load(b, 2000), 2);
	b->peers = 3;
	ck_assert_double_eq(backend_load(b, 2000), 5);
	ck_assert_double_eq(backend_load(b, 1000), 6);
	backend_report(b, 1, 2000);
	ck_assert_double_eq(backend_load(b, 2000), 5);
	teardown(&r);
}

/*
 * A server leaves some time after the store's return: it is not used for longer
 * than a lapsed one, counted from the return, even if nothing drops it by then.
 */
static void
test_left_after_return(void)
{
	static const struct {
		msec_t returned_at, left_at, unusable_at;
	} rows[] = {
	    {1900, 2000, 1900 + REGISTRY_LAPSE_MS},
	    {1000, 2000, 1000 + REGISTRY_LAPSE_MS},
	    {0, 2400, 2400},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		registry_row_t row = row_of("a", 5);
		registry_t r;
		backend_t *b;

		setup(&r);
		registry_put(&r, &row, 1);
		b = backend_ref(find(&r, "a"));
		registry_remove(&r, "a", 9,
		    rows[i].returned_at + REGISTRY_LAPSE_MS, rows[i].left_at);
		if (rows[i].unusable_at > rows[i].left_at)
			ck_assert(backend_usable(b, rows[i].unusable_at - 1));
		ck_assert(!backend_usable(b, rows[i].unusable_at));
		backend_unref(b);
		teardown(&r);
	}
}

/* Entries that come back with an older copy of the store, as versions of its
 * next era; the listing is of version 9. */
static void
test_copies(void)
{
	static const struct {
		const char *name, *id;
		uint64_t ver;
		gboolean draining;
		int64_t born;
		registry_change_t change;
		gboolean usable;
	} rows[] = {
	    {"a copy from before it drained", "drains", 9, FALSE, 100,
		REGISTRY_SAME, FALSE},
	    {"a copy of an earlier start", "serves", 9, TRUE, 50,
		REGISTRY_STALE, TRUE},
	    {"a copy of one that left", "left", 9, FALSE, 100, REGISTRY_STALE,
		FALSE},
	    {"it drains no more", "drains", 10, FALSE, 100, REGISTRY_CHANGED,
		TRUE},
	    {"it has started again", "left", 10, FALSE, 200, REGISTRY_NEW,
		TRUE},
	};
	registry_t r;
	registry_row_t row;
	size_t i;

	setup(&r);
	row = row_of("drains", 20);
	row.draining = TRUE;
	registry_put(&r, &row, 1000);
	row = row_of("serves", 21);
	registry_put(&r, &row, 1000);
	row = row_of("left", 22);
	registry_put(&r, &row, 1000);
	registry_remove(&r, "left", 23, 0, 1000);
	ck_assert(store_era_compose(1, 9, &r.copy_end));
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		const backend_t *b;

		row = row_of(rows[i].id, 0);
		ck_assert(store_era_compose(1, rows[i].ver, &row.row_ver));
		row.draining = rows[i].draining;
		row.born = rows[i].born;
		ck_assert_msg(registry_put(&r, &row, 2000) == rows[i].change,
		    "%s", rows[i].name);
		b = find(&r, rows[i].id);
		ck_assert_msg(
		    (b != NULL && backend_usable(b, 2000)) == rows[i].usable,
		    "%s: usable", rows[i].name);
	}
	teardown(&r);
}

static const suite_case_t cases[] = {
    {"entries of an older copy", test_copies},
    {"newer rows change a server, older rows don't", test_changes},
    {"a restart resets what is known", test_restart},
    {"removed, lapsed and drained servers", test_removal},
    {"a lapsed server registers again in time", test_registered_again},
    {"a server that leaves after the store's return", test_left_after_return},
    {"ejection and recovery", test_ejection},
    {"load of all hosts", test_load},
};

int
main(void)
{
	return suite_run("registry", cases, G_N_ELEMENTS(cases));
}
