#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "protocol/usage_rows.h"

/* Digits of a window in a key, so that keys sort as windows do. */
#define WINDOW_DIGITS 12

char *
usage_rows_report_key(int64_t window)
{
	return g_strdup_printf(
	    USAGE_KEY_REPORT "%0*" G_GINT64_FORMAT, WINDOW_DIGITS, window);
}

char *
usage_rows_window_key(int64_t window, const char *domain)
{
	return g_strdup_printf(USAGE_KEY_WINDOW "%0*" G_GINT64_FORMAT "/%s",
	    WINDOW_DIGITS, window, domain != NULL ? domain : "");
}

usage_row_kind_t
usage_rows_kind(const char *key, int64_t *window)
{
	gboolean report = g_str_has_prefix(key, USAGE_KEY_REPORT);
	const char *digits =
	    key + strlen(report ? USAGE_KEY_REPORT : USAGE_KEY_WINDOW);
	char *end;

	if (!report && !g_str_has_prefix(key, USAGE_KEY_WINDOW))
		return USAGE_ROW_FOREIGN;
	*window = g_ascii_strtoll(digits, &end, 10);
	if (end != digits + WINDOW_DIGITS || *end != (report ? '\0' : '/'))
		return USAGE_ROW_FOREIGN;
	return report ? USAGE_ROW_REPORT : USAGE_ROW_COUNTS;
}

static char *
dump(json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT), *copy = g_strdup(text);

	free(text);
	json_decref(root);
	return copy;
}

/* JSON numbers are signed, hashes are not. */
static json_t *
hash_json(uint64_t hash)
{
	char text[17];

	g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x", hash);
	return json_string(text);
}

static gboolean
read_hash(const json_t *json, uint64_t *hash)
{
	const char *text = json_string_value(json);
	char *end;

	if (text == NULL || *text == '\0')
		return FALSE;
	*hash = g_ascii_strtoull(text, &end, 16);
	return *end == '\0';
}

char *
usage_rows_duty(const usage_duty_row_t *row, const char *name)
{
	return dump(json_pack("{s:o, s:s, s:I, s:I, s:b, s:I}", "holder",
	    hash_json(row->holder), "name", name, "start",
	    (json_int_t)row->start, "epoch", (json_int_t)row->epoch, "quiet",
	    row->quiet, "sent", (json_int_t)row->sent));
}

static gboolean
decode_duty(const table_row_t *row, usage_duty_row_t *out)
{
	json_t *root = json_loadb(row->value, row->len, 0, NULL);
	json_int_t start, epoch, sent;
	json_t *holder;
	int quiet;
	gboolean ok = root != NULL &&
	    json_unpack(root, "{s:o, s:I, s:I, s:b, s:I}", "holder", &holder,
		"start", &start, "epoch", &epoch, "quiet", &quiet, "sent",
		&sent) == 0 &&
	    start >= 0 && epoch >= 0 && read_hash(holder, &out->holder);

	if (ok) {
		out->start = (uint64_t)start;
		out->epoch = (uint64_t)epoch;
		out->quiet = quiet;
		out->sent = sent;
	}
	json_decref(root);
	return ok;
}

void
usage_rows_read_duty(
    const table_page_t *page, usage_duty_row_t *out, uint64_t *ver)
{
	guint i;

	*out = (usage_duty_row_t){0};
	*ver = 0;
	for (i = 0; i < page->rows->len; i++) {
		const table_row_t *row = g_ptr_array_index(page->rows, i);

		if (strcmp(row->key, USAGE_DUTY_KEY) != 0 || row->value == NULL)
			continue;
		*ver = row->ver;
		/* What can't be read is replaced. */
		if (!decode_duty(row, out))
			*out = (usage_duty_row_t){0};
	}
}

/* Adds the cell to the list of its source, which is begun if need be. */
static void
add_cell(json_t *sources, json_t *names, GHashTable *indices,
    const usage_cell_t *cell, const usage_cell_t *before)
{
	gpointer index;
	json_t *source;

	if (before == NULL || before->source.host != cell->source.host ||
	    before->source.start != cell->source.start)
		json_array_append_new(sources,
		    json_pack("{s:o, s:o, s:[]}", "host",
			hash_json(cell->source.host), "start",
			hash_json(cell->source.start), "counts"));
	if (!g_hash_table_lookup_extended(
		indices, cell->workspace, NULL, &index)) {
		index = GSIZE_TO_POINTER(json_array_size(names));
		g_hash_table_insert(indices, (gpointer)cell->workspace, index);
		json_array_append_new(names, json_string(cell->workspace));
	}
	source = json_array_get(sources, json_array_size(sources) - 1);
	json_array_append_new(json_object_get(source, "counts"),
	    json_pack("[I, I, I]", (json_int_t)GPOINTER_TO_SIZE(index),
		(json_int_t)cell->counted, (json_int_t)cell->taken_back));
}

char *
usage_rows_counts(const usage_counts_t *c, int64_t window)
{
	GPtrArray *cells = usage_counts_cells(c, window, NULL);
	GHashTable *indices = g_hash_table_new(g_str_hash, g_str_equal);
	json_t *names = json_array(), *sources = json_array();
	guint i;

	for (i = 0; i < cells->len; i++)
		add_cell(sources, names, indices, g_ptr_array_index(cells, i),
		    i > 0 ? g_ptr_array_index(cells, i - 1) : NULL);
	g_hash_table_destroy(indices);
	g_ptr_array_free(cells, TRUE);
	return dump(
	    json_pack("{s:o, s:o}", "names", names, "sources", sources));
}

static gboolean
merge_source(const json_t *source, const json_t *names, int64_t window,
    usage_counts_t *c)
{
	const json_t *counts = json_object_get(source, "counts");
	usage_cell_t cell = {0};
	json_t *e;
	size_t i;

	if (!read_hash(json_object_get(source, "host"), &cell.source.host) ||
	    !read_hash(json_object_get(source, "start"), &cell.source.start))
		return FALSE;
	json_array_foreach(counts, i, e)
	{
		json_int_t index, counted, taken_back;

		if (json_unpack(
			e, "[I, I, I]", &index, &counted, &taken_back) != 0 ||
		    index < 0 || counted < 0 || counted > G_MAXUINT32 ||
		    taken_back < 0 || taken_back > G_MAXUINT32)
			return FALSE;
		cell.workspace =
		    json_string_value(json_array_get(names, (size_t)index));
		cell.counted = (uint32_t)counted;
		cell.taken_back = (uint32_t)taken_back;
		if (cell.workspace == NULL)
			return FALSE;
		usage_counts_merge(c, window, &cell);
	}
	return TRUE;
}

gboolean
usage_rows_merge_counts(
    const table_row_t *row, int64_t window, usage_counts_t *c)
{
	json_t *root = row->value != NULL
	    ? json_loadb(row->value, row->len, JSON_REJECT_DUPLICATES, NULL)
	    : NULL;
	const json_t *names = json_object_get(root, "names");
	const json_t *sources = json_object_get(root, "sources"), *e;
	gboolean ok = json_is_array(names) && json_is_array(sources);
	size_t i;

	json_array_foreach(sources, i, e) ok =
	    ok && merge_source(e, names, window, c);
	json_decref(root);
	return ok;
}
