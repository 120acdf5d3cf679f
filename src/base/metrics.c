#include <string.h>

#include "base/metrics.h"

static void
metric_clear(void *p)
{
	metric_t *row = p;

	g_free(row->name);
	g_free(row->help);
}

void
metrics_init(metrics_t *m)
{
	m->rows = g_array_new(FALSE, TRUE, sizeof(metric_t));
	g_array_set_clear_func(m->rows, metric_clear);
}

void
metrics_finish(metrics_t *m)
{
	g_array_free(m->rows, TRUE);
	m->rows = NULL;
}

static metric_t *
row_of(const metrics_t *m, metric_id_t id)
{
	return &g_array_index(m->rows, metric_t, id);
}

metric_id_t
metrics_add(
    metrics_t *m, metric_kind_t kind, const char *name, const char *help)
{
	metric_t row = {0};
	guint i;

	for (i = 0; i < m->rows->len; i++) {
		if (strcmp(row_of(m, (metric_id_t)i)->name, name) == 0)
			return (metric_id_t)i;
	}
	row.name = g_strdup(name);
	row.help = g_strdup(help);
	row.kind = kind;
	g_array_append_val(m->rows, row);
	return (metric_id_t)(m->rows->len - 1);
}

void
metrics_count(metrics_t *m, metric_id_t id, int64_t n)
{
	row_of(m, id)->value += n;
}

void
metrics_set(metrics_t *m, metric_id_t id, int64_t value)
{
	row_of(m, id)->value = value;
}

int64_t
metrics_value(const metrics_t *m, metric_id_t id)
{
	return row_of(m, id)->value;
}

char *
metrics_render(const metrics_t *m)
{
	GString *out = g_string_new(NULL);
	const metric_t *row;
	guint i;

	for (i = 0; i < m->rows->len; i++) {
		row = row_of(m, (metric_id_t)i);
		g_string_append_printf(out,
		    "# HELP greengageloom_%s %s\n"
		    "# TYPE greengageloom_%s %s\n"
		    "greengageloom_%s %" G_GINT64_FORMAT "\n",
		    row->name, row->help, row->name,
		    row->kind == METRIC_COUNTER ? "counter" : "gauge",
		    row->name, row->value);
	}
	return g_string_free(out, FALSE);
}
