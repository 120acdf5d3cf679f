#ifndef HOST_REFUSAL_H
#define HOST_REFUSAL_H

#include "transport/http_server.h"

/* Why a request was refused, and whether it may have run. */

typedef enum {
	REFUSAL_BAD_REQUEST,
	REFUSAL_UNKNOWN_SERVICE,
	REFUSAL_NO_ROUTE,
	REFUSAL_KEY_MISSING,
	REFUSAL_KEY_UNKNOWN,
	REFUSAL_KEY_WITHDRAWN,
	REFUSAL_KEY_IN_REQUEST, /* a key is where it would be forwarded */
	REFUSAL_NOT_FRESH, /* this host's keys are too old to check requests */
	REFUSAL_NOT_READY, /* no configuration yet */
	REFUSAL_LEAVING,   /* this host is stopping */
	REFUSAL_OVER_RATE,
	REFUSAL_NO_ROOM,      /* no slot became free in time */
	REFUSAL_NO_SERVER,    /* no endpoint can be reached */
	REFUSAL_DEADLINE,     /* the deadline passed before a slot was free */
	REFUSAL_HARMFUL,      /* this request crashes backend servers */
	REFUSAL_ONCE_RUNNING, /* a request with its key is running */
	REFUSAL_ONCE_DONE,    /* a request with its key has run */
	REFUSAL_ONCE_SENT,    /* such a request was sent; unknown if it ran */
	REFUSAL_ONCE_REUSED,  /* its key belongs to another request */
	REFUSAL_ONCE_UNAVAILABLE, /* idempotency records are unavailable */
	REFUSAL_BROKEN,		  /* sent, but no complete answer */
	REFUSAL_TIMEOUT,	  /* sent, but not answered in time */
	REFUSAL_HOST_MEMORY,	  /* sent, no memory here for the answer */
	REFUSAL_HOST_DESCRIPTORS, /* no descriptor here for a connection */
	REFUSAL_KINDS,
} refusal_t;

/* Whether a backend server has run the request. */
typedef enum {
	RUN_NOT,
	RUN_UNKNOWN,
	RUN_DONE, /* by an earlier attempt */
} run_state_t;

/**
 * refusal_reason() - The machine-readable reason of a refusal.
 * @refusal: why
 */
const char *refusal_reason(refusal_t refusal);

/**
 * refusal_body() - JSON body of a refusal.
 * @reason: machine-readable reason
 * @run: whether the request ran
 *
 * Return: text to be freed with g_free().
 */
char *refusal_body(const char *reason, run_state_t run);

/**
 * refusal_send() - Refuse a request.
 * @x: the exchange, which this ends
 * @refusal: why
 * @run: whether it may have run
 * @retry_ms: time after which a retry may help; 0: a retry doesn't help
 */
void refusal_send(
    http_exchange_t *x, refusal_t refusal, run_state_t run, msec_t retry_ms);

#endif
