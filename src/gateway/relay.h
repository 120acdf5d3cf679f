#ifndef GATEWAY_RELAY_H
#define GATEWAY_RELAY_H

#include "base/metrics.h"
#include "gateway/relay_wait.h"
#include "gateway/suspects.h"
#include "gateway/tokens.h"
#include "gateway/usage_sync.h"
#include "gateway/view.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

/*
 * Relays callers' requests to backend servers. A relay is one request from its
 * arrival to its answer; it owns its exchange until then. The modules
 * admission, dispatch and attempt decide what is done with it.
 */

typedef struct {
	view_t *view;
	http_client_t *http;
	tokens_t *tokens;
	suspects_t *suspects;
	server_words_t *words;
	usage_sync_t *usage; /* NULL: the usage is not reported */
	struct event_base *base;
	GPtrArray *in_flight; /* relay_t */
	uint64_t last_number; /* number of the last request */

	metric_id_t requests, answered, refused, failed, callers_gone;
	metric_id_t tries, retries, over_rate, no_room, harmful, limits_named,
	    limits_invalid, limits_reached, speeds_named, speeds_invalid,
	    answers_invalid, host_exhausted;
	metric_id_t request_ms, server_ms;
	class_counters_t classes;
	urgency_queue_t waiting;
	struct event *wait_timer; /* pending while requests wait */
	metrics_t *metrics;
} relays_t;

void relays_init(relays_t *relays, view_t *view, http_client_t *http,
    tokens_t *tokens, suspects_t *suspects, struct event_base *base,
    metrics_t *metrics);

/**
 * relays_end() - Answer all requests in flight as if their time were over.
 *
 * Return: their number.
 */
guint relays_end(relays_t *relays);

/** relays_finish() - Give up all requests in flight. */
void relays_finish(relays_t *relays);

/** relay_begin() - Start to serve a request. */
void relay_begin(relays_t *relays, http_exchange_t *x);

/**
 * relay_may_run_beside() - Whether a request may run beside others of its
 * connection.
 * @relays: the relays
 * @x: the exchange, not yet begun
 *
 * Return: TRUE if its route is idempotent; decides nothing else.
 */
gboolean relay_may_run_beside(const relays_t *relays, const http_exchange_t *x);

/** relay_refusal_body() - Body of a refusal by the HTTP server itself. */
char *relay_refusal_body(const char *reason);

#endif
