#include "protocol/table_queue.h"

/* Changes are sent again for this time. */
#define RESEND_MS 1500
#define RESEND_ROWS_MAX 32

/* Rows that were sent together for the first time. */
typedef struct {
	msec_t at;
	uint64_t from; /* version of the table before them */
	guint first;   /* index of the first of them */
} batch_t;

void
table_queue_init(table_queue_t *q)
{
	q->rows = g_ptr_array_new_with_free_func(table_row_free);
	q->batches = g_array_new(FALSE, FALSE, sizeof(batch_t));
	q->unsent = 0;
}

void
table_queue_finish(table_queue_t *q)
{
	g_ptr_array_free(q->rows, TRUE);
	g_array_free(q->batches, TRUE);
}

void
table_queue_add(table_queue_t *q, const table_row_t *row)
{
	g_ptr_array_add(q->rows, table_row_copy(row));
}

void
table_queue_clear(table_queue_t *q)
{
	g_ptr_array_set_size(q->rows, 0);
	g_array_set_size(q->batches, 0);
	q->unsent = 0;
}

/* Drops the first @n batches with their rows. */
static void
drop_batches(table_queue_t *q, guint n)
{
	guint gone = n < q->batches->len
	    ? g_array_index(q->batches, batch_t, n).first
	    : q->unsent;

	if (gone > 0)
		g_ptr_array_remove_range(q->rows, 0, gone);
	g_array_remove_range(q->batches, 0, n);
	q->unsent -= gone;
	for (n = 0; n < q->batches->len; n++)
		g_array_index(q->batches, batch_t, n).first -= gone;
}

void
table_queue_expire(table_queue_t *q, msec_t now)
{
	guint n = 0;

	while (n < q->batches->len &&
	    now - g_array_index(q->batches, batch_t, n).at >= RESEND_MS)
		n++;
	if (q->unsent > RESEND_ROWS_MAX)
		n = q->batches->len;
	if (n > 0)
		drop_batches(q, n);
}

static gint
by_version(gconstpointer a, gconstpointer b)
{
	const table_row_t *x = *(const table_row_t *const *)a;
	const table_row_t *y = *(const table_row_t *const *)b;

	if ((x->value == NULL) != (y->value == NULL))
		return x->value == NULL ? -1 : 1;
	return x->ver < y->ver ? -1 : x->ver > y->ver;
}

/* Of each row, only its last state. */
static GPtrArray *
last_rows(const GPtrArray *rows)
{
	GHashTable *last = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *out = g_ptr_array_new();
	guint i;

	for (i = 0; i < rows->len; i++) {
		table_row_t *row = g_ptr_array_index(rows, i);

		g_hash_table_replace(last, row->key, row);
	}
	for (i = 0; i < rows->len; i++) {
		table_row_t *row = g_ptr_array_index(rows, i);

		if (g_hash_table_lookup(last, row->key) == row)
			g_ptr_array_add(out, row);
	}
	g_hash_table_destroy(last);
	return out;
}

void
table_queue_update(table_queue_t *q, uint64_t from, uint64_t to, msec_t now,
    table_update_t *update)
{
	const batch_t batch = {now, from, q->unsent};

	g_array_append_val(q->batches, batch);
	q->unsent = q->rows->len;
	update->from = g_array_index(q->batches, batch_t, 0).from;
	update->to = to;
	update->rows = last_rows(q->rows);
	g_ptr_array_sort(update->rows, by_version);
}
