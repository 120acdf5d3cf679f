#include <sys/queue.h>

#include <string.h>

#include "base/log.h"
#include "gateway/relay_internal.h"

/* Used for a caller that does not say how long it waits. */
#define DEFAULT_BUDGET_MS 30000
/* Retry-After of a host that has no configuration yet: another host may have
 * one by then. */
#define NOT_READY_RETRY_MS 500
/* Retry-After of a host whose orders are behind those of other hosts: the
 * caller goes to another host. */
#define BEHIND_RETRY_MS 100

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	relay_t *r = arg;
	const attempt_event_t e = relay_event(r, ATTEMPT_TIMED_OUT);
	struct timeval soon = {0, 1000};

	(void)fd;
	(void)what;
	/* A timer may fire slightly early by the clock that decides. */
	if (clock_now() < r->attempt.deadline)
		event_add(r->timer, &soon);
	else
		relay_step(r, &e);
}

static void
on_caller_gone(void *arg)
{
	relay_t *r = arg;
	const attempt_event_t e = relay_event(r, ATTEMPT_CALLER_GONE);

	r->x = NULL;
	metrics_count(r->relays->metrics, r->relays->callers_gone, 1);
	relay_log_end(r, 0, "caller-gone", NULL);
	relay_step(r, &e);
}

static void
refuse_admission(relay_t *r)
{
	static const struct {
		int status;
		const char *reason;
	} refusals[] = {
	    [ADMISSION_OK] = {200, "ok"},
	    [ADMISSION_NO_MANIFEST] = {503, "not-ready"},
	    [ADMISSION_NO_ROUTE] = {404, "no-route"},
	    [ADMISSION_NO_KEY] = {401, "no-key"},
	    [ADMISSION_TOO_LARGE] = {413, "too-large"},
	};
	admission_verdict_t verdict = r->admission.verdict;

	relay_reply_own(r, refusals[verdict].status,
	    verdict == ADMISSION_NO_MANIFEST ? NOT_READY_RETRY_MS : 0,
	    refusals[verdict].reason);
}

static void
start_timer(relay_t *r)
{
	msec_t ms = MAX(r->attempt.deadline - r->began_at, 0);
	struct timeval tv = {ms / MSEC_PER_SEC, (ms % MSEC_PER_SEC) * 1000};

	r->timer = evtimer_new(r->relays->base, on_timer, r);
	event_add(r->timer, &tv);
}

static void
start_job(relay_t *r)
{
	const admission_t *a = &r->admission;
	const char *object = r->request.object;

	r->job.admission = a;
	r->job.by_object = a->route->by_object && object != NULL;
	r->job.object = registry_hash(object != NULL ? object : r->id);
	r->job.body_bytes = evbuffer_get_length(http_exchange_body(r->x));
}

static void
on_token(void *arg, const server_limit_answer_t *answer)
{
	relay_t *r = arg;

	r->token_request = NULL;
	if (answer->granted) {
		r->has_token = TRUE;
		relay_act(r, r->first_action);
		return;
	}
	metrics_count(r->relays->metrics, r->relays->over_rate, 1);
	relay_reply_own(r, STATUS_OVER_RATE, answer->wait_ms, "over-rate");
}

void
relay_send_with_token(relay_t *r)
{
	const manifest_workspace_t *w = r->admission.workspace;
	token_request_t *token;

	/* If no server could take the request now, it needs no token. */
	if (w == NULL || w->rate <= 0 || r->has_token ||
	    relay_place(r).verdict != PLACING_SEND) {
		relay_act(r, r->first_action);
		return;
	}
	relay_wait_ended(r);
	/* The callback may run before this returns and end the request, so @r
	 * is used only if there is a token request. */
	token =
	    tokens_take(r->relays->tokens, registry_hash(w->name), on_token, r);
	if (token != NULL)
		r->token_request = token;
}

static void
start_attempt(relay_t *r)
{
	const admission_t *a = &r->admission;
	msec_t budget =
	    r->request.budget_ms > 0 ? r->request.budget_ms : DEFAULT_BUDGET_MS;
	msec_t timeout =
	    a->route->timeout_ms > 0 ? a->route->timeout_ms : budget;
	const view_t *v = r->relays->view;
	/* The request may have waited for others of its connection. */
	msec_t deadline = http_exchange_arrived_at(r->x) + budget;

	if (v->leaving) {
		if (!stop_plan_admits(
			&v->stop, r->began_at, MIN(budget, timeout))) {
			relay_reply_own(r, STATUS_UNAVAILABLE,
			    RELAY_LEAVING_RETRY_MS, "host-leaving");
			return;
		}
		deadline = MIN(deadline, v->stop.ends_at);
	}
	r->idempotent = a->route->kind == MANIFEST_IDEMPOTENT;
	start_job(r);
	dispatch_begin(
	    &r->relays->view->dispatch, &r->job, budget, r->began_at);
	r->first_action = attempt_init(&r->attempt, r->relays->last_number,
	    r->idempotent, deadline, timeout,
	    dispatch_budget(
		&r->relays->view->dispatch, a->service->name, r->began_at),
	    r->began_at);
	attempt_limit(
	    &r->attempt, MIN(a->route->max_tries, DISPATCH_TRIES_MAX));
	http_exchange_watch(r->x, on_caller_gone, r);
	start_timer(r);
	relay_send_with_token(r);
}

static char *
path_of(const http_exchange_t *x)
{
	const char *uri = http_exchange_uri(x);

	return g_strndup(uri, strcspn(uri, "?"));
}

void
relay_begin(relays_t *relays, http_exchange_t *x)
{
	relay_t *r = g_new0(relay_t, 1);
	const struct evkeyvalq *headers = http_exchange_headers(x);
	char *path = path_of(x);
	admission_request_t request;

	r->relays = relays;
	r->x = x;
	r->began_at = clock_now();
	relays->last_number++;
	g_ptr_array_add(relays->in_flight, r);
	metrics_count(relays->metrics, relays->requests, 1);
	wire_request_read(headers, &r->request);
	r->id = g_strdup(r->request.id != NULL ? r->request.id : "-");
	request = (admission_request_t){
	    .host = evhttp_find_header(headers, "Host"),
	    .path = path,
	    .key = r->request.key,
	    .body_bytes = evbuffer_get_length(http_exchange_body(x)),
	};
	if (r->request.repeated) {
		relay_reply_own(r, 400, 0, "a header is repeated");
	} else {
		r->admission =
		    admission_decide(&relays->view->admission, &request);
		/* Orders that other hosts have may allow it. */
		if (r->admission.verdict != ADMISSION_OK &&
		    orders_lag_is_behind(&relays->view->orders_lag))
			relay_reply_own(r, STATUS_UNAVAILABLE, BEHIND_RETRY_MS,
			    "orders-behind");
		else if (r->admission.verdict == ADMISSION_OK)
			start_attempt(r);
		else
			refuse_admission(r);
	}
	g_free(path);
}

gboolean
relay_may_run_beside(const relays_t *relays, const http_exchange_t *x)
{
	const manifest_t *m = relays->view->admission.manifest;
	const char *host = evhttp_find_header(http_exchange_headers(x), "Host");
	const manifest_route_t *route;

	if (m == NULL || host == NULL)
		return FALSE;
	route = manifest_match(m, host, http_exchange_uri(x));
	return route != NULL && route->kind == MANIFEST_IDEMPOTENT;
}

char *
relay_refusal_body(const char *reason)
{
	return g_strdup_printf("%s\n", reason);
}

void
relays_init(relays_t *relays, view_t *view, http_client_t *http,
    tokens_t *tokens, suspects_t *suspects, struct event_base *base,
    metrics_t *m)
{
	memset(relays, 0, sizeof(*relays));
	relays->view = view;
	relays->http = http;
	relays->tokens = tokens;
	relays->suspects = suspects;
	relays->words = &suspects->words;
	relays->base = base;
	relays->metrics = m;
	relays->in_flight = g_ptr_array_new();
	relays->requests = metrics_add(
	    m, METRIC_COUNTER, "requests_total", "requests received");
	relays->answered = metrics_add(m, METRIC_COUNTER,
	    "requests_answered_total", "requests answered by a backend server");
	relays->refused = metrics_add(m, METRIC_COUNTER,
	    "requests_refused_total", "requests refused before they ran");
	relays->failed = metrics_add(m, METRIC_COUNTER, "requests_failed_total",
	    "requests that failed and may have run");
	relays->callers_gone = metrics_add(m, METRIC_COUNTER,
	    "requests_gone_total", "requests whose caller hung up");
	relays->tries = metrics_add(
	    m, METRIC_COUNTER, "tries_total", "requests sent to servers");
	relays->retries = metrics_add(m, METRIC_COUNTER, "tries_again_total",
	    "second and further tries of requests");
	relays->over_rate =
	    metrics_add(m, METRIC_COUNTER, "refused_over_rate_total",
		"requests refused over their workspace's rate");
	relays->no_room = metrics_add(m, METRIC_COUNTER,
	    "refused_no_room_total", "requests refused as no server had room");
	relays->harmful =
	    metrics_add(m, METRIC_COUNTER, "refused_harmful_total",
		"requests refused as they crashed servers");
	relays->limits_named =
	    metrics_add(m, METRIC_COUNTER, "server_limits_named_total",
		"answers in which a backend server named a limit");
	relays->limits_invalid =
	    metrics_add(m, METRIC_COUNTER, "server_limits_invalid_total",
		"answers whose limit is not a decimal number in range");
	relays->limits_reached =
	    metrics_add(m, METRIC_COUNTER, "server_limits_reached_total",
		"times that a request was placed elsewhere as a server's limit "
		"was reached");
	relays->speeds_named = metrics_add(m, METRIC_COUNTER,
	    "server_speeds_named_total",
	    "answers that tell how long work takes on their server's machine");
	relays->speeds_invalid =
	    metrics_add(m, METRIC_COUNTER, "server_speeds_invalid_total",
		"answers whose speed is not one decimal number in range");
	relays->host_exhausted =
	    metrics_add(m, METRIC_COUNTER, "host_exhausted_total",
		"tries ended as this host had no memory or descriptor");
	relays->answers_invalid =
	    metrics_add(m, METRIC_COUNTER, "answers_invalid_total",
		"answers of servers that break the protocol or a bound");
	class_counters_init(&relays->classes, m);
	relay_wait_init(relays);
	relays->request_ms = metrics_add(m, METRIC_HISTOGRAM, "request_ms",
	    "time from a request to its answer, ms");
	relays->server_ms = metrics_add(m, METRIC_HISTOGRAM, "server_ms",
	    "time of a try that a backend server answered, ms");
}

guint
relays_end(relays_t *relays)
{
	msec_t now = clock_now();
	guint i, ended = relays->in_flight->len;

	for (i = ended; i > 0; i--) {
		relay_t *r = g_ptr_array_index(relays->in_flight, i - 1);
		const attempt_event_t e = relay_event(r, ATTEMPT_TIMED_OUT);

		r->attempt.deadline = MIN(r->attempt.deadline, now);
		relay_step(r, &e);
	}
	return ended;
}

void
relays_finish(relays_t *relays)
{
	guint i;

	for (i = relays->in_flight->len; i > 0; i--) {
		relay_t *r = g_ptr_array_index(relays->in_flight, i - 1);

		relay_cancel_try(r, DISPATCH_ABANDONED);
		relay_free(r);
	}
	g_ptr_array_free(relays->in_flight, TRUE);
	relay_wait_finish(relays);
}
