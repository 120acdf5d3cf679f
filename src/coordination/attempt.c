#include <string.h>

#include "coordination/attempt.h"

#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
#define STATUS_GATEWAY_TIMEOUT 504

const char *
ran_name(ran_t ran)
{
	switch (ran) {
	case RAN_NO:
		return "not-run";
	case RAN_UNKNOWN:
		return "unknown";
	case RAN_YES:
		return "ran";
	}
	return "unknown";
}

const char *
refuse_reason_name(refuse_reason_t reason)
{
	switch (reason) {
	case REFUSED_NO_ROOM:
		return "no-room";
	case REFUSED_NO_SERVER:
		return "no-server";
	case REFUSED_UNREACHABLE:
		return "unreachable";
	case REFUSED_BROKEN:
		return "connection-broken";
	case REFUSED_DEADLINE:
		return "deadline";
	case REFUSED_POISON:
		return "crashes-servers";
	case REFUSED_HOST_MEMORY:
		return "host-memory";
	case REFUSED_HOST_DESCRIPTORS:
		return "host-descriptors";
	}
	return "unknown";
}

static attempt_action_t
make_action(attempt_action_kind_t kind)
{
	attempt_action_t action = {.kind = kind};

	return action;
}

static attempt_action_t
refuse(attempt_t *a, refuse_reason_t reason)
{
	attempt_action_t action = make_action(ATTEMPT_REFUSE);

	action.cancel = a->phase == ATTEMPT_SENT;
	action.reason = reason;
	action.ran = a->may_have_run || action.cancel ? RAN_UNKNOWN : RAN_NO;
	a->phase = ATTEMPT_DONE;
	return action;
}

static attempt_action_t
finish(attempt_t *a, attempt_action_kind_t kind)
{
	attempt_action_t action = make_action(kind);

	action.cancel = kind == ATTEMPT_ABANDON && a->phase == ATTEMPT_SENT;
	a->phase = ATTEMPT_DONE;
	return action;
}

attempt_action_t
attempt_init(attempt_t *a, uint64_t request_id, gboolean idempotent,
    msec_t deadline, msec_t timeout_ms, retry_budget_t *budget, msec_t now)
{
	memset(a, 0, sizeof(*a));
	a->request_id = request_id;
	a->idempotent = idempotent;
	a->deadline = MIN(deadline, now + timeout_ms);
	a->budget = budget;
	a->max_tries = ATTEMPT_TRIES_MAX;
	if (now >= a->deadline)
		return refuse(a, REFUSED_DEADLINE);
	retry_budget_add_request(budget);
	return make_action(ATTEMPT_PLACE);
}

void
attempt_limit(attempt_t *a, uint32_t tries)
{
	a->max_tries = (uint8_t)CLAMP(tries, 1, ATTEMPT_TRIES_MAX);
}

static gboolean
take_retry(attempt_t *a, msec_t now)
{
	if (a->may_have_run && !a->idempotent)
		return FALSE;
	if (a->number >= a->max_tries || now >= a->deadline)
		return FALSE;
	return retry_budget_take(a->budget);
}

static attempt_action_t
retry(attempt_t *a)
{
	a->phase = ATTEMPT_PLACING;
	return make_action(ATTEMPT_PLACE);
}

/* Handles the end of a try that gave no answer to pass on to the caller. */
static attempt_action_t
try_failed(
    attempt_t *a, gboolean may_have_run, refuse_reason_t reason, msec_t now)
{
	a->may_have_run |= may_have_run;
	a->phase = ATTEMPT_PLACING;
	if (take_retry(a, now))
		return retry(a);
	return refuse(a, reason);
}

/* Another server would not help: this host lacks a resource. */
static attempt_action_t
host_failed(attempt_t *a, gboolean may_have_run, refuse_reason_t reason)
{
	a->may_have_run |= may_have_run;
	a->phase = ATTEMPT_PLACING;
	return refuse(a, reason);
}

static gboolean
is_retryable(int status)
{
	return status == STATUS_BAD_GATEWAY || status == STATUS_UNAVAILABLE ||
	    status == STATUS_GATEWAY_TIMEOUT;
}

static attempt_action_t
answered(attempt_t *a, const attempt_event_t *e, msec_t now)
{
	int status = e->u.answer.status;

	if (status == STATUS_UNAVAILABLE && e->u.answer.not_run)
		return try_failed(a, FALSE, REFUSED_NO_ROOM, now);
	a->may_have_run = TRUE;
	if (is_retryable(status) && take_retry(a, now))
		return retry(a);
	return finish(a, ATTEMPT_REPLY);
}

static attempt_action_t
placed(attempt_t *a, msec_t now)
{
	attempt_action_t action = make_action(ATTEMPT_SEND);

	if (now >= a->deadline)
		return refuse(a, REFUSED_DEADLINE);
	a->phase = ATTEMPT_SENT;
	action.number = ++a->number;
	action.timeout_ms = a->deadline - now;
	return action;
}

static attempt_action_t
no_room(attempt_t *a, msec_t now)
{
	attempt_action_t action = make_action(ATTEMPT_WAIT);

	if (now >= a->deadline)
		return refuse(a, REFUSED_DEADLINE);
	action.timeout_ms = a->deadline - now;
	return action;
}

static attempt_action_t
placing_step(attempt_t *a, const attempt_event_t *e, msec_t now)
{
	switch (e->kind) {
	case ATTEMPT_PLACED:
		return placed(a, now);
	case ATTEMPT_NO_ROOM:
		return no_room(a, now);
	case ATTEMPT_NO_SERVER:
		return refuse(a, REFUSED_NO_SERVER);
	case ATTEMPT_IS_POISON:
		return refuse(a, REFUSED_POISON);
	case ATTEMPT_REFUSED:
	case ATTEMPT_BROKEN:
	case ATTEMPT_NO_MEMORY:
	case ATTEMPT_NO_FILE:
	case ATTEMPT_ANSWERED:
	case ATTEMPT_TIMED_OUT:
	case ATTEMPT_CALLER_GONE:
		break;
	}
	return make_action(ATTEMPT_IGNORE);
}

static attempt_action_t
sent_step(attempt_t *a, const attempt_event_t *e, msec_t now)
{
	if (e->number != a->number)
		return make_action(ATTEMPT_IGNORE);
	switch (e->kind) {
	case ATTEMPT_REFUSED:
		return try_failed(a, FALSE, REFUSED_UNREACHABLE, now);
	case ATTEMPT_BROKEN:
		return try_failed(a, TRUE, REFUSED_BROKEN, now);
	case ATTEMPT_NO_MEMORY:
		return host_failed(a, TRUE, REFUSED_HOST_MEMORY);
	case ATTEMPT_NO_FILE:
		return host_failed(a, FALSE, REFUSED_HOST_DESCRIPTORS);
	case ATTEMPT_ANSWERED:
		return answered(a, e, now);
	case ATTEMPT_PLACED:
	case ATTEMPT_NO_ROOM:
	case ATTEMPT_NO_SERVER:
	case ATTEMPT_IS_POISON:
	case ATTEMPT_TIMED_OUT:
	case ATTEMPT_CALLER_GONE:
		break;
	}
	return make_action(ATTEMPT_IGNORE);
}

attempt_action_t
attempt_step(attempt_t *a, const attempt_event_t *e, msec_t now)
{
	if (a->phase == ATTEMPT_DONE || e->request_id != a->request_id)
		return make_action(ATTEMPT_IGNORE);
	if (e->kind == ATTEMPT_CALLER_GONE)
		return finish(a, ATTEMPT_ABANDON);
	if (e->kind == ATTEMPT_TIMED_OUT)
		return now >= a->deadline ? refuse(a, REFUSED_DEADLINE)
					  : make_action(ATTEMPT_IGNORE);
	if (a->phase == ATTEMPT_PLACING)
		return placing_step(a, e, now);
	return sent_step(a, e, now);
}
