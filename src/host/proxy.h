#ifndef HOST_PROXY_H
#define HOST_PROXY_H

#include "coordination/attempt.h"
#include "coordination/borrower.h"
#include "coordination/poison.h"
#include "host/host.h"
#include "host/request.h"

/*
 * Passes one request from a caller to a backend server and the answer back.
 * A proxy_request_t lives from the arrival of its request until the end of its
 * answer, its refusal or the caller's disconnect. Whoever ends it calls
 * proxy_free() once.
 */

struct proxy_request {
	host_t *host;
	http_exchange_t *x; /* NULL: the caller has disconnected */
	request_t request;
	char *workspace; /* NULL on an open route: it needs no key */
	char id[96];
	struct limit_share *share; /* it waits for tokens of this; NULL: none */
	gboolean idempotent;
	uint32_t timeout_ms; /* of the service */
	attempt_t attempt;
	gboolean started; /* the attempt is initialized */
	msec_t arrived_at, sent_at;
	GArray *tried; /* endpoint names, GQuark */
	/* The try in flight. */
	http_call_t *call;
	gboolean may_be_running; /* a try was sent that may be running */
	route_ticket_t ticket;
	gboolean booked; /* the ticket holds a place on the endpoint */
	char *address;
	GQuark endpoint;	 /* its name */
	unsigned int band;	 /* load band of the endpoint when booked */
	gboolean answer_started; /* the head of the answer has been passed on */
	gboolean head_only;	 /* the answer has a head only */
	uint64_t answer_bytes;
	struct event *timer; /* until the choice of an endpoint is repeated */
	uint64_t number;     /* serial number on this host */
	uint64_t queued;     /* its entry in the queue, or QUEUE_NONE */
	fingerprint_t fingerprint; /* equal for equal requests */
	gboolean run_registered;   /* counted as running by the poison module */
	gboolean claim_pending;	   /* not sent yet: peers may object */
	poison_run_id_t poison_run;
	/* Entry of its idempotency key; ONCE_NONE: none. */
	once_id_t once;
	GByteArray *kept; /* answer so far, for replays; NULL: not kept */
	char *kept_type;
	int status; /* of the answer */
};

/**
 * proxy_begin() - Accept a request.
 * @h: the host
 * @x: the exchange; ended by this function or later
 */
void proxy_begin(host_t *h, http_exchange_t *x);

/**
 * proxy_admitted() - Continue once the workspace's rate limit decided.
 * @pr: the request, which may be freed by this
 * @kind: the decision; not ADMIT_WAIT
 * @retry_ms: for ADMIT_REFUSE: time after which a retry may succeed
 */
void proxy_admitted(proxy_request_t *pr, admit_kind_t kind, msec_t retry_ms);

/**
 * proxy_start_tries() - Begin the tries of a request that may run.
 * @pr: the request, which may be freed by this
 */
void proxy_start_tries(proxy_request_t *pr);

/**
 * proxy_free() - Free a request whose exchange has ended.
 * @pr: the request; a try in flight is cancelled
 */
void proxy_free(proxy_request_t *pr);

/**
 * proxy_run_action() - Run an action that the attempt has decided on.
 * @pr: the request, which may be freed by this
 * @action: the action
 */
void proxy_run_action(proxy_request_t *pr, const attempt_action_t *action);

/** proxy_end_all() - Answer all requests in flight as if their time were over.
 */
void proxy_end_all(host_t *h);

/**
 * proxy_attempt_event() - Pass an event to the attempt and run its action.
 * @pr: the request, which may be freed by this
 * @kind: what happened
 */
void proxy_attempt_event(proxy_request_t *pr, attempt_event_kind_t kind);

/**
 * proxy_refuse() - Refuse a request and free it.
 * @pr: the request; freed
 * @why: the reason
 * @run: whether it may have run
 * @retry_ms: time after which a retry may succeed; 0: a retry does not help
 */
void proxy_refuse(
    proxy_request_t *pr, refusal_t why, run_state_t run, msec_t retry_ms);

/**
 * proxy_choose_endpoint() - Choose an endpoint and book a place on it.
 * @pr: the request, which may be freed by this
 *
 * Leads to an event of the attempt, or to a refusal, now or later.
 */
void proxy_choose_endpoint(proxy_request_t *pr);

/**
 * proxy_retry_endpoint() - Choose again for a request in the slot queue.
 * @pr: the request, which may be freed by this
 *
 * Return: FALSE if there is still no room for it.
 */
gboolean proxy_retry_endpoint(proxy_request_t *pr);

/**
 * proxy_run_state() - Whether the request may have run.
 * @pr: the request
 */
run_state_t proxy_run_state(const proxy_request_t *pr);

/**
 * proxy_send() - Send the try that the attempt has decided on.
 * @pr: the request, with a booked endpoint
 * @timeout_ms: time left
 */
void proxy_send(proxy_request_t *pr, msec_t timeout_ms);

/**
 * proxy_release_endpoint() - Give back the place on the endpoint, if any.
 * @pr: the request
 * @outcome: how the try ended
 */
void proxy_release_endpoint(proxy_request_t *pr, outcome_t outcome);

#endif
