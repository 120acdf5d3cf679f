#include "host/host.h"

void
host_register_metrics(host_t *h)
{
	const struct {
		metric_id_t *id;
		metric_kind_t kind;
		const char *name, *help;
	} rows[] = {
	    {&h->m.requests, METRIC_COUNTER, "requests_total",
		"Requests taken from callers."},
	    {&h->m.answered, METRIC_COUNTER, "requests_answered_total",
		"Requests answered by a backend server."},
	    {&h->m.refused, METRIC_COUNTER, "requests_refused_total",
		"Requests refused by this host."},
	    {&h->m.retries, METRIC_COUNTER, "retries_total",
		"Tries after the first of a request."},
	    {&h->m.hang_ups, METRIC_COUNTER, "callers_gone_total",
		"Callers that hung up before their answer."},
	    {&h->m.queued, METRIC_COUNTER, "requests_queued_total",
		"Requests that had to wait for a slot."},
	    {&h->m.lookups, METRIC_COUNTER, "lookups_total",
		"Look-ups answered."},
	    {&h->m.key_refused, METRIC_COUNTER, "key_refused_total",
		"Requests refused for their key."},
	    {&h->m.rate_refused, METRIC_COUNTER, "rate_refused_total",
		"Requests refused over their workspace's rate."},
	    {&h->m.probes_failed, METRIC_COUNTER, "probes_failed_total",
		"Health probes without a usable answer."},
	    {&h->m.answers_invalid, METRIC_COUNTER, "answers_invalid_total",
		"Answers of backend servers that break the protocol or a "
		"bound."},
	    {&h->m.in_flight, METRIC_GAUGE, "requests_in_flight",
		"Requests taken and not yet ended."},
	    {&h->m.config_version, METRIC_GAUGE, "config_version",
		"Configuration in force."},
	    {&h->m.fresh_ms, METRIC_GAUGE, "keys_fresh_ms",
		"Milliseconds for which keys may still be accepted."},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		*rows[i].id = metrics_add(
		    &h->metrics, rows[i].kind, rows[i].name, rows[i].help);
}
