#include <string.h>

#include "state/fair_queue.h"

#define COST_SCALE 1000000.0 /* virtual time of a request at weight 1 */
#define WEIGHT_MIN 0.001
#define NO_ITEM UINT32_MAX

static queue_item_t *
item_at(const fair_queue_t *q, uint32_t i)
{
	return &g_array_index(q->items, queue_item_t, i);
}

static queue_row_t *
row_at(const fair_queue_t *q, uint32_t i)
{
	return &g_array_index(q->rows, queue_row_t, i);
}

static void
row_clear(void *p)
{
	queue_row_t *r = p;

	g_free(r->workspace);
}

void
fair_queue_init(fair_queue_t *q, uint32_t max_len, msec_t max_wait_ms)
{
	memset(q, 0, sizeof(*q));
	q->max_len = max_len;
	q->max_wait_ms = max_wait_ms;
	q->items = g_array_new(FALSE, TRUE, sizeof(queue_item_t));
	q->rows = g_array_new(FALSE, TRUE, sizeof(queue_row_t));
	g_array_set_clear_func(q->rows, row_clear);
}

void
fair_queue_finish(fair_queue_t *q)
{
	g_array_free(q->items, TRUE);
	g_array_free(q->rows, TRUE);
	memset(q, 0, sizeof(*q));
}

queue_row_id_t
fair_queue_row(fair_queue_t *q, const char *workspace, double weight)
{
	queue_row_t row = {.first = NO_ITEM, .last = NO_ITEM};
	uint64_t cost = (uint64_t)(COST_SCALE / MAX(weight, WEIGHT_MIN));
	guint i;

	cost = MAX(cost, 1);
	for (i = 0; i < q->rows->len; i++) {
		if (strcmp(row_at(q, i)->workspace, workspace) != 0)
			continue;
		row_at(q, i)->cost = cost;
		return i;
	}
	row.workspace = g_strdup(workspace);
	row.cost = cost;
	g_array_append_val(q->rows, row);
	return i;
}

static queue_handle_t
handle_of(const fair_queue_t *q, uint32_t i)
{
	return (uint64_t)item_at(q, i)->generation << 32 | i;
}

static queue_item_t *
find_item(const fair_queue_t *q, queue_handle_t handle)
{
	uint32_t i = (uint32_t)handle;
	queue_item_t *item;

	if (i >= q->items->len)
		return NULL;
	item = item_at(q, i);
	return item->used && handle_of(q, i) == handle ? item : NULL;
}

static void
unlink_item(fair_queue_t *q, queue_item_t *item)
{
	queue_row_t *row = row_at(q, item->row);

	if (item->prev == NO_ITEM)
		row->first = item->next;
	else
		item_at(q, item->prev)->next = item->next;
	if (item->next == NO_ITEM)
		row->last = item->prev;
	else
		item_at(q, item->next)->prev = item->prev;
	row->len--;
	q->len--;
	item->used = FALSE;
	item->generation++;
}

static uint32_t
free_item(fair_queue_t *q)
{
	uint32_t i;

	for (i = 0; i < q->items->len; i++) {
		if (!item_at(q, i)->used)
			return i;
	}
	g_array_set_size(q->items, i + 1);
	return i;
}

static void
append_item(fair_queue_t *q, uint32_t i)
{
	queue_item_t *item = item_at(q, i);
	queue_row_t *row = row_at(q, item->row);

	item->prev = row->last;
	item->next = NO_ITEM;
	if (row->last == NO_ITEM)
		row->first = i;
	else
		item_at(q, row->last)->next = i;
	row->last = i;
	row->len++;
	q->len++;
}

/*
 * The row whose queue is longest in proportion to its weight, where the row
 * @extra counts as one request longer.
 */
static queue_row_id_t
longest_row(const fair_queue_t *q, queue_row_id_t extra)
{
	uint64_t length, most = 0;
	queue_row_id_t best = extra;
	uint32_t i;

	for (i = 0; i < q->rows->len; i++) {
		length = row_at(q, i)->len + (i == extra);
		if (length * row_at(q, i)->cost <= most)
			continue;
		most = length * row_at(q, i)->cost;
		best = i;
	}
	return best;
}

/* Drops a request of another workspace. FALSE if row has the longest queue. */
static gboolean
make_room(fair_queue_t *q, queue_row_id_t row, uint64_t *dropped)
{
	queue_row_id_t loser = longest_row(q, row);
	queue_item_t *item;

	if (loser == row)
		return FALSE;
	item = item_at(q, row_at(q, loser)->last);
	*dropped = item->request;
	unlink_item(q, item);
	return TRUE;
}

queue_handle_t
fair_queue_put(fair_queue_t *q, queue_row_id_t row, uint64_t request,
    msec_t deadline, msec_t now, uint64_t *dropped)
{
	queue_item_t *item;
	uint32_t i;

	*dropped = QUEUE_NONE;
	if (q->len >= q->max_len && !make_room(q, row, dropped)) {
		*dropped = request;
		return QUEUE_NONE;
	}
	i = free_item(q);
	item = item_at(q, i);
	item->used = TRUE;
	item->request = request;
	item->row = row;
	item->expires = MIN(deadline, now + q->max_wait_ms);
	append_item(q, i);
	return handle_of(q, i);
}

/* Virtual start of a workspace's next request. Idle time gives no credit. */
static uint64_t
start_of(const fair_queue_t *q, const queue_row_t *row)
{
	return MAX(row->finish, q->virtual_time);
}

queue_handle_t
fair_queue_head(const fair_queue_t *q, uint64_t *request)
{
	const queue_row_t *row, *best = NULL;
	guint i;

	for (i = 0; i < q->rows->len; i++) {
		row = row_at(q, i);
		if (row->len == 0)
			continue;
		if (!best || start_of(q, row) < start_of(q, best))
			best = row;
	}
	if (!best)
		return QUEUE_NONE;
	*request = item_at(q, best->first)->request;
	return handle_of(q, best->first);
}

void
fair_queue_charge(fair_queue_t *q, queue_row_id_t id)
{
	queue_row_t *row = row_at(q, id);

	q->virtual_time = start_of(q, row);
	row->finish = q->virtual_time + row->cost;
}

void
fair_queue_serve(fair_queue_t *q, queue_handle_t handle)
{
	queue_item_t *item = find_item(q, handle);
	queue_row_id_t row;

	if (!item)
		return;
	row = item->row;
	unlink_item(q, item);
	fair_queue_charge(q, row);
}

gboolean
fair_queue_cancel(fair_queue_t *q, queue_handle_t handle)
{
	queue_item_t *item = find_item(q, handle);

	if (!item)
		return FALSE;
	unlink_item(q, item);
	return TRUE;
}

gboolean
fair_queue_expired(fair_queue_t *q, msec_t now, uint64_t *request)
{
	queue_item_t *item;
	guint i;

	for (i = 0; i < q->items->len; i++) {
		item = item_at(q, i);
		if (!item->used || now < item->expires)
			continue;
		*request = item->request;
		unlink_item(q, item);
		return TRUE;
	}
	return FALSE;
}
