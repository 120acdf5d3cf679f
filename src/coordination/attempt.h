#ifndef COORDINATION_ATTEMPT_H
#define COORDINATION_ATTEMPT_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"
#include "coordination/retry_budget.h"

/*
 * State machine for the tries of one request. A request that is not idempotent
 * is retried only after proof that it did not run. Every retry is taken from
 * the service's retry budget. A refusal says "not run" only if no try can have
 * run.
 */

#define ATTEMPT_TRIES_MAX 3

/* Whether a refused request has run at a backend server. */
typedef enum {
	RAN_NO,
	RAN_UNKNOWN,
	RAN_YES,
} ran_t;

typedef enum {
	ATTEMPT_PLACING, /* an endpoint is being chosen or waited for */
	ATTEMPT_SENT,	 /* a try is in flight */
	ATTEMPT_DONE,
} attempt_phase_t;

typedef enum {
	ATTEMPT_PLACED,	   /* an endpoint was chosen */
	ATTEMPT_NO_ROOM,   /* every endpoint is full */
	ATTEMPT_NO_SERVER, /* there is no endpoint to try */
	ATTEMPT_IS_POISON, /* the request crashes the servers that run it */
	ATTEMPT_REFUSED,   /* the connection could not be made */
	ATTEMPT_BROKEN,	   /* the connection ended before a complete answer */
	ATTEMPT_NO_MEMORY, /* this host has no memory for the answer */
	ATTEMPT_NO_FILE,   /* this host has no descriptor for a connection */
	ATTEMPT_ANSWERED,  /* a complete answer, head and body, arrived */
	ATTEMPT_TIMED_OUT, /* the deadline has passed */
	ATTEMPT_CALLER_GONE,
} attempt_event_kind_t;

typedef struct {
	attempt_event_kind_t kind;
	uint64_t request_id; /* request that the event belongs to */
	uint8_t number;	     /* number of the try; only for events of a try */
	union {
		struct {
			int status;	  /* HTTP */
			gboolean not_run; /* as the answer states */
		} answer;
	} u;
} attempt_event_t;

typedef enum {
	ATTEMPT_IGNORE,	 /* event of another try or request: ignore it */
	ATTEMPT_PLACE,	 /* choose an endpoint that was not tried yet */
	ATTEMPT_WAIT,	 /* queue until an endpoint has room */
	ATTEMPT_SEND,	 /* send try @number, @timeout_ms before the deadline */
	ATTEMPT_REPLY,	 /* pass the answer on to the caller */
	ATTEMPT_REFUSE,	 /* refuse the request with @reason and @ran */
	ATTEMPT_ABANDON, /* the caller is gone: send no answer */
} attempt_action_kind_t;

typedef enum {
	REFUSED_NO_ROOM,
	REFUSED_NO_SERVER,
	REFUSED_UNREACHABLE,
	REFUSED_BROKEN,
	REFUSED_DEADLINE,
	REFUSED_POISON, /* the request crashed the servers that ran it */
	REFUSED_HOST_MEMORY,
	REFUSED_HOST_DESCRIPTORS,
} refuse_reason_t;

typedef struct {
	attempt_action_kind_t kind;
	gboolean cancel; /* also cancel the try in flight */
	uint8_t number;
	msec_t timeout_ms; /* for send and wait: time until the deadline */
	refuse_reason_t reason;
	ran_t ran;
} attempt_action_t;

typedef struct {
	uint64_t request_id;
	gboolean idempotent;
	msec_t deadline;
	attempt_phase_t phase;
	uint8_t number;	       /* of the try in flight, or of the last one */
	uint8_t max_tries;     /* ATTEMPT_TRIES_MAX unless limited */
	gboolean may_have_run; /* one of the ended tries may have run */
	retry_budget_t *budget;
} attempt_t;

/**
 * attempt_init() - Start the state machine of a request.
 * @a: caller's memory
 * @request_id: unique to this request
 * @idempotent: whether the requests of its route are idempotent
 * @deadline: the caller's; the service's timeout can only shorten it
 * @timeout_ms: the service's timeout
 * @budget: the service's retry budget, outlives @a
 * @now: time
 *
 * Return: the first action: place, or refuse if the deadline has passed.
 */
attempt_action_t attempt_init(attempt_t *a, uint64_t request_id,
    gboolean idempotent, msec_t deadline, msec_t timeout_ms,
    retry_budget_t *budget, msec_t now);

/**
 * attempt_limit() - Apply the route's limit to the tries of a request.
 * @a: the request, not sent yet
 * @tries: maximum number of backend servers to send it to, at least 1
 */
void attempt_limit(attempt_t *a, uint32_t tries);

/**
 * attempt_step() - Process one event.
 * @a: the request
 * @e: what happened
 * @now: time
 *
 * Return: what to do. After reply, refuse or abandon, every further event is
 * ignored.
 */
attempt_action_t attempt_step(
    attempt_t *a, const attempt_event_t *e, msec_t now);

/**
 * ran_name() - The word for @ran in answers to callers.
 * @ran: whether the request ran
 */
const char *ran_name(ran_t ran);

/**
 * refuse_reason_name() - The machine-readable reason for callers.
 * @reason: the reason
 */
const char *refuse_reason_name(refuse_reason_t reason);

#endif
