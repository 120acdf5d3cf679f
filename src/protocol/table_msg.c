#include <string.h>

#include "coordination/store_era.h"
#include "protocol/table_msg.h"

table_row_t *
table_row_copy(const table_row_t *row)
{
	table_row_t *copy = g_new(table_row_t, 1);

	*copy = *row;
	copy->key = g_strdup(row->key);
	if (row->value != NULL) {
		copy->value = g_malloc(row->len + 1);
		memcpy(copy->value, row->value, row->len + 1);
	}
	return copy;
}

void
table_row_free(void *p)
{
	table_row_t *row = p;

	g_free(row->key);
	g_free(row->value);
	g_free(row);
}

void
table_page_init(table_page_t *page)
{
	*page = (table_page_t){0};
	page->rows = g_ptr_array_new_with_free_func(table_row_free);
}

void
table_page_finish(table_page_t *page)
{
	g_ptr_array_free(page->rows, TRUE);
	*page = (table_page_t){0};
}

table_row_t *
table_page_add(table_page_t *page)
{
	table_row_t *row = g_new0(table_row_t, 1);

	g_ptr_array_add(page->rows, row);
	return row;
}

uint64_t
table_page_end(const table_page_t *page)
{
	const table_row_t *first, *last;

	if (!page->more || page->rows->len == 0)
		return page->ver;
	first = g_ptr_array_index(page->rows, 0);
	last = g_ptr_array_index(page->rows, page->rows->len - 1);
	/* A page of a single transaction has to lead on, or the same page would
	 * be read for ever. */
	return MIN(
	    page->ver, last->ver > first->ver ? last->ver - 1 : last->ver);
}

gboolean
table_page_set_era(table_page_t *page, uint64_t era)
{
	gboolean ok = store_era_compose(era, page->ver, &page->ver);
	guint i;

	for (i = 0; i < page->rows->len; i++) {
		table_row_t *row = g_ptr_array_index(page->rows, i);

		ok &= store_era_compose(era, row->ver, &row->ver);
	}
	return ok;
}

void
table_write_put(
    table_write_t *w, const char *table, const char *key, const char *value)
{
	g_assert(w->n < TABLE_CHANGES_MAX);
	w->changes[w->n++] =
	    (table_change_t){.table = table, .key = key, .value = value};
}

void
table_write_put_if(table_write_t *w, const char *table, const char *key,
    const char *value, uint64_t expected)
{
	table_write_put(w, table, key, value);
	w->changes[w->n - 1].checked = TRUE;
	w->changes[w->n - 1].expected = expected;
}
