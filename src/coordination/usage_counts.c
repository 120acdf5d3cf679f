#include <string.h>

#include "coordination/usage_counts.h"

static guint
cell_hash(gconstpointer p)
{
	const usage_cell_t *c = p;

	return g_int64_hash(&c->source.host) ^ g_int64_hash(&c->source.start) ^
	    g_str_hash(c->workspace);
}

static gboolean
cell_equal(gconstpointer a, gconstpointer b)
{
	const usage_cell_t *x = a, *y = b;

	return x->source.host == y->source.host &&
	    x->source.start == y->source.start &&
	    strcmp(x->workspace, y->workspace) == 0;
}

static void
window_free(void *p)
{
	usage_window_t *w = p;

	g_hash_table_destroy(w->cells);
	g_free(w);
}

void
usage_counts_init(usage_counts_t *c)
{
	memset(c, 0, sizeof(*c));
	c->windows = g_ptr_array_new_with_free_func(window_free);
	c->names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void
usage_counts_finish(usage_counts_t *c)
{
	g_ptr_array_free(c->windows, TRUE);
	g_hash_table_destroy(c->names);
}

static void
remove_oldest(usage_counts_t *c)
{
	usage_window_t *w = g_ptr_array_index(c->windows, 0);

	c->cells -= g_hash_table_size(w->cells);
	g_ptr_array_remove_index(c->windows, 0);
}

static usage_window_t *
find_window(const usage_counts_t *c, int64_t id, guint *at)
{
	guint i;

	for (i = 0; i < c->windows->len; i++) {
		usage_window_t *w = g_ptr_array_index(c->windows, i);

		if (w->id == id)
			return w;
		if (w->id > id)
			break;
	}
	*at = i;
	return NULL;
}

const usage_window_t *
usage_counts_window(const usage_counts_t *c, int64_t id)
{
	guint at;

	return find_window(c, id, &at);
}

/* Return: the window; NULL if it is older than all that are kept. */
static usage_window_t *
window_of(usage_counts_t *c, int64_t id)
{
	guint at = 0;
	usage_window_t *w = find_window(c, id, &at);

	if (w != NULL)
		return w;
	if (c->windows->len == USAGE_WINDOWS_MAX) {
		if (at == 0)
			return NULL;
		remove_oldest(c);
		at--;
	}
	w = g_new0(usage_window_t, 1);
	w->id = id;
	w->cells = g_hash_table_new_full(cell_hash, cell_equal, g_free, NULL);
	g_ptr_array_insert(c->windows, (gint)at, w);
	return w;
}

static const char *
name_of(usage_counts_t *c, const char *workspace)
{
	gpointer known;

	if (g_hash_table_lookup_extended(c->names, workspace, &known, NULL))
		return known;
	if (strlen(workspace) > USAGE_NAME_BYTES ||
	    g_hash_table_size(c->names) >= USAGE_NAMES_MAX)
		return NULL;
	known = g_strdup(workspace);
	g_hash_table_add(c->names, known);
	return known;
}

/* Return: the cell and its window; NULL if there is no room. */
static usage_cell_t *
cell_of(usage_counts_t *c, int64_t id, const usage_source_t *source,
    const char *workspace, usage_window_t **window)
{
	usage_cell_t key = {.source = *source, .workspace = workspace}, *cell;

	*window = window_of(c, id);
	if (*window == NULL)
		return NULL;
	cell = g_hash_table_lookup((*window)->cells, &key);
	if (cell != NULL)
		return cell;
	while (c->cells >= USAGE_CELLS_MAX &&
	    g_ptr_array_index(c->windows, 0) != *window)
		remove_oldest(c);
	key.workspace = name_of(c, workspace);
	if (key.workspace == NULL || c->cells >= USAGE_CELLS_MAX)
		return NULL;
	cell = g_new(usage_cell_t, 1);
	*cell = key;
	g_hash_table_add((*window)->cells, cell);
	c->cells++;
	return cell;
}

void
usage_counts_add(usage_counts_t *c, int64_t window,
    const usage_source_t *source, const char *workspace, gboolean take_back)
{
	usage_window_t *w;
	usage_cell_t *cell = cell_of(c, window, source, workspace, &w);

	if (cell == NULL) {
		c->dropped++;
		return;
	}
	if (take_back)
		cell->taken_back++;
	else
		cell->counted++;
	w->changes++;
}

gboolean
usage_counts_merge(usage_counts_t *c, int64_t window, const usage_cell_t *from)
{
	usage_window_t *w;
	usage_cell_t *cell =
	    cell_of(c, window, &from->source, from->workspace, &w);

	if (cell == NULL) {
		c->dropped++;
		return FALSE;
	}
	if (from->counted <= cell->counted &&
	    from->taken_back <= cell->taken_back)
		return FALSE;
	cell->counted = MAX(cell->counted, from->counted);
	cell->taken_back = MAX(cell->taken_back, from->taken_back);
	w->changes++;
	return TRUE;
}

static gint
compare_cells(gconstpointer a, gconstpointer b)
{
	const usage_cell_t *x = *(const usage_cell_t *const *)a;
	const usage_cell_t *y = *(const usage_cell_t *const *)b;

	if (x->source.host != y->source.host)
		return x->source.host < y->source.host ? -1 : 1;
	if (x->source.start != y->source.start)
		return x->source.start < y->source.start ? -1 : 1;
	return strcmp(x->workspace, y->workspace);
}

GPtrArray *
usage_counts_cells(
    const usage_counts_t *c, int64_t window, const usage_source_t *source)
{
	const usage_window_t *w = usage_counts_window(c, window);
	GPtrArray *out = g_ptr_array_new();
	GHashTableIter it;
	gpointer key;

	if (w == NULL)
		return out;
	g_hash_table_iter_init(&it, w->cells);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		const usage_cell_t *cell = key;

		if (source == NULL ||
		    (cell->source.host == source->host &&
			cell->source.start == source->start))
			g_ptr_array_add(out, key);
	}
	g_ptr_array_sort(out, compare_cells);
	return out;
}

static gint
compare_totals(gconstpointer a, gconstpointer b)
{
	const usage_total_t *x = a, *y = b;

	return strcmp(x->workspace, y->workspace);
}

GArray *
usage_counts_totals(const usage_counts_t *c, int64_t window)
{
	const usage_window_t *w = usage_counts_window(c, window);
	GArray *out = g_array_new(FALSE, FALSE, sizeof(usage_total_t));
	GHashTable *sums;
	GHashTableIter it;
	gpointer key, value;

	if (w == NULL)
		return out;
	sums = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_iter_init(&it, w->cells);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		const usage_cell_t *cell = key;
		gsize sum = GPOINTER_TO_SIZE(
		    g_hash_table_lookup(sums, cell->workspace));

		sum += cell->counted - MIN(cell->counted, cell->taken_back);
		g_hash_table_insert(
		    sums, (gpointer)cell->workspace, GSIZE_TO_POINTER(sum));
	}
	g_hash_table_iter_init(&it, sums);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const usage_total_t total = {key, GPOINTER_TO_SIZE(value)};

		if (total.count > 0)
			g_array_append_val(out, total);
	}
	g_hash_table_destroy(sums);
	g_array_sort(out, compare_totals);
	return out;
}

void
usage_counts_forget(usage_counts_t *c, int64_t window)
{
	while (c->windows->len > 0 &&
	    ((usage_window_t *)g_ptr_array_index(c->windows, 0))->id < window)
		remove_oldest(c);
}
