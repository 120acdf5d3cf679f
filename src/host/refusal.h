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
	REFUSAL_KEY_IN_REQUEST, /* a key stands where it would be forwarded */
	REFUSAL_NOT_FRESH,	/* this host can't judge keys now */
	REFUSAL_NOT_READY,	/* no configuration yet */
	REFUSAL_LEAVING,	/* this host is stopping */
	REFUSAL_OVER_RATE,
	REFUSAL_NO_ROOM,	  /* no slot became free in time */
	REFUSAL_NO_SERVER,	  /* no endpoint can be reached */
	REFUSAL_DEADLINE,	  /* ran out before a slot was free */
	REFUSAL_HARMFUL,	  /* this request stops backend servers */
	REFUSAL_ONCE_RUNNING,	  /* its idempotency key is in use */
	REFUSAL_ONCE_DONE,	  /* its idempotency key was used */
	REFUSAL_ONCE_SENT,	  /* the same, and nobody knows if it ran */
	REFUSAL_ONCE_REUSED,	  /* it came with another request */
	REFUSAL_ONCE_UNAVAILABLE, /* the record of such keys is away */
	REFUSAL_BROKEN,		  /* sent, no whole answer */
	REFUSAL_TIMEOUT,	  /* sent, no answer in time */
	REFUSAL_KINDS,
} refusal_t;

/* Whether a backend server has run the request. */
typedef enum {
	RUN_NOT,
	RUN_UNKNOWN,
	RUN_DONE, /* by an earlier sending of it */
} run_state_t;

/**
 * refusal_reason() - The machine-readable word for a refusal.
 * @refusal: why
 */
const char *refusal_reason(refusal_t refusal);

/**
 * refusal_body() - JSON body of a refusal.
 * @reason: machine-readable word
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
 * @retry_ms: after which trying again may help; 0: it does not
 */
void refusal_send(
    http_exchange_t *x, refusal_t refusal, run_state_t run, msec_t retry_ms);

#endif
