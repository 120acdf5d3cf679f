#include "protocol/table_view.h"

typedef struct {
	uint64_t ver;
	gboolean removed;
} known_t;

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
	known_t *k = g_hash_table_lookup(v->known, row->key);

	if (k != NULL && row->ver <= k->ver)
		return;
	if (k == NULL) {
		k = g_new0(known_t, 1);
		g_hash_table_insert(v->known, g_strdup(row->key), k);
	}
	k->ver = row->ver;
	k->removed = row->value == NULL;
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
		const known_t *k = value;

		if (!k->removed && k->ver <= v->listed_ver &&
		    !g_hash_table_contains(v->listed, key))
			g_ptr_array_add(missing, key);
	}
	for (i = 0; i < missing->len; i++) {
		known_t *k = g_hash_table_lookup(
		    v->known, g_ptr_array_index(missing, i));
		const table_row_t row = {
		    .key = g_ptr_array_index(missing, i),
		    .ver = v->listed_ver,
		};

		k->removed = TRUE;
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
