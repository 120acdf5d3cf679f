#include <string.h>

#include "base/metrics.h"

/* Upper bounds of the buckets of a histogram, ms. */
static const int64_t bounds[METRIC_BUCKETS - 1] = {
    5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000};

static void
metric_clear(void *p)
{
	metric_t *row = p;

	g_free(row->name);
	g_free(row->help);
	g_free(row->buckets);
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
	if (kind == METRIC_HISTOGRAM)
		row.buckets = g_new0(int64_t, METRIC_BUCKETS);
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

void
metrics_observe(metrics_t *m, metric_id_t id, int64_t ms)
{
	metric_t *row = row_of(m, id);
	guint i = 0;

	while (i < METRIC_BUCKETS - 1 && ms > bounds[i])
		i++;
	row->buckets[i]++;
	row->value += ms;
}

int64_t
metrics_value(const metrics_t *m, metric_id_t id)
{
	return row_of(m, id)->value;
}

static void
render_histogram(GString *out, const metric_t *row)
{
	int64_t n = 0;
	guint i;

	g_string_append_printf(out,
	    "# HELP greengageloom_%s %s\n"
	    "# TYPE greengageloom_%s histogram\n",
	    row->name, row->help, row->name);
	for (i = 0; i < METRIC_BUCKETS; i++) {
		n += row->buckets[i];
		if (i < METRIC_BUCKETS - 1)
			g_string_append_printf(out,
			    "greengageloom_%s_bucket{le=\"%" G_GINT64_FORMAT
			    "\"} %" G_GINT64_FORMAT "\n",
			    row->name, bounds[i], n);
	}
	g_string_append_printf(out,
	    "greengageloom_%s_bucket{le=\"+Inf\"} %" G_GINT64_FORMAT "\n"
	    "greengageloom_%s_sum %" G_GINT64_FORMAT "\n"
	    "greengageloom_%s_count %" G_GINT64_FORMAT "\n",
	    row->name, n, row->name, row->value, row->name, n);
}

char *
metrics_render(const metrics_t *m)
{
	GString *out = g_string_new(NULL);
	const metric_t *row;
	guint i;

	for (i = 0; i < m->rows->len; i++) {
		row = row_of(m, (metric_id_t)i);
		if (row->kind == METRIC_HISTOGRAM) {
			render_histogram(out, row);
			continue;
		}
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
