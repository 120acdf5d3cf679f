#ifndef HOST_CARRY_H
#define HOST_CARRY_H

#include "coordination/attempt.h"
#include "coordination/borrower.h"
#include "coordination/poison.h"
#include "host/host.h"
#include "host/request.h"

/*
 * Carries one request from a caller to a backend server and the answer back.
 * A carry lives from the arrival of its request until its answer, refusal or
 * the caller's hang-up; whoever ends it calls carry_free() once.
 */

struct carry {
	host_t *host;
	http_exchange_t *x; /* NULL: the caller has hung up */
	request_t request;
	char *workspace; /* NULL on an open route */
	char id[96];
	struct limit_share *share; /* awaits tokens of it; NULL: it doesn't */
	gboolean idempotent;
	uint32_t timeout_ms; /* of the service */
	attempt_t attempt;
	gboolean started; /* the attempt has been begun */
	msec_t arrived_at, sent_at;
	GArray *tried; /* endpoint names, char * */
	/* The try in flight. */
	http_call_t *call;
	gboolean sent; /* a try is under way that may run */
	route_ticket_t ticket;
	gboolean booked;
	char *address;
	GQuark endpoint;   /* its name */
	unsigned int band; /* load band of the endpoint when booked */
	gboolean relaying; /* the head of the answer has been passed on */
	gboolean bodyless; /* the answer has a head only */
	uint64_t answer_bytes;
	struct event *timer; /* until the next look */
	uint64_t number;     /* of this request on this host */
	uint64_t queued;     /* its place in the queue, or QUEUE_NONE */
	fingerprint_t print; /* by which it is known again */
	gboolean begun;	     /* counted as running by the poison module */
	gboolean claimed;    /* waits for peers to object */
	poison_run_id_t run;
	/* Its idempotency key's entry; ONCE_NONE: none. */
	once_id_t once;
	GByteArray *kept; /* answer so far, to be replayed; NULL: not kept */
	char *kept_type;
	int status; /* of the answer */
};

/**
 * carry_begin() - Take a request.
 * @h: the host
 * @x: the exchange, which this ends now or later
 */
void carry_begin(host_t *h, http_exchange_t *x);

/**
 * carry_admitted() - A request that waited for its workspace's tokens goes on.
 * @c: the carry, which may be freed by this
 * @kind: what was decided; not ADMIT_WAIT
 * @retry_ms: after which trying again may help, for ADMIT_REFUSE
 */
void carry_admitted(carry_t *c, admit_kind_t kind, msec_t retry_ms);

/**
 * carry_run() - Begin the tries of a request that may run.
 * @c: the carry, which may be freed by this
 */
void carry_run(carry_t *c);

/**
 * carry_free() - Forget a carry whose exchange has ended.
 * @c: the carry; a try in flight is cancelled
 */
void carry_free(carry_t *c);

/**
 * carry_act() - Carry out what the attempt has decided.
 * @c: the carry, which may be freed by this
 * @action: the decision
 */
void carry_act(carry_t *c, const attempt_action_t *action);

/**
 * carry_event() - Tell the attempt of an event and act on its answer.
 * @c: the carry, which may be freed by this
 * @kind: what happened
 */
void carry_event(carry_t *c, attempt_event_kind_t kind);

/**
 * carry_refuse() - Refuse and end.
 * @c: the carry; freed
 * @why: the reason
 * @run: whether it may have run
 * @retry_ms: after which trying again may help; 0: it does not
 */
void carry_refuse(carry_t *c, refusal_t why, run_state_t run, msec_t retry_ms);

/**
 * carry_place() - Find an endpoint and claim a place on it.
 * @c: the carry, which may be freed by this
 *
 * Ends in an event of the attempt, now or later.
 */
void carry_place(carry_t *c);

/**
 * carry_try_place() - Try again to place a request that waits for room.
 * @c: the carry, which may be freed by this
 *
 * Return: FALSE if there is still no room for it.
 */
gboolean carry_try_place(carry_t *c);

/**
 * carry_run_state() - Whether the request may have run.
 * @c: the carry
 */
run_state_t carry_run_state(const carry_t *c);

/**
 * carry_send() - Send the try that the attempt has decided on.
 * @c: the carry, with a booked endpoint
 * @timeout_ms: time left
 */
void carry_send(carry_t *c, msec_t timeout_ms);

/**
 * carry_unbook() - Give the place on the endpoint back.
 * @c: the carry
 * @outcome: how the try ended
 */
void carry_unbook(carry_t *c, outcome_t outcome);

#endif
