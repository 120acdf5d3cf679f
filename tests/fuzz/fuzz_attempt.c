#include "coordination/attempt.h"
#include "routing_fuzz.h"

/*
 * A few requests that share a retry budget, and fake backend servers that run
 * a try or not before they answer, shed it, break the connection or stay
 * silent. Every event may arrive late, twice or for another request.
 */

#define REQUESTS 4
#define EVENTS_MAX 32
#define TIMEOUT_MS 1000
#define RESERVE 2 /* retries in the budget at the start */

typedef struct {
	attempt_t attempt;
	gboolean idempotent, ended;
	msec_t deadline;
	unsigned int runs, sends;
	attempt_event_t events[EVENTS_MAX]; /* from the network, to repeat */
	unsigned int n_events;
} request_t;

typedef struct {
	request_t requests[REQUESTS];
	retry_budget_t budget;
	unsigned int begun, retries;
	uint64_t next_id;
	msec_t now;
} world_t;

/* A try at the fake backend server. Whether it runs agrees with its answer. */
static void
backend(request_t *r, uint8_t number, input_t *in)
{
	attempt_event_t e = {
	    .request_id = r->attempt.request_id, .number = number};
	unsigned int choice = input_byte(in);
	gboolean ran = FALSE;

	switch (choice % 6) {
	case 0:
		e.kind = ATTEMPT_REFUSED;
		break;
	case 1:
		e.kind = ATTEMPT_BROKEN;
		ran = choice & 64;
		break;
	case 2:
		e.kind = ATTEMPT_ANSWERED;
		e.u.answer.status = 503;
		e.u.answer.not_run = TRUE;
		ran = broken("shed");
		break;
	case 3:
		e.kind = ATTEMPT_ANSWERED;
		e.u.answer.status = 500 + (choice >> 4) % 5;
		ran = choice & 8;
		break;
	case 4:
		e.kind = ATTEMPT_ANSWERED;
		e.u.answer.status = 200;
		e.u.answer.not_run = choice & 8; /* contradicts itself */
		ran = TRUE;
		break;
	default:
		ran = choice & 64;
		e.kind = ATTEMPT_BROKEN;
		e.number = 0; /* silent */
	}
	r->runs += ran;
	r->events[r->n_events++ % EVENTS_MAX] = e;
}

static void
send_try(world_t *w, request_t *r, const attempt_action_t *a, input_t *in)
{
	r->sends++;
	if (r->sends > 1)
		w->retries++;
	ORACLE(w->now + a->timeout_ms <= r->deadline && a->timeout_ms > 0);
	ORACLE(r->idempotent || r->runs == 0);
	ORACLE(r->sends <= ATTEMPT_TRIES_MAX);
	ORACLE(w->retries * 100 <= RESERVE * 100 + w->begun * RETRY_PERCENT);
	backend(r, a->number, in);
}

/* The outcome of choosing an endpoint, or of waiting for a free slot. */
static attempt_event_t
placing(const request_t *r, attempt_action_kind_t action, input_t *in)
{
	attempt_event_t e = {.request_id = r->attempt.request_id};
	unsigned int choice = input_below(in, 16);

	e.kind = ATTEMPT_PLACED;
	if (choice == 1)
		e.kind = ATTEMPT_NO_SERVER;
	if (choice == 2 && action == ATTEMPT_PLACE)
		e.kind = ATTEMPT_NO_ROOM;
	return e;
}

static void
carry_out(world_t *w, request_t *r, attempt_action_t a, input_t *in)
{
	attempt_event_t e;

	ORACLE(a.kind == ATTEMPT_IGNORE || !r->ended);
	while (a.kind == ATTEMPT_PLACE || a.kind == ATTEMPT_WAIT) {
		e = placing(r, a.kind, in);
		a = attempt_step(&r->attempt, &e, w->now);
	}
	switch (a.kind) {
	case ATTEMPT_SEND:
		send_try(w, r, &a, in);
		break;
	case ATTEMPT_REFUSE:
		ORACLE(a.ran != RAN_NO || r->runs == 0);
		ORACLE(a.ran != RAN_YES || r->runs > 0);
		r->ended = TRUE;
		break;
	case ATTEMPT_REPLY:
	case ATTEMPT_ABANDON:
		r->ended = TRUE;
		break;
	case ATTEMPT_PLACE:
	case ATTEMPT_WAIT:
	case ATTEMPT_IGNORE:
		break;
	}
}

static void
deliver(world_t *w, request_t *r, const attempt_event_t *e, input_t *in)
{
	carry_out(w, r, attempt_step(&r->attempt, e, w->now), in);
}

static void
begin(world_t *w, request_t *r, input_t *in)
{
	unsigned int bits = input_byte(in);

	r->ended = FALSE;
	r->runs = r->sends = 0;
	r->idempotent = bits & 1;
	r->deadline = w->now + (msec_t)(bits >> 1) * 16;
	w->begun++;
	if (broken("budget"))
		retry_budget_init(&w->budget);
	carry_out(w, r,
	    attempt_init(&r->attempt, ++w->next_id,
		r->idempotent || broken("idempotent"),
		r->deadline + (broken("deadline") ? 1 : 0), TIMEOUT_MS,
		&w->budget, w->now),
	    in);
}

/* Delivers a network event: in order, late, twice or to another request. */
static void
any_event(world_t *w, input_t *in)
{
	request_t *r = &w->requests[input_below(in, REQUESTS)];
	request_t *from = &w->requests[input_below(in, REQUESTS)];
	attempt_action_t a;
	attempt_event_t e;
	gboolean own;

	if (from->n_events == 0 || r->attempt.budget == NULL)
		return;
	e = from->events[input_below(in, MIN(from->n_events, EVENTS_MAX))];
	own = e.request_id == r->attempt.request_id && e.number == r->sends;
	if (broken("crossed"))
		e.request_id = r->attempt.request_id;
	if (broken("late"))
		e.number = r->attempt.number;
	a = attempt_step(&r->attempt, &e, w->now);
	ORACLE(own || a.kind == ATTEMPT_IGNORE);
	carry_out(w, r, a, in);
}

static void
timer_or_hang_up(
    world_t *w, request_t *r, attempt_event_kind_t kind, input_t *in)
{
	attempt_event_t e = {kind, r->attempt.request_id, 0, {{0, 0}}};

	if (r->attempt.budget)
		deliver(w, r, &e, in);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	input_t in = {data, size, 0};
	world_t w;
	request_t *r;
	uint8_t event;

	memset(&w, 0, sizeof(w));
	retry_budget_init(&w.budget);
	w.budget.credit = RESERVE * 100;
	while (input_left(&in)) {
		event = input_byte(&in);
		r = &w.requests[(event >> 4) % REQUESTS];
		switch (event % 8) {
		case 0:
		case 1:
			if (r->ended || !r->attempt.budget)
				begin(&w, r, &in);
			break;
		case 2:
		case 3:
		case 4:
		case 5:
			any_event(&w, &in);
			break;
		case 6:
			timer_or_hang_up(&w, r, ATTEMPT_TIMED_OUT, &in);
			break;
		default:
			if (event & 128)
				w.now += input_byte(&in);
			else
				timer_or_hang_up(
				    &w, r, ATTEMPT_CALLER_GONE, &in);
		}
	}
	return 0;
}
