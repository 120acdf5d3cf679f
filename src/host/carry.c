#include <sys/queue.h>

#include <string.h>

#include "base/log.h"
#include "host/carry.h"
#include "host/harm.h"
#include "host/limits.h"
#include "host/moves.h"
#include "host/once_calls.h"
#include "host/room.h"

/* A caller that names no deadline gets the service's timeout, no more. */
#define NO_DEADLINE INT64_MAX
/* What a refusal for want of room advises. */
#define RETRY_ROOM_MS 1000

static poison_end_t
poison_end_of(const carry_t *c, outcome_t outcome)
{
	if (c->claimed)
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
	return POISON_LEFT;
}

void
carry_unbook(carry_t *c, outcome_t outcome)
{
	host_t *h = c->host;
	msec_t now = clock_now();

	if (!c->booked)
		return;
	c->booked = FALSE;
	moves_count(c, outcome, now - c->sent_at);
	route_end(&h->routes, &h->stats, &c->ticket, outcome,
	    (uint32_t)(now - c->sent_at), c->answer_bytes * 8, now);
	if (c->begun) {
		poison_end(&h->poison, c->run, poison_end_of(c, outcome), now);
		c->begun = FALSE;
		c->claimed = FALSE;
		harm_spread(h);
	}
	room_pump_later(h);
}

run_state_t
carry_run_state(const carry_t *c)
{
	return c->started && c->attempt.may_have_run ? RUN_UNKNOWN : RUN_NOT;
}

void
carry_free(carry_t *c)
{
	gboolean ran = c->sent || carry_run_state(c) != RUN_NOT;

	if (c->call != NULL)
		http_call_cancel(c->call);
	carry_unbook(c, OUTCOME_CANCELLED);
	/* An end that nobody has told of: the caller is gone. */
	once_calls_ended(c, ran ? RAN_UNKNOWN : RAN_NO);
	limits_forget(c);
	room_forget(c);
	if (c->timer != NULL)
		event_free(c->timer);
	g_ptr_array_remove_fast(c->host->carries, c);
	request_finish(&c->request);
	g_array_free(c->tried, TRUE);
	if (c->kept != NULL)
		g_byte_array_unref(c->kept);
	g_free(c->kept_type);
	g_free(c->workspace);
	g_free(c->address);
	g_free(c);
}

static void
log_refusal(const carry_t *c, refusal_t why, run_state_t run)
{
	log_event(LOG_DEBUG, "request.refused", "id", c->id, "service",
	    c->request.service, "workspace", c->workspace, "reason",
	    refusal_reason(why), "run", run == RUN_NOT ? "no" : "unknown",
	    NULL);
}

void
carry_refuse(carry_t *c, refusal_t why, run_state_t run, msec_t retry_ms)
{
	host_t *h = c->host;

	metrics_count(&h->metrics, h->m.refused, 1);
	log_refusal(c, why, run);
	once_calls_ended(c, run == RUN_NOT ? RAN_NO : RAN_UNKNOWN);
	refusal_send(c->x, why, run, retry_ms);
	carry_free(c);
}

/* The caller hung up: whatever it asked for, nobody waits for the answer. */
static void
on_gone(void *arg)
{
	carry_t *c = arg;

	metrics_count(&c->host->metrics, c->host->m.hang_ups, 1);
	c->x = NULL;
	if (c->started)
		carry_event(c, ATTEMPT_CALLER_GONE);
	else
		carry_free(c);
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
 * Judges the caller's key at this moment: on arrival, and again before each
 * try, since the request may have waited and its connection may be old.
 */
static gboolean
may_run(carry_t *c, refusal_t *why)
{
	host_t *h = c->host;
	key_verdict_t v;

	if (c->workspace == NULL)
		return TRUE;
	v = keys_check(
	    &h->sync.keys, &h->sync.fresh, &c->request.key, clock_now());
	if (v.kind == KEY_OK && strcmp(v.workspace, c->workspace) == 0)
		return TRUE;
	*why = key_refusal(v.kind);
	return FALSE;
}

static void
refuse_key(carry_t *c, refusal_t why)
{
	host_t *h = c->host;

	metrics_count(&h->metrics, h->m.key_refused, 1);
	/* Another host may know what this one can't tell. */
	carry_refuse(c, why, carry_run_state(c),
	    why == REFUSAL_NOT_FRESH ? RETRY_ROOM_MS : 0);
}

static refusal_t
refusal_of(refuse_reason_t reason, ran_t ran)
{
	if (ran != RAN_NO)
		return reason == REFUSED_DEADLINE ? REFUSAL_TIMEOUT
						  : REFUSAL_BROKEN;
	switch (reason) {
	case REFUSED_NO_ROOM:
		return REFUSAL_NO_ROOM;
	case REFUSED_CRASHES:
		return REFUSAL_HARMFUL;
	case REFUSED_NO_SERVER:
	case REFUSED_UNREACHABLE:
		return REFUSAL_NO_SERVER;
	case REFUSED_BROKEN:
		return REFUSAL_BROKEN;
	case REFUSED_DEADLINE:
		break;
	}
	return REFUSAL_DEADLINE;
}

static void
end_refused(carry_t *c, const attempt_action_t *action)
{
	refusal_t why = refusal_of(action->reason, action->ran);

	carry_refuse(c, why, action->ran == RAN_NO ? RUN_NOT : RUN_UNKNOWN,
	    why == REFUSAL_NO_ROOM || why == REFUSAL_NO_SERVER ? RETRY_ROOM_MS
							       : 0);
}

static void
cancel_try(carry_t *c)
{
	if (c->call != NULL) {
		http_call_cancel(c->call);
		c->call = NULL;
	}
	carry_unbook(c, OUTCOME_CANCELLED);
}

void
carry_act(carry_t *c, const attempt_action_t *action)
{
	refusal_t why;

	if (action->cancel)
		cancel_try(c);
	switch (action->kind) {
	case ATTEMPT_DROP:
	case ATTEMPT_REPLY:
		break;
	case ATTEMPT_PLACE:
		carry_place(c);
		break;
	case ATTEMPT_WAIT:
		room_wait(c);
		break;
	case ATTEMPT_SEND:
		if (may_run(c, &why))
			carry_send(c, action->timeout_ms);
		else
			refuse_key(c, why);
		break;
	case ATTEMPT_REFUSE:
		end_refused(c, action);
		break;
	case ATTEMPT_FORGET:
		carry_free(c);
		break;
	}
}

void
carry_event(carry_t *c, attempt_event_kind_t kind)
{
	attempt_event_t e = {
	    .kind = kind,
	    .request_id = c->attempt.request_id,
	    .number = c->attempt.number,
	};
	attempt_action_t action = attempt_step(&c->attempt, &e, clock_now());

	carry_act(c, &action);
}

void
carry_run(carry_t *c)
{
	host_t *h = c->host;
	msec_t now = clock_now();
	msec_t deadline = c->request.timeout_ms > 0
	    ? c->arrived_at + c->request.timeout_ms
	    : NO_DEADLINE;
	attempt_action_t action;

	c->started = TRUE;
	action = attempt_init(&c->attempt, c->number, c->idempotent, deadline,
	    c->timeout_ms, host_retry_budget(h, c->request.service), now);
	carry_act(c, &action);
}

/* Finds service, route and workspace; sets why not. */
static gboolean
admit(carry_t *c, refusal_t *why)
{
	host_t *h = c->host;
	service_id_t service =
	    catalog_find_service(&h->catalog, c->request.service);
	const route_t *route;
	key_verdict_t v;

	*why = REFUSAL_UNKNOWN_SERVICE;
	if (service == ID_NONE)
		return FALSE;
	*why = REFUSAL_NO_ROUTE;
	route = catalog_route(
	    &h->catalog, service, c->request.method_name, c->request.path);
	if (route == NULL)
		return FALSE;
	c->idempotent = route->idempotent;
	c->timeout_ms = catalog_service(&h->catalog, service)->timeout_ms;
	if (route->open)
		return TRUE;
	*why = REFUSAL_KEY_MISSING;
	if (!c->request.has_key)
		return FALSE;
	v = keys_check(
	    &h->sync.keys, &h->sync.fresh, &c->request.key, clock_now());
	*why = key_refusal(v.kind);
	if (v.kind != KEY_OK ||
	    catalog_find_workspace(&h->catalog, v.workspace) == ID_NONE)
		return FALSE;
	c->workspace = g_strdup(v.workspace);
	return TRUE;
}

void
carry_admitted(carry_t *c, admit_kind_t kind, msec_t retry_ms)
{
	host_t *h = c->host;

	switch (kind) {
	case ADMIT:
		if (once_calls_wanted(c))
			once_calls_begin(c);
		else
			carry_run(c);
		break;
	case ADMIT_WAIT:
		break;
	case ADMIT_REFUSE:
		metrics_count(&h->metrics, h->m.rate_refused, 1);
		carry_refuse(c, REFUSAL_OVER_RATE, RUN_NOT, retry_ms);
		break;
	case ADMIT_STALE:
		refuse_key(c, REFUSAL_NOT_FRESH);
		break;
	}
}

static gboolean
may_take(const host_t *h, refusal_t *why)
{
	switch (h->phase) {
	case HOST_SERVING:
	case HOST_DRAINING: /* cached look-ups still lead here */
		return TRUE;
	case HOST_STARTING:
	case HOST_ENDING:
		break;
	}
	*why = REFUSAL_NOT_READY;
	return FALSE;
}

void
carry_begin(host_t *h, http_exchange_t *x)
{
	msec_t retry_ms = 0;
	admit_kind_t kind;
	carry_t *c;
	refusal_t why;

	metrics_count(&h->metrics, h->m.requests, 1);
	c = g_new0(carry_t, 1);
	if (!may_take(h, &why) || !request_init(&c->request, x, &why)) {
		metrics_count(&h->metrics, h->m.refused, 1);
		refusal_send(x, why, RUN_NOT,
		    why == REFUSAL_NOT_READY ? RETRY_ROOM_MS : 0);
		g_free(c);
		return;
	}
	c->host = h;
	c->queued = QUEUE_NONE;
	c->once = ONCE_NONE;
	c->number = ++h->next_request;
	c->x = x;
	c->arrived_at = clock_now();
	c->tried = g_array_new(FALSE, FALSE, sizeof(GQuark));
	g_ptr_array_add(h->carries, c);
	g_snprintf(c->id, sizeof(c->id),
	    "%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, h->settings.id,
	    (guint64)h->incarnation, (guint64)c->number);
	http_exchange_watch(x, on_gone, c);
	if (!admit(c, &why)) {
		if (why >= REFUSAL_KEY_MISSING && why <= REFUSAL_NOT_FRESH)
			refuse_key(c, why);
		else
			carry_refuse(c, why, RUN_NOT, 0);
		return;
	}
	harm_fingerprint(c, &c->print);
	if (c->workspace == NULL) {
		carry_admitted(c, ADMIT, 0);
		return;
	}
	kind = limits_admit(c, &retry_ms);
	if (kind != ADMIT_WAIT)
		carry_admitted(c, kind, retry_ms);
}
