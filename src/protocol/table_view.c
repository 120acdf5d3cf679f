#include "protocol/table_view.h"

/* FNV-1a. 0 stands for a removed row. */
static uint64_t
content_of(const table_row_t *row)
{
	uint64_t h = UINT64_C(0xcbf29ce484222325);
	size_t i;

	if (row->value == NULL)
		return 0;
	for (i = 0; i < row->len; i++) {
		h ^= (unsigned char)row->value[i];
		h *= UINT64_C(0x100000001b3);
	}
	return MAX(h, 1);
}

void
table_view_init(table_view_t *v)
{
	*v = (table_view_t){0};
	v->known =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
table_view_finish(table_view_t *v)
{
	g_hash_table_destroy(v->known);
	if (v->listed != NULL)
		g_hash_table_destroy(v->listed);
}

static void
apply_row(table_view_t *v, const table_row_t *row, table_change_fn_t on_change,
    void *arg)
{
	era_row_t *k = g_hash_table_lookup(v->known, row->key);

	if (k == NULL) {
		k = g_new0(era_row_t, 1);
		g_hash_table_insert(v->known, g_strdup(row->key), k);
	}
	if (era_row_seen(k, row->ver, content_of(row), v->copy_end) !=
	    ERA_ROW_CHANGED)
		return;
	v->newest = MAX(v->newest, row->ver);
	on_change(arg, row);
}

void
table_view_changes(table_view_t *v, const table_page_t *page,
    table_change_fn_t on_change, void *arg)
{
	GHashTable *last = g_hash_table_new(g_str_hash, g_str_equal);
	table_row_t *row;
	guint i;

	for (i = 0; i < page->rows->len; i++) {
		row = g_ptr_array_index(page->rows, i);
		g_hash_table_insert(last, row->key, row);
	}
	for (i = 0; i < page->rows->len; i++) {
		row = g_ptr_array_index(page->rows, i);
		if (g_hash_table_lookup(last, row->key) == row)
			apply_row(v, row, on_change, arg);
	}
	g_hash_table_destroy(last);
}

void
table_view_begin(table_view_t *v)
{
	if (v->listed != NULL)
		g_hash_table_destroy(v->listed);
	v->listed =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	v->listed_ver = 0;
}

static void
remove_missing(table_view_t *v, table_change_fn_t on_change, void *arg)
{
	GPtrArray *missing = g_ptr_array_new();
	GHashTableIter it;
	gpointer key, value;
	guint i;

	g_hash_table_iter_init(&it, v->known);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		if (!g_hash_table_contains(v->listed, key) &&
		    era_row_missing(value, v->listed_ver, v->holds_lost))
			g_ptr_array_add(missing, key);
	}
	for (i = 0; i < missing->len; i++) {
		const table_row_t row = {
		    .key = g_ptr_array_index(missing, i),
		    .ver = v->listed_ver,
		};

		on_change(arg, &row);
	}
	g_ptr_array_free(missing, TRUE);
}

void
table_view_page(table_view_t *v, const table_page_t *page,
    table_change_fn_t on_change, void *arg)
{
	guint i;

	if (v->listed_ver == 0)
		v->listed_ver = page->ver;
	if (store_era_of(page->ver) > store_era_of(v->copy_end))
		v->copy_end = page->ver;
	for (i = 0; i < page->rows->len; i++) {
		const table_row_t *row = g_ptr_array_index(page->rows, i);

		g_hash_table_add(v->listed, g_strdup(row->key));
		apply_row(v, row, on_change, arg);
	}
	if (page->more)
		return;
	remove_missing(v, on_change, arg);
	g_hash_table_destroy(v->listed);
	v->listed = NULL;
}

gboolean
table_view_is_stored(const table_view_t *v, const char *key)
{
	const era_row_t *k = g_hash_table_lookup(v->known, key);

	return k != NULL && k->content != 0 &&
	    !era_row_is_lost(k, store_era_of(v->copy_end));
}

void
table_view_lost(const table_view_t *v, table_lost_fn_t on_lost, void *arg)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, v->known);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const era_row_t *k = value;

		if (era_row_is_lost(k, store_era_of(v->copy_end)))
			on_lost(arg, key, k->copy_ver);
	}
}
