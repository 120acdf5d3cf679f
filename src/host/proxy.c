#include <sys/queue.h>

#include <string.h>

#include "base/log.h"
#include "host/proxy.h"
#include "host/poison_sync.h"
#include "host/limits.h"
#include "host/moves.h"
#include "host/once_calls.h"
#include "host/slot_queue.h"

/* Deadline of a caller that names none: only the service's timeout applies. */
#define NO_DEADLINE INT64_MAX
/* Retry delay that is advised with a refusal for a passing reason. */
#define RETRY_ADVICE_MS 1000

static poison_end_t
poison_end_of(const proxy_request_t *pr, outcome_t outcome)
{
	if (pr->claim_pending)
		return POISON_NOT_RUN; /* it was never sent */
	switch (outcome) {
	case OUTCOME_OK:
	case OUTCOME_ERROR:
		return POISON_ANSWERED;
	case OUTCOME_SHED:
	case OUTCOME_REFUSED:
		return POISON_NOT_RUN;
	case OUTCOME_BROKEN:
		return POISON_BROKEN;
	case OUTCOME_TIMEOUT:
	case OUTCOME_CANCELLED:
	case OUTCOME_KINDS:
		break;
	}
	return POISON_ABANDONED;
}

void
proxy_release_endpoint(proxy_request_t *pr, outcome_t outcome)
{
	host_t *h = pr->host;
	msec_t now = clock_now();

	if (!pr->booked)
		return;
	pr->booked = FALSE;
	moves_count(pr, outcome, now - pr->sent_at);
	route_end(&h->routes, &h->stats, &pr->ticket, outcome,
	    (uint32_t)(now - pr->sent_at), pr->answer_bytes * 8, now);
	if (pr->run_registered) {
		poison_end(&h->poison, pr->poison_run,
		    poison_end_of(pr, outcome), now);
		pr->run_registered = FALSE;
		pr->claim_pending = FALSE;
		poison_sync_flush(h);
	}
	slot_queue_serve_later(h);
}

run_state_t
proxy_run_state(const proxy_request_t *pr)
{
	return pr->started && pr->attempt.may_have_run ? RUN_UNKNOWN : RUN_NOT;
}

void
proxy_free(proxy_request_t *pr)
{
	gboolean ran = pr->may_be_running || proxy_run_state(pr) != RUN_NOT;

	if (pr->call != NULL)
		http_call_cancel(pr->call);
	proxy_release_endpoint(pr, OUTCOME_CANCELLED);
	/* An end that was not reported before: the caller has disconnected. */
	once_calls_ended(pr, ran ? RAN_UNKNOWN : RAN_NO);
	limits_forget(pr);
	slot_queue_remove(pr);
	if (pr->timer != NULL)
		event_free(pr->timer);
	g_ptr_array_remove_fast(pr->host->proxied_requests, pr);
	request_finish(&pr->request);
	g_array_free(pr->tried, TRUE);
	if (pr->kept != NULL)
		g_byte_array_unref(pr->kept);
	g_free(pr->kept_type);
	g_free(pr->workspace);
	g_free(pr->address);
	g_free(pr);
}

static void
log_refusal(const proxy_request_t *pr, refusal_t why, run_state_t run)
{
	log_event(LOG_DEBUG, "request.refused", "id", pr->id, "service",
	    pr->request.service, "workspace", pr->workspace, "reason",
	    refusal_reason(why), "run", run == RUN_NOT ? "no" : "unknown",
	    NULL);
}

void
proxy_refuse(
    proxy_request_t *pr, refusal_t why, run_state_t run, msec_t retry_ms)
{
	host_t *h = pr->host;

	metrics_count(&h->metrics, h->m.refused, 1);
	log_refusal(pr, why, run);
	once_calls_ended(pr, run == RUN_NOT ? RAN_NO : RAN_UNKNOWN);
	refusal_send(pr->x, why, run, retry_ms);
	proxy_free(pr);
}

/* The caller has disconnected, so nobody waits for the answer. */
static void
on_caller_gone(void *arg)
{
	proxy_request_t *pr = arg;

	metrics_count(&pr->host->metrics, pr->host->m.hang_ups, 1);
	pr->x = NULL;
	/* The rest of an answer that waited for this caller is dropped. */
	if (pr->answer_started && pr->call != NULL)
		http_call_pause(pr->call, FALSE);
	if (pr->started)
		proxy_attempt_event(pr, ATTEMPT_CALLER_GONE);
	else
		proxy_free(pr);
}

static refusal_t
key_refusal(key_verdict_kind_t kind)
{
	switch (kind) {
	case KEY_WITHDRAWN:
		return REFUSAL_KEY_WITHDRAWN;
	case KEY_NOT_FRESH:
		return REFUSAL_NOT_FRESH;
	case KEY_OK:
	case KEY_UNKNOWN:
		break;
	}
	return REFUSAL_KEY_UNKNOWN;
}

/*
 * Checks the caller's key again before each try, since the request may have
 * waited and its connection may be old. resolve() checks it on arrival.
 */
static gboolean
key_still_valid(proxy_request_t *pr, refusal_t *why)
{
	host_t *h = pr->host;
	key_verdict_t v;

	if (pr->workspace == NULL)
		return TRUE;
	v = keys_check(&h->key_sync.keys, &h->key_sync.fresh, &pr->request.key,
	    clock_now());
	if (v.kind == KEY_OK && strcmp(v.workspace, pr->workspace) == 0)
		return TRUE;
	*why = key_refusal(v.kind);
	return FALSE;
}

static void
refuse_key(proxy_request_t *pr, refusal_t why)
{
	host_t *h = pr->host;

	metrics_count(&h->metrics, h->m.key_refused, 1);
	/* A retry may reach a host that can check the key. */
	proxy_refuse(pr, why, proxy_run_state(pr),
	    why == REFUSAL_NOT_FRESH ? RETRY_ADVICE_MS : 0);
}

static refusal_t
refusal_of(refuse_reason_t reason, ran_t ran)
{
	if (reason == REFUSED_HOST_MEMORY)
		return REFUSAL_HOST_MEMORY;
	if (ran != RAN_NO)
		return reason == REFUSED_DEADLINE ? REFUSAL_TIMEOUT
						  : REFUSAL_BROKEN;
	switch (reason) {
	case REFUSED_NO_ROOM:
		return REFUSAL_NO_ROOM;
	case REFUSED_POISON:
		return REFUSAL_HARMFUL;
	case REFUSED_NO_SERVER:
	case REFUSED_UNREACHABLE:
		return REFUSAL_NO_SERVER;
	case REFUSED_HOST_DESCRIPTORS:
		return REFUSAL_HOST_DESCRIPTORS;
	case REFUSED_HOST_MEMORY:
	case REFUSED_BROKEN:
		return REFUSAL_BROKEN;
	case REFUSED_DEADLINE:
		break;
	}
	return REFUSAL_DEADLINE;
}

static void
refuse_attempt(proxy_request_t *pr, const attempt_action_t *action)
{
	refusal_t why = refusal_of(action->reason, action->ran);

	proxy_refuse(pr, why, action->ran == RAN_NO ? RUN_NOT : RUN_UNKNOWN,
	    why == REFUSAL_NO_ROOM || why == REFUSAL_NO_SERVER ||
		    why == REFUSAL_HOST_DESCRIPTORS
		? RETRY_ADVICE_MS
		: 0);
}

static void
cancel_try(proxy_request_t *pr)
{
	if (pr->call != NULL) {
		http_call_cancel(pr->call);
		pr->call = NULL;
	}
	proxy_release_endpoint(pr, OUTCOME_CANCELLED);
}

void
proxy_run_action(proxy_request_t *pr, const attempt_action_t *action)
{
	refusal_t why;

	if (action->cancel)
		cancel_try(pr);
	switch (action->kind) {
	case ATTEMPT_IGNORE:
	case ATTEMPT_REPLY:
		break;
	case ATTEMPT_PLACE:
		proxy_choose_endpoint(pr);
		break;
	case ATTEMPT_WAIT:
		slot_queue_add(pr);
		break;
	case ATTEMPT_SEND:
		if (key_still_valid(pr, &why))
			proxy_send(pr, action->timeout_ms);
		else
			refuse_key(pr, why);
		break;
	case ATTEMPT_REFUSE:
		refuse_attempt(pr, action);
		break;
	case ATTEMPT_ABANDON:
		proxy_free(pr);
		break;
	}
}

void
proxy_attempt_event(proxy_request_t *pr, attempt_event_kind_t kind)
{
	attempt_event_t e = {
	    .kind = kind,
	    .request_id = pr->attempt.request_id,
	    .number = pr->attempt.number,
	};
	attempt_action_t action = attempt_step(&pr->attempt, &e, clock_now());

	proxy_run_action(pr, &action);
}

void
proxy_start_tries(proxy_request_t *pr)
{
	host_t *h = pr->host;
	msec_t now = clock_now();
	msec_t deadline = pr->request.timeout_ms > 0
	    ? pr->arrived_at + pr->request.timeout_ms
	    : NO_DEADLINE;
	attempt_action_t action;

	pr->started = TRUE;
	action =
	    attempt_init(&pr->attempt, pr->number, pr->idempotent, deadline,
		pr->timeout_ms, host_retry_budget(h, pr->request.service), now);
	proxy_run_action(pr, &action);
}

/* Finds service, route and workspace; on failure sets @why. */
static gboolean
resolve(proxy_request_t *pr, refusal_t *why)
{
	host_t *h = pr->host;
	service_id_t service =
	    catalog_find_service(&h->catalog, pr->request.service);
	const route_t *route;
	key_verdict_t v;

	*why = REFUSAL_UNKNOWN_SERVICE;
	if (service == ID_NONE)
		return FALSE;
	*why = REFUSAL_NO_ROUTE;
	route = catalog_route(
	    &h->catalog, service, pr->request.method_name, pr->request.path);
	if (route == NULL)
		return FALSE;
	pr->idempotent = route->idempotent;
	pr->timeout_ms = catalog_service(&h->catalog, service)->timeout_ms;
	if (route->open)
		return TRUE;
	*why = REFUSAL_KEY_MISSING;
	if (!pr->request.has_key)
		return FALSE;
	v = keys_check(&h->key_sync.keys, &h->key_sync.fresh, &pr->request.key,
	    clock_now());
	*why = key_refusal(v.kind);
	if (v.kind != KEY_OK ||
	    catalog_find_workspace(&h->catalog, v.workspace) == ID_NONE)
		return FALSE;
	pr->workspace = g_strdup(v.workspace);
	return TRUE;
}

void
proxy_admitted(proxy_request_t *pr, admit_kind_t kind, msec_t retry_ms)
{
	host_t *h = pr->host;

	switch (kind) {
	case ADMIT:
		if (once_calls_wanted(pr))
			once_calls_begin(pr);
		else
			proxy_start_tries(pr);
		break;
	case ADMIT_WAIT:
		break;
	case ADMIT_REFUSE:
		metrics_count(&h->metrics, h->m.rate_refused, 1);
		proxy_refuse(pr, REFUSAL_OVER_RATE, RUN_NOT, retry_ms);
		break;
	case ADMIT_STALE:
		refuse_key(pr, REFUSAL_NOT_FRESH);
		break;
	}
}

static gboolean
accepts_requests(const host_t *h, refusal_t *why)
{
	switch (h->phase) {
	case HOST_SERVING:
	case HOST_DRAINING: /* cached look-ups still name this host */
		return TRUE;
	case HOST_STARTING:
	case HOST_ENDING:
		break;
	}
	*why = REFUSAL_NOT_READY;
	return FALSE;
}

/* Time within which the request is answered or given up. */
static msec_t
time_needed(const proxy_request_t *pr)
{
	msec_t budget = pr->request.timeout_ms;

	return budget > 0 ? MIN(budget, pr->timeout_ms) : pr->timeout_ms;
}

void
proxy_end_all(host_t *h)
{
	msec_t now = clock_now();
	guint i;

	for (i = h->proxied_requests->len; i > 0; i--) {
		proxy_request_t *pr =
		    g_ptr_array_index(h->proxied_requests, i - 1);

		if (pr->answer_started || pr->x == NULL)
			continue;
		if (!pr->started) {
			proxy_refuse(
			    pr, REFUSAL_LEAVING, RUN_NOT, RETRY_ADVICE_MS);
			continue;
		}
		pr->attempt.deadline = MIN(pr->attempt.deadline, now);
		proxy_attempt_event(pr, ATTEMPT_TIMED_OUT);
	}
}

void
proxy_begin(host_t *h, http_exchange_t *x)
{
	msec_t retry_ms = 0;
	admit_kind_t kind;
	proxy_request_t *pr;
	refusal_t why;

	metrics_count(&h->metrics, h->m.requests, 1);
	pr = g_new0(proxy_request_t, 1);
	if (!accepts_requests(h, &why) ||
	    !request_init(&pr->request, x, &why)) {
		metrics_count(&h->metrics, h->m.refused, 1);
		refusal_send(x, why, RUN_NOT,
		    why == REFUSAL_NOT_READY ? RETRY_ADVICE_MS : 0);
		g_free(pr);
		return;
	}
	pr->host = h;
	pr->queued = QUEUE_NONE;
	pr->once = ONCE_NONE;
	pr->number = ++h->next_request;
	pr->x = x;
	pr->arrived_at = clock_now();
	pr->tried = g_array_new(FALSE, FALSE, sizeof(GQuark));
	g_ptr_array_add(h->proxied_requests, pr);
	g_snprintf(pr->id, sizeof(pr->id),
	    "%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, h->settings.id,
	    (guint64)h->incarnation, (guint64)pr->number);
	http_exchange_watch(x, on_caller_gone, pr);
	if (!resolve(pr, &why)) {
		if (why >= REFUSAL_KEY_MISSING && why <= REFUSAL_NOT_FRESH)
			refuse_key(pr, why);
		else
			proxy_refuse(pr, why, RUN_NOT, 0);
		return;
	}
	if (h->phase == HOST_DRAINING &&
	    !stop_plan_admits(&h->stop, pr->arrived_at, time_needed(pr))) {
		proxy_refuse(pr, REFUSAL_LEAVING, RUN_NOT, RETRY_ADVICE_MS);
		return;
	}
	poison_sync_fingerprint(pr, &pr->fingerprint);
	if (pr->workspace == NULL) {
		proxy_admitted(pr, ADMIT, 0);
		return;
	}
	kind = limits_admit(pr, &retry_ms);
	if (kind != ADMIT_WAIT)
		proxy_admitted(pr, kind, retry_ms);
}
