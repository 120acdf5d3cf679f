#ifndef BASE_METRICS_H
#define BASE_METRICS_H

#include <stdint.h>

#include <glib.h>

/*
 * Counters, gauges and histograms of this process, by name. A handle is valid
 * until metrics_finish().
 */

typedef uint16_t metric_id_t;

typedef enum {
	METRIC_COUNTER,	  /* only grows */
	METRIC_GAUGE,	  /* set to the current value */
	METRIC_HISTOGRAM, /* of times in milliseconds */
} metric_kind_t;

/* Buckets of a histogram; the last one has no upper bound. */
#define METRIC_BUCKETS 12

typedef struct {
	char *name;
	char *help;
	metric_kind_t kind;
	int64_t value;	  /* of a histogram: the sum of all samples */
	int64_t *buckets; /* of a histogram: samples in each */
} metric_t;

typedef struct {
	GArray *rows; /* metric_t */
} metrics_t;

void metrics_init(metrics_t *m);
void metrics_finish(metrics_t *m);

/**
 * metrics_add() - Register a metric, or find a registered one by its name.
 * @m: the table
 * @kind: counter, gauge or histogram
 * @name: name in the Prometheus form, unit last ("requests_total")
 * @help: one line that says what is measured, with the unit
 */
metric_id_t metrics_add(
    metrics_t *m, metric_kind_t kind, const char *name, const char *help);

void metrics_count(metrics_t *m, metric_id_t id, int64_t n);
void metrics_set(metrics_t *m, metric_id_t id, int64_t value);

/** metrics_observe() - Add a sample to a histogram, in milliseconds. */
void metrics_observe(metrics_t *m, metric_id_t id, int64_t ms);
int64_t metrics_value(const metrics_t *m, metric_id_t id);

/**
 * metrics_render() - Write all metrics in the text exposition format.
 * @m: the table
 *
 * Return: text to be freed with g_free().
 */
char *metrics_render(const metrics_t *m);

#endif
