#include <string.h>

#include "base/log.h"
#include "host/mirror.h"
#include "protocol/rows.h"

static gint
key_cmp(gconstpointer a, gconstpointer b, gpointer unused)
{
	(void)unused;
	return strcmp(a, b);
}

static void
row_free(void *p)
{
	mirror_row_t *row = p;

	g_free(row->value);
	g_free(row);
}

void
mirror_init(mirror_t *m, store_t *store, mirror_changed_t changed, void *arg)
{
	memset(m, 0, sizeof(*m));
	m->store = store;
	m->changed = changed;
	m->arg = arg;
	m->rows = g_tree_new_full(key_cmp, NULL, g_free, row_free);
}

void
mirror_finish(mirror_t *m)
{
	g_tree_destroy(m->rows);
}

static void
apply_row(mirror_t *m, const store_row_t *in)
{
	mirror_row_t *row;

	if (in->value == NULL) {
		g_tree_remove(m->rows, in->key);
		return;
	}
	row = g_new0(mirror_row_t, 1);
	row->value = g_strdup(in->value);
	row->version = in->version;
	g_tree_replace(m->rows, g_strdup(in->key), row);
}

static void
on_scan(void *arg, const store_result_t *result, const GError *err)
{
	mirror_t *m = arg;
	const GArray *rows = result->u.scan.rows;
	uint64_t since = m->version;
	guint i;

	m->busy = FALSE;
	if (err != NULL) {
		log_event(LOG_DEBUG, "store.scan.failed", "error", err->message,
		    NULL);
	} else {
		for (i = 0; i < rows->len; i++)
			apply_row(m, &g_array_index(rows, store_row_t, i));
		m->version = MAX(m->version, result->u.scan.version);
		m->sent_at = result->sent_at;
		m->changed(m->arg, rows, since, result->sent_at);
	}
	if (m->again)
		mirror_scan(m);
}

void
mirror_scan(mirror_t *m)
{
	m->again = m->busy;
	if (m->busy)
		return;
	m->busy = TRUE;
	store_scan(m->store, ROWS_PREFIX, m->version, on_scan, m);
}

const mirror_row_t *
mirror_get(const mirror_t *m, const char *key)
{
	return g_tree_lookup(m->rows, key);
}

void
mirror_each(const mirror_t *m, const char *prefix,
    void (*fn)(void *arg, const char *name, const mirror_row_t *row), void *arg)
{
	GTreeNode *node = g_tree_lower_bound(m->rows, prefix);
	const char *key;

	for (; node != NULL; node = g_tree_node_next(node)) {
		key = g_tree_node_key(node);
		if (!g_str_has_prefix(key, prefix))
			return;
		fn(arg, key + strlen(prefix), g_tree_node_value(node));
	}
}
