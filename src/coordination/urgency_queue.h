#ifndef COORDINATION_URGENCY_QUEUE_H
#define COORDINATION_URGENCY_QUEUE_H

#include "coordination/urgency.h"
#include "state/placing.h"

/*
 * Requests that wait in this host until their server has room, the most urgent
 * first, then those that must start first to meet their objective. A request
 * waits for the server that ranks first for it or for a nearly idle one, as it
 * would run cold at any other.
 *
 * A request is rejected once it can't be answered within its objective any
 * more, and after an eighth of the objective: most of those that wait for
 * longer are rejected in the end, and their callers could have tried again.
 */

/* Most requests that wait in a host. */
#define URGENCY_QUEUE_MAX 128
/* Interval in which waiting requests are looked at. */
#define URGENCY_TICK_MS 20
/* Most placements of waiting requests in each look: each one ranks all servers
 * of its service, which takes some 50 us of a small part of a core. */
#define URGENCY_TICK_PLACEMENTS 8

/* One request. The caller owns it and keeps it until it is removed. */
typedef struct {
	void *request;
	urgency_class_t class;
	backend_t *server; /* reference; the first in rank */
	double depth;	   /* requests per slot with which it is sent there */
	msec_t since;	   /* start of the wait; 0: it does not wait */
	msec_t start_by;   /* latest start to meet the objective */
	msec_t until;	   /* end of the wait */
	msec_t looked_at;  /* when it was last to be placed */
	gboolean bounded;  /* @depth is less than that of urgent requests */
} urgency_wait_t;

typedef struct {
	GPtrArray *waits; /* urgency_wait_t, the most urgent first */
} urgency_queue_t;

typedef enum {
	URGENCY_NOTHING, /* nothing to be done now */
	URGENCY_PLACE,	 /* the server of the request may have room */
	URGENCY_REJECT,	 /* it won't be served in time */
} urgency_verdict_t;

/* Times of a request that is to wait. */
typedef struct {
	msec_t came_at;
	msec_t deadline; /* for its answer */
} urgency_times_t;

void urgency_queue_init(urgency_queue_t *q);
void urgency_queue_finish(urgency_queue_t *q);

/**
 * urgency_queue_put() - Let a request wait, or go on waiting.
 * @q: the queue
 * @w: the request; @request and @class are set, the rest is 0 at first
 * @p: why it was not placed: no server had room, or it yields to others
 * @times: its times
 * @now: time
 *
 * Return: FALSE if it is not to wait, as it would not be served in time or the
 * queue is full of requests that are as urgent.
 */
gboolean urgency_queue_put(urgency_queue_t *q, urgency_wait_t *w,
    const placing_t *p, const urgency_times_t *times, msec_t now);

/** urgency_queue_remove() - End a wait; ignored if the request does not wait.
 */
void urgency_queue_remove(urgency_queue_t *q, urgency_wait_t *w);

/**
 * urgency_queue_next() - Find a request with which something is to be done.
 * @q: the queue
 * @now: time; a request is to be placed once at most at any time
 * @verdict: set to what is to be done
 *
 * Return: the request, or NULL.
 */
urgency_wait_t *urgency_queue_next(
    urgency_queue_t *q, msec_t now, urgency_verdict_t *verdict);

/**
 * urgency_queue_precedes() - Whether a waiting request has precedence.
 * @q: the queue
 * @c: class of a request that arrives
 * @server: the server chosen for it
 */
gboolean urgency_queue_precedes(const urgency_queue_t *q,
    const urgency_class_t *c, const backend_t *server);

#endif
